"""Share of at-most-once calls with a known outcome, by kind of fault.

Runs the randomised simulation without faults and with each kind of fault alone, except
duplicated and delayed messages, and counts the orders that end as answered or as not
executed, rather than as unknown. Run with
``PYTHONPATH=tests python benchmarks/settled.py --seed 1``.
"""

import argparse
from dataclasses import replace

import soak
from soak import NO_FAULTS, Faults, Soak

SINGLE_FAULTS = {
    "none": NO_FAULTS,
    "links break": replace(NO_FAULTS, break_link=0.002),
    "VMs die": replace(NO_FAULTS, kill=0.0006),
    "VMs pause": replace(NO_FAULTS, pause=0.001),
    "planned stops": replace(NO_FAULTS, drain=0.0004),
    "platform outages": replace(NO_FAULTS, outage=0.0005),
    "writes lost before": replace(NO_FAULTS, lost_before_write=0.02),
    "writes lost after": replace(NO_FAULTS, lost_after_write=0.02),
    "writes late": replace(NO_FAULTS, applied_late=0.02),
    "stale reads": replace(NO_FAULTS, stale_read=0.01),
    "endpoint fails": replace(NO_FAULTS, endpoint_failure=0.01),
}


def settled(faults: Faults, seed: int, steps: int) -> tuple[int, int]:
    """Return the number of orders with a known outcome, and of all orders."""
    run = Soak(seed, faults)
    run.run(steps)
    counts = {
        name: count
        for (service, name), count in run.truth.outcomes.items()
        if service == "orders"
    }
    resolved = counts.get("answered", 0) + counts.get("no", 0)
    return resolved, resolved + counts.get("unknown", 0)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=300_000)
    options = parser.parse_args()
    soak.ARRIVAL_RATE = 15.0
    print(f"seed {options.seed}, {options.steps} steps, {soak.ARRIVAL_RATE:g} calls/s")
    all_settled = all_orders = 0
    for name, faults in SINGLE_FAULTS.items():
        resolved, total = settled(faults, options.seed, options.steps)
        all_settled += resolved
        all_orders += total
        print(f"  {name:20} {resolved} of {total} settled, {resolved / total:.2%}")
    print(f"all: {all_settled / all_orders:.2%}")


if __name__ == "__main__":
    main()
