"""How many events have ended engines, by when and where these ended."""

import asyncio

import pytest

from cyclamenyoke.core.engine_ends import (
    DATA_CENTRE_FAILURE,
    SEPARATION,
    SIMULTANEOUS_ENDS,
    EngineEnd,
    count_events,
    least_telling,
    place_end,
)
from cyclamenyoke.core.request_quarantine import (
    MAX_ENDS_KEPT,
    MIN_ENDS_AFTER_USE,
    RequestQuarantine,
)
from cyclamenyoke.standins.engine import Behaviour
from site_fixture import running_site
from test_prompt_quarantine import SHARED_PART, prompt


# Guards against a data centre that fails being counted as the work of what its
# requests had in common.
@pytest.mark.parametrize("spread", [0.0, 0.04, 0.5, 0.95])
@pytest.mark.parametrize("engines", [5, 22, 64])
def test_engines_of_a_data_centre_that_end_together_are_one_event(engines, spread):
    ends = [EngineEnd(5 + spread * n / (engines - 1), "dc-1") for n in range(engines)]
    assert count_events(ends) == 1
    assert count_events(ends, counts_unplaced=True) == 1


# Guards against a rack or power line that several data centres have in common.
def test_engines_of_all_data_centres_that_end_at_the_same_moment_are_one_event():
    ends = [EngineEnd(5 + n * 0.001, f"dc-{n % 3}") for n in range(30)]
    assert count_events(ends) == 1


# Guards against a deadly part that is never blamed since its ends count as one.
def test_ends_that_come_one_after_the_other_are_events_of_their_own():
    apart = [EngineEnd(5 + n * (DATA_CENTRE_FAILURE + 0.1), "dc-1") for n in range(4)]
    elsewhere = [
        EngineEnd(5 + n * (SIMULTANEOUS_ENDS + 0.01), f"dc-{n}") for n in range(4)
    ]
    unplaced = [EngineEnd(5 + n * SEPARATION) for n in range(4)]
    assert [count_events(each) for each in (apart, elsewhere, unplaced)] == [4, 4, 4]


# Guards against a repeat that ends a second engine next to the first one, and that
# would be taken for a part of the same failure.
def test_end_of_a_request_that_was_sent_after_an_end_is_an_event_of_its_own():
    ends = [place_end([], float("-inf"), 0.8, 1.0, "dc-1")]
    ends.append(place_end(ends, 1.0, 1.1, 1.3, "dc-1"))
    ends.append(place_end(ends, 1.3, 1.35, 1.5, "dc-1"))
    assert count_events(ends) == 3
    in_flight = place_end(ends, 1.5, 1.2, 1.52, "dc-1")
    assert count_events([*ends, in_flight]) == 3


# Guards against a failure of a large data centre that pushes out what was known before.
def test_ends_of_one_event_are_forgotten_before_those_of_others():
    ends = {f"e{n}": EngineEnd(float(n), f"dc-{n}") for n in range(4)}
    for number in range(64):
        ends[f"z{number}"] = EngineEnd(9 + number / 100, "dc-9")
        if len(ends) > MAX_ENDS_KEPT:
            del ends[least_telling(ends)]
    assert count_events(ends.values()) == 5
    assert {"e0", "e1", "e2", "e3"} <= ends.keys()


def end_together(
    quarantine: RequestQuarantine, data_centre: str, engines: int, now: float
) -> None:
    """Let engines of a data centre end, all with a request that was in flight."""
    for number in range(engines):
        seen_at = now + 0.5 * number / engines
        engine = f"{data_centre}-{number}@{now}"
        traits = ["shared", f"request:{engine}"]
        quarantine.on_engine_ended(
            "llm", traits, engine, now - 0.1, seen_at, data_centre
        )


# Guards against a shared part of prompts that is withheld for ten minutes after the
# engines of one data centre have ended together (review/11).
@pytest.mark.parametrize("engines", [5, 16, 64])
@pytest.mark.parametrize("was_answered", [True, False])
def test_shared_part_is_not_withheld_after_one_failure(was_answered, engines):
    quarantine = RequestQuarantine(lambda: 1.5)
    if was_answered:
        quarantine.on_answered("llm", ["shared"], 0.5)
    end_together(quarantine, "dc-1", engines, 1.0)
    assert quarantine.quarantines == []
    assert quarantine.evidence_to_store(2.0) == ()


# Guards against evidence of one failure that adds up as it goes from node to node.
def test_nodes_that_each_saw_a_part_of_a_failure_count_it_once():
    nodes = [RequestQuarantine(lambda: 1.5) for _ in range(6)]
    for number, node in enumerate(nodes):
        node.on_engine_ended(
            "llm", ["shared"], f"e{number}@1", 0.9, 1 + number * 0.1, "dc-1"
        )
    for node in nodes:
        for other in nodes:
            node.merge(other.news(1.8), 1.8)
    assert all(node.quarantines == [] for node in nodes)


# Guards against a deadly part that is spared since engines of one data centre end.
def test_part_that_ends_engines_of_one_data_centre_in_turn_is_withheld():
    quarantine = RequestQuarantine(lambda: 1.5)
    quarantine.on_answered("llm", ["shared"], 0.5)
    for number in range(MIN_ENDS_AFTER_USE):
        now = 1.0 + 0.4 * number
        assert not quarantine.quarantines
        quarantine.on_engine_ended(
            "llm", ["shared"], f"e{number}@1", now - 0.3, now, "dc-1"
        )
    assert quarantine.withheld_until("llm", ("shared",), 4.0) is not None


# Guards against callers that are all refused after a data centre's engines have ended
# with the streams that they had just begun (review/11).
async def test_streams_are_served_after_the_engines_of_a_data_centre_end_together():
    data_centres = ("dc-1", "dc-2")
    async with running_site(2, 12, data_centres=data_centres) as site:
        nodes = [settings for _, settings, _ in site.gateways]
        first = await site.post(nodes[0], "/stream/a", **prompt(0, SHARED_PART))
        assert first.is_complete
        engines = site.engines_of("llm")
        for engine in engines:
            engine.event_interval = 0.3
        streams = [
            asyncio.create_task(
                site.post(nodes[number % 2], "/stream/a", **prompt(number, SHARED_PART))
            )
            for number in range(1, 37)
        ]
        failing = [each for each in engines if "dc-1" in each.entry("llm").decode()]
        assert len(failing) == 6
        await site.wait_until(lambda: all(each.state.executed for each in failing))
        await asyncio.sleep(0.1)
        for engine in failing:
            await engine.stop()
        # The other ranks of the group cut their streams, and run nothing for a while.
        others = [each for each in engines if each not in failing]
        for engine in others:
            engine.script += [Behaviour.BROKEN_GROUP] * 100
            engine.close_idle()
        await asyncio.gather(*streams)
        for engine in others:
            engine.script.clear()
        later = [
            await site.post(node, "/stream/a", **prompt(number, SHARED_PART))
            for number, node in enumerate(nodes * 3, 40)
        ]
        assert [each.status for each in later] == [200] * 6
        quarantines = [
            gateway._quarantine.quarantines for gateway, _, _ in site.gateways
        ]
        assert quarantines == [[], []]
