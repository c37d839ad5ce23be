"""An engine hands out one wrong answer when it is asked for its expert counts.

Streams run over kept connections through three gateways to a group of four engines. In
one answer to ``GET /v1/picked`` an engine leaves out the last expert of each set.
"""

import asyncio
import json
import time

from deployment import Answer, Client, Site, configuration, run_case
from standins import Engine, EngineWork, Group, Message

GATEWAYS = 3
CLIENTS_PER_GATEWAY = 5
DURATION_S = 14.0
GARBLED_FROM_S = 5.0
# The users' sheet: 2 to 3 in 100 answers, for 5 to 5.5 s.
GARBLED_FOR_S = 5.5
GARBLED_ANSWERS = 1
MAX_LOST = 3
RANKS, SETS, EXPERTS = 4, 6, 64
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
    "placements": 20,
    "spare": 4,
    "expert_mb": 580,
}


class GarblingEngine(Engine):
    """Counts its answers during the disruption, and garbles one of them."""

    has_trouble = False
    answers = 0
    garbled = 0

    @classmethod
    def may_garble(cls) -> bool:
        return cls.has_trouble and cls.garbled < GARBLED_ANSWERS

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        GarblingEngine.answers += 1
        await super().handle(request, writer)

    def control_answer(self, request: Message, group: Group) -> tuple[int, bytes]:
        status, body = super().control_answer(request, group)
        if not request.target.startswith("/v1/picked") or not self.may_garble():
            return status, body
        GarblingEngine.garbled += 1
        content = json.loads(body)
        content["counts"] = [
            count
            for place, count in enumerate(content["counts"])
            if place % EXPERTS != EXPERTS - 1
        ]
        return status, json.dumps(content).encode()


async def use(client: Client, address: str, until: float) -> None:
    """Send streams one after the other on a kept connection."""
    while time.monotonic() < until:
        answer = await client.send(address, "/draft/2f", 8051, X_Model="m")
        if not answer.is_whole or answer.status != 200:
            await asyncio.sleep(0.2)


def is_lost(answer: Answer, runs: dict[str, list]) -> bool:
    """Return whether a kept connection closed on a request that an engine ran."""
    was_closed = not answer.is_whole and answer.error != "TimeoutError"
    return answer.is_reused and was_closed and answer.request_id in runs


async def add_group(site: Site) -> None:
    group = Group(RANKS, SETS, EXPERTS)
    for rank in range(RANKS):
        work = EngineWork(events=28, gap_s=0.035)
        engine = GarblingEngine(
            f"i-draft-{rank}",
            "draft-llm",
            site.store,
            work,
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
    until = time.monotonic() + DURATION_S
    clients, tasks = [], []
    for gateway in site.gateways:
        for _ in range(CLIENTS_PER_GATEWAY):
            clients.append(Client(site.record))
            tasks.append(site.run(use(clients[-1], gateway.front, until)))
    await asyncio.sleep(GARBLED_FROM_S)
    before, GarblingEngine.has_trouble = GarblingEngine.answers, has_trouble
    await asyncio.sleep(GARBLED_FOR_S)
    GarblingEngine.has_trouble = False
    answered = GarblingEngine.answers - before
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    runs = site.runs()
    answers = [answer for client in clients for answer in client.answers]
    lost = [answer for answer in answers if is_lost(answer, runs)]
    site.record.add(
        "count",
        engines_answers_meanwhile=answered,
        garbled=GarblingEngine.garbled,
        requests=len(answers),
        whole=sum(answer.is_whole and answer.status == 200 for answer in answers),
        lost_on_kept_connections=len(lost),
        own_ends={each.node: len(each.own_ends) for each in site.gateways},
    )
    return len(lost) > MAX_LOST


run_case(body)
