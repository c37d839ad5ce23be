"""What a gateway that was asked to stop serves, refuses and never cuts off."""

import asyncio
import signal
import socket
import time
from dataclasses import replace

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressServer
from cyclamenyoke.core.gateway_config import CallerLimits
from cyclamenyoke.core.graceful_shutdown import (
    KILL_MARGIN,
    MAX_KILL_MARGIN_SHARE,
    MIN_DRAIN_DURATION,
    GracefulShutdown,
)
from cyclamenyoke.core.invariants import CountingMonitor
from cyclamenyoke.core.longest_durations import LongestDurations
from cyclamenyoke.daemon.process_signals import ProcessSignals
from site_fixture import (
    BOUNDS,
    caller_headers,
    configuration,
    connect,
    encode_request,
    free_port,
    read_response,
    route,
    running_site,
    send_request,
)

CUT_OFF = 4.0
GRACE = CUT_OFF / (1 - MAX_KILL_MARGIN_SHARE)
DURATION = 1.0
"""Seconds that streams and orders take in these tests."""

SLOW_ROUTES = [
    route("stream", "streaming", "llm", timeout_ms=9000, resumable=True),
    route("order", "unsafe", "app", timeout_ms=9000, target_latency_ms=4000),
    route("lookup", "safe", "app"),
]
REQUESTS = {
    "stream": ("GET", "/stream/a", {}),
    "resumed": ("GET", "/stream/a", {"Last-Event-Id": "1"}),
    "order": ("POST", "/order/a", {}),
}


def shutdown_at(now: float) -> GracefulShutdown:
    return GracefulShutdown.begin(now, GRACE, CountingMonitor(lambda *breach: None))


def running_slow_site():
    """Run one gateway with a short grace time and slow engines."""
    return running_site(gateways=1, bounds=replace(BOUNDS, grace=GRACE))


async def prepare(site):
    """Slow the engines down and let the gateway learn how long requests take."""
    site.publish(configuration(2, routes=SLOW_ROUTES))
    await site.notify_watches()
    for engine in site.engines.values():
        engine.event_interval = DURATION / 5
        engine.answer_delay = DURATION if "app" in engine.id else 0.0
    await asyncio.sleep(0.3)
    responses = await asyncio.gather(
        *(send(site, each) for each in ("stream", "order"))
    )
    assert [each.status for each in responses] == [200, 200]


async def send(site, kind: str):
    method, path, extra = REQUESTS[kind]
    headers = {**caller_headers(deadline=8000), **extra}
    address = site.gateways[0][1].callers
    return await send_request(address, method, path, headers, b"{}")


def count_received(site) -> int:
    return sum(len(each.state.received) for each in site.engines.values())


def test_request_whose_deadline_is_before_the_cut_off_can_end():
    shutdown = shutdown_at(100.0)
    assert shutdown.can_end(103.9, 104.0, None)
    assert not shutdown.can_end(100.0, 104.1, None)


def test_callers_that_should_know_of_the_shutdown_are_refused_with_a_margin():
    shutdown = shutdown_at(100.0)
    early, late = 102.0, 100.0 + MIN_DRAIN_DURATION
    assert shutdown.can_end(early, 110.0, 1.9)
    assert not shutdown.can_end(early, 110.0, 2.1)
    assert shutdown.can_end(late, 110.0, 0.9)
    assert not shutdown.can_end(late, 110.0, 1.1)


# Guards against requests that are accepted during a shutdown and then cut off.
@pytest.mark.parametrize("kind", REQUESTS)
async def test_request_that_cannot_end_before_the_stop_is_refused_unsent(kind):
    async with running_slow_site() as site:
        await prepare(site)
        gateway, _, task = site.gateways[0]
        gateway.stop()
        await asyncio.sleep(2.2)
        early = asyncio.create_task(send(site, "stream"))
        await asyncio.sleep(0.9)
        received = count_received(site)
        async with asyncio.timeout(0.5):
            late = await send(site, kind)
        assert late.status == 503
        assert float(late.headers["retry-after"]) > 0
        assert late.headers["connection"] == "close"
        assert count_received(site) == received
        # What can end is served to its end.
        response = await early
        assert response.status == 200 and response.is_complete
        await asyncio.wait_for(task, CUT_OFF)


