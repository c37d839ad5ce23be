import asyncio
import contextlib
import gc
import re
import weakref
from random import Random

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressConnection, IngressServer
from cyclamenyoke.core import caller_memory
from cyclamenyoke.core.caller_memory import CONNECTION_BYTES, CallerMemory, MemoryHolder
from cyclamenyoke.core.connection_limit import ConnectionLimit
from cyclamenyoke.core.inbound_request import InboundRequest
from cyclamenyoke.core.refusals import RefusalReason
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE
from site_fixture import caller_headers, running_site


async def handle(request, responder):
    responder.respond(200)


def head(length: int, *lines: bytes) -> bytes:
    """Return the head of a POST request with a body of the length."""
    fields = [b"Host: a", b"Content-Length: %d" % length, *lines]
    return b"\r\n".join([b"POST /a HTTP/1.1", *fields, b"", b""])


@pytest.fixture
def server():
    return IngressServer(handle, BootClock(), lambda refusal: None, print)


def test_bytes_of_an_incomplete_body_are_counted_as_held(server):
    connection = IngressConnection(server)
    connection.data_received(head(8 * KIBIBYTE) + bytes(4 * KIBIBYTE))
    assert 4 * KIBIBYTE <= connection.held_bytes < 5 * KIBIBYTE


class Holder(MemoryHolder):
    """Records what the account asks of it."""

    def __init__(self) -> None:
        self.refusals = 0
        self.is_reset = False

    def refuse_unserved(self) -> None:
        self.refusals += 1

    def reset(self) -> None:
        self.is_reset = True


def opened(memory: CallerMemory, count: int) -> list[Holder]:
    """Return holders that are registered at 0 s."""
    holders = [Holder() for _ in range(count)]
    assert all(memory.open(holder, 0.0) for holder in holders)
    return holders


def test_request_held_longest_makes_room_for_a_newcomer():
    memory = CallerMemory(8 * MEBIBYTE)
    first, second, newcomer = opened(memory, 3)
    assert memory.receive(first, 2 * MEBIBYTE, 0.0)
    assert memory.receive(second, 2 * MEBIBYTE, 1.0)
    assert memory.receive(newcomer, 3 * MEBIBYTE, 2.5)
    assert (first.refusals, second.refusals) == (1, 0)


def test_newcomer_without_room_is_refused_while_others_are_recent():
    memory = CallerMemory(8 * MEBIBYTE)
    sitting, newcomer = opened(memory, 2)
    assert memory.receive(sitting, 4 * MEBIBYTE, 0.0)
    held = memory.held
    assert not memory.receive(newcomer, 4 * MEBIBYTE, 0.5)
    assert sitting.refusals == 0
    assert memory.held == held


def test_nobody_is_refused_for_a_request_that_finds_no_room_even_so():
    memory = CallerMemory(8 * MEBIBYTE)
    running, sitting, newcomer = opened(memory, 3)
    assert memory.receive(running, 4 * MEBIBYTE, 0.0)
    memory.start(running, memory.complete(running))
    assert memory.receive(sitting, 1 * MEBIBYTE, 0.0)
    assert not memory.receive(newcomer, 4 * MEBIBYTE, 60.0)
    assert sitting.refusals == running.refusals == 0


def test_small_requests_find_room_beside_large_ones_that_fill_theirs():
    memory = CallerMemory(8 * MEBIBYTE)
    crowd = opened(memory, 20)
    for holder in crowd:
        memory.receive(holder, 1 * MEBIBYTE, 0.0)
    [small] = opened(memory, 1)
    assert memory.receive(small, 32 * KIBIBYTE, 0.1)


def test_request_that_is_not_expected_gives_way_at_once_and_displaces_nobody():
    memory = CallerMemory(8 * MEBIBYTE)
    stranger, known, other = opened(memory, 3)
    memory.expect(stranger, False)
    assert memory.receive(stranger, 4 * MEBIBYTE, 0.0)
    assert memory.receive(known, 4 * MEBIBYTE, 0.1)
    assert stranger.refusals == 1
    memory.expect(other, False)
    assert not memory.receive(other, 4 * MEBIBYTE, 60.0)
    assert known.refusals == 0


def test_large_request_does_not_displace_small_ones():
    memory = CallerMemory(8 * MEBIBYTE)
    crowd = opened(memory, 100)
    for holder in crowd:
        assert memory.receive(holder, 40 * KIBIBYTE, 0.0)
    [large] = opened(memory, 1)
    assert not memory.receive(large, 4 * MEBIBYTE, 60.0)
    assert not any(holder.refusals for holder in crowd)


