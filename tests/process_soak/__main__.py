"""Plays runs of real processes."""

import argparse
import sys
from pathlib import Path

from process_soak.networks import InvalidNetwork, NetworkInUse, parse_network
from process_soak.run import Options, play
from process_soak.site import GATEWAY, ROOT


def main() -> int:
    """Play the seeds.

    Return 1 if a rule is broken, 2 if another run has the network.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--profile", default="", help="drawn from the seed if empty")
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--callers", type=int, default=90)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--events", type=int, default=12, help="events of a stream")
    parser.add_argument("--engines", type=int, default=4, help="engines of streams")
    parser.add_argument("--slots", type=int, default=6, help="slots of an engine")
    parser.add_argument("--grace", type=float, default=8.0)
    parser.add_argument("--slack", type=float, default=40.0)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--source", type=Path, default=ROOT / "src")
    parser.add_argument("--gateway", default=GATEWAY, help="module of the gateways")
    parser.add_argument("--network", default="127.20", help="127.N, N from 1 to 254")
    parser.add_argument("--directory", type=Path, default=Path("target/soak"))
    values = vars(parser.parse_args())
    try:
        parse_network(values["network"])
    except InvalidNetwork as error:
        parser.error(str(error))
    first, runs = values.pop("seed"), values.pop("runs")
    is_broken = False
    for seed in range(first, first + runs):
        try:
            report = play(Options(seed=seed, **values))
        except NetworkInUse as error:
            print(error, file=sys.stderr)
            return 2
        print(report.text, flush=True)
        is_broken |= bool(report.findings)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
