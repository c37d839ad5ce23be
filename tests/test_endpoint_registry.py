"""The endpoint registry of a gateway, load balancing and updates from peers."""

from random import Random

import pytest

from cyclamenyoke.adapters.peer_transport import MessageAuthenticator, UnknownKey
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import (
    REREGISTRATION_GRACE,
    Endpoint,
    EndpointRegistry,
)
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.peers import Peers, PeerUpdate
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.exceptions import AuthenticationError, InvariantViolation

NOW = 100.0


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def endpoint(id_: str, is_draining: bool = False, started_at: int = 1) -> Endpoint:
    return Endpoint(id_, "llm", "127.0.0.1:1", "dc", 6, is_draining, started_at)


def registry_of(*ids: str) -> EndpointRegistry:
    registry = EndpointRegistry()
    registry.apply_list([endpoint(id_) for id_ in ids], at(10), NOW, NOW)
    return registry


def usable(registry: EndpointRegistry) -> list[str]:
    return [each.id for each in registry.usable("llm")]


def test_draining_and_missing_endpoints_get_no_new_requests():
    registry = registry_of("a", "b", "c")
    draining = endpoint("b", is_draining=True)
    registry.apply_list([endpoint("a"), draining], at(11), NOW + 1, NOW + 1)
    assert usable(registry) == ["a"]
    assert set(registry.endpoints) == {"a", "b"}


def test_endpoint_missing_after_an_outage_is_kept_for_the_reregistration_grace():
    registry = registry_of("a", "b")
    registry.on_list_failed(NOW + 5)
    registry.apply_list([endpoint("a")], at(11), NOW + 5.1, NOW + 5.1)
    assert usable(registry) == ["a", "b"]
    after = NOW + 5 + REREGISTRATION_GRACE
    registry.apply_list([endpoint("a")], at(12), after, after)
    assert usable(registry) == ["a"]


def test_older_list_is_ignored():
    registry = registry_of("a")
    assert registry.apply_list([endpoint("b")], at(9), NOW + 1, NOW + 1) == []
    assert usable(registry) == ["a"]


def test_last_state_of_an_endpoint_that_changed_twice_applies():
    reader, other = registry_of("a"), registry_of("a")
    joined = [endpoint("a"), endpoint("b")]
    drained = [endpoint("a"), endpoint("b", is_draining=True)]
    reader.apply_list(joined, at(11), NOW + 1, NOW + 1)
    reader.apply_list(drained, at(12), NOW + 2, NOW + 2)
    other.apply_list(drained, at(12), NOW + 2, NOW + 2)
    reader.apply_list([*drained, endpoint("c")], at(13), NOW + 2.5, NOW + 2.5)
    changes = reader.recent_changes(NOW + 2.5)
    assert other.apply_update(changes, reader.digest, at(13), NOW + 2.5, NOW + 2.5)
    assert usable(other) == ["a", "c"]


def test_changes_that_do_not_match_the_digest_are_ignored():
    reader, other = registry_of("a"), registry_of("a", "b")
    draining = endpoint("b", is_draining=True)
    other.apply_list([endpoint("a"), draining], at(11), NOW + 1, NOW + 1)
    reader.apply_list(
        [endpoint("a"), endpoint("b"), endpoint("c")], at(12), NOW, NOW + 1
    )
    changes = reader.recent_changes(NOW + 1)[-1:]
    assert not other.apply_update(changes, b"different", at(12), NOW + 1, NOW + 1)
    assert usable(other) == ["a"]
    assert other.position == at(11)


def test_changes_and_digest_bring_a_peer_to_the_same_list():
    reader, other = registry_of("a", "b"), registry_of("a", "b")
    reader.apply_list([endpoint("a"), endpoint("c")], at(11), NOW + 1, NOW + 1)
    changes = reader.recent_changes(NOW + 1)
    assert other.apply_update(changes, reader.digest, at(11), NOW + 1, NOW + 1)
    assert usable(other) == ["a", "c"]
    assert other.read_at == NOW + 1


def test_peer_that_missed_changes_must_read_the_list():
    reader, other = registry_of("a", "b"), registry_of("a")
    reader.apply_list([endpoint("a"), endpoint("c")], at(11), NOW + 1, NOW + 1)
    assert not other.apply_update([], reader.digest, at(11), NOW + 1, NOW + 1)
    assert other.read_at == NOW


