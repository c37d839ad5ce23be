"""Named checks of the promises that the system makes.

A check is asserted where the decision is taken. Tests use
:class:`RaisingMonitor`, which ends the run; daemons use
:class:`CountingMonitor`, which counts the breach and reports it to a listener.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from enum import Enum

from cyclamenyoke.exceptions import InvariantViolation


class Invariant(Enum):
    """A promise of the system, by the name used in logs and metrics."""

    ONE_EXPERT_MAP_PER_STEP = "one_map_a_step"
    OWN_COMPLETE_RESPONSE = "own_whole_answer"
    TRUTHFUL_REJECTION = "truthful_refusal"
    AT_MOST_ONCE = "at_most_once"
    NO_WORK_WHILE_DRAINING = "leaving_takes_no_work"
    GRACEFUL_SHUTDOWN = "planned_stop_cuts_nothing"
    CONFIG_NEVER_REVERTS = "config_never_reverts"
    ISOLATION = "isolation"


class InvariantMonitor(ABC):
    """Receives the outcome of every named check."""

    def check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        """Report a breach of ``invariant`` unless ``holds``.

        :param invariant: the promise that the check protects.
        :param holds: the condition that must be true.
        :param detail: what was seen, for the log.
        """
        if not holds:
            self.report(invariant, detail)

    @abstractmethod
    def report(self, invariant: Invariant, detail: str) -> None:
        """Handle one breach."""


class RaisingMonitor(InvariantMonitor):
    """Raises :class:`InvariantViolation` at the first breach."""

    def report(self, invariant: Invariant, detail: str) -> None:
        raise InvariantViolation(invariant.value, detail)


class CountingMonitor(InvariantMonitor):
    """Counts breaches by promise and passes each one to a listener.

    :param listener: called with the promise and the detail of each breach.
    """

    def __init__(
        self, listener: Callable[[Invariant, str], None] | None = None
    ) -> None:
        self._listener = listener
        self._violations: Counter[Invariant] = Counter()

    @property
    def violations(self) -> Counter[Invariant]:
        """The number of breaches seen, by promise."""
        return self._violations

    def report(self, invariant: Invariant, detail: str) -> None:
        self._violations[invariant] += 1
        if self._listener is not None:
            self._listener(invariant, detail)
