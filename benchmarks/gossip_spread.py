"""Gossip propagation: time and bytes by the number of nodes.

Runs the gossip core and its codec in one process, with the daemon's delays: on average
one exchange per second and 20 ms before a push, and 5 ms per message. Prints, for each
number of nodes, the time until every node has received one change, and the bytes that
a node sends per second without changes. Run with
``python benchmarks/gossip_spread.py``.
"""

import argparse
import heapq
import itertools
import time
from random import Random

import msgspec

from cyclamenyoke.core.gossip import GossipCore, NodeInfo, Record

SIZES = (20, 60, 120, 380, 980)
DATA_CENTRES = 10
MESSAGE_TIME = 0.005
"""Seconds that one message takes."""


def make_nodes(size: int, random: Random) -> dict[str, GossipCore]:
    """Return nodes that all know each other and have nothing left to push."""
    nodes = {}
    for number in range(size):
        name = f"node-{number}"
        info = NodeInfo(
            "agent",
            f"dc-{number % DATA_CENTRES}",
            name,
            "10.0.0.1:80",
            "10.0.0.1:81",
            False,
        )
        nodes[name] = GossipCore(name, 1, info, random, 0.0)
    records: list[Record] = []
    for node in nodes.values():
        records += node.offer().pushed
    for node in nodes.values():
        node._accept(records, 0.0)
        while node.has_pending_pushes:
            node.offer()
    return nodes


def size_of(message: object) -> int:
    return len(msgspec.msgpack.encode(message)) + 48


def propagate(size: int, seed: int, change) -> tuple[float, int]:
    """Return the seconds until all nodes have a change, and the bytes sent."""
    random = Random(seed)
    nodes = make_nodes(size, random)
    names = list(nodes)
    queue = [(random.random(), n, name) for n, name in enumerate(names)]
    heapq.heapify(queue)
    sequence = itertools.count(size)
    scheduled = {name: at for at, _, name in queue}
    start = nodes[names[0]]
    change(start)
    push = random.uniform(0.01, 0.03)
    heapq.heappush(queue, (push, next(sequence), names[0]))
    scheduled[names[0]] = push
    informed = {names[0]}
    sent = 0
    while len(informed) < size:
        now, _, name = heapq.heappop(queue)
        if scheduled[name] != now:
            continue
        node = nodes[name]
        peer = nodes[node.choose_peer(now).control]
        offer = node.offer()
        reply = peer.on_offer(offer, now)
        sent += size_of(offer) + size_of(reply)
        transfer = node.on_offer_reply(reply, now)
        if transfer is not None:
            records = peer.on_transfer(transfer, now)
            node.on_records(records, now)
            sent += size_of(transfer) + size_of(records)
        for each in (node, peer):
            if each.has_pending_pushes:
                informed.add(each.name)
                wait = random.uniform(0.01, 0.03) + 2 * MESSAGE_TIME
            else:
                wait = random.uniform(0.5, 1.5)
            if each is node or each.has_pending_pushes:
                scheduled[each.name] = now + wait
                heapq.heappush(queue, (now + wait, next(sequence), each.name))
    return now, sent


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=10)
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.runs} changes a size")

    def change(node: GossipCore) -> None:
        node.announce(msgspec.structs.replace(node.info, is_draining=True), 0.0)

    for size in SIZES:
        runs = max(2, options.runs * 60 // max(60, size))
        results = [propagate(size, options.seed + n, change) for n in range(runs)]
        times = sorted(seconds for seconds, _ in results)
        each = sum(sent for _, sent in results) / runs / size
        nodes = make_nodes(size, Random(options.seed))
        first, second = list(nodes.values())[:2]
        quiet = size_of(first.offer()) + size_of(second.on_offer(first.offer(), 0.0))
        started_at = time.process_time()
        for _ in range(200):
            first.on_offer_reply(second.on_offer(first.offer(), 0.0), 0.0)
        spent = (time.process_time() - started_at) / 200
        print(
            f"{size} nodes: everywhere after {times[len(times) // 2]:.2f} s (median),"
            f" {times[-1]:.2f} s (worst of {runs}); {each:.0f} bytes a node a change;"
            f" quiet: {2 * quiet} bytes/s a node, {spent * 1e6:.0f} us an exchange"
        )


if __name__ == "__main__":
    main()
