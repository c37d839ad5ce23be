"""Memory, processor time and store calls by configuration, cluster and journal size.

Run with ``python benchmarks/slopes.py``.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

import msgspec

from cyclamenyoke.core.claims import ClaimManager, ReadSlot, WriteSlot
from cyclamenyoke.core.config import (
    ConfigIndex,
    ConfigStore,
    Customer,
    Endpoint,
    EngineGroup,
    Service,
    ServiceKind,
    ServiceRevision,
    blob_digest,
    decode_service,
    encode_service,
)
from cyclamenyoke.core.gossip import GossipCore, NodeInfo
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.journal import Claim, ClaimState, Journal, encode_journal
from cyclamenyoke.core.messages import Call, Load
from cyclamenyoke.core.routing import Router

MICROSECONDS = 1e6


def timed(action: Callable[[], object], times: int) -> float:
    """Return the mean processor time of one call, in microseconds."""
    started_at = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started_at) / times * MICROSECONDS


def allocated(make: Callable[[], object]) -> tuple[object, float]:
    """Return the object made and the memory that it occupies, in KiB."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    return made, size


def measure_configuration() -> None:
    for customers in (600, 1200, 2400, 4800):
        service = Service(
            "reports",
            ServiceKind.MODEL,
            [Customer(f"customer-{n}", 1.0, f"{n:064x}") for n in range(customers)],
            groups=[EngineGroup("g", [Endpoint("e", "10.0.0.1:1", "dc")])],
        )
        blob = encode_service(service)
        _, held = allocated(lambda blob=blob: decode_service(blob))
        spent = timed(lambda blob=blob: decode_service(blob), 5)
        print(
            f"configuration, {customers} customers: blob {len(blob) / 1024:.0f} KiB,"
            f" decoded {held:.0f} KiB in {spent / 1000:.1f} ms"
        )
        store = ConfigStore(RaisingMonitor())
        store.offer_index(
            ConfigIndex(1, {"reports": ServiceRevision(1, blob_digest(blob))})
        )
        store.offer_blobs([blob])
        assert store.generation == 1


def measure_routing() -> None:
    for agents in (16, 75, 150, 600):
        router = Router("dc-0", Random(1))
        endpoints = [Endpoint(f"e{n}", "", f"dc-{n % 10}") for n in range(agents)]
        router.configure({"s": endpoints})
        for endpoint in endpoints:
            router.on_link_up(endpoint.name, "i", False, Load())
        call = Call("r", "s", "c", "POST", "/", "", b"x" * 2000, 1.0, 1.0)
        choice = timed(lambda r=router, c=call: r.choose(c, (), 0.0), 300)
        report = timed(lambda r=router: r.on_load_report("e1", Load(3)), 2000)
        print(
            f"routing, {agents} agents of a service: choice {choice:.0f} us,"
            f" load report {report:.1f} us"
        )


def measure_membership() -> None:
    def make(nodes: int) -> GossipCore:
        info = NodeInfo("agent", "dc-1", "10.0.0.1:1", "", "", False)
        core = GossipCore("me", 1, info, Random(1), 0.0)
        for n in range(nodes):
            other = GossipCore(f"node-{n}", 1, info, Random(1), 0.0)
            core._accept(other.offer().pushed, 0.0)
        return core

    for nodes in (60, 120, 380, 980):
        _, held = allocated(lambda nodes=nodes: make(nodes))
        core = make(nodes)
        choice = timed(lambda core=core: core.choose_peer(0.0), 100)
        print(
            f"membership, {nodes} nodes: {held:.0f} KiB,"
            f" choice of a peer {choice:.0f} us"
        )


def measure_journal() -> None:
    for claims in (10, 100, 1000, 5000):
        journal = Journal(
            0.0,
            {
                f"{n:024x}": Claim(
                    f"agent-orders-1@1796338335315039/{n}",
                    "orders-1",
                    "agent-orders-1@1796338335315039",
                    1.0,
                    b"f" * 12,
                    ClaimState.DONE,
                )
                for n in range(claims)
            },
        )
        value = encode_journal(journal)
        spent = timed(lambda journal=journal: encode_journal(journal), 20)
        print(
            f"journal slot, {claims} claims: {len(value) / 1024:.1f} KiB,"
            f" encoded in {spent:.0f} us"
        )


class InstantPlatform:
    """Answers the store calls of one :class:`ClaimManager` at once and counts them."""

    def __init__(self, manager: ClaimManager) -> None:
        self.manager = manager
        self.values: dict[str, tuple[int, bytes | None]] = {}
        self.reads = 0
        self.writes = 0

    def run_steps(self, steps: list, now: float) -> None:
        """Carry out the steps of the manager and those that follow from them."""
        pending = list(steps)
        while pending:
            step = pending.pop(0)
            if isinstance(step, ReadSlot):
                self.reads += 1
                revision, value = self.values.get(step.slot, (0, None))
                pending += self.manager.on_read(step.slot, revision, value, now)
            elif isinstance(step, WriteSlot):
                self.writes += 1
                revision = step.expected_revision + 1
                self.values[step.slot] = (revision, step.value)
                pending += self.manager.on_written(step.slot, revision, now)


def measure_claims() -> None:
    """Count the store calls caused by at-most-once calls at a steady rate."""
    seconds = 60
    for rate in (1, 10, 100):
        manager = ClaimManager("a", "a@1", 86_400.0, Random(1))
        manager.configure(86_400.0, write_rate=1e9)
        platform = InstantPlatform(manager)
        random = Random(2)
        total = rate * seconds
        started_at = time.process_time()
        tick_at = 1000.0
        for number in range(total):
            now = 1000.0 + number / rate
            digest = f"{random.getrandbits(96):024x}"
            claim_id, steps = manager.claim("orders", digest, now, b"f", now)
            platform.run_steps(steps, now)
            done = manager.record(
                "orders", digest, claim_id, ClaimState.DONE, None, now
            )
            platform.run_steps(done, now)
            while tick_at <= now:
                platform.run_steps(manager.tick(tick_at), tick_at)
                tick_at += 0.1
        platform.run_steps(manager.flush(2000.0), 2000.0)
        spent = time.process_time() - started_at
        print(
            f"claims, {rate} a second: {platform.writes / total:.2f} writes and"
            f" {platform.reads / total:.2f} reads a call,"
            f" {spent / total * MICROSECONDS:.0f} us a call with ticks"
        )


def main() -> None:
    measure_configuration()
    measure_routing()
    measure_membership()
    measure_journal()
    measure_claims()
    size = len(msgspec.msgpack.encode(Load(3, 1000.0, 500.0)))
    print(f"load report: {size + 25} bytes in a frame of its own")


if __name__ == "__main__":
    main()
