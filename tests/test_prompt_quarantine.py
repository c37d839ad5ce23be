"""Prompts that end the engines which write an answer on them."""

import asyncio
import json

import pytest

from cyclamenyoke.adapters.http_ingress import HttpRequest
from cyclamenyoke.cli.main import app
from cyclamenyoke.core.request_delivery import Attempt, AttemptOutcome
from cyclamenyoke.core.request_quarantine import (
    EVIDENCE_LIFETIME,
    MIN_ENDS,
    MIN_ENDS_AFTER_USE,
    RequestQuarantine,
)
from cyclamenyoke.daemon.quarantine_store import QUARANTINE_KEY
from cyclamenyoke.platform.caller_handlers import decode_request
from site_fixture import running_site, send_request

CRASHING_PART = "bad0"
SHARED_PART = "5c1e07a2"
ENGINES = 12
ENDS_BEFORE_BOUND = 5
MAX_LATER_REQUESTS = 3
"""After five engines have ended, this many requests with the part may reach engines."""


def prompt(number: int, *shared: str) -> dict[str, str]:
    """Return the header of a prompt that no other request has in full."""
    parts = [*shared, f"{number:08x}"]
    return {"X_Prompt_Prefix": ",".join(f"{part}:40" for part in parts)}


def crash_on(site, part: str) -> None:
    """Make all model engines end when they begin to write on a part."""
    for engine in site.engines.values():
        engine.crashing_parts = frozenset({part})


def count_received(site, part: str) -> int:
    """Return how many requests with a part have reached engines."""
    return sum(
        f"{part}:" in request.headers.get("x-prompt-prefix", "")
        for engine in site.engines.values()
        for request in engine.state.received
    )


def stored_ends(site) -> int:
    """Return how many ends the store has against one part."""
    stored = site.platform.state.values.get(QUARANTINE_KEY)
    if stored is None:
        return 0
    evidence = json.loads(stored.value)["evidence"]
    return max(len(ends) for _, _, ends, *_ in evidence)


def count_ended(site) -> int:
    return sum(engine.has_ended for engine in site.engines.values())


async def test_prompt_part_that_crashes_engines_is_not_sent_to_one_after_the_other():
    async with running_site(gateways=2, engines=ENGINES) as site:
        crash_on(site, CRASHING_PART)
        nodes = [settings for _, settings, _ in site.gateways]
        for number in range(20):
            shared = (f"aa{number:02}", CRASHING_PART)
            await site.post(nodes[number % 2], "/stream/a", **prompt(number, *shared))
            await asyncio.sleep(0.05)
        received = count_received(site, CRASHING_PART)
        assert received <= ENDS_BEFORE_BOUND + MAX_LATER_REQUESTS
        assert count_ended(site) < ENGINES


async def test_sound_requests_sharing_parts_with_a_crashing_prompt_are_served():
    async with running_site(gateways=2, engines=ENGINES) as site:
        crash_on(site, CRASHING_PART)
        nodes = [settings for _, settings, _ in site.gateways]
        responses = []
        for number in range(20):
            node = nodes[number % 2]
            shared = (SHARED_PART, CRASHING_PART)
            await site.post(node, "/stream/a", **prompt(number, *shared))
            responses.append(
                await site.post(node, "/stream/a", **prompt(100 + number, SHARED_PART))
            )
            await asyncio.sleep(0.05)
        served = [each for each in responses if each.status == 200 and each.is_complete]
        assert len(served) >= 18


async def run_command(capsys, *arguments: str) -> str:
    """Run the operators' command in a thread and return what it prints."""
    with pytest.raises(SystemExit) as raised:
        await asyncio.to_thread(app, list(arguments))
    assert raised.value.code == 0
    return capsys.readouterr().out


async def test_request_that_ended_an_engine_is_not_repeated_at_another():
    async with running_site(gateways=1, engines=ENGINES) as site:
        crash_on(site, CRASHING_PART)
        node = site.gateways[0][1]
        response = await site.post(node, "/stream/a", **prompt(1, CRASHING_PART))
        assert response.status == 502
        assert count_ended(site) == 1


async def test_request_on_known_sound_parts_is_repeated_when_its_engine_ends():
    async with running_site(gateways=1, engines=2) as site:
        node = site.gateways[0][1]
        await site.post(node, "/stream/a", **prompt(0, SHARED_PART))
        victim = next(each for id_, each in site.engines.items() if "llm" in id_)
        victim.crashing_parts = frozenset({SHARED_PART})
        responses = []
        while not victim.has_ended:
            number = len(responses) + 1
            responses.append(
                await site.post(node, "/stream/a", **prompt(number, SHARED_PART))
            )
        assert all(each.status == 200 and each.is_complete for each in responses)


