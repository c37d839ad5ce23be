"""Callers' connections: how many are open, and which one is closed for a new one."""

import asyncio
import errno
import socket

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressServer, PacedListener
from cyclamenyoke.core.connection_limit import (
    ConnectionLimit,
    ConnectionUse,
    share_descriptors,
)
from site_fixture import connect, free_port, read_response, running_site, send_request

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
HALF_HEAD = b"GET / HTTP/1.1\r\nHost: h"
HALF_BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"


def limit_of(**connections):
    """Return a full limit with one connection for each name and use."""
    limit = ConnectionLimit(len(connections))
    for name, use in connections.items():
        limit.add(name)
        limit.update(name, use)
    return limit


def test_idle_connections_are_closed_by_use_and_then_by_age():
    limit = limit_of(
        receiving=ConnectionUse.RECEIVING,
        kept=ConnectionUse.KEPT,
        handling=ConnectionUse.HANDLING,
        old=ConnectionUse.NEW,
        new=ConnectionUse.NEW,
    )
    assert limit.is_reached
    closed = [limit.make_room(lambda name: False) for _ in range(5)]
    assert closed == ["old", "new", "kept", "receiving", None]
    assert (limit.closed_count, limit.refused_count) == (4, 1)
    assert not limit.is_reached


def test_connection_idle_for_longest_goes_first_whenever_it_was_opened():
    limit = limit_of(first=ConnectionUse.KEPT, second=ConnectionUse.KEPT)
    limit.update("first", ConnectionUse.HANDLING)
    limit.update("first", ConnectionUse.KEPT)
    assert limit.make_room(lambda name: False) == "second"


def test_connection_with_an_unsent_response_stays_open():
    limit = limit_of(unsent=ConnectionUse.KEPT, sent=ConnectionUse.KEPT)
    assert limit.make_room(lambda name: name == "unsent") == "sent"
    assert limit.make_room(lambda name: name == "unsent") is None


def test_closed_connection_makes_room_and_is_not_counted_again():
    limit = limit_of(a=ConnectionUse.KEPT)
    limit.remove("a")
    limit.remove("a")
    limit.update("a", ConnectionUse.HANDLING)
    assert not limit.is_reached
    assert limit.make_room(lambda name: False) is None


@pytest.mark.parametrize("descriptors", [1, 16, 100, 250, 1024, 1570, 10_000])
def test_shares_leave_each_caller_a_connection_to_an_endpoint(descriptors):
    shares = share_descriptors(descriptors)
    assert shares.callers >= 1
    assert shares.directory >= 1
    assert shares.monitoring >= 1
    if descriptors >= 16:
        used = 2 * shares.callers + shares.directory + 2 * shares.monitoring
        assert used <= descriptors


class Site:
    """A server of callers with a limit; requests wait until they are released."""

    def __init__(self, max_connections):
        self.release = asyncio.Event()
        self.handled = 0
        self.limit = ConnectionLimit(max_connections)
        self.server = IngressServer(
            self.handle,
            BootClock(),
            print,
            print,
            connection_limit=self.limit,
            full_headers=[(b"Retry-After", b"1.000")],
        )
        self.address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.writers = []

    async def __aenter__(self):
        await self.server.start(self.address)
        return self

    async def __aexit__(self, *error):
        for writer in self.writers:
            writer.close()
        self.server.close()

    async def handle(self, request, responder):
        self.handled += 1
        await self.release.wait()
        responder.respond(200)

    async def open(self, data=b""):
        """Open a connection, send data, and wait until the server has read it."""
        reader, writer = await connect(self.address)
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader


@pytest.mark.parametrize("sent", [b"", HALF_HEAD, HALF_BODY])
async def test_crowd_of_idle_connections_does_not_keep_a_request_out(sent):
    async with Site(4) as site:
        site.release.set()
        crowd = [await site.open(sent) for _ in range(8)]
        assert site.server.connection_count == 4
        response = await send_request(site.address, "GET", "/", {"Host": "h"})
        assert response.status == 200
        assert [reader.at_eof() for reader in crowd[4:]] == [False] * 4
        for reader in crowd[:4]:
            closed = await asyncio.wait_for(read_response(reader), 1)
            assert (closed.status, closed.headers["retry-after"]) == (503, "1.000")
        assert site.handled == 1


async def test_new_connection_is_refused_while_all_requests_are_handled():
    async with Site(2) as site:
        busy = [await site.open(REQUEST) for _ in range(2)]
        refused = await read_response(await site.open(REQUEST))
        assert (refused.status, refused.headers["retry-after"]) == (503, "1.000")
        assert site.limit.refused_count == 1
        site.release.set()
        assert [(await read_response(each)).status for each in busy] == [200, 200]
        assert site.handled == 2


async def test_kept_connection_is_closed_without_a_response_that_nobody_asked_for():
    async with Site(1) as site:
        site.release.set()
        kept = await site.open(REQUEST)
        assert (await read_response(kept)).status == 200
        await site.open()
        assert await asyncio.wait_for(kept.read(), 1) == b""


async def test_callers_leave_descriptors_to_endpoints_and_the_readiness_check():
    async with running_site(engines=1) as site:
        [(gateway, settings, _)] = site.gateways
        bound = settings.file_descriptors // 2
        crowd = [await connect(settings.callers) for _ in range(bound + 50)]
        crowd += [await connect(settings.readiness) for _ in range(100)]
        open_count = sum(server.connection_count for _, server in gateway._servers)
        assert open_count <= bound
        assert await site.is_ready(settings)
        assert (await site.get(settings, "/lookup/a")).status == 200
        metrics = f"{settings.ip}:{settings.metrics_port}"
        response = await send_request(metrics, "GET", "/metrics", {"Host": "h"})
        assert b"cyclamenyoke_connections_closed_for_room " in response.body
        for _, writer in crowd:
            writer.close()


async def test_want_of_descriptors_is_tried_again_once_for_each_waiting_connection(
    monkeypatch,
):
    errors, tries = [], []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))

    def accept(self):
        tries.append(self)
        raise OSError(errno.EMFILE, "too many open files")

    async with Site(4) as site:
        monkeypatch.setattr(socket.socket, "accept", accept)
        await connect(site.address)
        await asyncio.sleep(0.2)
        assert len(errors) == len(tries) == 1


async def test_listener_accepts_a_burst_in_several_passes_of_the_loop():
    listener = PacedListener()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    listener.setblocking(False)
    clients = [socket.create_connection(listener.getsockname()) for _ in range(40)]
    counts, accepted = [], []
    while len(accepted) < len(clients):
        before = len(accepted)
        try:
            while True:
                accepted.append(listener.accept()[0])
        except BlockingIOError:
            counts.append(len(accepted) - before)
        await asyncio.sleep(0)
    assert counts == [16, 16, 8]
    for sock in [listener, *clients, *accepted]:
        sock.close()


async def test_refused_connection_that_lingers_makes_room_for_a_new_one():
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: errors.append(context)
    )
    async with Site(1) as site:
        site.release.set()
        refused = await site.open(b"GET / HTTP/1.1\r\nBroken\r\n\r\n")
        response = await send_request(site.address, "GET", "/", {"Host": "h"})
        assert response.status == 200
        assert (await read_response(refused)).status == 400
        assert await refused.read() == b""
        assert errors == []
