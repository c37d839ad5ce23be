"""Engines that state how many requests a second they take from all gateways."""

import asyncio

from site_fixture import running_site

REACTION_TIME = 3.0
"""Seconds after an engine first stated a limit, from which the limit is to be kept."""

WINDOW = 4.0
"""Seconds over which the requests at an engine are counted."""

RATE = 2.0
MAX_REQUESTS = 1.5 * RATE * WINDOW + 5
CALL_INTERVAL = 0.02


async def send_for(site, seconds: float) -> list:
    """Send streams to all gateways in turn for some seconds; return the responses."""
    nodes = [settings for _, settings, _ in site.gateways]
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    tasks = []
    while loop.time() < until:
        node = nodes[len(tasks) % len(nodes)]
        tasks.append(asyncio.create_task(site.post(node, "/stream/a")))
        await asyncio.sleep(CALL_INTERVAL)
    return await asyncio.gather(*tasks)


def model_engines(site) -> list:
    return [engine for id_, engine in site.engines.items() if "llm" in id_]


async def test_engine_gets_no_more_than_the_limit_it_states_from_all_gateways():
    async with running_site(gateways=3, engines=4) as site:
        limited, *others = model_engines(site)
        limited.rate_limit = RATE
        await send_for(site, REACTION_TIME)
        before = len(limited.state.received)
        responses = await send_for(site, WINDOW)
        assert len(limited.state.received) - before <= MAX_REQUESTS
        assert all(response.status == 200 for response in responses)
        assert sum(len(each.state.received) for each in others) > 0
