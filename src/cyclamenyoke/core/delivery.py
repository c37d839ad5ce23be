"""What is known of one request's attempts, and what may be done next.

Two tables decide everything: what an end of an attempt says of the request, and
what may follow. A refusal says "not run" only if every attempt was settled as not
run, which is a matter of state and never of time.
"""

import enum
from dataclasses import dataclass, field

from cyclamenyoke.core.invariants import InvariantMonitor, Promise
from cyclamenyoke.core.routes import Repeat


class End(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    """No byte of the request left this node."""
    REJECTED = "rejected"
    """The endpoint promises that it has not run the request."""
    BROKEN_GROUP = "broken_group"
    """Rejected since another rank of the endpoint's group is down; not run."""
    MISDIRECTED = "misdirected"
    """Another endpoint answers at the address; not run there."""
    FAILED = "failed"
    """The endpoint ran the request and answered with a failure."""
    LOST = "lost"
    """The answer broke off, was spoiled, or never came; it may have run."""


_NOT_RUN = frozenset({End.NOT_SENT, End.REJECTED, End.BROKEN_GROUP, End.MISDIRECTED})
_COUNTED = frozenset(
    {End.REJECTED, End.BROKEN_GROUP, End.FAILED, End.LOST, End.ANSWERED}
)


class Verdict(enum.Enum):
    """What the caller is told when nothing more is tried."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class Attempt:
    """One endpoint to which the request was sent.

    :param load: requests under way there when it was chosen, as far as known.
    :param first_at: when the first part of the answer came.
    :param end: ``None`` while it lasts.
    """

    endpoint: str
    sent_at: float
    load: int
    first_at: float | None = None
    end: End | None = None


@dataclass(slots=True)
class Delivery:
    """The attempts of one request.

    :param deadline: when the caller has its final answer at the latest.
    :param is_begun: whether a part of an answer has gone out.
    """

    request_id: str
    repeat: Repeat
    max_attempts: int
    deadline: float
    monitor: InvariantMonitor
    attempts: list[Attempt] = field(default_factory=list)
    is_begun: bool = False

    @property
    def is_surely_not_run(self) -> bool:
        """Whether every attempt is settled as not run."""
        return all(attempt.end in _NOT_RUN for attempt in self.attempts)

    @property
    def tried(self) -> frozenset[str]:
        """The endpoints that have had the request."""
        return frozenset(attempt.endpoint for attempt in self.attempts)

    @property
    def sent(self) -> int:
        """Attempts that reached an endpoint, or may have."""
        return sum(
            attempt.end is None or attempt.end in _COUNTED for attempt in self.attempts
        )

    @property
    def may_send(self) -> bool:
        """Whether another attempt keeps the promises, if the budget allows it."""
        if any(attempt.end in (None, End.ANSWERED) for attempt in self.attempts):
            return False
        if self.sent >= self.max_attempts:
            return False
        return self.is_surely_not_run or self.repeat is not Repeat.NEVER

    def begin(self, endpoint: str, load: int, now: float) -> Attempt:
        """Note that the request is about to be sent to an endpoint."""
        self.monitor.check(
            Promise.AT_MOST_ONCE,
            self.repeat is not Repeat.NEVER or self.is_surely_not_run,
            f"request {self.request_id} sent again though it may have run",
        )
        attempt = Attempt(endpoint, now, load)
        self.attempts.append(attempt)
        return attempt

    def verdict(self, now: float) -> Verdict:
        """Return what to tell the caller now."""
        if self.is_surely_not_run:
            self.monitor.check(
                Promise.TRUTHFUL_REFUSAL,
                not self.is_begun,
                f"request {self.request_id} refused as not run after a part",
            )
            return Verdict.NOT_RUN
        return Verdict.TIMED_OUT if now >= self.deadline else Verdict.UNKNOWN
