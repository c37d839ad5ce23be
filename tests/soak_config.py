"""Randomised simulation of configuration publishing and distribution.

It runs the cores that the daemons run: :class:`GossipCore`, :class:`ConfigStore` and
``merge``. Operators publish concurrently; compare-and-swap calls get no reply, whether
the write takes effect or not; the key-value store is unavailable or returns an older
value; nodes are partitioned, restart without state, and their clocks differ.
"""

import argparse
import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from cyclamenyoke.core.config import (
    ConfigIndex,
    ConfigStore,
    Customer,
    Endpoint,
    Service,
    ServiceKind,
    blob_digest,
    encode_service,
)
from cyclamenyoke.core.gossip import GossipCore, NodeInfo, RecordKind
from cyclamenyoke.core.invariants import Invariant, RaisingMonitor
from cyclamenyoke.core.publishing import Edit, merge

NODE_COUNT = 12
SERVICE_COUNT = 4
START_TIME = 1_000_000.0


@dataclass(slots=True)
class Node:
    """One simulated daemon.

    :param clock_skew: seconds by which its clock differs from simulated time.
    :param highest_generation: the highest generation it has run since its start.
    :param partitioned_until: simulated time at which it can reach peers and the store
        again.
    """

    name: str
    clock_skew: float
    core: GossipCore
    config: ConfigStore
    highest_generation: int = 0
    partitioned_until: float = 0.0


@dataclass(slots=True)
class PublishAttempts:
    """One operator's publish in progress.

    :param count: attempts made so far.
    """

    publish_id: str
    edits: list[Edit]
    count: int = 0


@dataclass(slots=True)
class GroundTruth:
    """What operators were told, recorded independently of the cores.

    :param accepted: the edits of each accepted publish, by publish id.
    :param outcomes: number of publishes by outcome.
    """

    accepted: dict[str, list[Edit]] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)


