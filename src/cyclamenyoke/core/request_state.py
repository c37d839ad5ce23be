"""The states of requests and attempts, the answer so far, and an entry's effects."""

import enum
from dataclasses import dataclass, field

from cyclamenyoke.core.messages import AttemptId, Head, Reason, ToAgent


class ExecutionStatus(enum.Enum):
    """What a refusal says of the request."""

    NOT_EXECUTED = "no"
    UNKNOWN = "unknown"


class RequestState(enum.Enum):
    """Where a request is."""

    OPEN = "open"
    SETTLING = "settling"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptState(enum.Enum):
    """What an entry knows of an attempt."""

    SENT = "sent"
    STARTED = "begun"
    DISCONNECTED = "lost"
    CLAIMED_ELSEWHERE = "elsewhere"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FINISHED = "finished"


UNSETTLED_STATES = frozenset(
    {AttemptState.SENT, AttemptState.STARTED, AttemptState.DISCONNECTED}
)
FINAL_STATES = frozenset(
    {RequestState.ANSWERED, RequestState.NOT_RUN, RequestState.UNKNOWN}
)


@dataclass(slots=True)
class Attempt:
    """One hand-over of the request."""

    attempt_id: AttemptId
    agent: str
    incarnation: str
    sent_at: float
    state: AttemptState = AttemptState.SENT
    was_rejected_as_busy: bool = False
    has_responded: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: send a message to an agent."""

    agent: str
    message: ToAgent


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Effect: begin the answer to the caller."""

    status: int
    content_type: str
    replayed: bool


@dataclass(frozen=True, slots=True)
class DeliverPart:
    """Effect: pass a part of the answer to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverEnd:
    """Effect: tell the caller that the answer is whole."""


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Effect: give the caller its final refusal.

    :param retry_after: seconds after which the caller may come back.
    :param delivered: whether a part of an answer has already gone out, so that
        the refusal marks it as failed.
    """

    ran: ExecutionStatus
    reason: Reason
    retry_after: float
    delivered: bool


Effect = Send | DeliverHead | DeliverPart | DeliverEnd | RejectRequest


class AttemptIdAllocator:
    """Numbers the attempts of one incarnation of an entry.

    :param entry: the incarnation of the entry.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._next = 0
        self._open: dict[int, None] = {}

    @property
    def floor(self) -> int:
        """The lowest number that is not settled."""
        return next(iter(self._open), self._next)

    def allocate(self) -> AttemptId:
        """Return the next attempt id."""
        number = self._next
        self._next += 1
        self._open[number] = None
        return AttemptId(self._entry, number)

    def settle(self, attempt: AttemptId) -> None:
        """Note that nothing more is expected of an attempt."""
        self._open.pop(attempt.number, None)


@dataclass(slots=True)
class ResponseBuffer:
    """The answer of the current attempt as far as it has come.

    :param next_sequence: the first part that is missing.
    :param early: parts that came before their turn.
    :param total: the number of parts, once known.
    """

    head: Head | None = None
    next_sequence: int = 1
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    ready: list[bytes] = field(default_factory=list)
    total: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether every part is here."""
        return self.head is not None and self.total == self.next_sequence - 1

    def add(self, sequence: int, data: bytes) -> None:
        """Take a part, in any order, doubled or not."""
        if sequence < self.next_sequence:
            return
        self.out_of_order[sequence] = data
        while self.next_sequence in self.out_of_order:
            self.ready.append(self.out_of_order.pop(self.next_sequence))
            self.next_sequence += 1
