"""The priority at which each call runs, by its customer's share of the slots.

Fair order in the queue is not enough: calls already running keep their slots, so
a surging customer's long calls could hold all of them while others wait. A call's
priority therefore says how many times over its share its customer is. While calls
of lower priority run, a call is begun even when no slot is free; the engine
honours priorities and lets one of those wait for it. No slot is kept idle for
anyone.
"""

from dataclasses import dataclass, field

from cyclamenyoke.core.units import SECOND

ACTIVE_FOR = 30 * SECOND
"""Seconds after its last call for which a customer has a share."""

PRIORITIES = 8
"""Number of priorities; 0, for calls within the share, goes first."""

ENGINE_OVERCOMMIT = 2
"""Calls begun for each slot of an engine at most, those that wait included."""


def _no_slots() -> list[int]:
    return [0] * PRIORITIES


@dataclass(slots=True)
class SlotUse:
    """One customer's slots.

    :param active_until: when its share goes to the others, in Unix time.
    """

    weight: float
    held: int = 0
    active_until: float = 0.0


@dataclass(slots=True)
class SlotShares:
    """The slots of one endpoint, by customer and by priority.

    :param overcommit: calls begun for each slot at most; 1 for an endpoint that
        does not honour priorities.
    """

    overcommit: int = 1
    _uses: dict[str, SlotUse] = field(default_factory=dict)
    _total_weight: float = 0.0
    _held: list[int] = field(default_factory=_no_slots)

    @property
    def held(self) -> int:
        """Slots held by all customers."""
        return sum(self._held)

    def record_call(self, customer: str, weight: float, now: float) -> None:
        """Note that a customer has sent a call."""
        use = self._uses.get(customer)
        if use is None:
            use = self._uses[customer] = SlotUse(weight)
            self._total_weight += weight
        self._total_weight += weight - use.weight
        use.weight = weight
        use.active_until = now + ACTIVE_FOR

    def priority_of_next(self, customer: str, slots: int) -> int:
        """Return the priority that one more call of a customer would run at."""
        use = self._uses[customer]
        share = max(1.0, slots * use.weight / self._total_weight)
        return min(PRIORITIES - 1, int(use.held / share))

    def can_acquire(self, customer: str, slots: int) -> bool:
        """Tell whether one more call of a customer may begin."""
        held = self.held
        if held < slots:
            return True
        priority = self.priority_of_next(customer, slots)
        as_urgent = sum(self._held[: priority + 1])
        return as_urgent < slots and held < self.overcommit * slots

    def acquire(self, customer: str, slots: int) -> int:
        """Let a customer hold one more slot; return its call's priority."""
        priority = self.priority_of_next(customer, slots)
        self._uses[customer].held += 1
        self._held[priority] += 1
        return priority

    def release(self, customer: str, priority: int) -> None:
        """Let a customer hold one slot less."""
        self._uses[customer].held -= 1
        self._held[priority] -= 1

    def remove_idle(self, now: float) -> None:
        """Give the shares of customers without calls to the others."""
        for name, use in list(self._uses.items()):
            if use.active_until <= now and not use.held:
                self._total_weight -= use.weight
                del self._uses[name]
