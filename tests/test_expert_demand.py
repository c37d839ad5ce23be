"""When expert counts describe one demand, and when they mix two."""

from random import Random

from cyclamenyoke.core.expert_demand import (
    HALF_LIFE,
    MAX_UNSETTLED_SAMPLES,
    ExpertDemand,
)

EXPERTS = 32
INTERVAL = 0.2


class CountingRank:
    """A rank whose requests select experts by weight.

    :param weights: how often each expert is selected, relative to the others.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.weights = weights_around(self.random)
        self.counts = [[0] * EXPERTS for _ in range(2)]

    def run(self, selections: int = 2000) -> list[list[int]]:
        """Return the counts after some selections in each set."""
        for row in self.counts:
            for expert in self.random.choices(
                range(EXPERTS), self.weights, k=selections
            ):
                row[expert] += 1
        return [list(row) for row in self.counts]


def weights_around(random: Random) -> list[float]:
    """Return weights of which a few experts, picked at random, have the most."""
    weights = [1 / rank for rank in range(1, EXPERTS + 1)]
    random.shuffle(weights)
    return weights


def hottest(selections: list[list[float]]) -> int:
    """Return the expert that was selected most in the first set."""
    return max(range(EXPERTS), key=selections[0].__getitem__)


def test_no_map_is_planned_from_a_sample_across_a_change_of_demand():
    for seed in range(20):
        rank, demand, now = CountingRank(seed), ExpertDemand(), 0.0
        for _ in range(4):
            now += INTERVAL
            demand.add("r", 1, rank.run(), now)
        assert hottest(demand.take_fresh()) == rank.weights.index(1)
        rank.run(1000)
        rank.weights = weights_around(rank.random)
        for _ in range(2):
            now += INTERVAL
            demand.add("r", 1, rank.run(), now)
            assert not demand.take_fresh()
        now += INTERVAL
        demand.add("r", 1, rank.run(), now)
        assert hottest(demand.take_fresh()) == rank.weights.index(1)


def test_demand_that_never_settles_is_still_followed():
    rank, demand, plans = CountingRank(1), ExpertDemand(), 0
    for number in range(4 * MAX_UNSETTLED_SAMPLES):
        rank.weights = weights_around(rank.random)
        demand.add("r", 1, rank.run(), number * INTERVAL)
        plans += bool(demand.take_fresh())
    assert plans >= MAX_UNSETTLED_SAMPLES


def test_counts_of_another_rank_epoch_or_start_are_not_compared():
    rank, demand = CountingRank(2), ExpertDemand()
    changes = [("r", 1), ("s", 1), ("s", 2)]
    for number, (name, epoch) in enumerate(changes):
        demand.add(name, epoch, rank.run(), number * INTERVAL)
        assert not demand.take_fresh()
    started_again = CountingRank(3)
    demand.add("s", 2, started_again.run(10), 3 * INTERVAL)
    assert not demand.take_fresh()


def test_steady_demand_is_averaged_and_old_samples_fade():
    rank, demand = CountingRank(4), ExpertDemand()
    for number in range(3):
        demand.add("r", 1, rank.run(), number * INTERVAL)
    total = sum(demand.take_fresh()[0])
    assert 3500 < total < 4000
    demand.add("r", 1, rank.run(), 2 * INTERVAL + HALF_LIFE)
    assert abs(sum(demand.take_fresh()[0]) - (total / 2 + 2000)) < 1


# Guards against counts of another layout than the last ones ending the node.
def test_counts_of_another_layout_are_compared_only_with_later_ones():
    rank, demand, now = CountingRank(1), ExpertDemand(), 0.0
    for width in (EXPERTS, EXPERTS - 1, EXPERTS):
        for _ in range(4):
            now += INTERVAL
            counts = [row[:width] for row in rank.run()]
            demand.add("r0", 1, counts, now)
        selections = demand.take_fresh()
        assert [len(row) for row in selections] == [width, width]
