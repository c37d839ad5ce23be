"""The decisions of an agent: admission, queueing, at-most-once execution, draining.

All calls to an endpoint go through its agent, which executes the attempts of
entries as runs. Attempts with the same idempotency key share one run. The states
of a run::

    QUEUED   --slot free-->             CLAIMING (call with a key) or RUNNING
    CLAIMING --claim granted-->         RUNNING
    RUNNING  --response complete-->     FINISHED
    RUNNING  --endpoint failed, call cancelled--> FAILED
    CLAIMING --key claimed before-->    FINISHED or FAILED, as the journal states
    QUEUED, CLAIMING --rejected, revoked, draining--> DROPPED
    RUNNING  --endpoint did not start the call--> DROPPED

Only a DROPPED run is reported as not run, and no run starts after it was DROPPED.
"""

from collections.abc import Iterable, Iterator
from random import Random

from cyclamenyoke.core.attempts import AttemptTable
from cyclamenyoke.core.claims import (
    AlreadyClaimed,
    ClaimManager,
    Granted,
    ReadSlot,
    Rejected,
    Step,
    WriteSlot,
)
from cyclamenyoke.core.fair_queue import FairQueue
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.journal import (
    Claim,
    ClaimState,
    Outcome,
    key_digest,
)
from cyclamenyoke.core.messages import (
    Acknowledge,
    AttemptId,
    Call,
    Chunk,
    ClaimedElsewhere,
    Draining,
    Execute,
    Failed,
    Finished,
    FromAgent,
    Head,
    Load,
    LoadReport,
    NotRun,
    Queued,
    Reason,
    Resume,
    Revoke,
    Started,
)
from cyclamenyoke.core.runs import (
    ACKNOWLEDGED_RUN,
    EMPTY_CALL,
    NOT_STARTED,
    Broadcast,
    CancelCall,
    Effect,
    Reply,
    Run,
    RunState,
    StartCall,
    head_for_attempt,
    outcome_to_record,
    restore_outcome,
)
from cyclamenyoke.core.slot_shares import ENGINE_OVERCOMMIT, SlotShares
from cyclamenyoke.core.units import SECOND

DISCONNECTED_ENTRY_TIMEOUT = 5 * SECOND
"""Seconds for which the attempts of a disconnected entry are kept."""

MIN_LOAD_REPORT_INTERVAL = 1 * SECOND
"""Minimum seconds between two load reports to the connected entries."""

MAX_LOAD_REPORTS_PER_SECOND = 30
"""Maximum load reports per second of an agent to all entries together. Reports become
less frequent as more entries connect."""

MAX_QUEUED_COST_PER_CUSTOMER = 200_000.0
"""Estimated tokens that one customer may have queued at one agent."""

RATE_SMOOTHING = 0.1
"""Weight of the newest observation in the moving average of the token rate."""

MIN_RETRY_AFTER = 0.05
"""Minimum retry delay in seconds that a rejection suggests."""


