"""Callers whose bytes are few and costly to parse, or hold many requests."""

import asyncio
import contextlib

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import (
    FIRST_READ_BYTES,
    MAX_OVERHEAD_BYTES,
    MAX_PENDING_REQUESTS,
    MAX_PIPELINED_REQUESTS,
    IngressConnection,
    IngressServer,
)
from cyclamenyoke.adapters.read_pacer import COSTLY_READ_BYTES
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE
from site_fixture import connect, free_port, read_response, send_request

CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Site:
    """A server of callers; requests wait while ``release`` is not set."""

    def __init__(self):
        self.release = asyncio.Event()
        self.release.set()
        self.bodies = []
        self.refused = []
        self.server = IngressServer(
            self.handle, BootClock(), self.refused.append, print
        )
        self.address = f"127.0.0.1:{free_port('127.0.0.1')}"

    async def handle(self, request, responder):
        self.bodies.append(request.body)
        await self.release.wait()
        responder.respond(200)


@contextlib.asynccontextmanager
async def running_site():
    site = Site()
    await site.server.start(site.address)
    try:
        yield site
    finally:
        site.server.close()


async def send(site, data):
    """Send data on a new connection, without waiting until it is read."""
    reader, writer = await connect(site.address)
    writer.write(data)
    return reader, writer


async def count_passes(parts, most):
    """Note the largest number of parts that one pass of the event loop adds."""
    while True:
        most.append(len(parts))
        parts.clear()
        await asyncio.sleep(0)


async def test_small_chunks_of_callers_do_not_occupy_the_event_loop(monkeypatch):
    parts, most = [], []
    on_body = IngressConnection.on_body

    def count(connection, data):
        parts.append(data)
        on_body(connection, data)

    monkeypatch.setattr(IngressConnection, "on_body", count)
    body = CHUNKED_HEAD + SMALL_CHUNK * 20 * KIBIBYTE + LAST_CHUNK
    crowd_size = 10
    async with running_site() as site:
        counter = asyncio.create_task(count_passes(parts, most))
        crowd = [await send(site, body) for _ in range(crowd_size)]
        ordinary = await send_request(site.address, "GET", "/", {"Host": "h"})
        assert ordinary.status == 200
        assert len(site.bodies) <= crowd_size
        for reader, writer in crowd:
            response = await asyncio.wait_for(read_response(reader), 20)
            assert response.status == 200
            writer.close()
        counter.cancel()
    assert sorted(map(len, site.bodies)) == [0] + [20 * KIBIBYTE] * crowd_size
    first_reads = crowd_size * FIRST_READ_BYTES
    assert max(most) <= (first_reads + COSTLY_READ_BYTES) / len(SMALL_CHUNK)


async def test_body_in_chunks_of_one_byte_is_served_in_calm():
    size = 128 * KIBIBYTE
    async with running_site() as site:
        body = CHUNKED_HEAD + SMALL_CHUNK * size + LAST_CHUNK
        reader, writer = await send(site, body)
        assert (await asyncio.wait_for(read_response(reader), 20)).status == 200
        assert site.bodies == [b"x" * size]
        writer.close()


async def test_extensions_of_chunks_without_an_end_are_refused():
    chunk = b"1;" + b"e" * 1000 + b"\r\nx\r\n"
    count = 2 * MAX_OVERHEAD_BYTES // len(chunk)
    async with running_site() as site:
        reader, writer = await send(site, CHUNKED_HEAD + chunk * count)
        assert (await asyncio.wait_for(read_response(reader), 10)).status == 413
        [refusal] = site.refused
        assert refusal.limit == MAX_OVERHEAD_BYTES
        assert site.bodies == []
        writer.close()


async def test_whole_body_of_the_largest_size_arrives_unchanged():
    body = bytes(range(256)) * (4 * MEBIBYTE // 256)
    for head, tail in (
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body), b""),
        (CHUNKED_HEAD + b"%x\r\n" % len(body), b"\r\n" + LAST_CHUNK),
    ):
        async with running_site() as site:
            reader, writer = await send(site, head + body + tail)
            assert (await asyncio.wait_for(read_response(reader), 20)).status == 200
            assert site.bodies == [body]
            writer.close()


def most_pending(site):
    return max(len(connection._pending) for connection in site.server._connections)


async def read_statuses(reader):
    statuses = []
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            response = await asyncio.wait_for(read_response(reader), 10)
            statuses.append(response.status)
    return statuses


async def test_pipelined_requests_wait_unread_while_one_is_handled():
    request = b"GET / HTTP/1.1\r\nHost: h\r\nX-Padding: %b\r\n\r\n" % (b"x" * 200)
    async with running_site() as site:
        site.release.clear()
        # The first one alone, so that the others come while it is handled.
        reader, writer = await send(site, request)
        await asyncio.sleep(0.05)
        writer.write(request * 100)
        await asyncio.sleep(0.2)
        one_read = FIRST_READ_BYTES // len(request)
        assert most_pending(site) <= MAX_PIPELINED_REQUESTS + one_read
        site.release.set()
        for _ in range(101):
            assert (await asyncio.wait_for(read_response(reader), 10)).status == 200
        writer.close()


async def test_tiny_pipelined_requests_without_an_end_are_refused():
    async with running_site() as site:
        site.release.clear()
        reader, writer = await send(site, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2000)
        await asyncio.sleep(0.2)
        assert most_pending(site) <= MAX_PENDING_REQUESTS
        site.release.set()
        statuses = await read_statuses(reader)
        assert set(statuses[:-1]) == {200}
        assert statuses[-1] == 503
        assert len(statuses) == len(site.bodies) + 1
        writer.close()
