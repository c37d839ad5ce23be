"""The state machine of one request at an entry, from receipt to final response.

States of a request::

    OPEN     --response complete-->                      ANSWERED
    OPEN     --no further attempt is possible-->         SETTLING, NOT_RUN or UNKNOWN
    OPEN     --response cut off part-way-->              UNKNOWN
    OPEN     --caller disconnected-->                    UNKNOWN
    SETTLING --every agent confirmed "not run"-->        NOT_RUN
    SETTLING --an attempt failed or may have run-->      UNKNOWN
    SETTLING --a confirmation did not arrive in time-->  UNKNOWN
    SETTLING --caller disconnected-->                    UNKNOWN

No further attempt is possible after the last one, after a reason that rules out a
retry, at the deadline, or when the retry budget is empty. If the response is cut off
part-way, the caller sees that it is incomplete.

Whether an attempt may have executed the request, by its state::

    SENT, STARTED, DISCONNECTED, UNKNOWN, CLAIMED_ELSEWHERE    possibly
    NOT_RUN                                                    no, and it never will
    FINISHED                                                   yes

A request ends as NOT_RUN only when every attempt is NOT_RUN.
"""

from collections.abc import Callable

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.messages import (
    Acknowledge,
    AttemptId,
    Call,
    Chunk,
    ClaimedElsewhere,
    Execute,
    Failed,
    Finished,
    FromAgent,
    Head,
    NotRun,
    Queued,
    Reason,
    Resume,
    Revoke,
    Started,
)
from cyclamenyoke.core.request_state import (
    FINAL_REQUEST_STATES,
    UNSETTLED_ATTEMPT_STATES,
    Attempt,
    AttemptIdAllocator,
    AttemptState,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Effect,
    ExecutionStatus,
    RejectRequest,
    RequestState,
    ResponseBuffer,
    Send,
)
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import Router
from cyclamenyoke.core.units import MILLISECOND, SECOND

MAX_ATTEMPTS = 4
"""Attempts of one request, including the first, not counting busy rejections."""

MAX_BUSY_REJECTIONS = 2
"""Busy rejections after which a request is queued at one of the busy agents."""

AGENT_RESPONSE_TIMEOUT = 400 * MILLISECOND
"""Seconds within which an agent must send a first message about a call."""

RECONNECT_TIMEOUT = 250 * MILLISECOND
"""Seconds to wait for a lost connection before another agent is tried, and between
checks whether the holder of a claim is connected."""

STREAM_RESUME_TIMEOUT = 4 * SECOND
"""Seconds to wait for a lost connection once part of the response was delivered,
since another agent can't continue it."""

REVOKE_TIMEOUT = 200 * MILLISECOND
"""Seconds to wait for revoked attempts to be confirmed as not run, before the
request is rejected as ``unknown``."""

CLAIM_HOLDER_TIMEOUT = 1 * SECOND
"""Seconds to wait for a connection to the agent that holds the claim on the request's
idempotency key."""

DEFAULT_RETRY_AFTER = 1 * SECOND
"""Retry delay in seconds that is suggested when no agent suggested one."""


NON_RETRYABLE_REASONS = frozenset({Reason.KEY_REUSED, Reason.KEY_EXPIRED})
"""Reasons that concern the idempotency key, so that no other agent is tried."""


