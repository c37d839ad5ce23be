"""An outgoing HTTP/1.1 connection that carries one request at a time.

Each response is matched to the request by its head, so that a late response to an
earlier request is skipped. A connection is never reused after it has received surplus,
late or malformed bytes, or a response that only the end of the connection delimits.
"""

import asyncio
import collections
import contextlib
import errno
import socket
from array import array
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from fcntl import ioctl
from termios import TIOCOUTQ

import httptools

from cyclamenyoke.adapters.head_check import (
    INTERIM_STATUSES,
    MalformedHead,
    check_field,
    check_framing,
    check_status,
)
from cyclamenyoke.adapters.read_pacer import PacedReads, ReadPacer
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE, SECOND
from cyclamenyoke.exceptions import CyclamenyokeError

Header = tuple[bytes, bytes]

READ_HIGH_WATER_BYTES = 256 * KIBIBYTE
"""Unread bytes of a response at which reading from the socket is paused."""

MAX_OVERHEAD_BYTES = 256 * KIBIBYTE
"""Largest number of bytes that a server may send beyond those of a body and as many
again: heads of interim and final responses, and the framing of small chunks. It is
checked after each read."""

MAX_HEADER_FIELDS = 1000
"""Largest number of header fields of one response."""

MAX_SKIPPED_BYTES = 4 * MEBIBYTE
"""Largest total body of late responses that a server may send before the response to
the present request."""

MAX_REFUSED_IDS = 256
"""Refusals after which a connection is not reused, so that their ids need not be
remembered."""

TIMED_OUT_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
"""Errors with which the kernel gives a connection up that the server has not ended."""

USER_TIMEOUT = 2 * SECOND
"""Seconds for which sent data may stay unacknowledged before the connection fails: a
few retransmissions within a region."""

LONG_REQUEST_BYTES = 16 * KIBIBYTE
"""Size of a request above which a server's receive buffer may not hold all of it."""

KEEPALIVE_IDLE = 1
"""Idle seconds before the first TCP keep-alive probe; the kernel's minimum."""

KEEPALIVE_INTERVAL = 1
"""Seconds between TCP keep-alive probes; the kernel's minimum."""

KEEPALIVE_PROBES = 2
"""Unanswered TCP keep-alive probes after which a connection fails."""

MILLISECONDS_PER_SECOND = 1000

STATUSES_WITHOUT_BODY = frozenset({204, 304})
"""Statuses whose responses have no body."""


class ConnectionFailed(CyclamenyokeError):
    """A connection could not be established; nothing was sent."""


class ConnectionRefused(ConnectionFailed):
    """Nothing listens at the address."""


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    :param headers: names with the case in which they were received.
    """

    status: int
    headers: list[Header]

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(slots=True)
class BodyPart:
    """A part of a response body."""

    data: bytes


@dataclass(slots=True)
class ResponseEnd:
    """The response is complete.

    :param is_at_close: whether only the end of the connection delimited it.
    """

    is_at_close: bool = False


@dataclass(slots=True)
class ResponseFailed:
    """The response is incomplete, and no more of it will arrive.

    :param reason: description of the failure.
    :param is_closed: whether the server's end of the connection is the reason.
    """

    reason: str
    is_closed: bool = False


ResponseEvent = ResponseHead | BodyPart | ResponseEnd | ResponseFailed


def probe_idle_peer(sock: socket.socket) -> None:
    """Make the kernel fail an idle connection whose peer stops responding.

    Also disables Nagle's algorithm.
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        _set_option(sock, level, option, value)


def set_dead_peer_timeouts(sock: socket.socket) -> None:
    """Make the kernel fail the connection when the peer stops responding or reading.

    Also disables Nagle's algorithm.
    """
    probe_idle_peer(sock)
    timeout = int(USER_TIMEOUT * MILLISECONDS_PER_SECOND)
    _set_option(sock, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)


