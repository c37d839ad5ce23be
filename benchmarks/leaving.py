"""Graceful shutdown under load: interrupted calls, and how long new work starts.

Callers keep using the address of one entry. First an agent, then the entry itself,
receives SIGTERM while streams are running. Run with
``PYTHONPATH=tests python benchmarks/leaving.py``.
"""

import argparse
import signal
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import httpx

from cyclamenyoke.standins.deployment import MODEL, Deployment
from fleet import Fleet

CHAT = "/v1/chat/completions"


def call(fleet: Fleet, outcomes: Counter, tokens: int) -> None:
    """Read one stream through entry 1 and count its outcome."""
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    try:
        response = fleet.call(0, CHAT, body)
    except httpx.ConnectError:
        outcomes["connection refused"] += 1
        return
    if response.status_code == 200:
        is_complete = response.text.count("data: ") == tokens + 1
        outcomes["whole" if is_complete else "cut"] += 1
    else:
        outcomes[f"refused, ran: {response.json()['ran']}"] += 1


def run(fleet: Fleet, name: str, rate: float, seconds: float) -> None:
    """Stop a daemon half-way through a constant load and print the outcomes.

    :param rate: calls per second.
    :param seconds: duration of the load.
    """
    outcomes: Counter = Counter()
    threads = []
    started_at = time.time()
    stopped_at = 0.0
    for number in range(int(rate * seconds)):
        time.sleep(max(0.0, started_at + number / rate - time.time()))
        if not stopped_at and time.time() - started_at > seconds / 2:
            fleet.send_signal(name, signal.SIGTERM)
            stopped_at = time.time()
        thread = threading.Thread(target=call, args=(fleet, outcomes, 100))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    code = fleet.wait_for_exit(name)
    endpoint = name.removeprefix("agent-")
    start_offsets = [
        entry["begun_at"] - stopped_at
        for settings in fleet.deployment.agent_settings
        if settings.agent.endpoint == endpoint or name.startswith("entry")
        for entry in fleet.client.get(settings.agent.url + "/stand-in/begun").json()
        if entry["begun_at"] > started_at
    ]
    print(
        f"{name}: exit code {code}, {dict(outcomes)};"
        f" last new work {max(start_offsets) * 1000:.0f} ms after the signal"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=15.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory), entries=2, engines=2, plain=1)
        with Fleet(deployment) as fleet:
            fleet.start_all()
            run(fleet, "agent-engine-1", options.rate, options.seconds)
            run(fleet, "entry-1", options.rate, options.seconds)


if __name__ == "__main__":
    main()
