"""The states of requests and attempts, response buffering, and an entry's effects.

An effect is an action that the state machine of a request returns to its caller, which
carries it out. An attempt is settled once the entry has recorded its final state.
"""

import enum
from dataclasses import dataclass, field

from cyclamenyoke.core.messages import AttemptId, Head, Reason, ToAgent


class ExecutionStatus(enum.Enum):
    """What a rejection says about the execution of the request."""

    NOT_EXECUTED = "no"
    UNKNOWN = "unknown"


class RequestState(enum.Enum):
    """The state of a request; see :mod:`cyclamenyoke.core.request`."""

    OPEN = "open"
    SETTLING = "settling"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptState(enum.Enum):
    """What an entry knows about an attempt."""

    SENT = "sent"
    STARTED = "begun"
    DISCONNECTED = "lost"
    CLAIMED_ELSEWHERE = "elsewhere"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FINISHED = "finished"


UNSETTLED_ATTEMPT_STATES = frozenset(
    {AttemptState.SENT, AttemptState.STARTED, AttemptState.DISCONNECTED}
)
FINAL_REQUEST_STATES = frozenset(
    {RequestState.ANSWERED, RequestState.NOT_RUN, RequestState.UNKNOWN}
)


@dataclass(slots=True)
class Attempt:
    """One attempt to have an agent execute the request."""

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
    """Effect: start the response to the caller."""

    status: int
    content_type: str
    replayed: bool


@dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Effect: send a chunk of the response to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverEnd:
    """Effect: end the caller's response, which has been sent in full."""


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Effect: reject the request as the final response to the caller.

    :param execution_status: whether the request may have been executed.
    :param retry_after: seconds after which the caller may retry.
    :param is_response_started: whether part of a response was already sent, so that the
        rejection has to mark the response as incomplete.
    """

    execution_status: ExecutionStatus
    reason: Reason
    retry_after: float
    is_response_started: bool


Effect = Send | DeliverHead | DeliverChunk | DeliverEnd | RejectRequest


class AttemptIdAllocator:
    """Allocates attempt ids for one incarnation of an entry.

    :param entry: the identifier of that incarnation.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._next = 0
        # An ordered set, since numbers are allocated in ascending order.
        self._unsettled: dict[int, None] = {}

    @property
    def floor(self) -> int:
        """The lowest number that is not settled, or the next one to allocate."""
        return next(iter(self._unsettled), self._next)

    def allocate(self) -> AttemptId:
        """Return the next attempt id."""
        number = self._next
        self._next += 1
        self._unsettled[number] = None
        return AttemptId(self._entry, number)

    def settle(self, attempt: AttemptId) -> None:
        """Record that an attempt is settled, so that ``floor`` can rise."""
        self._unsettled.pop(attempt.number, None)


@dataclass(slots=True)
class ResponseBuffer:
    """Reassembles the response of the current attempt.

    :param next_sequence: the sequence number of the first missing chunk.
    :param out_of_order: chunks that arrived before their predecessors.
    :param ready: chunks in order that have not been delivered yet.
    :param total: the number of chunks, once known.
    """

    head: Head | None = None
    next_sequence: int = 1
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    ready: list[bytes] = field(default_factory=list)
    total: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the head and every chunk have arrived."""
        return self.head is not None and self.total == self.next_sequence - 1

    def add(self, sequence: int, data: bytes) -> None:
        """Add a chunk; chunks may be out of order or duplicated."""
        if sequence < self.next_sequence:
            return
        self.out_of_order[sequence] = data
        while self.next_sequence in self.out_of_order:
            self.ready.append(self.out_of_order.pop(self.next_sequence))
            self.next_sequence += 1
