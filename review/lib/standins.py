"""Stand-ins of the platform's store and of engines, with the standard library only.

They do what PROTOCOL.md of the users says and no more; each case injects its own
disruption. All of them run in the process of the case, on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.2


@dataclass
class Message:
    """One HTTP request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the start line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or chunks."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Listens on a loopback address and handles the requests of each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        name, number = self._server.sockets[0].getsockname()
        self.address = f"{name}:{number}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.readers):
            writer.transport.abort()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.readers[writer] = reader
        try:
            while True:
                await self.handle(await read_message(reader), writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.readers[writer]
            writer.close()


class Store(Server):
    """The platform's key-value store: linearizable, one revision counter, leases."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.era = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        # By id: lifetime in seconds, and when the lease ends.
        self.leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(gone)
            async with self._changed:
                self._changed.notify_all()

    async def expire_leases(self) -> None:
        """End the leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        status, content = await self.answer(request)
        body = json.dumps(content).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)

    async def answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, id_ = url.path.removeprefix("/v1/").partition("/")
        content = json.loads(request.body) if request.body else {}
        calls = {
            "kv-key": lambda: self._get(query["key"]),
            "kv-range": lambda: self._range(query["prefix"], query.get("after", "")),
            "kv-watch": lambda: self._watch(query),
            "kv-txn": lambda: self._transact(content),
            "kv-lease": lambda: self._grant(content["ttl_ms"] / 1000),
            "kv-keep": lambda: self._keep(int(id_)),
            "kv-lease-end": lambda: self._revoke(int(id_)),
        }
        return await calls[name]()

    async def _get(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        status = 404 if item is None else 200
        return status, {**(item or {}), "store_revision": self.revision}

    async def _range(self, prefix: str, after: str) -> tuple[int, dict]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:500]]
        more = len(keys) > len(page)
        found = {"items": page, "truncated": more, "store_revision": self.revision}
        return 200, found

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["after"])

        def events() -> list[dict]:
            return [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(events)
        return 200, {"events": events(), "store_revision": self.revision}

    async def _transact(self, change: dict) -> tuple[int, dict]:
        expected = change.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                keys = [each["key"] for each in expected]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        for write in change.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in change.get("writes", []):
            value = base64.b64decode(write["value"])
            await self.put(write["key"], value, write.get("lease", 0))
        for key in change.get("deletes", []):
            await self.remove(key)
        return 200, {"revision": self.revision}

    async def _grant(self, lifetime: float) -> tuple[int, dict]:
        self.revision += 1
        self.leases[self.revision] = lifetime, time.monotonic() + lifetime
        return 200, {"lease": self.revision, "ttl_ms": int(lifetime * 1000)}

    async def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        lifetime = self.leases[lease][0]
        self.leases[lease] = lifetime, time.monotonic() + lifetime
        return 200, {"ttl_ms": int(lifetime * 1000)}

    async def _revoke(self, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        await self._end_lease(lease)
        return 200, {}


@dataclass
class Run:
    """One request that an engine has begun to work on."""

    request: Message
    began_at: float
    ended_at: float | None = None
    is_whole: bool = False

    @property
    def request_id(self) -> str:
        return self.request.headers.get("x-request-id", "")


@dataclass
class Group:
    """The ranks of one engine group, which run passes while requests run.

    :param counts: how often each expert was chosen, one set after another.
    """

    ranks: int
    sets: int
    experts: int
    step: int = 0
    counts: list[int] = field(default_factory=list)

    async def run_passes(self, is_busy: Callable[[], bool]) -> None:
        """Run passes, in which all experts are in equal demand, until cancelled."""
        self.counts = [0] * (self.sets * self.experts)
        while True:
            await asyncio.sleep(0.03)
            if is_busy():
                self.step += 1
                self.counts = [count + 5 for count in self.counts]

    def report(self, rank: int) -> dict:
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": 1,
            "kv_used": 41000,
            "kv_total": 186000,
            "handles": 0,
            "group": {"name": "g0", "epoch": 1, "rank": rank, "state": "open"},
            "size": self.ranks,
            "step": self.step,
            "map": 0,
            "prepared": None,
            "armed": None,
            "held": None,
        }


@dataclass
class EngineWork:
    """How an engine answers: a stream of events, or a body after some work.

    :param first_s: seconds until the first event, which reading the prompt takes; the
        gap if it is 0.
    """

    events: int = 0
    gap_s: float = 0.0
    first_s: float = 0.0
    work_s: float = 0.0225
    body_bytes: int = 800


@dataclass
class Engine(Server):
    """One engine: runs what is meant for it, echoes the id and signs its answers."""

    id: str
    service: str
    store: Store
    work: EngineWork
    zone: str = "bkk-north"
    slots: int = 6
    rank: int = 0
    group: "Group | None" = None
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    state: str = "ready"

    def __post_init__(self) -> None:
        super().__init__()
        self.runs: list[Run] = []
        self.rejected = 0
        self.sequence = 0
        self.extra_headers: list[str] = []
        self.is_registered = True

    async def register(self) -> None:
        """Write the engine's entry."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def heartbeat(self) -> None:
        """Write the entry at each heartbeat, until cancelled."""
        while True:
            if self.is_registered:
                await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def head(self, request: Message, status: int, *fields: str) -> bytes:
        lines = [f"HTTP/1.1 {status} X", *fields, *self.extra_headers]
        lines.append(f"X-Request-Id: {request.headers.get('x-request-id', '')}")
        lines.append(f"X-Instance-Id: {self.id}")
        lines.append("Keep-Alive: timeout=30")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        target = request.headers.get("x-target-instance", self.id)
        if self.group is not None and request.target.startswith("/v1/"):
            status, body = self.control_answer(request, self.group)
            fields = ("Content-Type: application/json", f"Content-Length: {len(body)}")
            writer.write(self.head(request, status, *fields) + body)
            return
        is_ours = target == self.id and "x-request-id" in request.headers
        if not is_ours:
            self.rejected += 1
            status = 421 if target != self.id else 400
            fields = ("X-Not-Executed: 1", "Content-Length: 0")
            writer.write(self.head(request, status, *fields))
            return
        run = Run(request, time.monotonic())
        self.runs.append(run)
        try:
            if self.work.events:
                await self._stream(request, writer)
            else:
                await self._answer(request, writer)
            run.is_whole = True
        finally:
            run.ended_at = time.monotonic()

    def control_answer(self, request: Message, group: "Group") -> tuple[int, bytes]:
        """Return the status and body of a report, the expert counts or an order."""
        if request.target.startswith("/v1/report"):
            content = group.report(self.rank)
        elif request.target.startswith("/v1/picked"):
            content = {"step": group.step, "epoch": 1, "counts": list(group.counts)}
        else:
            # The experts are in equal demand, so no order is expected.
            return 409, b"{}"
        return 200, json.dumps({**content, "born": self.born}).encode()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work.work_s)
        body = request.headers["x-request-id"].encode().ljust(self.work.body_bytes)
        fields = (f"Content-Length: {len(body)}", f"X-Response-Signature: {self.id}")
        writer.write(self.head(request, 200, *fields) + body)
        await writer.drain()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send the events; stop when the caller closes the connection."""
        fields = (
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Response-Signature: {self.id}",
        )
        writer.write(self.head(request, 200, *fields))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.work.events + 1):
            is_first = number == first
            await asyncio.sleep(is_first and self.work.first_s or self.work.gap_s)
            if self.readers[writer].at_eof() or writer.transport.is_closing():
                raise ConnectionResetError
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 50)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
