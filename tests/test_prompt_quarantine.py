"""Prompts that end the engines which write an answer on them."""

import asyncio

from site_fixture import running_site

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