def _set_option(sock: socket.socket, level: int, option: int, value: int) -> None:
    # If an option is not supported, the others and the timeouts of this package still
    # apply.
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, value)


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer has not received; 0 if it is not known."""
    buffer = array("i", [0])
    with contextlib.suppress(OSError):
        ioctl(sock.fileno(), TIOCOUTQ, buffer)
    return buffer[0]


class LimitExceeded(CyclamenyokeError):
    """A response exceeds a limit, so that the rest of it is not parsed."""


class HttpConnection(asyncio.BufferedProtocol):
    """A connection to one server.

    Memory and time of the event loop that a response takes are bounded whatever the
    server sends: parts of a body that wait are joined, and a connection whose parts are
    small awaits its turn.

    :param on_closed: called once when the connection has been closed.
    :param pacer: gives the turns; the connections of a pool share it.
    """

    def __init__(
        self, on_closed: Callable[["HttpConnection"], None], pacer: ReadPacer
    ) -> None:
        self._on_closed = on_closed
        self._reads = PacedReads(pacer, self._update_reading, lambda: self._is_closed)
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # Parts of a body are joined here: many small ones take far more memory than one
        # of the same length.
        self._events: collections.deque[ResponseEvent | bytearray] = collections.deque()
        self._event_available: asyncio.Future[None] | None = None
        self._matches_request: Callable[[ResponseHead], bool] | None = None
        self._method = b"GET"
        self._head: ResponseHead | None = None
        self._is_skipping = False
        self._ends_at_close = False
        self._is_closed = False
        self._must_not_reuse = False
        self._is_long_request = False
        self._buffered_bytes = 0
        self._refused: set[str] = set()
        # Bytes received since the request was sent, less twice those of bodies.
        self._overhead_bytes = 0
        self._skipped_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return not (self._is_closed or self._must_not_reuse or self._matches_request)

    @property
    def has_event(self) -> bool:
        """Whether an event of the response has not been received yet."""
        return bool(self._events)

    def has_refused(self, request_id: str) -> bool:
        """Return whether the server has refused a request of this id here."""
        return request_id in self._refused

    def note_refused(self, request_id: str) -> None:
        """Note that the server has refused the request that was sent last.

        A refusal that is sent once more would be taken for the response to a request of
        the same id, so no such request is sent over this connection again.
        """
        self._refused.add(request_id)
        if len(self._refused) > MAX_REFUSED_IDS:
            self._must_not_reuse = True

    def send(
        self,
        data: bytes,
        method: bytes,
        matches_request: Callable[[ResponseHead], bool],
    ) -> None:
        """Send one request.

        :param data: the encoded request.
        :param matches_request: returns whether a head belongs to the response to this
            request rather than to a late response to an earlier one.
        """
        self._matches_request = matches_request
        self._method = method
        self._events.clear()
        self._buffered_bytes = 0
        self._update_reading()
        self._overhead_bytes = self._skipped_bytes = 0
        self._reads.restart()
        self._is_long_request = len(data) > LONG_REQUEST_BYTES
        if self._transport is None or self._is_closed:
            self._events.append(ResponseFailed("connection is closed"))
            return
        self._transport.write(data)

    async def wait(self) -> None:
        """Wait until there is an event of the response."""
        while not self._events:
            self._event_available = asyncio.get_running_loop().create_future()
            await self._event_available

    async def receive(self) -> ResponseEvent:
        """Wait for the next event of the response and return it."""
        await self.wait()
        event = self._events.popleft()
        if isinstance(event, bytearray):
            self._buffered_bytes = 0
            self._update_reading()
            return BodyPart(bytes(event))
        return event

    def close(self) -> None:
        """Close immediately; the server then stops working on a request in progress."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self._matches_request is None:
            self._fail_and_close("data received while no request is in progress")
            return
        self._overhead_bytes += nbytes
        try:
            self._parser.feed_data(self._reads.begin(nbytes))
        except httptools.HttpParserError as error:
            cause = error.__context__
            reason = f"malformed response: {error}"
            if isinstance(cause, LimitExceeded):
                reason = str(cause)
            elif isinstance(cause, MalformedHead):
                reason = f"malformed response: {cause}"
            self._fail_and_close(reason)
            return
        self._overhead_bytes = max(0, self._overhead_bytes)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail_and_close("response head or framing is too long")
            return
        self._reads.end(nbytes)

    def eof_received(self) -> bool:
        # The transport drops what is sent from now on.
        self._must_not_reuse = True
        if self._ends_at_close and self._head is not None:
            self._ends_at_close = False
            self._finish(is_at_close=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_closed = True
        reason = f"connection lost: {exc}" if exc else "connection closed"
        # The server may still have what was sent, and read it later.
        has_timed_out = isinstance(exc, OSError) and exc.errno in TIMED_OUT_ERRORS
        self._fail(reason, is_closed=not has_timed_out)
        self._on_closed(self)

    # httptools callbacks.

    def on_message_begin(self) -> None:
        self._reads.parts += 1
        if self._matches_request is None:
            self._must_not_reuse = True
        self._head = ResponseHead(0, [])

    def on_header(self, name: bytes, value: bytes) -> None:
        self._reads.parts += 1
        if self._head is None:
            return
        check_field(name, value)
        self._head.headers.append((name, value))
        if len(self._head.headers) > MAX_HEADER_FIELDS:
            raise LimitExceeded(f"response has over {MAX_HEADER_FIELDS} header fields")

    def on_headers_complete(self) -> None:
        head = self._head
        if head is None or self._matches_request is None:
            return
        head.status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        check_status(head.status, version)
        check_framing(head.headers, version)
        if head.status in INTERIM_STATUSES:
            return
        self._is_skipping = not self._matches_request(head)
        self._ends_at_close = self._is_unframed(head)
        if self._is_skipping or self._ends_at_close:
            self._must_not_reuse = True
        if not self._is_skipping:
            self._allow_unread_request()
            self._push(head)
        if self._method == b"HEAD":
            # The parser waits for a body, which a response to HEAD does not have.
            self._must_not_reuse = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        self._reads.parts += 1
        self._overhead_bytes -= 2 * len(data)
        if self._is_skipping:
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise LimitExceeded("late responses are too long")
        if self._matches_request is None or self._is_skipping:
            return
        self._buffered_bytes += len(data)
        self._update_reading()
        last = self._events[-1] if self._events else None
        if isinstance(last, bytearray):
            last += data
        else:
            self._push(bytearray(data))

    def on_message_complete(self) -> None:
        head = self._head
        if head is None or self._matches_request is None:
            return
        if head.status in INTERIM_STATUSES:
            self._head = None
            return
        if not self._parser.should_keep_alive():
            self._must_not_reuse = True
        self._ends_at_close = False
        self._finish()

    def _allow_unread_request(self) -> None:
        """Let a server that responds early leave the rest of the request unread.

        The kernel's timeout would take it for dead. The connection is not used again,
        since the next request would wait behind these bytes.
        """
        if not self._is_long_request or self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if _unacknowledged_bytes(sock):
            self._must_not_reuse = True
            _set_option(sock, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def _is_unframed(self, head: ResponseHead) -> bool:
        """Return whether only the end of the connection delimits the body."""
        framed = head.get(b"content-length") or head.get(b"transfer-encoding")
        return (
            not framed
            and head.status not in STATUSES_WITHOUT_BODY
            and self._method != b"HEAD"
        )

    def _finish(self, is_at_close: bool = False) -> None:
        """Complete the response that is being read."""
        self._head = None
        if self._is_skipping:
            self._is_skipping = False
            return
        self._matches_request = None
        if self._reads.is_costly:
            # It would not read until its turn.
            self._must_not_reuse = True
        self._push(ResponseEnd(is_at_close))

    def _update_reading(self) -> None:
        """Pause reading from the socket, or resume it."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._reads.awaits_turn or self._buffered_bytes >= READ_HIGH_WATER_BYTES:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _push(self, event: ResponseEvent | bytearray) -> None:
        self._events.append(event)
        if self._event_available is not None and not self._event_available.done():
            self._event_available.set_result(None)

    def _fail(self, reason: str, is_closed: bool = False) -> None:
        if self._matches_request is not None:
            self._matches_request = None
            self._push(ResponseFailed(reason, is_closed))

    def _fail_and_close(self, reason: str) -> None:
        self._must_not_reuse = True
        self._fail(reason)
        self.close()


async def connect(
    host: str,
    port: int,
    timeout: float,
    on_closed: Callable[[HttpConnection], None],
    pacer: ReadPacer,
) -> HttpConnection:
    """Open a connection.

    :param timeout: seconds in which it must be established.
    :param pacer: limits the time that costly responses take.
    :raises ConnectionFailed: when it failed or was not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    except OSError as error:
        # This process has no file descriptor left.
        raise ConnectionFailed(f"{host}:{port}: {error}") from error
    try:
        sock.setblocking(False)
        set_dead_peer_timeouts(sock)
        async with asyncio.timeout(timeout):
            await loop.sock_connect(sock, (host, port))
            _, protocol = await loop.create_connection(
                lambda: HttpConnection(on_closed, pacer), sock=sock
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # A host or port that is none raises ValueError or OverflowError.
        sock.close()
        kind = type(error).__name__
        is_refused = isinstance(error, ConnectionRefusedError)
        failure = ConnectionRefused if is_refused else ConnectionFailed
        raise failure(f"{host}:{port}: {kind} {error}") from error
    except BaseException:
        sock.close()
        raise
    return protocol


def encode_request(
    method: bytes, target: bytes, headers: Sequence[Header], body: bytes
) -> bytes:
    """Encode a request.

    >>> encode_request(b"GET", b"/", [(b"Host", b"h")], b"")
    b'GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n'
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", body])
