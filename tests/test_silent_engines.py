"""Streams whose engine is silent for longer than callers like, and goes on."""

import asyncio
import contextlib

from cyclamenyoke.standins.engine import STREAM_EVENTS, Behaviour
from site_fixture import (
    caller_headers,
    configuration,
    running_site,
    send_request,
)

SILENCE = 1.8
"""Seconds; longer than a stream waits for its engine if others are untried."""

DEADLINE_MS = 4500


async def publish(site):
    """Let streams last longer than a silence."""
    routes = configuration(2)["routes"]
    routes[0]["timeout_ms"] = DEADLINE_MS
    site.publish(configuration(2, routes=routes))
    await site.notify_watches()
    await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def stream_at_silent_engine():
    """Yield a site, a stream that has begun, its engine, which is silent, and another.

    The first engine goes on after ``SILENCE``.
    """
    async with running_site(gateways=1) as site:
        await publish(site)
        settings = site.gateways[0][1]
        engines = site.engines_of("llm")
        for engine in engines:
            engine.event_interval = 0.05
        headers = caller_headers(deadline=DEADLINE_MS)
        stream = asyncio.create_task(
            send_request(settings.callers, "POST", "/stream/a", headers, b"{}")
        )
        await site.wait_until(lambda: any(each.state.executed for each in engines))
        await asyncio.sleep(0.12)
        engines.sort(key=lambda engine: not engine.state.executed)
        silent, other = engines
        silent.event_interval = SILENCE
        yield site, stream, silent, other


async def assert_complete(stream):
    response = await stream
    assert (response.status, response.is_complete) == (200, True)
    numbers = [
        int(line.removeprefix(b"id: "))
        for line in response.body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    assert numbers == list(range(1, STREAM_EVENTS + 1))


async def let_engine_go_on(engine):
    await asyncio.sleep(SILENCE / 2)
    engine.event_interval = 0.01


# Guards against a stream that ends since its repeat elsewhere is refused.
async def test_stream_goes_on_at_its_silent_engine_when_another_refuses_it():
    async with stream_at_silent_engine() as (_, stream, silent, other):
        other.script.append(Behaviour.REJECT)
        await let_engine_go_on(silent)
        await assert_complete(stream)
        assert len(other.state.received) == 1
        assert silent.state.disconnected == 0


# Guards against a stream that is cut though its engine goes on, not its repeat.
async def test_stream_goes_on_at_its_silent_engine_when_another_does_not_begin():
    async with stream_at_silent_engine() as (_, stream, silent, other):
        other.script.append(Behaviour.SILENT)
        await let_engine_go_on(silent)
        await assert_complete(stream)
        assert other.state.disconnected == 1


# Guards against the same at a gateway that stops meanwhile.
async def test_stopping_gateway_cuts_no_stream_that_its_silent_engine_completes():
    async with stream_at_silent_engine() as (site, stream, silent, other):
        other.script.append(Behaviour.SILENT)
        site.gateways[0][0].stop()
        await let_engine_go_on(silent)
        await assert_complete(stream)


async def test_silent_engine_is_left_once_another_has_begun():
    async with stream_at_silent_engine() as (_, stream, silent, other):
        await assert_complete(stream)
        assert len(other.state.executed) == 1
        await asyncio.sleep(SILENCE)
        assert silent.state.disconnected == 1


async def test_both_engines_learn_that_the_caller_of_a_repeated_stream_has_left():
    async with stream_at_silent_engine() as (site, stream, silent, other):
        other.script.append(Behaviour.SILENT)
        await site.wait_until(lambda: other.state.received)
        stream.cancel()
        await site.wait_until(lambda: other.state.disconnected, 0.5)
        await asyncio.sleep(SILENCE)
        assert silent.state.disconnected == 1
        gateway = site.gateways[0][0]
        assert not any(gateway._balancer.own_requests.values())