class ConfigSoak:
    """One simulation: nodes, operators, the store and the fault injection.

    :param seed: of the random source.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = START_TIME
        self.monitor = RaisingMonitor()
        self.queue: list = []
        self.sequence = itertools.count()
        self.index = (0, ConfigIndex())
        self.previous_index = self.index
        self.blobs: dict[str, bytes] = {}
        self.down_until = 0.0
        self.truth = GroundTruth()
        self.publish_numbers = itertools.count()
        self.nodes = [self._start_node(number) for number in range(NODE_COUNT)]
        for node in self.nodes:
            self.call_later(self.random.random(), lambda n=node.name: self.gossip(n))
            self.call_later(self.random.random(), lambda n=node.name: self.watch(n))
        self.call_later(0.5, self.start_publish)
        self.call_later(1.0, self.inject_faults)

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), action))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def check_convergence(self) -> None:
        """Stop faults and publishes; check that all nodes run the newest index."""
        self.inject_faults = lambda: None  # type: ignore[method-assign]
        self.start_publish = lambda: None  # type: ignore[method-assign]
        self.down_until = 0.0
        for node in self.nodes:
            node.partitioned_until = 0.0
        self.run(NODE_COUNT * 60)
        newest = self.index[1].generation
        for node in self.nodes:
            self.monitor.check(
                Invariant.CONFIG_NEVER_REVERTS,
                node.config.generation == newest,
                f"{node.name} runs {node.config.generation}, accepted is {newest}",
            )

    # Nodes.

    def _start_node(self, number: int) -> Node:
        name = f"n{number}"
        clock_skew = self.random.uniform(-5.0, 5.0)
        info = NodeInfo("agent", f"dc-{number % 3}", name, "", "", False)
        now = self.now + clock_skew
        core = GossipCore(name, int(now * 1e6), info, self.random, now)
        return Node(name, clock_skew, core, ConfigStore(self.monitor))

    def node(self, name: str) -> Node:
        return next(node for node in self.nodes if node.name == name)

    def gossip(self, name: str) -> None:
        self.call_later(self.random.uniform(0.5, 1.5), lambda: self.gossip(name))
        node = self.node(name)
        now = self.now + node.clock_skew
        node.core.tick(now)
        chosen = node.core.choose_peer(now)
        control = chosen.control if chosen else self.random.choice(self.nodes).name
        peer = self.node(control)
        if peer is node:
            return
        if max(node.partitioned_until, peer.partitioned_until) > self.now:
            node.core.on_unreachable(control, now)
            return
        peer_now = self.now + peer.clock_skew
        reply = peer.core.on_offer(node.core.offer(), peer_now)
        self.apply_received(peer)
        if self.random.random() < 0.05:
            return
        transfer = node.core.on_offer_reply(reply, now)
        if transfer is not None and self.random.random() > 0.05:
            node.core.on_records(peer.core.on_transfer(transfer, peer_now), now)
        self.apply_received(peer)
        self.apply_received(node)
        self.fetch_blobs(node, peer)

    def apply_received(self, node: Node) -> None:
        """Pass the indexes that a node received by gossip to its configuration."""
        for record in node.core.take_received():
            if record.kind is RecordKind.CONFIG:
                index = msgspec.json.decode(record.payload, type=ConfigIndex)
                node.config.offer_index(index)
        self.advertise_config(node)

    def fetch_blobs(self, node: Node, peer: Node) -> None:
        found = [peer.config.blob(digest) for digest in node.config.missing]
        node.config.offer_blobs([blob for blob in found if blob is not None])
        self.advertise_config(node)

    def advertise_config(self, node: Node) -> None:
        generation = node.config.generation
        self.monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            generation >= node.highest_generation,
            f"{node.name} runs {generation} after {node.highest_generation}",
        )
        if generation > node.highest_generation:
            node.highest_generation = generation
            payload = msgspec.json.encode(node.config.index)
            node.core.put_config(generation, payload)

    def watch(self, name: str) -> None:
        self.call_later(self.random.uniform(0.2, 2.0), lambda: self.watch(name))
        node = self.node(name)
        preceding = node.core.preceding_watchers()
        is_covered = any(
            self.node(n.control).partitioned_until <= self.now for n in preceding
        )
        if is_covered or self.is_down():
            return
        _, index = self.previous_index if self.random.random() < 0.05 else self.index
        node.config.offer_index(index)
        node.config.offer_blobs([self.blobs[each] for each in node.config.missing])
        self.advertise_config(node)

    # Operators.

    def start_publish(self) -> None:
        self.call_later(self.random.expovariate(0.5), self.start_publish)
        index = self.index[1]
        names = self.random.sample(range(SERVICE_COUNT), self.random.randint(1, 2))
        edits = []
        for number in names:
            service = self._service(f"s{number}")
            blob = encode_service(service)
            self.blobs[blob_digest(blob)] = blob
            present = index.services.get(service.service)
            base = present.revision if present else 0
            edits.append(Edit(service.service, base, blob_digest(blob)))
        publish = PublishAttempts(f"p{next(self.publish_numbers)}", edits)
        self.call_later(
            self.random.uniform(0.0, 0.3), lambda: self.attempt_publish(publish)
        )

    def _service(self, name: str) -> Service:
        slots = self.random.randint(1, 10**6)
        endpoint = Endpoint("e", "127.0.0.1:1", "dc", slots)
        customer = Customer("c", 1.0, "0" * 64)
        return Service(name, ServiceKind.PLAIN, [customer], endpoints=[endpoint])

    def attempt_publish(self, publish: PublishAttempts) -> None:
        """Make one attempt; others can write between its read and its write."""
        publish.count += 1
        if self.is_down() or publish.count > 10:
            self.retry(publish)
            return
        revision, index = self.index
        delay = self.random.uniform(0.001, 0.2)
        self.call_later(delay, lambda: self.compare_and_swap(publish, revision, index))

    def compare_and_swap(
        self, publish: PublishAttempts, revision: int, index: ConfigIndex
    ) -> None:
        merged = merge(index, publish.edits, publish.publish_id, "op", self.now)
        if merged.stale:
            self.truth.outcomes["stale"] += 1
            return
        if merged.index is None:
            self.record_accepted(publish, index)
            return
        roll = self.random.random()
        if self.is_down() or roll < 0.1:
            self.retry(publish)
            return
        if self.index[0] != revision:
            self.retry(publish)
            return
        self.previous_index = self.index
        self.index = (revision + 1, merged.index)
        if roll < 0.3:
            self.retry(publish)
            return
        self.record_accepted(publish, merged.index)

    def retry(self, publish: PublishAttempts) -> None:
        if publish.count > 10:
            self.truth.outcomes["unknown"] += 1
            return
        self.call_later(
            self.random.uniform(0.05, 0.5), lambda: self.attempt_publish(publish)
        )

    def record_accepted(self, publish: PublishAttempts, index: ConfigIndex) -> None:
        self.truth.outcomes["accepted"] += 1
        self.truth.accepted[publish.publish_id] = publish.edits
        self.monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            index.has_publish(publish.publish_id),
            f"{publish.publish_id} was accepted but is not in the index",
        )
        for edit in publish.edits:
            entry = self.index[1].services.get(edit.service)
            revision = entry.revision if entry else 0
            self.monitor.check(
                Invariant.CONFIG_NEVER_REVERTS,
                revision > edit.base,
                f"{edit.service} is at {revision} after base {edit.base}",
            )

    def is_down(self) -> bool:
        return self.now < self.down_until

    # Faults.

    def inject_faults(self) -> None:
        self.call_later(1.0, self.inject_faults)
        if self.random.random() < 0.02:
            self.down_until = self.now + self.random.uniform(1.0, 30.0)
        for number, node in enumerate(self.nodes):
            if self.random.random() < 0.01:
                self.nodes[number] = self._start_node(number)
            if self.random.random() < 0.01:
                node.partitioned_until = self.now + self.random.uniform(1.0, 60.0)
        if self.random.random() < 0.01:
            until = self.now + self.random.uniform(5.0, 60.0)
            for node in self.nodes:
                if node.core.info.data_centre == "dc-0":
                    node.partitioned_until = until


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=100_000)
    options = parser.parse_args()
    soak = ConfigSoak(options.seed)
    print(f"seed {options.seed}, {options.steps} steps")
    soak.run(options.steps)
    soak.check_convergence()
    print(f"publishes: {dict(soak.truth.outcomes)}")
    print(f"generation {soak.index[1].generation}, {soak.now - START_TIME:.0f} s")
    print("0 breaches")


if __name__ == "__main__":
    main()
