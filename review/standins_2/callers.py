"""Callers that keep connections to gateways and send requests over them."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins_2.deployment import API_KEY, HOST, Record
from standins_2.drafts import Site
from standins_2.wire import read_chunk, read_head

DEADLINE = 8.0

PATIENCE = 2.0
"""Seconds without an event after which callers leave a stream (PROTOCOL.md)."""

SESSIONS = 12
"""Sessions that are open at the same time."""

SESSION_SECONDS = 14.0
MIN_REQUESTS, MIN_SESSION_SECONDS = 4, 8.0
"""What a session must have to count in the rule Starved."""

MAX_LOST_SHARE = 0.6
"""Gate: refused and failed requests are at most 60% of those owed."""


@dataclass
class Result:
    """How a request ended.

    :param status: 0 without a complete answer.
    """

    id: str
    kind: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    detail: str = ""
    session: str = ""
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


_connections: list["Connection"] = []


def close_all() -> None:
    """Close the connections of all callers."""
    for connection in _connections:
        connection.close()


class Connection:
    """A connection to a gateway that is kept between requests."""

    def __init__(self, address: str) -> None:
        _connections.append(self)
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect, unless there is a connection."""
        if self.writer is None or self.writer.transport.is_closing():
            host, _, port = self.address.rpartition(":")
            async with asyncio.timeout(1.0):
                self.reader, self.writer = await asyncio.open_connection(
                    host, int(port), limit=1 << 20
                )

    def close(self) -> None:
        """Close it at once."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


_numbers = itertools.count(1)
_run = f"{random.getrandbits(32):08x}"


def new_id() -> str:
    """Return an id that no other request has."""
    return f"{_run}{next(_numbers):08x}"


def encode(
    id_: str,
    kind: str,
    path: str,
    body: bytes = b"",
    deadline: float = DEADLINE,
    session: str = "",
) -> bytes:
    """Encode a request of a caller."""
    method = "GET" if kind == "safe" else "POST"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {id_}",
        f"X-Deadline-Ms: {int(1000 * deadline)}",
        f"Authorization: Bearer {API_KEY}",
    ]
    if kind == "streaming":
        tokens = random.randrange(300, 1500)
        lines += [
            "X-Model: m",
            f"X-Token-Usage: {tokens},140",
            f"X-Prompt-Prefix: {_prefix(session, tokens)}",
        ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _prefix(session: str, tokens: int) -> str:
    """Return the parts of a prompt: common, of the session if any, and its own."""
    own = f"{random.getrandbits(32):08x}"
    if not session:
        return f"5c1e07a2:40,{own}:{tokens - 40}"
    return f"5c1e07a2:40,{session}:100,{own}:{tokens - 140}"


async def ask(
    connection: Connection,
    record: Record,
    kind: str,
    path: str,
    body: bytes = b"",
    deadline: float = DEADLINE,
    patience: float = DEADLINE,
    session: str = "",
) -> Result:
    """Send one request and read its answer.

    :param patience: seconds without a part of the answer after which the caller leaves.
    """
    id_ = new_id()
    result = Result(id_, kind, time.monotonic(), session=session)
    try:
        async with asyncio.timeout(deadline + 1.0):
            await connection.open()
            assert connection.writer is not None and connection.reader is not None
            result.sent_at = time.monotonic()
            record.add("sent", request=id_, kind=kind, to=connection.address)
            data = encode(id_, kind, path, body, deadline, session)
            connection.writer.write(data)
            async with asyncio.timeout(patience):
                status, headers = await read_head(connection.reader)
            result.headers = headers
            result.body = await _read_body(connection.reader, headers, patience)
            result.status = status
            if headers.get("connection", "").lower() == "close":
                connection.close()
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        result.detail = type(error).__name__
        connection.close()
    except asyncio.CancelledError:
        connection.close()
        raise
    result.ended_at = time.monotonic()
    record.add("answered", request=id_, status=result.status, detail=result.detail)
    return result


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], patience: float
) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        async with asyncio.timeout(patience):
            return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        async with asyncio.timeout(patience):
            part = await read_chunk(reader)
        if not part:
            return body
        body += part


class Callers:
    """Ask for drafts at a steady rate over connections that are kept.

    Each request belongs to one of the open sessions.
    """

    def __init__(self, site: Site, record: Record, rate: float) -> None:
        site.closers.append(close_all)
        self._site = site
        self._record = record
        self._rate = rate
        self._idle: list[Connection] = []
        self._results: list[Result] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # By session: when it ends.
        self._sessions: dict[str, float] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            task = asyncio.create_task(self._ask(self._pick_session()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(self._rate))

    def stop(self) -> list[Result]:
        """Give up the requests in progress; return how the others ended."""
        for task in self._tasks:
            task.cancel()
        return list(self._results)

    def _pick_session(self) -> str:
        now = time.monotonic()
        open_ = {id_: end for id_, end in self._sessions.items() if end > now}
        while len(open_) < SESSIONS:
            # The first ones end at different times.
            share = 1.0 if self._sessions else random.uniform(0.6, 1.0)
            open_[f"{random.getrandbits(32):08x}"] = now + share * SESSION_SECONDS
        self._sessions = open_
        return random.choice(list(open_))

    async def _ask(self, session: str) -> None:
        connection = Connection(random.choice(self._site.gateways).front)
        if self._idle:
            connection = self._idle.pop(random.randrange(len(self._idle)))
        result = await ask(
            connection,
            self._record,
            "streaming",
            "/draft/1",
            b"{}",
            patience=PATIENCE,
            session=session,
        )
        self._results.append(result)
        self._idle.append(connection)


def check_served(
    results: Sequence[Result], record: Record, held: Sequence[int | None]
) -> list[str]:
    """Return the broken rules of the gate.

    :param held: by rank, the pass that it holds at the end.
    """
    counts = Counter(each.status for each in results)
    lost = sum(count for status, count in counts.items() if status != 200)
    record.add("requests", by_status=dict(counts), held=held)
    found = []
    if lost > MAX_LOST_SHARE * len(results):
        found.append(
            f"Gate: {lost} of {len(results)} requests were refused or failed;"
            f" passes held at the end: {held}"
        )
    by_session: dict[str, list[Result]] = {}
    for each in results:
        by_session.setdefault(each.session, []).append(each)
    counted = [
        each
        for each in by_session.values()
        if len(each) >= MIN_REQUESTS
        and each[-1].sent_at - each[0].sent_at > MIN_SESSION_SECONDS
    ]
    never = [each for each in counted if all(one.status != 200 for one in each)]
    chance = sum((lost / len(results)) ** len(each) for each in counted)
    record.add("sessions", counted=len(counted), never_served=len(never), chance=chance)
    if len(never) > 2 + 0.04 * len(counted) + 3 * chance:
        found.append(
            f"Starved: {len(never)} of {len(counted)} sessions were never served;"
            f" passes held at the end: {held}"
        )
    return found
