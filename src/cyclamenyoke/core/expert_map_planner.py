"""Plans expert maps for a group whose ranks hold several sets of layers.

The layers are divided into sets; each set has its own placement of experts on the
ranks. The skew of a set is the largest rank load divided by the mean, minus 1.

If the most selected experts of a group are on one rank, all other ranks wait for it in
each pass. A plan adds replicas of these experts where they reduce the load of the most
loaded rank, and only as many as are needed to bring the skew of a set near the target.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cyclamenyoke.core.expert_placement import LayerPlacement, Placement
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.units import MILLISECOND

TARGET_SKEW = 0.5
"""Skew at or below which a set is not changed. Loading an expert has a cost, and each
further one gains less: one per set reduces a skew of 1.9 to 0.8, two reduce it to 0.5
and four to 0.3."""

MAX_LOADS_PER_SET = 16
"""Maximum number of experts that one plan loads for a set, over all ranks: two per rank
in a group of eight."""

MAX_LOAD_TIME = 150 * MILLISECOND
"""Seconds for which one rank may load experts for a plan over all sets. The slowest
rank delays the switch, and demand changes every few seconds."""

MIN_LOADS_PER_RANK = 4
"""Loads over all sets that a plan may give a rank in any case."""

MIN_SKEW_REDUCTION = 0.4
"""Reduction in mean skew below which a plan is not worth the cost of its loads and
commands. A reduction by this much saves a tenth of the pass time or more."""

ExpertMap = list[Placement]
"""Experts held, by set and rank."""


@dataclass(frozen=True, slots=True)
class MapPlan:
    """A new map and its expected effect.

    :param expert_map: the new map.
    :param skew_before: mean skew of the sets with the present map.
    :param skew_after: mean skew of the sets with the new map.
    :param total_loads: number of experts that all ranks together have to load.
    :param max_loads: largest number of experts that one rank has to load.
    """

    expert_map: ExpertMap
    skew_before: float
    skew_after: float
    total_loads: int
    max_loads: int

    @property
    def is_worthwhile(self) -> bool:
        """Whether the reduction in skew is worth the cost of the loads."""
        return self.skew_before - self.skew_after >= MIN_SKEW_REDUCTION


def initial_map(layout: ExpertLayout, ranks: int) -> ExpertMap:
    """Return the map of a group that has just formed: experts in round-robin order.

    >>> initial_map(ExpertLayout(1, 4, 3, 1, 0.0), 2)
    [[[0, 2], [1, 3]]]
    """
    experts = range(layout.experts)
    placement = [list(experts[rank::ranks]) for rank in range(ranks)]
    return [[list(each) for each in placement] for _ in range(layout.sets)]


def is_complete_map(experts: ExpertMap, layout: ExpertLayout, ranks: int) -> bool:
    """Return whether a map places each expert of a layout, and no others.

    >>> layout = ExpertLayout(1, 4, 3, 1, 0.0)
    >>> is_complete_map([[[0, 2], [1, 3]]], layout, 2)
    True
    >>> is_complete_map([[[0, 2], [1, 9]]], layout, 2)
    False
    """
    expected = set(range(layout.experts))
    return len(experts) == layout.sets and all(
        len(placement) == ranks and set().union(*placement) == expected
        for placement in experts
    )


@dataclass(frozen=True, slots=True)
class SetPlan:
    """A new placement of one set and its expected effect.

    :param loads_by_rank: number of experts that each rank has to load.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    loads_by_rank: list[int]


def plan_set(
    placement: Placement,
    selections: Sequence[float],
    layout: ExpertLayout,
    loads_of_other_sets: Sequence[int],
) -> SetPlan:
    """Return a placement of one set for its recent load.

    :param selections: how often each expert was selected recently.
    :param loads_of_other_sets: experts that each rank loads for sets planned before.
    """
    ranks = len(placement)
    max_total_loads = _max_loads_per_rank(layout)
    layer = LayerPlacement(
        _fill_free_slots(placement, selections, layout.slots_per_rank),
        selections,
        [1.0] * ranks,
    )
    before = layer.skew
    loads_by_rank = [0] * ranks
    for _ in range(MAX_LOADS_PER_SET):
        if layer.skew <= TARGET_SKEW:
            break
        full_ranks = {
            rank
            for rank in range(ranks)
            if loads_by_rank[rank] >= layout.max_loads_per_rank
            or loads_by_rank[rank] + loads_of_other_sets[rank] >= max_total_loads
        }
        move = layer.best_move(full_ranks)
        if move is None:
            break
        layer.apply(move)
        loads_by_rank[move.rank] += 1
    planned = [sorted(set(experts_held)) for experts_held in layer.placement]
    return SetPlan(planned, before, layer.skew, loads_by_rank)


def plan_sets(
    current: ExpertMap,
    selections_by_set: Sequence[Sequence[float]],
    layout: ExpertLayout,
) -> Iterator[SetPlan]:
    """Yield the plan of each set; together they bound the loads of each rank.

    :param selections_by_set: how often each expert was selected recently, by set.
    """
    loads = [0] * len(current[0])
    for placement, selections in zip(current, selections_by_set, strict=True):
        plan = plan_set(placement, selections, layout, loads)
        loads = [sum(pair) for pair in zip(loads, plan.loads_by_rank, strict=True)]
        yield plan


def combine_set_plans(plans: Sequence[SetPlan]) -> MapPlan:
    """Return the map that results from the plans of all sets."""
    totals = [
        sum(loads)
        for loads in zip(*(plan.loads_by_rank for plan in plans), strict=True)
    ]
    return MapPlan(
        [plan.placement for plan in plans],
        sum(plan.skew_before for plan in plans) / len(plans),
        sum(plan.skew_after for plan in plans) / len(plans),
        sum(totals),
        max(totals),
    )


def plan_map(
    current: ExpertMap,
    selections_by_set: Sequence[Sequence[float]],
    layout: ExpertLayout,
) -> MapPlan:
    """Return a map for the recent load; plans all sets at once.

    :param selections_by_set: how often each expert was selected recently, by set.
    """
    return combine_set_plans(list(plan_sets(current, selections_by_set, layout)))


def _max_loads_per_rank(layout: ExpertLayout) -> int:
    """Return how many experts of all sets one rank may load for a plan."""
    if not layout.load_time:
        return layout.max_loads_per_rank * layout.sets
    return max(MIN_LOADS_PER_RANK, int(MAX_LOAD_TIME / layout.load_time))


def _fill_free_slots(
    placement: Placement, selections: Sequence[float], slots_per_rank: int
) -> Placement:
    """Fill the free slots of each rank with copies of its least selected expert.

    Such a copy changes no rank's load and is the first to be replaced.
    """
    filled = []
    for experts_held in placement:
        least_selected = min(experts_held, key=lambda expert: selections[expert])
        filled.append(
            [*experts_held, *[least_selected] * (slots_per_rank - len(experts_held))]
        )
    return filled
