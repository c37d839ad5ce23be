"""A request with a JSON body over a pooled connection."""

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
) -> JsonResponse:
    """Send a request and return the response.

    There is no timeout for the response; the calling code must set one.

    :param endpoint: id of the server, because an address may be reused by another one.
    :param max_connections: limit of this node's connections to the server.
    :param max_response_bytes: largest body that is accepted.
    :param content: value to encode as the body; ``None`` for an empty body.
    :raises ConnectionFailed: when nothing was sent.
    :raises IncompleteResponse: when the response is incomplete or too long.
    """
    body = b"" if content is None else msgspec.json.encode(content)
    fields = [(b"Host", address.encode()), *headers]
    if content is not None:
        fields.append((b"Content-Type", b"application/json"))
    if method != GET:
        fields.append((b"Content-Length", b"%d" % len(body)))
    data = encode_request(method.encode(), target, fields, body)
    connection, _ = await pool.acquire(
        address, endpoint, max_connections, ASSUMED_IDLE_TIMEOUT
    )
    try:
        connection.send(data, method.encode(), lambda head: True)
        return await _read_response(connection, max_response_bytes)
    finally:
        if connection.is_reusable:
            pool.release(connection, address, endpoint, ASSUMED_IDLE_TIMEOUT)
        else:
            connection.close()


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
