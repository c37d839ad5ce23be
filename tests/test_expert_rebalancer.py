"""Expert map switches with lost and late commands and killed or stale rebalancers."""

import asyncio
import contextlib
import itertools
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.expert_map_planner import initial_map, plan_map
from cyclamenyoke.core.gateway_config import (
    ExpertLayout,
    Service,
)
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.expert_rebalancer import (
    LOAD_CHECK_INTERVAL,
    SUSTAINED_LOAD_DURATION,
)
from cyclamenyoke.daemon.rebalancer_lock import RENEW_INTERVAL
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.platform.engine_control import HttpEngineControl
from cyclamenyoke.ports.engine_control import (
    CommandResult,
    EngineControlError,
    ExpertCounts,
)
from simulated_ranks import (
    LAYOUT,
    PASS_TIME,
    RANKS,
    Cluster,
    LoopClock,
    Rank,
    SimulatedRanks,
)


@pytest.mark.looptime
async def test_maps_follow_expert_load_without_delaying_passes():
    cluster = Cluster(1, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(30)
    assert cluster.ranks.switches >= 4 * RANKS
    # Sums of floats differ from the product in the last digits.
    assert max(cluster.ranks.pass_intervals) <= 2 * PASS_TIME + 1e-9
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(12))
async def test_no_pass_mixes_maps_with_lost_and_late_commands_and_killed_rebalancers(
    seed,
):
    cluster = Cluster(seed, unanswered_ratio=unanswered_ratio_of(seed))
    passes = asyncio.create_task(cluster.ranks.run_passes())
    names = iter("abcdefghijklmnopqrstuvwxyz")
    running = []
    for _ in range(8):
        cluster.preferred_nodes = next(names)
        task = asyncio.create_task(cluster.rebalancer(cluster.preferred_nodes).run())
        running.append(task)
        await asyncio.sleep(cluster.random.uniform(2, 8))
        if cluster.random.random() < 0.5:
            # Killed; otherwise it runs on beside its successor until its lock expires.
            task.cancel()
        assert not passes.done(), passes.exception()
    # A pass that the last one held when it was killed needs a successor.
    cluster.preferred_nodes = next(names)
    running.append(
        asyncio.create_task(cluster.rebalancer(cluster.preferred_nodes).run())
    )
    await asyncio.sleep(20)
    assert not passes.done(), passes.exception()
    assert cluster.ranks.switches > 0
    before = cluster.ranks.step
    await asyncio.sleep(5)
    assert cluster.ranks.step > before
    for task in [passes, *running]:
        task.cancel()
    await asyncio.gather(passes, *running, return_exceptions=True)


def unanswered_ratio_of(seed: int) -> float:
    """Return the share of unanswered commands for a seed."""
    return (0.0, 0.1, 0.35)[seed % 3]


@pytest.mark.looptime
async def test_pass_held_by_killed_rebalancer_is_released_within_lease_and_a_second():
    cluster = Cluster(3, unanswered_ratio=0.0)
    passes = asyncio.create_task(cluster.ranks.run_passes())
    cluster.preferred_nodes = "a"
    first = asyncio.create_task(cluster.rebalancer("a").run())
    async with asyncio.timeout(30):
        while not any(rank.held for rank in cluster.ranks.ranks):
            await asyncio.sleep(0.0005)
    first.cancel()
    cluster.preferred_nodes = "b"
    second = asyncio.create_task(cluster.rebalancer("b").run())
    await asyncio.sleep(6)
    assert max(cluster.ranks.pass_intervals) <= 2.5
    assert cluster.ranks.switches >= RANKS
    for task in (passes, second):
        task.cancel()
    await asyncio.gather(passes, second, return_exceptions=True)


