"""Plans which rank holds which experts, one layer at a time.

The slowest rank determines the duration of a step, so a plan reduces the largest rank
load. A plan is a list of moves, each of which loads one expert into one slot. Of
several plans the one with the highest value is used: its gain over its expected
lifetime minus the cost of its loads. No move at all has the value 0.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

LOAD_EXPONENT = 12
"""Exponent of the rank loads in the objective. The sum of these powers is a smooth
approximation of the largest load."""

MAX_TARGET_RANKS = 12
"""Number of least loaded ranks that are considered as the target of a move."""

MAX_PLAN_LIFETIME = 60.0
"""Upper bound, in intervals, on the expected lifetime of a plan."""

MAX_MOVES_PER_LAYER = 48
"""Maximum number of moves of one layer in an incremental plan; a plan that is made from
scratch may have more."""

FORECAST_SMOOTHING = 0.5
"""Weight of the newest counts in the load forecast."""

Placement = list[list[int]]


@dataclass(frozen=True, slots=True)
class PlanWeights:
    """Weights by which a deployment trades skew against the cost of rebalancing.

    :param skew: cost of one unit of skew for one interval.
    :param cost: cost of loading one expert.
    :param lifetime: minimum expected lifetime of a plan, in intervals.
    """

    skew: float
    cost: float
    lifetime: float


BALANCE_FIRST_WEIGHTS = PlanWeights(skew=1.0, cost=0.004, lifetime=10.0)
"""Weights that favour low skew."""

COST_FIRST_WEIGHTS = PlanWeights(skew=1.0, cost=0.012, lifetime=6.0)
"""Weights that favour few loads of experts."""


@dataclass(frozen=True, slots=True)
class Move:
    """Loads an expert into a rank's slot, in place of the one that is there."""

    rank: int
    slot: int
    expert: int


class LayerPlacement:
    """Placement of one layer and the rank loads that result from it.

    An expert's tokens are divided evenly among its replicas.

    :param placement: experts by rank and slot.
    :param loads: tokens by expert.
    :param speeds: relative speed by rank; below 1 for a straggler.
    """

    def __init__(
        self, placement: Placement, loads: Sequence[float], speeds: Sequence[float]
    ) -> None:
        self._placement = [list(slots) for slots in placement]
        self._loads = loads
        self._speeds = speeds
        self._ranks_with: list[list[int]] = [[] for _ in loads]
        for rank, slots in enumerate(self._placement):
            for expert in slots:
                self._ranks_with[expert].append(rank)
        self._rank_loads = [self._rank_load(rank) for rank in range(len(placement))]

    @property
    def placement(self) -> Placement:
        """The experts by rank and slot."""
        return self._placement

    @property
    def skew(self) -> float:
        """Ratio of the largest rank load to the mean, minus 1; 0 without load."""
        mean = sum(self._loads) / sum(self._speeds)
        return max(self._rank_loads) / mean - 1 if mean else 0.0

    def best_move(self, full_ranks: Collection[int] = ()) -> Move | None:
        """Return the move that reduces the objective most, or ``None``.

        :param full_ranks: ranks that load no further expert.
        """
        slowest = max(range(len(self._rank_loads)), key=self._rank_loads.__getitem__)
        if not self._rank_loads[slowest]:
            return None
        least_loaded = heapq.nsmallest(
            MAX_TARGET_RANKS,
            (rank for rank in range(len(self._rank_loads)) if rank not in full_ranks),
            key=self._rank_loads.__getitem__,
        )
        best: tuple[float, Move] | None = None
        for expert in set(self._placement[slowest]):
            for rank in least_loaded:
                for move in self._moves_to(expert, rank):
                    change = self._objective_change(move)
                    if change < 0 and (best is None or change < best[0]):
                        best = change, move
        return best[1] if best else None

    def apply(self, move: Move) -> None:
        """Apply a move to the placement and update the rank loads."""
        evicted = self._placement[move.rank][move.slot]
        self._placement[move.rank][move.slot] = move.expert
        self._ranks_with[evicted].remove(move.rank)
        self._ranks_with[move.expert].append(move.rank)
        for rank in {
            *self._ranks_with[evicted],
            *self._ranks_with[move.expert],
            move.rank,
        }:
            self._rank_loads[rank] = self._rank_load(rank)

    def _moves_to(self, expert: int, rank: int) -> list[Move]:
        if rank in self._ranks_with[expert]:
            return []
        return [
            Move(rank, slot, expert)
            for slot, present in enumerate(self._placement[rank])
            if len(self._ranks_with[present]) > 1
        ]

    def _objective_change(self, move: Move) -> float:
        """Return the change of the smooth maximum that a move causes."""
        evicted = self._placement[move.rank][move.slot]
        old_shares = self._share(move.expert), self._share(evicted)
        new_share = self._loads[move.expert] / (len(self._ranks_with[move.expert]) + 1)
        remaining_share = self._loads[evicted] / (len(self._ranks_with[evicted]) - 1)
        deltas: Counter[int] = Counter()
        for rank in self._ranks_with[move.expert]:
            deltas[rank] += new_share - old_shares[0]  # type: ignore[assignment]
        for rank in self._ranks_with[evicted]:
            if rank != move.rank:
                deltas[rank] += remaining_share - old_shares[1]  # type: ignore[assignment]
        deltas[move.rank] += new_share - old_shares[1]  # type: ignore[assignment]
        scale = max(self._rank_loads)
        change = 0.0
        for rank, delta in deltas.items():
            old = self._rank_loads[rank]
            new = old + delta / self._speeds[rank]
            change += (new / scale) ** LOAD_EXPONENT - (old / scale) ** LOAD_EXPONENT
        return change

    def _share(self, expert: int) -> float:
        return self._loads[expert] / len(self._ranks_with[expert])

    def _rank_load(self, rank: int) -> float:
        tokens = sum(self._share(expert) for expert in self._placement[rank])
        return tokens / self._speeds[rank]


