"""Sends requests to engines in the platform's format and classifies the responses."""

from collections.abc import Callable
from math import isfinite

from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.http_connection import (
    BodyPart,
    ConnectionFailed,
    HttpConnection,
    ResponseEnd,
    ResponseFailed,
    ResponseHead,
    encode_request,
)
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.inbound_request import Header, InboundRequest
from cyclamenyoke.core.units import HOUR, MILLISECOND
from cyclamenyoke.platform.headers import (
    CONTENT_ENCODING,
    DEADLINE,
    EVENT_STREAM_TYPE,
    FAULTY_ENGINE,
    GATEWAY_VIA,
    KEEP_ALIVE,
    LAST_EVENT_ID,
    LEAVING,
    NOT_EXECUTED,
    RATE_LIMIT,
    REQUEST_ID,
    RESPONDING_ENGINE,
    RETRY_AFTER,
    SIGNATURE,
    TARGET_ENGINE,
    TENANT,
    VIA,
    select_end_to_end,
)
from cyclamenyoke.platform.statuses import NOT_RUN_STATUSES
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine import (
    NO_NOTICE,
    EngineCall,
    EngineClient,
    EngineEvent,
    EngineNotice,
    EngineResponseData,
    EngineResponseEnd,
    EngineResponseFailed,
    EngineResponseHead,
    EngineUnreachable,
    NotExecuted,
)

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
SUCCESS_STATUSES = range(200, 300)

UNSIGNED_STATUSES = frozenset({500, 501, 502, 504})
"""Statuses of responses that may lack a signature: they promise nothing, and do not say
that the request is wrong. Any other status is an engine's only with its signature."""

MAX_RATE = 1e9
"""Largest limit that is noted, in requests a second; a higher one limits nothing."""

MAX_PAUSE = 1 * HOUR
"""Longest pause in seconds that an engine may ask for; a longer one is not credible."""

END_CHECK_TIMEOUT = 50 * MILLISECOND
"""Seconds within which an engine must refuse a connection to count as ended: several
round trips in a region, since the request's next attempt waits for it."""

MIN_DEADLINE_MS = 1
"""Smallest deadline in milliseconds; engines reject a deadline of 0."""


