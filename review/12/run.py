"""An engine runs orders and fails them; their callers are told that they have not run.

With ``TROUBLE=0`` no engine fails.
"""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

from harness_3.http_io import Message, call
from harness_3.site import HOST, KEY, CannotRun, Site, route

PROMISES = (408, 421, 429, 503)
SERVERS, FAILING_SERVERS = 3, 1
SLOTS = 6
FAILING_SHARE, FAILING_SECONDS = 0.4, 6.5
ORDERS_PER_SECOND, SECONDS = 12.0, 9.0
DEADLINE = 1.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")


class Callers:
    """Sends orders as the pages say, and notes what each attempt was answered."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._random = Random(11)
        self.answers: dict[str, int] = {}
        self.attempts: dict[int, list[str]] = {}

    async def order(self, number: int) -> None:
        """Send one order; once more, with another id, after a promise."""
        deadline = time.monotonic() + DEADLINE
        for attempt in (1, 2):
            left = deadline - time.monotonic()
            if left <= 0.05:
                return
            id_ = f"order-{number}-{attempt}"
            self.attempts.setdefault(number, []).append(id_)
            gateway = self._random.choice(self._site.gateways)
            try:
                answer = await self._send(gateway.address("front"), id_, left)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.answers[id_] = 0
                return
            self.answers[id_] = answer.status
            if answer.status not in PROMISES:
                return
            wait = float(answer.headers.get("retry-after", "0.05"))
            await asyncio.sleep(min(wait, max(0.0, deadline - time.monotonic()) / 3))

    async def _send(self, address: str, id_: str, left: float) -> Message:
        headers = [
            ("Host", HOST),
            ("X-Request-Id", id_),
            ("X-Deadline-Ms", str(int(left * 1000))),
            ("Authorization", f"Bearer {KEY}"),
            ("Connection", "close"),
        ]
        return await call(address, "POST", "/order/x", headers, b"{}", left)


async def play(site: Site) -> tuple[Callers, list[dict]]:
    """Play the case; return what callers saw and what engines ran."""
    await site.start_store()
    await site.configure(
        [route("order", "unsafe", "app", 1000)],
        [{"name": "app", "max_connections": 208}],
    )
    addresses = []
    for number in range(SERVERS):
        options = ["--failing-share", str(FAILING_SHARE)]
        started = await site.start_engine(f"app-{number}", "app", SLOTS, *options)
        addresses.append(started[1])
    await site.start_gateways(2)
    callers, tasks = Callers(site), []
    started_at = time.monotonic()
    if HAS_TROUBLE:
        for address in addresses[:FAILING_SERVERS]:
            body = str(FAILING_SECONDS).encode()
            await call(address, "POST", "/test/fail", body=body)
    for number in range(int(ORDERS_PER_SECOND * SECONDS)):
        due = started_at + number / ORDERS_PER_SECOND
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(callers.order(number)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    lines = (site.folder / "engines.jsonl").read_text().splitlines()
    return callers, [json.loads(line) for line in lines]


def judge(callers: Callers, events: list[dict]) -> int:
    """Write the record; return how many requests broke the rule."""
    ran = Counter(each["request"] for each in events if each["event"] == "begun")
    said = {
        each["request"]: each["event"]
        for each in events
        if each["event"].startswith("answered")
    }
    broken = [
        id_
        for id_, status in callers.answers.items()
        if status in PROMISES and ran[id_]
    ]
    twice = [
        number
        for number, ids in callers.attempts.items()
        if sum(ran[id_] for id_ in ids) > 1
    ]
    with RECORD.open("w") as record:
        record.write(f"trouble: {HAS_TROUBLE}\n")
        for id_, status in callers.answers.items():
            runs = f"ran {ran[id_]} times, engine {said.get(id_, 'said nothing')}"
            mark = "  <-- REFUSED" if id_ in broken else ""
            record.write(f"{id_}: caller got {status}; {runs}{mark}\n")
        statuses = dict(Counter(callers.answers.values()))
        record.write(f"statuses of callers: {statuses}\n")
        record.write(f"answered with a promise though run: {len(broken)}\n")
        record.write(f"orders that so ran under two ids: {len(twice)} {twice}\n")
    return len(broken)


async def main() -> int:
    """Return the exit status."""
    try:
        async with Site() as site:
            callers, events = await play(site)
    except (CannotRun, OSError, TimeoutError) as error:
        RECORD.write_text(f"could not run: {error!r}\n")
        return 2
    if not any(status == 200 for status in callers.answers.values()):
        RECORD.write_text("could not run: no order was answered\n")
        return 2
    return 1 if judge(callers, events) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
