"""Planning of expert replicas: coverage, moves, skew and slow ranks."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cyclamenyoke.core.expert_placement import (
    BALANCE_FIRST_WEIGHTS,
    COST_FIRST_WEIGHTS,
    LayerPlacement,
    LayerPlanner,
    align_to_ranks,
    even_placement,
    greedy_placement,
    moves_between,
)

RANKS = 16
EXPERTS = 8
SLOTS = 2

loads = st.lists(st.floats(0.0, 1e6), min_size=EXPERTS, max_size=EXPERTS)


def skewed_counts(seed: int) -> list[float]:
    random = Random(seed)
    return [1000 * random.lognormvariate(0.0, 0.8) for _ in range(EXPERTS)]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(loads)
def test_every_expert_keeps_a_replica(counts):
    planner = LayerPlanner(RANKS, SLOTS, EXPERTS, BALANCE_FIRST_WEIGHTS)
    planner.observe(counts)
    plan = planner.plan()
    held = {expert for slots in planner.placement for expert in slots}
    assert held == set(range(EXPERTS))
    assert all(len(slots) == SLOTS for slots in planner.placement)
    assert plan.skew_after <= plan.skew_before


@settings(derandomize=True, max_examples=150, deadline=None)
@given(loads, loads)
def test_aligned_plan_is_the_same_plan_with_fewer_moves(first, second):
    old = greedy_placement(RANKS, SLOTS, first)
    new = greedy_placement(RANKS, SLOTS, second)
    aligned = align_to_ranks(old, new)
    sets = [Counter(map(frozenset, plan)) for plan in (new, aligned)]
    assert sets[0] == sets[1]
    assert moves_between(old, aligned) <= RANKS * SLOTS


@pytest.mark.parametrize("weights", [BALANCE_FIRST_WEIGHTS, COST_FIRST_WEIGHTS])
def test_plan_halves_the_skew_of_a_constant_load(weights):
    planner = LayerPlanner(RANKS, SLOTS, EXPERTS, weights)
    counts = skewed_counts(1)
    before = LayerPlacement(planner.placement, counts, [1.0] * RANKS).skew
    for _ in range(30):
        planner.observe(counts)
        planner.plan()
    assert LayerPlacement(planner.placement, counts, [1.0] * RANKS).skew < before / 2


def test_plan_is_unchanged_for_a_uniform_load():
    planner = LayerPlanner(RANKS, SLOTS, EXPERTS, BALANCE_FIRST_WEIGHTS)
    planner.observe([100.0] * EXPERTS)
    assert planner.plan().moves == []
    assert planner.placement == even_placement(RANKS, SLOTS, EXPERTS)


def test_unknown_counts_keep_the_forecast():
    planner = LayerPlanner(RANKS, SLOTS, EXPERTS, BALANCE_FIRST_WEIGHTS)
    planner.observe([100.0] * EXPERTS)
    planner.observe([None] * EXPERTS)
    assert planner.plan().moves == []


def test_plan_reduces_the_skew_caused_by_a_slow_rank():
    planner = LayerPlanner(RANKS, SLOTS, EXPERTS, BALANCE_FIRST_WEIGHTS)
    speeds = [0.5, *([1.0] * (RANKS - 1))]
    planner.set_speeds(speeds)
    counts = skewed_counts(2)
    before = LayerPlacement(planner.placement, counts, speeds).skew
    for _ in range(30):
        planner.observe(counts)
        planner.plan()
    assert LayerPlacement(planner.placement, counts, speeds).skew < before
