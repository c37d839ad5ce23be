"""HTTP handlers for callers: requests, the directory and the readiness check."""

import re
from collections.abc import Awaitable, Callable
from functools import partial
from hashlib import blake2b
from http import HTTPStatus
from random import Random
from typing import TypeVar
from urllib.parse import parse_qs, urlsplit

import msgspec

from cyclamenyoke.adapters.http_ingress import HttpRequest, Responder
from cyclamenyoke.core.decoding import parse_integer
from cyclamenyoke.core.host_names import normalize_host
from cyclamenyoke.core.inbound_request import Header, InboundRequest, RejectionReason
from cyclamenyoke.core.refusals import (
    Refusal,
    RefusalReason,
    UnreadableHeader,
    shorten,
    shorten_path,
)
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.exceptions import MalformedValue
from cyclamenyoke.platform.headers import (
    AUTHORIZATION,
    DEADLINE,
    GATEWAY_PSEUDONYM,
    LAST_EVENT_ID,
    PROMPT_PARTS,
    REQUEST_ID,
    RESERVED_FOR_GATEWAY,
    RESPONDING_ENGINE,
    RETRY_AFTER,
    TOKEN_COUNTS,
    came_through_gateway,
    select_end_to_end,
)
from cyclamenyoke.ports.response_writer import ResponseWriter

STATUS_BY_REASON = {
    RejectionReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RejectionReason.NO_KEY: HTTPStatus.UNAUTHORIZED,
    RejectionReason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    RejectionReason.NO_CONFIG: HTTPStatus.SERVICE_UNAVAILABLE,
    RejectionReason.CONFIG_UNCONFIRMED: HTTPStatus.SERVICE_UNAVAILABLE,
    RejectionReason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    RejectionReason.NO_ENDPOINT: HTTPStatus.SERVICE_UNAVAILABLE,
    RejectionReason.LOOP: HTTPStatus.MISDIRECTED_REQUEST,
    RejectionReason.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    RejectionReason.UNKNOWN: HTTPStatus.BAD_GATEWAY,
    RejectionReason.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
}
"""Statuses of rejections. Callers take some statuses as a confirmation that the request
has not run; these are used only for rejections that guarantee it."""

HEADERS_BY_REASON: dict[RejectionReason, list[Header]] = {
    RejectionReason.LOOP: [(RESPONDING_ENGINE, GATEWAY_PSEUDONYM)],
}
"""Headers of rejections. The sender of a misdirected request learns that the endpoint
is no longer at its address."""

HOST = b"host"
BEARER = b"bearer"
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
RESOLVE_PATH = "/v1/resolve"
READINESS_PATH = "/v1/readiness"
MAX_ADDRESSES = 64
"""Largest number of addresses in a response of the directory."""

MAX_DEADLINE_MS = 10**12
"""Largest deadline in milliseconds; a longer one counts as this."""

MAX_COUNT = 2**53
"""Largest number of tokens that counts as one; exact as a float as well."""

MAX_PART_ID_BYTES = 32
"""Longest id of a prompt's part in bytes; a longer one is replaced by its digest."""

_DECIMAL = re.compile(rb"[+-]?[0-9]+(\.[0-9]*)?")

T = TypeVar("T")

_NOT_FORWARDED = RESERVED_FOR_GATEWAY | {AUTHORIZATION}


class HttpResponseWriter(ResponseWriter):
    """Writes the response to one HTTP request."""

    def __init__(self, responder: Responder, request_id: str | None) -> None:
        self._responder = responder
        self._request_id = request_id
        self._status: int | None = None

    @property
    def status(self) -> int | None:
        return self._status

    @property
    def unsent_bytes(self) -> int:
        return self._responder.unsent_bytes

    def reject(self, reason: RejectionReason, retry_after: float | None = None) -> None:
        headers = [*HEADERS_BY_REASON.get(reason, ())]
        if self._request_id is not None:
            headers.append((b"X-Request-Id", self._request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after))
        self._status = STATUS_BY_REASON[reason].value
        self._responder.respond(self._status, headers)

    def send(self, status: int, headers: list[Header], body: bytes) -> None:
        self._status = status
        self._responder.respond(status, headers, body)

    def start(self, status: int, headers: list[Header]) -> None:
        self._status = status
        self._responder.start(status, headers)

    async def write(self, data: bytes) -> None:
        self._responder.write(data)
        await self._responder.drain()

    def finish(self) -> None:
        self._responder.finish()

    def abort(self) -> None:
        self._responder.abort()


