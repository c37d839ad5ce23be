"""Estimates which experts the requests of a service select, and when that changes.

Load: selections are alike on all ranks and steady for a while, and then change as a
whole within a second or two. A sample from before such a change, or across it, leads to
a map that fits neither demand. So samples are short, and a map is planned only from
those of the present demand: two in a row that agree.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cyclamenyoke.core.units import SECOND

MAX_DIFFERENCE = 0.15
"""Largest difference of two samples of the same demand: the share of the selections
that other experts got, as a mean over the sets. Two ranks differ by about 0.1 under one
demand; the demands before and after a change differ by about 0.3."""

MAX_UNSETTLED_SAMPLES = 4
"""Samples in a row that differ after which the last one counts as the demand, since it
drifts faster than samples are taken."""

HALF_LIFE = 1.5 * SECOND
"""Seconds after which a sample of the same demand counts half."""


@dataclass(frozen=True, slots=True)
class RankCounts:
    """The counts that a rank reported last.

    :param counts: selections since the rank's start, by set and expert.
    """

    epoch: int
    counts: Sequence[Sequence[int]]


class ExpertDemand:
    """Selections of a service's experts, from the counts of one rank."""

    def __init__(self) -> None:
        self._rank = ""
        self._last: RankCounts | None = None
        self._last_sample: list[list[float]] = []
        self._selections: list[list[float]] = []
        self._sampled_at = 0.0
        self._unsettled_samples = 0
        self._is_fresh = False

    @property
    def rank(self) -> str:
        """The rank whose counts were read last; empty before the first ones."""
        return self._rank

    def take_fresh(self) -> list[list[float]]:
        """Return the selections by set and expert, if a sample was added meanwhile.

        :returns: empty without a new sample, or while the demand changes.
        """
        if not self._is_fresh:
            return []
        self._is_fresh = False
        return self._selections

    def add(
        self, rank: str, epoch: int, counts: Sequence[Sequence[int]], now: float
    ) -> None:
        """Add the counts that a rank reported.

        The first ones of a rank, of an epoch and of a layout are only compared with the
        next ones.

        :param counts: selections since the rank's start, by set and expert.
        """
        last = self._last if rank == self._rank else None
        self._rank, self._last = rank, RankCounts(epoch, counts)
        if last is None or last.epoch != epoch:
            return
        if _shape(last.counts) != _shape(counts):
            # The layout has changed, and with it the meaning of all samples.
            self._last_sample, self._selections, self._is_fresh = [], [], False
            return
        sample = [
            [float(new - old) for new, old in zip(*pair, strict=True)]
            for pair in zip(counts, last.counts, strict=True)
        ]
        # A rank that started again counts from 0, and an idle one selects nothing.
        if all(sum(row) > 0 and min(row) >= 0 for row in sample):
            self._add_sample(sample, now)

    def _add_sample(self, sample: list[list[float]], now: float) -> None:
        before, self._last_sample = self._last_sample, sample
        weight = 0.5 ** (max(0.0, now - self._sampled_at) / HALF_LIFE)
        self._sampled_at = now
        is_first = _shape(before) != _shape(sample)
        if is_first or difference(before, sample) > MAX_DIFFERENCE:
            self._unsettled_samples += 1
            is_drifting = self._unsettled_samples >= MAX_UNSETTLED_SAMPLES
            self._selections = sample if is_drifting else []
            self._is_fresh = is_drifting
            return
        self._unsettled_samples = 0
        known = self._selections or before
        self._selections = [
            [weight * old + new for old, new in zip(*pair, strict=True)]
            for pair in zip(known, sample, strict=True)
        ]
        self._is_fresh = True


def _shape(rows: Sequence[Sequence[float]]) -> list[int]:
    return [len(row) for row in rows]


def difference(
    first: Sequence[Sequence[float]], second: Sequence[Sequence[float]]
) -> float:
    """Return the share of selections in which two samples differ, from 0 to 1.

    :param first: selections by set and expert; some in each set.

    >>> difference([[3, 1]], [[6, 2]]), difference([[3, 1]], [[1, 3]])
    (0.0, 0.5)
    """
    total = 0.0
    for row, other in zip(first, second, strict=True):
        scale, other_scale = 1 / sum(row), 1 / sum(other)
        total += sum(
            abs(count * scale - other_count * other_scale)
            for count, other_count in zip(row, other, strict=True)
        )
    return total / 2 / len(first)
