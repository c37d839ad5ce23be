"""A stand-in for the platform's engines and plain services, with injected faults.

Each request takes the next behaviour from the script; once the script is empty,
requests are answered normally. Every request that is executed is recorded, so that a
test can check whether and how often a request ran.
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

EVENT_INTERVAL = 5 * MILLISECOND
"""Seconds between two events of a stream."""

STREAM_EVENTS = 5
"""Number of events in a stream."""

RESET_DELAY = 20 * MILLISECOND
"""Seconds between the last bytes of a response and the connection reset."""


NOT_EXECUTED = "X-Not-Executed: 1"
HEADER_LINES = b"X-Filler: aaaaaaaaaaaaaaaa\r\n" * 512
LONG_CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
FIRST_EVENT = b"17\r\nid: 1\ndata: piece 1\n\n\r\n"
COMMENT_CHUNK = b"4\r\n: .\n\r\n1\r\n\n\r\n"


class Behaviour(enum.Enum):
    """How the stand-in handles one request."""

    ANSWER = "answer"
    REJECT = "reject"
    """Responds that it has not executed the request."""
    BROKEN_GROUP = "broken_group"
    """Rejects because another rank of its group is down."""
    MISDIRECT = "misdirect"
    """Responds with status 421, like an engine that is not the request's target."""
    FAIL = "fail"
    """Executes the request and responds with status 500."""
    TRUNCATE = "truncate"
    """Ends the connection before the response is complete."""
    RESET = "reset"
    """Resets the connection in place of a response; plain services only."""
    EXTRA = "extra"
    """Sends the response twice."""
    UNFRAMED = "unframed"
    """Sends no length or chunks and ends the response by closing the connection."""
    UNFRAMED_RESET = "unframed_reset"
    """Truncates an unframed response by a connection reset."""
    SILENT = "silent"
    """Executes the request and never responds."""
    UNSIGNED = "unsigned"
    """Leaves the signature header out."""
    ENCODED = "encoded"
    """Declares a Content-Encoding."""
    UNFRAMED_PARTIAL = "unframed_partial"
    """Closes the connection of an unframed stream inside an event."""
    UNFRAMED_EMPTY = "unframed_empty"
    """Closes the connection of an unframed stream before the first event."""
    ENDLESS_HEAD = "endless_head"
    """Sends header lines until the caller closes the connection."""
    ENDLESS_BODY = "endless_body"
    """Sends a body until the caller closes the connection."""
    ENDLESS_EVENT = "endless_event"
    """Sends a stream with an event that never ends, a few bytes at a time."""
    COMMENTS = "comments"
    """Sends a stream with one event, then only comments."""
    ENDLESS_REJECTION = "endless_rejection"
    """Rejects the request, with a body that never ends."""
    WRONG_ID = "wrong_id"
    """Sends a late response to another request, then the right one."""


ENDLESS = frozenset(
    {
        Behaviour.ENDLESS_HEAD,
        Behaviour.ENDLESS_BODY,
        Behaviour.ENDLESS_EVENT,
        Behaviour.COMMENTS,
        Behaviour.ENDLESS_REJECTION,
    }
)
"""Behaviours that end only when the caller closes the connection."""

UNFRAMED_STREAMS = frozenset(
    {Behaviour.UNFRAMED, Behaviour.UNFRAMED_PARTIAL, Behaviour.UNFRAMED_EMPTY}
)
"""Behaviours of streams that only the end of the connection delimits."""