async def test_quarantined_prompt_is_refused_at_once_as_not_run_until_it_is_lifted(
    capsys,
):
    async with running_site(gateways=2, engines=ENGINES) as site:
        crash_on(site, CRASHING_PART)
        nodes = [settings for _, settings, _ in site.gateways]
        for number in range(MIN_ENDS):
            await site.post(nodes[0], "/stream/a", **prompt(number, CRASHING_PART))
        await asyncio.sleep(0.5)
        received = count_received(site, CRASHING_PART)
        response = await site.post(nodes[1], "/stream/a", **prompt(9, CRASHING_PART))
        assert response.status == 503
        assert float(response.headers["retry-after"]) > EVIDENCE_LIFETIME / 2
        assert count_received(site, CRASHING_PART) == received == MIN_ENDS
        operators = f"{nodes[1].ip}:{nodes[1].metrics_port}"
        listed = await send_request(operators, "GET", "/quarantine", {"Host": "x"})
        [shown] = json.loads(listed.body)
        assert shown["parts"] == [CRASHING_PART]
        assert len(shown["engines"]) == MIN_ENDS
        arguments = ["quarantine", operators]
        assert CRASHING_PART in await run_command(capsys, *arguments)
        lift = ["--lift", f"llm/{CRASHING_PART}"]
        assert "lifted" in await run_command(capsys, *arguments, *lift)
        crash_on(site, "none")
        await asyncio.sleep(0.5)
        response = await site.post(nodes[0], "/stream/a", **prompt(10, CRASHING_PART))
        assert response.status == 200


async def test_gateway_that_starts_when_all_others_are_gone_knows_the_quarantine():
    async with running_site(gateways=1, engines=ENGINES) as site:
        crash_on(site, CRASHING_PART)
        first = site.gateways[0][1]
        for number in range(MIN_ENDS):
            await site.post(first, "/stream/a", **prompt(number, CRASHING_PART))
        await site.wait_until(lambda: stored_ends(site) == MIN_ENDS)
        site.gateways[0][2].cancel()
        second = await site.add_gateway()
        await asyncio.sleep(0.3)
        response = await site.post(second, "/stream/a", **prompt(9, CRASHING_PART))
        assert response.status == 503
        assert count_ended(site) == MIN_ENDS


def ended(quarantine: RequestQuarantine, *engines: str, parts=("p",), now=1.0) -> None:
    for engine in engines:
        quarantine.on_engine_ended("llm", parts, engine, now - 0.1, now)


def withheld(quarantine: RequestQuarantine, *parts: str, now: float = 2.0) -> bool:
    return quarantine.withheld_until("llm", parts, now) is not None


def test_part_is_withheld_after_enough_engines_have_ended_under_it():
    quarantine = RequestQuarantine(lambda: 1.5)
    ended(quarantine, "a", "b", "b")
    assert not withheld(quarantine, "p")
    ended(quarantine, "c")
    assert withheld(quarantine, "x", "p")
    assert not withheld(quarantine, "x")
    assert quarantine.withheld_until("other", ("p",), 2.0) is None


def test_quarantine_ends_with_its_evidence():
    quarantine = RequestQuarantine(lambda: 1.5)
    ended(quarantine, "a", "b", "c")
    assert withheld(quarantine, "p", now=EVIDENCE_LIFETIME)
    assert not withheld(quarantine, "p", now=EVIDENCE_LIFETIME + 2.0)
    assert quarantine.quarantines == []


def test_part_that_sound_requests_share_is_not_withheld():
    quarantine = RequestQuarantine(lambda: 1.5)
    quarantine.on_answered("llm", ("shared",), 0.5)
    ended(quarantine, "a", "b", "c", "d", "e", "f", parts=("shared", "bad"))
    assert withheld(quarantine, "shared", "bad")
    assert withheld(quarantine, "bad")
    assert not withheld(quarantine, "shared", "other")


def test_part_that_turns_bad_after_use_is_withheld_after_more_ends():
    quarantine = RequestQuarantine(lambda: 1.5)
    quarantine.on_answered("llm", ("p",), 0.5)
    engines = [str(number) for number in range(MIN_ENDS_AFTER_USE)]
    ended(quarantine, *engines[:-1])
    assert not withheld(quarantine, "p")
    ended(quarantine, engines[-1])
    assert withheld(quarantine, "p")


