"""Two engines hand out a few wrong answers when they are asked for their expert counts.

Streams run over kept connections through two gateways to a group of eight engines. In
three answers to ``GET /v1/picked`` at most, 2.5 s apart, two engines leave out the last
expert of each set.
"""

import asyncio
import json
import time

from deployment import SHORT_STREAM, Site, StreamLoad, configuration, run_case
from standins import Engine, Group, Message

GATEWAYS = 2
CLIENTS_PER_GATEWAY = 18
DURATION_S = 14.0
GARBLED_FROM_S = 5.0
# The users' sheet: 2 to 3 in 100 answers, for 5 to 5.5 s.
GARBLED_FOR_S = 5.5
GARBLED_ANSWERS = 3
GARBLED_GAP_S = 2.5
FAULTY_ENGINES = 2
MAX_LOST = 3
RANKS, SETS, EXPERTS = 8, 6, 64
MODEL = {
    "step_ms": 5.85,
    "per_seq_ms": 0.355,
    "context_per_k": 0.036,
    "read_per_s": 61200,
    "chunk": 512,
    "stride": 5,
    "report_lag_ms": 200,
    "kv_capacity_tokens": 186000,
    "usual": {"prompt": 800, "answer": 140},
    "link_mbps": 92000,
    "sets": SETS,
    "experts": EXPERTS,
    "placements": 11,
    "spare": 4,
    "expert_mb": 580,
}


class GarblingEngine(Engine):
    """Counts the answers of all engines, and garbles a few during the disruption."""

    has_trouble = False
    answers = 0
    garbled = 0
    next_garbled_at = 0.0
    faulty: set[str] = set()

    def may_garble(self) -> bool:
        """Return whether this engine is one of the first two that are asked."""
        if not self.has_trouble or self.garbled >= GARBLED_ANSWERS:
            return False
        if time.monotonic() < self.next_garbled_at:
            return False
        if len(self.faulty) < FAULTY_ENGINES:
            self.faulty.add(self.id)
        return self.id in self.faulty

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        GarblingEngine.answers += 1
        await super().handle(request, writer)

    def control_answer(self, request: Message, group: Group) -> tuple[int, bytes]:
        status, body = super().control_answer(request, group)
        if not request.target.startswith("/v1/picked") or not self.may_garble():
            return status, body
        GarblingEngine.garbled += 1
        GarblingEngine.next_garbled_at = time.monotonic() + GARBLED_GAP_S
        content = json.loads(body)
        content["counts"] = [
            count
            for place, count in enumerate(content["counts"])
            if place % EXPERTS != EXPERTS - 1
        ]
        return status, json.dumps(content).encode()


async def add_group(site: Site) -> None:
    group = Group(RANKS, SETS, EXPERTS)
    for rank in range(RANKS):
        engine = GarblingEngine(
            f"i-draft-{rank}",
            "draft-llm",
            site.store,
            SHORT_STREAM,
            rank=rank,
            group=group,
        )
        await engine.start()
        site.engines.append(engine)
        site.run(engine.heartbeat())

    def is_busy() -> bool:
        last_runs = (run for each in site.engines for run in each.runs[-10:])
        return any(run.ended_at is None for run in last_runs)

    site.run(group.run_passes(is_busy))


async def body(site: Site, has_trouble: bool) -> bool:
    await add_group(site)
    config = configuration()
    config["services"][0]["engine"] = MODEL
    await site.start(GATEWAYS, config)
    load = StreamLoad(site, CLIENTS_PER_GATEWAY, DURATION_S)
    await asyncio.sleep(GARBLED_FROM_S)
    before, GarblingEngine.has_trouble = GarblingEngine.answers, has_trouble
    await asyncio.sleep(GARBLED_FOR_S)
    GarblingEngine.has_trouble = False
    answered = GarblingEngine.answers - before
    await load.wait()
    return (
        load.record_lost(
            engines_answers_meanwhile=answered,
            garbled=GarblingEngine.garbled,
            faulty_engines=sorted(GarblingEngine.faulty),
        )
        > MAX_LOST
    )


run_case(body)