ServeRequest = Callable[[InboundRequest, ResponseWriter], Awaitable[None]]


class CallerHandler:
    """Decodes callers' HTTP requests and passes them to ``serve``.

    :param on_refused: called for each request that can't be decoded.
    :param on_unreadable: called for each header that is left out of account.
    """

    def __init__(
        self,
        serve: ServeRequest,
        on_refused: Callable[[Refusal], None],
        on_unreadable: Callable[[UnreadableHeader], None],
    ) -> None:
        self._serve = serve
        self._on_refused = on_refused
        self._on_unreadable = on_unreadable

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        inbound = decode_request(request, self._on_unreadable)
        if isinstance(inbound, Refusal):
            self._on_refused(inbound)
            responder.respond(inbound.status)
            return
        await self._serve(inbound, HttpResponseWriter(responder, inbound.request_id))


def decode_request(
    request: HttpRequest,
    on_unreadable: Callable[[UnreadableHeader], None] = lambda header: None,
) -> InboundRequest | Refusal:
    """Decode a request of a caller.

    A deadline, token counts or event id that can't be read counts as not stated.

    :param on_unreadable: called for each of these headers.
    """
    request_id = request.get(REQUEST_ID)
    host = request.get(HOST)
    if not request_id:
        return _refusal(request, RefusalReason.MISSING_HEADER, REQUEST_ID)
    if not host:
        return _refusal(request, RefusalReason.MISSING_HEADER, HOST)
    if not request.target.startswith(b"/"):
        return _refusal(request, RefusalReason.UNSUPPORTED_TARGET)
    read = partial(_read_optional, request, on_unreadable)
    deadline = read(DEADLINE, _parse_deadline)
    if deadline is not None:
        deadline += request.received_at
    prompt_tokens, output_limit = read(TOKEN_COUNTS, _parse_counts) or (0, 0)
    last_event_id = read(LAST_EVENT_ID, parse_integer)
    parts = _prompt_parts(request.get(PROMPT_PARTS))
    return InboundRequest(
        request_id=request_id.decode("latin-1"),
        method=request.method,
        target=request.target,
        path=request.target.partition(b"?")[0].decode("latin-1"),
        host=normalize_host(host.decode("latin-1")),
        headers=select_end_to_end(request.headers, _NOT_FORWARDED),
        body=request.body,
        api_key=_api_key(request.get(AUTHORIZATION)),
        arrived_at=request.received_at,
        deadline=deadline,
        last_event_id=last_event_id,
        prompt_tokens=prompt_tokens,
        output_limit=output_limit,
        shared_parts=parts[:-1],
        last_part=parts[-1],
        is_from_gateway=came_through_gateway(request.headers),
    )


def _refusal(
    request: HttpRequest, reason: RefusalReason, field: bytes = b""
) -> Refusal:
    """Return why a request is refused, with the header that was at fault."""
    request_id = request.get(REQUEST_ID)
    return Refusal(
        HTTPStatus.BAD_REQUEST.value,
        reason,
        shorten(request_id) if request_id else None,
        shorten_path(request.target),
        field.decode(),
        shorten(request.get(field) or b""),
    )


