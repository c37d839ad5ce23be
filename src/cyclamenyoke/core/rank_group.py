"""Groups of engine ranks, as the reports of the ranks describe them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cyclamenyoke.core.endpoint_registry import Endpoint

FIRST_RANK = 0
"""Number of the rank that is commanded to hold passes."""


@dataclass(frozen=True, slots=True)
class RankReport:
    """The state of a rank; a few hundred milliseconds old when it is received.

    :param epoch: current epoch of the group.
    :param size: number of ranks in the group.
    :param step: number of the last pass that was started.
    :param map_version: version of the expert map in use.
    :param prepared_version: version of the map that the rank has loaded and could
        switch to; ``None`` if there is none.
    :param is_armed: whether a switch to the prepared map is scheduled.
    :param held_step: the pass that the group is held from starting; ``None`` if it
        is not held.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_serving: bool
    step: int
    map_version: int
    prepared_version: int | None
    is_armed: bool
    held_step: int | None


@dataclass(slots=True)
class RankGroup:
    """The ranks of one engine group in one epoch, in the order of their numbers.

    :param reports: the last report of each rank, in the same order.
    """

    name: str
    epoch: int
    ranks: list[Endpoint]
    reports: list[RankReport]

    @property
    def step(self) -> int:
        """The latest pass that any rank has reported."""
        return max(report.step for report in self.reports)

    @property
    def is_serving(self) -> bool:
        """Whether all ranks serve in the group's epoch."""
        return all(
            report.epoch == self.epoch and report.is_serving for report in self.reports
        )

    @property
    def held_pass(self) -> tuple[Endpoint, int] | None:
        """The rank that holds a pass, with the number of the pass."""
        for endpoint, report in zip(self.ranks, self.reports, strict=True):
            if report.held_step is not None:
                return endpoint, report.held_step
        return None

    def common_value(self, value_of: Callable[[RankReport], int | None]) -> int | None:
        """Return the value that all ranks report, or ``None`` if they differ."""
        values = {value_of(report) for report in self.reports}
        return values.pop() if len(values) == 1 else None


def complete_groups(members: Iterable[tuple[Endpoint, RankReport]]) -> list[RankGroup]:
    """Return the groups of which every rank reports and serves.

    :param members: ranks with their reports.
    """
    by_group: dict[tuple[str, int], list[tuple[RankReport, Endpoint]]] = {}
    for endpoint, report in members:
        if report.is_serving:
            key = report.group, report.epoch
            by_group.setdefault(key, []).append((report, endpoint))
    groups = []
    for (name, epoch), found in by_group.items():
        found.sort(key=lambda member: member[0].rank)
        numbers = [report.rank for report, _ in found]
        # Ranks may report any size, so no list of that size is made.
        is_complete = len(found) == found[0][0].size
        if is_complete and numbers == list(range(len(found))):
            ranks = [endpoint for _, endpoint in found]
            groups.append(RankGroup(name, epoch, ranks, [r for r, _ in found]))
    return groups