# Guards against the same at a node that does not know yet how long requests take.
@pytest.mark.parametrize("kind", REQUESTS)
async def test_request_of_unknown_duration_is_refused_unsent(kind):
    async with running_slow_site() as site:
        site.publish(configuration(2, routes=SLOW_ROUTES))
        await site.notify_watches()
        await asyncio.sleep(0.3)
        for engine in site.engines.values():
            engine.event_interval = engine.answer_delay = 2.0
        gateway, _, task = site.gateways[0]
        gateway.stop()
        for _ in range(4):
            async with asyncio.timeout(0.5):
                response = await send(site, kind)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            await asyncio.sleep(0.5)
        assert count_received(site) == 0
        await asyncio.wait_for(task, CUT_OFF)


# Guards against the same on a connection that was opened before the shutdown.
async def test_request_on_a_kept_connection_is_refused_if_it_cannot_end():
    async with running_slow_site() as site:
        await prepare(site)
        gateway, settings, _ = site.gateways[0]
        reader, writer = await connect(settings.callers)
        writer.write(encode_request("GET", "/lookup/a", caller_headers(deadline=8000)))
        assert (await read_response(reader)).status == 200
        gateway.stop()
        busy = asyncio.create_task(send(site, "stream"))
        await asyncio.sleep(2.2)
        second = asyncio.create_task(send(site, "stream"))
        await asyncio.sleep(0.9)
        headers = caller_headers(deadline=8000)
        writer.write(encode_request("POST", "/order/a", headers, b"{}"))
        response = await asyncio.wait_for(read_response(reader), 0.5)
        assert response.status == 503 and response.is_complete
        assert (await busy).is_complete and (await second).is_complete
        writer.close()


async def test_short_request_is_served_to_the_last():
    async with running_slow_site() as site:
        await prepare(site)
        for engine in site.engines_of("app"):
            engine.answer_delay = 0.0
        gateway, settings, _ = site.gateways[0]
        gateway.stop()
        await asyncio.sleep(2.3)
        early = asyncio.create_task(send(site, "stream"))
        await asyncio.sleep(0.8)
        headers = caller_headers(deadline=700)
        response = await send_request(settings.callers, "GET", "/lookup/a", headers)
        assert response.status == 200
        assert (await early).is_complete


# Guards against a queued request that is sent when it can no longer end in time.
async def test_queued_request_is_refused_as_soon_as_it_cannot_end():
    async with running_slow_site() as site:
        await prepare(site)
        gateway, _, _ = site.gateways[0]
        for engine in site.engines_of("app"):
            engine.answer_delay = 3.0
        now = gateway._clock.now()
        gateway._forwarder._durations.add("order", 3.0, now)
        running = [asyncio.create_task(send(site, "order")) for _ in range(24)]
        await asyncio.sleep(0.3)
        waiting = asyncio.create_task(send(site, "order"))
        await asyncio.sleep(0.1)
        assert gateway._forwarder.queued["app"] == {"customer": 1}
        received = count_received(site)
        gateway.stop()
        response = await asyncio.wait_for(waiting, 1.5)
        assert response.status == 503
        assert count_received(site) == received
        responses = await asyncio.gather(*running)
        assert {each.status for each in responses} == {200}


# Guards against a stop during a reload that forgets the requests in progress.
async def test_stop_during_a_reload_and_a_second_stop_cut_nothing():
    async with running_slow_site() as site:
        await prepare(site)
        gateway, _, task = site.gateways[0]
        streams = [asyncio.create_task(send(site, "stream")) for _ in range(4)]
        await asyncio.sleep(0.1)
        gateway.reload()
        gateway.stop()
        gateway.reload()
        gateway.stop()
        responses = await asyncio.gather(*streams)
        assert all(each.is_complete for each in responses)
        await asyncio.wait_for(task, CUT_OFF)


