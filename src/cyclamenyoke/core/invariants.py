"""Named invariants of the system, checked at run time.

Each check is in the code that takes the decision. Tests use :class:`RaisingMonitor`,
which raises at the first violation; daemons use :class:`CountingMonitor`, which
counts violations and reports each one to a listener.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from enum import Enum

from cyclamenyoke.exceptions import InvariantViolation


class Invariant(Enum):
    """An invariant; the value is its name in logs and metrics."""

    ONE_EXPERT_MAP_PER_STEP = "one_map_a_step"
    """All ranks of a group use the same expert map in a step."""
    OWN_COMPLETE_RESPONSE = "own_whole_answer"
    """A caller receives the complete response to its own request."""
    TRUTHFUL_REJECTION = "truthful_refusal"
    """A request that is rejected as not run has not run and never will."""
    AT_MOST_ONCE = "at_most_once"
    """A request that must not run twice is not sent again if it may have run."""
    NO_NEW_WORK_WHILE_DRAINING = "leaving_takes_no_work"
    """An agent that is draining starts no call."""
    GRACEFUL_SHUTDOWN = "planned_stop_cuts_nothing"
    """A graceful shutdown cuts off no request before its time limit."""
    LEAVING_ENDPOINT_SPARED = "leaving_endpoint_spared"
    """A gateway sends no request to an endpoint that it has known to be leaving for
    longer than the drain time."""
    RESTING_ENDPOINT_SPARED = "resting_endpoint_spared"
    """A gateway sends no request to an endpoint that asked it for a pause."""
    EVACUATED_ENDPOINT_SPARED = "evacuated_endpoint_spared"
    """A gateway sends no request to an endpoint of a data centre that it knows to be
    evacuated."""
    QUARANTINED_REQUEST_SPARED = "quarantined_prompt_spared"
    """A gateway sends no request that it withholds since its like ended engines."""
    CONFIG_NEVER_REVERTS = "config_never_reverts"
    """A node never replaces its configuration by an older one."""
    CUSTOMER_ISOLATION = "isolation"
    """A customer with surging load gets no slot that is reserved for others."""
    COUNTS_EQUAL_OWNERS = "counts_equal_owners"
    """A gateway counts as in flight or queued exactly the requests that are."""


class InvariantMonitor(ABC):
    """Receives the result of every check."""

    def check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        """Report a violation of ``invariant`` unless ``holds``.

        :param invariant: the invariant that is checked.
        :param holds: the condition that must be true.
        :param detail: what was observed, for the log.
        """
        if not holds:
            self.report(invariant, detail)

    @abstractmethod
    def report(self, invariant: Invariant, detail: str) -> None:
        """Handle one violation."""


class RaisingMonitor(InvariantMonitor):
    """Raises :class:`InvariantViolation` at the first violation."""

    def report(self, invariant: Invariant, detail: str) -> None:
        raise InvariantViolation(invariant.value, detail)


class CountingMonitor(InvariantMonitor):
    """Counts violations by invariant and reports each one to a listener.

    :param listener: called with the invariant and the detail of each violation.
    """

    def __init__(
        self, listener: Callable[[Invariant, str], None] | None = None
    ) -> None:
        self._listener = listener
        self._violations: Counter[Invariant] = Counter()

    @property
    def violations(self) -> Counter[Invariant]:
        """The number of violations so far, by invariant."""
        return self._violations

    def report(self, invariant: Invariant, detail: str) -> None:
        self._violations[invariant] += 1
        if self._listener is not None:
            self._listener(invariant, detail)