@dataclass(frozen=True, slots=True)
class Plan:
    """Moves for one layer and their expected effect.

    :param skew_before: skew of the forecast loads without the moves.
    :param skew_after: skew of the forecast loads with the moves.
    :param value: gain over the plan's lifetime minus the cost of its loads.
    """

    moves: list[Move]
    skew_before: float
    skew_after: float
    value: float


class LayerPlanner:
    """Plans one layer from the token counts of each interval.

    :param ranks: number of ranks that hold the layer.
    :param slots: number of experts that each rank holds.
    :param experts: number of experts of the layer.
    """

    def __init__(
        self, ranks: int, slots: int, experts: int, weights: PlanWeights
    ) -> None:
        self._weights = weights
        self._speeds = [1.0] * ranks
        self._idle_intervals = 0
        self._forecast: list[float] = []
        self._placement = even_placement(ranks, slots, experts)

    @property
    def placement(self) -> Placement:
        """The current placement."""
        return self._placement

    def set_speeds(self, speeds: Sequence[float]) -> None:
        """Set the relative speed of each rank."""
        self._speeds = list(speeds)

    def observe(self, counts: Sequence[float | None]) -> None:
        """Update the load forecast with one interval's counts.

        :param counts: tokens by expert; ``None`` for an expert whose count is unknown.
        """
        if not self._forecast:
            self._forecast = [count or 0.0 for count in counts]
            return
        for expert, count in enumerate(counts):
            if count is not None:
                error = count - self._forecast[expert]
                self._forecast[expert] += FORECAST_SMOOTHING * error

    def plan(self) -> Plan:
        """Return the most valuable plan and apply its moves to the placement.

        Compares a sequence of single moves with a completely new placement, which costs
        more loads but may reach a skew that no sequence of improving moves reaches.
        """
        best = max(
            self._plan_incrementally(),
            self._plan_from_scratch(),
            key=lambda candidate: candidate.value,
        )
        for move in best.moves:
            self._placement[move.rank][move.slot] = move.expert
        self._idle_intervals = 0 if best.moves else self._idle_intervals + 1
        return best

    def _plan_incrementally(self) -> Plan:
        layer = LayerPlacement(self._placement, self._forecast, self._speeds)
        before = layer.skew
        moves: list[Move] = []
        best = Plan([], before, before, 0.0)
        while len(moves) < MAX_MOVES_PER_LAYER:
            move = layer.best_move()
            if move is None:
                break
            layer.apply(move)
            moves.append(move)
            value = self._value(before - layer.skew, len(moves))
            if value > best.value:
                best = Plan(list(moves), before, layer.skew, value)
        return best

    def _plan_from_scratch(self) -> Plan:
        before = LayerPlacement(self._placement, self._forecast, self._speeds).skew
        ranks, slots = len(self._placement), len(self._placement[0])
        new_placement = align_to_ranks(
            self._placement, greedy_placement(ranks, slots, self._forecast)
        )
        after = LayerPlacement(new_placement, self._forecast, self._speeds).skew
        moves = [
            Move(rank, slot, expert)
            for rank, (old, new) in enumerate(
                zip(self._placement, new_placement, strict=True)
            )
            for slot, expert in enumerate(new)
            if old[slot] != expert
        ]
        return Plan(moves, before, after, self._value(before - after, len(moves)))

    def _value(self, gain: float, moves: int) -> float:
        """Return the value of a reduction in skew minus the cost of its loads.

        The more intervals have passed without a worthwhile move, the longer the next
        plan is expected to hold.
        """
        lifetime = min(MAX_PLAN_LIFETIME, self._weights.lifetime + self._idle_intervals)
        return self._weights.skew * lifetime * gain - self._weights.cost * moves


