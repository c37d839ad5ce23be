"""Store calls and bytes between gateways, in steady state and after an outage.

The cluster state and membership tasks of many nodes run in virtual time, with a store
and a peer transport in memory. There are no callers, so the figures depend only on the
number of nodes. During the outage, which lasts five seconds, store calls fail at once.

Run with ``PYTHONPATH=tests python benchmarks/gateway_control.py 13 58 380``.
"""

import asyncio
import sys
from collections import Counter
from unittest.mock import patch

import looptime
import msgspec

from cyclamenyoke.adapters.peer_transport import FORMAT_VERSION, MAC_BYTES
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.key_value_store import VersionedValue
from gateway_soak import (
    Environment,
    Node,
    SimulatedEngine,
    SimulatedStore,
    SimulatedTransport,
)

ENGINES = 20
SETTLED, OUTAGE_AT, BACK_AT, END = 12.0, 22.0, 27.0, 37.0
"""Virtual seconds at which the steady state, the outage and the recovery start, and the
run ends."""

AFTER = 3.0
"""Length in seconds of the periods reported after the start and after the outage."""

UDP_HEADERS = 28
"""Bytes of the IP and UDP headers of a datagram."""


class CountingStore(SimulatedStore):
    """Counts store calls per second."""

    calls: Counter[int] = Counter()

    async def _simulate_call(self) -> None:
        type(self).calls[int(asyncio.get_running_loop().time())] += 1
        await super()._simulate_call()

    async def watch(self, key, after, deadline):
        # Counted as one call, although the simulation polls.
        await self._simulate_call()
        while True:
            revision, value, _ = self._env.values[key]
            if revision > after.revision or self._env.clock.now() >= deadline:
                return VersionedValue(max(revision, after.revision), value, after.era)
            await asyncio.sleep(0.1)
            if self._env.store_outage:
                raise PlatformUnavailable("store went down during the watch")


class CountingTransport(SimulatedTransport):
    """Counts the bytes sent per second, headers included."""

    sent: Counter[int] = Counter()

    def send(self, update, ips):
        size = (
            len(FORMAT_VERSION)
            + MAC_BYTES
            + len(msgspec.msgpack.encode(update))
            + UDP_HEADERS
        )
        second = int(asyncio.get_running_loop().time())
        type(self).sent[second] += size * len(ips)
        super().send(update, ips)


async def _simulate(nodes: int) -> None:
    env = Environment(1)
    CountingTransport.env = env
    for number in range(ENGINES):
        engine = SimulatedEngine(f"i-{number:010x}", "llm", f"10.1.0.{number}:8002")
        env.engines[engine.address] = engine
        env.put(f"servers/{engine.id}", engine.entry())
    env.publish()
    running = [Node(env, number) for number in range(1, nodes + 1)]
    await asyncio.sleep(OUTAGE_AT)
    env.store_outage = "rejects"
    await asyncio.sleep(BACK_AT - OUTAGE_AT)
    env.store_outage = ""
    await asyncio.sleep(END - BACK_AT)
    for node in running:
        node.kill()
    await asyncio.sleep(0.1)


def _rate(counts: Counter[int], begin: float, end: float) -> float:
    total = sum(counts[second] for second in range(int(begin), int(end)))
    return total / (end - begin)


def main() -> None:
    """Print one row per number of nodes."""
    print("nodes  calls/s: start  steady  outage  after  bytes/s a node: steady  after")
    for nodes in map(int, sys.argv[1:]):
        CountingStore.calls, CountingTransport.sent = Counter(), Counter()
        loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(loop)
        with (
            patch("gateway_soak.SimulatedStore", CountingStore),
            patch("cyclamenyoke.daemon.membership.PeerTransport", CountingTransport),
        ):
            loop.run_until_complete(_simulate(nodes))
        calls, sent = CountingStore.calls, CountingTransport.sent
        steady_bytes = _rate(sent, SETTLED, OUTAGE_AT) / nodes
        after_bytes = _rate(sent, BACK_AT, BACK_AT + AFTER) / nodes
        print(
            f"{nodes:5}  {_rate(calls, 0, AFTER):14.1f}"
            f"  {_rate(calls, SETTLED, OUTAGE_AT):6.1f}"
            f"  {_rate(calls, OUTAGE_AT, BACK_AT):6.1f}"
            f"  {_rate(calls, BACK_AT, BACK_AT + AFTER):5.1f}"
            f"  {steady_bytes:22.0f}  {after_bytes:5.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
