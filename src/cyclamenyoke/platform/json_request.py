"""A request with a JSON body over a pooled connection."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.http_connection import (
    BodyPart,
    Header,
    HttpConnection,
    ResponseEnd,
    ResponseFailed,
    ResponseHead,
    encode_request,
)
from cyclamenyoke.core.units import SECOND
from cyclamenyoke.exceptions import CyclamenyokeError
from cyclamenyoke.platform.headers import REQUEST_ID

ASSUMED_IDLE_TIMEOUT = 4 * SECOND
"""Idle timeout in seconds that the server is assumed to have; the pool closes idle
connections somewhat earlier. It is also passed to the pool as the timeout for
connecting, but the pool's own ``CONNECT_TIMEOUT`` is shorter and applies instead."""

GET = "GET"


class IncompleteResponse(CyclamenyokeError):
    """The response was truncated or too long; the request may have been executed."""


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """One complete response.

    :param body: the encoded content.
    """

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status


async def request_json(
    pool: ConnectionPool,
    address: str,
    endpoint: str,
    max_connections: int,
    method: str,
    target: bytes,
    headers: list[Header],
    max_response_bytes: int,
    content: object = None,
    request_id: bytes | None = None,
    must_identify: bool = False,
) -> JsonResponse:
    """Send a request and return the response.

    There is no timeout for the response; the calling code must set one.

    :param endpoint: id of the server, because an address may be reused by another one.
    :param max_connections: limit of this node's connections to the server.
    :param max_response_bytes: largest body that is accepted.
    :param content: value to encode as the body; ``None`` for an empty body.
    :param request_id: id that the server may repeat in its response. A response with
        another id is that to an earlier request, and is skipped.
    :param must_identify: whether the connection is closed after a response without the
        id, since a late copy of it could not be told from the next response.
    :raises ConnectionFailed: when nothing was sent.
    :raises IncompleteResponse: when the response is incomplete or too long.
    """
    body = b"" if content is None else msgspec.json.encode(content)
    fields = [(b"Host", address.encode()), *headers]
    if request_id is not None:
        fields.append((REQUEST_ID, request_id))
    if content is not None:
        fields.append((b"Content-Type", b"application/json"))
    if method != GET:
        fields.append((b"Content-Length", b"%d" % len(body)))
    data = encode_request(method.encode(), target, fields, body)
    connection, _ = await pool.acquire(
        address, endpoint, max_connections, ASSUMED_IDLE_TIMEOUT
    )
    may_reuse = False
    try:
        connection.send(data, method.encode(), _match_response(request_id))
        response = await _read_response(connection, max_response_bytes)
        is_identified = response.head.get(REQUEST_ID) == request_id
        may_reuse = is_identified or not must_identify
        return response
    finally:
        if may_reuse and connection.is_reusable:
            pool.release(connection, address, endpoint, ASSUMED_IDLE_TIMEOUT)
        else:
            connection.close()


def _match_response(request_id: bytes | None) -> Callable[[ResponseHead], bool]:
    if request_id is None:
        return lambda head: True
    return lambda head: head.get(REQUEST_ID) in (request_id, None)


async def _read_response(connection: HttpConnection, max_bytes: int) -> JsonResponse:
    head = ResponseHead(0, [])
    body = bytearray()
    while True:
        event = await connection.receive()
        match event:
            case ResponseHead():
                head = event
            case BodyPart():
                body += event.data
                if len(body) > max_bytes:
                    raise IncompleteResponse(f"response exceeds {max_bytes} bytes")
            case ResponseEnd():
                return JsonResponse(head, bytes(body))
            case ResponseFailed():
                raise IncompleteResponse(event.reason)
