"""Named checks of the promises that the system makes.

A check is asserted where the decision is taken. Tests use
:class:`RaisingMonitor`, which ends the run; daemons use
:class:`CountingMonitor`, which counts the breach and reports it to a listener.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from enum import Enum

from cyclamenyoke.exceptions import InvariantBreach


class Promise(Enum):
    """A promise of the system, by the name used in logs and metrics."""

    ONE_MAP_A_STEP = "one_map_a_step"
    OWN_WHOLE_ANSWER = "own_whole_answer"
    TRUTHFUL_REFUSAL = "truthful_refusal"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_TAKES_NO_WORK = "leaving_takes_no_work"
    PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"
    CONFIG_NEVER_REVERTS = "config_never_reverts"
    ISOLATION = "isolation"


class InvariantMonitor(ABC):
    """Receives the outcome of every named check."""

    def check(self, promise: Promise, holds: bool, detail: str) -> None:
        """Report a breach of ``promise`` unless ``holds``.

        :param promise: the promise that the check protects.
        :param holds: the condition that must be true.
        :param detail: what was seen, for the log.
        """
        if not holds:
            self.report(promise, detail)

    @abstractmethod
    def report(self, promise: Promise, detail: str) -> None:
        """Handle one breach."""


class RaisingMonitor(InvariantMonitor):
    """Raises :class:`InvariantBreach` at the first breach."""

    def report(self, promise: Promise, detail: str) -> None:
        raise InvariantBreach(promise.value, detail)


class CountingMonitor(InvariantMonitor):
    """Counts breaches by promise and passes each one to a listener.

    :param listener: called with the promise and the detail of each breach.
    """

    def __init__(self, listener: Callable[[Promise, str], None] | None = None) -> None:
        self._listener = listener
        self._breaches: Counter[Promise] = Counter()

    @property
    def breaches(self) -> Counter[Promise]:
        """The number of breaches seen, by promise."""
        return self._breaches

    def report(self, promise: Promise, detail: str) -> None:
        self._breaches[promise] += 1
        if self._listener is not None:
            self._listener(promise, detail)
