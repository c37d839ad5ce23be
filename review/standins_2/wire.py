"""HTTP/1.1 over asyncio streams: as much as the stand-ins need."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

BACKLOG = 512
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}


class Closed(Exception):
    """The connection ended."""


@dataclass
class Call:
    """One request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass
class Connection:
    """One accepted connection.

    :param extra: a second copy of the last answer, sent where the next one is due.
    :param had_extra: whether it was sent in front of the present answer.
    :param gone: set once the peer has closed its side.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    extra: bytes = b""
    had_extra: bool = False
    gone: asyncio.Event = field(default_factory=asyncio.Event)


Handler = Callable[[Call, Connection], Awaitable[bytes | None]]


def answer(status: int, content: object = None, *fields: str) -> bytes:
    """Encode a response with a JSON body; an empty one without content."""
    body = b"" if content is None else json.dumps(content).encode()
    return raw_answer(status, body, "Content-Type: application/json", *fields)


def raw_answer(status: int, body: bytes, *fields: str) -> bytes:
    """Encode a response."""
    first = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
    lines = [first, *fields, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a body; empty at its end."""
    size = int((await reader.readline()).strip() or b"x", 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while part := await read_chunk(reader):
        body += part
    return body


async def read_call(reader: asyncio.StreamReader) -> Call:
    """Read one request."""
    first, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = first.split(" ")
    url = urlsplit(target)
    body = await _read_body(reader, headers)
    return Call(method, url.path, dict(parse_qsl(url.query)), headers, body)


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read the head of a response."""
    first, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
    return int(first.split(" ")[1]), headers


class Server:
    """Serves one address; requests of a connection are handled one at a time."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._socket = socket.socket()
        self._accepting: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def start(self, host: str, port: int = 0) -> int:
        """Listen; return the port."""
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())
        return int(self._socket.getsockname()[1])

    def stop(self) -> None:
        """Stop listening and break all connections off."""
        if self._accepting is not None:
            self._accepting.cancel()
        self._socket.close()
        for each in self._fillers:
            each.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Behave as if the links of all peers were cut.

        New connections find the queue of the listener full, so that their first packet
        is dropped. What arrives on open ones is not handled.
        """
        assert self._accepting is not None
        self.reachable.clear()
        self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._fillers.append(filler)

    def heal(self) -> None:
        """End the cut."""
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self._socket.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())
        self.reachable.set()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            reader = asyncio.StreamReader(limit=1 << 20)
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(
                lambda protocol=protocol: protocol, accepted
            )
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            task = asyncio.create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        calls: asyncio.Queue[Call | None] = asyncio.Queue()
        reading = asyncio.create_task(self._read(connection, calls))
        try:
            while (call := await calls.get()) is not None:
                await self.wait_for_link(connection)
                if connection.extra:
                    writer.write(connection.extra)
                    connection.extra = b""
                    connection.had_extra = True
                data = await self._handler(call, connection)
                connection.had_extra = False
                await self.wait_for_link(connection)
                if data is not None:
                    writer.write(data)
                    await writer.drain()
        except (OSError, Closed, asyncio.CancelledError):
            pass
        finally:
            reading.cancel()
            writer.transport.abort()

    async def wait_for_link(self, connection: Connection) -> None:
        """Wait until the link is not cut; raise if the peer has closed meanwhile."""
        if not self.reachable.is_set():
            await self.reachable.wait()
            await asyncio.sleep(0.01)
            if connection.gone.is_set():
                raise Closed

    async def _read(
        self, connection: Connection, calls: asyncio.Queue[Call | None]
    ) -> None:
        try:
            while True:
                calls.put_nowait(await read_call(connection.reader))
        except (OSError, EOFError, ValueError):
            await self.reachable.wait()
            connection.gone.set()
            calls.put_nowait(None)
