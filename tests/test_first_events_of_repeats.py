"""Repeats of silent streams that bring nothing that can be forwarded."""

import asyncio

import pytest

from cyclamenyoke.standins.engine import Behaviour, StandInEngine
from site_fixture import caller_headers, configuration, running_site, send_request
from test_silent_engines import (
    DEADLINE_MS,
    assert_complete,
    let_engine_go_on,
    stream_at_silent_engine,
)

WRONG_EVENTS = {
    "the first again": b"id: 1\ndata: piece 1\n\n",
    "a later one": b"id: 5\ndata: piece 5\n\n",
    "one without an id": b"event: error\ndata: can't resume\n\n",
}


def answer_with(engine, data):
    """Let an engine answer streams with one block of data, and then wait."""

    async def respond(request, behaviour, reader, writer):
        head = engine._head(request, 200, ["Content-Type: text/event-stream"], None)
        writer.write(head + b"%x\r\n%b\r\n" % (len(data), data))
        await reader.read(1)
        raise ConnectionResetError

    engine._respond_stream = respond


# Guards against a stream that is cut since its repeat does not go on after its events.
@pytest.mark.parametrize("name", WRONG_EVENTS)
async def test_stream_goes_on_at_its_silent_engine_when_another_sends_wrong_events(
    name,
):
    async with stream_at_silent_engine() as (_, stream, silent, other):
        answer_with(other, WRONG_EVENTS[name])
        await let_engine_go_on(silent)
        await assert_complete(stream)


# Guards against a sound engine that is ejected since others went on before it began.
async def test_repeat_that_is_left_for_the_first_engine_is_no_failure_of_the_other():
    async with stream_at_silent_engine() as (site, stream, silent, other):
        other.script.append(Behaviour.SILENT)
        await let_engine_go_on(silent)
        await assert_complete(stream)
        circuit = site.gateways[0][0]._balancer._breakers[other.id]
        assert all(is_success for _, is_success in circuit.outcomes)


# Guards against a response that its engine's constant bytes keep open for ever.
@pytest.mark.parametrize("block", [b": .\n\n", b"data: x\n\n"])
async def test_stream_that_never_pauses_ends_at_its_deadline(block):
    async with running_site(engines=0) as site:
        engine = StandInEngine("i-llm-0", True, "dc-1")
        await engine.start()
        site.engines[engine.id] = engine
        site.platform.put(f"servers/{engine.id}", engine.entry("llm"))
        site.publish(configuration(2))
        await site.notify_watches()
        await site.wait_until_listed(engine.id, engine.address)

        async def respond(request, behaviour, reader, writer):
            fields = ["Content-Type: text/event-stream"]
            writer.write(engine._head(request, 200, fields, None))
            while not writer.transport.is_closing() and not reader.at_eof():
                writer.write(b"%x\r\n%b\r\n" % (len(block), block))
                await asyncio.sleep(0)
            raise ConnectionResetError

        engine._respond_stream = respond
        settings = site.gateways[0][1]
        headers = caller_headers(deadline=1000)
        begin = asyncio.get_running_loop().time()
        async with asyncio.timeout(5):
            await send_request(settings.callers, "POST", "/stream/a", headers, b"{}")
        assert asyncio.get_running_loop().time() - begin < 3
        assert len(engine.state.executed) == 1


# Guards against a lookup that fails since its repeat is refused, though its first
# engine would have answered in time.
@pytest.mark.parametrize("path", ["/lookup/a", "/stream/a"])
async def test_request_without_a_first_byte_waits_at_its_slow_engine_if_refused(path):
    async with running_site() as site:
        engines = site.engines_of("app" if path == "/lookup/a" else "llm")
        settings = site.gateways[0][1]
        for engine in engines:
            engine.answer_delay = 1.3
        method = "GET" if path == "/lookup/a" else "POST"
        headers = caller_headers(deadline=2000)
        response = asyncio.create_task(
            send_request(settings.callers, method, path, headers, b"")
        )
        await site.wait_until(lambda: any(each.state.received for each in engines))
        for engine in engines:
            if not engine.state.received:
                engine.script.append(Behaviour.REJECT)
        response = await response
        assert (response.status, response.is_complete) == (200, True)


# Guards against a stream that is cut though the engine that repeats it is only slow.
async def test_begun_stream_waits_for_the_head_of_its_repeat_if_a_third_one_refuses():
    async with running_site(engines=3) as site:
        routes = configuration(2)["routes"]
        routes[0] |= {"timeout_ms": DEADLINE_MS, "max_attempts": 3}
        site.publish(configuration(2, routes=routes))
        await site.notify_watches()
        await asyncio.sleep(0.2)
        engines = site.engines_of("llm")
        for engine in engines:
            engine.event_interval = 0.05
            engine.script.append(Behaviour.TRUNCATE)
        headers = caller_headers(deadline=DEADLINE_MS)
        callers = site.gateways[0][1].callers
        stream = asyncio.create_task(
            send_request(callers, "POST", "/stream/a", headers, b"{}")
        )
        for rest in (2, 1):
            await site.wait_until(
                lambda count=rest: count == sum(not e.state.received for e in engines)
            )
            for engine in engines:
                if not engine.state.received:
                    engine.script.clear()
                    engine.answer_delay = 1.3
                    if rest == 1:
                        engine.script.append(Behaviour.REJECT)
        await assert_complete(stream)
