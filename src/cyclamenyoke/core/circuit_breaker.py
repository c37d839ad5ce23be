"""Circuit breaker that takes an endpoint out of use after failures."""

import enum
from collections import deque
from dataclasses import dataclass, field

from cyclamenyoke.core.units import SECOND

OUTCOME_WINDOW = 6 * SECOND
"""Seconds for which an outcome counts: long enough for several requests from one node
to each endpoint."""

MAX_OUTCOMES = 20
"""Maximum number of recent outcomes kept for each endpoint."""

MIN_FAILURES_TO_OPEN = 2
"""Failures in the window that are needed to open the circuit."""

MIN_FAILURE_SHARE = 0.2
"""Share of failed outcomes that is needed to open the circuit; healthy endpoints stay
far below it."""

OPEN_DURATION = 1.5 * SECOND
"""Seconds for which an open circuit lets no request through: about the time in which
an engine group restarts."""

MAX_OPEN_DURATION = 6 * SECOND
"""Upper bound in seconds on the open duration, which doubles with each failed probe."""

PROBES_TO_CLOSE = 2
"""Successful probes after which the circuit closes."""


class CircuitState(enum.Enum):
    """Which requests an endpoint receives."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "trial"
    """One request at a time probes whether the endpoint works again."""


@dataclass(frozen=True, slots=True, eq=False)
class Probe:
    """One request that probes a half-open circuit; compared by identity."""


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one endpoint.

    :param outcomes: time and success of recent requests, oldest first.
    :param blocked_until: when the open state ends.
    :param open_duration: seconds for which the circuit will stay open next time.
    :param successful_probes: number of successful probes since the circuit became
        half-open.
    :param pending_probe: the probe in flight, which only its own request ends.
    """

    state: CircuitState = CircuitState.CLOSED
    outcomes: deque[tuple[float, bool]] = field(default_factory=deque)
    blocked_until: float = 0.0
    open_duration: float = OPEN_DURATION
    successful_probes: int = 0
    pending_probe: Probe | None = None

    def allows_request(self, now: float) -> bool:
        """Return whether a request may go to the endpoint.

        An open circuit becomes half-open here once its open duration has passed.
        """
        if self.state is CircuitState.OPEN and now >= self.blocked_until:
            self.state = CircuitState.HALF_OPEN
            self.successful_probes = 0
            self.pending_probe = None
        if self.state is CircuitState.HALF_OPEN:
            return self.pending_probe is None
        return self.state is CircuitState.CLOSED

    def on_sent(self) -> Probe | None:
        """Record that a request was sent; return its probe if it is one.

        In the half-open state it is, unless another request's probe is in flight.
        """
        if self.state is not CircuitState.HALF_OPEN or self.pending_probe is not None:
            return None
        self.pending_probe = Probe()
        return self.pending_probe

    def on_probe_ended(self, probe: Probe) -> None:
        """Let another request probe the circuit, unless one does already."""
        if self.pending_probe is probe:
            self.pending_probe = None

    def on_success(self, now: float) -> None:
        """Record a successful response."""
        self._record(now, True)
        if self.state is CircuitState.HALF_OPEN:
            self.successful_probes += 1
            if self.successful_probes >= PROBES_TO_CLOSE:
                self.state = CircuitState.CLOSED
                self.open_duration = OPEN_DURATION
                self.outcomes.clear()

    def on_failure(self, now: float, is_certain: bool) -> None:
        """Record a failure.

        :param is_certain: whether this failure alone proves that the endpoint is down,
            so that the circuit opens at once.
        """
        self._record(now, False)
        if self.state is CircuitState.HALF_OPEN:
            self.open_duration = min(MAX_OPEN_DURATION, 2 * self.open_duration)
            self._open(now)
            return
        failures = sum(not is_success for _, is_success in self.outcomes)
        is_frequent = failures >= MIN_FAILURE_SHARE * len(self.outcomes)
        if is_certain or (failures >= MIN_FAILURES_TO_OPEN and is_frequent):
            self._open(now)

    def _open(self, now: float) -> None:
        self.state = CircuitState.OPEN
        self.pending_probe = None
        self.blocked_until = now + self.open_duration

    def _record(self, now: float, is_success: bool) -> None:
        self.outcomes.append((now, is_success))
        while len(self.outcomes) > MAX_OUTCOMES or (
            self.outcomes[0][0] < now - OUTCOME_WINDOW
        ):
            self.outcomes.popleft()
