"""Evacuated data centres: the order of states, restores, and gateways that follow."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.evacuation import ENDED, RESTORE_RETENTION, EvacuationState
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.membership import Membership
from cyclamenyoke.exceptions import InvariantViolation, PlatformUnavailable
from cyclamenyoke.standins.engine import Behaviour
from cyclamenyoke.standins.platform import Faults
from site_fixture import (
    SITE_BOUNDS,
    configuration,
    running_site,
    send_request,
)

NOW = 1000.0
KEY = "op/evacuate/dc-2"
EVACUATING = replace(SITE_BOUNDS, evacuation=5.0)


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def known(names=(), revision=10) -> EvacuationState:
    state = EvacuationState()
    state.apply(names, at(revision), NOW)
    return state


def test_earlier_and_equal_states_change_nothing():
    state = known(["dc-2"])
    state.apply([], at(9), NOW)
    state.apply([], at(10), NOW)
    assert list(state.active) == ["dc-2"]
    state.apply(["dc-3"], at(11), NOW + 1)
    assert {name: each.since for name, each in state.active.items()} == {"dc-3": 1001}


def test_unchanged_watch_moves_the_position_only_within_its_era():
    state = known(["dc-2"])
    state.advance(at(20))
    state.advance(at(30, era=2))
    assert (state.position, state.listed) == (at(20), ("dc-2",))


def test_evacuation_that_a_restored_store_lost_is_kept_for_a_minute():
    state = known(["dc-2"])
    state.apply([], at(3, era=2), NOW)
    state.apply([], at(4, era=2), NOW + 1)
    state.expire(NOW + RESTORE_RETENTION - 1)
    assert list(state.active) == ["dc-2"]
    state.expire(NOW + RESTORE_RETENTION)
    assert not state.active


def test_evacuation_that_was_written_again_after_a_restore_ends_with_its_key():
    state = known(["dc-2"])
    state.apply([], at(3, era=2), NOW)
    state.apply(["dc-2"], at(4, era=2), NOW)
    assert state.active["dc-2"].since == NOW
    state.apply([], at(5, era=2), NOW)
    assert not state.active


def test_evacuation_that_was_written_and_deleted_between_two_reads_ends():
    state = known(["dc-2"])
    state.apply([], at(3, era=2), NOW)
    state.settle(["dc-2"], era=1)
    assert state.active
    state.settle(["dc-2"], era=2)
    assert not state.active


def test_lost_evacuation_is_kept_by_nodes_that_learn_of_it_only_from_a_peer():
    """A node that started after the restore would send requests there."""
    keeping, started_later = known(["dc-2"]), EvacuationState()
    keeping.apply([], at(3, era=2), NOW)
    started_later.apply([], at(4, era=2), NOW + 10)
    started_later.apply_kept(keeping.kept(NOW + 10), keeping.position, NOW + 10)
    assert started_later.active["dc-2"].kept_until == NOW + RESTORE_RETENTION


def test_lost_evacuation_that_has_ended_is_not_taken_from_a_slower_peer():
    """Two nodes would otherwise renew it for each other."""
    first, second = known(["dc-2"]), known(["dc-2"])
    for state in (first, second):
        state.apply([], at(3, era=2), NOW)
    first.settle(["dc-2"], era=2)
    first.apply_kept(second.kept(NOW), second.position, NOW)
    assert not first.active
    assert first.kept(NOW) == {"dc-2": ENDED}
    second.apply_kept(first.kept(NOW), first.position, NOW)
    assert not second.active


def test_what_peers_keep_in_another_era_is_ignored():
    state = known()
    state.apply_kept({"dc-2": 50.0}, at(1, era=2), NOW)
    assert not state.active


def test_endpoints_of_an_evacuated_data_centre_are_not_usable_until_it_ends():
    registry = EndpointRegistry()
    endpoints = [Endpoint(f"i-{n}", "llm", "", f"dc-{n}", 6, False, 1) for n in (1, 2)]
    registry.apply_list(endpoints, at(1), NOW, NOW)
    limits = EngineLimits("ip", lambda now: [], registry.usable)
    balancer = Balancer(registry, "dc-1", Random(1), limits)
    registry.set_evacuated(["dc-2"])
    assert registry.usable("llm") == endpoints[:1]
    assert balancer.service_load("llm") == (0, 6)
    with pytest.raises(InvariantViolation, match="evacuated_endpoint_spared"):
        balancer.check_send(endpoints[1], NOW, 2.0, RaisingMonitor())
    registry.set_evacuated([])
    assert registry.usable("llm") == endpoints
    balancer.check_send(endpoints[1], NOW, 2.0, RaisingMonitor())


def running_evacuated_site(**options):
    """Run a site with engine 1 of each service in data centre ``dc-2``."""
    return running_site(bounds=EVACUATING, data_centres=("dc-1", "dc-2"), **options)


async def write_key(site, exists: bool = True) -> None:
    """Write the key that evacuates ``dc-2``, or delete it."""
    if exists:
        site.platform.put(KEY, b"{}")
    else:
        site.platform.remove(KEY)
    await site.notify_watches()


def received(site, service: str = "app") -> int:
    """Return the number of requests that reached the engine in ``dc-2``."""
    return len(site.engines[f"i-{service}-1"].state.received)


async def send_to_all(site) -> set[int]:
    """Send requests through each gateway at once; return the responses' statuses.

    One after the other they would all go to the gateways' own data centre.
    """
    nodes = [node for _, node, _ in site.gateways]
    sent = [site.get(node, "/lookup/a") for node in nodes for _ in range(6)]
    return {response.status for response in await asyncio.gather(*sent)}


async def is_spared(site) -> bool:
    before = received(site)
    assert await send_to_all(site) == {200}
    return received(site) == before


async def test_evacuated_data_centre_gets_no_requests_until_its_key_is_deleted():
    async with running_evacuated_site(gateways=5) as site:
        await asyncio.sleep(0.6)
        assert not await is_spared(site)
        await write_key(site)
        await asyncio.sleep(0.6)
        assert await is_spared(site)
        node = site.gateways[4][1]
        metrics_address = f"{node.ip}:{node.metrics_port}"
        metrics = await send_request(metrics_address, "GET", "/metrics", {"Host": "m"})
        assert b"cyclamenyoke_evacuated_data_centres 1\n" in metrics.body
        await write_key(site, exists=False)
        await asyncio.sleep(0.6)
        assert not await is_spared(site)
        assert not any(gateway._monitor.violations for gateway, _, _ in site.gateways)


async def test_three_nodes_watch_the_evacuations_for_all():
    async with running_evacuated_site(gateways=5) as site:
        await asyncio.sleep(1.5)
        before = site.platform.state.calls["range"]
        await write_key(site)
        await asyncio.sleep(0.4)
        # One list for each watcher, and the reader's reads of the endpoint list.
        assert site.platform.state.calls["range"] - before <= 3 + 2


async def test_store_is_not_asked_for_evacuations_without_a_bound():
    async with running_site(data_centres=("dc-1", "dc-2")) as site:
        gateway = site.gateways[0][0]
        site.platform.put(KEY, b"{}")
        assert not await is_spared(site)
        assert not gateway._evacuation.state.is_known
        assert not gateway._registry._evacuated


async def test_running_stream_goes_on_and_broken_one_is_not_resumed_there():
    async with running_evacuated_site() as site:
        gateway, node, _ = site.gateways[0]
        first, second = site.engines_of("llm")
        second.event_interval = 0.15
        first.script.append(Behaviour.REJECT)
        running = asyncio.create_task(site.post(node, "/stream/a"))
        await site.wait_until(lambda: second.state.executed)
        await write_key(site)
        await site.wait_until(lambda: gateway._evacuation.state.active)
        assert not running.done()
        assert (await running).is_complete
        first.script.append(Behaviour.TRUNCATE)
        assert not (await site.post(node, "/stream/a")).is_complete
        assert len(second.state.received) == 1


async def test_queued_request_is_rejected_at_once_if_no_endpoint_is_left():
    """It would otherwise wait for a slot until its place in the queue expires."""
    async with running_evacuated_site(engines=0) as site:
        site.publish(configuration(2))
        engine = await site.add_engine("app", "i-app-1", "dc-2")
        engine.script += [Behaviour.SILENT] * 12
        await asyncio.sleep(1.2)
        node = site.gateways[0][1]
        busy = [asyncio.create_task(site.get(node, "/lookup/a")) for _ in range(12)]
        await site.wait_until(lambda: len(engine.state.received) == 12)
        forwarder = site.gateways[0][0]._forwarder
        # Predicts a short wait, so that the request is queued.
        forwarder._admission._queue("app").duration = 0.5
        queued = asyncio.create_task(site.get(node, "/lookup/a"))
        await site.wait_until(lambda: forwarder.queued)
        await write_key(site)
        response = await asyncio.wait_for(queued, 0.15)
        assert (response.status, len(engine.state.received)) == (503, 12)
        await asyncio.gather(*busy)


async def test_request_admitted_just_before_the_evacuation_is_not_sent_there():
    """The state may change between the decision and the turn that sends the request."""
    async with running_evacuated_site() as site:
        gateway, node, _ = site.gateways[0]
        decide = gateway._forwarder._find_endpoint
        admitted = []

        async def learn_after_decision(context, config):
            reservation = await decide(context, config)
            admitted.append(reservation.endpoint)
            gateway._registry.set_evacuated([admitted[0].data_centre])
            return reservation

        gateway._forwarder._find_endpoint = learn_after_decision
        assert (await site.get(node, "/lookup/a")).status == 200
        assert [each.data_centre for each in admitted] == ["dc-1", "dc-2"]
        assert len(site.engines["i-app-0"].state.received) == 0
        assert not gateway._balancer.own_requests


async def test_gateway_that_the_store_refuses_learns_from_its_peer():
    async with running_evacuated_site(gateways=2) as site:
        await asyncio.sleep(0.6)
        refused = site.gateways[1][0]
        await refused._store.close()
        refused._store._address = "127.0.0.1:1"
        await write_key(site)
        await asyncio.sleep(0.6)
        assert await is_spared(site)
        await write_key(site, exists=False)
        await asyncio.sleep(0.6)
        assert not await is_spared(site)


async def set_faults(site, **faults) -> None:
    site.platform.state.faults = Faults(**faults)
    await site.notify_watches()


async def test_evacuation_is_in_force_while_the_store_is_down():
    """Also if the store fails between the event of the watch and the list."""
    async with running_evacuated_site(gateways=2) as site:
        await asyncio.sleep(0.6)
        page = site.platform._page
        site.platform._page = None
        await write_key(site)
        await asyncio.sleep(0.6)
        site.platform._page = page
        await set_faults(site, down=True)
        await asyncio.sleep(1.5)
        assert await is_spared(site)


async def test_gateway_that_starts_while_the_store_is_down_learns_from_its_peer(
    monkeypatch,
):
    async with running_evacuated_site() as site:
        first, first_node, _ = site.gateways[0]
        await write_key(site)
        await site.wait_until(lambda: first._evacuation.state.active)
        await site.wait_until(lambda: first._membership._authenticator)
        key = first._membership._authenticator.key
        await set_faults(site, down=True)

        async def load_key(self):
            return key

        # Without the key of the store, a node can't hear its peers.
        monkeypatch.setattr(Membership, "_load_key", load_key)
        node = await site.add_gateway(wait_until_ready=False)
        new = site.gateways[1][0]
        new._peers.add_candidates([first_node.ip], new._clock.now())
        await site.wait_until(lambda: site.is_ready(node), 3.0)
        assert new._evacuation.state.listed == ("dc-2",)
        assert await is_spared(site)


async def test_node_that_could_not_read_the_evacuations_rejects_requests():
    """Requests might reach an evacuated data centre."""
    async with running_evacuated_site(gateways=0) as site:
        page, fails = site.platform._page, [True]

        def fail_for_evacuations(prefix, after):
            if fails[0] and prefix == "op/evacuate/":
                raise RuntimeError("injected fault")
            return page(prefix, after)

        site.platform._page = fail_for_evacuations
        node = await site.add_gateway(wait_until_ready=False)
        await asyncio.sleep(0.6)
        response = await site.get(node, "/lookup/a")
        assert (response.status, await site.is_ready(node)) == (503, False)
        fails[0] = False
        await site.wait_until(lambda: site.is_ready(node), 2.0)
        assert (await site.get(node, "/lookup/a")).status == 200


async def restore_store(site) -> None:
    """Bring the store back from its last copy after a moment's outage."""
    await set_faults(site, down=True)
    await asyncio.sleep(0.3)
    site.platform.restore()
    await set_faults(site)