@pytest.mark.looptime
async def test_lock_moves_at_once_when_its_holder_is_no_longer_preferred():
    cluster = Cluster(4, unanswered_ratio=0.0)
    passes = asyncio.create_task(cluster.ranks.run_passes())
    cluster.preferred_nodes = "a"
    first, second = cluster.rebalancer("a"), cluster.rebalancer("b")
    running = [asyncio.create_task(each.run()) for each in (first, second)]
    async with asyncio.timeout(5):
        while not first.holds_lock:
            await asyncio.sleep(0.01)
    await asyncio.sleep(2)
    assert first.holds_lock and not second.holds_lock
    cluster.preferred_nodes = "b"
    # The first one stops at its next load check; the second then takes the lock.
    await asyncio.sleep(0.8)
    assert second.holds_lock and not first.holds_lock
    for task in [passes, *running]:
        task.cancel()
    await asyncio.gather(passes, *running, return_exceptions=True)


LARGE_LAYOUT = ExpertLayout(
    sets=1, experts=64, slots_per_rank=11, max_loads_per_rank=4, load_time=0.05
)
TWO_HOT_EXPERTS = [250.0 if n == 6 else 100.0 if n == 14 else 10.0 for n in range(64)]


@pytest.mark.looptime
async def test_maps_are_not_changed_while_stream_gaps_are_short():
    cluster = Cluster(5, unanswered_ratio=0.0)
    cluster.gap_ratio = 0.5
    cluster.preferred_nodes = "a"
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a", requests=4).run())
    await asyncio.sleep(10)
    assert cluster.ranks.switches == 0
    for task in (passes, rebalancer):
        task.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


def test_plan_stops_where_further_loads_gain_little():
    plan = plan_map(initial_map(LARGE_LAYOUT, 8), [TWO_HOT_EXPERTS], LARGE_LAYOUT)
    assert plan.skew_before > 1.5
    assert plan.skew_after <= 0.5
    assert plan.total_loads <= 4
    assert plan.is_worthwhile


def test_plan_relieves_the_most_loaded_rank_with_few_loads(monkeypatch):
    monkeypatch.setattr("cyclamenyoke.core.expert_map_planner.TARGET_SKEW", 0.25)
    layout = LARGE_LAYOUT
    plan = plan_map(initial_map(layout, 8), [TWO_HOT_EXPERTS], layout)
    assert plan.skew_before > 1.5
    assert plan.skew_after <= 0.3
    assert plan.total_loads <= 10
    assert plan.is_worthwhile
    held = [expert for rank in plan.expert_map[0] for expert in rank]
    assert set(held) == set(range(64))
    assert all(len(rank) <= 11 for rank in plan.expert_map[0])


def test_balanced_expert_load_is_not_changed():
    layout = ExpertLayout(
        sets=2, experts=64, slots_per_rank=11, max_loads_per_rank=4, load_time=0.05
    )
    plan = plan_map(initial_map(layout, 8), [[10.0] * 64] * 2, layout)
    assert plan.total_loads == 0
    assert not plan.is_worthwhile


def restore_store(cluster: Cluster) -> None:
    """Restore the store from an empty copy; all nodes learn of it from lists."""
    cluster.store.restore()
    position = StorePosition(cluster.store.era, 1)
    cluster.registry.apply_list(cluster.endpoints, position, 1.0, 1.0)


@pytest.mark.looptime
async def test_two_nodes_never_hold_the_lock_when_the_store_loses_it():
    cluster = Cluster(6, unanswered_ratio=0.0)
    passes = asyncio.create_task(cluster.ranks.run_passes())
    cluster.preferred_nodes = "ab"
    nodes = [cluster.rebalancer("a"), cluster.rebalancer("b")]
    running = []
    for node in nodes:
        running.append(asyncio.create_task(node.run()))
        # Nodes that look at the lock at the same times would get it in the same order.
        await asyncio.sleep(LOAD_CHECK_INTERVAL / 3)
    holders = set()
    for step in range(3000):
        await asyncio.sleep(0.01)
        held_by = [number for number, each in enumerate(nodes) if each.holds_lock]
        assert len(held_by) <= 1
        holders.update(held_by)
        if step % 333 == 332:
            restore_store(cluster)
    assert holders == {0, 1}
    for task in [passes, *running]:
        task.cancel()
    await asyncio.gather(passes, *running, return_exceptions=True)


