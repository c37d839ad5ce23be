"""The runs of an agent, and the effects that its state machine returns.

A run is one execution of a call. An effect is an action that the daemon carries out for
the state machine.
"""

import enum
from dataclasses import dataclass, field

from cyclamenyoke.core.claims import ReadSlot, WriteSlot
from cyclamenyoke.core.journal import MAX_RECORDED_BODY_BYTES, Outcome
from cyclamenyoke.core.messages import AttemptId, Call, FromAgent, Head


class RunState(enum.Enum):
    """The state of a run; see :mod:`cyclamenyoke.core.agent`."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "broken"
    DROPPED = "dropped"


NOT_STARTED = frozenset({RunState.QUEUED, RunState.CLAIMING})


@dataclass(slots=True, eq=False)
class Run:
    """One execution of one call by the endpoint.

    :param digest: digest of the idempotency key, by which the journal finds the call;
        empty for a call without a key.
    :param claim_id: empty until the run has requested a claim.
    :param head: the start of the response; ``None`` until it has arrived.
    :param chunks: the chunks of the response so far.
    :param started_at: Unix time in seconds; 0 until the run has started.
    :param holds_slot: whether the run occupies one of the endpoint's slots.
    :param priority: priority at the endpoint; 0 is the highest.
    :param subscribers: the request id of each attempt that receives the response.
    """

    run_id: int
    call: Call
    digest: str
    state: RunState = RunState.QUEUED
    claim_id: str = ""
    head: Head | None = None
    chunks: list[bytes] = field(default_factory=list)
    started_at: float = 0.0
    holds_slot: bool = False
    priority: int = 0
    subscribers: dict[AttemptId, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reply:
    """Effect: send a message to one incarnation of an entry."""

    entry: str
    message: FromAgent


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Effect: send a message to every connected entry."""

    message: FromAgent


@dataclass(frozen=True, slots=True)
class StartCall:
    """Effect: start a call at the endpoint."""

    run_id: int
    call: Call
    priority: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Effect: cancel a call at the endpoint."""

    run_id: int


Effect = Reply | Broadcast | StartCall | CancelCall | ReadSlot | WriteSlot


EMPTY_CALL = Call("", "", "", "", "", "", b"", 0.0, 0.0)
"""Placeholder for the call of a run that only marks an attempt number as used."""

ACKNOWLEDGED_RUN = Run(0, EMPTY_CALL, "", RunState.FAILED)
"""Replaces the run of an attempt whose response the entry has acknowledged.

It is FAILED so that a late ``Resume`` is answered with a failure and never as not run.
"""


def head_for_attempt(run: Run, attempt: AttemptId) -> Head:
    """Return a run's response head as it is sent for one of its subscribers."""
    assert run.head is not None
    head = run.head
    request_id = run.subscribers[attempt]
    return Head(attempt, request_id, head.status, head.content_type, head.replayed)


def outcome_to_record(run: Run) -> Outcome | None:
    """Return the outcome to write to the journal, or ``None`` without a response head.

    Its body is ``None`` if it is larger than ``MAX_RECORDED_BODY_BYTES``.
    """
    if run.head is None:
        return None
    body: bytes | None = b"".join(run.chunks)
    if body is not None and len(body) > MAX_RECORDED_BODY_BYTES:
        body = None
    return Outcome(run.head.status, run.head.content_type, body)


def restore_outcome(run: Run, outcome: Outcome) -> None:
    """Set a run's response to an outcome from the journal, marked as replayed."""
    # A placeholder: head_for_attempt sets the attempt.
    attempt = AttemptId("", 0)
    run.head = Head(
        attempt, run.call.request_id, outcome.status, outcome.content_type, True
    )
    run.chunks = [outcome.body] if outcome.body else []
