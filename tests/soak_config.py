"""A randomised run over configuration: publishers, exchanges, outages, partitions.

Drives the same cores as the daemons: :class:`GossipCore`, :class:`ConfigStore` and
``merge``. Operators race; compare-and-swap answers are lost before and after they
take effect; the platform is away or answers with an older value; nodes are cut
off, restart without memory, and run clocks that differ.
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

NODES = 12
SERVICES = 4
START = 1_000_000.0


@dataclass(slots=True)
class Node:
    """One daemon's part in exchanges.

    :param highest: the highest generation it has run since its start.
    """

    name: str
    skew: float
    core: GossipCore
    config: ConfigStore
    highest: int = 0
    cut_until: float = 0.0


@dataclass(slots=True)
class PublishTry:
    """One operator's publish in progress."""

    publish_id: str
    edits: list[Edit]
    tries: int = 0


@dataclass(slots=True)
class Truth:
    """What was accepted, kept outside all cores.

    :param accepted: the publishes that operators were told are accepted, with
        the blob of each service.
    """

    accepted: dict[str, list[Edit]] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)


class ConfigSoak:
    """The whole run."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = START
        self.monitor = RaisingMonitor()
        self.queue: list = []
        self.order = itertools.count()
        self.index = (0, ConfigIndex())
        self.previous = self.index
        self.blobs: dict[str, bytes] = {}
        self.down_until = 0.0
        self.truth = Truth()
        self.publishes = itertools.count()
        self.nodes = [self._start(number) for number in range(NODES)]
        for node in self.nodes:
            self.at(self.random.random(), lambda n=node.name: self.exchange(n))
            self.at(self.random.random(), lambda n=node.name: self.watch(n))
        self.at(0.5, self.operate)
        self.at(1.0, self.strike)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def settle(self) -> None:
        """End all faults, run on, and check that every node runs the newest."""
        self.strike = lambda: None  # type: ignore[method-assign]
        self.operate = lambda: None  # type: ignore[method-assign]
        self.down_until = 0.0
        for node in self.nodes:
            node.cut_until = 0.0
        self.run(NODES * 60)
        newest = self.index[1].generation
        for node in self.nodes:
            self.monitor.check(
                Invariant.CONFIG_NEVER_REVERTS,
                node.config.generation == newest,
                f"{node.name} runs {node.config.generation}, accepted is {newest}",
            )

    # Nodes.

    def _start(self, number: int) -> Node:
        name = f"n{number}"
        skew = self.random.uniform(-5.0, 5.0)
        info = NodeInfo("agent", f"dc-{number % 3}", name, "", "", False)
        now = self.now + skew
        core = GossipCore(name, int(now * 1e6), info, self.random, now)
        return Node(name, skew, core, ConfigStore(self.monitor))

    def node(self, name: str) -> Node:
        return next(node for node in self.nodes if node.name == name)

    def exchange(self, name: str) -> None:
        self.at(self.random.uniform(0.5, 1.5), lambda: self.exchange(name))
        node = self.node(name)
        now = self.now + node.skew
        node.core.tick(now)
        known = node.core.choose_peer(now)
        control = known.control if known else self.random.choice(self.nodes).name
        peer = self.node(control)
        if peer is node:
            return
        if max(node.cut_until, peer.cut_until) > self.now:
            node.core.on_unreachable(control, now)
            return
        peer_now = self.now + peer.skew
        answer = peer.core.on_offer(node.core.offer(), peer_now)
        self.absorb(peer)
        if self.random.random() < 0.05:
            return
        transfer = node.core.on_answer(answer, now)
        if transfer is not None and self.random.random() > 0.05:
            node.core.on_records(peer.core.on_transfer(transfer, peer_now), now)
        self.absorb(peer)
        self.absorb(node)
        self.fetch(node, peer)

    def absorb(self, node: Node) -> None:
        """Offer what a node has learned to its configuration."""
        for record in node.core.take_received():
            if record.kind is RecordKind.CONFIG:
                index = msgspec.json.decode(record.payload, type=ConfigIndex)
                node.config.offer_index(index)
        self.announce(node)

    def fetch(self, node: Node, peer: Node) -> None:
        found = [peer.config.blob(digest) for digest in node.config.missing]
        node.config.offer_blobs([blob for blob in found if blob is not None])
        self.announce(node)

    def announce(self, node: Node) -> None:
        generation = node.config.generation
        self.monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            generation >= node.highest,
            f"{node.name} runs {generation} after {node.highest}",
        )
        if generation > node.highest:
            node.highest = generation
            payload = msgspec.json.encode(node.config.index)
            node.core.put_config(generation, payload)

    def watch(self, name: str) -> None:
        self.at(self.random.uniform(0.2, 2.0), lambda: self.watch(name))
        node = self.node(name)
        before = node.core.preceding_watchers()
        others = any(self.node(n.control).cut_until <= self.now for n in before)
        if others or self.is_down():
            return
        _, index = self.previous if self.random.random() < 0.05 else self.index
        node.config.offer_index(index)
        node.config.offer_blobs([self.blobs[each] for each in node.config.missing])
        self.announce(node)

    # Operators.

    def operate(self) -> None:
        self.at(self.random.expovariate(0.5), self.operate)
        index = self.index[1]
        names = self.random.sample(range(SERVICES), self.random.randint(1, 2))
        edits = []
        for number in names:
            service = self._service(f"s{number}")
            blob = encode_service(service)
            self.blobs[blob_digest(blob)] = blob
            present = index.services.get(service.service)
            base = present.revision if present else 0
            edits.append(Edit(service.service, base, blob_digest(blob)))
        publish = PublishTry(f"p{next(self.publishes)}", edits)
        self.at(self.random.uniform(0.0, 0.3), lambda: self.publish_once(publish))

    def _service(self, name: str) -> Service:
        slots = self.random.randint(1, 10**6)
        endpoint = Endpoint("e", "127.0.0.1:1", "dc", slots)
        customer = Customer("c", 1.0, "0" * 64)
        return Service(name, ServiceKind.PLAIN, [customer], endpoints=[endpoint])

    def publish_once(self, publish: PublishTry) -> None:
        """Try once; the read and the swap are apart, so that others come between."""
        publish.tries += 1
        if self.is_down() or publish.tries > 10:
            self.retry(publish)
            return
        revision, index = self.index
        delay = self.random.uniform(0.001, 0.2)
        self.at(delay, lambda: self.swap(publish, revision, index))

    def swap(self, publish: PublishTry, revision: int, index: ConfigIndex) -> None:
        merged = merge(index, publish.edits, publish.publish_id, "op", self.now)
        if merged.stale:
            self.truth.outcomes["stale"] += 1
            return
        if merged.index is None:
            self.accept(publish, index)
            return
        roll = self.random.random()
        if self.is_down() or roll < 0.1:
            self.retry(publish)
            return
        if self.index[0] != revision:
            self.retry(publish)
            return
        self.previous = self.index
        self.index = (revision + 1, merged.index)
        if roll < 0.3:
            self.retry(publish)
            return
        self.accept(publish, merged.index)

    def retry(self, publish: PublishTry) -> None:
        if publish.tries > 10:
            self.truth.outcomes["unknown"] += 1
            return
        self.at(self.random.uniform(0.05, 0.5), lambda: self.publish_once(publish))

    def accept(self, publish: PublishTry, index: ConfigIndex) -> None:
        self.truth.outcomes["accepted"] += 1
        self.truth.accepted[publish.publish_id] = publish.edits
        self.monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            index.has_publish(publish.publish_id),
            f"{publish.publish_id} is accepted and not in the index",
        )
        for edit in publish.edits:
            entry = self.index[1].services[edit.service]
            self.monitor.check(
                Invariant.CONFIG_NEVER_REVERTS,
                entry.revision > edit.base,
                f"{edit.service} is at {entry.revision} after base {edit.base}",
            )

    def is_down(self) -> bool:
        return self.now < self.down_until

    # Faults.

    def strike(self) -> None:
        self.at(1.0, self.strike)
        if self.random.random() < 0.02:
            self.down_until = self.now + self.random.uniform(1.0, 30.0)
        for number, node in enumerate(self.nodes):
            if self.random.random() < 0.01:
                self.nodes[number] = self._start(number)
            if self.random.random() < 0.01:
                node.cut_until = self.now + self.random.uniform(1.0, 60.0)
        if self.random.random() < 0.01:
            until = self.now + self.random.uniform(5.0, 60.0)
            for node in self.nodes:
                if node.core.info.data_centre == "dc-0":
                    node.cut_until = until


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=100_000)
    options = parser.parse_args()
    soak = ConfigSoak(options.seed)
    print(f"seed {options.seed}, {options.steps} steps")
    soak.run(options.steps)
    soak.settle()
    print(f"publishes: {dict(soak.truth.outcomes)}")
    print(f"generation {soak.index[1].generation}, {soak.now - START:.0f} s")
    print("0 breaches")


if __name__ == "__main__":
    main()
