"""An HTTP/1.1 server for callers, based on httptools.

The requests of a connection are handled one at a time, each in its own task, which is
cancelled when the caller closes the connection.
"""

import asyncio
import collections
import errno
import socket
import struct
import sys
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any

import httptools

from cyclamenyoke.adapters.head_check import check_field, check_status
from cyclamenyoke.adapters.http_connection import Header, probe_idle_peer
from cyclamenyoke.adapters.read_pacer import PacedReads, ReadPacer
from cyclamenyoke.adapters.request_form import (
    OPTIONAL_WHITE_SPACE,
    TAB_AT_LINE_END,
    TABS_TO_SPACES,
    normalize_head,
)
from cyclamenyoke.core.caller_memory import (
    CONNECTION_BYTES,
    SMALL_REQUEST_BYTES,
    TEXT_COPIES,
    CallerMemory,
    MemoryHolder,
    request_cost,
)
from cyclamenyoke.core.connection_limit import ConnectionLimit, ConnectionUse
from cyclamenyoke.core.gateway_config import CallerLimits
from cyclamenyoke.core.refusals import Refusal, RefusalReason, shorten, shorten_path
from cyclamenyoke.core.units import KIBIBYTE, MILLISECOND, SECOND
from cyclamenyoke.ports.clock import Clock

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; enough for a burst from all callers of a
small site."""

MAX_ACCEPTS_AT_ONCE = 16
"""Connections that are accepted before the event loop goes on, so that those above the
limit are closed before many more are accepted."""

NO_DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
"""Errors of accepting while there is no file descriptor left."""

FULL_RETRY_AFTER = 1 * SECOND
"""Seconds after which a caller that found no room for its connection may try again."""

SWEEP_INTERVAL = 500 * MILLISECOND
"""Seconds between two checks of the connections' deadlines."""

RECEIVE_BUFFER_BYTES = 32 * KIBIBYTE
"""Size of the kernel's buffer for what the server has not yet read."""

LINGER_TIMEOUT = 1 * SECOND
"""Seconds for which data from the caller is read and discarded after the last response,
because a TCP reset could destroy a rejection before the caller has read it."""

MAX_PIPELINED_REQUESTS = 8
"""Pipelined requests at which reading is paused."""

MAX_PENDING_REQUESTS = 64
"""Pipelined requests beyond which a further one is refused; one read may contain more
than those at which reading is paused."""

FIRST_READ_BYTES = 4 * KIBIBYTE
"""Bytes that are read at once while no body is received, and so a bound on the requests
that are received before reading is paused."""

FRAMING_PER_BODY_BYTE = 8
"""Bytes that a chunked body may take for each of its own: those of a chunk of one byte
with leading zeros in its size."""

MAX_OVERHEAD_BYTES = 256 * KIBIBYTE
"""Largest number of bytes that a chunked body may take beyond these: extensions of
chunks. It is checked after each read."""

WRITE_HIGH_WATER_BYTES = 64 * KIBIBYTE
"""Unsent bytes for a slow caller at which the source of the response is paused."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: no seconds to send what is left."""

MAX_REQUEST_LINE_BYTES = 1 * KIBIBYTE
"""Bytes of a head that its limit does not count, at most: empty lines before it, the
method, the version and the ends of lines."""

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
SINGLE_HEADERS = frozenset({b"host", b"content-length", b"transfer-encoding"})
"""Headers that a request may contain only once."""

LIMIT_REASONS = frozenset(
    {RefusalReason.HEADERS_TOO_LARGE, RefusalReason.BODY_TOO_LARGE}
)
"""Reasons that a newer configuration may lift."""

HEAD_END = b"\r\n\r\n"
"""End of a head, and of a chunked body."""

CHUNKED = b"chunked"
"""The only transfer coding that is implemented."""


