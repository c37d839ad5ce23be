"""Engines that state how many requests a second they take from all gateways."""

import asyncio
import heapq
import itertools
from random import Random

import pytest

from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import (
    LIMIT_LIFETIME,
    REORDER_TIME,
    EngineLimits,
)
from cyclamenyoke.core.peers import MAX_SILENCE, Peer, Peers
from cyclamenyoke.core.store_position import StorePosition
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


async def test_callers_are_refused_at_once_with_a_time_while_all_engines_are_limited():
    async with running_site(gateways=2, engines=2) as site:
        for engine in model_engines(site):
            engine.rate_limit = RATE
        responses = await send_for(site, WINDOW)
        refused = [each for each in responses if each.status == 503]
        assert refused
        assert all(0 < float(each.headers["retry-after"]) <= 2.5 for each in refused)
        assert {each.status for each in responses} <= {200, 503}


async def test_engine_that_lifts_its_limit_is_used_as_before():
    async with running_site(gateways=2, engines=2) as site:
        limited, other = model_engines(site)
        limited.rate_limit = RATE
        await send_for(site, 1.0)
        limited.rate_limit = None
        await send_for(site, 3.0)
        before = len(limited.state.received), len(other.state.received)
        await send_for(site, 2.0)
        gained = len(limited.state.received) - before[0]
        assert gained > (len(other.state.received) - before[1]) / 2


NOW = 100.0


def make_endpoints(count: int) -> list[Endpoint]:
    return [
        Endpoint(f"e{n}", "llm", f"10.1.0.{n}:80", "dc", 6, False, 1)
        for n in range(count)
    ]


class LimitedFleet:
    """Nodes that send to limited endpoints, with late news of each other.

    :param rate: requests a second that each endpoint states.
    """

    def __init__(self, nodes: int, endpoints: int, rate: float, seed: int) -> None:
        self.random = Random(seed)
        self.registry = EndpointRegistry()
        position = StorePosition(1, 1)
        self.registry.apply_list(make_endpoints(endpoints), position, NOW, NOW)
        self.endpoints = self.registry.usable("llm")
        self.rate = rate
        self.ips = [f"10.0.0.{n}" for n in range(nodes)]
        # By node: the others that it believes to be sending.
        self.believed = {ip: set(self.ips) for ip in self.ips}
        self.nodes = {ip: self.make_node(ip) for ip in self.ips}
        self.arrivals: dict[str, list[float]] = {e.id: [] for e in self.endpoints}
        self.refused = 0

    def make_node(self, ip: str) -> EngineLimits:
        return EngineLimits(ip, lambda now: self.believed[ip], self.registry.usable)

    def state_limits(self, now: float) -> None:
        for node in self.nodes.values():
            for endpoint in self.endpoints:
                node.on_response(endpoint, self.rate, now, now)

    def play(self, demand: float, seconds: float, start: float = NOW) -> None:
        """Send requests of random nodes; each tries all endpoints once.

        :param demand: requests a second of all nodes.
        """
        now = start
        while now < start + seconds:
            now += self.random.expovariate(demand)
            node = self.nodes[self.random.choice(self.ips)]
            allowed = [each for each in self.endpoints if node.allows(each, now)]
            if not allowed:
                self.refused += 1
                continue
            endpoint = self.random.choice(allowed)
            node.on_sent(endpoint, now)
            self.arrivals[endpoint.id].append(now)
            node.on_response(endpoint, self.rate, now, now + 0.1)

    def most_in_window(self) -> int:
        """Return the most requests that an endpoint got within ``WINDOW``."""
        most = 0
        for times in self.arrivals.values():
            window: list[float] = []
            for at in times:
                heapq.heappush(window, at)
                while window[0] <= at - WINDOW:
                    heapq.heappop(window)
                most = max(most, len(window))
        return most


@pytest.mark.parametrize(
    ("nodes", "endpoints", "rate", "demand"),
    itertools.product((2, 13, 98), (3, 16), (0.0, 0.7, 1.3, 3.2, 20.0), (0.5, 4.0)),
)
def test_limit_is_kept_by_any_number_of_nodes(nodes, endpoints, rate, demand):
    fleet = LimitedFleet(nodes, endpoints, rate, seed=1)
    fleet.state_limits(NOW)
    # A quiet time fills all buckets before the surge.
    fleet.play(0.05, 20.0)
    fleet.play(demand * endpoints * max(rate, 1.0), 30.0, NOW + 20.0)
    assert fleet.most_in_window() <= 1.5 * rate * WINDOW + 5


def test_nodes_use_most_of_a_limit_together():
    fleet = LimitedFleet(13, 16, 3.0, seed=2)
    fleet.state_limits(NOW)
    fleet.play(16 * 3.0 * 1.5, 20.0)
    sent = sum(len(times) for times in fleet.arrivals.values())
    assert sent > 0.85 * 16 * 3.0 * 20.0


