"""Each way in which a gateway could end a request without a complete answer."""

import asyncio
import contextlib
import socket
import time

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressServer
from cyclamenyoke.core.gateway_config import CallerLimits
from cyclamenyoke.standins.engine import STREAM_EVENTS, Behaviour
from site_fixture import (
    configuration,
    connect,
    free_port,
    read_response,
    running_site,
)

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.asynccontextmanager
async def running_server(handle, **limits):
    """Run a server of callers with a handler; yield it with its address."""
    server = IngressServer(handle, BootClock(), lambda status: None, lambda error: None)
    server.limits = CallerLimits(**limits)
    address = f"127.0.0.1:{free_port('127.0.0.1')}"
    await server.start(address)
    try:
        yield server, address
    finally:
        server.close()


async def echo_target(request, responder):
    await asyncio.sleep(0.1)
    responder.respond(200, [], request.target)


async def publish(site, **changes):
    site.publish(configuration(2, **changes))
    await site.notify_watches()
    await asyncio.sleep(0.1)


LOOKUP_DELAY = 1.3
"""Seconds, longer than a request waits for a silent engine if others are untried."""


# Guards against an engine's silence that ends an answer though no other may give it.
@pytest.mark.parametrize("path", ["/lookup/a", "/stream/a"])
async def test_request_at_the_only_engine_waits_for_it(path):
    async with running_site(engines=1) as site:
        for engine in site.engines.values():
            engine.answer_delay = LOOKUP_DELAY
        response = await site.get(site.gateways[0][1], path, deadline=1900)
        assert (response.status, response.is_complete) == (200, True)


async def test_request_waits_for_its_engine_while_all_others_ask_for_a_pause():
    async with running_site() as site:
        silent, resting = site.engines_of("app")
        for engine in (silent, resting):
            engine.answer_delay = LOOKUP_DELAY
        settings = site.gateways[0][1]
        lookup = asyncio.create_task(site.get(settings, "/lookup/a", deadline=1900))
        await asyncio.sleep(0.05)
        if resting.state.received:
            silent, resting = resting, silent
        resting.script.append(Behaviour.REJECT)
        resting.retry_after = "5"
        order = await site.post(settings, "/order/a")
        assert order.status == 503
        assert (await lookup).status == 200
        assert len(silent.state.received) == 1


# Guards against a stream that is cut at a silence though nothing can resume it.
async def test_stream_at_the_only_engine_is_not_cut_in_a_silence():
    async with running_site(engines=1) as site:
        [engine] = site.engines_of("llm")
        routes = configuration(2)["routes"]
        routes[0]["timeout_ms"] = 6000
        await publish(site, routes=routes)
        stream = asyncio.create_task(
            site.get(site.gateways[0][1], "/stream/a", deadline=5900)
        )
        await asyncio.sleep(0.015)
        engine.event_interval = LOOKUP_DELAY
        await asyncio.sleep(LOOKUP_DELAY)
        engine.event_interval = 0.01
        response = await stream
        assert (response.status, response.is_complete) == (200, True)
        assert response.body.count(b"id: ") == STREAM_EVENTS


LONG_BODY = b"x" * 24_000_000
"""More than the kernel buffers of a connection take."""

READING_PAUSE = 4.0
"""Seconds, longer than a dead peer may leave data unacknowledged."""


# Guards against a caller that pauses to read and is taken for a dead one.
@pytest.mark.parametrize("is_closing", [False, True])
@pytest.mark.parametrize("body", [LONG_BODY, LONG_BODY[:300_000]])
async def test_caller_that_reads_nothing_for_seconds_gets_the_whole_response(
    is_closing, body
):
    async def handle(request, responder):
        responder.respond(200, [], body)

    async with running_server(handle) as (_, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, (host, int(port)))
            end = b"Connection: close\r\n\r\n" if is_closing else b"\r\n"
            await loop.sock_sendall(caller, (REQUEST % 1)[:-2] + end)
            await asyncio.sleep(READING_PAUSE)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            received = 0
            async with asyncio.timeout(20):
                while received < len(body):
                    data = await loop.sock_recv(caller, 1 << 20)
                    assert data
                    received += len(data)


# Guards against connections that a caller without interest in its response keeps open.
async def test_caller_that_never_reads_is_given_up_on_a_kept_connection():
    async def handle(request, responder):
        responder.respond(200, [], LONG_BODY)

    async with running_server(handle, idle_timeout=1.0) as (server, address):
        _, writer = await connect(address)
        writer.write(REQUEST % 1)
        await asyncio.sleep(0.8)
        assert server.connection_count == 1
        await asyncio.sleep(2.5)
        assert server.connection_count == 0
        writer.close()


# Guards against requests that were read, and are dropped behind "Connection: close".
@pytest.mark.parametrize("count", [2, 12])
async def test_pipelined_requests_are_all_answered_while_draining(count):
    async with running_server(echo_target) as (server, address):
        server.is_draining = True
        reader, writer = await connect(address)
        writer.write(b"".join(REQUEST % number for number in range(count)))
        async with asyncio.timeout(3):
            responses = [await read_response(reader) for _ in range(count)]
            assert await reader.read() == b""
        assert [each.body for each in responses] == [
            b"/%d" % number for number in range(count)
        ]
        closing = ["connection" in each.headers for each in responses]
        assert closing == [False] * (count - 1) + [True]
        writer.close()