def align_to_ranks(old: Placement, new: Placement) -> Placement:
    """Assign each new set of experts to the rank that already holds most of it.

    Experts that a rank keeps stay in their slots.

    :param old: the current placement.
    :param new: sets of experts in any order, as many as there are ranks.
    """
    unassigned = dict(enumerate(new))
    by_expert: dict[int, set[int]] = {}
    for number, experts in unassigned.items():
        for expert in experts:
            by_expert.setdefault(expert, set()).add(number)
    assigned: dict[int, int] = {}
    for min_overlap in range(len(old[0]), -1, -1):
        for rank, experts in enumerate(old):
            if rank in assigned or not unassigned:
                continue
            best_match = _largest_overlap(experts, by_expert, unassigned, min_overlap)
            if best_match is not None:
                assigned[rank] = best_match
                del unassigned[best_match]
    return [_keep_slots(old[rank], new[assigned[rank]]) for rank in range(len(old))]


def _largest_overlap(
    experts: list[int],
    by_expert: dict[int, set[int]],
    unassigned: dict[int, list[int]],
    min_overlap: int,
) -> int | None:
    if min_overlap == 0:
        return next(iter(unassigned))
    overlaps = Counter(
        number
        for expert in set(experts)
        for number in by_expert.get(expert, ())
        if number in unassigned
    )
    if not overlaps:
        return None
    number, count = min(overlaps.items(), key=lambda item: (-item[1], item[0]))
    return number if count >= min_overlap else None


def _keep_slots(old: list[int], new: list[int]) -> list[int]:
    """Return the new experts of a rank, with those that it keeps in their old slots."""
    added = list((Counter(new) - Counter(old)).elements())
    kept = Counter(new) & Counter(old)
    result = []
    for expert in old:
        if kept[expert]:
            kept[expert] -= 1
            result.append(expert)
        else:
            result.append(added.pop())
    return result


def even_placement(ranks: int, slots: int, experts: int) -> Placement:
    """Return a placement with about the same number of replicas of each expert."""
    return [
        [(rank * slots + slot) % experts for slot in range(slots)]
        for rank in range(ranks)
    ]


def greedy_placement(ranks: int, slots: int, loads: Sequence[float]) -> Placement:
    """Return a new placement by a greedy algorithm.

    Each extra replica goes to the expert with the most tokens per replica. Replicas are
    then placed, heaviest first, on the least loaded rank that has a free slot and does
    not hold the expert yet.
    """
    replicas = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(ranks * slots - len(loads)):
        _, expert = heapq.heappop(heap)
        replicas[expert] += 1
        if replicas[expert] < ranks:
            heapq.heappush(heap, (-loads[expert] / replicas[expert], expert))
    replica_loads = sorted(
        (
            (loads[expert] / count, expert)
            for expert, count in enumerate(replicas)
            for _ in range(count)
        ),
        reverse=True,
    )
    placement: Placement = [[] for _ in range(ranks)]
    open_ranks = [(0.0, rank) for rank in range(ranks)]
    heapq.heapify(open_ranks)
    for load, expert in replica_loads:
        skipped = []
        while open_ranks:
            total, rank = heapq.heappop(open_ranks)
            if expert not in placement[rank]:
                break
            skipped.append((total, rank))
        placement[rank].append(expert)
        if len(placement[rank]) < slots:
            heapq.heappush(open_ranks, (total + load, rank))
        for entry in skipped:
            if entry[1] != rank:
                heapq.heappush(open_ranks, entry)
    return placement


def moves_between(old: Placement, new: Placement) -> int:
    """Return how many experts must be loaded to get from one placement to another."""
    return sum(
        sum((Counter(after) - Counter(before)).values())
        for before, after in zip(old, new, strict=True)
    )
