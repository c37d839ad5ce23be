"""The typed messages between an entry and an agent.

Messages travel as MessagePack arrays. Every message about a call names its
attempt, so that a late or doubled one can be told from the current one.
"""

import enum

import msgspec


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """One hand-over of one request to one agent.

    :param entry: the incarnation of the entry that made it.
    :param number: rises with each attempt of that incarnation.
    """

    entry: str
    number: int


class Reason(enum.Enum):
    """Why a call was refused or its outcome is unknown."""

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
    HOLDER_LOST = "holder_of_key_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    CONNECTION_LOST = "link_lost"
    UNRESPONSIVE = "agent_silent"
    NO_ENDPOINT = "no_endpoint"
    CALLER_DISCONNECTED = "caller_gone"
    WRONG_RESPONSE = "answer_not_own"


class Call(msgspec.Struct, frozen=True, array_like=True):
    """What a caller asks for, as the agent needs it.

    :param request_id: unique; the agent returns it with the answer.
    :param key: the idempotency key, or empty for a call that may repeat.
    :param key_issued_at: when the caller made the key, in seconds of Unix time.
    :param weight: the customer's share.
    :param cost: estimated work in tokens.
    :param deadline: when the answer must be whole, in seconds of Unix time.
    :param start_by: when the call must have begun, in seconds of Unix time.
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
    """An agent's own view of its load.

    :param running: calls that the endpoint runs or that wait for it.
    :param queued_cost: estimated tokens that wait.
    :param token_rate: tokens a second that the endpoint lately finished.
    """

    running: int = 0
    queued_cost: float = 0.0
    token_rate: float = 0.0


class Execute(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an agent to run a call.

    :param floor: the lowest attempt number that the entry has not settled.
    :param incarnation: the incarnation of the agent that the entry means.
    :param patient: whether the call may wait in the agent's queue; otherwise an
        agent without a free slot sends it back.
    """

    attempt: AttemptId
    floor: int
    incarnation: str
    call: Call
    may_queue: bool = True


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks an agent to promise that an attempt never begins, or to cancel it."""

    attempt: AttemptId
    floor: int
    incarnation: str


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for an attempt's answer from a sequence number on, after a break."""

    attempt: AttemptId
    floor: int
    incarnation: str
    next_sequence: int


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The entry has the whole answer of an attempt; the agent may forget it."""

    attempt: AttemptId
    incarnation: str


class Head(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The status of an answer, its sequence number 0.

    :param replayed: whether the call had run before, for the same key.
    """

    attempt: AttemptId
    request_id: str
    status: int
    content_type: str
    replayed: bool = False


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A part of an answer; sequence numbers start at 1."""

    attempt: AttemptId
    sequence: int
    data: bytes


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The answer is whole and has ``chunks`` parts."""

    attempt: AttemptId
    chunks: int
    load: Load


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The call began and its answer will not become whole."""

    attempt: AttemptId
    reason: Reason


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A promise: the attempt has not begun and never will.

    :param retry_after: seconds after which another try may do better.
    """

    attempt: AttemptId
    reason: Reason
    retry_after: float
    load: Load


class Started(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The endpoint was given the call."""

    attempt: AttemptId


class Queued(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """The agent has the call, which waits for a slot or for the journal."""

    attempt: AttemptId


class ClaimedElsewhere(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Another agent's claim on the key stands in the journal, without outcome.

    :param agent: the agent that may have begun the call.
    :param incarnation: the incarnation of that agent.
    """

    attempt: AttemptId
    agent: str
    incarnation: str


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The agent's load, sent now and then to every connected entry.

    :param next_in: seconds until the next one.
    """

    load: Load
    next_report_in: float


class Draining(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The agent takes no new work."""

    agent: str
    incarnation: str


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The first message on a connection, from the agent."""

    agent: str
    incarnation: str
    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The entry's proof that it holds the shared key, and its own challenge."""

    entry: str
    nonce: bytes
    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The agent's proof that it holds the shared key."""

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
