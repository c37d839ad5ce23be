"""The gateways' randomised run: fixed short ones, and proof that it catches faults."""

import pytest

from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.request_delivery import RequestDelivery
from cyclamenyoke.daemon import cluster_state
from gateway_soak import GatewaySoak


@pytest.mark.parametrize("seed", [1])
def test_gateways_keep_the_promises_under_all_faults(seed):
    world = GatewaySoak(seed).run(40)
    assert world.violations == []
    assert world.outcomes["order answered"] > 100


RARE_READS = {"READS_PER_DRAIN": 0.2, "STALE_PER_DRAIN": 0.2}
"""Reads of the list every ten seconds, where leaving must be known within two."""

SEEDS = range(3, 9)
"""Tried one after the other until a fault is caught."""

MUTANTS = {
    "takes every request for not run": (
        *(
            RequestDelivery,
            {"is_confirmed_not_run": property(lambda self: True)},
            "ran",
        ),
    ),
    "closes at once": (
        *(
            GracefulShutdown,
            {"can_close": lambda self, now, busy: True},
            "planned_stop",
        ),
    ),
    "reads the list rarely": (cluster_state, RARE_READS, "gets work"),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_run_catches_a_fault_of_the_gateway_made_on_purpose(monkeypatch, mutant):
    target, changes, sign = MUTANTS[mutant]
    for name, value in changes.items():
        monkeypatch.setattr(target, name, value)
    runs = (GatewaySoak(seed).run(40) for seed in SEEDS)
    assert any(sign in violation for world in runs for violation in world.violations)
