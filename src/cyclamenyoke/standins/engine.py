"""A stand-in for the platform's engines and plain services, with their faults.

Each request takes the next behaviour of a script, and sound answers when the script is
empty. Every request that begins to run is recorded, so that a test can tell whether
one ran, and how often.
"""

import asyncio
import collections
import enum
import socket
import struct
from dataclasses import dataclass, field

import httptools
import msgspec

from cyclamenyoke.core.units import MILLISECOND

EVENT_TIME = 5 * MILLISECOND
"""Seconds between two events of a stream."""

STREAM_EVENTS = 5
"""Events of a stream."""

RESET_DELAY = 20 * MILLISECOND
"""Seconds between the last bytes of an answer and a reset."""


class Behaviour(enum.Enum):
    """What the stand-in does with one request."""

    ANSWER = "answer"
    REJECT = "reject"
    BROKEN_GROUP = "broken_group"
    """Rejects since another rank of its group is down."""
    MISDIRECT = "misdirect"
    FAIL = "fail"
    TRUNCATE = "truncate"
    RESET = "reset"
    EXTRA = "extra"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    SILENT = "silent"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    WRONG_ID = "wrong_id"
    """A late answer to another request comes first, then the right one."""


@dataclass(slots=True)
class EngineRequest:
    """One request as it arrived; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class EngineState:
    """What the stand-in has seen.

    :param arrived: every request, in order.
    :param run: those that began to run.
    :param dropped: requests whose connection closed while they ran.
    """

    received: list[EngineRequest] = field(default_factory=list)
    executed: list[EngineRequest] = field(default_factory=list)
    disconnected: int = 0
    connections: int = 0


class _Parser:
    """Collects one request."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.whole: collections.deque[EngineRequest] = collections.deque()
        self._clear()

    def _clear(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        request = EngineRequest(
            method, self._target.decode(), self._headers, self._body
        )
        self.whole.append(request)
        self._clear()


class StandInEngine:
    """One engine, or one server of a plain service.

    :param id_: as the engine's entry names it.
    :param is_stream: whether its answers are event streams.
    """

    def __init__(self, id_: str, is_stream: bool) -> None:
        self._id = id_
        self._is_stream = is_stream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.script: collections.deque[Behaviour] = collections.deque()
        self.keep_alive: int | None = 30
        self.event_interval = EVENT_TIME
        self.state = EngineState()

    @property
    def id(self) -> str:
        """The id of this start of the engine."""
        return self._id

    @property
    def address(self) -> str:
        """Where it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def entry(self, service: str, state: str = "ready") -> bytes:
        """Return its entry in the platform's store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return msgspec.json.encode(entry)

    async def start(self, host: str = "127.0.0.1") -> None:
        """Begin to listen on any port."""
        self._server = await asyncio.start_server(self._serve, host, 0)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def close_idle(self) -> None:
        """Close all connections as after an idle timeout."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.state.connections += 1
        parser = _Parser()
        try:
            while data := await reader.read(65536):
                parser.parser.feed_data(data)
                while parser.whole:
                    await self._answer(parser.whole.popleft(), reader, writer)
        except (OSError, asyncio.CancelledError, httptools.HttpParserError):
            # A caller or a fault made on purpose broke the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: EngineRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.state.received.append(request)
        behaviour = self.script.popleft() if self.script else Behaviour.ANSWER
        target = request.headers.get("x-target-instance", self._id)
        if behaviour is Behaviour.MISDIRECT or target != self._id:
            writer.write(self._head(request, 421, ["X-Instance-Id: other"], b""))
            return
        if behaviour is Behaviour.BROKEN_GROUP:
            fields = ["X-Not-Executed: 1", "At-Server: another"]
            writer.write(self._head(request, 503, fields, b""))
            return
        if behaviour is Behaviour.REJECT:
            writer.write(self._head(request, 503, ["X-Not-Executed: 1"], b""))
            return
        self.state.executed.append(request)
        if behaviour is Behaviour.SILENT:
            await reader.read(1)
            self.state.disconnected += 1
            raise ConnectionResetError
        if self._is_stream and behaviour is not Behaviour.FAIL:
            await self._stream(request, behaviour, reader, writer)
            return
        self._plain(request, behaviour, writer)

    def _plain(
        self,
        request: EngineRequest,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = f"answer to {request.headers['x-request-id']}".encode()
        whole = self._head(request, 200, [], body)
        unframed = whole.replace(b"Content-Length: %d\r\n" % len(body), b"")
        late = EngineRequest("GET", "/", {"x-request-id": "another"}, b"")
        answers = {
            Behaviour.ANSWER: whole,
            Behaviour.FAIL: self._head(request, 500, [], b"failed"),
            Behaviour.TRUNCATE: whole[:-3],
            Behaviour.RESET: b"",
            Behaviour.EXTRA: whole + whole,
            Behaviour.UNFRAMED: unframed,
            Behaviour.UNFRAMED_RESET: unframed[:-3],
            Behaviour.UNSIGNED: whole.replace(b"X-Response-Signature", b"X-Other"),
            Behaviour.ENCODED: self._head(
                request, 200, ["Content-Encoding: gzip"], body
            ),
            Behaviour.WRONG_ID: self._head(late, 200, [], b"late") + whole,
        }
        writer.write(answers[behaviour])
        if behaviour in (Behaviour.RESET, Behaviour.UNFRAMED_RESET):
            self._reset(writer)
        if behaviour in (Behaviour.TRUNCATE, Behaviour.UNFRAMED):
            writer.close()

    async def _stream(
        self,
        request: EngineRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = self._head(request, 200, ["Content-Type: text/event-stream"], None)
        writer.write(head)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            await asyncio.sleep(self.event_interval)
            if reader.at_eof() or writer.transport.is_closing():
                self.state.disconnected += 1
                raise ConnectionResetError
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if behaviour is Behaviour.TRUNCATE and number == first + 2:
                writer.write(b"%x\r\n%b" % (len(event), event[:-4]))
                self._reset(writer)
                return
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        """Close with a reset, once what was written has gone out."""
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)

        def reset() -> None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        asyncio.get_running_loop().call_later(RESET_DELAY, reset)

    def _head(
        self,
        request: EngineRequest,
        status: int,
        fields: list[str],
        body: bytes | None,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Status", *fields]
        lines.append(f"X-Request-Id: {request.headers.get('x-request-id', '')}")
        if "X-Not-Executed: 1" not in fields and status != 421:
            lines.append(f"X-Response-Signature: signed-by-{self._id}")
        if self.keep_alive is not None:
            lines.append(f"Keep-Alive: timeout={self.keep_alive}")
        if body is None:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + (body or b"")
