"""The store client with compacted history, lost responses and a failing store."""

import asyncio
from contextlib import asynccontextmanager
from random import Random

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_server import HttpServer
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.platform.store_client import StoreClient
from cyclamenyoke.ports.key_value_store import LeaseExpired, RevisionConflict
from cyclamenyoke.standins.platform import Faults, StandInPlatform

CLOCK = BootClock()


@asynccontextmanager
async def running_store():
    platform = StandInPlatform(Random(1))
    server = HttpServer(platform.application(), "127.0.0.1", 0)
    await server.start()
    client = StoreClient(f"127.0.0.1:{server.port}", CLOCK)
    try:
        yield platform, client
    finally:
        await client.close()
        await set_faults(platform, Faults(down=True))
        await server.stop()


async def set_faults(platform, faults):
    platform.state.faults = faults
    if faults.forget:
        platform.state.history.clear()
        platform.state.compacted_revision = platform.state.revision
    await platform._notify()


async def test_values_change_only_at_the_expected_revision():
    async with running_store() as (_, store):
        assert (await store.get("k")).value is None
        revision = await store.compare_and_swap("k", 0, b"one")
        with pytest.raises(RevisionConflict):
            await store.compare_and_swap("k", 0, b"two")
        current = await store.get("k")
        assert (current.revision, current.value) == (revision, b"one")


async def test_long_lists_are_complete():
    async with running_store() as (platform, store):
        for number in range(1201):
            platform.put(f"p/{number:05}", b"%d" % number)
        platform.put("q", b"other")
        items = (await store.list("p/")).items
        assert [item.value for item in items] == [b"%d" % n for n in range(1201)]


async def test_watch_returns_a_change_at_once_and_no_value_at_its_deadline():
    async with running_store() as (platform, store):
        revision = platform.put("k", b"one")
        watch_task = asyncio.create_task(store.watch("k", revision, CLOCK.now() + 5))
        await asyncio.sleep(0.1)
        platform.put("k", b"two")
        await platform._notify()
        assert (await asyncio.wait_for(watch_task, 1)).value == b"two"
        newest = await store.get("k")
        unchanged = await store.watch("k", newest.revision, CLOCK.now() + 0.2)
        assert unchanged.value is None


async def test_watch_continues_after_compaction_without_a_busy_loop():
    async with running_store() as (platform, store):
        revision = platform.put("k", b"one")
        for number in range(10):
            platform.put("other", b"%d" % number)
        await store.get("k")
        await set_faults(platform, Faults(forget=True))
        before = sum(store.call_counts.values())
        for _ in range(3):
            await store.watch("k", revision, CLOCK.now() + 0.1)
        assert sum(store.call_counts.values()) - before <= 5


async def test_watch_returns_a_compacted_change():
    async with running_store() as (platform, store):
        revision = platform.put("k", b"one")
        platform.put("k", b"two")
        await set_faults(platform, Faults(forget=True))
        result = await store.watch("k", revision, CLOCK.now() + 1)
        assert result.value == b"two"


async def test_watch_ignores_longer_keys():
    async with running_store() as (platform, store):
        revision = platform.put("k", b"one")
        platform.put("k-longer", b"x")
        before = sum(store.call_counts.values())
        result = await store.watch("k", revision, CLOCK.now() + 0.2)
        assert result.value is None
        assert sum(store.call_counts.values()) - before <= 3


@pytest.mark.parametrize("status", [503, 429])
async def test_error_statuses_are_reported_as_unavailable(status):
    async with running_store() as (platform, store):
        await set_faults(platform, Faults(down=True, refusal=status))
        with pytest.raises(PlatformUnavailable, match=str(status)):
            await store.get("k")


async def test_unconfirmed_write_is_reported_as_unavailable_and_may_take_effect():
    async with running_store() as (platform, store):
        platform.state.faults = Faults(lose_after=1.0)
        with pytest.raises(PlatformUnavailable):
            await store.compare_and_swap("k", 0, b"one")
        assert (await store.get("k")).value == b"one"


async def test_revoked_lease_deletes_its_keys():
    async with running_store() as (platform, store):
        lease = await store.grant_lease(5.0)
        await store.compare_and_swap("k", 0, b"one", lease)
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        assert (await store.get("k")).value is None
        with pytest.raises(LeaseExpired):
            await store.renew_lease(lease)
        with pytest.raises(LeaseExpired):
            await store.compare_and_swap("k", 0, b"one", lease)