class RequestCore:
    """The state machine of one request.

    Each public method handles an event at a Unix time in seconds and returns
    effects, which the caller must carry out in order.

    :param call: the request as it is sent to agents.
    :param streaming: whether chunks are delivered as they arrive; otherwise the
        response is delivered once it is complete.
    """

    def __init__(
        self,
        call: Call,
        streaming: bool,
        router: Router,
        attempt_ids: AttemptIdAllocator,
        budget: RetryBudget,
        monitor: InvariantMonitor,
    ) -> None:
        self._call = call
        self._streaming = streaming
        self._router = router
        self._attempt_ids = attempt_ids
        self._budget = budget
        self._monitor = monitor
        self._state = RequestState.OPEN
        self._attempts: dict[AttemptId, Attempt] = {}
        self._current: Attempt | None = None
        self._response = ResponseBuffer()
        self._head_delivered = False
        self._timer_at = call.deadline
        # Agent and incarnation.
        self._claim_holder: tuple[str, str] | None = None
        self._claim_holder_timeout_at = 0.0
        self._rejection = (Reason.NO_ENDPOINT, DEFAULT_RETRY_AFTER)
        # Why the last attempt that may have run was given up; None without one.
        self._unknown_reason: Reason | None = None
        self._handlers: dict[type, Callable[..., list[Effect]]] = {
            Started: self._on_started,
            Queued: self._on_queued,
            Head: self._on_head,
            Chunk: self._on_chunk,
            Finished: self._on_finished,
            Failed: self._on_failed,
            NotRun: self._on_not_run,
            ClaimedElsewhere: self._on_claimed_elsewhere,
        }

    @property
    def call(self) -> Call:
        """The request as it is sent to agents."""
        return self._call

    @property
    def state(self) -> RequestState:
        """The current state of the request."""
        return self._state

    @property
    def is_final(self) -> bool:
        """Whether the caller has its final response."""
        return self._state in FINAL_REQUEST_STATES

    @property
    def timer_at(self) -> float:
        """The Unix time at which :meth:`on_timer` is due."""
        return self._timer_at

    @property
    def attempts(self) -> dict[AttemptId, Attempt]:
        """The attempts made so far, by id."""
        return self._attempts

    def start(self, now: float) -> list[Effect]:
        """Send the first attempt."""
        self._budget.on_first_attempt()
        return self._send_next(now)

    def on_message(self, message: FromAgent, now: float) -> list[Effect]:
        """Handle a message about one of the request's attempts."""
        attempt = self._attempts.get(message.attempt)  # type: ignore[union-attr]
        if attempt is None or self.is_final:
            return []
        is_first = attempt is self._current and not attempt.has_responded
        if is_first and self._state is RequestState.OPEN:
            # AGENT_RESPONSE_TIMEOUT no longer applies.
            self._timer_at = self._call.deadline
        attempt.has_responded = True
        return self._handlers[type(message)](attempt, message, now)

    def on_link_down(self, agent: str, now: float) -> list[Effect]:
        """Mark the unsettled attempts at an agent as disconnected."""
        for attempt in self._attempts.values():
            if attempt.agent == agent and attempt.state in UNSETTLED_ATTEMPT_STATES:
                attempt.state = AttemptState.DISCONNECTED
        is_open = self._state is RequestState.OPEN
        if is_open and self._current_state() is AttemptState.DISCONNECTED:
            wait = STREAM_RESUME_TIMEOUT if self._head_delivered else RECONNECT_TIMEOUT
            self._timer_at = min(self._call.deadline, now + wait)
        return []

    def on_link_up(self, agent: str, incarnation: str, now: float) -> list[Effect]:
        """Resume the attempts at a reconnected agent, or retry if it has restarted."""
        if self.is_final:
            return []
        effects: list[Effect] = []
        for attempt in list(self._attempts.values()):
            if attempt.agent == agent and attempt.state is AttemptState.DISCONNECTED:
                effects += self._on_agent_reconnected(attempt, incarnation, now)
        return effects

    def on_timer(self, now: float) -> list[Effect]:
        """Handle an expired deadline or timeout."""
        if self.is_final or now < self._timer_at:
            return []
        if self._state is RequestState.SETTLING:
            return self._reject()
        if now >= self._call.deadline:
            return self._reject_when_settled(Reason.DEADLINE, DEFAULT_RETRY_AFTER, now)
        self._timer_at = self._call.deadline
        if self._claim_holder is not None:
            return self._send_to_claim_holder(now)
        if self._current_state() is AttemptState.DISCONNECTED:
            return self._retry_elsewhere(Reason.CONNECTION_LOST, now)
        if self._current is not None and not self._current.has_responded:
            return self._retry_unresponsive(self._current, now)
        return []

    def on_caller_disconnected(self, now: float) -> list[Effect]:
        """Revoke the attempts of a request whose caller has disconnected."""
        if self.is_final:
            return []
        self._state = RequestState.UNKNOWN
        return [*self._revoke_unsettled(), *self._settle_rest_as_unknown()]

    def _current_state(self) -> AttemptState | None:
        return self._current.state if self._current else None

    def _send_next(self, now: float) -> list[Effect]:
        if self._attempt_count() >= MAX_ATTEMPTS or now >= self._call.start_by:
            return self._reject_when_settled(*self._rejection, now)
        busy = [
            each.agent for each in self._attempts.values() if each.was_rejected_as_busy
        ]
        tried = {attempt.agent for attempt in self._attempts.values()}
        agent = None
        if len(busy) < MAX_BUSY_REJECTIONS:
            agent = self._router.choose(self._call, tried, now)
        if agent is not None:
            if self._attempt_count() and not self._budget.take(now):
                return self._reject_when_settled(*self._rejection, now)
            # A call with an idempotency key is routed by its journal slot and not by
            # load, so it queues at that agent if no slot is free.
            return self._send_to(agent, self._call.at_most_once, now)
        agent = self._router.least_queued(busy)
        if agent is None:
            return self._reject_when_settled(*self._rejection, now)
        return self._send_to(agent, True, now)

    def _retry_unresponsive(self, unresponsive: Attempt, now: float) -> list[Effect]:
        """Try another agent, if there is one, when an agent doesn't respond."""
        self._router.on_unresponsive(unresponsive.agent, now)
        tried = {attempt.agent for attempt in self._attempts.values()}
        if self._router.choose(self._call, tried, now) is None:
            return []
        self._rejection = (Reason.UNRESPONSIVE, DEFAULT_RETRY_AFTER)
        self._unknown_reason = Reason.UNRESPONSIVE
        effects = self._send_next(now)
        if self._state is not RequestState.OPEN:
            # Rejected instead, which has revoked all attempts.
            return effects
        return [*effects, self._revoke(unresponsive)]

    def _attempt_count(self) -> int:
        return sum(
            not attempt.was_rejected_as_busy for attempt in self._attempts.values()
        )

    def _send_to(self, agent: str, may_queue: bool, now: float) -> list[Effect]:
        attempt_id = self._attempt_ids.allocate()
        incarnation = self._router.incarnation(agent)
        attempt = Attempt(attempt_id, agent, incarnation, now)
        self._attempts[attempt_id] = attempt
        self._current = attempt
        self._response = ResponseBuffer()
        self._timer_at = min(self._call.deadline, now + AGENT_RESPONSE_TIMEOUT)
        self._router.on_sent(agent)
        floor = self._attempt_ids.floor
        execute = Execute(attempt_id, floor, incarnation, self._call, may_queue)
        return [Send(agent, execute)]

    def _on_started(
        self, attempt: Attempt, message: Started, now: float
    ) -> list[Effect]:
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.STARTED
        return []

    def _on_queued(self, attempt: Attempt, message: Queued, now: float) -> list[Effect]:
        return []

    def _on_head(self, attempt: Attempt, message: Head, now: float) -> list[Effect]:
        if attempt is not self._current or self._state is not RequestState.OPEN:
            return []
        is_own_response = message.request_id == self._call.request_id
        self._monitor.check(
            Invariant.OWN_COMPLETE_RESPONSE,
            is_own_response,
            f"request {self._call.request_id} got the response to {message.request_id}",
        )
        if not is_own_response:
            return self._reject_when_settled(
                Reason.WRONG_RESPONSE, DEFAULT_RETRY_AFTER, now
            )
        self._response.head = message
        self._router.on_latency(attempt.agent, now - attempt.sent_at, now)
        return self._deliver(attempt)

    def _on_chunk(self, attempt: Attempt, message: Chunk, now: float) -> list[Effect]:
        if attempt is not self._current or self._state is not RequestState.OPEN:
            return []
        self._response.add(message.sequence, message.data)
        return self._deliver(attempt)

    def _on_finished(
        self, attempt: Attempt, message: Finished, now: float
    ) -> list[Effect]:
        self._router.on_load(attempt.agent, message.load)
        if attempt is not self._current or self._state is not RequestState.OPEN:
            self._settle(attempt, AttemptState.FINISHED)
            return []
        self._response.total = message.chunks
        return self._deliver(attempt)

    def _deliver(self, attempt: Attempt) -> list[Effect]:
        response = self._response
        if response.head is None or not (self._streaming or response.is_complete):
            return []
        effects: list[Effect] = []
        if not self._head_delivered and (response.ready or response.is_complete):
            self._head_delivered = True
            head = response.head
            effects.append(DeliverHead(head.status, head.content_type, head.replayed))
        effects += [DeliverChunk(data) for data in response.ready]
        response.ready = []
        if response.is_complete:
            effects.append(DeliverEnd())
            effects += self._complete(attempt)
        return effects

    def _complete(self, attempt: Attempt) -> list[Effect]:
        self._settle(attempt, AttemptState.FINISHED)
        self._state = RequestState.ANSWERED
        acknowledge = Acknowledge(attempt.attempt_id, attempt.incarnation)
        revokes = self._revoke_unsettled()
        return [
            Send(attempt.agent, acknowledge),
            *revokes,
            *self._settle_rest_as_unknown(),
        ]

    def _on_failed(self, attempt: Attempt, message: Failed, now: float) -> list[Effect]:
        self._settle(attempt, AttemptState.UNKNOWN)
        if message.reason is not Reason.REVOKED:
            self._router.on_failure(attempt.agent, now)
        if self._state is RequestState.SETTLING:
            return self._reject_if_settled()
        if attempt is not self._current:
            return []
        if self._call.at_most_once:
            return self._reject_when_settled(message.reason, DEFAULT_RETRY_AFTER, now)
        return self._retry_elsewhere(message.reason, now)

    def _on_not_run(
        self, attempt: Attempt, message: NotRun, now: float
    ) -> list[Effect]:
        self._router.on_load(attempt.agent, message.load)
        self._settle(attempt, AttemptState.NOT_RUN)
        attempt.was_rejected_as_busy = message.reason is Reason.BUSY
        if message.reason is Reason.DRAINING:
            self._router.on_draining(attempt.agent)
        if message.reason is Reason.ENDPOINT_UNREACHABLE:
            self._router.on_failure(attempt.agent, now)
        if self._state is RequestState.SETTLING:
            return self._reject_if_settled()
        if attempt is not self._current:
            return []
        # Why an earlier attempt may have run explains the outcome better than why this
        # one did not.
        reason = self._unknown_reason or message.reason
        self._rejection = (reason, message.retry_after)
        if message.reason in NON_RETRYABLE_REASONS:
            return self._reject_when_settled(message.reason, message.retry_after, now)
        return self._send_next(now)

    def _on_claimed_elsewhere(
        self, attempt: Attempt, message: ClaimedElsewhere, now: float
    ) -> list[Effect]:
        self._settle(attempt, AttemptState.CLAIMED_ELSEWHERE)
        if attempt is not self._current or self._state is not RequestState.OPEN:
            return self._reject_if_settled()
        self._claim_holder = (message.agent, message.incarnation)
        self._claim_holder_timeout_at = now + CLAIM_HOLDER_TIMEOUT
        return self._send_to_claim_holder(now)

    def _send_to_claim_holder(self, now: float) -> list[Effect]:
        assert self._claim_holder is not None
        agent, incarnation = self._claim_holder
        connected_incarnation = self._router.incarnation(agent)
        if (
            connected_incarnation == incarnation
            and self._attempt_count() < MAX_ATTEMPTS
        ):
            self._claim_holder = None
            return self._send_to(agent, True, now)
        has_restarted = (
            bool(connected_incarnation) and connected_incarnation != incarnation
        )
        if has_restarted or now >= self._claim_holder_timeout_at:
            return self._reject_when_settled(
                Reason.CLAIM_HOLDER_LOST, DEFAULT_RETRY_AFTER, now
            )
        # Check again whether the claim holder is connected.
        self._timer_at = min(now + RECONNECT_TIMEOUT, self._call.deadline)
        return []

    def _on_agent_reconnected(
        self, attempt: Attempt, incarnation: str, now: float
    ) -> list[Effect]:
        if incarnation != attempt.incarnation:
            self._settle(attempt, AttemptState.UNKNOWN)
            if self._state is RequestState.SETTLING:
                return self._reject_if_settled()
            if attempt is not self._current:
                return []
            return self._retry_elsewhere(Reason.CONNECTION_LOST, now)
        attempt.state = AttemptState.SENT
        # The agent is connected, so AGENT_RESPONSE_TIMEOUT doesn't apply.
        attempt.has_responded = True
        if attempt is not self._current or self._state is RequestState.SETTLING:
            return [self._revoke(attempt)]
        floor = self._attempt_ids.floor
        self._timer_at = self._call.deadline
        next_sequence = self._response.next_sequence if self._response.head else 0
        resume = Resume(attempt.attempt_id, floor, attempt.incarnation, next_sequence)
        return [Send(attempt.agent, resume)]

    def _retry_elsewhere(self, reason: Reason, now: float) -> list[Effect]:
        """Try another agent unless part of the response was delivered."""
        self._rejection = (reason, DEFAULT_RETRY_AFTER)
        self._unknown_reason = reason
        if self._head_delivered:
            return self._reject_when_settled(*self._rejection, now)
        return self._send_next(now)

    def _reject_when_settled(
        self, reason: Reason, retry_after: float, now: float
    ) -> list[Effect]:
        """Revoke the unsettled attempts and reject the request.

        Waits for the agents' confirmations if they can still prove that the request
        was not run.
        """
        self._rejection = (reason, retry_after)
        if self._head_delivered or not self._can_prove_not_run():
            revokes = self._revoke_unsettled()
            return [*revokes, *self._reject()]
        self._state = RequestState.SETTLING
        self._timer_at = now + REVOKE_TIMEOUT
        return self._revoke_unsettled()

    def _can_prove_not_run(self) -> bool:
        """Return whether outstanding confirmations could prove that no attempt ran."""
        states = {attempt.state for attempt in self._attempts.values()}
        unconfirmed = {AttemptState.SENT, AttemptState.DISCONNECTED}
        return bool(states & unconfirmed) and states <= {
            *unconfirmed,
            AttemptState.NOT_RUN,
        }

    def _reject_if_settled(self) -> list[Effect]:
        if self._state is not RequestState.SETTLING or self._can_prove_not_run():
            return []
        return self._reject()

    def _reject(self) -> list[Effect]:
        all_not_run = all(
            attempt.state is AttemptState.NOT_RUN for attempt in self._attempts.values()
        )
        execution_status = (
            ExecutionStatus.NOT_EXECUTED if all_not_run else ExecutionStatus.UNKNOWN
        )
        self._monitor.check(
            Invariant.TRUTHFUL_REJECTION,
            execution_status is ExecutionStatus.UNKNOWN or not self._head_delivered,
            f"request {self._call.request_id} rejected as not run after delivery began",
        )
        self._state = (
            RequestState.NOT_RUN
            if execution_status is ExecutionStatus.NOT_EXECUTED
            else RequestState.UNKNOWN
        )
        rejection = RejectRequest(
            execution_status, *self._rejection, self._head_delivered
        )
        return [rejection, *self._settle_rest_as_unknown()]

    def _revoke_unsettled(self) -> list[Effect]:
        revocable = {AttemptState.SENT, AttemptState.STARTED}
        return [
            self._revoke(attempt)
            for attempt in self._attempts.values()
            if attempt.state in revocable
        ]

    def _revoke(self, attempt: Attempt) -> Send:
        floor = self._attempt_ids.floor
        revoke = Revoke(attempt.attempt_id, floor, attempt.incarnation)
        return Send(attempt.agent, revoke)

    def _settle(self, attempt: Attempt, state: AttemptState) -> None:
        """Record the final state of an attempt, unless it already has one.

        A restarted agent reports a failure for a late duplicate of an ``Execute`` that
        its previous incarnation may already have settled.
        """
        if attempt.state not in UNSETTLED_ATTEMPT_STATES:
            return
        self._router.on_settled(attempt.agent)
        self._attempt_ids.settle(attempt.attempt_id)
        attempt.state = state

    def _settle_rest_as_unknown(self) -> list[Effect]:
        """Settle the remaining attempts as UNKNOWN.

        :returns: no effects; callers append the result to their own.
        """
        for attempt in self._attempts.values():
            if attempt.state in UNSETTLED_ATTEMPT_STATES:
                self._settle(attempt, AttemptState.UNKNOWN)
        return []
