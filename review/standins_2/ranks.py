"""A stand-in for one group of model engines whose ranks share each pass.

A rank begins a pass with the map that it is armed for, or else with the one before. The
group records each pass that two ranks would begin with different maps.
"""

import asyncio
import json
import random
import time
from collections import deque
from dataclasses import dataclass, field

from standins_2.deployment import Record
from standins_2.wire import Call, Connection, Server, answer, raw_answer

SETS, EXPERTS, SPARE, PLACEMENTS = 2, 32, 4, 8
REPORT_LAG = 0.2
PASS_TIME = 0.07
LOAD_TIME = 580.0 * 8 / 92000.0
EVENTS = 28
HOT_SHARE = 0.75
SHIFT_INTERVAL = 3.2
LATE = (2.0, 12.0)
"""Seconds after which an order without an answer is carried out (PROTOCOL.md:
"seconds later")."""


@dataclass
class Trouble:
    """What goes wrong; shares are of answers or orders.

    :param extra: share of the answers of a rank that come a second time, where the next
        one is due.
    :param unanswered: share of the orders without an answer, carried out late.
    """

    extra: float = 0.0
    unanswered: float = 0.0


@dataclass
class Stream:
    """A request in progress."""

    events: asyncio.Queue[int]
    number: int
    last: int