def test_stalled_response_is_given_up_only_if_nothing_else_is_left():
    memory = CallerMemory(1 * MEBIBYTE)
    stalled, incomplete, newcomer = opened(memory, 3)
    memory.set_unsent(stalled, 600 * KIBIBYTE, 0.0)
    assert memory.receive(incomplete, 60 * KIBIBYTE, 0.0)
    assert memory.receive(newcomer, 40 * KIBIBYTE, 20.0)
    memory.set_unsent(newcomer, 300 * KIBIBYTE, 20.0)
    assert incomplete.refusals == 1
    assert not stalled.is_reset
    memory.set_unsent(newcomer, 500 * KIBIBYTE, 20.0)
    assert stalled.is_reset
    assert not newcomer.is_reset


def test_response_that_is_read_is_not_given_up():
    memory = CallerMemory(1 * MEBIBYTE)
    reading, other = opened(memory, 2)
    memory.set_unsent(reading, 700 * KIBIBYTE, 0.0)
    memory.set_unsent(reading, 600 * KIBIBYTE, 19.0)
    memory.set_unsent(other, 600 * KIBIBYTE, 20.0)
    assert not reading.is_reset


@pytest.mark.parametrize("seed", range(20))
def test_requests_never_exceed_the_limit_and_leave_nothing(seed):
    random = Random(seed)
    memory = CallerMemory(random.randrange(2, 20) * MEBIBYTE)
    now = 0.0
    holders = []
    running = {}
    for _ in range(3000):
        now += random.expovariate(5)
        if not holders or random.random() < 0.1:
            holder = Holder()
            if memory.open(holder, now):
                holders.append(holder)
                memory.expect(holder, random.random() < 0.7)
        if not holders:
            continue
        holder = random.choice(holders)
        action = random.randrange(6)
        if action < 3:
            size = int(2 ** random.uniform(8, 23))
            memory.receive(holder, size, now)
        elif action == 3 and holder not in running:
            running[holder] = memory.complete(holder)
            memory.start(holder, running[holder])
        elif action == 4 and running.pop(holder, None) is not None:
            memory.finish(holder)
        elif action == 5 and random.random() < 0.3:
            holders.remove(holder)
            running.pop(holder, None)
            memory.close(holder)
        assert 0 <= memory.held <= memory.limit
    for holder in holders:
        memory.close(holder)
    assert memory.held == 0


@contextlib.asynccontextmanager
async def running_server(memory, handler=handle, max_connections=None):
    """Start a server; yield it, its port and the refusals."""
    refusals = []
    headers = [(b"Retry-After", b"0.500")]
    server = IngressServer(
        handler,
        BootClock(),
        refusals.append,
        print,
        memory=memory,
        no_memory_headers=headers,
        connection_limit=ConnectionLimit(max_connections),
    )
    await server.start("127.0.0.1:0")
    try:
        yield server, server._server.sockets[0].getsockname()[1], refusals
    finally:
        server.close()


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_closed_connection_is_freed_without_the_collector():
    gc.collect()
    gc.disable()
    try:
        async with running_server(CallerMemory(8 * MEBIBYTE)) as (server, port, _):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head(MEBIBYTE) + bytes(MEBIBYTE - 1))
            await until(lambda: server.held_bytes >= MEBIBYTE - 1)
            [connection] = [weakref.ref(each) for each in server._connections]
            writer.close()
            await until(lambda: not server.connection_count)
            await until(lambda: connection() is None)
            assert server.memory.held == 0
    finally:
        gc.enable()


async def test_body_without_room_is_refused_at_its_head():
    memory = CallerMemory(4 * MEBIBYTE)
    async with running_server(memory) as (_, port, refusals):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(4 * MEBIBYTE, b"Expect: 100-continue"))
        response = await asyncio.wait_for(reader.read(), 5)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 0.500\r\n" in response
        assert [each.reason for each in refusals] == [RefusalReason.NO_MEMORY]
        writer.close()


