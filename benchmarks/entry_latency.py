"""Latency that an entry adds to a call, and its throughput per core.

Run with ``PYTHONPATH=tests python benchmarks/entry_latency.py``. Direct calls to an
engine and calls through an entry and an agent alternate in one run.
"""

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path

import httpx
from hdrh.histogram import HdrHistogram

from cyclamenyoke.standins.deployment import MODEL, Deployment, customer_key
from fleet import Fleet

NANOSECONDS = 1e9


def cpu_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process, in seconds.

    It is read from the scheduler's statistics, since clock ticks are too coarse for
    idle threads.
    """
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(each.read_text().split()[0]) for each in files) / NANOSECONDS


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def first_byte(client: httpx.AsyncClient, url: str, tokens: int) -> float:
    """Read a complete stream; return the seconds until its first byte.

    :param tokens: tokens that the engine generates.
    """
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    headers = {"Authorization": f"Bearer {customer_key('siam-north')}"}
    started_at = time.perf_counter()
    first = 0.0
    async with client.stream("POST", url, json=body, headers=headers) as response:
        assert response.status_code == 200, await response.aread()
        tail = b""
        async for data in response.aiter_raw():
            first = first or time.perf_counter() - started_at
            tail = (tail + data)[-20:]
    assert b"[DONE]" in tail
    return first


async def compare(direct: str, through: str, calls: int) -> None:
    """Print the first-byte time of calls to two URLs, and its difference.

    :param direct: URL at the engine.
    :param through: URL at the entry.
    :param calls: number of calls to each.
    """
    histograms = {
        "direct": HdrHistogram(1, 10**8, 3),
        "entry": HdrHistogram(1, 10**8, 3),
    }
    async with httpx.AsyncClient(timeout=30) as client:
        for name, url in [("direct", direct), ("entry", through)] * calls:
            seconds = await first_byte(client, url, 2)
            histograms[name].record_value(int(seconds * 1e6))
    for percentile in (50, 95, 99):
        values = {
            name: histogram.get_value_at_percentile(percentile) / 1000
            for name, histogram in histograms.items()
        }
        added = values["entry"] - values["direct"]
        print(
            f"first byte p{percentile}: direct {values['direct']:.2f} ms,"
            f" through entry {values['entry']:.2f} ms, added {added:.2f} ms"
        )


async def load(url: str, rate: float, tokens: int, seconds: float) -> int:
    """Send calls at a fixed rate per second; return how many completed."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        tasks = set()
        started_at = time.perf_counter()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(
                max(0, started_at + number / rate - time.perf_counter())
            )
            tasks.add(asyncio.create_task(first_byte(client, url, tokens)))
        results = await asyncio.gather(*tasks, return_exceptions=True)
        finished = sum(isinstance(result, float) for result in results)
        failures = [result for result in results if not isinstance(result, float)]
        print(f"failed calls: {len(failures)} {failures[:1]}")
    return finished


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--rate", type=float, default=45.0)
    parser.add_argument("--tokens", type=int, default=355)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(
            Path(directory), entries=1, engines=3, plain=1, slots=200
        )
        with Fleet(deployment, token_time=0.02) as fleet:
            fleet.start_all()
            pids = {"entry": fleet.pid("entry-1"), "agent": fleet.pid("agent-engine-1")}
            before = {name: cpu_seconds(pid) for name, pid in pids.items()}
            time.sleep(10)
            for name, pid in pids.items():
                idle = (cpu_seconds(pid) - before[name]) / 10
                memory = resident_mib(pid)
                print(f"idle {name}: {idle:.2%} of a core, {memory:.1f} MiB resident")
            entry = deployment.entry_settings[0].callers_address
            through = f"http://{entry}/v1/chat/completions"
            direct = fleet.endpoint_url("engine-1") + "/v1/chat/completions"
            asyncio.run(compare(direct, through, options.calls))
            if options.rate <= 0:
                return
            before_load = cpu_seconds(pids["entry"])
            started_at = time.perf_counter()
            total = int(options.rate * options.seconds)
            finished = asyncio.run(
                load(through, options.rate, options.tokens, options.seconds)
            )
            elapsed = time.perf_counter() - started_at
            spent = cpu_seconds(pids["entry"]) - before_load
            tokens = finished * options.tokens
            print(
                f"load: {finished} of {total} calls whole, {finished / elapsed:.1f}"
                f" calls/s, {tokens / elapsed:.0f} tokens/s in {elapsed:.1f} s"
            )
            print(
                f"entry: {spent / elapsed:.2f} of a core,"
                f" {spent / tokens * 1e6:.1f} us a token,"
                f" {tokens / spent:.0f} tokens/s a core,"
                f" {resident_mib(pids['entry']):.1f} MiB"
            )


if __name__ == "__main__":
    main()