@dataclass
class Rank:
    """One engine of the group."""

    group: "Group"
    number: int
    id: str
    address: str = ""
    sequence: int = 0
    version: int = 0
    maps: dict[int, object] = field(default_factory=dict)
    highest: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    streams: list[Stream] = field(default_factory=list)
    counts: list[int] = field(default_factory=lambda: [0] * (SETS * EXPERTS))
    states: deque[tuple[float, dict[str, object]]] = field(default_factory=deque)
    has_extra: bool = False
    placed: list[set[int]] = field(default_factory=list)
    server: Server | None = None

    def note(self) -> None:
        """Keep the present state for later reports."""
        state: dict[str, object] = {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": len(self.streams),
            "kv_used": 0,
            "kv_total": 186000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": self.group.name,
                "epoch": 1,
                "rank": self.number,
                "state": "open",
            },
            "size": len(self.group.ranks),
            "step": self.group.step,
            "map": self.version,
            "born": 1_700_000_000_000,
        }
        if self.prepared is not None:
            state["prepared"] = self.prepared
        if self.armed is not None:
            state["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            state["held"] = self.held
        self.states.append((time.monotonic(), state))

    def report(self) -> dict[str, object]:
        """Return the state as of some hundred ms ago."""
        until = time.monotonic() - REPORT_LAG
        while len(self.states) > 1 and self.states[1][0] <= until:
            self.states.popleft()
        return self.states[0][1]

    def begin_pass(self, step: int) -> None:
        """Take the map for which the rank is armed, if this is the pass."""
        if self.armed is not None and self.armed[1] <= step:
            self.version, self.armed = self.armed[0], None
            self.placed = _placed(self.maps[self.version], self.number)
        self.note()

    def order(self, order: dict[str, object]) -> int:
        """Carry an order out; return the status of its answer."""
        if order.get("epoch", 1) != 1:
            return 409
        expected = order.get("expected")
        if expected is not None and expected != self.sequence:
            return 409
        operations = {
            "prepare": self._prepare,
            "arm": self._arm,
            "disarm": self._disarm,
            "hold": self._hold,
            "go": self._go,
        }
        operation = operations.get(str(order["operation"]))
        if operation is None:
            return 400
        status = operation(order)
        if status == 202:
            self.sequence += 1
        self.note()
        return status

    def _prepare(self, order: dict[str, object]) -> int:
        version = int(str(order["version"]))
        placed = _placed(order["map"], self.number)
        new = [
            len(now - before) for now, before in zip(placed, self.placed, strict=True)
        ]
        if version <= self.highest or self.armed is not None or max(new) > SPARE:
            return 409
        self.highest, self.prepared = version, None
        self.maps[version] = order["map"]
        loop = asyncio.get_running_loop()
        loop.call_later(sum(new) * LOAD_TIME, self._on_copied, version)
        return 202

    def _on_copied(self, version: int) -> None:
        if version == self.highest:
            self.prepared = version
            self.note()

    def _arm(self, order: dict[str, object]) -> int:
        switch = int(str(order["version"])), int(str(order["step"]))
        if self.armed == switch:
            return 200
        if self.prepared != switch[0] or switch[1] <= self.group.step or self.armed:
            return 409
        self.armed = switch
        return 202

    def _disarm(self, order: dict[str, object]) -> int:
        version = int(str(order["version"]))
        if version == self.version:
            return 409
        if self.armed is None or self.armed[0] != version:
            return 200
        self.armed = None
        return 202

    def _hold(self, order: dict[str, object]) -> int:
        step = int(str(order["step"]))
        if self.held == step:
            return 200
        if self.held is not None or step <= self.group.step:
            return 409
        self.held = step
        return 202

    def _go(self, order: dict[str, object]) -> int:
        if self.held != int(str(order["step"])):
            return 200
        self.held = None
        return 202

    async def handle(self, call: Call, connection: Connection) -> bytes | None:
        """Answer one request."""
        target = call.headers.get("x-target-instance", self.id)
        echo = [
            f"X-Request-Id: {id_}" for id_ in [call.headers.get("x-request-id")] if id_
        ]
        if target != self.id:
            return answer(421, None, f"X-Instance-Id: {self.id}", *echo)
        if call.path.startswith("/v1/"):
            await asyncio.sleep(random.uniform(*self.group.call_time))
        if call.path == "/v1/report":
            return self._send(answer(200, self.report(), *echo), connection)
        if call.path == "/v1/picked":
            picked = {"step": self.group.step, "epoch": 1, "counts": self.counts}
            return self._send(answer(200, picked, *echo), connection)
        if call.path == "/v1/order":
            return self._on_order(call, echo, connection)
        return await self._stream(call, connection)

    def _send(self, data: bytes, connection: Connection) -> bytes:
        trouble = self.group.trouble
        if self.has_extra and random.random() < trouble.extra:
            connection.extra = data
        return data

    def _on_order(
        self, call: Call, echo: list[str], connection: Connection
    ) -> bytes | None:
        order = json.loads(call.body)
        record, trouble = self.group.record, self.group.trouble
        shown = {name: value for name, value in order.items() if name != "map"}
        shown["after_extra"] = connection.had_extra
        if random.random() < trouble.unanswered:
            delay = random.uniform(*LATE)
            asyncio.get_running_loop().call_later(delay, self._order_late, order, shown)
            record.add(
                "order", rank=self.id, **shown, answer="none", late=f"{delay:.1f}"
            )
            return None
        status = self.order(order)
        record.add("order", rank=self.id, **shown, answer=status)
        return self._send(answer(status, None, *echo), connection)

    def _order_late(self, order: dict[str, object], shown: dict[str, object]) -> None:
        status = self.order(order)
        self.group.record.add("late order", rank=self.id, **shown, result=status)

    async def _stream(self, call: Call, connection: Connection) -> bytes | None:
        id_ = call.headers.get("x-request-id", "")
        record = self.group.record
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {id_}",
            f"X-Response-Signature: {self.id}.0",
            "X-Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        if len(self.streams) >= 24:
            return raw_answer(503, b"", "X-Not-Executed: 1", f"X-Request-Id: {id_}")
        first = int(call.headers.get("last-event-id", 0))
        stream = Stream(asyncio.Queue(), first, EVENTS)
        self.streams.append(stream)
        self.group.wake.set()
        record.add("run", rank=self.id, request=id_, after=first)
        writer, is_begun = connection.writer, False
        gone = asyncio.create_task(connection.gone.wait())
        try:
            while stream.number < stream.last:
                event = asyncio.create_task(stream.events.get())
                await asyncio.wait({event, gone}, return_when="FIRST_COMPLETED")
                if not event.done():
                    event.cancel()
                    record.add("dropped", rank=self.id, request=id_, at=stream.number)
                    raise ConnectionError
                assert self.server is not None
                await self.server.wait_for_link(connection)
                if not is_begun:
                    writer.write("\r\n".join(head).encode())
                    is_begun = True
                stream.number += 1
                text = f"id: {stream.number}\ndata: {id_} {stream.number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            gone.cancel()
            if stream in self.streams:
                self.streams.remove(stream)
        record.add("done", rank=self.id, request=id_)
        return b""


def _placed(experts: object, number: int) -> list[set[int]]:
    """Return the experts that a map gives to a rank, by set."""
    assert isinstance(experts, list)
    return [set(row[number]) for row in experts]


class Group:
    """Ranks that execute each pass together."""

    def __init__(
        self,
        name: str,
        size: int,
        record: Record,
        trouble: Trouble,
        call_time: tuple[float, float],
    ) -> None:
        self.name = name
        self.call_time = call_time
        self.record = record
        self.trouble = trouble
        self.step = 0
        self.wake = asyncio.Event()
        self.ranks = [Rank(self, n, f"i-{name}-{n}") for n in range(size)]
        self.mixed: list[str] = []
        self.switches = 0
        start = [list(range(EXPERTS))[n::size] for n in range(size)]
        for rank in self.ranks:
            rank.maps[0] = [start for _ in range(SETS)]
            rank.placed = _placed(rank.maps[0], rank.number)
        self._hot_since = -SHIFT_INTERVAL
        self._hot: list[int] = []

    async def start(self, host: str) -> None:
        """Serve all ranks."""
        for rank in self.ranks:
            rank.note()
            rank.server = Server(rank.handle)
            rank.address = f"{host}:{await rank.server.start(host)}"

    def stop(self) -> None:
        """Break all connections off."""
        for rank in self.ranks:
            if rank.server is not None:
                rank.server.stop()

    async def run(self) -> None:
        """Make passes while there is work; an idle group makes none."""
        while True:
            if not any(rank.streams for rank in self.ranks):
                self.wake.clear()
                await self.wake.wait()
            step = self.step + 1
            while any(rank.held == step for rank in self.ranks):
                await asyncio.sleep(0.002)
            self.step = step
            self._begin(step)
            self._count()
            await asyncio.sleep(PASS_TIME)
            for rank in self.ranks:
                for stream in rank.streams:
                    stream.events.put_nowait(step)

    def _begin(self, step: int) -> None:
        before = {rank.version for rank in self.ranks}
        for rank in self.ranks:
            rank.begin_pass(step)
        versions = {rank.version for rank in self.ranks}
        if versions != before and len(versions) == 1:
            self.switches += 1
            self.record.add("map changed", group=self.name, step=step, to=versions)
        if len(versions) > 1 and versions != before:
            by_rank = {rank.id: rank.version for rank in self.ranks}
            text = f"MAP: pass {step} of {self.name} begins with maps {by_rank}"
            self.mixed.append(text)
            self.record.add(text)

    def _count(self) -> None:
        now = time.monotonic()
        if now - self._hot_since > SHIFT_INTERVAL:
            self._hot_since = now
            rank = random.randrange(len(self.ranks))
            self._hot = list(range(EXPERTS))[rank :: len(self.ranks)]
        for rank in self.ranks:
            for number in range(SETS):
                for _ in range(20):
                    is_hot = random.random() < HOT_SHARE
                    pool = self._hot if is_hot else range(EXPERTS)
                    rank.counts[number * EXPERTS + random.choice(pool)] += 2

    def entry(self, rank: Rank, service: str) -> dict[str, object]:
        """Return a rank's entry in the platform's store."""
        return {
            "service": service,
            "address": rank.address,
            "zone": "bkk-north",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": rank.sequence,
            "born": 1_700_000_000_000,
        }
