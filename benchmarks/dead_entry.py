"""How long a killed entry is still advertised to callers.

Kills entries one after another and asks entry 1 for the advertised entries. Run with
``PYTHONPATH=tests python benchmarks/dead_entry.py``.
"""

import signal
import tempfile
import time
from pathlib import Path

from fleet import make_fleet

DETECTION_TIMEOUT = 60.0
"""Seconds after which the benchmark stops waiting for the removal of an entry."""


def advertised_entries(fleet) -> set[str]:
    """Return the names of the entries that entry 1 advertises."""
    address = fleet.deployment.entry_settings[0].callers_address
    response = fleet.client.get(f"http://{address}/v1/entry-vms").json()
    return {entry["name"] for entry in response["entries"]}


def main() -> None:
    with tempfile.TemporaryDirectory() as directory:
        fleet = make_fleet(Path(directory), entries=8, engines=4, plain=2)
        with fleet:
            fleet.start_all()
            time.sleep(2)
            for number in (8, 7, 6, 5):
                name = f"entry-{number}"
                fleet.send_signal(name, signal.SIGKILL)
                killed_at = time.monotonic()
                fleet.wait_for_exit(name)
                while name in advertised_entries(fleet):
                    if time.monotonic() - killed_at > DETECTION_TIMEOUT:
                        break
                    time.sleep(0.05)
                print(f"{name}: given out for {time.monotonic() - killed_at:.2f} s")


if __name__ == "__main__":
    main()
