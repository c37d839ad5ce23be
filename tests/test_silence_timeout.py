"""When a silent endpoint's request is repeated, and when all are just slow."""

import asyncio
import time

from cyclamenyoke.core.silence_timeout import (
    DURATION_LIFETIME,
    MAX_DURATIONS,
    SilenceTimeout,
)
from cyclamenyoke.standins.engine import Behaviour
from site_fixture import running_site

NOW = 1000.0
TARGET = 0.1
LIMIT = 1.5


def silence_after(*durations: float) -> SilenceTimeout:
    silence = SilenceTimeout()
    for seconds in durations:
        silence.add("lookup", seconds, NOW)
    return silence


def seconds(silence: SilenceTimeout, now: float = NOW, limit: float = LIMIT) -> float:
    return silence.seconds("lookup", TARGET, limit, now)


def count_received(site) -> int:
    return sum(len(each.state.received) for each in site.engines_of("app"))


# Guards against a timeout that shrinks below the target where endpoints are fast.
def test_timeout_follows_the_target_where_endpoints_are_fast_or_unknown():
    assert seconds(SilenceTimeout()) == 0.25
    assert seconds(silence_after(0.01, 0.01, 0.01)) == 0.25
    assert seconds(silence_after(0.01), limit=0.2) == 0.25


# Guards against repeats that a slow machine makes in vain.
def test_timeout_follows_what_most_endpoints_need_where_that_is_longer():
    assert seconds(silence_after(0.2, 0.2, 0.2)) == 0.5
    assert silence_after(0.2).seconds("other", TARGET, LIMIT, NOW) == 0.25


# Guards against a frozen endpoint that answers late and makes others be waited for.
def test_few_late_answers_do_not_change_the_timeout():
    assert seconds(silence_after(0.01, 5.0)) == 0.25
    assert seconds(silence_after(*[0.01] * 16, *[5.0] * 15)) == 0.25


# Guards against repeats that come too late to be answered.
def test_repeat_has_half_of_the_time_or_is_not_made():
    assert seconds(silence_after(0.5)) == LIMIT / 2
    assert seconds(silence_after(0.8)) == LIMIT


# Guards against slowness that is remembered when it has ended.
def test_durations_count_until_they_expire_or_newer_ones_displace_them():
    silence = silence_after(0.3)
    assert seconds(silence, NOW + DURATION_LIFETIME - 0.1) == 0.75
    assert seconds(silence, NOW + DURATION_LIFETIME) == 0.25
    assert seconds(silence_after(*[0.3] * 99, *[0.01] * MAX_DURATIONS)) == 0.25


# Guards against a budget that is used up by repeats where all engines are slow alike.
async def test_lookups_are_not_repeated_where_all_engines_are_slow_alike():
    async with running_site(engines=3) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.answer_delay = 0.4
        await site.get(node, "/lookup/a")
        before = count_received(site)
        for _ in range(5):
            assert (await site.get(node, "/lookup/a")).status == 200
        assert count_received(site) == before + 5


# Guards against a start that repeats what it sent before it knew that engines are slow.
async def test_request_in_progress_is_not_repeated_once_others_show_that_all_are_slow():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        for engine, delay in zip(site.engines_of("app"), (0.2, 0.4), strict=True):
            engine.answer_delay = delay
        requests = (site.get(node, "/lookup/a") for _ in range(2))
        responses = await asyncio.gather(*requests)
        assert [each.status for each in responses] == [200, 200]
        assert count_received(site) == 2


# Guards against a dark engine that is waited for longer than before.
async def test_lookup_at_a_dark_engine_is_repeated_promptly_where_others_are_fast():
    async with running_site(engines=2) as site:
        node = site.gateways[0][1]
        for _ in range(4):
            await site.get(node, "/lookup/a")
        dark = site.engines_of("app")[0]
        took = []
        while not dark.state.disconnected:
            dark.script.append(Behaviour.SILENT)
            begin = time.monotonic()
            assert (await site.get(node, "/lookup/a")).status == 200
            took.append(time.monotonic() - begin)
            dark.script.clear()
        assert 0.25 <= max(took) < 0.4
