"""Graceful shutdown: what a node that was asked to stop still serves, and for how long.

Callers may use a cached address for a while, so requests still arrive. One that can't
end before the process does must be refused before it is sent, while it can truthfully
be said that it has not run.
"""

from dataclasses import dataclass

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.units import SECOND

KILL_MARGIN = 0.8 * SECOND
"""Seconds before the platform kills the process when remaining requests are cut off.
This leaves time to close all sockets, even on a machine with half a core."""

MAX_KILL_MARGIN_SHARE = 1 / 8
"""Upper bound of that margin as a share of the grace time. Requests that engines are at
work on may be cut off in its last sixth only."""

MIN_DRAIN_DURATION = 2.5 * SECOND
"""Seconds for which a node that shuts down still accepts connections, because callers
may use a cached address list from the directory. Must exceed the lifetime of that
cache."""


LATE_DURATION_MARGIN = 1.5
"""Factor on the expected duration of a request that arrives when callers should know of
the shutdown: they lose more by a response that is cut off than by a refusal."""


@dataclass(slots=True)
class GracefulShutdown:
    """One shutdown, from the request to stop until the last connection closes.

    :param asked_at: when the platform asked the node to stop.
    :param cut_off_at: when requests in flight are cut off because the kill is near.
    :param min_close_at: earliest time at which an idle node may close its connections.
    :param flush_until: until when the last responses may be written to the sockets.
    """

    asked_at: float
    cut_off_at: float
    min_close_at: float
    flush_until: float
    monitor: InvariantMonitor

    @classmethod
    def begin(
        cls, now: float, grace: float, monitor: InvariantMonitor
    ) -> "GracefulShutdown":
        """Return the schedule of a shutdown that begins now.

        :param grace: seconds until the platform kills the process.
        """
        margin = min(KILL_MARGIN, MAX_KILL_MARGIN_SHARE * grace)
        cut_off_at = now + grace - margin
        min_close_at = min(cut_off_at, now + MIN_DRAIN_DURATION)
        return cls(now, cut_off_at, min_close_at, cut_off_at + margin / 2, monitor)

    def can_end(self, now: float, deadline: float, expected: float | None) -> bool:
        """Return whether a request that is sent now ends before it would be cut off.

        :param deadline: when the request ends in any case.
        :param expected: seconds that it takes at most, as far as known; ``None`` if
            nothing is known.
        """
        if deadline <= self.cut_off_at:
            return True
        if expected is None:
            return False
        margin = LATE_DURATION_MARGIN if now >= self.min_close_at else 1.0
        return now + margin * expected <= self.cut_off_at

    def can_close(self, now: float, in_flight: int) -> bool:
        """Return whether connections may close now.

        Either callers had time to learn of the shutdown and no request is in flight, or
        the cut-off time is reached.

        :param in_flight: number of callers' requests in flight.
        """
        return now >= self.cut_off_at or (now >= self.min_close_at and not in_flight)

    def on_close(self, now: float, in_flight: int) -> None:
        """Check that closing now is within the schedule."""
        self.monitor.check(
            Invariant.GRACEFUL_SHUTDOWN,
            not in_flight or now >= self.cut_off_at,
            f"{in_flight} requests cut off {self.cut_off_at - now:.1f} s too early",
        )
