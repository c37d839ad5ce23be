"""A denial takes a configuration that is known to be the newest one."""

import asyncio
from dataclasses import replace
from math import inf

from cyclamenyoke.core.config_confirmation import (
    CATCH_UP_TIME,
    MAX_TICK_GAP,
    NUMBER_LIFETIME,
    ConfigConfirmation,
    Evidence,
)
from cyclamenyoke.core.units import MEBIBYTE
from cyclamenyoke.ports.key_value_store import VersionedValue
from cyclamenyoke.standins.platform import Faults
from site_fixture import SITE_BOUNDS, configuration, free_port, route, running_site

BOUNDS = replace(SITE_BOUNDS, config_apply=0.4)
NEW_ROUTE = route("added", "safe", "app")


def evidence(number: int) -> Evidence:
    return Evidence("127.0.1.9", number)


def running(now: float, node: str = "127.0.1.1") -> ConfigConfirmation:
    """Return the state of a node that has just ticked."""
    confirmation = ConfigConfirmation(node, now - 1)
    confirmation.tick(now - 1)
    for tick in range(20):
        confirmation.tick(now - 1 + 0.05 * (tick + 1))
    return confirmation


def test_nothing_is_confirmed_at_the_start():
    confirmation = ConfigConfirmation("127.0.1.1", 100.0)
    assert confirmation.confirmed_at == -inf
    assert confirmation.age(100.0) == -1


def test_peers_message_counts_from_when_the_peer_knew():
    confirmation = running(100.0)
    confirmation.on_peer_message(evidence(5), 0.5, 100.01)
    assert abs(confirmation.age(100.01) - 0.51) < 1e-6


def test_knowledge_that_two_nodes_pass_to_and_fro_grows_old():
    ours, theirs = running(100.0), running(100.0, "127.0.1.2")
    ours.on_store_read(99.9)
    now = 100.0
    for _ in range(200):
        for sender, receiver in ((ours, theirs), (theirs, ours)):
            age, now = sender.age(now), now + 0.02
            receiver.tick(now)
            receiver.on_peer_message(sender.evidence, age, now)
    assert ours.confirmed_at == 99.9
    assert theirs.age(now) > 7.9


def test_messages_that_waited_for_a_frozen_process_confirm_nothing():
    confirmation = running(100.0)
    confirmation.on_peer_message(evidence(5), 0.0, 100.0 + MAX_TICK_GAP + 0.01)
    assert confirmation.confirmed_at == -inf
    confirmation.tick(103.5)
    confirmation.on_peer_message(evidence(5), 0.0, 103.5)
    assert confirmation.confirmed_at == -inf
    confirmation.tick(103.5 + CATCH_UP_TIME)
    confirmation.tick(103.6 + CATCH_UP_TIME)
    assert confirmation.confirmed_at == -inf
    now = 103.7 + 2 * CATCH_UP_TIME
    for tick in range(20):
        confirmation.tick(now - 1 + 0.05 * (tick + 1))
    confirmation.on_peer_message(evidence(6), 0.0, now)
    assert confirmation.age(now) < 0.1


def test_numbers_of_a_node_that_was_started_anew_are_taken_after_a_while():
    confirmation = running(100.0)
    confirmation.on_peer_message(evidence(500), 0.0, 100.0)
    confirmation.tick(110.0 - 2 * CATCH_UP_TIME)
    for tick in range(40):
        confirmation.tick(109.0 + 0.05 * tick)
    confirmation.on_peer_message(evidence(7), 0.0, 110.95)
    assert confirmation.confirmed_at == 100.0
    for tick in range(40):
        confirmation.tick(100 + NUMBER_LIFETIME - 1 + 0.05 * tick)
    confirmation.on_peer_message(evidence(8), 0.0, 100.96 + NUMBER_LIFETIME)
    assert confirmation.age(101 + NUMBER_LIFETIME) < 0.2


async def set_faults(site, **faults):
    site.platform.state.faults = Faults(**faults)
    await site.notify_watches()


async def test_node_that_cannot_reach_the_store_denies_nothing_for_certain():
    async with running_site(bounds=BOUNDS) as site:
        node = site.gateways[0][1]
        assert (await site.get(node, "/unknown/a")).status == 404
        assert (await site.get(node, "/lookup/a", key="other")).status == 401
        await set_faults(site, down=True)
        await site.wait_until(
            lambda: site.gateways[0][0]._cluster_state.config_age() > 0.5
        )
        for path, key in (("/unknown/a", "key-of-customer"), ("/lookup/a", "other")):
            response = await site.get(node, path, key=key)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
        assert (await site.get(node, "/lookup/a")).status == 200


async def test_route_that_was_added_while_a_node_could_not_read_the_store_is_served():
    async with running_site(bounds=BOUNDS) as site:
        gateway, node, _ = site.gateways[0]
        await set_faults(site, down=True)
        await site.wait_until(lambda: gateway._cluster_state.config_age() > 0.5)
        config = configuration(2)
        config["tenants"][0]["api_keys"].append("added-key")
        site.publish({**config, "routes": [*config["routes"], NEW_ROUTE]})
        site.platform.state.faults = Faults()
        assert gateway._cluster_state.config_version == 1
        assert (await site.get(node, "/added/a", key="added-key")).status == 200


