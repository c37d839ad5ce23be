"""A request with a JSON body over a pooled connection."""

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
    """The response was truncated; the request may have been executed."""


async def request_json(
    pool: ConnectionPool,
    address: str,
    endpoint: str,
    max_connections: int,
    method: str,
    target: bytes,
    headers: list[Header],
    content: object = None,
) -> tuple[int, bytes]:
    """Send a request and return status and body of the response.

    There is no timeout for the response; the calling code must set one.

    :param endpoint: id of the server, because an address may be reused by another one.
    :param max_connections: limit of this node's connections to the server.
    :param content: value to encode as the body; ``None`` for an empty body.
    :raises ConnectionFailed: when nothing was sent.
    :raises IncompleteResponse: when the response is incomplete.
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
        status, response = await _read_response(connection)
    finally:
        if connection.is_reusable:
            pool.release(connection, address, endpoint, ASSUMED_IDLE_TIMEOUT)
        else:
            connection.close()
    return status, response


async def _read_response(connection: HttpConnection) -> tuple[int, bytes]:
    status = 0
    parts: list[bytes] = []
    while True:
        event = await connection.receive()
        match event:
            case ResponseHead():
                status = event.status
            case BodyPart():
                parts.append(event.data)
            case ResponseEnd():
                return status, b"".join(parts)
            case ResponseFailed():
                raise IncompleteResponse(event.reason)