class AgentCore:
    """The state machine of one incarnation of an agent.

    Each public method handles an event at a Unix time in seconds and returns
    effects, which the caller must carry out in order.

    :param agent: the agent's name, which is that of its endpoint.
    :param incarnation: unique to this start of the process.
    :param slots: calls that the endpoint executes concurrently.
    :param retention: seconds after its issue for which an idempotency key is
        remembered.
    :param random: random number generator for jitter.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        slots: int,
        retention: float,
        monitor: InvariantMonitor,
        random: Random,
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._slots = slots
        self._monitor = monitor
        self._attempts: AttemptTable[Run] = AttemptTable()
        self._queue: FairQueue[Run] = FairQueue()
        self._shares = SlotShares()
        self._claims = ClaimManager(agent, incarnation, retention, random)
        self._runs: dict[int, Run] = {}
        self._runs_by_digest: dict[str, Run] = {}
        self._runs_by_claim: dict[str, Run] = {}
        self._next_run = 0
        self._draining = False
        self._token_rate = 0.0
        self._report_at = 0.0
        self._connected: set[str] = set()

    @property
    def agent(self) -> str:
        """The name of the endpoint that the agent serves."""
        return self._agent

    @property
    def incarnation(self) -> str:
        """The identifier of this start of the process."""
        return self._incarnation

    @property
    def is_draining(self) -> bool:
        """Whether new calls are rejected."""
        return self._draining

    @property
    def is_drained(self) -> bool:
        """Whether no call is running and every outcome is in the journal."""
        return self._shares.held == 0 and self._claims.is_flushed

    @property
    def load(self) -> Load:
        """The current load, as sent with responses and load reports."""
        calls = self._shares.held + len(self._queue)
        return Load(calls, self._queue.cost, self._token_rate)

    def configure(
        self,
        slots: int,
        retention: float,
        write_rate: float,
        honours_priorities: bool,
        now: float,
    ) -> list[Effect]:
        """Apply the endpoint's settings of a new configuration.

        :param write_rate: journal writes per second.
        :param honours_priorities: whether the endpoint delays calls of low priority
            in favour of calls of high priority.
        """
        self._slots = slots
        self._shares.overcommit = ENGINE_OVERCOMMIT if honours_priorities else 1
        self._claims.configure(retention, write_rate)
        return self._dispatch(now)

    def on_execute(self, message: Execute, now: float) -> list[Effect]:
        """Admit or reject a call from an entry; ignore duplicate attempts."""
        attempt = message.attempt
        if message.incarnation != self._incarnation:
            return [self._reply(attempt, Failed(attempt, Reason.STALE_INCARNATION))]
        effects = self._apply_floor(attempt.entry, message.floor, now)
        if self._attempts.is_below_floor(attempt.entry, attempt.number):
            return effects
        if self._attempts.get(attempt.entry, attempt.number) is not None:
            return effects
        return effects + self._admit(attempt, message, now)

    def on_revoke(self, message: Revoke, now: float) -> list[Effect]:
        """Confirm that an attempt will not run, or cancel it if it has started."""
        attempt = message.attempt
        if message.incarnation != self._incarnation:
            return []
        effects = self._apply_floor(attempt.entry, message.floor, now)
        if self._attempts.is_below_floor(attempt.entry, attempt.number):
            return effects
        run = self._attempts.get(attempt.entry, attempt.number)
        if run is None:
            return effects + self._reject_unseen(attempt)
        if attempt not in run.subscribers:
            return effects
        if run.state in NOT_STARTED and len(run.subscribers) == 1:
            return effects + self._drop(run, Reason.REVOKED, now)
        run.subscribers.pop(attempt, None)
        effects.append(self._reply(attempt, Failed(attempt, Reason.REVOKED)))
        return effects + self._cancel_if_unneeded(run, now)

    def on_resume(self, message: Resume, now: float) -> list[Effect]:
        """Resend an attempt's response from a sequence number on."""
        attempt = message.attempt
        if message.incarnation != self._incarnation:
            return []
        effects = self._apply_floor(attempt.entry, message.floor, now)
        run = self._attempts.get(attempt.entry, attempt.number)
        if run is not None:
            return effects + list(self._replay(run, attempt, message.next_sequence))
        if self._attempts.is_below_floor(attempt.entry, attempt.number):
            return [
                *effects,
                self._reply(attempt, Failed(attempt, Reason.CONNECTION_LOST)),
            ]
        return effects + self._reject_unseen(attempt)

    def on_acknowledge(self, message: Acknowledge, now: float) -> list[Effect]:
        """Discard the response of an attempt, which the entry has received in full."""
        attempt = message.attempt
        run = self._attempts.get(attempt.entry, attempt.number)
        if run is None or message.incarnation != self._incarnation:
            return []
        run.subscribers.pop(attempt, None)
        self._attempts.put(attempt.entry, attempt.number, ACKNOWLEDGED_RUN)
        return self._cancel_if_unneeded(run, now)

    def on_connected(self, entry: str) -> list[Effect]:
        """Keep the attempts of an entry for as long as it is connected."""
        self._attempts.on_connected(entry)
        self._connected.add(entry)
        return []

    def on_disconnected(self, entry: str, now: float) -> list[Effect]:
        """Keep an entry's attempts for ``DISCONNECTED_ENTRY_TIMEOUT`` seconds."""
        self._attempts.on_disconnected(entry, now + DISCONNECTED_ENTRY_TIMEOUT)
        self._connected.discard(entry)
        return []

    def on_head(self, run_id: int, status: int, content_type: str) -> list[Effect]:
        """Forward the status of the endpoint's response."""
        run = self._runs.get(run_id)
        if run is None or run.state is not RunState.RUNNING:
            return []
        # A placeholder: head_for_attempt sets the attempt.
        attempt = AttemptId("", 0)
        run.head = Head(attempt, run.call.request_id, status, content_type)
        return [
            self._reply(each, head_for_attempt(run, each)) for each in run.subscribers
        ]

    def on_data(self, run_id: int, data: bytes) -> list[Effect]:
        """Forward a chunk of the endpoint's response."""
        run = self._runs.get(run_id)
        if run is None or run.state is not RunState.RUNNING:
            return []
        run.chunks.append(data)
        sequence = len(run.chunks)
        return [
            self._reply(each, Chunk(each, sequence, data)) for each in run.subscribers
        ]

    def on_finished(self, run_id: int, now: float) -> list[Effect]:
        """Finish a run whose response is complete, and record its outcome."""
        run = self._runs.get(run_id)
        if run is None or run.state is not RunState.RUNNING:
            return []
        run.state = RunState.FINISHED
        self._update_token_rate(run, now)
        last_sequence = len(run.chunks)
        effects: list[Effect] = [
            self._reply(each, Finished(each, last_sequence, self.load))
            for each in run.subscribers
        ]
        effects += self._record(run, ClaimState.DONE, outcome_to_record(run), now)
        return effects + self._release(run, now)

    def on_failed(
        self, run_id: int, may_have_started: bool, reason: Reason, now: float
    ) -> list[Effect]:
        """End a run for which the endpoint gave no complete response.

        :param may_have_started: whether the endpoint may have started the call.
        """
        run = self._runs.get(run_id)
        if run is None or run.state is not RunState.RUNNING:
            return []
        if not may_have_started:
            # Undo the transition to RUNNING: only a run that has not started can be
            # dropped.
            run.state = RunState.CLAIMING if run.claim_id else RunState.QUEUED
            return self._drop(run, reason, now)
        run.state = RunState.FAILED
        effects: list[Effect] = [
            self._reply(each, Failed(each, reason)) for each in run.subscribers
        ]
        effects += self._record(run, ClaimState.FAILED, None, now)
        return effects + self._release(run, now)

    def on_slot_read(
        self, slot: str, revision: int, value: bytes | None, now: float
    ) -> list[Effect]:
        """Process the value of a journal slot that was read."""
        return self._apply_steps(self._claims.on_read(slot, revision, value, now), now)

    def on_slot_written(self, slot: str, revision: int, now: float) -> list[Effect]:
        """Process an accepted journal write."""
        return self._apply_steps(self._claims.on_written(slot, revision, now), now)

    def on_slot_conflict(self, slot: str, now: float) -> list[Effect]:
        """Process a journal write that lost to a concurrent writer."""
        return self._apply_steps(self._claims.on_conflict(slot, now), now)

    def on_slot_unconfirmed(self, slot: str, now: float) -> list[Effect]:
        """Process a journal call without a reply; a write may have taken effect."""
        return self._apply_steps(self._claims.on_unconfirmed(slot, now), now)

    def drain(self, now: float) -> list[Effect]:
        """Start draining: reject calls that have not started, finish the others."""
        if self._draining:
            return []
        self._draining = True
        effects: list[Effect] = [Broadcast(Draining(self._agent, self._incarnation))]
        unstarted = [run for run in self._runs.values() if run.state in NOT_STARTED]
        for run in unstarted:
            effects += self._drop_if_not_started(run, Reason.DRAINING, now)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Report the load, retry journal calls, reject overdue calls, expire attempts.

        Attempts expire when their entry has been disconnected for too long.
        """
        if now >= self._report_at:
            interval = len(self._connected) / MAX_LOAD_REPORTS_PER_SECOND
            interval = max(MIN_LOAD_REPORT_INTERVAL, interval)
            self._report_at = now + interval
            report: list[Effect] = [Broadcast(LoadReport(self.load, interval))]
        else:
            report = []
        steps = self._claims.flush(now) if self._draining else self._claims.tick(now)
        effects = report + self._apply_steps(steps, now)
        self._shares.remove_idle(now, self._queue.customers)
        for run in self._attempts.expire(now):
            effects += self._drop_forgotten_subscribers(run, now)
        overdue = [
            run
            for run in self._runs.values()
            if run.state is RunState.QUEUED and run.call.start_by <= now
        ]
        for run in overdue:
            effects += self._drop_if_not_started(run, Reason.DEADLINE, now)
        return effects

    def _apply_floor(self, entry: str, floor: int, now: float) -> list[Effect]:
        """Forget an entry's attempts below the floor, which the entry has settled."""
        effects: list[Effect] = []
        for run in self._attempts.raise_floor(entry, floor):
            run.subscribers = {
                each: request
                for each, request in run.subscribers.items()
                if each.entry != entry or each.number >= floor
            }
            effects += self._drop_forgotten_subscribers(run, now)
        return effects

    def _drop_forgotten_subscribers(self, run: Run, now: float) -> list[Effect]:
        """Drop or cancel a run if none of its attempts is still known."""
        run.subscribers = {
            each: request
            for each, request in run.subscribers.items()
            if self._attempts.get(each.entry, each.number) is run
        }
        if run.subscribers:
            return []
        if run.state in NOT_STARTED:
            return self._drop(run, Reason.CALLER_DISCONNECTED, now)
        return self._cancel_if_unneeded(run, now)

    def _admit(self, attempt: AttemptId, message: Execute, now: float) -> list[Effect]:
        call = message.call
        digest = key_digest(call.service, call.customer, call.key) if call.key else ""
        active_run = self._runs_by_digest.get(digest) if digest else None
        if active_run is not None:
            return self._subscribe(active_run, attempt, call)
        run = self._new_run(attempt, call, digest)
        self._shares.record_call(call.customer, call.weight, now)
        reason = self._rejection_reason(call, message.may_queue, now)
        if reason is not None:
            return self._drop(run, reason, now)
        self._queue.push(call.customer, call.weight, call.cost, run)
        effects = self._dispatch(now)
        if run.state in NOT_STARTED:
            effects.append(self._reply(attempt, Queued(attempt)))
        return effects

    def _new_run(self, attempt: AttemptId, call: Call, digest: str) -> Run:
        self._next_run += 1
        run = Run(self._next_run, call, digest)
        run.subscribers[attempt] = call.request_id
        self._runs[run.run_id] = run
        self._attempts.put(attempt.entry, attempt.number, run)
        if digest:
            self._runs_by_digest[digest] = run
        return run

    def _subscribe(self, run: Run, attempt: AttemptId, call: Call) -> list[Effect]:
        if run.call.fingerprint != call.fingerprint:
            return self._reject_unseen(attempt, Reason.KEY_REUSED)
        self._attempts.put(attempt.entry, attempt.number, run)
        run.subscribers[attempt] = call.request_id
        return list(self._replay(run, attempt, 0))

    def _rejection_reason(
        self, call: Call, may_queue: bool, now: float
    ) -> Reason | None:
        if self._draining:
            return Reason.DRAINING
        if not may_queue and not self._has_free_slot_for(call):
            return Reason.BUSY
        queued_cost = self._queue.cost_of(call.customer)
        if queued_cost + call.cost > MAX_QUEUED_COST_PER_CUSTOMER:
            return Reason.QUEUE_FULL
        if now + self._expected_wait(call) >= call.start_by:
            return Reason.DEADLINE
        return None

    def _has_free_slot_for(self, call: Call) -> bool:
        """Return whether a call would start without queueing."""
        queue_is_empty = self._queue.cost_of(call.customer) == 0
        return queue_is_empty and self._can_start(call.customer)

    def _expected_wait(self, call: Call) -> float:
        if self._shares.held < self._slots or self._token_rate <= 0:
            return 0.0
        ahead = self._queue.cost_ahead(call.customer, call.weight, call.cost)
        return ahead / self._token_rate

    def _dispatch(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while not self._draining:
            run = self._queue.pop(self._can_start)
            if run is None:
                break
            if run.call.start_by <= now:
                effects += self._drop(run, Reason.DEADLINE, now)
                continue
            run.priority = self._shares.acquire(run.call.customer, self._slots)
            run.holds_slot = True
            effects += self._claim(run, now) if run.digest else self._start(run, now)
        return effects

    def _can_start(self, customer: str) -> bool:
        return self._shares.can_acquire(customer, self._slots)

    def _claim(self, run: Run, now: float) -> list[Effect]:
        run.state = RunState.CLAIMING
        call = run.call
        claim_id, steps = self._claims.claim(
            call.service, run.digest, call.key_issued_at, call.fingerprint, now
        )
        run.claim_id = claim_id
        self._runs_by_claim[claim_id] = run
        return self._apply_steps(steps, now)

    def _apply_steps(self, steps: Iterable[Step], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for step in steps:
            if isinstance(step, ReadSlot | WriteSlot):
                effects.append(step)
            else:
                effects += self._on_decision(step, now)
        return effects

    def _on_decision(
        self, step: Granted | Rejected | AlreadyClaimed, now: float
    ) -> list[Effect]:
        run = self._runs_by_claim.get(step.claim_id)
        if run is None or run.state is not RunState.CLAIMING:
            return []
        if isinstance(step, Granted):
            return self._start(run, now)
        if isinstance(step, Rejected):
            return self._drop(run, step.reason, now)
        return self._respond_from_journal(run, step.existing, now)

    def _start(self, run: Run, now: float) -> list[Effect]:
        if run.call.deadline <= now:
            return self._drop(run, Reason.DEADLINE, now)
        self._monitor.check(
            Invariant.NO_NEW_WORK_WHILE_DRAINING,
            not self._draining,
            f"run {run.run_id} started while {self._agent} is draining",
        )
        self._monitor.check(
            Invariant.TRUTHFUL_REJECTION,
            run.state in NOT_STARTED,
            f"run {run.run_id} started from state {run.state.value}",
        )
        run.state = RunState.RUNNING
        run.started_at = now
        effects: list[Effect] = [
            self._reply(each, Started(each)) for each in run.subscribers
        ]
        return [*effects, StartCall(run.run_id, run.call, run.priority)]

    def _respond_from_journal(
        self, run: Run, existing: Claim, now: float
    ) -> list[Effect]:
        if existing.fingerprint != run.call.fingerprint:
            return self._drop(run, Reason.KEY_REUSED, now)
        effects: list[Effect] = []
        if existing.state is ClaimState.CLAIMED:
            run.state = RunState.FAILED
            effects = [
                self._reply(
                    each, ClaimedElsewhere(each, existing.agent, existing.incarnation)
                )
                for each in run.subscribers
            ]
        elif existing.outcome is None:
            run.state = RunState.FAILED
            effects = [
                self._reply(each, Failed(each, Reason.ENDPOINT_FAILED))
                for each in run.subscribers
            ]
        else:
            run.state = RunState.FINISHED
            restore_outcome(run, existing.outcome)
            for each in run.subscribers:
                effects += self._replay(run, each, 0)
        return effects + self._release(run, now)

    def _drop_if_not_started(
        self, run: Run, reason: Reason, now: float
    ) -> list[Effect]:
        """Drop a run unless an earlier drop of the same batch changed its state."""
        return self._drop(run, reason, now) if run.state in NOT_STARTED else []

    def _drop(self, run: Run, reason: Reason, now: float) -> list[Effect]:
        self._monitor.check(
            Invariant.TRUTHFUL_REJECTION,
            run.state in NOT_STARTED,
            f"run {run.run_id} rejected in state {run.state.value}",
        )
        self._queue.remove(run.call.customer, run)
        run.state = RunState.DROPPED
        retry_after = max(MIN_RETRY_AFTER, self._expected_wait(run.call))
        effects: list[Effect] = [
            self._reply(each, NotRun(each, reason, retry_after, self.load))
            for each in run.subscribers
        ]
        if run.claim_id:
            service = run.call.service
            steps = self._claims.abandon(service, run.digest, run.claim_id, now)
            effects += self._apply_steps(steps, now)
        return effects + self._release(run, now)

    def _release(self, run: Run, now: float) -> list[Effect]:
        self._detach(run)
        if not run.holds_slot:
            return []
        run.holds_slot = False
        self._shares.release(run.call.customer, run.priority)
        return self._dispatch(now)

    def _detach(self, run: Run) -> None:
        self._runs.pop(run.run_id, None)
        self._runs_by_claim.pop(run.claim_id, None)
        if self._runs_by_digest.get(run.digest) is run:
            del self._runs_by_digest[run.digest]

    def _cancel_if_unneeded(self, run: Run, now: float) -> list[Effect]:
        is_needed = run.subscribers or run.call.at_most_once
        if run.state is not RunState.RUNNING or is_needed:
            return []
        run.state = RunState.FAILED
        return [CancelCall(run.run_id), *self._release(run, now)]

    def _record(
        self, run: Run, state: ClaimState, outcome: Outcome | None, now: float
    ) -> list[Effect]:
        if not run.claim_id:
            return []
        service = run.call.service
        steps = self._claims.record(
            service, run.digest, run.claim_id, state, outcome, now
        )
        return self._apply_steps(steps, now)

    def _update_token_rate(self, run: Run, now: float) -> None:
        tokens = max(len(run.chunks), 1)
        elapsed = max(now - run.started_at, 1e-3)
        observed = tokens / elapsed * max(self._shares.held, 1)
        if self._token_rate == 0.0:
            self._token_rate = observed
        else:
            self._token_rate += RATE_SMOOTHING * (observed - self._token_rate)
        self._queue.correct_cost(run.call.customer, tokens - run.call.cost)

    def _replay(
        self, run: Run, attempt: AttemptId, next_sequence: int
    ) -> Iterator[Reply]:
        if run.state is RunState.DROPPED:
            yield self._rejection(attempt, Reason.REVOKED)
            return
        if run.state is RunState.FAILED or attempt not in run.subscribers:
            yield self._reply(attempt, Failed(attempt, Reason.ENDPOINT_FAILED))
            return
        if run.state in NOT_STARTED:
            yield self._reply(attempt, Queued(attempt))
        if run.state is RunState.RUNNING:
            yield self._reply(attempt, Started(attempt))
        if run.head is not None and next_sequence == 0:
            yield self._reply(attempt, head_for_attempt(run, attempt))
        first = max(next_sequence, 1)
        for sequence, data in enumerate(run.chunks[first - 1 :], first):
            yield self._reply(attempt, Chunk(attempt, sequence, data))
        if run.state is RunState.FINISHED:
            finished = Finished(attempt, len(run.chunks), self.load)
            yield self._reply(attempt, finished)

    def _reject_unseen(
        self, attempt: AttemptId, reason: Reason = Reason.NEVER_RECEIVED
    ) -> list[Effect]:
        """Reject an attempt for good, even if its call arrives later."""
        run = Run(0, EMPTY_CALL, "", RunState.DROPPED)
        run.subscribers[attempt] = ""
        self._attempts.put(attempt.entry, attempt.number, run)
        return [self._rejection(attempt, reason)]

    def _rejection(self, attempt: AttemptId, reason: Reason) -> Reply:
        return self._reply(attempt, NotRun(attempt, reason, MIN_RETRY_AFTER, self.load))

    def _reply(self, attempt: AttemptId, message: FromAgent) -> Reply:
        return Reply(attempt.entry, message)
