"""What a gateway makes of peers that fall silent, one by one or most of them."""

import asyncio
import json

import pytest

from cyclamenyoke.core.peers import MAX_SILENCE, PEER_LIFETIME, PEER_TIMEOUT, Peers
from cyclamenyoke.standins.platform import Faults
from site_fixture import HOST, caller_headers, running_site, send_request
from test_endpoint_registry import NOW, update

DIRECTORY_PATH = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"
NAMES = [f"10.0.0.{number}" for number in range(1, 6)]


def peers_of(*ips: str) -> Peers:
    """Return the peers of a node that has just heard of all of them."""
    peers = Peers("10.0.0.9")
    for ip in ips:
        peers.on_update(update(ip), NOW)
    return peers


def hear(peers: Peers, ips: list[str], now: float) -> None:
    for ip in ips:
        peers.on_update(update(ip, int(100 * (now - NOW))), now)


# Guards against a directory that names dead nodes because most nodes are dead.
def test_node_that_reaches_the_store_names_only_the_nodes_that_it_hears():
    peers = peers_of(*NAMES)
    hear(peers, NAMES[:1], NOW + 2)
    assert peers.are_most_silent(NOW + 2)
    peers.on_store_reached(NOW + 2)
    assert not peers.are_most_silent(NOW + 2)
    assert peers.addresses(NOW + 2) == ["10.0.0.1:80"]


def test_node_that_is_cut_off_names_all_that_it_knew():
    peers = peers_of(*NAMES)
    # The last call to the store succeeded before the others fell silent.
    peers.on_store_reached(NOW + 0.9 * PEER_TIMEOUT)
    assert peers.are_most_silent(NOW + 5)
    assert len(peers.addresses(NOW + 5)) == len(NAMES)


def test_node_that_is_cut_off_later_names_those_that_were_there_before():
    peers = peers_of(*NAMES)
    hear(peers, NAMES[:2], NOW + 2)
    peers.on_store_reached(NOW + 2)
    assert peers.are_most_silent(NOW + 9)
    assert sorted(peers.addresses(NOW + 9)) == ["10.0.0.1:80", "10.0.0.2:80"]


def test_node_that_is_heard_again_is_named_again():
    peers = peers_of(*NAMES)
    peers.on_store_reached(NOW + 5)
    assert peers.addresses(NOW + 5) == []
    hear(peers, NAMES, NOW + 6)
    assert len(peers.addresses(NOW + 6)) == len(NAMES)


# Guards against budgets that grow at a node which reaches the store, but few others.
def test_silent_nodes_share_bounds_until_their_registrations_have_expired():
    peers = peers_of(*NAMES)
    hear(peers, NAMES[:1], NOW + 10)
    peers.on_store_reached(NOW + 10)
    assert peers.sharing_count(NOW + 10) == 1 + len(NAMES)
    peers.on_registrations(NAMES, NOW + 10)
    assert peers.sharing_count(NOW + 10) == 1 + len(NAMES)
    peers.on_registrations(NAMES[:3], NOW + 10)
    assert sorted(peers.ips) == NAMES[:3]
    assert peers.sharing_count(NOW + 10) == 1 + 3
    peers.on_registrations(NAMES[:1], NOW + 10)
    assert peers.sharing_count(NOW + 10) == 1 + 1


# Guards against shares that stay small for long after most nodes have gone for good.
def test_registration_of_a_dead_node_counts_for_the_lifetime_of_a_peer_at_most():
    peers = peers_of(*NAMES)
    later = NOW + PEER_LIFETIME + 1
    hear(peers, NAMES[:1], later)
    peers.on_registrations(NAMES, later)
    # Listed still, so it gets updates; but it has no update any more.
    assert peers.sharing_count(later + MAX_SILENCE) == 2


def test_node_that_is_heard_is_kept_without_a_registration():
    peers = peers_of(*NAMES)
    peers.on_registrations([], NOW + 0.5 * MAX_SILENCE)
    assert sorted(peers.ips) == NAMES


async def named_by(settings) -> set[str]:
    response = await send_request(
        settings.directory, "GET", DIRECTORY_PATH, {"Host": "d"}
    )
    return set(json.loads(response.body)["addresses"])


async def kill(site, count: int) -> None:
    """End the last gateways without a shutdown."""
    tasks = [task for _, _, task in site.gateways[-count:]]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("survivors", [1, 2])
async def test_directory_names_no_dead_gateway_after_the_loss_of_most(survivors):
    async with running_site(gateways=5) as site:
        await asyncio.sleep(1.0)
        addresses = [settings.callers for _, settings, _ in site.gateways]
        settings = site.gateways[0][1]
        assert await named_by(settings) == set(addresses)
        await kill(site, 5 - survivors)
        await asyncio.sleep(3.0)
        for _, each, _ in site.gateways[:survivors]:
            assert await named_by(each) == set(addresses[:survivors])


async def test_directory_names_all_gateways_while_it_is_cut_off():
    async with running_site(gateways=4) as site:
        await asyncio.sleep(1.0)
        addresses = {settings.callers for _, settings, _ in site.gateways}
        site.platform.state.faults = Faults(down=True)
        await site.notify_watches()
        await asyncio.sleep(0.3)
        await kill(site, 3)
        await asyncio.sleep(3.0)
        assert await named_by(site.gateways[0][1]) == addresses


# Guards against a stopping node that registers again, so that others count it as there.
async def test_stopping_gateway_does_not_register_again(monkeypatch):
    monkeypatch.setattr("cyclamenyoke.daemon.membership.RENEW_INTERVAL", 0.2)
    async with running_site(gateways=2) as site:
        for engine in site.engines.values():
            engine.event_interval = 0.4
        gateway, settings, task = site.gateways[0]
        key = f"cyclamenyoke/nodes/{settings.ip}"
        assert key in site.platform.state.values
        stream = asyncio.create_task(
            send_request(
                settings.callers, "GET", "/stream/a", caller_headers(deadline=8000)
            )
        )
        await asyncio.sleep(0.1)
        gateway.stop()
        await asyncio.sleep(1.5)
        assert not task.done()
        assert key not in site.platform.state.values
        stream.cancel()
