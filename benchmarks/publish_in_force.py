"""Time from a publish until all nodes apply it, and the resources of idle nodes.

Run with ``PYTHONPATH=tests python benchmarks/publish_in_force.py``. The deployment
consists of real processes. Times are taken from the publish time in the history to
the "configuration in force" lines in the daemons' logs.
"""

import argparse
import json
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path

from hdrh.histogram import HdrHistogram

from cyclamenyoke.cli.client import OperatorsClient
from cyclamenyoke.standins.deployment import OPERATORS_KEY, Deployment
from entry_latency import cpu_seconds, resident_mib
from fleet import Fleet

IDLE_PERIOD = 20.0
"""Seconds over which the processor time and traffic of idle nodes are measured."""


def in_force_times(fleet: Fleet) -> dict[int, list[float]]:
    """Return, by generation, the Unix times at which the nodes applied it."""
    times: dict[int, list[float]] = {}
    for name in fleet.names:
        for line in fleet.log(name).splitlines():
            fields = json.loads(line)
            if fields["message"] == "configuration in force":
                moment = datetime.fromisoformat(fields["time"]).replace(tzinfo=UTC)
                times.setdefault(fields["generation"], []).append(moment.timestamp())
    return times


def exchange_bytes(fleet: Fleet, operators: str) -> float:
    """Return the gossip bytes that an entry has sent and received."""
    response = fleet.client.get(
        f"http://{operators}/metrics",
        headers={"Authorization": f"Bearer {OPERATORS_KEY}"},
    )
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in response.text.splitlines()
        if line.startswith("cyclamenyoke_exchange_bytes")
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--publishes", type=int, default=30)
    parser.add_argument("--entries", type=int, default=10)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(
            Path(directory), entries=options.entries, engines=8, plain=2
        )
        with Fleet(deployment) as fleet:
            fleet.start_all()
            count = len(fleet.names)
            for number in range(options.publishes):
                fleet.deployment.write_services(retention=f"{number + 600}s")
                assert fleet.publish().returncode == 0
                time.sleep(0.5)
            time.sleep(5)
            operators = deployment.entry_settings[0].operators_address
            history = OperatorsClient([operators], OPERATORS_KEY).config().index.history
            published = {each.generation: each.published_at for each in history}
            histogram = HdrHistogram(1, 60_000, 3)
            missing = 0
            for generation, published_at in published.items():
                times = in_force_times(fleet).get(generation, [])
                missing += count - len(times)
                histogram.record_value(max(1, int((max(times) - published_at) * 1000)))
            print(
                f"{count} processes, {options.publishes} publishes: in force at the"
                f" last node p50 {histogram.get_value_at_percentile(50)} ms,"
                f" p99 {histogram.get_value_at_percentile(99)} ms,"
                f" max {histogram.get_max_value()} ms;"
                f" generations passed over by a node: {missing}"
            )
            before = {name: cpu_seconds(fleet.pid(name)) for name in fleet.names}
            bytes_before = exchange_bytes(fleet, operators)
            time.sleep(IDLE_PERIOD)
            spent = {
                name: (cpu_seconds(fleet.pid(name)) - before[name]) / IDLE_PERIOD
                for name in fleet.names
            }
            rate = (exchange_bytes(fleet, operators) - bytes_before) / IDLE_PERIOD
            for role in ("entry", "agent"):
                chosen = [name for name in fleet.names if name.startswith(role)]
                worst = max(spent[name] for name in chosen)
                mean = sum(spent[name] for name in chosen) / len(chosen)
                memory = max(resident_mib(fleet.pid(name)) for name in chosen)
                print(
                    f"quiet {role}: {mean:.2%} of a core (worst {worst:.2%}),"
                    f" {memory:.1f} MiB at most"
                )
            print(f"exchange bytes of entry 1: {rate:.0f} a second")
            calls = fleet.client.get(deployment.platform + "/v1/calls").json()
            print(f"platform calls since the start: {calls}")


if __name__ == "__main__":
    main()