async def test_refused_body_is_freed_at_once():
    memory = CallerMemory(4 * MEBIBYTE)
    async with running_server(memory) as (server, port, refusals):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(MEBIBYTE) + bytes(MEBIBYTE // 2))
        await until(lambda: server.held_bytes >= MEBIBYTE // 2)
        [connection] = server._connections
        memory.release_unserved(connection)
        connection.refuse_unserved()
        assert server.held_bytes < KIBIBYTE
        assert memory.held <= CONNECTION_BYTES
        assert len(refusals) == 1
        writer.close()


async def test_each_whole_request_that_is_refused_for_memory_gets_its_response():
    has_started, may_end = asyncio.Event(), asyncio.Event()

    async def wait(request, responder):
        has_started.set()
        await may_end.wait()
        responder.respond(200)

    memory = CallerMemory(4 * MEBIBYTE)
    async with running_server(memory, wait) as (server, port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(3 * (head(100) + bytes(100)) + head(100) + bytes(50))
        await has_started.wait()
        [connection] = server._connections
        await until(lambda: connection._body)
        memory.release_unserved(connection)
        connection.refuse_unserved()
        may_end.set()
        response = await asyncio.wait_for(reader.read(), 5)
        statuses = re.findall(rb"HTTP/1.1 (\d+)", response)
        assert statuses == [b"200", b"503", b"503", b"503"]
        assert response.count(b"Retry-After") == 3
        writer.close()


async def test_pipelined_requests_make_room_for_a_newcomer():
    has_started, may_end = asyncio.Event(), asyncio.Event()

    async def wait(request, responder):
        has_started.set()
        await may_end.wait()
        responder.respond(200)

    memory = CallerMemory(4 * MEBIBYTE)
    async with running_server(memory, wait, max_connections=1) as (server, port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(3 * head(0))
        await has_started.wait()
        newcomer, other = await asyncio.open_connection("127.0.0.1", port)
        refusal = await asyncio.wait_for(newcomer.read(), 5)
        assert refusal.startswith(b"HTTP/1.1 503 ")
        may_end.set()
        response = await asyncio.wait_for(reader.read(), 5)
        assert re.findall(rb"HTTP/1.1 (\d+)", response) == [b"200", b"503", b"503"]
        writer.close()
        other.close()
        await until(lambda: not server.connection_count)
        assert memory.held == 0


async def test_stalled_response_makes_room_for_a_newcomer(monkeypatch):
    monkeypatch.setattr(caller_memory, "STALLED_RESPONSE_TIME", 0.2)

    async def respond(request, responder):
        responder.respond(200, body=bytes(64 * MEBIBYTE if request.body else 0))

    memory = CallerMemory(256 * MEBIBYTE)
    async with running_server(memory, respond, max_connections=1) as (server, port, _):
        _, stalled = await asyncio.open_connection("127.0.0.1", port, limit=1)
        stalled.write(head(1) + b"x")
        await until(lambda: server.held_bytes > MEBIBYTE)
        await asyncio.sleep(1.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(0))
        status = await asyncio.wait_for(reader.readline(), 5)
        assert status.startswith(b"HTTP/1.1 200 ")
        writer.close()
        stalled.close()


async def test_small_request_after_an_unexpected_one_does_not_give_way_at_once():
    memory = CallerMemory(4 * MEBIBYTE)
    async with running_server(memory) as (server, port, _):
        server.is_expected = lambda request: False
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(MEBIBYTE) + bytes(MEBIBYTE))
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.write(head(100) + bytes(50))
        [connection] = server._connections
        await until(lambda: connection._body)
        claimant = Holder()
        assert memory.open(claimant, BootClock().now())
        assert memory.receive(claimant, 48 * KIBIBYTE, BootClock().now())
        memory.set_unsent(claimant, 8 * MEBIBYTE, BootClock().now())
        assert connection._is_receiving
        writer.close()


async def test_crowd_of_incomplete_bodies_stays_below_the_limit():
    memory = CallerMemory(8 * MEBIBYTE)
    async with running_server(memory) as (server, port, _):
        crowd = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
        for _, writer in crowd:
            writer.write(head(MEBIBYTE) + bytes(MEBIBYTE - 1))
        await asyncio.sleep(0.5)
        assert server.held_bytes <= memory.held <= memory.limit
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(100, b"Connection: close") + bytes(100))
        assert (await asyncio.wait_for(reader.read(), 5)).startswith(b"HTTP/1.1 200 ")
        for _, each in [*crowd, (reader, writer)]:
            each.close()
        await until(lambda: not server.connection_count)
        assert memory.held == 0


async def test_body_of_an_order_whose_caller_has_left_is_freed():
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        for engine in site.engines_of("app"):
            engine.answer_delay = 1.0
        host, _, port = node.callers.partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        fields = [f"{key}: {value}" for key, value in caller_headers().items()]
        lines = ["POST /order/a HTTP/1.1", *fields, f"Content-Length: {8 * KIBIBYTE}"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + bytes(8 * KIBIBYTE))
        await site.wait_until(
            lambda: sum(len(each.state.received) for each in site.engines_of("app"))
        )
        writer.close()
        await site.wait_until(lambda: gateway._forwarder._detached)
        bodies = [
            each.body for each in gc.get_objects() if isinstance(each, InboundRequest)
        ]
        assert sum(map(len, bodies)) == 0
