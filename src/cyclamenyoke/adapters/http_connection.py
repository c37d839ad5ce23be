"""One outgoing HTTP/1.1 connection that carries one request at a time.

Answers are told apart by a check of their head, so that a late answer to an earlier
request is passed over. A connection that has carried surplus, late, unframed or
unreadable bytes is never used again.
"""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import httptools

from cyclamenyoke.core.units import KIBIBYTE, SECOND
from cyclamenyoke.exceptions import CyclamenyokeError

Header = tuple[bytes, bytes]

READ_HIGH_WATER = 256 * KIBIBYTE
"""Bytes of an answer that wait for their reader before the socket is paused."""

UNACKNOWLEDGED_TIME = 2 * SECOND
"""Seconds for which sent bytes may stay unacknowledged before the connection fails: a
few retransmissions inside a region."""

KEEPALIVE_IDLE = 1
"""Seconds of silence before the first TCP keep-alive probe; the kernel's least."""

KEEPALIVE_INTERVAL = 1
"""Seconds between TCP keep-alive probes; the kernel's least."""

KEEPALIVE_PROBES = 2
"""Unanswered TCP keep-alive probes after which a connection fails."""

MILLISECONDS = 1000
"""Milliseconds in one second."""

NO_BODY = frozenset({204, 304})
"""Statuses whose answers have no body."""

INFORMATIONAL = range(100, 200)
"""Statuses of interim answers, which precede the final one."""


class ConnectionFailed(CyclamenyokeError):
    """A connection could not be established; nothing was sent."""


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer.

    :param headers: names as they came.
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
    """Bytes of an answer's body."""

    data: bytes


@dataclass(slots=True)
class ResponseEnd:
    """The answer is whole."""


@dataclass(slots=True)
class ResponseFailed:
    """The answer will not become whole.

    :param reason: what was seen.
    """

    reason: str


ResponseEvent = ResponseHead | BodyPart | ResponseEnd | ResponseFailed


def set_dead_peer_timeouts(sock: socket.socket) -> None:
    """Let the kernel find out that the other side has gone silent."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(UNACKNOWLEDGED_TIME * MILLISECONDS),
        ),
    )
    for level, option, value in options:
        # A system without one of the options still has the others and our timeouts.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


class HttpConnection(asyncio.Protocol):
    """A connection to one server.

    :param on_closed: called once when the connection is gone.
    """

    def __init__(self, on_closed: Callable[["HttpConnection"], None]) -> None:
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: collections.deque[ResponseEvent] = collections.deque()
        self._waiting: asyncio.Future[None] | None = None
        self._is_own: Callable[[ResponseHead], bool] | None = None
        self._method = b"GET"
        self._head: ResponseHead | None = None
        self._passes_over = False
        self._reads_to_close = False
        self._is_closed = False
        self._is_tainted = False
        self._buffered = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return not (self._is_closed or self._is_tainted or self._is_own)

    def send(
        self, data: bytes, method: bytes, is_own: Callable[[ResponseHead], bool]
    ) -> None:
        """Send one request.

        :param data: the whole request.
        :param is_own: tells the answer to this request from a late other one.
        """
        self._is_own = is_own
        self._method = method
        self._events.clear()
        if self._transport is None or self._is_closed:
            self._events.append(ResponseFailed("connection is closed"))
            return
        self._transport.write(data)

    async def receive(self) -> ResponseEvent:
        """Return the next event of the answer."""
        while not self._events:
            self._waiting = asyncio.get_running_loop().create_future()
            await self._waiting
        event = self._events.popleft()
        if isinstance(event, BodyPart):
            self._buffered -= len(event.data)
            if self._transport and self._buffered < READ_HIGH_WATER:
                self._transport.resume_reading()
        return event

    def close(self) -> None:
        """Close at once; a server stops working on a request of its own."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._is_own is None:
            self._taint("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._taint(f"unreadable answer: {error}")

    def eof_received(self) -> bool:
        if self._reads_to_close and self._head is not None:
            self._reads_to_close = False
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_closed = True
        reason = f"connection lost: {exc}" if exc else "connection closed"
        self._break(reason)
        self._on_closed(self)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        if self._is_own is None:
            self._is_tainted = True
        self._head = ResponseHead(0, [])

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head is not None:
            self._head.headers.append((name, value))

    def on_headers_complete(self) -> None:
        head = self._head
        if head is None or self._is_own is None:
            return
        head.status = self._parser.get_status_code()
        if head.status in INFORMATIONAL:
            return
        self._passes_over = not self._is_own(head)
        self._reads_to_close = self._is_unframed(head)
        if self._passes_over or self._reads_to_close:
            self._is_tainted = True
        if not self._passes_over:
            self._push(head)
        if self._method == b"HEAD":
            self._is_tainted = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        if self._is_own is None or self._passes_over:
            return
        self._buffered += len(data)
        if self._buffered >= READ_HIGH_WATER and self._transport is not None:
            self._transport.pause_reading()
        self._push(BodyPart(data))

    def on_message_complete(self) -> None:
        head = self._head
        if head is None or self._is_own is None:
            return
        if head.status in INFORMATIONAL:
            self._head = None
            return
        if not self._parser.should_keep_alive():
            self._is_tainted = True
        self._reads_to_close = False
        self._finish()

    def _is_unframed(self, head: ResponseHead) -> bool:
        framed = head.get(b"content-length") or head.get(b"transfer-encoding")
        return not framed and head.status not in NO_BODY and self._method != b"HEAD"

    def _finish(self) -> None:
        """End the answer that is being read."""
        self._head = None
        if self._passes_over:
            self._passes_over = False
            return
        self._is_own = None
        self._push(ResponseEnd())

    def _push(self, event: ResponseEvent) -> None:
        self._events.append(event)
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

    def _break(self, reason: str) -> None:
        if self._is_own is not None:
            self._is_own = None
            self._push(ResponseFailed(reason))

    def _taint(self, reason: str) -> None:
        self._is_tainted = True
        self._break(reason)
        self.close()


async def connect(
    host: str,
    port: int,
    within: float,
    on_closed: Callable[[HttpConnection], None],
) -> HttpConnection:
    """Open a connection.

    :param within: seconds that it may take.
    :raises ConnectionFailed: when there is none in time.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setblocking(False)
        set_dead_peer_timeouts(sock)
        async with asyncio.timeout(within):
            await loop.sock_connect(sock, (host, port))
            _, protocol = await loop.create_connection(
                lambda: HttpConnection(on_closed), sock=sock
            )
    except (OSError, TimeoutError) as error:
        sock.close()
        kind = type(error).__name__
        raise ConnectionFailed(f"{host}:{port}: {kind} {error}") from error
    except BaseException:
        sock.close()
        raise
    return protocol


def encode_request(
    method: bytes, target: bytes, headers: Sequence[Header], body: bytes
) -> bytes:
    """Return the bytes of a request.

    >>> encode_request(b"GET", b"/", [(b"Host", b"h")], b"")
    b'GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n'
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", body])
