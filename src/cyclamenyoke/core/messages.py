"""The typed messages between an entry and an agent.

Messages are encoded as MessagePack arrays. Every message about a call names its
attempt, so that late and duplicated messages can be recognised.

An entry accepts requests from callers; an agent runs next to an endpoint and executes
them there. An incarnation identifies one start of such a process.
"""

import enum

import msgspec


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one attempt to have an agent execute a request.

    :param entry: the incarnation of the entry that made the attempt.
    :param number: increases with each attempt of that incarnation.
    """

    entry: str
    number: int


class Reason(enum.Enum):
    """Why a call was rejected or its outcome is unknown."""

    DRAINING = "leaving"
    STALE_INCARNATION = "stale_incarnation"
    REVOKED = "revoked"
    NEVER_RECEIVED = "never_received"
    BUSY = "busy"
    DEADLINE = "deadline_cannot_be_met"
    QUEUE_FULL = "customer_queue_full"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    JOURNAL_FULL = "journal_full"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused_for_another_call"
    CLAIM_HOLDER_LOST = "holder_of_key_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    CONNECTION_LOST = "link_lost"
    UNRESPONSIVE = "agent_silent"
    NO_ENDPOINT = "no_endpoint"
    CALLER_DISCONNECTED = "caller_gone"
    WRONG_RESPONSE = "answer_not_own"


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request as an entry sends it to an agent.

    :param request_id: unique; the agent returns it with the response.
    :param key: the idempotency key; empty for a call that may run more than once.
    :param key_issued_at: when the caller issued the key, in seconds of Unix time.
    :param weight: the customer's weight in fair queueing.
    :param cost: estimated work in tokens.
    :param deadline: when the response must be complete, in seconds of Unix time.
    :param start_by: when the call must have started, in seconds of Unix time.
    :param fingerprint: digest of method, path and body.
    """

    request_id: str
    service: str
    customer: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    start_by: float
    weight: float = 1.0
    cost: float = 1.0
    key: str = ""
    key_issued_at: float = 0.0
    fingerprint: bytes = b""

    @property
    def at_most_once(self) -> bool:
        """Whether the call must never run twice."""
        return bool(self.key)


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of an agent's endpoint.

    :param calls: running and queued calls.
    :param queued_cost: estimated tokens of the queued calls.
    :param token_rate: moving average of the tokens that the endpoint produces per
        second; 0 before the first response.
    """

    calls: int = 0
    queued_cost: float = 0.0
    token_rate: float = 0.0


class Execute(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an agent to execute a call.

    :param floor: the lowest attempt number that the entry has not settled, i.e. for
        which it still waits; the agent may forget all lower ones.
    :param incarnation: the agent's incarnation that the message is for.
    :param may_queue: whether the call may wait in the agent's queue; otherwise an
        agent without a free slot rejects it as busy.
    """

    attempt: AttemptId
    floor: int
    incarnation: str
    call: Call
    may_queue: bool = True


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks an agent to confirm that an attempt will not run, or to cancel it."""

    attempt: AttemptId
    floor: int
    incarnation: str


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for an attempt's response from a sequence number on, after a reconnect."""

    attempt: AttemptId
    floor: int
    incarnation: str
    next_sequence: int


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The entry has the complete response of an attempt; the agent may discard it."""

    attempt: AttemptId
    incarnation: str


class Head(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The status of a response, with the implied sequence number 0.

    :param replayed: whether the response was recorded by an earlier run for the
        same key.
    """

    attempt: AttemptId
    request_id: str
    status: int
    content_type: str
    replayed: bool = False


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A chunk of a response; sequence numbers start at 1."""

    attempt: AttemptId
    sequence: int
    data: bytes


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The response is complete and has ``chunks`` chunks."""

    attempt: AttemptId
    chunks: int
    load: Load


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The call may have started, and its response will not be completed."""

    attempt: AttemptId
    reason: Reason


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Guarantees that the attempt has not started and never will.

    :param retry_after: seconds after which another attempt may succeed.
    """

    attempt: AttemptId
    reason: Reason
    retry_after: float
    load: Load


class Started(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The call was started at the endpoint."""

    attempt: AttemptId


class Queued(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """The agent has accepted the call, which waits for a slot or for the journal."""

    attempt: AttemptId


class ClaimedElsewhere(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The journal holds another agent's claim on the key, without an outcome.

    :param agent: the agent that may have started the call.
    :param incarnation: the incarnation of that agent.
    """

    attempt: AttemptId
    agent: str
    incarnation: str


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The agent's load, sent periodically to every connected entry.

    :param next_report_in: seconds until the next report.
    """

    load: Load
    next_report_in: float


class Draining(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The agent is draining and accepts no new calls."""

    agent: str
    incarnation: str


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The first message on a connection: the agent's authentication challenge."""

    agent: str
    incarnation: str
    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The entry's proof that it knows the shared key, and its own challenge."""

    entry: str
    nonce: bytes
    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The agent's proof that it knows the shared key, and its current state."""

    proof: bytes
    load: Load
    is_draining: bool


ToAgent = Execute | Revoke | Resume | Acknowledge | Hello
FromAgent = (
    Head
    | Chunk
    | Finished
    | Failed
    | NotRun
    | Started
    | Queued
    | ClaimedElsewhere
    | Draining
    | LoadReport
    | Challenge
    | Welcome
)