@pytest.mark.looptime
async def test_maps_that_a_restored_store_lost_are_known_to_the_next_holder():
    cluster = Cluster(7, unanswered_ratio=0.0)
    passes = asyncio.create_task(cluster.ranks.run_passes())
    cluster.preferred_nodes = "a"
    running = [
        asyncio.create_task(cluster.rebalancer(name).run()) for name in ("a", "b")
    ]
    async with asyncio.timeout(30):
        while cluster.ranks.switches < RANKS:
            await asyncio.sleep(0.01)
    restore_store(cluster)
    cluster.preferred_nodes = "b"
    before = cluster.ranks.switches
    await asyncio.sleep(20)
    assert cluster.ranks.switches >= before + RANKS
    for task in [passes, *running]:
        task.cancel()
    await asyncio.gather(passes, *running, return_exceptions=True)


# Guards against maps that only a node under load writes to a store that lost them: if
# that node ends first, no later one knows the map in force.
@pytest.mark.looptime
async def test_maps_that_a_restored_store_lost_are_written_again_without_load():
    cluster = Cluster(7, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    passes = asyncio.create_task(cluster.ranks.run_passes())
    first = asyncio.create_task(cluster.rebalancer("a", requests=0).run())
    async with asyncio.timeout(30):
        while cluster.ranks.switches < RANKS:
            await asyncio.sleep(0.01)
    cluster.gap_ratio = 0.0
    await asyncio.sleep(5)
    restore_store(cluster)
    await asyncio.sleep(10)
    first.cancel()
    cluster.gap_ratio, cluster.preferred_nodes = 0.7, "b"
    before = cluster.ranks.switches
    second = asyncio.create_task(cluster.rebalancer("b").run())
    await asyncio.sleep(20)
    assert cluster.ranks.switches >= before + RANKS
    for task in (passes, second):
        task.cancel()
    await asyncio.gather(passes, first, second, return_exceptions=True)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(6))
async def test_no_pass_mixes_maps_while_the_store_is_restored_again_and_again(seed):
    cluster = Cluster(seed, unanswered_ratio=unanswered_ratio_of(seed))
    passes = asyncio.create_task(cluster.ranks.run_passes())
    names = "abc"
    running = [asyncio.create_task(cluster.rebalancer(name).run()) for name in names]
    for _ in range(10):
        cluster.preferred_nodes = "".join(cluster.random.sample(names, 2))
        await asyncio.sleep(cluster.random.uniform(0.2, 6))
        restore_store(cluster)
        assert not passes.done(), passes.exception()
    await asyncio.sleep(10)
    assert not passes.done(), passes.exception()
    assert cluster.ranks.switches > 0
    for task in [passes, *running]:
        task.cancel()
    await asyncio.gather(passes, *running, return_exceptions=True)


@asynccontextmanager
async def rank_that_replies_after(seconds: float):
    """Run a rank that accepts every command; yield its endpoint."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(seconds)
                body = b'{"epoch": 1, "counts": [3, 4]}'
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield Endpoint("r0", "llm", f"{host}:{port}", "dc", 6, False, 1)
    server.close()


async def test_maps_and_counts_that_take_long_to_transfer_are_not_given_up():
    """The maps of a hundred ranks need a good part of a second on a node's link."""
    control = HttpEngineControl(ConnectionPool(BootClock()))
    async with rank_that_replies_after(0.5) as rank:
        assert await control.prepare(rank, 1, 1, [[[0]]]) is CommandResult.DONE
        layout = ExpertLayout(1, 2, 2, 1, 0.0)
        assert (await control.expert_counts(rank, layout)).counts == [[3, 4]]
        assert await control.arm(rank, 1, 1, 5) is CommandResult.UNKNOWN