def test_every_node_has_a_part_where_there_are_enough():
    fleet = LimitedFleet(13, 16, 1.0, seed=3)
    fleet.state_limits(NOW)
    for node in fleet.nodes.values():
        assert node.wait_of_service("llm", frozenset(), 1, NOW) == 0.0


def test_limit_is_kept_while_nodes_come_and_go_and_disagree():
    fleet = LimitedFleet(13, 16, 2.0, seed=4)
    fleet.state_limits(NOW)
    for step in range(20):
        gone = fleet.random.choice(fleet.ips)
        # Half of the nodes learn of a change later than the others.
        for ip in fleet.ips[:: 1 + step % 2]:
            fleet.believed[ip] = set(fleet.ips) - {gone}
        fleet.play(100.0, 1.0, NOW + step)
    assert fleet.most_in_window() <= 1.5 * 2.0 * WINDOW + 5


# Guards against nodes that have a full bucket anew with each start.
def test_limit_is_kept_while_nodes_restart_again_and_again():
    fleet = LimitedFleet(13, 16, 2.0, seed=5)
    fleet.state_limits(NOW)
    fleet.play(40.0, 10.0)
    spared = fleet.nodes[fleet.ips[0]]
    for step in range(12):
        now = NOW + 10 + step
        spared.announce_all(now)
        for ip in fleet.ips[1:]:
            fleet.nodes[ip] = fleet.make_node(ip)
            fleet.nodes[ip].merge(spared.news(now), now)
        fleet.play(100.0, 1.0, now)
    assert fleet.most_in_window() <= 1.5 * 2.0 * WINDOW + 5


def test_silent_peer_keeps_its_part_until_it_must_be_gone():
    peers = Peers("10.0.0.1")
    for number in range(2, 8):
        peers._peers[f"10.0.0.{number}"] = Peer(f"10.0.0.{number}", NOW, NOW, object())
    peers._peers["10.0.0.2"].received_at = NOW - MAX_SILENCE + 0.1
    assert len(peers.possible_senders(NOW)) == 6
    assert len(peers.possible_senders(NOW + 0.2)) == 5
    # When all others are silent, this node may be the one that is cut off.
    assert len(peers.possible_senders(NOW + MAX_SILENCE + 1.0)) == 6


def limits_of_one_node() -> tuple[EngineLimits, Endpoint]:
    [endpoint] = endpoints = make_endpoints(1)
    return EngineLimits("10.0.0.1", lambda now: (), lambda service: endpoints), endpoint


def test_only_the_response_to_a_later_request_lifts_a_limit():
    limits, endpoint = limits_of_one_node()
    limits.on_response(endpoint, 0.5, NOW, NOW)
    limits.on_sent(endpoint, NOW)
    limits.on_response(endpoint, None, NOW - 0.1, NOW + 0.3)
    assert not limits.allows(endpoint, NOW + 0.4)
    limits.on_response(endpoint, None, NOW + REORDER_TIME, NOW + 0.5)
    assert limits.allows(endpoint, NOW + 0.5)


def test_limit_of_an_earlier_incarnation_does_not_count():
    limits, endpoint = limits_of_one_node()
    limits.on_response(endpoint, 0.5, NOW, NOW)
    limits.on_sent(endpoint, NOW)
    started_again = Endpoint("e0", "llm", endpoint.address, "dc", 6, False, 2)
    assert not limits.allows(endpoint, NOW)
    assert limits.allows(started_again, NOW)


def test_limits_are_told_to_peers_and_forgotten_without_news():
    first, endpoint = limits_of_one_node()
    second, _ = limits_of_one_node()
    first.on_response(endpoint, 0.2, NOW, NOW)
    second.merge(first.news(NOW + 0.5), 10 * NOW)
    second.on_sent(endpoint, 10 * NOW)
    assert not second.allows(endpoint, 10 * NOW)
    assert first.news(NOW + 5.0) == ()
    first.on_response(endpoint, None, NOW + 6.0, NOW + 6.1)
    second.merge(first.news(NOW + 6.2), 10 * NOW + 6.2)
    assert second.allows(endpoint, 10 * NOW + 6.2)
    first.on_response(endpoint, 0.2, NOW + 7.0, NOW + 7.0)
    first.on_sent(endpoint, NOW + 7.0)
    assert first.allows(endpoint, NOW + 7.1 + LIMIT_LIFETIME)


def test_limited_endpoint_without_a_token_is_passed_over():
    registry = EndpointRegistry()
    registry.apply_list(make_endpoints(2), StorePosition(1, 1), NOW, NOW)
    limits = EngineLimits("10.0.0.1", lambda now: (), registry.usable)
    balancer = Balancer(registry, "dc", Random(1), limits)
    limited, other = registry.usable("llm")
    limits.on_response(limited, 1.0, NOW, NOW)
    limits.on_sent(limited, NOW)
    chosen = {
        balancer.choose("llm", frozenset(), NOW, lambda each: 6).id for _ in range(9)
    }
    assert chosen == {other.id}
    assert balancer.free_slots("llm", 2.0, NOW) == (8, 8)
