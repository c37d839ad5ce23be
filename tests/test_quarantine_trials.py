"""Prompts that are withheld though most prompts are like them are tried again."""

import asyncio

import pytest

from cyclamenyoke.core.quarantine_trials import MIN_ARRIVALS, TRIAL_GAP
from cyclamenyoke.core.request_quarantine import (
    EVIDENCE_LIFETIME,
    LIFETIME_GROWTH,
    MIN_ENDS,
    TRIAL_DELAY,
    RequestQuarantine,
)
from site_fixture import running_site
from test_prompt_quarantine import (
    CRASHING_PART,
    SHARED_PART,
    count_ended,
    crash_on,
    ended,
    prompt,
    withheld,
)

LAST_END = 1.0 + 0.2 * (MIN_ENDS - 1)
TRIAL_AT = LAST_END + TRIAL_DELAY


def quarantine_of(part: str, is_trier: bool = True) -> RequestQuarantine:
    """Return a quarantine of a part under which engines have ended."""
    quarantine = RequestQuarantine(lambda: 1.5, is_trier=lambda: is_trier)
    for number in range(MIN_ENDS):
        ended(quarantine, f"e{number}", parts=(part,), now=1.0 + 0.2 * number)
    return quarantine


def arrive(quarantine: RequestQuarantine, *parts: str, count: int) -> None:
    for _ in range(count):
        quarantine.on_arrival("llm", parts)


# Guards against a service that is withheld whole for as long as a wrong verdict lasts.
def test_part_that_most_requests_share_is_tried_by_one_of_them():
    quarantine = quarantine_of("p")
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    assert not quarantine.begin_trial("llm", ("p",), TRIAL_AT - 0.1)
    trial = quarantine.begin_trial("llm", ("p",), TRIAL_AT + 0.1)
    assert quarantine.withheld_until("llm", ("p",), TRIAL_AT + 0.1, trial) is None
    # The others wait for what it tells.
    assert withheld(quarantine, "p", now=TRIAL_AT + 0.1)
    assert not quarantine.begin_trial("llm", ("p",), TRIAL_AT + 9)
    quarantine.on_answered("llm", ("p",), TRIAL_AT + 9)
    assert not withheld(quarantine, "p", now=TRIAL_AT + 9)


# Guards against a part that ends engines being tried again and again.
def test_trial_that_ends_an_engine_puts_off_the_next_one():
    quarantine = quarantine_of("p")
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    trial_at, delay = TRIAL_AT, TRIAL_DELAY
    for number in range(3):
        now = trial_at + 0.1
        trial = quarantine.begin_trial("llm", ("p",), now)
        assert trial
        quarantine.on_engine_ended("llm", ("p",), f"t{number}", now, now + 0.3)
        quarantine.end_trial(trial, now + 0.3)
        delay *= LIFETIME_GROWTH
        trial_at = now + 0.3 + delay
        assert not quarantine.begin_trial("llm", ("p",), trial_at - 0.1)


# Guards against a trial that finds no room being the last one.
def test_trial_that_tells_nothing_is_followed_by_another():
    quarantine = quarantine_of("p")
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    trial = quarantine.begin_trial("llm", ("p",), TRIAL_AT)
    quarantine.end_trial(trial, TRIAL_AT + 0.1)
    assert not quarantine.begin_trial("llm", ("p",), TRIAL_AT + 0.2)
    assert quarantine.begin_trial("llm", ("p",), TRIAL_AT + 0.1 + TRIAL_GAP)


# Guards against trials of what only a few callers send, at the cost of an engine each.
def test_part_of_a_few_requests_is_not_tried():
    quarantine = quarantine_of("p")
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    arrive(quarantine, "other", count=MIN_ARRIVALS)
    assert not quarantine.begin_trial("llm", ("p",), TRIAL_AT + 60)
    assert quarantine.retry_at("llm", ("p",), 3.0) > EVIDENCE_LIFETIME


# Guards against one trial by each node.
def test_only_the_node_that_tries_for_all_begins_a_trial():
    quarantine = quarantine_of("p", is_trier=False)
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    assert not quarantine.begin_trial("llm", ("p",), TRIAL_AT + 60)


# Guards against callers that are told to stay away for longer than the verdict lasts.
def test_callers_of_a_part_that_is_tried_learn_when():
    quarantine = quarantine_of("p", is_trier=False)
    arrive(quarantine, "p", count=MIN_ARRIVALS)
    assert quarantine.retry_at("llm", ("p",), 3.0) == pytest.approx(
        TRIAL_AT + TRIAL_GAP
    )
    assert quarantine.retry_at("llm", ("p",), TRIAL_AT + 5) == pytest.approx(
        TRIAL_AT + 5 + TRIAL_GAP
    )


async def ask_for(site, seconds: float) -> list[int]:
    """Send streams on the shared part to all nodes in turn; return their statuses."""
    nodes = [settings for _, settings, _ in site.gateways]
    statuses = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        number = len(statuses)
        shared = prompt(1000 + number, SHARED_PART)
        response = await site.post(nodes[number % len(nodes)], "/stream/a", **shared)
        statuses.append(response.status)
        await asyncio.sleep(0.05)
    return statuses


# Guards against ten minutes without service after engines have ended for other reasons.
async def test_service_is_back_in_seconds_after_a_wrong_verdict():
    async with running_site(gateways=2, engines=6) as site:
        crash_on(site, SHARED_PART)
        node = site.gateways[0][1]
        for number in range(MIN_ENDS):
            await site.post(node, "/stream/a", **prompt(number, SHARED_PART))
        assert count_ended(site) == MIN_ENDS
        crash_on(site, "none")
        statuses = await ask_for(site, TRIAL_DELAY + 3 * TRIAL_GAP)
        assert 503 in statuses[:10]
        assert statuses[-10:] == [200] * 10
        assert not any(gateway._monitor.violations for gateway, _, _ in site.gateways)


# Guards against trials that take one engine after the other.
async def test_part_that_still_ends_engines_takes_one_more_by_its_trial():
    async with running_site(gateways=2, engines=6) as site:
        crash_on(site, SHARED_PART)
        await ask_for(site, TRIAL_DELAY + 4 * TRIAL_GAP)
        assert count_ended(site) == MIN_ENDS + 1


# Guards against sound requests that are withheld beside a deadly part which is tried.
async def test_sound_requests_beside_a_deadly_part_are_served_throughout():
    async with running_site(gateways=2, engines=8) as site:
        crash_on(site, CRASHING_PART)
        nodes = [settings for _, settings, _ in site.gateways]
        served = []
        for number in range(40):
            node = nodes[number % 2]
            shared = (SHARED_PART, CRASHING_PART)
            await site.post(node, "/stream/a", **prompt(number, *shared))
            sound = prompt(100 + number, SHARED_PART)
            served.append((await site.post(node, "/stream/a", **sound)).status == 200)
            await asyncio.sleep(0.1)
        assert sum(served) >= 38
        assert count_ended(site) <= MIN_ENDS
