"""Graceful shutdown: when a node that was asked to stop may close its connections."""

from dataclasses import dataclass

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.units import SECOND

KILL_MARGIN = 0.8 * SECOND
"""Seconds before the platform kills the process at which it cuts off the requests that
are left: enough to close all sockets on a machine with half a core."""

MIN_DRAIN_DURATION = 2.5 * SECOND
"""Seconds for which a node that shuts down still accepts callers that have not heard of
it: slightly more than the lifetime of a directory response."""


@dataclass(slots=True)
class GracefulShutdown:
    """One shutdown, from the request to stop until the last connection closes.

    :param cut_off_at: when requests in flight are cut off because the kill is near.
    :param drained_at: when callers have had time to learn of the shutdown.
    """

    cut_off_at: float
    drained_at: float
    monitor: InvariantMonitor

    @classmethod
    def begin(
        cls, now: float, grace: float, monitor: InvariantMonitor
    ) -> "GracefulShutdown":
        """Return the schedule of a shutdown that begins now.

        :param grace: seconds until the platform kills the process.
        """
        cut_off_at = now + max(0.0, grace - KILL_MARGIN)
        return cls(cut_off_at, min(cut_off_at, now + MIN_DRAIN_DURATION), monitor)

    def can_close(self, now: float, busy: int) -> bool:
        """Tell whether closing now cuts off no request or the kill is too near to wait.

        :param busy: callers' requests in flight.
        """
        return now >= self.cut_off_at or (now >= self.drained_at and not busy)

    def on_close(self, now: float, busy: int) -> None:
        """Check that closing now is within the schedule."""
        self.monitor.check(
            Invariant.GRACEFUL_SHUTDOWN,
            not busy or now >= self.cut_off_at,
            f"{busy} requests cut off {self.cut_off_at - now:.1f} s too early",
        )
