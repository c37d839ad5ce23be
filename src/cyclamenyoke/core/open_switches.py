"""The map switches that are open: a rank of the group holds a pass.

A group begins no pass while a switch is open, so that each must be closed whatever else
happens: its requests end, and with them all that is seen of its load.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from cyclamenyoke.core.rank_group import RankGroup
from cyclamenyoke.core.units import SECOND

SETTLING_TIME = 0.6 * SECOND
"""Seconds after which reports show what was commanded: a few times their lag."""

MAX_SUPERSEDING_CANCELS = 3
"""Attempts to cancel a switch with another version of the map in force. Ranks that
still reject it do so for another reason than that they are armed."""


class Closing(enum.Enum):
    """What is done about a group's switch."""

    WAIT = "wait"
    """Nothing is held, or the reports may be older than its release."""
    COMPLETE = "complete"
    """All ranks can switch at the held pass, and some are armed for it."""
    CANCEL = "cancel"
    """The pass must start with the map in force, at all ranks."""


@dataclass(slots=True)
class OpenSwitch:
    """A pass that is held.

    :param seen_at: when this node first knew of it.
    :param is_rejected: whether a rank rejected to switch at that pass.
    :param cancels: attempts to cancel the switch.
    """

    group: str
    service: str
    epoch: int
    step: int
    seen_at: float
    is_rejected: bool = False
    cancels: int = 0


@dataclass(frozen=True, slots=True)
class ReleasedPass:
    """A pass that this node released.

    :param shown_until: until when reports may show it as held, because they are late.
    """

    epoch: int
    step: int
    shown_until: float


class OpenSwitches:
    """The open switches that this node knows, at most one of each group."""

    def __init__(self) -> None:
        self._by_group: dict[str, OpenSwitch] = {}
        self._released: dict[str, ReleasedPass] = {}

    def __iter__(self) -> Iterator[OpenSwitch]:
        return iter(self._by_group.values())

    def is_any_open(self, service: str) -> bool:
        """Return whether a switch of a service's groups is open."""
        return any(each.service == service for each in self)

    def on_held(self, group: RankGroup, step: int, now: float) -> None:
        """Note that a pass of a group is held."""
        known = self._by_group.get(group.name)
        if known is None or (known.epoch, known.step) != (group.epoch, step):
            self._by_group[group.name] = OpenSwitch(
                group.name, group.ranks[0].service, group.epoch, step, now
            )

    def on_released(self, group: RankGroup, step: int, now: float) -> None:
        """Note that the held pass of a group was released."""
        self._by_group.pop(group.name, None)
        self._released[group.name] = ReleasedPass(
            group.epoch, step, now + SETTLING_TIME
        )

    def on_completion(self, group: RankGroup, is_rejected: bool) -> None:
        """Note whether a rank rejected to switch at the held pass."""
        if group.name in self._by_group:
            self._by_group[group.name].is_rejected = is_rejected

    def on_cancel(self, group: RankGroup) -> bool:
        """Note an attempt to cancel a switch.

        :returns: whether ranks are to prepare the map in force for that.
        """
        known = self._by_group[group.name]
        known.cancels += 1
        return known.cancels <= MAX_SUPERSEDING_CANCELS

    def decide(self, group: RankGroup, now: float) -> Closing:
        """Return how a group's switch is closed, given its reports."""
        step = self.open_pass(group, now)
        if step is None:
            return Closing.WAIT
        self.on_held(group, step, now)
        known = self._by_group[group.name]
        version = group.common_value(lambda report: report.prepared_version)
        is_armed = any(report.is_armed for report in group.reports)
        if version and is_armed and not known.is_rejected:
            return Closing.COMPLETE
        return Closing.CANCEL

    def open_pass(self, group: RankGroup, now: float) -> int | None:
        """Return the pass that a group's reports show as held and this node has not
        just released; ``None`` if there is none.
        """
        if group.held_pass is None:
            return None
        step = group.held_pass[1]
        released = self._released.get(group.name)
        if released is None or now >= released.shown_until:
            return step
        is_that_pass = (released.epoch, released.step) == (group.epoch, step)
        return None if is_that_pass else step

    def on_reports(self, group: RankGroup, now: float) -> None:
        """Note what the reports of a whole group say."""
        step = self.open_pass(group, now)
        if step is not None:
            self.on_held(group, step, now)
            return
        known = self._by_group.get(group.name)
        # A report may be older than the command to hold the pass.
        if known is not None and now >= known.seen_at + SETTLING_TIME:
            del self._by_group[group.name]