def test_repeated_old_list_does_not_become_newer_than_the_readers_list():
    """Gossip of an old list must not move its read time forward.

    Each hop would add its transit time to the read time, so that an old list that
    nodes pass on to each other could be taken for newer than the list of a node that
    reads the store.
    """
    reader, first, second = (
        registry_of("a", "b"),
        registry_of("a", "b"),
        registry_of("a", "b"),
    )
    for hop in range(1, 50):
        sent_at = NOW + hop * 0.03
        first.apply_update([], second.digest, second.position, sent_at, sent_at)
        second.apply_update(
            [], first.digest, first.position, sent_at + 0.02, sent_at + 0.02
        )
    assert first.read_at == second.read_at == NOW
    draining = endpoint("b", is_draining=True)
    reader.apply_list([endpoint("a"), draining], at(11), NOW + 0.5, NOW + 0.5)
    changes = reader.recent_changes(NOW + 0.5)
    assert first.apply_update(changes, reader.digest, at(11), NOW + 0.5, NOW + 2)
    assert usable(first) == ["a"]


def test_read_time_of_an_unchanged_list_comes_only_from_a_direct_reader():
    first = registry_of("a")
    assert first.apply_update([], first.digest, at(10), NOW + 1, NOW + 1)
    assert first.read_at == NOW
    assert first.apply_update(
        [], first.digest, at(10), NOW + 1, NOW + 1, is_read_directly=True
    )
    assert first.read_at == NOW + 1


def no_limits(registry: EndpointRegistry) -> EngineLimits:
    return EngineLimits("10.0.0.1", lambda now: (), registry.usable)


def balancer_of(*ids: str) -> Balancer:
    registry = registry_of(*ids)
    return Balancer(registry, "dc", Random(1), no_limits(registry))


def choose(balancer: Balancer, now: float = NOW, limit: int = 6) -> str | None:
    chosen = balancer.choose("llm", frozenset(), now, lambda each: limit)
    if chosen is not None:
        balancer.on_sent(chosen.id)
    return chosen.id if chosen else None


def test_requests_spread_over_all_endpoints_up_to_the_limit():
    balancer = balancer_of("a", "b", "c")
    chosen = [choose(balancer, limit=2) for _ in range(7)]
    assert sorted(chosen[:6]) == ["a", "a", "b", "b", "c", "c"]
    assert chosen[6] is None


def test_load_sums_follow_peer_updates_and_expire_with_silent_peers():
    registry = EndpointRegistry()
    balancer = Balancer(registry, "dc", Random(1), no_limits(registry))
    balancer.count_customer("llm", "a", 1)
    balancer.on_peer_load("p1", {"e1": 2}, (), NOW, (), {"llm": {"a": 2}})
    balancer.on_peer_load("p2", {"e1": 1, "e2": 1}, (), NOW, (), {"llm": {"b": 2}})
    assert (balancer.load_by_id("e1"), balancer.load_by_id("e2")) == (3, 1)
    assert balancer.customers("llm") == {"a": 3, "b": 2}
    balancer.on_peer_load("p1", {"e2": 1}, (), NOW + 1, (), {"llm": {"b": 1}})
    assert (balancer.load_by_id("e1"), balancer.load_by_id("e2")) == (1, 2)
    assert balancer.customers("llm") == {"a": 1, "b": 3}
    balancer.choose("llm", frozenset(), NOW + 2.5, lambda endpoint: 1)
    assert (balancer.load_by_id("e1"), balancer.load_by_id("e2")) == (0, 1)
    assert balancer.customers("llm") == {"a": 1, "b": 1}


def test_requests_of_peers_count_as_load():
    balancer = balancer_of("a", "b")
    balancer.on_peer_load("p", {"a": 5}, [], NOW)
    assert [choose(balancer) for _ in range(5)] == ["b"] * 5


def test_failing_endpoint_is_skipped_and_probed_later():
    balancer = balancer_of("a", "b", "c")
    for _ in range(3):
        balancer.on_failure("a", NOW)
    assert "a" not in [choose(balancer) for _ in range(6)]
    later = [choose(balancer, NOW + 10) for _ in range(4)]
    assert later.count("a") == 1


