"""Each way in which a gateway could end a request without a complete answer."""

import asyncio

import pytest

from cyclamenyoke.standins.engine import STREAM_EVENTS, Behaviour
from site_fixture import configuration, running_site


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