@dataclass(slots=True)
class HttpRequest:
    """One complete request.

    :param target: path and query as received, also of a target in absolute form.
    :param headers: names with the case in which they were received, values without
        surrounding white space.
    :param received_at: when its first byte arrived, in seconds by the server's clock.
    :param keep_alive: whether the connection stays open after the response.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    received_at: float
    keep_alive: bool
    is_http_1_0: bool

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


Handler = Callable[[HttpRequest, "Responder"], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """Why a message is refused; see :class:`~cyclamenyoke.core.refusals.Refusal`."""

    status: HTTPStatus
    reason: RefusalReason
    field: str = ""
    value: bytes = b""
    size: float | None = None
    limit: float | None = None


def check_framing(headers: Sequence[Header]) -> Fault | None:
    """Return the fault of a request whose body can't be delimited or decoded.

    A transfer coding that is not implemented goes before other faults, since its caller
    can send the request without it. Apart from that the only value allowed is one that
    this function and the parser read alike.

    :returns: ``None`` if nothing is wrong.

    >>> check_framing([(b"Transfer-Encoding", b"Chunked")])
    >>> check_framing([(b"Transfer-Encoding", b"gzip, chunked")]).status
    <HTTPStatus.NOT_IMPLEMENTED: 501>
    >>> check_framing([(b"Transfer-Encoding", b"chunked, chunked")]).status
    <HTTPStatus.BAD_REQUEST: 400>
    """
    names = [name.lower() for name, _ in headers]
    if b"transfer-encoding" in names:
        value = b",".join(
            value
            for name, (_, value) in zip(names, headers, strict=True)
            if name == b"transfer-encoding"
        ).lower()
        codings = {coding.strip(b" \t") for coding in value.split(b",")}
        if codings - {CHUNKED, b""}:
            return Fault(
                HTTPStatus.NOT_IMPLEMENTED,
                RefusalReason.UNSUPPORTED_CODING,
                "transfer-encoding",
                value,
            )
        if value.rstrip(b" ") != CHUNKED:
            return Fault(
                HTTPStatus.BAD_REQUEST,
                RefusalReason.AMBIGUOUS_FRAMING,
                "transfer-encoding",
                value,
            )
    for single in SINGLE_HEADERS:
        if names.count(single) > 1:
            values = [value for name, value in headers if name.lower() == single]
            return Fault(
                HTTPStatus.BAD_REQUEST,
                RefusalReason.REPEATED_HEADER,
                single.decode(),
                b", ".join(values),
            )
    return None


def check_upgrade(headers: Sequence[Header]) -> Fault | None:
    """Return the fault of a request that offers an upgrade and can't be read whole.

    The parser skips the body of such a request; without one the offer is declined.

    >>> check_upgrade([(b"Content-Length", b"0")])
    >>> check_upgrade([(b"Content-Length", b"3")]).status
    <HTTPStatus.NOT_IMPLEMENTED: 501>
    """
    for name, value in headers:
        is_length = name.lower() == b"content-length"
        if name.lower() == b"transfer-encoding" or (is_length and int(value)):
            return Fault(
                HTTPStatus.NOT_IMPLEMENTED,
                RefusalReason.UPGRADE_WITH_BODY,
                name.decode("latin-1").lower(),
                value,
            )
    return None


def encode_head(status: int, headers: Sequence[Header]) -> bytes:
    """Encode the status line and headers of a response.

    :raises MalformedHead: when there is no such status, or a header is malformed.
    """
    check_status(status, "1.1")
    for name, value in headers:
        check_field(name, value)
    reason = REASON_PHRASES.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])


def _has_unsent(connection: "IngressConnection") -> bool:
    return connection.has_unsent


def _after(data: bytes, mark: bytes, start: int) -> int:
    """Return the position after the next mark; the length of the data without one."""
    position = data.find(mark, start)
    return len(data) if position < 0 else position + len(mark)


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "IngressConnection", request: HttpRequest) -> None:
        self._connection = connection
        self._request = request
        self._is_chunked = False
        self._is_started = False
        self._is_complete = False

    @property
    def is_started(self) -> bool:
        """Whether a part of the response has been sent."""
        return self._is_started

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the connection's responses that the kernel has not taken."""
        return self._connection.unsent_bytes

    def respond(
        self, status: int, headers: Sequence[Header] = (), body: bytes = b""
    ) -> None:
        """Send a complete response."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self._request.method == b"HEAD":
            body = b""
        self._write_head(status, fields, body)
        self._end()

    def start(self, status: int, headers: Sequence[Header]) -> None:
        """Start a response of unknown length."""
        fields = list(headers)
        self._is_chunked = not self._request.is_http_1_0
        if self._is_chunked:
            fields.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._request.keep_alive = False
        self._write_head(status, fields, b"")

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        await self._connection.drain()

    def finish(self) -> None:
        """Complete the response."""
        if self._is_chunked:
            self._connection.write(LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        if not self._is_chunked:
            # Its proper end would look the same as the end of the response.
            self._connection.reset_on_close()
        self._connection.reset()

    def end_unanswered(self) -> None:
        """End a response that the handler has not completed.

        Without a part of it the caller gets an error, and otherwise sees that it is
        incomplete.
        """
        if self._is_complete:
            return
        if self._is_started:
            self.abort()
            return
        self._request.keep_alive = False
        self.respond(HTTPStatus.INTERNAL_SERVER_ERROR.value)

    def _write_head(self, status: int, fields: list[Header], body: bytes) -> None:
        if not self._request.keep_alive or self._connection.closes_after_response:
            self._request.keep_alive = False
            fields.append((b"Connection", b"close"))
        elif self._request.is_http_1_0:
            fields.append((b"Connection", b"keep-alive"))
        head = encode_head(status, fields)
        self._is_started = True
        self._connection.write(head + body)

    def _end(self) -> None:
        self._is_complete = True
        if not self._request.keep_alive:
            self._connection.close_gracefully()


class IngressConnection(asyncio.BufferedProtocol, MemoryHolder):
    """One connection from a caller.

    Reads are small, and a connection whose bytes are costly to parse awaits its turn,
    so that the time of the event loop is bounded whatever callers send.
    """

    def __init__(self, server: "IngressServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # The parser would reject some transfer codings before they are known here, and
        # pass over others; check_framing is stricter and covers all.
        self._parser.set_dangerous_leniencies(lenient_transfer_encoding=True)
        # Whole requests with the memory that they occupy.
        self._pending: collections.deque[tuple[HttpRequest, int]] = collections.deque()
        # Whole requests before the rejected one that are refused for lack of memory.
        self._refused_count = 0
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._reads = PacedReads(
            server.read_pacer,
            self._update_reading,
            lambda: self._is_lost,
            FIRST_READ_BYTES,
        )
        self._is_discarding = False
        self._rejection: HTTPStatus | None = None
        self._rejection_headers: Sequence[Header] = ()
        self._reset_at: float | None = None
        # As the account of the memory knows them.
        self._claimed_bytes = 0
        self._counted_unsent = 0
        # Unsent bytes of the last response when its reset was last put off.
        self._unsent_before = 0
        self._is_lost = False
        self._has_handled = False
        self._deadline = server.clock.now() + server.limits.header_timeout
        self._is_receiving = False
        # The last bytes received, if they may be a tab at the end of a header's line.
        self._unparsed = b""
        # As the head states it; None for a chunked body or none.
        self._content_length: int | None = None
        self._message_number = 0
        self._overhead_bytes = 0
        self._reset_message()

    @property
    def closes_after_response(self) -> bool:
        """Whether the server is draining and has read no further request here."""
        has_next = self._pending or self._rejection is not None
        return self._server.is_draining and not has_next

    @property
    def is_busy(self) -> bool:
        """Whether a request is received or handled, or its response not yet sent."""
        is_handling = self._is_receiving or self._task is not None
        return is_handling or self.unsent_bytes > 0

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a response has not been passed to the kernel."""
        return self.unsent_bytes > 0

    @property
    def _use(self) -> ConnectionUse:
        if self._task is not None or self._pending:
            return ConnectionUse.HANDLING
        if self._is_receiving and self._is_head_complete:
            return ConnectionUse.RECEIVING
        return ConnectionUse.KEPT if self._has_handled else ConnectionUse.NEW

    @property
    def waiting_count(self) -> int:
        """Number of whole requests that wait behind another one."""
        return len(self._pending)

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that are received or wait, and of unsent responses."""
        waiting = sum(len(request.body) for request, _ in self._pending)
        return self._header_size + len(self._body) + waiting + self.unsent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the kernel has not taken."""
        transport = self._transport
        if transport is None or self._is_lost:
            return 0
        return transport.get_write_buffer_size()

    # Called by Responder.

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._count_unsent()

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        await self._writable.wait()

    def reset_on_close(self) -> None:
        """Make the connection end with a TCP reset when it is closed."""
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def reset(self) -> None:
        """Close at once, without data that is not yet passed to the kernel."""
        if self._transport is not None:
            self._transport.abort()

    def close_gracefully(self) -> None:
        """Send buffered data and half-close.

        The connection is reset ``LINGER_TIMEOUT`` after the caller has read the last of
        the data, or once it has read nothing for the idle timeout.
        """
        self._is_discarding = True
        self._drop_unserved()
        self._extend_linger()
        transport = self._transport
        if transport is None or not transport.can_write_eof():
            return
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection; the transport learns of it later.
            transport.abort()

    # Called by the server.

    def check_deadlines(self, now: float) -> None:
        """Close or reject if a deadline has passed."""
        self._count_unsent()
        if self._reset_at is not None:
            if self.unsent_bytes < self._unsent_before:
                self._extend_linger()
            elif now >= self._reset_at:
                self.reset()
            return
        if self._task is not None or now < self._deadline:
            return
        if self._reads.awaits_turn:
            # The caller may have sent what is missing.
            return
        if self._is_receiving:
            self._reject(self._lateness(now))
        elif self.unsent_bytes:
            self.close_gracefully()
        elif self._transport is not None:
            self._transport.close()

    def _lateness(self, now: float) -> Fault:
        """Return the fault of a request whose next part has not arrived in time."""
        limits = self._server.limits
        part, limit = "head", limits.header_timeout
        if self._is_head_complete:
            part, limit = "body", limits.idle_timeout
        waited = round(now - self._deadline + limit, 3)
        return Fault(
            HTTPStatus.REQUEST_TIMEOUT,
            RefusalReason.TOO_SLOW,
            part,
            size=waited,
            limit=limit,
        )

    def _extend_linger(self) -> None:
        """Wait for the caller to read, or for its last bytes if all data is sent."""
        self._unsent_before = self.unsent_bytes
        limits = self._server.limits
        timeout = limits.idle_timeout if self._unsent_before else LINGER_TIMEOUT
        self._reset_at = self._server.clock.now() + timeout

    def close_for_stop(self) -> None:
        """Close now, or once the request in progress has its response.

        A request that has not arrived as a whole is refused: it has not run.
        """
        if not self.is_busy and self._transport is not None:
            self._transport.close()
        elif self._is_receiving:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def close_for_room(self) -> None:
        """Close now, since the server has no room; no request is passed on from here.

        Callers that have sent a part of a request learn that it has not run.
        """
        if self._transport is None:
            return
        is_unanswered = not self._has_handled or self._is_receiving
        if is_unanswered and not self._is_discarding:
            self.write(self._server.full_response)
        self._is_discarding = True
        self._transport.close()

    # asyncio callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        # No timeout of the kernel for unacknowledged data: it would also end responses
        # whose callers are alive and pause to read.
        probe_idle_peer(transport.get_extra_info("socket"))
        self._server.on_open(self)
        if self._is_discarding:
            return
        if self._server.is_closed:
            # Accepted just before the server closed.
            transport.close()
        elif not self._server.memory.open(self, self._server.clock.now()):
            self._is_discarding = True
            fault = self._no_memory("connection", CONNECTION_BYTES)
            self._report(fault.status, fault)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._writable.set()
        self._drop_unserved()
        # They refer to this connection, which would be freed only by the collector.
        del self._parser, self._reads
        if self._task is not None:
            self._task.cancel()
        self._server.memory.close(self)
        self._server.on_close(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._count_unsent()
        self._writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._content_length is None or not self._is_receiving:
            return self._reads.buffer()
        # Few requests after a body are read along with its end.
        missing = self._content_length - len(self._body)
        return self._reads.buffer(max(missing, FIRST_READ_BYTES))

    def buffer_updated(self, nbytes: int) -> None:
        data = self._reads.begin(nbytes)
        if self._is_discarding:
            return
        self.data_received(bytes(data))
        self._check_overhead(nbytes)
        self._reads.end(nbytes)
        if not (self._is_receiving and self._is_head_complete):
            self._reads.restart()
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._is_discarding:
            return
        # Empty lines before a request are no part of it.
        if not self._is_receiving and data.lstrip(b"\r\n"):
            self._is_receiving = True
            self._received_at = self._server.clock.now()
            self._deadline = self._received_at + self._server.limits.header_timeout
        message = self._message_number
        is_in_head = self._is_receiving and not self._is_head_complete
        try:
            self._parse(self._unparsed + data)
        except httptools.HttpParserUpgrade:
            # The upgrade is declined: the request is handled over HTTP/1.1.
            return
        except httptools.HttpParserError as error:
            if not self._is_discarding:
                self._reject(self._parse_fault(error))
            return
        if is_in_head and not self._is_head_complete:
            self._count_unfinished_head(message, len(data))
        if self._is_receiving:
            self._claim_memory()

    def _count_unfinished_head(self, message: int, size: int) -> None:
        """Bound a head whose last field has no end, which the parser keeps.

        :param message: the message that was received before these bytes.
        :param size: number of bytes.
        """
        if message != self._message_number:
            # They also contain the end of the one before.
            return
        self._unfinished_head_bytes += size
        self._check_header_bytes(self._unfinished_head_bytes - MAX_REQUEST_LINE_BYTES)

    def _parse(self, data: bytes) -> None:
        """Parse data, with spaces in place of tabs at the ends of headers' lines.

        Both are optional white space, but the parser doesn't recognize ``chunked`` with
        a tab after it. Whether a line belongs to a head is known once the parser has
        read all that precedes its end.
        """
        self._unparsed = b""
        if b"\t" not in data:
            self._feed(data)
            return
        start = 0
        while start < len(data):
            if self._is_head_complete and self._is_receiving:
                end = self._next_head_start(data, start)
                self._feed(data[start:end])
            else:
                end = _after(data, HEAD_END, start)
                self._parse_head(data[start:end])
            start = end

    def _next_head_start(self, data: bytes, start: int) -> int:
        """Return where the next head may begin, after ``start``, which is in a body."""
        if self._content_length is not None:
            return start + max(1, self._content_length - len(self._body))
        # The last line end of a chunked body may have come apart from its others.
        if data.startswith((b"\r\n", b"\n"), start):
            return data.index(b"\n", start) + 1
        return _after(data, HEAD_END, start)

    def _parse_head(self, data: bytes) -> None:
        """Parse a part of a head, or its end."""
        start = 0
        for match in TAB_AT_LINE_END.finditer(data):
            text = data[start : match.start()].rstrip(OPTIONAL_WHITE_SPACE)
            self._feed(text)
            self._feed_line_end(data[start + len(text) : match.end()])
            start = match.end()
        text = data[start:].rstrip(OPTIONAL_WHITE_SPACE + b"\r")
        self._feed(text)
        rest = data[start + len(text) :]
        if self._is_head_complete or b"\t" not in rest:
            self._feed(rest)
        else:
            self._unparsed = rest
            self._check_header_bytes(self._header_size + len(rest))

    def _feed_line_end(self, line_end: bytes) -> None:
        is_in_head = not self._is_head_complete
        self._feed(line_end.translate(TABS_TO_SPACES) if is_in_head else line_end)

    def _feed(self, data: bytes) -> None:
        if data:
            self._parser.feed_data(data)

    def _parse_fault(self, error: httptools.HttpParserError) -> Fault:
        """Return the fault of a message that the parser can't read.

        It names the last header that the parser passed on; the fault is in one of the
        two lines after it.
        """
        last_header = self._headers[-1][0].decode("latin-1") if self._headers else ""
        return Fault(
            HTTPStatus.BAD_REQUEST,
            RefusalReason.MALFORMED_MESSAGE,
            last_header,
            str(error).encode("latin-1", "replace"),
        )

    def _check_overhead(self, received: int) -> None:
        """Bound the bytes of a chunked body's framing."""
        if not self._is_receiving or not self._is_head_complete:
            return
        self._overhead_bytes = max(0, self._overhead_bytes + received)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            fault = Fault(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                RefusalReason.FRAMING_TOO_LARGE,
                "body",
                size=self._overhead_bytes,
                limit=MAX_OVERHEAD_BYTES,
            )
            self._reject(fault)

    def _update_reading(self) -> None:
        """Pause reading from the socket, or resume it."""
        if self._transport is None or self._transport.is_closing():
            return
        is_full = len(self._pending) >= MAX_PIPELINED_REQUESTS
        if self._reads.awaits_turn or (is_full and not self._is_discarding):
            self._transport.pause_reading()
            self._server.memory.set_unread(self, RECEIVE_BUFFER_BYTES)
        else:
            self._transport.resume_reading()
            self._server.memory.set_unread(self, 0)

    # httptools callbacks.

    def on_message_begin(self) -> None:
        self._reads.parts += 1
        self._reset_message()
        if not self._is_receiving and not self._is_discarding:
            self._is_receiving = True
            self._received_at = self._server.clock.now()
        if len(self._pending) >= MAX_PENDING_REQUESTS and not self._is_discarding:
            fault = Fault(
                HTTPStatus.SERVICE_UNAVAILABLE,
                RefusalReason.TOO_MANY_PIPELINED,
                size=len(self._pending),
                limit=MAX_PENDING_REQUESTS,
            )
            self._reject(fault)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._reads.parts += 1
        # Trailers of a chunked body are not checked as headers are, and are dropped.
        if not self._is_head_complete and not self._is_discarding:
            self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + len(b": \r\n"))

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        if self._is_discarding:
            return
        fault = check_framing(self._headers)
        if fault is None and self._parser.should_upgrade():
            fault = check_upgrade(self._headers)
        if fault is not None:
            self._reject(fault)
            return
        self._deadline = self._server.clock.now() + self._server.limits.idle_timeout
        for name, value in self._headers:
            expectation = value.strip(OPTIONAL_WHITE_SPACE).lower()
            if name.lower() == b"expect" and expectation == b"100-continue":
                self._must_continue = True
            if name.lower() == b"content-length":
                self._content_length = int(value)
                self._check_body_size(self._content_length)
        self._server.connection_limit.update(self, self._use)
        if self._is_discarding:
            return
        is_large = (self._content_length or 0) > SMALL_REQUEST_BYTES // TEXT_COPIES
        may_be_large = is_large or self._has_header(b"transfer-encoding")
        is_expected = not may_be_large or self._server.is_expected(
            self._build_request(b"")
        )
        self._server.memory.expect(self, is_expected)
        self._claim_memory()
        if self._must_continue and not self._is_discarding:
            self._start_next()

    def on_body(self, data: bytes) -> None:
        self._reads.parts += 1
        self._overhead_bytes -= FRAMING_PER_BODY_BYTE * len(data)
        if self._is_discarding:
            return
        self._deadline = self._server.clock.now() + self._server.limits.idle_timeout
        self._check_body_size(len(self._body) + len(data))
        if not self._is_discarding:
            self._body += data

    def on_message_complete(self) -> None:
        if self._is_discarding:
            return
        self._claim_memory()
        if self._is_discarding:
            return
        request = self._build_request(bytes(self._body))
        self._is_receiving = self._must_continue = self._is_head_complete = False
        self._free_message()
        size = self._server.memory.complete(self)
        self._pending.append((request, size))
        self._start_next()

    def _build_request(self, body: bytes) -> HttpRequest:
        target, headers = normalize_head(self._target, self._headers)
        return HttpRequest(
            self._parser.get_method(),
            target,
            headers,
            body,
            self._received_at,
            self._parser.should_keep_alive() and not self._parser.should_upgrade(),
            self._parser.get_http_version() == "1.0",
        )

    def _reset_message(self) -> None:
        self._received_at = self._server.clock.now()
        self._message_number += 1
        # Of blocks that belong to this head as a whole.
        self._unfinished_head_bytes = 0
        self._free_message()
        self._header_size = 0
        self._is_head_complete = False
        self._content_length = None
        # Bytes received since the head, less those that the body may take.
        self._overhead_bytes = 0
        self._must_continue = False

    def _free_message(self) -> None:
        """Free what has been received of a request."""
        self._target = b""
        self._headers: list[Header] = []
        self._body = bytearray()
        self._claimed_bytes = 0

    def _drop_unserved(self) -> None:
        """Free the requests that are received or wait."""
        self._pending.clear()
        self._free_message()
        self._unparsed = b""
        self._server.memory.release_unserved(self)

    def _claim_memory(self) -> None:
        """Claim memory for the request that is being received, or refuse it.

        A body whose length is stated is claimed as a whole.
        """
        if self._is_discarding:
            return
        head_bytes = max(self._header_size, self._unfinished_head_bytes)
        body_bytes = max(self._content_length or 0, len(self._body))
        size = request_cost(len(self._headers), head_bytes, body_bytes)
        if size <= self._claimed_bytes:
            return
        if self._server.memory.receive(self, size, self._server.clock.now()):
            self._claimed_bytes = size
        else:
            self._reject(self._no_memory("request", size))

    def _no_memory(self, part: str, size: int) -> Fault:
        return Fault(
            HTTPStatus.SERVICE_UNAVAILABLE,
            RefusalReason.NO_MEMORY,
            part,
            size=size,
            limit=self._server.memory.limit,
        )

    def _count_unsent(self) -> None:
        """Account for the bytes of responses that the caller has not read."""
        unsent = self.unsent_bytes
        if unsent != self._counted_unsent:
            self._counted_unsent = unsent
            self._server.memory.set_unsent(self, unsent, self._server.clock.now())

    # Called by the server, and by the account of the memory.

    def refuse_pipelined(self) -> None:
        """Refuse the requests that wait, and close the connection after another's."""
        self._server.memory.release_unserved(self)
        reason = RefusalReason.TOO_MANY_PIPELINED
        size = len(self._pending)
        self._refuse_unserved(
            Fault(HTTPStatus.SERVICE_UNAVAILABLE, reason, size=size, limit=0)
        )

    def refuse_unserved(self) -> None:
        """Refuse the requests that are received or wait, and close the connection."""
        self._refuse_unserved(self._no_memory("request", self._claimed_bytes))

    def _refuse_unserved(self, fault: Fault) -> None:
        waiting = len(self._pending)
        self._pending.clear()
        self._refused_count += waiting
        if self._rejection is not None:
            return
        if not self._is_receiving:
            # The last of them is the one that closes the connection.
            self._refused_count -= 1
        self._reject(fault)
        self._update_reading()

    def _count_header_bytes(self, size: int) -> None:
        self._header_size += size
        self._check_header_bytes(self._header_size)

    def _check_header_bytes(self, size: int) -> None:
        limit = self._server.limits.max_header_bytes
        if size > limit:
            fault = Fault(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                RefusalReason.HEADERS_TOO_LARGE,
                "head",
                size=size,
                limit=limit,
            )
            self._reject(fault)

    def _check_body_size(self, size: int) -> None:
        limit = self._server.limits.max_body_bytes
        if size > limit:
            fault = Fault(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                RefusalReason.BODY_TOO_LARGE,
                "body",
                size=size,
                limit=limit,
            )
            self._reject(fault)

    def _reject(self, fault: Fault) -> None:
        """Reject a malformed, oversized or late request and close the connection.

        The connection cannot be reused, because the start of the next request is
        unknown. Earlier requests are answered first.
        """
        if self._is_discarding:
            return
        status = fault.status
        headers: Sequence[Header] = ()
        if fault.reason is RefusalReason.NO_MEMORY:
            headers = self._server.no_memory_headers
        elif status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers = self._server.full_headers
        is_limit = fault.reason in LIMIT_REASONS
        if is_limit and not self._server.are_limits_confirmed(self._received_at):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            headers = self._server.unconfirmed_headers
        self._report(status, fault)
        self._refuse(status, headers)

    def _report(self, status: HTTPStatus, fault: Fault) -> None:
        refusal = Refusal(
            status.value,
            fault.reason,
            self._request_id(),
            shorten_path(self._target),
            shorten(fault.field.encode("latin-1")),
            shorten(fault.value),
            fault.size,
            fault.limit,
        )
        self._server.on_refused(refusal)

    def _has_header(self, name: bytes) -> bool:
        return any(key.lower() == name for key, _ in self._headers)

    def _request_id(self) -> str | None:
        """Return the id of the request that is being received, if it has come."""
        for name, value in self._headers:
            if name.lower() == self._server.request_id_header:
                return shorten(value.strip(OPTIONAL_WHITE_SPACE)) or None
        return None

    def _refuse(self, status: HTTPStatus, headers: Sequence[Header] = ()) -> None:
        """Refuse the request that is being received and close the connection."""
        self._rejection_headers = headers
        self._is_discarding = True
        self._is_receiving = False
        self._rejection = status
        self._free_message()
        self._unparsed = b""
        self._server.memory.receive(self, 0, self._server.clock.now())
        self._start_next()

    def _start_next(self) -> None:
        """Handle the next request, or send the rejection or interim response."""
        if self._task is not None:
            return
        if not self._pending:
            if self._rejection is not None:
                self._refuse_waiting()
                head = [
                    *self._rejection_headers,
                    (b"Content-Length", b"0"),
                    (b"Connection", b"close"),
                ]
                self.write(encode_head(self._rejection.value, head))
                self.close_gracefully()
            elif self._must_continue:
                self._must_continue = False
                self.write(CONTINUE)
            return
        request, size = self._pending.popleft()
        self._server.memory.start(self, size)
        responder = Responder(self, request)
        self._has_handled = True
        self._task = asyncio.create_task(self._server.handler(request, responder))
        self._task.add_done_callback(partial(self._on_done, responder))
        self._server.connection_limit.update(self, ConnectionUse.HANDLING)

    def _refuse_waiting(self) -> None:
        """Answer whole requests that were refused before the rejected one."""
        head = [*self._server.no_memory_headers, (b"Content-Length", b"0")]
        status = HTTPStatus.SERVICE_UNAVAILABLE.value
        self.write(encode_head(status, head) * self._refused_count)
        self._refused_count = 0

    def _on_done(self, responder: Responder, task: asyncio.Task[None]) -> None:
        self._task = None
        self._server.memory.finish(self)
        self._deadline = self._server.clock.now() + self._server.limits.idle_timeout
        if not task.cancelled() and task.exception() is not None:
            self._server.on_handler_error(task.exception())
        if self._transport is not None and not self._transport.is_closing():
            responder.end_unanswered()
        if self._transport is not None and not self._transport.is_closing():
            # Not after a response that closes the connection.
            if self._reset_at is None:
                self._start_next()
            self._update_reading()
        if self._task is None:
            self._server.connection_limit.update(self, self._use)


