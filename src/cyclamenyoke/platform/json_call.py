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

IDLE_TIMEOUT = 4 * SECOND
"""Seconds for which an idle connection is kept for reuse; also bounds connecting."""

GET = "GET"


class IncompleteResponse(CyclamenyokeError):
    """The response was truncated; the request may have been executed."""


async def request_json(
    pool: ConnectionPool,
    address: str,
    peer: str,
    max_connections: int,
    method: str,
    target: bytes,
    headers: list[Header],
    content: object = None,
) -> tuple[int, bytes]:
    """Send a request and return status and body of the response.

    There is no timeout for the response; the calling code must set one.

    :param peer: identifies the server where several use the same address in turn.
    :param max_connections: limit of the connections to the peer.
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
    connection, _ = await pool.acquire(address, peer, max_connections, IDLE_TIMEOUT)
    try:
        connection.send(data, method.encode(), lambda head: True)
        status, response = await _read_response(connection)
    finally:
        if connection.is_reusable:
            pool.release(connection, address, peer, IDLE_TIMEOUT)
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