# Guards against a request that is dropped as the shutdown begins during a response.
async def test_request_behind_a_response_that_has_begun_is_answered_while_draining():
    async def handle(request, responder):
        responder.start(200, [])
        await asyncio.sleep(0.2)
        responder.finish()

    async with running_server(handle) as (server, address):
        reader, writer = await connect(address)
        writer.write((REQUEST % 1) * 2)
        await asyncio.sleep(0.1)
        server.is_draining = True
        async with asyncio.timeout(2):
            first, second = [await read_response(reader) for _ in range(2)]
            assert await reader.read() == b""
        assert (first.is_complete, second.is_complete) == (True, True)
        assert "connection" not in first.headers
        assert second.headers["connection"] == "close"
        writer.close()


async def fail(request, responder):
    raise ValueError


async def cancel_itself(request, responder):
    raise asyncio.CancelledError


async def return_without_a_response(request, responder):
    return


# Guards against callers that see a closed connection, or nothing, as a handler fails.
@pytest.mark.parametrize("handle", [fail, cancel_itself, return_without_a_response])
async def test_request_whose_handler_fails_is_answered(handle):
    async with running_server(handle) as (_, address):
        reader, writer = await connect(address)
        writer.write(REQUEST % 1)
        async with asyncio.timeout(1):
            response = await read_response(reader)
            assert await reader.read() == b""
        assert (response.status, response.is_complete) == (500, True)
        assert response.headers["connection"] == "close"
        writer.close()


# Guards against a response that looks complete though its handler failed midway.
async def test_response_whose_handler_fails_midway_is_incomplete():
    async def handle(request, responder):
        responder.start(200, [])
        responder.write(b"part")
        raise ValueError

    async with running_server(handle) as (_, address):
        reader, writer = await connect(address)
        writer.write(REQUEST % 1)
        async with asyncio.timeout(1):
            response = await read_response(reader)
        assert (response.body, response.is_complete) == (b"part", False)
        writer.close()


# Guards against a response that is spoilt by "100 Continue" for the next request.
async def test_interim_response_waits_for_the_response_before_it():
    async def handle(request, responder):
        if request.method == b"GET":
            responder.start(200, [])
            responder.write(b"one")
            await asyncio.sleep(0.2)
            responder.write(b"two")
            responder.finish()
            return
        responder.respond(200, [], request.body)

    async with running_server(handle) as (_, address):
        reader, writer = await connect(address)
        writer.write(REQUEST % 1)
        await asyncio.sleep(0.1)
        writer.write(
            b"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 3\r\n\r\n"
        )
        async with asyncio.timeout(2):
            first = await read_response(reader)
            assert (first.body, first.is_complete) == (b"onetwo", True)
            assert await reader.readuntil(b"\r\n\r\n") == (
                b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            writer.write(b"abc")
            assert (await read_response(reader)).body == b"abc"
        writer.close()


# Guards against a slow body that is taken for a silent caller.
async def test_body_that_arrives_slowly_but_steadily_is_read_to_its_end():
    async def handle(request, responder):
        responder.respond(200, [], request.body)

    limits = {"header_timeout": 0.6, "idle_timeout": 0.7}
    async with running_server(handle, **limits) as (_, address):
        reader, writer = await connect(address)
        writer.write(
            b"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 8\r\n\r\n"
        )
        assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
        for _ in range(8):
            await asyncio.sleep(0.4)
            writer.write(b"x")
        async with asyncio.timeout(2):
            assert (await read_response(reader)).body == b"x" * 8
        writer.close()


# Guards against time-outs that pass while the process does not run and end requests
# that have arrived meanwhile.
@pytest.mark.parametrize("sent_before", [b"", b"GET /1 HT", REQUEST % 1])
async def test_request_that_arrives_while_the_process_stands_still_is_answered(
    sent_before,
):
    limits = {"header_timeout": 0.6, "idle_timeout": 0.6}
    async with running_server(echo_target, **limits) as (_, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(caller, sent_before)
            await asyncio.sleep(0.3)
            rest = (REQUEST % 1)[len(sent_before) :] or REQUEST % 1
            time.sleep(0.2)
            caller.send(rest)
            time.sleep(1)
            received = b""
            async with asyncio.timeout(2):
                while received.count(b"HTTP/1.1 200") < 1 + (len(sent_before) > 20):
                    data = await loop.sock_recv(caller, 65536)
                    assert data
                    received += data


# Guards against a caller that is asked for a body that is refused.
async def test_body_that_is_too_large_is_refused_without_asking_for_it():
    async with running_server(echo_target, max_body_bytes=3) as (_, address):
        reader, writer = await connect(address)
        writer.write(
            b"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 4\r\n\r\n"
        )
        async with asyncio.timeout(1):
            assert (await read_response(reader)).status == 413
            assert await reader.read() == b""
        writer.close()


# Guards against engines that get a request without its body, as it offers an upgrade.
async def test_request_with_an_upgrade_and_a_body_is_refused_whole():
    requests = []

    async def handle(request, responder):
        requests.append(request.body)
        responder.respond(200)

    async with running_server(handle) as (_, address):
        for body, status in ((b"", 200), (b"abc", 501)):
            reader, writer = await connect(address)
            writer.write(
                b"PUT / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                b"Upgrade: h2c\r\nHTTP2-Settings: AAM\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body) + body
            )
            async with asyncio.timeout(3):
                response = await read_response(reader)
                assert await reader.read() == b""
            assert (response.status, response.headers["connection"]) == (
                status,
                "close",
            )
            writer.close()
    assert requests == [b""]