def test_circuit_breakers_never_leave_all_load_to_few_endpoints():
    """Under overload, endpoints respond too late, so that all of them look faulty."""
    balancer = balancer_of("a", "b", "c", "d")
    for id_ in "abc":
        balancer.on_failure(id_, NOW, is_certain=True)
    chosen = {choose(balancer) for _ in range(8)}
    assert chosen == {"a", "b", "c", "d"}


def test_suspicion_needs_two_peers():
    balancer = balancer_of("a", "b", "c")
    for node in ("p", "q", "r"):
        balancer.on_peer_load(node, {}, ["a"] if node == "p" else [], NOW)
    assert "a" in {choose(balancer) for _ in range(3)}
    balancer.on_peer_load("q", {}, ["a"], NOW)
    assert "a" not in {choose(balancer) for _ in range(6)}


def update(ip: str, sequence: int = 1, **changes) -> PeerUpdate:
    fields = {
        "ip": ip,
        "incarnation": 1,
        "sequence": sequence,
        "data_centre": "dc",
        "caller_address": f"{ip}:80",
        "is_ready": True,
        "is_draining": False,
        "reads_store": True,
        "config_version": 1,
        "list_age": 0.1,
        "list_position": at(10),
        "is_list_read_directly": False,
        "list_digest": b"",
        "changes": (),
        "requests": {},
        "customers": {},
        "queued": {},
        "suspects": (),
        "broken": (),
        "leaving": (),
        "evidence": (),
        "limits": (),
    }
    return PeerUpdate(**{**fields, **changes})


def test_first_live_node_that_reaches_the_store_reads_the_list_for_all():
    peers = Peers("10.0.0.2")
    assert peers.is_list_reader(NOW, True)
    peers.on_update(update("10.0.0.1"), NOW)
    assert not peers.is_list_reader(NOW, True)
    assert peers.is_list_reader(NOW + 2, True)
    peers.on_update(update("10.0.0.1", 2, reads_store=False), NOW)
    assert peers.is_list_reader(NOW, True)
    assert not peers.is_list_reader(NOW, False)


def test_old_and_duplicate_updates_are_ignored():
    peers = Peers("10.0.0.2")
    assert peers.on_update(update("10.0.0.1", 2), NOW)
    assert not peers.on_update(update("10.0.0.1", 2), NOW)
    assert not peers.on_update(update("10.0.0.1", 1), NOW)
    assert peers.on_update(update("10.0.0.1", 1, incarnation=2), NOW)


def test_nodes_that_reach_the_store_rank_first_as_reader():
    peers = Peers("10.0.0.3")
    peers.on_update(update("10.0.0.1", reads_store=False), NOW)
    peers.on_update(update("10.0.0.2"), NOW)
    peers.on_update(update("10.0.0.4"), NOW)
    assert peers.rank(NOW, True) == 1
    assert peers.rank(NOW, False) == 2
    for ip in ("10.0.0.2", "10.0.0.4"):
        peers.on_update(update(ip, 2, reads_store=False), NOW)
    assert peers.rank(NOW, True) == 0
    # If no node reaches the store, all rank by address.
    assert peers.rank(NOW, False) == 2
    assert peers.rank(NOW + 5, False) == 0


def test_node_restarted_after_its_clock_went_back_is_accepted():
    peers = Peers("10.0.0.2")
    assert peers.on_update(update("10.0.0.1", 9, incarnation=7), NOW)
    assert not peers.on_update(update("10.0.0.1", 1, incarnation=5), NOW + 0.1)
    assert peers.on_update(update("10.0.0.1", 2, incarnation=5), NOW + 0.6)
    assert peers.on_update(update("10.0.0.1", 3, incarnation=5), NOW + 0.7)


def test_draining_and_silent_nodes_are_not_in_the_directory():
    peers = Peers("10.0.0.9")
    for number in range(1, 5):
        peers.on_update(update(f"10.0.0.{number}"), NOW)
    peers.on_update(update("10.0.0.1", 2, is_draining=True), NOW + 0.5)
    for number in (2, 3):
        peers.on_update(update(f"10.0.0.{number}", 2), NOW + 1.5)
    assert peers.addresses(NOW + 1.5) == ["10.0.0.2:80", "10.0.0.3:80"]


def test_isolated_node_keeps_returning_the_last_known_addresses():
    peers = Peers("10.0.0.9")
    for number in range(1, 4):
        peers.on_update(update(f"10.0.0.{number}"), NOW)
    assert len(peers.addresses(NOW + 5)) == 3


