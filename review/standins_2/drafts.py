"""A deployment of draft engines in groups, with gateways in front of them."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from standins_2.deployment import (
    API_KEY,
    BOUNDS,
    HOST,
    Gateway,
    Record,
    random_network,
)
from standins_2.ranks import EXPERTS, PLACEMENTS, SETS, SPARE, Group, Trouble
from standins_2.store import Store

GATEWAYS = 3
RANKS = 8
SERVICE = "draft-llm"

EXTRA, EXTRA_RANKS, EXTRA_SECONDS = 0.03, 0.6, 5.0
"""``x``, ``share`` and ``for_s`` of ``garble`` (``extra late``) among the troubles of
sdsc-duct."""

UNANSWERED = 0.35
"""``x`` of ``applied_late`` among the troubles of sdsc-duct."""

ENGINE = {
    "slots": 6,
    "kv_capacity_tokens": 186000,
    "kv_token_bytes": 192512,
    "link_mbps": 92000.0,
    "stride": 5,
    "models": [{"name": "m"}],
    "step_ms": 5.85,
    "per_seq_ms": 0.71,
    "context_per_k": 0.072,
    "read_per_s": 61200.0,
    "pairs_per_m": 0.325,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 139},
    "sets": SETS,
    "experts": EXPERTS,
    "placements": PLACEMENTS,
    "spare": SPARE,
    "expert_mb": 580.0,
    "expert_share": 0.85,
    "form_ms": 600.0,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "draft",
            "host": HOST,
            "prefix": "/draft/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "public": False,
            "session_affinity": True,
            "resumable": True,
            "target_gap_ms": 120,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": 884,
            "engine": ENGINE,
        }
    ],
    "limits": LIMITS,
    "tenants": [{"name": "crews", "api_keys": [API_KEY], "priority": 1}],
}


class Site:
    """What is running."""

    def __init__(
        self, store: Store, groups: list[Group], gateways: list[Gateway]
    ) -> None:
        self.store = store
        self.groups = groups
        self.gateways = gateways
        self.tasks: list[asyncio.Task[None]] = []
        self.closers: list[Callable[[], None]] = []

    async def watch(self, seconds: float) -> None:
        """Let time pass; raise the error of a stand-in that failed."""
        until = asyncio.get_running_loop().time() + seconds
        while (left := until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(1.0, left))
            for task in self.tasks:
                if task.done():
                    task.result()

    async def answer_twice(self, seconds: float) -> None:
        """Let ranks answer twice: the first one, and others every few seconds."""
        for _ in range(round(seconds / EXTRA_SECONDS)):
            for group in self.groups:
                others = random.sample(range(1, RANKS), round(EXTRA_RANKS * RANKS) - 1)
                drawn = [0, *others]
                for rank in group.ranks:
                    rank.has_extra = rank.number in drawn
            await self.watch(EXTRA_SECONDS)
        for group in self.groups:
            for rank in group.ranks:
                rank.has_extra = False


@asynccontextmanager
async def run_site(
    record: Record,
    directory: Path,
    group_count: int,
    trouble: Trouble,
    call_time: tuple[float, float] = (0.0, 0.0),
) -> AsyncIterator[Site]:
    """Start the store, the engines and the gateways; end them afterwards.

    :param call_time: bounds of the seconds that a rank needs for a report or an order.
    """
    network = random_network()
    store = Store()
    address = await store.start(f"{network}.1")
    groups = [
        Group(f"g{n}", RANKS, record, trouble, call_time) for n in range(group_count)
    ]
    seeds = [f"{network}.{10 + n}" for n in range(GATEWAYS)]
    gateways = [
        Gateway(n, network, address, directory, dict(BOUNDS), seeds)
        for n in range(GATEWAYS)
    ]
    site = Site(store, groups, gateways)
    try:
        await store.put("op/config", CONFIG)
        for group in groups:
            await group.start(f"{network}.2")
            for rank in group.ranks:
                await store.put(f"servers/{rank.id}", group.entry(rank, SERVICE))
            site.tasks.append(asyncio.create_task(group.run()))
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        record.add("ready", groups=group_count, trouble=trouble)
        yield site
    finally:
        for task in site.tasks:
            task.cancel()
        for close in site.closers:
            close()
        for gateway in gateways:
            await gateway.end()
        for group in groups:
            group.stop()
        store.server.stop()
        await asyncio.sleep(0.2)
