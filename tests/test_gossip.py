"""Gossip: spreading of records, suspicion and refutation, and choice of watchers."""

from random import Random

from cyclamenyoke.core.gossip import (
    INITIAL_SUSPICION_TIME,
    SUSPICION_LIFETIME,
    WATCHERS_PER_DATA_CENTRE,
    GossipCore,
    NodeInfo,
)

NOW = 1000.0


def make_nodes(count: int, data_centres: int = 1) -> list[GossipCore]:
    nodes = []
    for number in range(count):
        data_centre = f"dc-{number % data_centres}"
        info = NodeInfo("agent", data_centre, f"n{number}", "", "", False)
        nodes.append(GossipCore(f"n{number}", 1, info, Random(number), NOW))
    exchange_all(nodes)
    return nodes


def exchange(first: GossipCore, second: GossipCore, now: float = NOW) -> None:
    transfer = first.on_offer_reply(second.on_offer(first.offer(), now), now)
    if transfer is not None:
        first.on_records(second.on_transfer(transfer, now), now)


def exchange_all(nodes: list[GossipCore], now: float = NOW) -> None:
    for _ in range(3):
        for node in nodes:
            for other in nodes:
                if node is not other:
                    exchange(node, other, now)


def test_unreachable_node_is_suspected_throughout_its_data_centre():
    nodes = make_nodes(4)
    nodes[0].on_unreachable("n3", NOW)
    exchange_all(nodes[:3])
    assert all(node.is_suspected("n3", NOW + 1.0) for node in nodes[:3])
    later = NOW + SUSPICION_LIFETIME + 1.0
    assert not any(node.is_suspected("n3", later) for node in nodes[:3])


def test_suspicion_of_a_node_in_another_data_centre_is_not_shared():
    nodes = make_nodes(4, data_centres=2)
    nodes[0].on_unreachable("n3", NOW)
    exchange_all(nodes[:3])
    assert nodes[0].is_suspected("n3", NOW + 1.0)
    assert not nodes[1].is_suspected("n3", NOW + 1.0)


def test_live_node_refutes_a_suspicion():
    nodes = make_nodes(4)
    nodes[0].on_unreachable("n3", NOW)
    exchange_all(nodes)
    later = NOW + INITIAL_SUSPICION_TIME + 1.0
    assert not any(node.is_suspected("n3", later) for node in nodes)


def test_restarted_node_overrides_its_earlier_incarnation():
    nodes = make_nodes(3)
    info = NodeInfo("agent", "dc-0", "n2", "", "", False)
    earlier = nodes[2]
    earlier.announce(info, NOW)
    restarted = GossipCore("n2", 0, info, Random(1), NOW)
    exchange(restarted, nodes[0])
    exchange_all([restarted, *nodes[:2]])
    assert {node.nodes["n2"].is_draining for node in nodes[:2]} == {False}


def test_further_nodes_watch_only_when_preceding_watchers_are_unreachable():
    nodes = make_nodes(6)
    first = [node for node in nodes if not node.preceding_watchers()]
    assert len(first) == WATCHERS_PER_DATA_CENTRE
    names = {node.name for node in first}
    second = [
        node
        for node in nodes
        if {n.control for n in node.preceding_watchers()} == names
    ]
    assert len(second) == WATCHERS_PER_DATA_CENTRE