def test_broken_group_gets_no_requests_even_if_it_is_half_of_the_service():
    """Unlike suspicions, reports of endpoints themselves may exclude a whole group."""
    balancer = balancer_of("a", "b", "c", "d")
    balancer.on_broken("a", NOW)
    balancer.on_peer_load("p", {}, [], NOW, ["b"])
    assert {choose(balancer) for _ in range(6)} == {"c", "d"}
    balancer.on_peer_load("p", {}, [], NOW + 1, [])
    assert "a" in {choose(balancer, NOW + 1.1) for _ in range(6)}


def test_service_with_all_endpoints_broken_still_gets_requests():
    balancer = balancer_of("a", "b")
    balancer.on_broken("a", NOW)
    balancer.on_broken("b", NOW)
    assert choose(balancer) is not None


def test_draining_node_is_not_the_list_reader():
    peers = Peers("10.0.0.2")
    peers.on_update(update("10.0.0.1", is_draining=True), NOW)
    assert peers.is_list_reader(NOW, True)
    peers.is_draining = True
    assert not peers.is_list_reader(NOW, True)


def test_messages_with_another_format_or_key_are_rejected():
    authenticator = MessageAuthenticator(b"key")
    data = authenticator.sign(update("10.0.0.1"))
    assert authenticator.verify(data, PeerUpdate) == update("10.0.0.1")
    for invalid in (
        b"\x00" + data[1:],
        data[:-1],
        MessageAuthenticator(b"other").sign(1),
        b"",
    ):
        with pytest.raises(AuthenticationError):
            authenticator.verify(invalid, PeerUpdate)


def test_list_of_a_restored_store_is_newer_than_any_of_an_earlier_era():
    registry = registry_of("a")
    registry.apply_list([endpoint("a"), endpoint("b")], at(4, era=2), NOW + 1, NOW + 1)
    assert usable(registry) == ["a", "b"]
    assert registry.apply_list([endpoint("c")], at(99), NOW + 2, NOW + 2) == []
    assert registry.position == at(4, era=2)


def test_update_of_a_restored_store_is_newer_than_any_of_an_earlier_era():
    reader, other = registry_of("a"), registry_of("a")
    reader.apply_list([endpoint("a"), endpoint("b")], at(4, era=2), NOW + 1, NOW + 1)
    changes = reader.recent_changes(NOW + 1)
    assert other.apply_update(changes, reader.digest, reader.position, NOW, NOW + 1)
    assert usable(other) == ["a", "b"]


def test_endpoint_that_a_restored_store_lost_is_kept_until_it_can_register_again():
    registry = registry_of("a", "b")
    registry.apply_list([endpoint("a")], at(4, era=2), NOW + 1, NOW + 1)
    assert usable(registry) == ["a", "b"]
    after = NOW + 1 + REREGISTRATION_GRACE
    registry.apply_list([endpoint("a")], at(5, era=2), after, after)
    assert usable(registry) == ["a"]


def test_endpoint_that_leaves_is_not_used_although_a_restored_store_lists_it_as_ready():
    registry = registry_of("a", "b")
    leaving = endpoint("b", is_draining=True)
    registry.apply_list([endpoint("a"), leaving], at(11), NOW + 1, NOW + 1)
    restored = [endpoint("a"), endpoint("b")]
    registry.apply_list(restored, at(4, era=2), NOW + 2, NOW + 2)
    assert usable(registry) == ["a"]
    assert registry.leaving == [("b", 1)]
    started_again = [endpoint("a"), endpoint("b", started_at=2)]
    registry.apply_list(started_again, at(5, era=2), NOW + 3, NOW + 3)
    assert usable(registry) == ["a", "b"]
    assert registry.leaving == []


def test_removed_endpoint_that_a_restored_store_lists_waits_until_its_entry_expired():
    registry = EndpointRegistry(registration_lifetime=3.0)
    registry.apply_list([endpoint("a"), endpoint("b")], at(10), NOW, NOW)
    registry.apply_list([endpoint("a")], at(11), NOW + 1, NOW + 1)
    restored = [endpoint("a"), endpoint("b")]
    registry.apply_list(restored, at(4, era=2), NOW + 2, NOW + 2)
    assert usable(registry) == ["a"]
    registry.apply_list(restored, at(5, era=2), NOW + 4.9, NOW + 4.9)
    assert usable(registry) == ["a"]
    registry.apply_list(restored, at(6, era=2), NOW + 5.1, NOW + 5.1)
    assert usable(registry) == ["a", "b"]