class PacedListener(socket.socket):
    """A listening socket that accepts a few connections in each pass of the event loop.

    The loop would otherwise accept as many as the backlog holds before it opens any,
    and would go on trying, as often, while there is no file descriptor left.
    """

    def __init__(self) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._accepts_left = MAX_ACCEPTS_AT_ONCE

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection.

        :raises BlockingIOError: if there is none, or it is left to the next pass.
        """
        if self._accepts_left == 0:
            raise BlockingIOError
        if self._accepts_left == MAX_ACCEPTS_AT_ONCE:
            asyncio.get_running_loop().call_soon(self._renew)
        self._accepts_left -= 1
        try:
            return super().accept()
        except OSError as error:
            if error.errno in NO_DESCRIPTOR_ERRORS:
                # The loop pauses accepting once, rather than for each further try.
                self._accepts_left = 0
            raise

    def _renew(self) -> None:
        self._accepts_left = MAX_ACCEPTS_AT_ONCE


class IngressServer:
    """Listens on one address and passes requests to a handler.

    :param clock: must advance while the VM is suspended.
    :param on_refused: called for each request that is malformed, too large or too slow.
    :param on_handler_error: called with the exception that a handler raised.
    :param request_id_header: lower-case name of the header with a request's id, which
        refusals state.
    :param are_limits_confirmed: returns whether a request that arrived at a time may be
        denied by the limits in force. Otherwise it gets 503.
    :param unconfirmed_headers: headers of these responses.
    :param connection_limit: without a limit if left out.
    :param full_headers: headers of the response to a connection for which there is no
        room.
    :param memory: account of what the connections occupy; by default without a limit.
    :param no_memory_headers: headers of the responses to requests that find no room.
    :param is_expected: returns whether a request, without its body, is likely to be
        allowed. Others lose their memory first.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        on_refused: Callable[[Refusal], None],
        on_handler_error: Callable[[BaseException | None], None],
        request_id_header: bytes = b"",
        are_limits_confirmed: Callable[[float], bool] = lambda arrived_at: True,
        unconfirmed_headers: Sequence[Header] = (),
        connection_limit: ConnectionLimit[IngressConnection] | None = None,
        full_headers: Sequence[Header] = (),
        memory: CallerMemory | None = None,
        no_memory_headers: Sequence[Header] = (),
        is_expected: Callable[[HttpRequest], bool] = lambda request: True,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.on_refused = on_refused
        self.on_handler_error = on_handler_error
        self.request_id_header = request_id_header
        self.are_limits_confirmed = are_limits_confirmed
        self.unconfirmed_headers = unconfirmed_headers
        self.connection_limit = connection_limit or ConnectionLimit()
        self.full_headers = full_headers
        self.full_response = encode_head(
            HTTPStatus.SERVICE_UNAVAILABLE.value,
            [*full_headers, (b"Content-Length", b"0"), (b"Connection", b"close")],
        )
        self.memory = memory or CallerMemory(sys.maxsize)
        self.no_memory_headers = no_memory_headers
        self.is_expected = is_expected
        self.limits = CallerLimits()
        self.read_pacer = ReadPacer()
        self.is_draining = False
        self.is_closed = False
        self._connections: set[IngressConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses to all callers that the kernel has not taken."""
        return sum(connection.unsent_bytes for connection in self._connections)

    @property
    def held_bytes(self) -> int:
        """Bytes that the open connections hold."""
        return sum(connection.held_bytes for connection in self._connections)

    async def start(self, address: str) -> None:
        """Start accepting connections.

        :param address: ``IP:PORT`` to listen on.
        """
        host, _, port = address.rpartition(":")
        sock = PacedListener()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, int(port)))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: IngressConnection(self), sock=sock, backlog=LISTEN_BACKLOG
        )
        self._sweep_task = asyncio.create_task(self._sweep())

    def close(self) -> None:
        """Close at once whatever has no request in progress, and read no new requests.

        Requests in progress still get their responses; their connections close then.
        """
        self.is_draining = self.is_closed = True
        if self._server is not None:
            self._server.close()
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        for connection in list(self._connections):
            connection.close_for_stop()

    def on_open(self, connection: IngressConnection) -> None:
        """Register a new connection, and close another one or this one without room."""
        self._connections.add(connection)
        if self.connection_limit.is_reached:
            idle = self.connection_limit.make_room(_has_unsent)
            if idle is not None:
                idle.close_for_room()
            elif not self._reset_stalled():
                self._refuse_pipelined()
                connection.close_for_room()
                return
        self.connection_limit.add(connection)

    def _reset_stalled(self) -> bool:
        """Reset a connection whose caller reads nothing; return false without one."""
        now = self.clock.now()
        for connection in self._connections:
            if self.memory.is_stalled(connection, now):
                self.memory.close(connection)
                self.connection_limit.remove(connection)
                connection.reset()
                return True
        return False

    def _refuse_pipelined(self) -> None:
        """Refuse what waits behind a request, so that its connection will close."""
        pipelining = max(self._connections, key=lambda each: each.waiting_count)
        if pipelining.waiting_count:
            pipelining.refuse_pipelined()

    def on_close(self, connection: IngressConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.connection_limit.remove(connection)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            now = self.clock.now()
            for connection in list(self._connections):
                try:
                    connection.check_deadlines(now)
                except Exception as error:
                    # One connection must not end the checks of all others.
                    self.on_handler_error(error)
                    connection.reset()
