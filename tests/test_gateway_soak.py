"""Short runs of the gateway soak test, and proof that it detects injected bugs."""

import asyncio

import pytest

from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.request_delivery import RequestDelivery
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.daemon import cluster_state
from cyclamenyoke.daemon.cluster_state import ClusterState
from gateway_soak import GatewaySoak


@pytest.mark.parametrize("seed", [1])
def test_gateways_keep_invariants_under_all_faults(seed):
    env = GatewaySoak(seed).run(40)
    assert env.violations == []
    assert env.outcomes["order answered"] > 100


@pytest.mark.parametrize("seed", [206, 249])
def test_gateways_keep_invariants_when_engines_have_limits_or_end_on_prompts(seed):
    env = GatewaySoak(seed, has_engine_troubles=True).run(45)
    assert env.violations == []
    assert env.outcomes["order answered"] > 100


@pytest.mark.parametrize("seed", [11])
def test_gateways_withhold_a_request_that_ends_engines_and_serve_the_others(seed):
    env = GatewaySoak(seed, has_crashing_requests=True).run(60)
    assert env.violations == []
    assert env.outcomes["order answered"] > 100


@pytest.mark.parametrize("seed", [2])
def test_gateways_spare_an_evacuated_data_centre_under_all_faults(seed):
    env = GatewaySoak(seed, has_evacuations=True).run(40)
    assert env.violations == []
    assert env.action_counts["evacuate"] > 1


def test_soak_detects_an_evacuation_that_is_ignored(monkeypatch):
    monkeypatch.setattr(EndpointRegistry, "set_evacuated", lambda self, names: None)
    env = GatewaySoak(1, has_evacuations=True, has_faults=False).run(15)
    assert any("after the evacuation" in violation for violation in env.violations)


INFREQUENT_LIST_READS = {"LIST_READS_PER_DRAIN": 0.2, "MAX_LIST_AGES_PER_DRAIN": 0.2}
"""Values with which nodes read the endpoint list every ten seconds, although all of
them must know within two seconds that an endpoint is draining."""

SEEDS = range(3, 9)
"""Seeds that are run one after the other until a run detects the bug."""

MUTANTS = {
    "treats every request as not run": (
        *(
            RequestDelivery,
            {"is_confirmed_not_run": property(lambda self: True)},
            "ran",
        ),
    ),
    "passes on any status": (
        *(
            RequestDelivery,
            {"may_forward": lambda self, implies_not_run: True},
            "status for not run",
        ),
    ),
    "shuts down at once": (
        *(
            GracefulShutdown,
            {"can_close": lambda self, now, busy: True},
            "planned_stop",
        ),
    ),
    "reads the endpoint list rarely": (
        cluster_state,
        INFREQUENT_LIST_READS,
        "gets work",
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_soak_detects_injected_gateway_bug(monkeypatch, mutant):
    target, changes, expected = MUTANTS[mutant]
    for name, value in changes.items():
        monkeypatch.setattr(target, name, value)
    runs = (GatewaySoak(seed).run(40) for seed in SEEDS)
    assert any(expected in violation for env in runs for violation in env.violations)


ENGINE_MUTANTS = {
    "sends prompts that ended engines": (
        RequestQuarantine,
        {"withheld_until": lambda self, *arguments: None},
        "engines and is sent on",
    ),
    "ignores limits": (
        EngineLimits,
        {"allows": lambda self, *arguments: True},
        "beyond its limit",
    ),
}


class SoakWithRejectingEngines(GatewaySoak):
    """Every second engine rejects a part of its requests and asks for a pause."""

    def _add_engine(self, service: str, id_: str, data_centre: str) -> None:
        super()._add_engine(service, id_, data_centre)
        if len(self.env.engines) % 2:
            list(self.env.engines.values())[-1].fault = "rejects"


@pytest.mark.parametrize("seed", [3, 4])
def test_soak_detects_ignored_pauses_in_each_seed(monkeypatch, seed):
    def find_violations() -> list[str]:
        env = SoakWithRejectingEngines(seed, has_faults=False).run(15)
        return [each for each in env.violations if "during its pause" in each]

    assert find_violations() == []
    monkeypatch.setattr(Balancer, "on_rest", lambda self, *arguments: None)
    assert find_violations()


class SoakWithUnlistedLeavers(GatewaySoak):
    """Every second engine states that it leaves; the list says that it is ready."""

    def _add_engine(self, service: str, id_: str, data_centre: str) -> None:
        super()._add_engine(service, id_, data_centre)
        if len(self.env.engines) % 2:
            engine = list(self.env.engines.values())[-1]
            engine.is_draining = engine.states_leaving = True


@pytest.mark.parametrize("seed", [3, 4])
def test_soak_detects_ignored_leaving_in_each_seed(monkeypatch, seed):
    def find_violations() -> list[str]:
        env = SoakWithUnlistedLeavers(seed, has_faults=False).run(15)
        return [each for each in env.violations if "after Server-Leaving" in each]

    assert find_violations() == []
    monkeypatch.setattr(
        EndpointRegistry, "mark_leaving", lambda self, *arguments: False
    )
    assert find_violations()


class SoakWithIsolatedNodes(GatewaySoak):
    """Some nodes reach neither the store nor each other while a route is added."""

    async def _inject_faults(self) -> None:
        env = self.env
        while True:
            env.publish(has_extra=False)
            await asyncio.sleep(1)
            ips = set(self._sample_node_ips())
            env.note_fault(6)
            env.rejected_ips |= ips
            env.partitioned_ips |= ips
            await asyncio.sleep(0.5)
            env.publish(has_extra=True)
            await asyncio.sleep(5.5)
            env.rejected_ips -= ips
            env.partitioned_ips -= ips

    async def _publish_configs(self) -> None:
        """Leave all changes to the faults."""


@pytest.mark.parametrize("seed", [3, 4])
def test_isolated_nodes_deny_nothing_by_an_outdated_configuration(monkeypatch, seed):
    def find_violations() -> list[str]:
        env = SoakWithIsolatedNodes(seed).run(30)
        return [each for each in env.violations if "outdated" in each]

    assert find_violations() == []
    monkeypatch.setattr(ClusterState, "is_config_confirmed", lambda self, at: True)
    assert find_violations()


def test_soak_detects_a_request_that_is_sent_on_though_engines_end(monkeypatch):
    monkeypatch.setattr(
        RequestQuarantine, "withheld_until", lambda self, *arguments: None
    )
    env = GatewaySoak(3, has_faults=False, has_crashing_requests=True).run(30)
    assert any("engines and is sent on" in violation for violation in env.violations)


@pytest.mark.parametrize("mutant", ENGINE_MUTANTS)
def test_soak_detects_ignored_engine_troubles(monkeypatch, mutant):
    target, changes, expected = ENGINE_MUTANTS[mutant]
    for name, value in changes.items():
        monkeypatch.setattr(target, name, value)
    runs = (GatewaySoak(seed, True, has_faults=False).run(40) for seed in SEEDS)
    assert any(expected in violation for env in runs for violation in env.violations)
