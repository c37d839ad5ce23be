"""Each way in which a request reaches an engine once more counts in the budget."""

import asyncio

import pytest

from cyclamenyoke.core.retry_budget import RetryBudgetState, WindowedRetryBudget
from cyclamenyoke.standins.engine import Behaviour
from site_fixture import configuration, route, running_site

SLOTS = 6
REQUESTS_PER_SLOT = 2


def state_of(site, service: str = "app") -> RetryBudgetState:
    gateway = site.gateways[0][0]
    return gateway._forwarder.retry_budget_states(gateway._clock.now())[service]


def count_received(site, service: str = "app") -> int:
    return sum(len(each.state.received) for each in site.engines_of(service))


def count_repeats(site, service: str = "app") -> int:
    """Return the arrivals beyond the first of each request."""
    ids = [
        request.headers["x-request-id"]
        for engine in site.engines_of(service)
        for request in engine.state.received
    ]
    return len(ids) - len(set(ids))


def script_all(site, service: str, behaviour: Behaviour, times: int = 1) -> None:
    for engine in site.engines_of(service):
        engine.script.extend([behaviour] * times)


# Guards against an arrival that the gateway takes for none.
@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.REJECT,
        Behaviour.BROKEN_GROUP,
        Behaviour.MISDIRECT,
        Behaviour.FAIL,
        Behaviour.TRUNCATE,
        Behaviour.RESET,
        Behaviour.SILENT,
        Behaviour.UNSIGNED,
        Behaviour.ENCODED,
        Behaviour.UNFRAMED_RESET,
        Behaviour.ENDLESS_HEAD,
        Behaviour.ENDLESS_REJECTION,
    ],
)
async def test_repeat_counts_whatever_became_of_the_first_attempt(behaviour):
    async with running_site(engines=4) as site:
        node = site.gateways[0][1]
        for _ in range(4):
            for engine in site.engines_of("app"):
                engine.script.clear()
            script_all(site, "app", behaviour)
            await site.get(node, "/lookup/a")
        assert count_repeats(site) == state_of(site).retries > 0


# Guards against resumed streams that are not counted.
@pytest.mark.parametrize("behaviour", [Behaviour.TRUNCATE, Behaviour.UNFRAMED_PARTIAL])
async def test_resumed_stream_counts_as_a_repeat(behaviour):
    async with running_site(engines=3) as site:
        node = site.gateways[0][1]
        script_all(site, "llm", behaviour)
        await site.post(node, "/stream/a")
        assert count_repeats(site, "llm") == state_of(site, "llm").retries == 1


# Guards against sends on a kept connection that arrive as the engine closes it.
async def test_request_that_arrives_on_a_connection_just_closed_counts():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        for _ in range(2):
            await site.get(node, "/lookup/a")
        script_all(site, "app", Behaviour.RESET)
        await site.get(node, "/lookup/a")
        assert count_repeats(site) == state_of(site).retries == 1


# Guards against attempts that never left but use the budget up.
async def test_attempt_that_finds_no_connection_is_no_repeat():
    async with running_site(engines=3) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app")[:2]:
            await engine.stop()
        for _ in range(4):
            await site.get(node, "/lookup/a")
        assert count_received(site) == 4
        assert count_repeats(site) == state_of(site).retries == 0


# Guards against work that goes on for a caller that has left and sends once more.
async def test_request_of_a_caller_that_has_left_is_not_sent_again():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.answer_delay = 0.2
        script_all(site, "app", Behaviour.RESET)
        for path in ("/lookup/a", "/order/a"):
            sending = asyncio.create_task(site.post(node, path))
            await asyncio.sleep(0.05)
            sending.cancel()
        await asyncio.sleep(0.6)
        assert count_repeats(site) == state_of(site).retries == 0


async def _fill_all_but_one(site, node) -> list[asyncio.Task]:
    """Fill all places of the service, so that a repeat has to wait for one."""
    places = REQUESTS_PER_SLOT * SLOTS * len(site.engines_of("app"))
    sending = [
        asyncio.create_task(site.post(node, "/order/a", deadline=1900))
        for _ in range(places - 1)
    ]
    await site.wait_until(lambda: count_received(site) == places - 1)
    return sending


