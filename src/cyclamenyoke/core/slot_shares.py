"""Priorities of calls by their customers' shares of an endpoint's slots.

Fair queueing is not enough: running calls keep their slots, so a surging customer's
long calls could hold all of them while other customers wait. The priority of a call is
therefore the number of full shares that its customer already holds; 0 is the highest.
While calls of lower priority run, a call is started even when no slot is free; the
engine honours priorities and makes a call of lower priority wait. No slot is kept idle
in reserve.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from cyclamenyoke.core.units import SECOND

ACTIVE_DURATION = 30 * SECOND
"""Seconds after a customer's last call for which it keeps its share."""

PRIORITIES = 8
"""Number of priorities. Calls within their customer's share have priority 0, the
highest."""

ENGINE_OVERCOMMIT = 2
"""Maximum number of calls that are started for each slot of an engine, including those
that wait inside the engine."""


def _no_held_slots() -> list[int]:
    return [0] * PRIORITIES


@dataclass(slots=True)
class SlotUse:
    """One customer's use of the slots.

    :param weight: weight of the customer's share.
    :param held: number of slots that its calls hold.
    :param active_until: Unix time from which its share is divided among the others if
        it holds no slot.
    """

    weight: float
    held: int = 0
    active_until: float = 0.0


@dataclass(slots=True)
class SlotShares:
    """The slots of one endpoint, by customer and by priority.

    :param overcommit: maximum number of calls that are started for each slot; 1 for an
        endpoint that does not honour priorities.
    """

    overcommit: int = 1
    _uses: dict[str, SlotUse] = field(default_factory=dict)
    _total_weight: float = 0.0
    _held: list[int] = field(default_factory=_no_held_slots)

    @property
    def held(self) -> int:
        """Slots held by all customers."""
        return sum(self._held)

    def record_call(self, customer: str, weight: float, now: float) -> None:
        """Mark a customer as active and update its weight."""
        use = self._uses.get(customer)
        if use is None:
            use = self._uses[customer] = SlotUse(weight)
            self._total_weight += weight
        self._total_weight += weight - use.weight
        use.weight = weight
        use.active_until = now + ACTIVE_DURATION

    def priority_of_next(self, customer: str, slots: int) -> int:
        """Return the priority that one more call of a customer would get."""
        use = self._uses[customer]
        share = max(1.0, slots * use.weight / self._total_weight)
        return min(PRIORITIES - 1, int(use.held / share))

    def can_acquire(self, customer: str, slots: int) -> bool:
        """Return whether one more call of a customer may start."""
        held = self.held
        if held < slots:
            return True
        priority = self.priority_of_next(customer, slots)
        same_or_higher = sum(self._held[: priority + 1])
        return same_or_higher < slots and held < self.overcommit * slots

    def acquire(self, customer: str, slots: int) -> int:
        """Give a customer one more slot; return the priority of its call."""
        priority = self.priority_of_next(customer, slots)
        self._uses[customer].held += 1
        self._held[priority] += 1
        return priority

    def release(self, customer: str, priority: int) -> None:
        """Release one slot of a customer.

        :param priority: the priority that :meth:`acquire` returned for the call.
        """
        self._uses[customer].held -= 1
        self._held[priority] -= 1

    def remove_idle(self, now: float, queued: Container[str]) -> None:
        """Remove customers that are inactive, hold no slot and have no queued call.

        :param queued: the customers with queued calls.
        """
        for name, use in list(self._uses.items()):
            if use.active_until <= now and not use.held and name not in queued:
                self._total_weight -= use.weight
                del self._uses[name]
