"""Groups begin passes again whenever a switch was left open, whatever their load."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cyclamenyoke.daemon.map_switcher import COMPLETION_TIMEOUT
from cyclamenyoke.daemon.open_switch_closer import LOOK_AT_ALL_INTERVAL, LOOK_INTERVAL
from cyclamenyoke.daemon.rebalancer_lock import LOCK_LIFETIME, LOCK_POLL_INTERVAL
from cyclamenyoke.ports.engine_control import CommandResult, EngineControlError
from simulated_ranks import CUT_TIMEOUT, PASS_TIME, RANKS, Cluster

RELEASE_TIME = 0.5
"""Seconds within which an open switch is closed once its ranks have reported it."""


@asynccontextmanager
async def running(cluster: Cluster, *names: str, requests: int = 5):
    """Run a group's passes and rebalancers; yield the tasks of these by name."""
    passes = asyncio.create_task(cluster.ranks.run_passes())
    tasks = {
        name: asyncio.create_task(cluster.rebalancer(name, requests).run())
        for name in names
    }
    yield tasks
    assert not passes.done(), passes.exception()
    for task in [passes, *tasks.values()]:
        task.cancel()
    await asyncio.gather(passes, *tasks.values(), return_exceptions=True)


async def wait_until(condition, seconds: float) -> None:
    """Wait until a condition holds; fail after some seconds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.001)


def cut_when_held(cluster: Cluster, rank: int):
    """Cut a rank off as soon as a pass is held, before any rank is armed."""
    hold = cluster.ranks.hold

    async def hold_and_cut(endpoint, epoch, step):
        result = await hold(endpoint, epoch, step)
        if cluster.ranks.held_passes and not cluster.ranks.switches:
            cluster.ranks.cut.add(rank)
        return result

    cluster.ranks.hold = hold_and_cut


# Guards against a group that stands still for good after one rank was cut off from the
# gateways for seconds, because the standstill takes away the load (review/6).
@pytest.mark.looptime
@pytest.mark.parametrize("rank", range(RANKS))
@pytest.mark.parametrize("cut_time", [1.0, 5.5, 60.0])
async def test_pass_that_waits_for_a_rank_cut_off_is_released_after_the_cut(
    rank, cut_time
):
    cluster = Cluster(1, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.is_load_lost_in_standstill = True
    cut_when_held(cluster, rank)
    async with running(cluster, "a"):
        await wait_until(lambda: cluster.ranks.cut, 10)
        cluster.gap_ratio = 0.0
        await asyncio.sleep(cut_time)
        assert cluster.ranks.held_passes
        cluster.ranks.cut.clear()
        step = cluster.ranks.step
        await wait_until(
            lambda: cluster.ranks.step > step, LOOK_INTERVAL + CUT_TIMEOUT + 2
        )


# Guards against a restart of all gateways that leaves a group at a standstill, because
# new processes have seen no load (review/9).
@pytest.mark.looptime
async def test_pass_that_ended_gateways_held_is_released_by_new_ones_without_load():
    cluster = Cluster(2, unanswered_ratio=0.0)
    cluster.preferred_nodes = "ab"
    cluster.is_load_lost_in_standstill = True
    async with running(cluster, "a") as tasks:
        await wait_until(lambda: cluster.ranks.held_passes, 10)
        tasks["a"].cancel()
        await asyncio.sleep(30)
        cluster.gap_ratio = 0.0
        step = cluster.ranks.step
        again = asyncio.create_task(cluster.rebalancer("b", requests=0).run())
        await wait_until(lambda: cluster.ranks.step > step, LOOK_INTERVAL + 1)
        again.cancel()


# Guards against a release that needs load: callers have all gone, or a few come back.
@pytest.mark.looptime
@pytest.mark.parametrize("requests", [0, 1, 5])
async def test_pass_held_by_a_killed_rebalancer_is_released_with_any_load(requests):
    cluster = Cluster(3, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    async with running(cluster, "a") as tasks:
        await wait_until(lambda: cluster.ranks.held_passes, 10)
        tasks["a"].cancel()
        cluster.gap_ratio = 0.0
        cluster.preferred_nodes = "b"
        step = cluster.ranks.step
        other = asyncio.create_task(cluster.rebalancer("b", requests).run())
        bound = LOCK_LIFETIME + LOOK_INTERVAL + RELEASE_TIME
        await wait_until(lambda: cluster.ranks.step > step, bound)
        other.cancel()


# Guards against callers that leave, since the next lock holder waits before it releases
# a pass for which no rank is armed yet.
@pytest.mark.looptime
@pytest.mark.parametrize("gap_ratio", [0.0, 0.7])
@pytest.mark.parametrize("seed", range(4))
async def test_pass_without_armed_ranks_is_released_as_soon_as_the_lock_is_free(
    seed, gap_ratio
):
    cluster = Cluster(seed, unanswered_ratio=0.0)
    cluster.ranks.lags_whole_reports = True
    cluster.preferred_nodes = "a"
    async with running(cluster, "a", "b") as tasks:
        await wait_until(lambda: cluster.ranks.held_passes, 10)
        tasks["a"].cancel()
        cluster.gap_ratio = gap_ratio
        await asyncio.sleep(LOCK_LIFETIME)
        step = cluster.ranks.step
        cluster.preferred_nodes = "b"
        await wait_until(lambda: cluster.ranks.step > step, LOCK_POLL_INTERVAL + 0.1)


# Guards against a late "hold" that stops a group which nobody uses.
@pytest.mark.looptime
async def test_pass_of_an_unused_group_held_by_a_late_command_is_released():
    cluster = Cluster(4, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.gap_ratio = 0.0
    async with running(cluster, "a", requests=0):
        await asyncio.sleep(5)
        cluster.ranks.ranks[0].held = cluster.ranks.step + 1
        step = cluster.ranks.step
        await wait_until(lambda: cluster.ranks.step > step, LOOK_INTERVAL + 1.5)


# Guards against reports of all ranks each second, which cost calls at every engine.
@pytest.mark.looptime
async def test_looks_at_an_unused_service_ask_the_first_ranks_only():
    cluster = Cluster(5, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.gap_ratio = 0.0
    asked = []
    report = cluster.ranks.report

    async def note_report(endpoint):
        asked.append(endpoint.id)
        return await report(endpoint)

    cluster.ranks.report = note_report
    async with running(cluster, "a", requests=0):
        await asyncio.sleep(60)
    looks_at_all = 60 / LOOK_AT_ALL_INTERVAL + 1
    assert asked.count("r1") <= looks_at_all
    assert len(asked) <= 60 / LOOK_INTERVAL + RANKS * looks_at_all
    assert cluster.ranks.commands == []


# Guards against a held pass that is taken for one released before, because its number
# is lower: the group then stands still for good (review/8).
@pytest.mark.looptime
@pytest.mark.parametrize("lead", [1, 2])
async def test_pass_held_below_one_that_was_released_before_is_released(lead):
    cluster = Cluster(6, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    release_hold = cluster.ranks.release_hold

    async def release_another(endpoint, epoch, step):
        if cluster.ranks.switches:
            return await release_hold(endpoint, epoch, step)
        # As if a copy of an earlier answer had been taken for that of "hold".
        cluster.ranks.ranks[0].held = step - lead
        cluster.ranks.step = min(cluster.ranks.step, step - lead - 1)
        cluster.ranks.switches = 1
        return CommandResult.DONE

    cluster.ranks.release_hold = release_another
    async with running(cluster, "a"):
        await wait_until(lambda: cluster.ranks.switches, 10)
        cluster.gap_ratio = 0.0
        step = cluster.ranks.step
        await wait_until(lambda: cluster.ranks.step > step, LOOK_INTERVAL + 1)


# Guards against a pass with two maps: ranks had prepared different maps, and the pass
# was released although one of them was armed.
@pytest.mark.looptime
@pytest.mark.parametrize("armed", [[1], [0, 2], [1, 2, 3]])
async def test_pass_for_which_some_ranks_are_armed_is_released_with_one_map(armed):
    cluster = Cluster(7, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.gap_ratio = 0.0
    async with running(cluster, "a", requests=0):
        await asyncio.sleep(2)
        ranks, step = cluster.ranks, cluster.ranks.step + 2
        ranks.ranks[0].held = step
        for number in armed:
            rank = ranks.ranks[number]
            rank.maps[1] = [list(reversed(row)) for row in rank.maps[0]]
            rank.prepared = rank.highest_version = 1
            rank.armed = 1, step
        await wait_until(lambda: ranks.step > step, LOOK_INTERVAL + 3)
    assert {rank.map_version for rank in ranks.ranks} == {0}


# Guards against a pass with two maps: a command to arm a rank was executed late, after
# the rank had been disarmed and while another one was still to be.
@pytest.mark.looptime
async def test_rank_that_is_armed_late_while_a_switch_is_cancelled_does_not_switch():
    cluster = Cluster(8, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    ranks = cluster.ranks
    arm, refused = ranks.arm, ranks.ranks[3]

    async def arm_late(endpoint, version, epoch, step):
        if endpoint.id == "r3":
            return CommandResult.REJECTED
        if endpoint.id == "r2" and 2 not in ranks.cut:
            result = await arm(endpoint, version, epoch, step)
            asyncio.get_running_loop().call_later(0.29, ranks.cut.add, 2)
            asyncio.get_running_loop().call_later(2.0, ranks.cut.discard, 2)
            return result
        if endpoint.id == "r1":
            late = arm(endpoint, version, epoch, step)
            asyncio.get_running_loop().call_later(1.5, asyncio.create_task, late)
        return await arm(endpoint, version, epoch, step)

    ranks.arm = arm_late
    async with running(cluster, "a"):
        await wait_until(lambda: ranks.held_passes, 10)
        step = ranks.step
        await wait_until(lambda: ranks.step > step, 6)
        ranks.arm = arm
        await asyncio.sleep(10)
    assert refused.map_version == ranks.ranks[1].map_version
    assert ranks.switches


async def play_fault(cluster: Cluster, tasks: dict, names) -> None:
    """Let one thing go wrong, or end: a cut, a restart, load or a lost store."""
    random = cluster.random
    match random.randrange(7):
        case 0 | 1:
            cluster.ranks.cut = set(random.sample(range(RANKS), random.randint(1, 2)))
        case 2:
            cluster.ranks.cut.clear()
        case 3 | 4:
            for name in list(tasks):
                if random.random() < 0.7:
                    tasks.pop(name).cancel()
            name = next(names)
            tasks[name] = asyncio.create_task(cluster.rebalancer(name).run())
            cluster.preferred_nodes = random.choice([name, "".join(tasks)])
        case 5:
            cluster.gap_ratio = random.choice([0.0, 0.3, 0.7])
        case 6:
            cluster.ranks.unanswered_ratio = random.choice([0.0, 0.1, 0.35])


# Guards against a group that stands still since its ranks reject, for whatever reason,
# the map by which a switch is cancelled.
@pytest.mark.looptime
@pytest.mark.parametrize("armed", [[], [1], [0, 1, 2, 3]])
async def test_pass_is_released_though_ranks_take_no_other_map(armed):
    cluster = Cluster(12, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    cluster.gap_ratio = 0.0

    async def reject(*args):
        return CommandResult.REJECTED

    cluster.ranks.prepare = cluster.ranks.arm = reject
    async with running(cluster, "a", requests=0):
        await asyncio.sleep(2)
        ranks, step = cluster.ranks, cluster.ranks.step + 2
        ranks.ranks[0].held = step
        for number in armed:
            rank = ranks.ranks[number]
            rank.maps[1] = [list(reversed(row)) for row in rank.maps[0]]
            rank.prepared = rank.highest_version = 1
            rank.armed = 1, step
        await wait_until(lambda: ranks.step > step, 30)
    assert {rank.map_version for rank in ranks.ranks} == {0}


# Guards against a pass that is held at another rank than the first one.
@pytest.mark.looptime
async def test_pass_that_another_rank_than_the_first_holds_is_released():
    cluster = Cluster(13, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    async with running(cluster, "a"):
        await asyncio.sleep(2)
        step = cluster.ranks.step
        cluster.ranks.ranks[2].held = step + 2
        await wait_until(lambda: cluster.ranks.step > step + 2, 10)


# Guards against a pass held although a rank was cut off while it loaded the map: the
# group then stands still until the cut ends.
@pytest.mark.looptime
@pytest.mark.parametrize("rank", range(RANKS))
async def test_pass_is_not_held_while_a_rank_is_cut_off(rank):
    cluster = Cluster(9, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    prepare, prepared = cluster.ranks.prepare, set()

    async def prepare_and_cut(endpoint, version, epoch, experts):
        result = await prepare(endpoint, version, epoch, experts)
        prepared.add(endpoint.id)
        if len(prepared) == RANKS:
            cluster.ranks.cut.add(rank)
        return result

    cluster.ranks.prepare = prepare_and_cut
    async with running(cluster, "a"):
        await wait_until(lambda: cluster.ranks.cut, 10)
        await asyncio.sleep(5.5)
        assert cluster.ranks.held_passes == []
        assert max(cluster.ranks.pass_intervals) <= 2 * PASS_TIME
        cluster.ranks.cut.clear()
        cluster.ranks.prepare = prepare
        await asyncio.sleep(5)
        assert cluster.ranks.switches >= RANKS


# Guards against switches that are given up for one lost report, the more the larger the
# group is.
@pytest.mark.looptime
async def test_lost_report_does_not_keep_a_map_from_being_switched():
    cluster = Cluster(11, unanswered_ratio=0.0)
    cluster.preferred_nodes = "a"
    report, prepare, next_lost = cluster.ranks.report, cluster.ranks.prepare, []

    async def prepare_and_lose(*args):
        next_lost[:] = ["r2"]
        return await prepare(*args)

    async def lose_next(endpoint):
        if endpoint.id in next_lost:
            next_lost.clear()
            await asyncio.sleep(CUT_TIMEOUT)
            raise EngineControlError("lost")
        return await report(endpoint)

    cluster.ranks.report, cluster.ranks.prepare = lose_next, prepare_and_lose
    async with running(cluster, "a"):
        await wait_until(lambda: cluster.ranks.switches >= RANKS, 10)


# Guards against a service all of whose groups stand still, because one cut meets the
# switches of all of them (the day of review/6).
@pytest.mark.looptime
async def test_groups_of_a_service_are_not_held_at_the_same_time():
    cluster = Cluster(10, unanswered_ratio=0.0, names="rstu")
    cluster.preferred_nodes = "a"
    groups = list(cluster.groups.values())
    for group in groups[1:]:
        group.run_task = asyncio.create_task(group.run_passes())
    cut_when_held(cluster, rank=2)
    async with running(cluster, "a"):
        await wait_until(lambda: cluster.ranks.cut, 10)
        for _ in range(5000):
            await asyncio.sleep(0.001)
            assert sum(bool(group.held_passes) for group in groups) <= 1
        cluster.ranks.cut.clear()
        for _ in range(10_000):
            await asyncio.sleep(0.001)
            assert sum(bool(group.held_passes) for group in groups) <= 1
        assert all(group.switches >= RANKS for group in groups)
    for group in groups[1:]:
        group.run_task.cancel()


# Guards against any order of crashes, cuts, late and lost commands and load after which
# a group begins no pass, or begins one with two maps.
@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(40))
async def test_group_begins_passes_again_after_any_faults_and_never_with_two_maps(seed):
    cluster = Cluster(seed, unanswered_ratio=0.0)
    cluster.ranks.lags_whole_reports = True
    cluster.is_load_lost_in_standstill = True
    cluster.preferred_nodes = "a"
    names = iter("bcdefghijklmnopqrstuvwxyz" * 4)
    async with running(cluster, "a") as tasks:
        for _ in range(40):
            await asyncio.sleep(cluster.random.expovariate(1 / 0.8))
            await play_fault(cluster, tasks, names)
        cluster.ranks.cut.clear()
        cluster.ranks.unanswered_ratio = 0.0
        cluster.gap_ratio = cluster.random.choice([0.0, 0.7])
        cluster.preferred_nodes = next(names)
        tasks["last"] = asyncio.create_task(
            cluster.rebalancer(cluster.preferred_nodes, requests=0).run()
        )
        # Commands are executed up to 12 s late.
        await asyncio.sleep(12)
        step = cluster.ranks.step
        bound = LOCK_LIFETIME + 2 * LOOK_INTERVAL + COMPLETION_TIMEOUT
        await wait_until(lambda: cluster.ranks.step > step, bound)
        await asyncio.sleep(20)
        assert cluster.ranks.rested_for < bound
