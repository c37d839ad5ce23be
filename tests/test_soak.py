"""Randomised simulations with fixed seeds, and mutants that they must detect."""

import pytest

from mutants import MUTANTS, detect
from soak import NO_FAULTS, Soak
from soak_config import ConfigSoak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_invariants_hold_under_all_faults(seed):
    soak = Soak(seed)
    soak.run(100_000)
    outcomes = soak.truth.outcomes
    assert outcomes["orders", "answered"] > outcomes["orders", "unknown"]


def test_no_order_is_left_unknown_without_faults():
    soak = Soak(1, NO_FAULTS)
    soak.run(50_000)
    assert soak.truth.outcomes["orders", "answered"] > 500
    assert soak.truth.outcomes["orders", "unknown"] == 0


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_run_detects_mutant(mutant):
    detection = detect(mutant)
    assert detection is not None


@pytest.mark.parametrize("seed", [1, 2])
def test_configuration_never_reverts_and_reaches_every_node(seed):
    soak = ConfigSoak(seed)
    soak.run(40_000)
    soak.check_convergence()
    assert soak.truth.outcomes["accepted"] > 100
