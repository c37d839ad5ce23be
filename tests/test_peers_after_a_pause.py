"""What a gateway makes of its peers after its process has not run for a while."""

from collections import deque
from collections.abc import Callable
from random import Random

import pytest

from cyclamenyoke.core.peers import MAX_SILENCE, PEER_TIMEOUT, BudgetPart, Peers
from test_endpoint_registry import NOW, update
from test_membership import NAMES, hear, peers_of

WINDOW = 10.0
HEARTBEAT = 0.25
STEP = 0.05
NODES = 8
ROUNDING = 1e-9

STARTED_FOR = WINDOW + 3.0
"""Seconds after the start in which the nodes get to know each other, and their parts
become usable."""


def run_until(peers: Peers, since: float, until: float) -> None:
    """Let a node run and hear all its peers."""
    for beat in range(int((until - since) / HEARTBEAT) + 1):
        now = since + beat * HEARTBEAT
        hear(peers, NAMES, now)
        peers.on_heartbeat(now)


# Guards against shares that grow while the updates of peers wait to be read.
@pytest.mark.parametrize("read", range(len(NAMES) + 1))
def test_peers_whose_updates_wait_after_a_pause_keep_their_shares(read):
    peers = peers_of(*NAMES)
    run_until(peers, NOW, NOW + 1)
    resumed_at = NOW + 1 + MAX_SILENCE + 1
    hear(peers, NAMES[:read], resumed_at)
    assert peers.sharing_count(resumed_at) == 1 + len(NAMES)
    assert len(peers.live(resumed_at)) == len(NAMES)


def test_peers_that_stay_silent_after_a_pause_lose_their_shares():
    peers = peers_of(*NAMES)
    run_until(peers, NOW, NOW + 1)
    resumed_at = NOW + 1 + MAX_SILENCE + 1
    for beat in range(20):
        now = resumed_at + beat * HEARTBEAT
        hear(peers, NAMES[:3], now)
        peers.on_heartbeat(now)
        if now < resumed_at + PEER_TIMEOUT:
            assert len(peers.live(now)) == len(NAMES)
        else:
            assert len(peers.live(now)) == 3
        if now >= resumed_at + MAX_SILENCE:
            assert peers.sharing_count(now) == 4


# Guards against dead peers that callers are sent to after each pause of the process.
def test_peer_that_was_silent_before_a_pause_stays_silent():
    peers = peers_of(*NAMES)
    for beat in range(20):
        now = NOW + beat * HEARTBEAT
        hear(peers, NAMES[1:], now)
        peers.on_heartbeat(now)
    resumed_at = now + 2
    assert {each.ip for each in peers.live(resumed_at)} == set(NAMES[1:])
    assert peers.possible_senders(resumed_at) == NAMES[1:]


class Node:
    """A node that may pause, with the updates that it has not read yet."""

    def __init__(self, ip: str, ips: list[str]) -> None:
        self.ip = ip
        self.peers = Peers(ip)
        self.unread: deque[tuple[str, int]] = deque()
        self.paused_until = 0.0
        self.smallest_count = 1
        self.largest_part = 0.0
        self._ips = ips
        self._beat_at = 0.0
        self._renew_at = 0.0

    def run(self, nodes: list["Node"], now: float) -> None:
        """Read updates one by one, as an event loop does, and use shares in between."""
        self.smallest_count, self.largest_part = NODES, 0.0
        self.use(now)
        while self.unread:
            ip, sequence = self.unread.popleft()
            self.peers.on_update(update(ip, sequence), now)
            self.use(now)
        if now >= self._renew_at:
            self._renew_at = now + 6
            self.peers.on_registered(now + 20)
            self.peers.on_registrations(self._ips, now)
        if now >= self._beat_at:
            self._beat_at = now + HEARTBEAT
            self.peers.on_heartbeat(now)
            for node in nodes:
                node.unread.append((self.ip, int(now / STEP)))
        self.use(now)

    def use(self, now: float) -> None:
        part: BudgetPart = self.peers.budget_part(now, WINDOW)
        count = self.peers.sharing_count(now)
        self.smallest_count = min(self.smallest_count, count)
        if part.is_usable:
            self.largest_part = max(self.largest_part, 1 / part.nodes)


def run_nodes(random: Random, pause: Callable[[list[Node], float], float]) -> float:
    """Run nodes that pause; return the largest sum of their shares and parts.

    :param pause: lets nodes pause, and returns when it is called again.
    """
    ips = [f"10.0.0.{number}" for number in range(NODES)]
    nodes = [Node(ip, ips) for ip in ips]
    next_pause, shares, parts = STARTED_FOR, 0.0, 0.0
    for step in range(1, int(60 / STEP)):
        now = step * STEP
        if now >= next_pause:
            next_pause = pause(nodes, now)
        for node in random.sample(nodes, NODES):
            if now >= node.paused_until:
                node.run(nodes, now)
        if now >= STARTED_FOR:
            shares = max(shares, sum(1 / node.smallest_count for node in nodes))
            parts = max(parts, sum(node.largest_part for node in nodes))
    assert parts <= 1 + ROUNDING
    return shares


# Guards against nodes that together use more than there is after all have paused.
@pytest.mark.parametrize("seed", range(10))
def test_shares_of_nodes_that_pause_together_add_up_to_no_more_than_the_whole(seed):
    random = Random(seed)

    def pause_all(nodes: list[Node], now: float) -> float:
        seconds = random.uniform(0.3, 8.0)
        for node in nodes:
            node.paused_until = now + seconds + random.uniform(0, MAX_SILENCE / 2)
        return now + seconds + MAX_SILENCE

    assert run_nodes(random, pause_all) <= 1 + ROUNDING


# Guards against parts of the retry budget that grow while nodes pause one by one.
@pytest.mark.parametrize("seed", range(10))
def test_budget_parts_of_nodes_that_pause_add_up_to_no_more_than_the_whole(seed):
    random = Random(seed)

    def pause_some(nodes: list[Node], now: float) -> float:
        seconds = random.choice([1.2, 3.0, random.uniform(0.3, 40.0)])
        for node in random.sample(nodes, random.randint(1, NODES)):
            node.paused_until = max(node.paused_until, now + seconds)
        return now + random.uniform(0.3, 6.0)

    run_nodes(random, pause_some)
