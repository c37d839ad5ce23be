"""The retry budget of all nodes together while they start, die, leave or move."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

import gateway_soak
from cyclamenyoke.core.peers import BudgetPart, Peers
from cyclamenyoke.core.retry_budget import WindowedRetryBudget
from cyclamenyoke.standins.engine import Behaviour
from gateway_soak import GatewaySoak, Node
from site_fixture import BOUNDS, running_site, send_request
from test_endpoint_registry import NOW
from test_membership import NAMES, hear, peers_of

NODES = 5
WINDOW = BOUNDS.retry_window

FAILING_AT = 11.0
"""Seconds after the start at which engines begin to drop most requests: by then all
nodes have run for longer than a window."""

DURATION = 23.0

RESTART_TIME = 0.5


class SoakWithDroppingEngines(GatewaySoak):
    """Engines drop most requests, so that nodes spend their whole budget.

    :param scenario: what happens meanwhile to the nodes.
    """

    def __init__(
        self,
        seed: int,
        scenario: Callable[["SoakWithDroppingEngines"], Awaitable[None]],
    ) -> None:
        super().__init__(seed)
        self._scenario = scenario
        # Numbers of the nodes to which callers send; all if empty.
        self.used_numbers: set[int] = set()

    async def _inject_faults(self) -> None:
        await asyncio.sleep(FAILING_AT)
        self.env.note_fault(DURATION)
        for engine in self.env.engines.values():
            engine.fault = "drops"
        await self._scenario(self)

    async def _run_planned_changes(self) -> None:
        """Change nothing."""

    def _choose_node(self, nodes: list[Node]) -> Node:
        used = [node for node in nodes if node.number in self.used_numbers]
        return super()._choose_node(used or nodes)

    def ips(self, numbers: range) -> list[str]:
        """Return the addresses of the nodes of given numbers that run."""
        return [ip for ip, node in self.env.nodes.items() if node.number in numbers]

    def kill(self, ips: list[str]) -> None:
        for ip in ips:
            self.env.nodes[ip].kill()

    async def restart(self, ips: list[str]) -> None:
        self.kill(ips)
        await asyncio.sleep(RESTART_TIME)
        self._restart_nodes(ips)


async def restart_thrice(soak: SoakWithDroppingEngines) -> None:
    for _ in range(3):
        await asyncio.sleep(3.5)
        await soak.restart(soak.ips(range(2, NODES + 1)))


async def restart_without_the_store(soak: SoakWithDroppingEngines) -> None:
    await asyncio.sleep(2)
    soak.env.store_outage = "rejects"
    await soak.restart(soak.ips(range(2, NODES + 1)))
    await asyncio.sleep(5)
    soak.env.store_outage = ""


async def lose_most_nodes_for_good(soak: SoakWithDroppingEngines) -> None:
    await asyncio.sleep(2)
    soak.kill(soak.ips(range(1, 3)))
    await asyncio.sleep(3.5)
    soak.kill(soak.ips(range(3, 5)))


async def split_and_restart_one_side(soak: SoakWithDroppingEngines) -> None:
    soak.env.split_ips = set(soak.ips(range(1, 3)))
    await asyncio.sleep(4)
    await soak.restart(soak.ips(range(3, NODES + 1)))
    await asyncio.sleep(3)
    soak.env.split_ips = set()


async def replace_nodes_by_new_ones(soak: SoakWithDroppingEngines) -> None:
    for number in range(1, NODES):
        await asyncio.sleep(1)
        soak.kill(soak.ips(range(number, number + 1)))
        soak._restart_nodes([f"10.0.0.{NODES + number}"])


async def move_callers(soak: SoakWithDroppingEngines) -> None:
    for number in (1, 2, 3, 4):
        soak.used_numbers = {number}
        await asyncio.sleep(0.3 * WINDOW)


async def draw_troubles(soak: SoakWithDroppingEngines) -> None:
    """Restart, stop, replace and cut nodes off, and move callers, all at random."""
    env, random = soak.env, soak.env.random
    new_numbers = itertools.count(NODES + 1)

    async def replace_one() -> None:
        ip = random.choice(list(env.nodes))
        soak.kill([ip])
        soak._restart_nodes([f"10.0.0.{next(new_numbers)}"])

    async def split() -> None:
        env.split_ips = set(random.sample(list(env.nodes), len(env.nodes) // 2))
        await asyncio.sleep(random.uniform(1, 6))
        env.split_ips = set()

    async def move() -> None:
        numbers = [node.number for node in env.nodes.values()]
        random.shuffle(numbers)
        soak.used_numbers = set(numbers[: random.randint(1, 3)])

    async def restart() -> None:
        ips = list(env.nodes)
        await soak.restart(random.sample(ips, random.randint(1, len(ips))))

    while True:
        await asyncio.sleep(random.uniform(0.3, 2.5))
        if env.nodes:
            actions = [
                replace_one, split, move, move, restart, restart,
                soak._shut_down_node, soak._fail_store,
            ]  # fmt: skip
            soak._start(random.choice(actions)())


@pytest.fixture
def small_bounds(monkeypatch):
    """Make the budget small and the fixed number the larger part of it."""
    bounds = replace(BOUNDS, retry_ratio=0.1, retry_slack=60.0)
    monkeypatch.setattr(gateway_soak, "BOUNDS", bounds)
    monkeypatch.setattr(gateway_soak, "NODES", NODES)
    monkeypatch.setattr(gateway_soak, "ENGINES", {"llm": 12, "app": 12})
    monkeypatch.setattr(gateway_soak, "ARRIVAL_RATE", 50.0)
    monkeypatch.setattr(gateway_soak, "ROUTES", ("lookup", "stream"))


# Guards against parts of the retry budget that add up to more than the budget.
@pytest.mark.parametrize(
    "scenario",
    [
        restart_thrice,
        restart_without_the_store,
        lose_most_nodes_for_good,
        split_and_restart_one_side,
        replace_nodes_by_new_ones,
        move_callers,
        draw_troubles,
    ],
)
def test_retries_of_all_nodes_keep_the_budget(small_bounds, scenario):
    env = SoakWithDroppingEngines(1, scenario).run(DURATION)
    assert env.violations == []


# Guards against a run that finds nothing whatever the nodes do.
def test_run_detects_starts_that_have_a_fixed_part_at_once(small_bounds, monkeypatch):
    budget_part = Peers.budget_part
    monkeypatch.setattr(
        Peers,
        "budget_part",
        lambda self, now, window: replace(
            budget_part(self, now, window), is_usable=True
        ),
    )
    env = SoakWithDroppingEngines(1, restart_thrice).run(DURATION)
    assert any("retries for" in violation for violation in env.violations)


class Budgets:
    """The budgets of several nodes for one service, which try to retry all the time."""

    def __init__(self, ratio: float, fixed: float) -> None:
        self.retries: list[float] = []
        self._terms = ratio, fixed, WINDOW

    def start(self, now: float) -> WindowedRetryBudget:
        return WindowedRetryBudget(*self._terms, now)

    def spend(self, budget: WindowedRetryBudget, now: float, part: BudgetPart) -> None:
        while budget.take(now, part.nodes, part.is_usable):
            self.retries.append(now)

    def most_in_a_window(self) -> int:
        return max(
            sum(at - WINDOW < each <= at for each in self.retries)
            for at in self.retries
        )


# Guards against first attempts that count at each node which callers move to or from.
def test_retries_earned_by_callers_that_move_or_whose_node_restarts_keep_the_ratio():
    budgets, no_part = Budgets(0.2, 0.0), BudgetPart(2, False)
    here, there = budgets.start(NOW), budgets.start(NOW)
    for number in range(2000):
        now = NOW + number / 50
        used = here if number % 800 < 400 else there
        used.on_first_attempt(now)
        # Each spends what it has just before its callers move, and then restarts.
        if number % 400 == 399:
            budgets.spend(here, now, no_part)
            budgets.spend(there, now, no_part)
            here, there = budgets.start(now), budgets.start(now)
    assert budgets.retries
    assert budgets.most_in_a_window() <= 0.2 * 50 * WINDOW


# Guards against requests of many windows that a frozen engine reads at once.
@pytest.mark.parametrize("frozen_windows", [0.5, 1.4, 2.5])
def test_repeats_read_late_by_a_frozen_engine_keep_the_budget(frozen_windows):
    ratio, fixed, rate = 0.2, 60.0, 50
    budget = WindowedRetryBudget(ratio, fixed, WINDOW, NOW)
    woken_at = NOW + (1 + frozen_windows) * WINDOW
    arrivals: list[float] = []
    for number in range(int(5 * WINDOW * rate)):
        now = NOW + number / rate
        is_frozen = NOW + WINDOW <= now < woken_at
        budget.on_first_attempt(now)
        if not is_frozen:
            budget.on_heard("engine", now, now)
        while budget.take(now, 1):
            if is_frozen:
                budget.on_repeated("engine", now - 0.25, now)
            arrivals.append(woken_at if is_frozen else now)
    most = max(sum(at - WINDOW < each <= at for each in arrivals) for at in arrivals)
    assert most <= ratio * rate * WINDOW + fixed


# Guards against a response under way that makes copies count as read which are not.
@pytest.mark.parametrize("late_by", [1.0, 5.0, 8.0])
@pytest.mark.parametrize("frozen_seconds", [9.0, 20.0])
def test_repeats_keep_the_budget_if_a_response_of_a_frozen_engine_comes_late(
    late_by, frozen_seconds
):
    ratio, fixed, rate = 0.2, 60.0, 50
    budget = WindowedRetryBudget(ratio, fixed, WINDOW, NOW)
    frozen_at = NOW + 1.2 * WINDOW
    woken_at, late = frozen_at + frozen_seconds, [frozen_at + late_by]
    arrivals: list[float] = []
    for number in range(int(5 * WINDOW * rate)):
        now = NOW + number / rate
        is_frozen = frozen_at <= now < woken_at
        budget.on_first_attempt(now)
        if not is_frozen:
            budget.on_heard("engine", now, now)
        elif late and now >= late[0]:
            budget.on_heard("engine", frozen_at, late.pop())
        while budget.take(now, 1):
            if is_frozen:
                budget.on_repeated("engine", now - 0.25, now)
            arrivals.append(woken_at if is_frozen else now)
    most = max(sum(at - WINDOW < each <= at for each in arrivals) for at in arrivals)
    assert most <= ratio * rate * WINDOW + fixed


# Guards against endpoints that answer others and count as if they had read nothing.
def test_copy_at_an_endpoint_that_was_heard_of_since_does_not_count_twice():
    budget = WindowedRetryBudget(0.0, 10.0, WINDOW, NOW)
    budget.on_heard("engine", NOW + 0.9, NOW + 1)
    assert budget.take(NOW + 2, 1)
    before = budget.state(NOW + 2, 1)
    budget.on_repeated("engine", NOW + 0.5, NOW + 2)
    budget.on_heard("engine", NOW + 2.4, NOW + 2.5)
    assert budget.state(NOW + 2.5, 1) == before


# Guards against nodes that have their part anew with each start.
def test_node_has_no_part_until_the_others_have_counted_it_for_a_window():
    peers = peers_of(*NAMES)
    peers.on_registered(NOW + 100)
    assert not peers.budget_part(NOW, WINDOW).is_usable
    peers.on_registrations(NAMES, NOW)
    hear(peers, NAMES, NOW + WINDOW - 0.1)
    assert not peers.budget_part(NOW + WINDOW - 0.1, WINDOW).is_usable
    assert peers.budget_part(NOW + WINDOW, WINDOW) == BudgetPart(1 + len(NAMES), True)


# Guards against parts that grow while those of silent nodes are still in the window.
def test_node_counts_for_a_window_after_its_registration_has_expired():
    peers = peers_of(*NAMES)
    hear(peers, NAMES[:4], NOW + 20)
    peers.on_registrations(NAMES, NOW + 20)
    assert peers.budget_part(NOW + 20, WINDOW).nodes == 6
    peers.on_registrations(NAMES[:4], NOW + 21)
    assert peers.ips == NAMES[:4]
    assert peers.budget_part(NOW + 21 + WINDOW - 0.1, WINDOW).nodes == 6
    assert peers.budget_part(NOW + 21 + WINDOW, WINDOW).nodes == 5


# Guards against a node that spends a part which the others have divided anew.
def test_node_whose_registration_may_have_expired_has_a_part_only_if_it_hears_all():
    peers = peers_of(*NAMES)
    peers.on_registered(NOW + 15)
    peers.on_registrations(NAMES, NOW)
    peers.on_heartbeat(NOW + 14)
    hear(peers, NAMES, NOW + 15)
    assert peers.budget_part(NOW + 15.5, WINDOW).is_usable
    hear(peers, NAMES[:4], NOW + 16.5)
    assert not peers.budget_part(NOW + 16.5, WINDOW).is_usable
    peers.on_registered(NOW + 40)
    assert not peers.budget_part(NOW + 17, WINDOW).is_usable
    assert peers.budget_part(NOW + 17 + WINDOW, WINDOW).is_usable


# Guards against updates that waited at a frozen process until others had removed it.
def test_node_that_was_frozen_beyond_its_registration_counts_as_started_anew():
    peers = peers_of(*NAMES)
    peers.on_registered(NOW + 15)
    peers.on_registrations(NAMES, NOW)
    peers.on_heartbeat(NOW + 11)
    hear(peers, NAMES, NOW + 30)
    assert not peers.budget_part(NOW + 30, WINDOW).is_usable


# Guards against a slow engine that is given up although no retry is left.
async def test_slow_engine_is_waited_for_while_the_budget_has_no_retry():
    async with running_site(bounds=BOUNDS) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.answer_delay = 0.6
        assert (await site.get(node, "/lookup/a")).status == 200


# Guards against budgets that keep the bounds of before a reload of the settings.
async def test_reloaded_bounds_apply_to_the_budgets_in_use():
    async with running_site(bounds=BOUNDS) as site:
        gateway, node, _ = site.gateways[0]
        await site.get(node, "/lookup/a")
        node.bounds = replace(node.bounds, retry_ratio=0.0, retry_slack=0.0)
        for _ in range(20):
            await site.get(node, "/lookup/a")
        state = gateway._forwarder.retry_budget_states(gateway._clock.now())["app"]
        # What the request before the reload has earned is left.
        assert 0.0 < state.allowed < BOUNDS.retry_ratio


# Guards against refused retries of which nobody can say why.
async def test_metrics_tell_what_a_node_counts_for_its_retry_budgets():
    bounds = replace(BOUNDS, retry_ratio=0.0, retry_slack=0.0)
    async with running_site(bounds=bounds) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.script.append(Behaviour.REJECT)
        await site.get(node, "/lookup/a")
        address = f"{node.ip}:{node.metrics_port}"
        response = await send_request(address, "GET", "/metrics", {"Host": "m"})
        lines = response.body.decode().splitlines()
        assert 'cyclamenyoke_retries_refused_total{service="app"} 1' in lines
        assert 'cyclamenyoke_retry_budget_first_attempts{service="app"} 1' in lines
        assert 'cyclamenyoke_retry_budget_nodes{service="app"} 1' in lines
