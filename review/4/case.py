"""A gateway is stopped while clients that cached its address still send streams.

Each client resolves the service just before the stop and opens a new connection after
``Connection: close``. One in three keeps the answer for three times its lifetime. The
gateway gets SIGTERM, and SIGKILL after ``grace_s`` as the platform does it.
"""

import asyncio
import random
import signal
import time

from deployment import GRACE_S, Answer, Client, Site, configuration, run_case
from standins import EngineWork, Run

GATEWAYS = 3
CLIENTS = 72
CLIENTS_PER_PATIENT_ONE = 3
PAUSE_OF_OTHERS_S = 6.0
DURATION_S = 16.0
STOP_AFTER_S = 4.0
LIFETIMES_KEPT = 3
# A request that was sent until then may be cut at the end of the grace time.
EXCUSED_SENDING_S = 3.0
EVENTS = 28
EVENT_GAP_S = 0.1
DEADLINE_MS = 8051


class StreamClient:
    """Sends streams one after the other, to addresses that the directory named."""

    def __init__(self, site: Site, until: float, is_patient: bool) -> None:
        self._site = site
        self._is_patient = is_patient
        self._until = until
        self._addresses: list[str] = []
        self._failed: set[str] = set()
        self._resolve_at = 0.0
        self.client = Client(site.record)

    async def resolve(self) -> None:
        """Ask the directories in turn until one names addresses."""
        for gateway in self._site.gateways:
            addresses, lifetime = await gateway.resolve()
            if addresses:
                self._addresses, self._failed = addresses, set()
                kept_for = lifetime * (LIFETIMES_KEPT if self._is_patient else 1)
                self._resolve_at = time.monotonic() + kept_for
                return

    async def run(self) -> None:
        # The clients do not start together.
        await asyncio.sleep(random.uniform(0, EVENTS * EVENT_GAP_S))
        while time.monotonic() < self._until:
            if time.monotonic() >= self._resolve_at:
                await self.resolve()
            usable = [each for each in self._addresses if each not in self._failed]
            if not usable:
                self._resolve_at = 0.0
                await asyncio.sleep(0.1)
                continue
            address = random.choice(usable)
            answer = await self.client.send(
                address,
                "/draft/2f",
                DEADLINE_MS,
                X_Model="m",
                X_Token_Usage="674,140",
                X_Prompt_Prefix=f"5c1e07a2:40,{random.randrange(2**32):08x}:634",
            )
            if not answer.is_whole:
                self._failed.add(address)
            await asyncio.sleep(0.1 if self._is_patient else PAUSE_OF_OTHERS_S)


def is_lost(answer: Answer, runs: dict[str, list[Run]], stopped_at: float) -> bool:
    """Return whether an answer was cut for no reason that the rule excuses."""
    sent_after = answer.sent_at - stopped_at
    was_cut = not answer.is_whole and answer.error != "TimeoutError"
    was_passed_on = answer.request_id in runs
    is_around_stop = EXCUSED_SENDING_S < sent_after < GRACE_S + 1
    return was_cut and was_passed_on and is_around_stop


async def body(site: Site, has_trouble: bool) -> bool:
    for number in range(8):
        work = EngineWork(events=EVENTS, gap_s=EVENT_GAP_S)
        await site.add_engine(f"i-draft-{number}", "draft-llm", work)
    await site.start(GATEWAYS, configuration())
    begun_at = time.monotonic()
    until = begun_at + DURATION_S
    clients = [
        StreamClient(site, until, number % CLIENTS_PER_PATIENT_ONE == 0)
        for number in range(CLIENTS)
    ]
    tasks = [site.run(each.run()) for each in clients]
    await asyncio.sleep(STOP_AFTER_S)
    await asyncio.gather(*(each.resolve() for each in clients))
    stopped_at, leaving = time.monotonic(), site.gateways[-1]
    site.record.add("clients have resolved", clients=CLIENTS)
    if has_trouble:
        leaving.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        leaving.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    runs = site.runs()
    answers = [answer for each in clients for answer in each.client.answers]
    at_leaving = [each for each in answers if each.address == leaving.front]
    lost = [each for each in at_leaving if is_lost(each, runs, stopped_at)]
    for each in lost:
        site.record.add(
            "lost",
            request=each.request_id,
            sent_after_sigterm=round(each.sent_at - stopped_at, 3),
            cut_after_sigterm=round(each.ended_at - stopped_at, 3),
            bytes=len(each.body),
        )
    site.record.add(
        "count",
        requests=len(answers),
        whole=sum(each.is_whole for each in answers),
        at_leaving_after_sigterm=sum(e.sent_at > stopped_at for e in at_leaving),
        lost=len(lost),
    )
    return bool(lost)


run_case(body)