async def test_evacuation_that_the_restored_store_lost_stays_in_force():
    async with running_evacuated_site(gateways=2) as site:
        site.platform.back_up()
        await write_key(site)
        await asyncio.sleep(0.6)
        await restore_store(site)
        await asyncio.sleep(1.2)
        assert await is_spared(site)
        # A node that starts after the restore keeps to it as well.
        await site.add_gateway()
        await asyncio.sleep(0.6)
        assert await is_spared(site)
        # Both changes are over before a node can list the key.
        site.platform.put(KEY, b"{}")
        await write_key(site, exists=False)
        await asyncio.sleep(0.6)
        assert not await is_spared(site)


async def test_changes_that_the_store_has_compacted_are_listed():
    async with running_evacuated_site() as site:
        gateway = site.gateways[0][0]
        await asyncio.sleep(0.3)
        site.platform.put(KEY, b"{}")
        site.platform.state.history.clear()
        site.platform.state.compacted_revision = site.platform.state.revision
        await site.notify_watches()
        await site.wait_until(lambda: gateway._evacuation.state.active, 1.5)


async def test_watch_of_a_hung_store_connection_is_given_up_and_listed_anew(
    monkeypatch,
):
    async with running_evacuated_site() as site:
        gateway = site.gateways[0][0]
        watch = gateway._store.watch_prefix
        hung = []

        async def hang(prefix, after, deadline):
            if hung:
                return await watch(prefix, after, deadline)
            hung.append(True)
            await asyncio.sleep(deadline - gateway._clock.now())
            raise PlatformUnavailable("no response")

        monkeypatch.setattr(gateway._store, "watch_prefix", hang)
        await site.wait_until(lambda: hung, 2.0)
        await write_key(site)
        await site.wait_until(lambda: gateway._evacuation.state.active, 2.0)


async def test_reload_switches_evacuations_on_and_off_without_rejections():
    async with running_site(data_centres=("dc-1", "dc-2")) as site:
        gateway, node, _ = site.gateways[0]
        await write_key(site)
        node.bounds = EVACUATING
        assert await send_to_all(site) == {200}
        await site.wait_until(lambda: gateway._evacuation.state.active)
        assert await is_spared(site)
        node.bounds = SITE_BOUNDS
        # The watch that is running ends within a second.
        await site.wait_until(lambda: not gateway._evacuation.state.is_known)
        assert not await is_spared(site)