def test_parts_that_evidence_does_not_tell_apart_are_withheld_only_together():
    quarantine = RequestQuarantine(lambda: 1.5)
    ended(quarantine, "a", "b", "c", parts=("first", "bad"))
    assert withheld(quarantine, "first", "bad")
    assert not withheld(quarantine, "first")
    ended(quarantine, "d", parts=("other", "bad"))
    assert withheld(quarantine, "bad")
    assert not withheld(quarantine, "first")


def test_answer_at_any_node_clears_a_part_at_all():
    first, second = RequestQuarantine(lambda: 1.5), RequestQuarantine(lambda: 1.5)
    ended(first, "a", "b", "c")
    second.merge(first.news(1.1), 1.1)
    assert withheld(second, "p")
    second.on_answered("llm", ("p",), 1.5)
    first.merge(second.news(1.6), 1.6)
    assert not withheld(first, "p")
    # Evidence of a peer that has not heard of it changes nothing.
    late = RequestQuarantine(lambda: 1.5)
    ended(late, "a", "b", "c")
    first.merge(late.news(1.7), 1.7)
    assert not withheld(first, "p")
    late.merge(first.news(1.8), 1.8)
    assert not withheld(late, "p")


def test_nodes_that_each_saw_one_end_add_them_up():
    nodes = [RequestQuarantine(lambda: 1.5) for _ in range(MIN_ENDS)]
    for number, node in enumerate(nodes):
        ended(node, str(number))
    for node in nodes[1:]:
        nodes[0].merge(node.news(1.2), 1.2)
    assert withheld(nodes[0], "p")
    nodes[1].merge(nodes[0].news(1.3), 1.3)
    assert withheld(nodes[1], "p")


def test_evidence_is_told_again_to_a_node_that_arrives():
    first, second = RequestQuarantine(lambda: 1.5), RequestQuarantine(lambda: 1.5)
    ended(first, "a", "b", "c")
    assert first.news(60.0) == ()
    first.announce_all(60.0)
    second.merge(first.news(60.0), 1000.0)
    assert withheld(second, "p", now=1000.0)
    assert not withheld(second, "p", now=1000.0 + EVIDENCE_LIFETIME - 58.0)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, True),
        ({"events": 1}, True),
        ({"events": 2}, False),
        ({"first_byte_at": None}, False),
        ({"is_closed_by_endpoint": False}, False),
        ({"ended_at": 2.7}, False),
        ({"outcome": AttemptOutcome.REJECTED}, False),
    ],
)
def test_only_a_request_on_which_the_engine_began_to_write_is_evidence(
    changes, expected
):
    fields = {
        "first_byte_at": 1.2,
        "ended_at": 1.3,
        "outcome": AttemptOutcome.INCOMPLETE,
        "is_closed_by_endpoint": True,
    }
    attempt = Attempt("e", 1.0, 0, **{**fields, **changes})
    assert (
        RequestQuarantine(lambda: 1.5).is_evidence_against_parts(attempt, True)
        is expected
    )


def test_memory_of_many_suspected_parts_is_bounded():
    quarantine = RequestQuarantine(lambda: 1.5)
    ended(quarantine, "a", "b", "c", parts=("bad",))
    for number in range(1000):
        parts = (f"x{number}", f"y{number}")
        ended(quarantine, f"e{number}", parts=parts, now=2.0)
    assert len(quarantine._suspects) <= 260
    assert withheld(quarantine, "bad", now=3.0)
    assert len(quarantine.news(2.5)) <= 32


@pytest.mark.parametrize("prefix", [b"", b"x", b",,,", b":", b"\xff:1,b", b"a" * 3000])
def test_any_text_in_place_of_prompt_parts_is_accepted(prefix):
    headers = [(b"X-Request-Id", b"1"), (b"Host", b"h"), (b"X-Prompt-Prefix", prefix)]
    request = HttpRequest(b"GET", b"/a", headers, b"", 0.0, True, False)
    decoded = decode_request(request)
    assert decoded is not None
    assert (b"X-Prompt-Prefix", prefix) in decoded.headers


def test_long_ids_of_parts_are_shortened_and_stay_distinct():
    ids = [b"a" * 1000 + suffix for suffix in (b"1", b"2", b"1")]
    prefix = b",".join(id_ + b":40" for id_ in [*ids, b"last"])
    headers = [(b"X-Request-Id", b"1"), (b"Host", b"h"), (b"X-Prompt-Prefix", prefix)]
    request = HttpRequest(b"GET", b"/a", headers, b"", 0.0, True, False)
    first, second, third = decode_request(request).shared_parts
    assert first == third != second
    assert len(first) <= 32