LONG_BODY = b"x" * 24_000_000
"""More than the kernel buffers of a connection take."""

CLOSING_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


# Guards against a long response that is cut off as its caller reads slowly.
@pytest.mark.parametrize("is_draining", [False, True])
async def test_response_is_sent_to_a_slow_caller_before_the_connection_is_reset(
    is_draining,
):
    async def handle(request, responder):
        responder.respond(200, [], LONG_BODY)

    server = IngressServer(handle, BootClock(), lambda status: None, lambda error: None)
    port = free_port("127.0.0.1")
    await server.start(f"127.0.0.1:{port}")
    server.is_draining = is_draining
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ("127.0.0.1", port))
    await loop.sock_sendall(caller, CLOSING_REQUEST)
    await asyncio.sleep(0.2)
    # What the kernel has not taken would be lost at the end of the process.
    assert server.busy_count == 1
    received, data, next_pause = 0, b"-", 0
    while data:
        if received >= next_pause:
            next_pause += len(LONG_BODY) // 20
            await asyncio.sleep(0.15)
        data = await loop.sock_recv(caller, 65536)
        received += len(data)
    assert received > len(LONG_BODY)
    caller.close()
    await asyncio.sleep(0.1)
    assert server.busy_count == 0
    server.close()


async def test_caller_that_reads_nothing_is_reset_after_the_idle_timeout():
    async def handle(request, responder):
        responder.respond(200, [], LONG_BODY)

    server = IngressServer(handle, BootClock(), lambda status: None, lambda error: None)
    server.limits = CallerLimits(idle_timeout=1.5)
    port = free_port("127.0.0.1")
    await server.start(f"127.0.0.1:{port}")
    _, writer = await connect(f"127.0.0.1:{port}")
    writer.write(CLOSING_REQUEST)
    await asyncio.sleep(1.2)
    assert server.connection_count == 1
    await asyncio.sleep(1.8)
    assert server.connection_count == 0
    writer.close()
    server.close()


LOOKUP = encode_request("GET", "/lookup/a", caller_headers(deadline=1000))


# Guards against a request that a node reads after it decided to close, and then cuts.
async def test_request_that_arrives_as_the_node_closes_reaches_no_engine(monkeypatch):
    on_close = GracefulShutdown.on_close

    def send_request_first(self, now, in_flight):
        writer.write(LOOKUP)
        on_close(self, now, in_flight)

    monkeypatch.setattr(GracefulShutdown, "on_close", send_request_first)
    async with running_slow_site() as site:
        gateway, settings, task = site.gateways[0]
        reader, writer = await connect(settings.callers)
        writer.write(LOOKUP)
        assert (await read_response(reader)).status == 200
        received = count_received(site)
        gateway.stop()
        await asyncio.wait_for(task, CUT_OFF)
        await asyncio.sleep(0.1)
        assert count_received(site) == received
        writer.close()


@pytest.mark.parametrize("grace", [0.5, 3.0, 4.0, 4.8, 8.0, 30.0])
def test_requests_are_cut_off_in_the_last_sixth_of_any_grace_time(grace):
    shutdown = GracefulShutdown.begin(0.0, grace, CountingMonitor(lambda *breach: None))
    assert grace * 5 / 6 <= shutdown.cut_off_at < shutdown.flush_until < grace
    assert shutdown.cut_off_at >= grace - KILL_MARGIN