# Guards against counts that lack an expert of each set ending the node that reads them.
@pytest.mark.parametrize("sets,experts", [(1, 1), (1, 3), (2, 2), (1, 100_000)])
async def test_another_number_of_counts_than_the_layout_has_is_rejected(sets, experts):
    control = HttpEngineControl(ConnectionPool(BootClock()))
    async with rank_that_replies_after(0.0) as rank:
        with pytest.raises(EngineControlError):
            await control.expert_counts(rank, ExpertLayout(sets, experts, 2, 1, 0.0))


@pytest.mark.looptime
async def test_maps_follow_load_again_after_the_layout_has_changed():
    cluster = Cluster(1, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(5)
    for experts in (LAYOUT.experts - 1, LAYOUT.experts):
        layout = replace(LAYOUT, experts=experts)
        service = Service("llm", "/", 10, None, layout)
        cluster.config.services["llm"] = service
        await asyncio.sleep(0.5)
    switches = cluster.ranks.switches
    await asyncio.sleep(20)
    assert not rebalancer.done(), rebalancer.exception()
    assert cluster.ranks.switches > switches
    passes.cancel()
    rebalancer.cancel()


@pytest.mark.looptime
async def test_rank_that_accepted_a_map_without_a_reply_is_not_given_up():
    cluster = Cluster(8, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    prepare = cluster.ranks.prepare
    lost = set()

    async def lose_first_reply(endpoint, version, epoch, experts):
        result = await prepare(endpoint, version, epoch, experts)
        if endpoint.id not in lost:
            lost.add(endpoint.id)
            return CommandResult.UNKNOWN
        return CommandResult.REJECTED if result is CommandResult.DONE else result

    cluster.ranks.prepare = lose_first_reply
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(6)
    assert cluster.ranks.switches >= RANKS
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


def lose_first_reply_of(rank: str, prepare):
    """Return ``prepare`` whose first reply for each map of a rank is lost."""
    lost = set()

    async def lose_first_reply(endpoint, version, epoch, experts):
        result = await prepare(endpoint, version, epoch, experts)
        if endpoint.id != rank:
            return result
        if version not in lost:
            lost.add(version)
            return CommandResult.UNKNOWN
        return CommandResult.REJECTED if result is CommandResult.DONE else result

    return lose_first_reply


@pytest.mark.looptime
async def test_late_reports_do_not_delay_a_map_that_all_ranks_accepted():
    cluster = Cluster(9, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    report = cluster.ranks.report

    async def never_report_prepared(endpoint):
        return replace(await report(endpoint), prepared_version=None)

    cluster.ranks.report = never_report_prepared
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    async with asyncio.timeout(SUSTAINED_LOAD_DURATION + LOAD_CHECK_INTERVAL + 1):
        while cluster.ranks.switches < RANKS:
            await asyncio.sleep(0.01)
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


@pytest.mark.looptime
async def test_rank_that_is_still_loading_is_armed_as_soon_as_it_has_the_map():
    cluster = Cluster(9, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    arm, rejected = cluster.ranks.arm, Counter()

    async def reject_at_first(endpoint, version, epoch, step):
        rejected[endpoint.id, version] += 1
        if endpoint.id == "r2" and rejected[endpoint.id, version] <= 3:
            return CommandResult.REJECTED
        return await arm(endpoint, version, epoch, step)

    cluster.ranks.arm = reject_at_first
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(6)
    assert cluster.ranks.switches >= RANKS
    # Sums of floats differ from the product in the last digits.
    assert max(cluster.ranks.pass_intervals) <= 3 * PASS_TIME + 1e-9
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


@pytest.mark.looptime
async def test_ranks_that_have_prepared_a_map_are_not_asked_again():
    cluster = Cluster(9, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.ranks.prepare = lose_first_reply_of("r3", cluster.ranks.prepare)
    report, slow_until = cluster.ranks.report, {}
    asked = Counter()

    async def report_late(endpoint):
        asked[endpoint.id] += 1
        found = await report(endpoint)
        now = LoopClock().now()
        if endpoint.id == "r3" and found.prepared_version:
            ready_at = slow_until.setdefault(found.prepared_version, now + 1)
            return found if now >= ready_at else replace(found, prepared_version=None)
        return found

    cluster.ranks.report = report_late
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(10)
    assert cluster.ranks.switches >= RANKS
    assert asked["r3"] > 2 * asked["r0"]
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


@pytest.mark.looptime
async def test_commands_to_all_ranks_renew_the_lock_once_and_survive_a_failed_renewal():
    """Guards against a renewal by each of the commands that are sent at the same time.

    The store then rejected some of them, and the switch was left with its pass held.
    """
    cluster = Cluster(10, unanswered_ratio=0.2)
    cluster.preferred_nodes = "a"
    renew, renewals, failures = cluster.store.renew_lease, [], iter([True, False] * 500)

    async def renew_slowly(lease):
        renewals.append(LoopClock().now())
        await asyncio.sleep(0.05)
        if next(failures):
            raise PlatformUnavailable("no connection")
        await renew(lease)

    cluster.store.renew_lease = renew_slowly
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(30)
    assert cluster.ranks.switches >= RANKS
    gaps = [later - earlier for earlier, later in itertools.pairwise(renewals)]
    assert min(gaps) >= RENEW_INTERVAL / 2
    assert not passes.done(), passes.exception()
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


@pytest.mark.looptime
async def test_first_map_follows_within_a_second_of_sustained_load():
    cluster = Cluster(11, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.gap_ratio = 0.4
    passes = asyncio.create_task(cluster.ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a", requests=3).run())
    await asyncio.sleep(10)
    assert cluster.ranks.switches == 0
    cluster.gap_ratio = 0.7
    async with asyncio.timeout(SUSTAINED_LOAD_DURATION + LOAD_CHECK_INTERVAL + 1):
        while cluster.ranks.switches < RANKS:
            await asyncio.sleep(0.01)
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)


class RanksThatEndUnderMaps(SimulatedRanks):
    """A group of which a rank ends whenever it has a given expert besides its own.

    The group then forms again, in a new epoch and with its first map.
    """

    CRASHING_EXPERT = 0
    FORMING_TIME = 1.5

    def __init__(self, random: Random) -> None:
        super().__init__(random, 0.0)
        self.epoch = 1
        self.ends = 0

    async def run_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_TIME)
            if any(rank.held == self.step + 1 for rank in self.ranks):
                continue
            self.step += 1
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == self.step:
                    rank.map_version = rank.armed[0]
                    rank.armed = rank.prepared = None
            if any(self._is_crashing(number) for number in range(RANKS)):
                self.ends += 1
                self.epoch += 1
                self.ranks = [Rank() for _ in range(RANKS)]
                await asyncio.sleep(self.FORMING_TIME)

    def _is_crashing(self, number: int) -> bool:
        rank = self.ranks[number]
        first, current = rank.maps[0], rank.maps[rank.map_version]
        return any(
            self.CRASHING_EXPERT in now[number]
            and self.CRASHING_EXPERT not in before[number]
            for before, now in zip(first, current, strict=True)
        )

    async def report(self, endpoint):
        return replace(await super().report(endpoint), epoch=self.epoch)

    async def expert_counts(self, endpoint, layout):
        row = [100 * self.step] * LAYOUT.experts
        row[self.CRASHING_EXPERT] += 2000 * self.step
        return ExpertCounts(self.epoch, [list(row) for _ in range(layout.sets)])


@pytest.mark.looptime
async def test_map_under_which_ranks_end_is_not_armed_again_and_again():
    cluster = Cluster(1, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    ranks = cluster.ranks = RanksThatEndUnderMaps(cluster.random)
    passes = asyncio.create_task(ranks.run_passes())
    rebalancer = asyncio.create_task(cluster.rebalancer("a").run())
    await asyncio.sleep(60)
    assert 0 < ranks.ends <= 3 + 3
    rebalancer.cancel()
    passes.cancel()
    await asyncio.gather(passes, rebalancer, return_exceptions=True)