def _prompt_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of a prompt's parts; the last one no other caller sends.

    >>> _prompt_parts(b"5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06', 'e4402b7d')
    >>> _prompt_parts(None)
    ('',)
    """
    parts = (value or b"").split(b",")
    return tuple(_part_id(part.partition(b":")[0].strip().lower()) for part in parts)


def _part_id(id_: bytes) -> str:
    """Return an id that is short whatever a caller sends, since ids are remembered."""
    if len(id_) > MAX_PART_ID_BYTES:
        return blake2b(id_, digest_size=MAX_PART_ID_BYTES // 2).hexdigest()
    return id_.decode("latin-1")


def _read_optional(
    request: HttpRequest,
    on_unreadable: Callable[[UnreadableHeader], None],
    name: bytes,
    parse: Callable[[bytes], T],
) -> T | None:
    """Return a header's parsed value; ``None`` if it is absent, empty or unreadable."""
    value = request.get(name.lower())
    if not value:
        return None
    try:
        return parse(value)
    except MalformedValue:
        request_id = shorten(request.get(REQUEST_ID) or b"")
        header = name.decode().lower()
        on_unreadable(UnreadableHeader(request_id, header, shorten(value)))
        return None


def _parse_deadline(value: bytes) -> float:
    """Return the seconds after a request's arrival at which its caller stops waiting.

    One in the distant future is as good as any other; the route's timeout comes first.

    :raises MalformedValue: when it is not a decimal number of milliseconds.

    >>> _parse_deadline(b"1500.5"), _parse_deadline(b"-3")
    (1.5005, 0.0)
    """
    if not _DECIMAL.fullmatch(value):
        raise MalformedValue(f"{shorten(value)!r} is not a decimal number")
    return min(max(float(value), 0.0), MAX_DEADLINE_MS) * MILLISECOND


def _parse_counts(value: bytes) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum number of generated ones.

    :raises MalformedValue: when these are not two counts.

    >>> _parse_counts(b"1460,80")
    (1460, 80)
    """
    stated = value.split(b",")
    if len(stated) < 2:
        raise MalformedValue("a count is missing")
    prompt_tokens, output_limit = (
        parse_integer(each, MAX_COUNT) for each in stated[:2]
    )
    if min(prompt_tokens, output_limit) < 0:
        raise MalformedValue("a count is negative")
    return prompt_tokens, output_limit


def _api_key(authorization: bytes | None) -> str | None:
    """Return the key in an ``Authorization`` header of the scheme ``Bearer``.

    >>> _api_key(b"bearer \\t key"), _api_key(b"Basic key"), _api_key(b"Bearer")
    ('key', None, None)
    """
    match (authorization or b"").strip().split(None, 1):
        case [scheme, key] if scheme.lower() == BEARER:
            return key.decode("latin-1")
    return None


class DirectoryHandler:
    """Resolves a name to the addresses that callers may connect to.

    :param addresses: returns the addresses of gateways that accept callers, by name and
        data centre.
    :param lifetime: returns the seconds for which a caller may cache a response.
    :param random: chooses between more addresses than fit in a response.
    """

    def __init__(
        self,
        addresses: Callable[[str, str], list[str]],
        lifetime: Callable[[], float],
        random: Random,
    ) -> None:
        self._addresses = addresses
        self._lifetime = lifetime
        self._random = random

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        try:
            target = urlsplit(request.target.decode("latin-1"))
        except ValueError:
            responder.respond(HTTPStatus.BAD_REQUEST.value)
            return
        if target.path != RESOLVE_PATH:
            responder.respond(HTTPStatus.NOT_FOUND.value)
            return
        query = parse_qs(target.query)
        data_centre = query.get("zone", [""])[0]
        name = query.get("name", [""])[0]
        addresses = self._addresses(name, data_centre)
        if len(addresses) > MAX_ADDRESSES:
            # A random choice, so that all gateways of a large fleet get callers.
            addresses = self._random.sample(addresses, MAX_ADDRESSES)
        if not addresses:
            responder.respond(HTTPStatus.SERVICE_UNAVAILABLE.value)
            return
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": self._lifetime()})
        responder.respond(HTTPStatus.OK.value, [JSON_CONTENT_TYPE], body)


class ReadinessHandler:
    """Responds to the platform's readiness check of this node."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        if request.target.partition(b"?")[0].decode("latin-1") != READINESS_PATH:
            responder.respond(HTTPStatus.NOT_FOUND.value)
            return
        is_ready = self._is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        responder.respond(status.value)
