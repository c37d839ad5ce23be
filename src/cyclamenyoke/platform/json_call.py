"""One call with a JSON body over a kept connection."""

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

KEEP_TIME = 4 * SECOND
"""Seconds for which an idle connection is used again."""

GET = "GET"


class IncompleteResponse(CyclamenyokeError):
    """The answer broke off; the call may have been carried out."""


async def request_json(
    pool: ConnectionPool,
    address: str,
    peer: str,
    most_connections: int,
    method: str,
    target: bytes,
    headers: list[Header],
    content: object = None,
) -> tuple[int, bytes]:
    """Return status and body of an answer; the caller bounds the time.

    :param peer: tells servers apart that use one address in turn.
    :param content: encoded as the body; ``None`` for an empty one.
    :raises ConnectionFailed: when nothing was sent.
    :raises IncompleteResponse: without a whole answer.
    """
    body = b"" if content is None else msgspec.json.encode(content)
    fields = [(b"Host", address.encode()), *headers]
    if content is not None:
        fields.append((b"Content-Type", b"application/json"))
    if method != GET:
        fields.append((b"Content-Length", b"%d" % len(body)))
    data = encode_request(method.encode(), target, fields, body)
    connection, _ = await pool.acquire(address, peer, most_connections, KEEP_TIME)
    try:
        connection.send(data, method.encode(), lambda head: True)
        status, answer = await _read(connection)
    finally:
        if connection.is_reusable:
            pool.release(connection, address, peer, KEEP_TIME)
        else:
            connection.close()
    return status, answer


async def _read(connection: HttpConnection) -> tuple[int, bytes]:
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