@dataclass(slots=True)
class EngineRequest:
    """One received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class EngineState:
    """The requests and connections that the stand-in has recorded.

    :param received: every request, in order.
    :param executed: the requests that started to run.
    :param disconnected: requests whose connection was closed while they ran.
    :param connections: accepted connections.
    """

    received: list[EngineRequest] = field(default_factory=list)
    executed: list[EngineRequest] = field(default_factory=list)
    disconnected: int = 0
    connections: int = 0


class _RequestParser:
    """Assembles requests from the bytes of one connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.complete: collections.deque[EngineRequest] = collections.deque()
        self._clear()

    def _clear(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode().lower(), value.decode()
        # Fields of one name are one list (RFC 9110, section 5.3).
        self._headers[key] = (
            f"{self._headers[key]}, {text}" if key in self._headers else text
        )

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        request = EngineRequest(
            method, self._target.decode(), self._headers, self._body
        )
        self.complete.append(request)
        self._clear()


class StandInEngine:
    """One engine, or one server of a plain service.

    :param id_: the instance id under which it is registered in the store.
    :param is_stream: whether it responds with event streams.
    """

    def __init__(self, id_: str, is_stream: bool, data_centre: str = "dc-1") -> None:
        self._id = id_
        self._is_stream = is_stream
        self._data_centre = data_centre
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.script: collections.deque[Behaviour] = collections.deque()
        self.keep_alive: int | None = 30
        self.event_interval = EVENT_INTERVAL
        self.is_leaving = False
        self.retry_after: str | None = None
        self.rate_limit: float | None = None
        # Parts of prompts on which the engine ends once it begins to write.
        self.crashing_parts: frozenset[str] = frozenset()
        # Bodies of requests under which it ends as it begins to run them, and whether
        # a stream's head is sent before.
        self.crashing_bodies: frozenset[bytes] = frozenset()
        self.sends_head_before_crash = False
        self.answer_delay = 0.0
        self.state = EngineState()

    @property
    def id(self) -> str:
        """The instance id, which is new after each start of an engine."""
        return self._id

    @property
    def address(self) -> str:
        """``HOST:PORT`` of its listener."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def entry(self, service: str, state: str = "ready") -> bytes:
        """Return the encoded record that registers it in the platform's store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": self._data_centre,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return msgspec.json.encode(entry)

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def has_ended(self) -> bool:
        """Whether it was stopped or has crashed."""
        return self._server is None or not self._server.is_serving()

    def _is_crashing(self, request: EngineRequest) -> bool:
        parts = request.headers.get("x-prompt-prefix", "").split(",")[:-1]
        return any(part.partition(":")[0] in self.crashing_parts for part in parts)

    def add_headers(self) -> list[str]:
        """Return what every response states about the engine itself."""
        fields = ["Server-Leaving: 1"] if self.is_leaving else []
        if self.rate_limit is not None:
            fields.append(f"Server-Limit: {self.rate_limit}")
        return fields

    def close_idle(self) -> None:
        """Close all connections, as after an idle timeout."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.state.connections += 1
        parser = _RequestParser()
        try:
            while data := await reader.read(65536):
                parser.parser.feed_data(data)
                while parser.complete:
                    await self._respond(parser.complete.popleft(), reader, writer)
        except (OSError, asyncio.CancelledError, httptools.HttpParserError):
            # The caller or an injected fault closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
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
            fields = [NOT_EXECUTED, "At-Server: another"]
            writer.write(self._head(request, 503, fields, b""))
            return
        if behaviour is Behaviour.REJECT:
            fields = [NOT_EXECUTED]
            if self.retry_after is not None:
                fields.append(f"Retry-After: {self.retry_after}")
            writer.write(self._head(request, 503, fields, b""))
            return
        if behaviour in ENDLESS:
            await self._respond_without_end(request, behaviour, writer)
            return
        self.state.executed.append(request)
        if behaviour is Behaviour.SILENT:
            await reader.read(1)
            self.state.disconnected += 1
            raise ConnectionResetError
        if request.body in self.crashing_bodies:
            await self._crash_under(request, writer)
            return
        await asyncio.sleep(self.answer_delay)
        if self._is_stream and behaviour is not Behaviour.FAIL:
            await self._respond_stream(request, behaviour, reader, writer)
            return
        self._respond_plain(request, behaviour, writer)

    async def _crash_under(
        self, request: EngineRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_stream and self.sends_head_before_crash:
            fields = ["Content-Type: text/event-stream"]
            writer.write(self._head(request, 200, fields, None))
        await asyncio.sleep(self.event_interval)
        await self.stop()

    async def _respond_without_end(
        self,
        request: EngineRequest,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send bytes until the caller closes the connection."""
        stream = ["Content-Type: text/event-stream"]
        status, fields, start, part, interval = {
            Behaviour.ENDLESS_HEAD: (200, [], None, HEADER_LINES, 0.0),
            Behaviour.ENDLESS_BODY: (200, [], b"", LONG_CHUNK, 0.0),
            Behaviour.ENDLESS_EVENT: (200, stream, b"", b"1\r\nx\r\n", 0.05),
            Behaviour.COMMENTS: (200, stream, FIRST_EVENT, COMMENT_CHUNK, 0.05),
            Behaviour.ENDLESS_REJECTION: (503, [NOT_EXECUTED], b"", LONG_CHUNK, 0.0),
        }[behaviour]
        if status < 300:
            self.state.executed.append(request)
        if start is None:
            writer.write(b"HTTP/1.1 200 OK\r\n")
        else:
            writer.write(self._head(request, status, fields, None) + start)
        try:
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(interval)
        finally:
            self.state.disconnected += 1

    def _respond_plain(
        self,
        request: EngineRequest,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = f"answer to {request.headers['x-request-id']}".encode()
        complete = self._head(request, 200, [], body)
        unframed = complete.replace(b"Content-Length: %d\r\n" % len(body), b"")
        other_request = EngineRequest("GET", "/", {"x-request-id": "another"}, b"")
        responses = {
            Behaviour.ANSWER: complete,
            Behaviour.FAIL: self._head(request, 500, [], b"failed"),
            Behaviour.TRUNCATE: complete[:-3],
            Behaviour.RESET: b"",
            Behaviour.EXTRA: complete + complete,
            Behaviour.UNFRAMED: unframed,
            Behaviour.UNFRAMED_RESET: unframed[:-3],
            Behaviour.UNSIGNED: complete.replace(b"X-Response-Signature", b"X-Other"),
            Behaviour.ENCODED: self._head(
                request, 200, ["Content-Encoding: gzip"], body
            ),
            Behaviour.WRONG_ID: self._head(other_request, 200, [], b"late") + complete,
        }
        writer.write(responses[behaviour])
        if behaviour in (Behaviour.RESET, Behaviour.UNFRAMED_RESET):
            self._reset_after_delay(writer)
        if behaviour in (Behaviour.TRUNCATE, Behaviour.UNFRAMED):
            writer.close()

    async def _respond_stream(
        self,
        request: EngineRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = self._head(request, 200, ["Content-Type: text/event-stream"], None)
        is_unframed = behaviour in UNFRAMED_STREAMS
        if is_unframed:
            head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        writer.write(head)
        if behaviour is Behaviour.UNFRAMED_EMPTY:
            writer.close()
            return
        if self._is_crashing(request):
            await asyncio.sleep(self.event_interval)
            await self.stop()
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            await asyncio.sleep(self.event_interval)
            if reader.at_eof() or writer.transport.is_closing():
                self.state.disconnected += 1
                raise ConnectionResetError
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if behaviour is Behaviour.TRUNCATE and number == first + 2:
                writer.write(b"%x\r\n%b" % (len(event), event[:-4]))
                self._reset_after_delay(writer)
                return
            if behaviour is Behaviour.UNFRAMED_PARTIAL and number == first + 2:
                writer.write(event[:-4])
                writer.close()
                return
            chunk = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event if is_unframed else chunk)
        if is_unframed:
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")

    def _reset_after_delay(self, writer: asyncio.StreamWriter) -> None:
        """Reset the connection after ``RESET_DELAY``, once earlier bytes are sent."""
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
        lines = [f"HTTP/1.1 {status} Status", *fields, *self.add_headers()]
        lines.append(f"X-Request-Id: {request.headers.get('x-request-id', '')}")
        if NOT_EXECUTED not in fields and status != 421:
            lines.append(f"X-Response-Signature: signed-by-{self._id}")
        if self.keep_alive is not None:
            lines.append(f"Keep-Alive: timeout={self.keep_alive}")
        if body is None:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + (body or b"")
