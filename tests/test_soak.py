"""Randomised simulations with fixed seeds, and mutants that they must detect."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from mutants import MUTANTS, detect
from soak import NO_FAULTS, Soak
from soak_config import ConfigSoak

TESTS = str(Path(__file__).parent)


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
    assert detection.invariant == mutant.invariant.value


@pytest.mark.parametrize("seed", [1, 2])
def test_configuration_never_reverts_and_reaches_every_node(seed):
    soak = ConfigSoak(seed)
    soak.run(40_000)
    soak.check_convergence()
    assert soak.truth.outcomes["accepted"] > 100


@pytest.mark.parametrize(
    "simulation", ["soak --steps 20000", "gateway_soak --seconds 8"]
)
def test_simulation_does_not_depend_on_the_hash_seed(simulation):
    runs = [
        subprocess.run(
            [sys.executable, "-m", *simulation.split(), "--seed", "1"],
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": TESTS},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "241")
    ]
    assert runs[0] == runs[1] != b""


def test_agent_acts_in_the_order_of_arrival_after_a_pause():
    """Guards against parts of a response that overtake each other.

    An action that was put off until the end of a pause could be put off once more by
    rounding, and then ran after later ones.
    """
    soak = Soak(1, NO_FAULTS)
    node = next(iter(soak.agents.values()))
    arrived, performed = [], []

    def arrive(number):
        arrived.append(number)
        node.run_when_resumed(node.incarnation, lambda: performed.append(number) or [])

    for number in range(20_000):
        soak.world.call_later(0.01 * number, lambda n=number: arrive(n))
    for _ in range(1000):
        delay = soak.world.random.uniform(0, 200)
        pause = soak.world.random.uniform(0.05, 0.3)
        soak.world.call_later(
            delay, lambda p=pause: setattr(node, "paused_until", soak.world.now + p)
        )
    soak.run(200_000)
    assert len(performed) > 10_000
    assert performed == arrived[: len(performed)]
