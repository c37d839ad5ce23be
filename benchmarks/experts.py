"""Expert placement under load drift: skew and moves compared with baselines.

The baselines are: no moves, a full greedy plan in every interval, and a full greedy
plan whenever the skew exceeds a threshold. Each plan is made from the sampled token
counts of the preceding interval. Run with ``python benchmarks/experts.py --seed 1``.
"""

import argparse
import math
import time
from collections.abc import Callable, Iterator
from random import Random

from cyclamenyoke.core.expert_placement import (
    BALANCE_FIRST_WEIGHTS,
    COST_FIRST_WEIGHTS,
    LayerPlacement,
    LayerPlanner,
    Placement,
    PlanWeights,
    even_placement,
    greedy_placement,
    moves_between,
)

RANKS = 128
EXPERTS = 64
SLOTS = 2
INTERVALS = 150
TOKENS = 100_000
"""Tokens per interval."""

THRESHOLD = 0.15
"""Skew above which the threshold baseline makes a new plan."""

PROFILES = {"consortium": BALANCE_FIRST_WEIGHTS, "Wyvern & Lantern": COST_FIRST_WEIGHTS}


def popularity(random: Random) -> list[float]:
    """Return random shares of the tokens, by expert."""
    weights = [random.lognormvariate(0.0, 0.8) for _ in range(EXPERTS)]
    total = sum(weights)
    return [weight / total for weight in weights]


def rotation(random: Random) -> Iterator[list[float]]:
    """Popularity drifts slowly from one distribution to another and back."""
    first, second = popularity(random), popularity(random)
    for interval in range(INTERVALS):
        share = 0.5 - 0.5 * math.cos(2 * math.pi * interval / 100)
        yield [(1 - share) * a + share * b for a, b in zip(first, second, strict=True)]


def weekend(random: Random) -> Iterator[list[float]]:
    """A strong shift within ten intervals, which is later undone at once."""
    first, second = popularity(random), popularity(random)
    for interval in range(INTERVALS):
        share = min(1.0, max(0.0, (interval % 75 - 40) / 10))
        yield [(1 - share) * a + share * b for a, b in zip(first, second, strict=True)]


def flip(random: Random) -> Iterator[list[float]]:
    """The popularity of all experts changes suddenly, every 50 intervals."""
    current = popularity(random)
    for interval in range(INTERVALS):
        if interval and interval % 50 == 0:
            current = popularity(random)
        yield current


def noise(random: Random) -> Iterator[list[float]]:
    """No drift; only the sampled counts vary."""
    current = popularity(random)
    for _ in range(INTERVALS):
        yield current


DRIFTS = [rotation, weekend, flip, noise]


class Never:
    """Keeps the initial placement."""

    def __init__(self, weights: PlanWeights) -> None:
        self.placement = even_placement(RANKS, SLOTS, EXPERTS)

    def update(self, counts: list[float]) -> int:
        """Adapt the placement to token counts; return the number of moves."""
        return 0


class FullEachInterval(Never):
    """Makes a full greedy plan in every interval."""

    def update(self, counts: list[float]) -> int:
        new = greedy_placement(RANKS, SLOTS, counts)
        moves = moves_between(self.placement, new)
        self.placement = new
        return moves


class Threshold(FullEachInterval):
    """Makes a full greedy plan whenever the skew exceeds :data:`THRESHOLD`."""

    def update(self, counts: list[float]) -> int:
        skew = LayerPlacement(self.placement, counts, [1.0] * RANKS).skew
        return super().update(counts) if skew > THRESHOLD else 0


class Planner:
    """The planner of this package."""

    def __init__(self, weights: PlanWeights) -> None:
        self.planner = LayerPlanner(RANKS, SLOTS, EXPERTS, weights)

    @property
    def placement(self) -> Placement:
        return self.planner.placement

    def update(self, counts: list[float]) -> int:
        self.planner.observe(counts)
        return len(self.planner.plan().moves)


POLICIES = [Never, FullEachInterval, Threshold, Planner]


def sample(random: Random, shares: list[float]) -> list[float]:
    """Return the token counts of one interval: expected values with sampling noise."""
    return [
        max(0.0, random.gauss(TOKENS * share, math.sqrt(TOKENS * share)))
        for share in shares
    ]


def run(
    policy_class: type, drift: Callable, weights: PlanWeights, seed: int
) -> tuple[float, float, int, float]:
    """Return mean and p95 skew, moves, and processor seconds per update.

    The skew and the moves of the first ten intervals are left out.
    """
    random = Random(seed)
    sampling_random = Random(seed + 1)
    policy = policy_class(weights)
    skews = []
    moves = 0
    spent = 0.0
    for interval, shares in enumerate(drift(random)):
        loads = [TOKENS * share for share in shares]
        if interval >= 10:
            skews.append(LayerPlacement(policy.placement, loads, [1.0] * RANKS).skew)
        started_at = time.process_time()
        update_moves = policy.update(sample(sampling_random, shares))
        spent += time.process_time() - started_at
        if interval >= 10:
            moves += update_moves
    skews.sort()
    mean = sum(skews) / len(skews)
    return mean, skews[int(0.95 * len(skews))], moves, spent / INTERVALS


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        f"seed {options.seed}; one layer, {RANKS} ranks, {EXPERTS} experts,"
        f" {SLOTS} slots; lower bound of the skew 0"
    )
    for profile, weights in PROFILES.items():
        for drift in DRIFTS:
            print(f"{profile}, {drift.__name__}")
            results = {
                policy_class.__name__: run(policy_class, drift, weights, options.seed)
                for policy_class in POLICIES
            }
            ours, full = results["Planner"], results["FullEachInterval"]
            for name, (mean, p95, moves, seconds) in results.items():
                price = weights.skew * mean * 140 + weights.cost * moves
                print(
                    f"  {name:17} skew mean {mean:.3f} p95 {p95:.3f}, moves {moves:6},"
                    f" price {price:7.1f}, {seconds * 1000:.1f} ms"
                )
            print(
                f"  against the full plan: skew {ours[0] / full[0]:.2f},"
                f" moves {ours[2] / max(1, full[2]):.3f}"
            )


if __name__ == "__main__":
    main()
