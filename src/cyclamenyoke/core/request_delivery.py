"""The attempts of one request at a gateway, and whether it may be sent again.

Two sets of outcomes decide: those that prove that an attempt did not run, and those
that count against the limit of attempts. A rejection says "not run" only if every
attempt is known not to have run, never merely because a deadline has passed.
"""

import enum
from dataclasses import dataclass, field

from cyclamenyoke.core.gateway_config import RetryMode
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    """No byte of the request left this node."""
    REJECTED = "rejected"
    """The endpoint confirmed that it has not run the request."""
    BROKEN_GROUP = "broken_group"
    """Rejected because another rank of the endpoint's group is down; not run."""
    MISDIRECTED = "misdirected"
    """A different endpoint responds at the address; it has not run the request."""
    FAILED = "failed"
    """The endpoint ran the request and responded with a failure."""
    INCOMPLETE = "lost"
    """The response was cut off, corrupt or missing; the request may have run."""


_NOT_RUN = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.BROKEN_GROUP,
        AttemptOutcome.MISDIRECTED,
    }
)
_COUNTED = frozenset(
    {
        AttemptOutcome.REJECTED,
        AttemptOutcome.BROKEN_GROUP,
        AttemptOutcome.FAILED,
        AttemptOutcome.INCOMPLETE,
        AttemptOutcome.ANSWERED,
    }
)


class FinalStatus(enum.Enum):
    """What the caller is told when no further attempt is made."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class Attempt:
    """One attempt to have an endpoint handle the request.

    :param load: known requests in flight at the endpoint when it was chosen.
    :param first_byte_at: when the first part of the response arrived.
    :param outcome: ``None`` while the attempt is in progress.
    :param events: number of events of a stream that it yielded, without comments.
    :param first_event_at: when the first event of a stream arrived.
    :param last_event_at: when the latest one arrived.
    :param ended_at: when it ended; ``None`` before.
    :param detail: why it did not succeed.
    :param is_closed_by_endpoint: whether the endpoint's end of the connection ended it.
    :param status: the status of the endpoint's response; ``None`` without one.
    """

    endpoint: str
    sent_at: float
    load: int
    first_byte_at: float | None = None
    outcome: AttemptOutcome | None = None
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    ended_at: float | None = None
    detail: str = ""
    is_closed_by_endpoint: bool = False
    status: int | None = None

    @property
    def is_unanswered(self) -> bool:
        """Whether it was given up before the endpoint sent anything."""
        return (
            self.outcome is AttemptOutcome.INCOMPLETE
            and self.first_byte_at is None
            and not self.is_closed_by_endpoint
        )


@dataclass(slots=True)
class RequestDelivery:
    """The attempts of one request.

    :param max_attempts: limit of attempts that reached an endpoint or may have.
    :param deadline: time by the node's clock at which the caller must have its final
        response.
    :param is_response_started: whether part of a response was sent to the caller.
    """

    request_id: str
    retry_mode: RetryMode
    max_attempts: int
    deadline: float
    monitor: InvariantMonitor
    attempts: list[Attempt] = field(default_factory=list)
    is_response_started: bool = False

    @property
    def is_confirmed_not_run(self) -> bool:
        """Whether every attempt is known not to have run."""
        return all(attempt.outcome in _NOT_RUN for attempt in self.attempts)

    @property
    def tried_endpoints(self) -> frozenset[str]:
        """The endpoints that were chosen for an attempt."""
        return frozenset(attempt.endpoint for attempt in self.attempts)

    @property
    def sent_attempts(self) -> int:
        """The number of attempts that reached an endpoint, or may have."""
        return sum(
            attempt.outcome is None or attempt.outcome in _COUNTED
            for attempt in self.attempts
        )

    @property
    def has_arrived(self) -> bool:
        """Whether an attempt reached an endpoint, or another one at its address."""
        return any(
            attempt.outcome is not AttemptOutcome.NOT_SENT for attempt in self.attempts
        )

    @property
    def is_repeat(self) -> bool:
        """Whether an attempt before the last one reached an endpoint."""
        return any(
            attempt.outcome is not AttemptOutcome.NOT_SENT
            for attempt in self.attempts[:-1]
        )

    @property
    def can_send(self) -> bool:
        """Whether another attempt is safe and within the limit.

        The retry budget is not part of this check.
        """
        if any(
            attempt.outcome in (None, AttemptOutcome.ANSWERED)
            for attempt in self.attempts
        ):
            return False
        if self.sent_attempts >= self.max_attempts:
            return False
        return self.is_confirmed_not_run or self.retry_mode is not RetryMode.NEVER

    def may_forward(self, implies_not_run: bool) -> bool:
        """Return whether the caller may get an endpoint's status.

        A caller sends a request that must not run twice again after a status which
        implies that it has not run, so the attempts must prove that it has not.

        :param implies_not_run: whether callers conclude so from the status.
        """
        if not implies_not_run or self.retry_mode is not RetryMode.NEVER:
            return True
        return self.is_confirmed_not_run

    def start_attempt(self, endpoint: str, load: int, now: float) -> Attempt:
        """Add an attempt; call this just before the request is sent."""
        self.monitor.check(
            Invariant.AT_MOST_ONCE,
            self.retry_mode is not RetryMode.NEVER or self.is_confirmed_not_run,
            f"request {self.request_id} sent again though it may have run",
        )
        attempt = Attempt(endpoint, now, load)
        self.attempts.append(attempt)
        return attempt

    def reopen(self, attempt: Attempt) -> None:
        """Let an earlier attempt be the current one again, since its endpoint goes on.

        It was not closed, so that no endpoint gets the request once more.
        """
        self.attempts.remove(attempt)
        self.attempts.append(attempt)
        attempt.outcome = attempt.ended_at = None
        attempt.detail = ""

    def final_status(self, now: float) -> FinalStatus:
        """Return what the caller is told if the request ends now."""
        if self.is_confirmed_not_run:
            self.monitor.check(
                Invariant.TRUTHFUL_REJECTION,
                not self.is_response_started,
                f"request {self.request_id} rejected as not run after delivery began",
            )
            return FinalStatus.NOT_RUN
        return FinalStatus.TIMED_OUT if now >= self.deadline else FinalStatus.UNKNOWN