# Guards against callers that learn only from a closed connection that they are cut off.
@pytest.mark.parametrize("kind", ["order", "stream"])
async def test_request_that_is_cut_off_before_its_response_gets_an_answer(kind):
    async with running_slow_site() as site:
        gateway, _, task = site.gateways[0]
        await prepare(site)
        for engine in site.engines.values():
            engine.event_interval = engine.answer_delay = 9.0
        received = count_received(site)
        waiting = asyncio.create_task(send(site, kind))
        await site.wait_until(lambda: count_received(site) > received)
        gateway.stop()
        response = await asyncio.wait_for(waiting, GRACE)
        assert response.status in (502, 504)
        assert response.headers["connection"] == "close"
        assert "retry-after" not in response.headers
        await asyncio.wait_for(task, GRACE)


# Guards against a request that arrives in parts and is cut off without an answer.
async def test_request_that_has_arrived_in_part_at_the_cut_off_is_refused():
    async with running_slow_site() as site:
        gateway, settings, task = site.gateways[0]
        reader, writer = await connect(settings.callers)
        data = encode_request("POST", "/order/a", caller_headers(), b"x" * 400)
        gateway.stop()
        async with asyncio.timeout(GRACE):
            for start in range(0, len(data) - 40, 40):
                writer.write(data[start : start + 40])
                await asyncio.sleep(0.4)
                if task.done():
                    break
            response = await read_response(reader)
        assert response.status == 503 and response.headers["connection"] == "close"
        assert count_received(site) == 0
        writer.close()


# Guards against a late stream that lasts longer than others before it and is cut.
async def test_stream_that_comes_late_in_a_stop_is_refused_unless_its_deadline_fits():
    async with running_slow_site() as site:
        await prepare(site)
        gateway, settings, task = site.gateways[0]
        gateway._forwarder._durations = LongestDurations()
        gateway._forwarder._durations.add("stream", 0.1, gateway._clock.now())
        gateway.stop()
        await asyncio.sleep(2.0)
        early = asyncio.create_task(send(site, "stream"))
        await asyncio.sleep(0.7)
        received = count_received(site)
        late = await asyncio.wait_for(send(site, "stream"), 0.5)
        assert late.status == 503 and float(late.headers["retry-after"]) > 0
        assert count_received(site) == received
        assert (await early).is_complete
        await asyncio.wait_for(task, GRACE)


# Guards against a kill with requests in progress after a signal that waited.
async def test_grace_time_runs_from_the_signal():
    async with running_slow_site() as site:
        gateway, _, _ = site.gateways[0]
        asked_at = gateway._clock.now() - 1.0
        gateway.stop(asked_at)
        gateway.stop()
        await site.wait_until(lambda: gateway._forwarder.shutdown)
        assert gateway._forwarder.shutdown.cut_off_at == pytest.approx(
            asked_at + CUT_OFF
        )


def test_signal_that_came_early_is_acted_on_with_its_time():
    signals, acted = ProcessSignals(), []
    signals._on_signal(signal.SIGTERM, None)
    time.sleep(0.05)
    signals._on_signal(signal.SIGTERM, None)
    connected_at = BootClock().now()
    loop = asyncio.new_event_loop()
    signals.connect(loop, {signal.SIGTERM: acted.append})
    loop.call_soon(loop.stop)
    loop.run_forever()
    loop.close()
    assert len(acted) == 1 and acted[0] < connected_at - 0.04


async def test_requests_behind_a_refused_one_do_not_stop_the_server_from_closing():
    async def handle(request, responder):
        responder.respond(200)

    server = IngressServer(handle, BootClock(), lambda status: None, lambda error: None)
    address = f"127.0.0.1:{free_port('127.0.0.1')}"
    await server.start(address)
    server.limits = CallerLimits(max_header_bytes=100)
    reader, writer = await connect(address)
    head = b"GET / HTTP/1.1\r\nHost: h\r\nX-Long: %b\r\n\r\n" % (b"x" * 200)
    writer.write(head + b"GET / HTTP/1.1\r\n")
    assert (await read_response(reader)).status == 431
    server.close()
    assert server.busy_count == 0
    writer.close()