# Guards against repeats that count before they wait, and arrive in a later window.
async def test_repeat_that_waits_for_a_slot_counts_when_it_is_sent():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        routes = [
            route("order", "unsafe", "app", max_attempts=1),
            route("lookup", "safe", "app", target_latency_ms=500),
        ]
        site.publish(configuration(2, routes=routes))
        await site.notify_watches()
        await asyncio.sleep(0.2)
        for engine in site.engines_of("app"):
            engine.answer_delay = 0.35
        filling = await _fill_all_but_one(site, node)
        script_all(site, "app", Behaviour.REJECT)
        before = count_received(site)
        lookup = asyncio.create_task(site.get(node, "/lookup/a"))
        await site.wait_until(lambda: count_received(site) == before + 1)
        await asyncio.sleep(0.1)
        assert site.gateways[0][0]._forwarder.queued
        assert state_of(site).retries == 0
        await asyncio.gather(lookup, *filling)
        assert count_repeats(site) == state_of(site).retries == 1


# Guards against a budget that is used up by repeats that were never sent.
async def test_repeat_that_finds_no_slot_in_time_does_not_count():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.answer_delay = 1.2
        filling = await _fill_all_but_one(site, node)
        script_all(site, "app", Behaviour.REJECT)
        before = count_received(site)
        response = await site.get(node, "/lookup/a", deadline=600)
        assert response.status == 503
        assert count_received(site) == before + 1
        assert state_of(site).retries == 0
        for each in filling:
            each.cancel()


# Guards against requests that a frozen engine reads in a later window than they count.
async def test_repeat_of_a_request_at_a_silent_engine_counts_when_that_is_heard_of():
    async with running_site(engines=2) as site:
        gateway, node, _ = site.gateways[0]
        silent = site.engines_of("app")[0]
        while not silent.state.disconnected:
            silent.script.append(Behaviour.SILENT)
            assert (await site.get(node, "/lookup/a")).status == 200
        budget = gateway._forwarder._retry_budgets["app"]
        assert budget._late_copies(gateway._clock.now()) == 0
        silent.script.clear()
        answered = len(silent.state.executed)
        while len(silent.state.executed) == answered:
            assert (await site.get(node, "/lookup/a")).status == 200
        assert budget._late_copies(gateway._clock.now()) == 1


# Guards against retries that a frozen engine reads in a later window than they count.
async def test_retry_at_a_silent_engine_counts_when_that_is_heard_of():
    async with running_site(engines=2) as site:
        gateway, node, _ = site.gateways[0]
        engines = site.engines_of("app")
        script_all(site, "app", Behaviour.SILENT)
        first = asyncio.create_task(site.get(node, "/lookup/a"))
        while not any(engine.state.received for engine in engines):
            await asyncio.sleep(0.005)
        silent, other = sorted(engines, key=lambda each: not each.state.received)
        other.script.clear()
        other.script.append(Behaviour.RESET)
        silent.script.append(Behaviour.SILENT)
        # The other engine has less to do, resets, and the retry goes to the silent one.
        assert (await site.get(node, "/lookup/b")).status != 200
        assert (await first).status == 200
        silent.script.clear()
        budget = gateway._forwarder._retry_budgets["app"]
        answered = len(silent.state.executed)
        while len(silent.state.executed) == answered:
            assert (await site.get(node, "/lookup/a")).status == 200
        assert budget._late_copies(gateway._clock.now()) == 2


# Guards against copies that no longer count though their endpoint has not read them.
async def test_failed_connection_does_not_count_as_hearing_from_the_endpoint(
    monkeypatch,
):
    heard = []
    monkeypatch.setattr(
        WindowedRetryBudget,
        "on_heard",
        lambda self, endpoint, sent_at, now: heard.append(now),
    )
    async with running_site() as site:
        script_all(site, "app", Behaviour.RESET)
        settings = site.gateways[0][1]
        assert (await site.get(settings, "/lookup/a")).status == 502
        assert heard == []
        assert (await site.get(settings, "/lookup/a")).status == 200
        assert len(heard) == 1