def _idle_timeout(head: ResponseHead) -> float | None:
    """Return the seconds after which the engine closes an idle connection."""
    for part in (head.get(KEEP_ALIVE) or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


def read_notice(head: ResponseHead, engine: str) -> EngineNotice:
    """Return what a response states about an engine.

    A response of another engine at the same address states nothing about it.
    """
    if _is_from_other_engine(head, engine):
        return NO_NOTICE
    is_leaving = (head.get(LEAVING) or b"").strip() == b"1"
    return EngineNotice(is_leaving, _requested_pause(head), _rate_limit(head))


def _is_from_other_engine(head: ResponseHead, engine: str) -> bool:
    responding = head.get(RESPONDING_ENGINE)
    return responding is not None and responding.decode("latin-1") != engine


def _requested_pause(head: ResponseHead) -> float:
    """Return the seconds for which the engine wants no requests; 0 for none.

    >>> _requested_pause(ResponseHead(503, [(b"Retry-After", b"1.5")]))
    1.5
    >>> _requested_pause(ResponseHead(503, [(b"Retry-After", b"soon")]))
    0.0
    """
    stated = head.get(RETRY_AFTER.lower())
    if head.status != UNAVAILABLE_STATUS or stated is None:
        return 0.0
    try:
        seconds = float(stated)
    except ValueError:
        return 0.0
    return min(seconds, MAX_PAUSE) if seconds > 0 else 0.0


def _rate_limit(head: ResponseHead) -> float | None:
    """Return the limit that a response states, in requests a second.

    >>> _rate_limit(ResponseHead(200, [(b"Server-Limit", b"2.5")]))
    2.5
    >>> _rate_limit(ResponseHead(200, [(b"Server-Limit", b"nan")]))
    """
    try:
        rate = float(head.get(RATE_LIMIT) or b"")
    except ValueError:
        return None
    return min(rate, MAX_RATE) if isfinite(rate) and rate >= 0 else None


class HttpEngineCall(EngineCall):
    """One request on one connection."""

    def __init__(
        self,
        connection: HttpConnection,
        endpoint: Endpoint,
        pool: ConnectionPool,
        request_id: str,
    ) -> None:
        self._connection = connection
        self._request_id = request_id
        self._endpoint = endpoint
        self._pool = pool
        self._idle_timeout: float | None = None
        self._is_complete = False
        self._is_released = False
        self._must_close = False

    @property
    def has_event(self) -> bool:
        return self._connection.has_event

    async def wait(self) -> None:
        await self._connection.wait()

    async def receive(self) -> EngineEvent:
        event = await self._connection.receive()
        match event:
            case ResponseHead():
                return self._on_head(event)
            case BodyPart():
                return EngineResponseData(event.data)
            case ResponseEnd():
                self._is_complete = True
                return EngineResponseEnd(event.is_at_close)
            case ResponseFailed():
                return EngineResponseFailed(event.reason, is_closed=event.is_closed)

    def release(self) -> None:
        if self._is_released:
            return
        self._is_released = True
        is_reusable = self._is_complete or self._connection.is_reusable
        if self._must_close or not is_reusable:
            self._connection.close()
            return
        self._pool.release(
            self._connection,
            self._endpoint.address,
            self._endpoint.id,
            self._idle_timeout,
        )

    def _on_head(self, head: ResponseHead) -> EngineEvent:
        self._idle_timeout = _idle_timeout(head)
        notice = read_notice(head, self._endpoint.id)
        is_signed = bool(head.get(SIGNATURE))
        if head.get(NOT_EXECUTED) is not None or head.status == MISDIRECTED_STATUS:
            self._connection.note_refused(self._request_id)
            is_other_engine = _is_from_other_engine(head, self._endpoint.id)
            faulty = head.get(FAULTY_ENGINE)
            return NotExecuted(
                head.status,
                head.status == MISDIRECTED_STATUS and is_other_engine,
                faulty is not None and faulty.decode("latin-1") != self._endpoint.id,
                notice,
                is_signed,
            )
        if head.get(CONTENT_ENCODING) is not None:
            reason = "response has a content encoding"
            return self._distrust(head, reason, notice, is_signed)
        if not is_signed and head.status not in UNSIGNED_STATUSES:
            reason = f"response {head.status} without a signature"
            return self._distrust(head, reason, NO_NOTICE, is_signed)
        content_type = head.get(b"content-type") or b""
        return EngineResponseHead(
            head.status,
            select_end_to_end(head.headers),
            head.status in SUCCESS_STATUSES,
            content_type.startswith(EVENT_STREAM_TYPE),
            notice,
            is_signed,
            head.status in NOT_RUN_STATUSES,
        )

    def _distrust(
        self, head: ResponseHead, reason: str, notice: EngineNotice, is_signed: bool
    ) -> EngineResponseFailed:
        """Give up a response that is not an engine's, and its connection."""
        self._must_close = True
        return EngineResponseFailed(
            reason, notice, status=head.status, is_signed=is_signed
        )


class HttpEngineClient(EngineClient):
    """Sends requests to engines over pooled connections."""

    def __init__(self, clock: Clock, pool: ConnectionPool) -> None:
        self._clock = clock
        self._pool = pool

    async def send(
        self,
        endpoint: Endpoint,
        request: InboundRequest,
        customer: str | None,
        last_event_id: int | None,
        deadline: float,
        max_connections: int,
    ) -> EngineCall:
        remaining = deadline - self._clock.now()
        try:
            connection, _ = await self._pool.acquire(
                endpoint.address,
                endpoint.id,
                max_connections,
                remaining,
                request.request_id,
            )
        except ConnectionFailed as error:
            raise EngineUnreachable(str(error)) from error
        call = HttpEngineCall(connection, endpoint, self._pool, request.request_id)
        remaining = deadline - self._clock.now()
        data = encode_request(
            request.method,
            request.target,
            self._headers(endpoint, request, customer, last_event_id, remaining),
            request.body,
        )
        connection.send(data, request.method, _match_request_id(request.request_id))
        return call

    async def has_ended(self, endpoint: Endpoint, max_connections: int) -> bool:
        return await self._pool.is_refused(
            endpoint.address, endpoint.id, max_connections, END_CHECK_TIMEOUT
        )

    def _headers(
        self,
        endpoint: Endpoint,
        request: InboundRequest,
        customer: str | None,
        last_event_id: int | None,
        remaining: float,
    ) -> list[Header]:
        milliseconds = max(MIN_DEADLINE_MS, int(remaining / MILLISECOND))
        headers = [*request.headers]
        headers.append((VIA, GATEWAY_VIA))
        headers.append((DEADLINE, b"%d" % milliseconds))
        headers.append((TARGET_ENGINE, endpoint.id.encode()))
        if customer is not None:
            headers.append((TENANT, customer.encode()))
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, b"%d" % last_event_id))
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return headers


def _match_request_id(request_id: str) -> Callable[[ResponseHead], bool]:
    expected = request_id.encode("latin-1")
    return lambda head: head.get(REQUEST_ID) == expected