def test_endpoint_that_registers_again_without_a_restore_is_used_at_once():
    registry = registry_of("a", "b")
    registry.apply_list([endpoint("a")], at(11), NOW + 1, NOW + 1)
    registry.apply_list([endpoint("a"), endpoint("b")], at(12), NOW + 2, NOW + 2)
    assert usable(registry) == ["a", "b"]


def test_two_restores_in_a_row_do_not_bring_a_leaving_endpoint_back():
    registry = registry_of("a", "b")
    registry.mark_leaving("b", 1, NOW)
    for era in (2, 3):
        listed = [endpoint("a")] if era == 2 else [endpoint("a"), endpoint("b")]
        for step in range(4):
            now = NOW + era * 10 + step
            registry.apply_list(listed, at(4 + step, era), now, now)
    assert usable(registry) == ["a"]


def test_endpoint_that_states_that_it_leaves_is_left_out_at_once_and_told_to_peers():
    registry = registry_of("a", "b")
    assert registry.mark_leaving("b", 1, NOW)
    assert not registry.mark_leaving("b", 1, NOW + 1)
    assert usable(registry) == ["a"]
    assert registry.leaving == [("b", 1)]
    registry.apply_list([endpoint("a"), endpoint("b")], at(11), NOW + 1, NOW + 1)
    assert usable(registry) == ["a"]


def test_other_incarnation_of_an_endpoint_that_leaves_is_used():
    registry = registry_of("a")
    assert not registry.mark_leaving("a", 7, NOW)
    assert not registry.mark_leaving("unknown", 1, NOW)
    assert usable(registry) == ["a"]


def test_endpoint_that_asked_for_a_pause_gets_no_requests_until_its_end():
    balancer = balancer_of("a", "b")
    balancer.on_rest(endpoint("a"), 2.0, NOW)
    balancer.on_rest(endpoint("a"), 0.1, NOW)
    assert {choose(balancer, NOW + 1.9, limit=99) for _ in range(20)} == {"b"}
    assert "a" in {choose(balancer, NOW + 2, limit=99) for _ in range(20)}


def test_pause_ends_with_the_incarnation_that_asked_for_it():
    balancer = balancer_of("a")
    balancer.on_rest(endpoint("a", started_at=0), 2.0, NOW)
    assert choose(balancer) == "a"


def test_pause_holds_even_if_no_endpoint_is_left():
    balancer = balancer_of("a", "b")
    balancer.on_rest(endpoint("a"), 2.0, NOW)
    balancer.on_rest(endpoint("b"), 1.0, NOW)
    assert choose(balancer) is None
    assert balancer.available_at("llm", frozenset(), NOW) == NOW + 1
    assert balancer.available_at("llm", frozenset("b"), NOW) == NOW + 2
    assert balancer.available_at("llm", frozenset("ab"), NOW) is None


def test_sends_to_leaving_and_pausing_endpoints_violate_named_invariants():
    registry = registry_of("a")
    balancer = Balancer(registry, "dc", Random(1), no_limits(registry))
    monitor = RaisingMonitor()
    balancer.check_send(endpoint("a"), NOW, 2.0, monitor)
    registry.mark_leaving("a", 1, NOW)
    balancer.check_send(endpoint("a"), NOW + 2, 2.0, monitor)
    with pytest.raises(InvariantViolation, match="leaving_endpoint_spared"):
        balancer.check_send(endpoint("a"), NOW + 2.1, 2.0, monitor)
    balancer.on_rest(endpoint("a"), 5.0, NOW)
    with pytest.raises(InvariantViolation, match="resting_endpoint_spared"):
        balancer.check_send(endpoint("a"), NOW + 0.6, 2.0, monitor)


def test_messages_with_the_key_before_are_accepted_after_a_change():
    authenticator = MessageAuthenticator(b"key")
    data = authenticator.sign(update("10.0.0.1"))
    authenticator.change_key(b"new")
    assert authenticator.verify(data, PeerUpdate) == update("10.0.0.1")
    authenticator.change_key(b"newer")
    with pytest.raises(UnknownKey):
        authenticator.verify(data, PeerUpdate)