async def test_node_without_the_store_denies_what_a_peer_knows_to_be_denied():
    async with running_site(gateways=2, bounds=BOUNDS) as site:
        gateway, node, _ = site.gateways[1]
        await site.wait_until(
            lambda: len(gateway._peers.live(gateway._clock.now())) == 1
        )
        gateway._store._address = f"127.0.0.1:{free_port('127.0.0.1')}"
        await site.wait_until(lambda: not gateway._cluster_state.reads_store)
        assert (await site.get(node, "/unknown/a")).status == 404
        site.gateways[0][2].cancel()
        await site.wait_until(lambda: gateway._cluster_state.config_age() > 0.5)
        assert (await site.get(node, "/unknown/a")).status == 503


async def test_denials_of_a_node_in_touch_cost_no_calls_of_the_store():
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        for _ in range(20):
            assert (await site.get(node, "/unknown/a")).status == 404
        assert gateway._metrics.counter("config_confirmations") == 0


async def test_configuration_that_cannot_be_read_denies_nothing_for_certain():
    async with running_site(bounds=BOUNDS) as site:
        gateway, node, _ = site.gateways[0]
        site.publish({**configuration(2), "routes": "none"})
        await site.notify_watches()
        await site.wait_until(lambda: gateway._cluster_state.config_age() > 0.5)
        assert (await site.get(node, "/unknown/a")).status == 503
        assert (await site.get(node, "/lookup/a")).status == 200


async def test_limits_that_a_node_only_assumes_deny_nothing_for_certain():
    async with running_site(gateways=0, config=False) as site:
        node = await site.add_gateway(wait_until_ready=False)
        await site.wait_until(lambda: site.gateways[0][0]._caller_server._server)
        response = await site.post(node, "/order/a", b"x" * (5 * MEBIBYTE))
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0


async def test_limits_of_an_outdated_version_deny_nothing_for_certain():
    async with running_site(bounds=BOUNDS) as site:
        gateway, node, _ = site.gateways[0]
        assert (await site.post(node, "/order/a", b"x" * 20_000)).status == 413
        padding = "x" * 6000
        assert (await site.get(node, "/lookup/a", padding=padding)).status == 431
        await set_faults(site, down=True)
        await site.wait_until(lambda: gateway._cluster_state.config_age() > 0.5)
        assert (await site.post(node, "/order/a", b"x" * 20_000)).status == 503
        assert (await site.get(node, "/lookup/a", padding=padding)).status == 503
        limits = {**configuration(2)["limits"], "max_body_bytes": 30_000}
        site.publish(configuration(2, limits=limits))
        site.platform.state.faults = Faults()
        await site.post(node, "/order/a", b"x" * 20_000)
        await site.wait_until(lambda: gateway._cluster_state.config_version == 2)
        assert (await site.post(node, "/order/a", b"x" * 20_000)).status == 200


async def test_started_node_denies_nothing_by_version_before_an_unreadable_one():
    async with running_site(bounds=BOUNDS) as site:
        gateway = site.gateways[0][0]
        site.publish({**configuration(2), "routes": "none"})
        await site.notify_watches()
        await site.wait_until(lambda: gateway._cluster_state.config_age() > 0.5)
        node = await site.add_gateway(wait_until_ready=False)
        state = site.gateways[1][0]._cluster_state
        await site.wait_until(lambda: state.config_version == 1)
        for _ in range(1200):
            await asyncio.sleep(0.01)
            if 0 <= state.config_age() < 0.2:
                break
        assert (await site.get(node, "/unknown/a")).status == 503


async def test_snapshot_of_an_older_version_does_not_make_it_the_newest():
    async with running_site(gateways=2, bounds=BOUNDS) as site:
        (first, node, _), (second, _, _) = site.gateways
        states = [each._cluster_state for each in (first, second)]
        await site.wait_until(lambda: states[1].config_version == 1)
        site.publish({**configuration(2), "routes": "none"})
        await site.notify_watches()
        for state in states:
            await site.wait_until(lambda s=state: s._invalid_config_at.revision > 0)
        await site.wait_until(lambda: states[0].config_age() > 0.5)
        await states[0]._fetch_config([second._settings.ip])
        await asyncio.sleep(0.6)
        assert (await site.get(node, "/unknown/a")).status == 503


async def test_empty_answer_of_a_watch_that_was_cut_and_came_late_confirms_no_more():
    async with running_site(bounds=BOUNDS) as site:
        state = site.gateways[0][0]._cluster_state
        excess = []
        looked_until = None

        async def watch(key, after, deadline):
            nonlocal looked_until
            if looked_until is not None:
                excess.append(state._confirmation.confirmed_at - looked_until)
            await asyncio.sleep(0.02)
            looked_until = state._clock.now()
            await asyncio.sleep(deadline - looked_until + 0.05)
            return VersionedValue(after.revision, None, after.era)

        state._store.watch = watch
        await site.wait_until(lambda: len(excess) > 1)
        assert max(excess) <= 0
