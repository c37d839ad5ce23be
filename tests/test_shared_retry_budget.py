"""The retry budget of all nodes together while they start, die, leave or move."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

import gateway_soak
from cyclamenyoke.standins.engine import Behaviour
from gateway_soak import GatewaySoak, Node
from site_fixture import BOUNDS, running_site, send_request

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


@pytest.fixture
def small_bounds(monkeypatch):
    """Make the budget small and the fixed number the larger part of it."""
    bounds = replace(BOUNDS, retry_ratio=0.1, retry_slack=60.0)
    monkeypatch.setattr(gateway_soak, "BOUNDS", bounds)
    monkeypatch.setattr(gateway_soak, "NODES", NODES)
    monkeypatch.setattr(gateway_soak, "ENGINES", {"llm": 12, "app": 12})
    monkeypatch.setattr(gateway_soak, "ARRIVAL_RATE", 50.0)


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
    ],
)
def test_retries_of_all_nodes_keep_the_budget(small_bounds, scenario):
    env = SoakWithDroppingEngines(1, scenario).run(DURATION)
    assert env.violations == []


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
