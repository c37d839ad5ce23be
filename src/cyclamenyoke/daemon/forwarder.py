"""Handles requests: routing, admission, sending with retries, and the response."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from cyclamenyoke.adapters.event_stream import StreamEvent
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.adapters.read_pacer import ReadPacer
from cyclamenyoke.core.admission import (
    MAX_QUEUE_SHARE,
    Admission,
    AdmissionRequest,
    Admitted,
    Enqueued,
    Rejected,
)
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.fair_share import NOT_SCARCE, Scarcity, is_scarce, scarcity_of
from cyclamenyoke.core.gateway_config import (
    Customer,
    GatewayConfig,
    RetryMode,
    Route,
)
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.inbound_request import InboundRequest, RejectionReason
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.longest_durations import LongestDurations
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.orphaned_copies import OrphanedCopies
from cyclamenyoke.core.pass_model import GapRatio, PassModel
from cyclamenyoke.core.peers import BudgetPart, Peers
from cyclamenyoke.core.prompt_placement import Prompt, PromptPlacement, is_long
from cyclamenyoke.core.quarantine import QuarantineKey
from cyclamenyoke.core.refusals import key_digest
from cyclamenyoke.core.request_delivery import (
    Attempt,
    AttemptOutcome,
    RequestDelivery,
)
from cyclamenyoke.core.request_fingerprint import RequestFingerprint, fingerprint
from cyclamenyoke.core.request_quarantine import (
    MIN_EVENTS_WRITTEN,
    RequestQuarantine,
    request_traits,
)
from cyclamenyoke.core.reservations import Reservation, Reservations
from cyclamenyoke.core.response_memory import ResponseMemory
from cyclamenyoke.core.retry_budget import RetryBudgetState, WindowedRetryBudget
from cyclamenyoke.core.silence_timeout import SilenceTimeout
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE, MILLISECOND, SECOND
from cyclamenyoke.daemon.caller_response import CallerResponse
from cyclamenyoke.daemon.cluster_state import ClusterState
from cyclamenyoke.daemon.partial_response import PartialResponse
from cyclamenyoke.daemon.silent_call import SilentCall, wait_for_event
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine import (
    NO_NOTICE,
    EngineCall,
    EngineClient,
    EngineEvent,
    EngineResponseData,
    EngineResponseEnd,
    EngineResponseFailed,
    EngineResponseHead,
    EngineUnreachable,
    NotExecuted,
)
from cyclamenyoke.ports.response_writer import ResponseWriter

MIN_CALLER_TIMEOUT = 2 * SECOND
"""Lower bound in seconds on the assumed timeout of a stream's callers, which abandon
the stream if the gap, the time between two events, becomes longer."""

CALLER_TIMEOUT_LATENCIES = 4
"""Assumed timeout of callers, as a multiple of the target latency. For streams, see
:meth:`Forwarder._caller_timeout`."""

CALLER_TIMEOUT_GAPS = 8
"""Lower bound on the assumed timeout of a stream's callers, as a multiple of the target
gap."""

IDLE_TIMEOUT_SHARE = 0.5
"""Share of the callers' timeout after which a stream without events is retried at
another engine, which has the rest of the timeout to send an event."""

STARTUP_SYNC_TIMEOUT = 250 * MILLISECOND
"""Seconds after the start of the process for which requests wait for the first sync,
enough for several reads of the store. Without a configuration by then, they are
rejected."""

UNAVAILABLE_RETRY_AFTER = 300 * MILLISECOND
"""Retry-After in seconds of a request that was not run, unless ``FULL_RETRY_AFTER``
applies or admission control gave a time. The endpoint list may have changed by then."""

FULL_RETRY_AFTER = 150 * MILLISECOND
"""Retry-After in seconds if endpoints rejected every attempt because they were full."""

STARTUP_RETRY_AFTER = 500 * MILLISECOND
"""Retry-After in seconds while this node has no configuration."""

CONFIRMATION_TIMEOUT = 300 * MILLISECOND
"""Seconds for which a request that the configuration denies waits until that is known
to be the newest one."""

UNCONFIRMED_RETRY_AFTER = 100 * MILLISECOND
"""Retry-After in seconds of a request that can't be denied for certain. Other nodes may
know more."""

SHUTDOWN_RETRY_AFTER = 100 * MILLISECOND
"""Retry-After in seconds of a request that can't end before this node stops. Other
nodes serve it at once; the directory names their addresses."""

QUEUE_POLL_INTERVAL = 50 * MILLISECOND
"""Interval in seconds at which the queues are dispatched, so that expired requests are
rejected even without another event."""

COUNT_CHECK_INTERVAL = 1 * SECOND
"""Interval in seconds at which counts are compared with their owners. A wrong count
stays wrong, so a longer interval only delays the report."""

MAX_REQUESTS_PER_SLOT_WITHOUT_MODEL = 2
"""Requests in flight allowed per slot of a service without a model: one runs while the
next waits at the endpoint, so that the slot is not idle between them."""

ON_TIME_RESERVED_SLOTS = 1
"""Slots of each engine reserved for requests that can still meet their target
latency."""

FIRST_EVENT_PASSES = 2.5
"""Expected number of engine passes from sending a request to its first event: the rest
of the running pass, the prefill of the prompt and the pass that yields the event."""

STREAM_SLICE_BYTES = 4 * KIBIBYTE
"""Bytes of a stream whose events are forwarded without letting others run."""

MAX_EVENTS_PER_SLICE = 128
"""Events of a slice above which the stream awaits its turn for the next one."""

LATE_READ_TIME = 100 * MILLISECOND
"""Seconds after a request's deadline for which parts of its response are read that may
have arrived before, while this process stood still."""

MAX_DRAINED_BYTES = 16 * MEBIBYTE
"""Largest response to a caller that has left that is read to its end."""

RESPONSE_MEMORY_DIVISOR = 8
"""The process's memory divided by this is the limit for incomplete responses."""

MOVE_CHECK_INTERVAL = 100 * MILLISECOND
"""Seconds after which it is checked again whether a request at a silent endpoint can be
moved to another one."""

MAX_DISCARDED_BYTES = 64 * KIBIBYTE
"""Largest body that is read only so that its connection can be reused."""

DISCARD_TIMEOUT = 100 * MILLISECOND
"""Seconds for which such a body is read."""

REFUSAL_LOG_INTERVAL = 1 * SECOND
"""Seconds between two log lines about retries that a service's budget refused."""

MAX_LOGGED_PARTS = 16
"""Largest number of a prompt's parts in a log line."""

SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)


@dataclass(slots=True)
class RequestContext:
    """The state of one request in progress.

    :param prompt: the prompt, as it counts at the endpoint that the request is at.
    :param last_event_id: ID of the last event that the caller has received or was sent;
        ``None`` without one.
    :param failure: an endpoint's own error response, which is forwarded if no later
        attempt succeeds.
    :param has_event: whether any attempt has yielded an event.
    :param detail: reason for the latest failure, for the log.
    :param waited: seconds spent in the admission queue.
    :param last_event_at: when the current attempt last yielded events; ``None``
        before.
    :param held_bytes: memory reserved for its responses.
    :param fingerprint: computed only when it is needed.
    :param silent: a response that has begun at an endpoint which is silent, until
        another endpoint goes on.
    :param trial: the quarantines in spite of which it is tried; empty for none.
    :param may_have_ended_engine: whether its latest attempt ended with its engine just
        as that began to write on its prompt.
    """

    request: InboundRequest
    response: CallerResponse
    route: Route
    service: str
    customer: str | None
    delivery: RequestDelivery
    prompt: Prompt
    last_event_id: int | None
    failure: tuple[EngineResponseHead, bytes] | None = None
    has_event: bool = False
    priority: int = 0
    detail: str = ""
    retry_after: float | None = None
    waited: float = 0.0
    last_event_at: float | None = None
    held_bytes: int = 0
    fingerprint: RequestFingerprint | None = None
    silent: SilentCall | None = None
    trial: frozenset[QuarantineKey] = frozenset()
    may_have_ended_engine: bool = False

    @property
    def is_first_resumed(self) -> bool:
        """Whether the endpoint that was silent goes on with its response."""
        return self.silent is not None and self.silent.has_resumed

    async def read_silent(self) -> None:
        """Read what the endpoint that was silent has sent meanwhile."""
        if self.silent is None:
            return
        await self.silent.read()
        if self.silent.is_released:
            self.silent = None

    def drop_silent(self) -> None:
        """Give up the response at the silent endpoint, if there is one."""
        if self.silent is not None:
            self.silent.release()
            self.silent = None


@dataclass(frozen=True, slots=True)
class Grant:
    """What the configuration allows a request.

    :param customer: the customer of its API key; ``None`` where none is needed.
    """

    route: Route
    customer: Customer | None


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request in the queue.

    :param decision: set once it is admitted or rejected.
    """

    context: RequestContext
    decision: asyncio.Future[Admitted | Rejected]


class Forwarder:
    """Forwards requests to endpoints and their responses to callers.

    :param cluster_state: the configuration in force and the endpoint list.
    :param on_load_change: called when the number of requests in progress or in the
        queue has changed.

    The attribute ``shutdown`` is set once the node stops. Requests that can't end
    before that are refused from then on, also those that wait in the queue.
    """

    def __init__(
        self,
        engines: EngineClient,
        balancer: Balancer,
        peers: Peers,
        quarantine: RequestQuarantine,
        limits: EngineLimits,
        orphans: OrphanedCopies,
        settings: NodeSettings,
        cluster_state: ClusterState,
        on_load_change: Callable[[], None],
        clock: Clock,
        random: Random,
        monitor: InvariantMonitor,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._engines = engines
        self._balancer = balancer
        self._peers = peers
        self._quarantine = quarantine
        self._limits = limits
        self._orphans = orphans
        self._settings = settings
        self._cluster_state = cluster_state
        self._config = cluster_state.config_for_requests
        self._list_age = cluster_state.list_age
        self._on_load_change = on_load_change
        self._on_leaving = cluster_state.mark_leaving
        self._clock = clock
        self._startup_deadline = clock.now() + STARTUP_SYNC_TIMEOUT
        self._random = random
        self._monitor = monitor
        self._metrics = metrics
        self._log = log
        self._response_memory = ResponseMemory(
            settings.memory_bytes // RESPONSE_MEMORY_DIVISOR
        )
        self._stream_pacer = ReadPacer()
        self._retry_budgets: dict[str, WindowedRetryBudget] = {}
        # The bounds that the budgets have.
        self._budget_bounds = settings.bounds
        # By service: when the next refused retry is logged.
        self._next_refusal_logs: dict[str, float] = {}
        self._detached: set[asyncio.Task[None]] = set()
        self._gap_ratios: dict[str, GapRatio] = {}
        self._waiting: dict[AdmissionRequest, WaitingRequest] = {}
        self._reservations = Reservations(balancer)
        self._durations = LongestDurations()
        self._silence = SilenceTimeout()
        self.shutdown: GracefulShutdown | None = None
        # The tasks of the requests in progress.
        self._serving: set[asyncio.Task[object]] = set()
        self._is_cut_off = False
        self._admission = Admission(
            self._reserve_endpoint,
            lambda service: balancer.service_load(service)[0],
            lambda service: peers.queued(service, clock.now()),
            self._pause,
            self._limit_wait,
            self._scarcity,
            monitor,
        )

    @property
    def queued(self) -> dict[str, dict[str, int]]:
        """Requests in this node's queues, by service and customer."""
        return self._admission.queued

    def late_copies(self) -> dict[str, dict[str, int]]:
        """Return the requests that endpoints may read late, by service and endpoint."""
        now = self._clock.now()
        copies = {
            service: budget.copies(now)
            for service, budget in self._retry_budgets.items()
        }
        return {service: each for service, each in copies.items() if each}

    def retry_budget_states(self, now: float) -> dict[str, RetryBudgetState]:
        """Return what this node counts for its part of the retry budgets, by service.

        :param now: the time by the node's clock.
        """
        part = self._budget_part(now)
        return {
            service: budget.state(
                now, part.nodes, part.is_usable, self._orphans_part(service, now)
            )
            for service, budget in self._retry_budgets.items()
        }

    def gap_ratio(self, service: str) -> float:
        """Return a service's recent average gap as a multiple of the target gap.

        It is 0 without a recent stream.
        """
        ratio = self._gap_ratios.get(service)
        return ratio.value(self._clock.now()) if ratio else 0.0

    def is_allowed(self, request: InboundRequest) -> bool:
        """Return whether the newest configuration allows a request.

        No denial may be based on it, since that configuration may be outdated.
        """
        config = self._config()
        if config is None:
            return True
        return isinstance(_authorize(request, config), Grant)

    async def serve(self, request: InboundRequest, writer: ResponseWriter) -> None:
        """Respond to one request."""
        if request.is_from_gateway:
            self._reject(request, writer, RejectionReason.LOOP)
            return
        if self._list_age() < 0 or self._config() is None:
            await self._cluster_state.wait_until_synced(self._startup_deadline)
        config = self._config()
        if config is None:
            self._reject(
                request, writer, RejectionReason.NO_CONFIG, STARTUP_RETRY_AFTER
            )
            return
        decision = _authorize(request, config)
        if not isinstance(decision, Grant) and not self._may_deny(request):
            config = await self._look_for_newer_config(request) or config
            decision = _authorize(request, config)
        if isinstance(decision, Grant):
            await self._deliver(
                request, writer, decision.route, decision.customer, config
            )
        elif self._may_deny(request):
            self._reject(request, writer, decision, denial=decision)
        else:
            self._reject(
                request,
                writer,
                RejectionReason.CONFIG_UNCONFIRMED,
                UNCONFIRMED_RETRY_AFTER,
                denial=decision,
            )

    def _may_deny(self, request: InboundRequest) -> bool:
        """Return whether the configuration in force is known to be the newest."""
        return self._cluster_state.is_config_confirmed(request.arrived_at)

    async def _look_for_newer_config(
        self, request: InboundRequest
    ) -> GatewayConfig | None:
        """Return the configuration after an attempt to learn of a newer one."""
        until = self._clock.now() + CONFIRMATION_TIMEOUT
        if request.deadline is not None:
            until = min(until, request.deadline)
        await self._cluster_state.confirm_config(until)
        return self._config()

    async def _deliver(
        self,
        request: InboundRequest,
        writer: ResponseWriter,
        route: Route,
        customer: Customer | None,
        config: GatewayConfig,
    ) -> None:
        deadline = request.arrived_at + route.timeout
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        delivery = RequestDelivery(
            request.request_id,
            route.retry_mode,
            route.max_attempts,
            deadline,
            self._monitor,
        )
        service = route.pick_service(self._random)
        name = customer.name if customer else None
        prompt = Prompt(
            request.prompt_tokens, request.output_limit, self._balancer.prompt_tokens
        )
        last_event_id = request.last_event_id
        response = CallerResponse(writer, delivery, self._monitor)
        context = RequestContext(
            request, response, route, service, name, delivery, prompt, last_event_id
        )
        context.priority = route.priority
        if customer is not None and customer.priority is not None:
            context.priority = customer.priority
        self._retry_budget(service).on_first_attempt(self._clock.now())
        self._quarantine.on_arrival(service, request.shared_parts)
        outcome = "caller_gone"
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            outcome = await self._try_endpoints(context, config)
        except asyncio.CancelledError:
            if not self._is_cut_off:
                raise
            context.detail = "cut off by this node's shutdown"
            outcome = self._send_final_response(context)
        finally:
            self._serving.discard(task)
            context.drop_silent()
            self._end_trial(context)
            self._response_memory.release(context.held_bytes)
            self._record_outcome(context, outcome, config)

    async def _try_endpoints(
        self, context: RequestContext, config: GatewayConfig
    ) -> str:
        """Send the request to endpoints until one answers it or no attempt is left.

        A stream whose endpoint is silent goes on there if no other one goes on with it.
        Returns the outcome for the log.
        """
        max_connections = self._connection_limit(config, context.service)
        while True:
            if await self._send_attempts(context, config, max_connections):
                return "answered"
            silent, context.silent = context.silent, None
            if silent is None or silent.is_released:
                return self._send_final_response(context)
            if await self._go_on(context, silent, max_connections):
                return "answered"

    async def _send_attempts(
        self, context: RequestContext, config: GatewayConfig, max_connections: int
    ) -> bool:
        """Send the request to endpoints; return whether one has answered it."""
        delivery = context.delivery
        while delivery.can_send:
            if context.is_first_resumed or self._clock.now() >= delivery.deadline:
                break
            if not self._can_end(context):
                break
            if self._is_withheld(context) or not self._may_try(context):
                break
            reservation = await self._find_endpoint(context, config)
            if reservation is None:
                break
            endpoint = reservation.endpoint
            with reservation:
                if self._balancer.is_evacuated(endpoint):
                    # Admitted from the queue just before this node learned of it.
                    continue
                if not self._may_send(context):
                    break
                load = self._balancer.load(endpoint) - 1
                attempt = delivery.start_attempt(endpoint.id, load, self._clock.now())
                attempt.outcome = await self._attempt(
                    context, reservation, attempt, max_connections
                )
            await self._on_attempt_ended(context, endpoint, attempt, max_connections)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                return True
            if context.may_have_ended_engine and not self._quarantine.are_written_on(
                context.service, context.request.shared_parts
            ):
                context.detail = "prompt may have ended its engine"
                break
        return False

    async def _go_on(
        self, context: RequestContext, silent: SilentCall, max_connections: int
    ) -> bool:
        """Go on with a response whose endpoint was silent; return whether it ended."""
        attempt, endpoint = silent.attempt, silent.endpoint
        context.delivery.reopen(attempt)
        try:
            attempt.outcome = await self._receive_rest(context, silent)
            self._record_health(endpoint.id, attempt.outcome)
        finally:
            if context.silent is None or context.silent.call is not silent.call:
                silent.release()
            context.last_event_at = None
            self._on_load_change()
            self.dispatch()
        await self._on_attempt_ended(context, endpoint, attempt, max_connections)
        return attempt.outcome is AttemptOutcome.ANSWERED

    async def _receive_rest(
        self, context: RequestContext, silent: SilentCall
    ) -> AttemptOutcome:
        """Forward what came since the endpoint was silent, and then the rest."""
        head = silent.response.head
        assert head is not None
        events = silent.take_events()
        remaining = max(0.0, context.delivery.deadline - self._clock.now())
        try:
            async with asyncio.timeout(remaining):
                self._note_events(context, events)
                if not await self._forward_events(context, head, events):
                    return AttemptOutcome.INCOMPLETE
        except TimeoutError:
            context.detail = "caller does not read its response"
            return AttemptOutcome.INCOMPLETE
        if silent.end is not None:
            context.delivery.attempts[-1].is_closed_by_endpoint = silent.end.is_at_close
            return self._complete(context, head, silent.response)
        return await self._receive(context, silent.reservation, silent.call, silent)

    def _can_end(self, context: RequestContext) -> bool:
        """Return whether a request may be sent, with regard to the node's shutdown.

        One that may have run already is sent again, since it can't be refused any more.
        """
        if self.shutdown is None or not context.delivery.is_confirmed_not_run:
            return True
        now = self._clock.now()
        expected = self._durations.longest(context.route.name, now)
        if context.route.is_stream and now >= self.shutdown.min_close_at:
            # Of a stream that is cut off its caller gets no answer, and by now callers
            # should use other nodes.
            expected = None
        if self.shutdown.can_end(now, context.delivery.deadline, expected):
            return True
        context.detail = "node shuts down before the request can end"
        context.retry_after = SHUTDOWN_RETRY_AFTER
        return False

    def _is_withheld(self, context: RequestContext) -> bool:
        """Return whether the request is quarantined; the caller then learns until when.

        The check and the send are in one turn of the event loop.
        """
        now, service, traits = self._clock.now(), context.service, self._traits(context)
        if self._quarantine.withheld_until(service, traits, now, context.trial) is None:
            return False
        context.trial = context.trial or self._begin_trial(context, traits)
        if self._quarantine.withheld_until(service, traits, now, context.trial) is None:
            return False
        context.detail = "request is quarantined"
        context.retry_after = self._quarantine.retry_at(service, traits, now) - now
        return True

    def _begin_trial(
        self, context: RequestContext, traits: tuple[str, ...]
    ) -> frozenset[QuarantineKey]:
        now, service = self._clock.now(), context.service
        trial = self._quarantine.begin_trial(service, traits, now)
        if trial:
            self._metrics.count("quarantine_trials", service=service)
            self._log.info(
                "quarantine is tried",
                service=service,
                parts=sorted(part for _, parts in trial for part in parts),
                request=context.request.request_id,
            )
        return trial

    def _end_trial(self, context: RequestContext) -> None:
        """End a trial, if the request is one."""
        if context.trial:
            self._quarantine.end_trial(context.trial, self._clock.now())
            context.trial = frozenset()

    def _traits(self, context: RequestContext) -> tuple[str, ...]:
        """Return what a request has in common with others that may end engines."""
        parts = context.request.shared_parts
        if not self._quarantine.suspects_requests(context.service):
            return parts
        return (*parts, *request_traits(self._fingerprint(context)))

    def _on_written(self, context: RequestContext) -> None:
        """Record that an engine has answered the request, or writes, without ending."""
        traits = request_traits(self._fingerprint(context))
        self._quarantine.on_answered(
            context.service,
            (*context.request.shared_parts, *traits),
            self._clock.now(),
        )

    def _fingerprint(self, context: RequestContext) -> RequestFingerprint:
        if context.fingerprint is None:
            context.fingerprint = fingerprint(context.request, context.customer)
        return context.fingerprint

    def _may_try(self, context: RequestContext) -> bool:
        """Return whether the retry budget and untried endpoints allow an attempt."""
        if context.delivery.has_arrived and not self._has_retry(context.service):
            self._on_retry_refused(context)
            return False
        if not self._has_untried_endpoint(context):
            context.detail = context.detail or "no untried endpoint"
            return False
        return True

    def _may_send(self, context: RequestContext) -> bool:
        """Return whether a request may be sent now; a retry then counts as sent.

        It may have waited for a slot. So a retry counts in the window in which it
        arrives, and one that is not sent does not count.
        """
        if self._is_withheld(context) or not self._can_end(context):
            return False
        return not context.delivery.has_arrived or self._take_retry(context)

    def _has_retry(self, service: str) -> bool:
        """Return whether a service's budget allows one more retry."""
        now = self._clock.now()
        part = self._budget_part(now)
        orphans = self._orphans_part(service, now)
        budget = self._retry_budget(service)
        return budget.allows(now, part.nodes, part.is_usable, orphans)

    def _take_retry(self, context: RequestContext) -> bool:
        """Take a retry from the budget; return whether there was one."""
        now = self._clock.now()
        part = self._budget_part(now)
        budget = self._retry_budget(context.service)
        orphans = self._orphans_part(context.service, now)
        if budget.take(now, part.nodes, part.is_usable, orphans):
            self._metrics.count("retries", service=context.service)
            previous = context.delivery.attempts[-1]
            if previous.is_unanswered:
                budget.on_repeated(previous.endpoint, previous.sent_at, now)
            return True
        self._on_retry_refused(context)
        return False

    def _on_retry_refused(self, context: RequestContext) -> None:
        context.detail = "retry budget exhausted"
        service, now = context.service, self._clock.now()
        self._metrics.count("retries_refused", service=service)
        if now < self._next_refusal_logs.get(service, now):
            return
        self._next_refusal_logs[service] = now + REFUSAL_LOG_INTERVAL
        part = self._budget_part(now)
        state = self._retry_budget(service).state(
            now, part.nodes, part.is_usable, self._orphans_part(service, now)
        )
        self._log.info(
            "retry budget exhausted",
            service=service,
            first_attempts=state.first_attempts,
            retries=state.retries,
            allowed=round(state.allowed, 2),
            late_copies=round(state.late_copies, 2),
            nodes=state.nodes,
            has_fixed_part=state.has_fixed_part,
            age=round(now - state.since, 3),
        )

    def _has_untried_endpoint(self, context: RequestContext) -> bool:
        available_at = self._balancer.available_at(
            context.service, context.delivery.tried_endpoints, self._clock.now()
        )
        return available_at is not None

    async def _on_attempt_ended(
        self,
        context: RequestContext,
        endpoint: Endpoint,
        attempt: Attempt,
        max_connections: int,
    ) -> None:
        attempt.ended_at = self._clock.now()
        if not context.delivery.is_confirmed_not_run:
            # An engine that did not run the request has told nothing; another one may.
            self._end_trial(context)
        context.may_have_ended_engine = False
        if attempt.outcome is AttemptOutcome.ANSWERED:
            seconds = attempt.ended_at - attempt.sent_at
            self._durations.add(context.route.name, seconds, attempt.ended_at)
            if not context.route.is_stream:
                self._silence.add(context.route.name, seconds, attempt.ended_at)
            if attempt.events or not context.route.is_stream:
                self._on_written(context)
            return
        attempt.detail = context.detail
        if attempt.outcome is AttemptOutcome.MISDIRECTED:
            # Circuits alone do not spare it when a whole data centre has restarted,
            # since only a third of a service may be ejected.
            self._on_leaving(endpoint)
        if attempt.outcome is not AttemptOutcome.INCOMPLETE:
            return
        self._metrics.count(
            "attempts_lost", service=context.service, phase=_lost_phase(attempt)
        )
        self._log_lost_attempt(context, endpoint, attempt)
        if self._quarantine.may_have_ended_engine(attempt):
            # Goes on if the caller leaves meanwhile: the evidence concerns all nodes.
            check = self._start_detached(
                self._check_engine(context, endpoint, attempt, max_connections)
            )
            await asyncio.shield(check)

    async def _check_engine(
        self,
        context: RequestContext,
        endpoint: Endpoint,
        attempt: Attempt,
        max_connections: int,
    ) -> None:
        """Record evidence against a request if the engine that it was at has ended."""
        if not await self._engines.has_ended(endpoint, max_connections):
            return
        service, parts = context.service, context.request.shared_parts
        traits: tuple[str, ...] = request_traits(self._fingerprint(context))
        if self._quarantine.is_evidence_against_parts(attempt, context.route.is_stream):
            context.may_have_ended_engine = True
            traits = (*parts, *traits)
        self._log.info(
            "engine ended under a request",
            endpoint=endpoint.id,
            born=endpoint.born,
            data_centre=endpoint.data_centre,
            request=context.request.request_id,
            service=service,
            traits=traits[-MAX_LOGGED_PARTS:],
        )
        engine = f"{endpoint.id}@{endpoint.born}"
        now, data_centre = self._clock.now(), endpoint.data_centre
        self._quarantine.on_engine_ended(
            service, traits, engine, attempt.sent_at, now, data_centre
        )

    def _start_detached(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work that goes on when its request has ended."""
        task = asyncio.create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return task

    def _log_lost_attempt(
        self, context: RequestContext, endpoint: Endpoint, attempt: Attempt
    ) -> None:
        """Log what tells whether a request ended its engine or was beside another."""
        request = context.request
        digests = self._fingerprint(context)
        self._log.info(
            "attempt lost",
            endpoint=endpoint.id,
            born=endpoint.born,
            request=request.request_id,
            service=context.service,
            customer=context.customer,
            path=request.path,
            content=digests.content,
            exact=digests.exact,
            shared_parts=request.shared_parts[:MAX_LOGGED_PARTS],
            reason=context.detail,
            closed_by_endpoint=attempt.is_closed_by_endpoint,
            phase=_lost_phase(attempt),
            seconds=round(self._clock.now() - attempt.sent_at, 3),
            others_in_flight=self._balancer.load(endpoint),
        )

    async def _find_endpoint(
        self, context: RequestContext, config: GatewayConfig
    ) -> Reservation | None:
        """Reserve an endpoint, after queueing if the wait is short enough."""
        admission_request = self._admission_request(context)
        now = self._clock.now()
        decision = self._admission.decide(admission_request, now)
        if isinstance(decision, Enqueued) and context.silent is not None:
            # Its endpoint may go on meanwhile.
            self._admission.remove(admission_request)
            return None
        if isinstance(decision, Enqueued):
            decision_future = asyncio.get_running_loop().create_future()
            self._waiting[admission_request] = WaitingRequest(context, decision_future)
            try:
                self._on_load_change()
                decision = await decision_future
            except asyncio.CancelledError:
                if decision_future.done() and isinstance(
                    admitted := decision_future.result(), Admitted
                ):
                    admitted.reservation.release()
                raise
            finally:
                del self._waiting[admission_request]
                self._admission.remove(admission_request)
            context.waited += self._clock.now() - now
        if isinstance(decision, Admitted):
            return decision.reservation
        if self._is_withheld(context) or not self._can_end(context):
            return None
        context.retry_after = decision.retry_after
        context.detail = "no room in time"
        if not self._has_untried_endpoint(context):
            context.detail = "no untried endpoint"
        elif self._pause(admission_request, self._clock.now()) > 0:
            context.detail = "all endpoints pause"
        elif self._limit_wait(admission_request, 1) > 0:
            context.detail = "limits of endpoints leave no room in time"
        return None

    def _pause(self, admission_request: AdmissionRequest, now: float) -> float:
        available_at = self._balancer.available_at(
            admission_request.service, admission_request.tried_endpoints, now
        )
        return 0.0 if available_at is None else available_at - now

    def _limit_wait(self, admission_request: AdmissionRequest, position: int) -> float:
        return self._limits.wait_of_service(
            admission_request.service,
            admission_request.tried_endpoints,
            position,
            self._clock.now(),
        )

    def _admission_request(self, context: RequestContext) -> AdmissionRequest:
        route, delivery = context.route, context.delivery
        arrived_at = context.request.arrived_at
        now = self._clock.now()
        caller_timeout = route.target_latency * CALLER_TIMEOUT_LATENCIES
        if route.is_stream:
            caller_timeout = self._caller_timeout(route)
        remaining = max(0.0, delivery.deadline - now)
        time_to_first_event = FIRST_EVENT_PASSES * self._pass_time(context.service)
        return AdmissionRequest(
            context.service,
            context.customer or "",
            context.priority,
            arrived_at,
            arrived_at + route.target_latency - time_to_first_event,
            now + MAX_QUEUE_SHARE * min(caller_timeout, remaining),
            delivery.tried_endpoints,
            context.prompt,
        )

    def cut_off(self) -> None:
        """End the requests in progress, since the process is about to be killed.

        Their callers get a final response, unless a part of an endpoint's was sent.
        """
        self._is_cut_off = True
        for task in self._serving:
            task.cancel()

    def dispatch(self) -> None:
        """Admit queued requests to free slots, and reject those that have expired."""
        if not self._waiting:
            return
        if self.shutdown is not None:
            self._reject_waiting(lambda context: not self._can_end(context))
        if self._quarantine.quarantines:
            self._reject_waiting(self._is_withheld)
        for admission_request, decision in self._admission.dispatch(self._clock.now()):
            waiting = self._waiting.get(admission_request)
            if waiting is not None and not waiting.decision.done():
                waiting.decision.set_result(decision)
            elif isinstance(decision, Admitted):
                # The request was cancelled in this iteration of the event loop.
                decision.reservation.release()

    def _reject_waiting(self, must_reject: Callable[[RequestContext], bool]) -> None:
        """Reject the queued requests that must not be sent any more.

        :param must_reject: sets the Retry-After of such a request.
        """
        for admission_request, waiting in self._waiting.items():
            if not waiting.decision.done() and must_reject(waiting.context):
                self._admission.remove(admission_request)
                retry_after = waiting.context.retry_after or 0.0
                waiting.decision.set_result(Rejected(retry_after))

    def on_evacuation(self) -> None:
        """Dispatch the queues after a change of the evacuated data centres.

        Queued requests that have no endpoint left are rejected.
        """
        for admission_request, waiting in self._waiting.items():
            is_decided = waiting.decision.done()
            if not is_decided and not self._has_untried_endpoint(waiting.context):
                self._admission.remove(admission_request)
                waiting.decision.set_result(Rejected(UNAVAILABLE_RETRY_AFTER))
        self.dispatch()

    async def poll_queue(self) -> None:
        """Dispatch the queues and check the counts periodically until cancelled."""
        next_check_at = self._clock.now() + COUNT_CHECK_INTERVAL
        while True:
            await asyncio.sleep(QUEUE_POLL_INTERVAL)
            self.dispatch()
            if self._clock.now() >= next_check_at:
                next_check_at = self._clock.now() + COUNT_CHECK_INTERVAL
                self._reservations.check(self._monitor)
                self._admission.check_owners(self._waiting)

    def _reserve_endpoint(
        self, admission_request: AdmissionRequest, now: float
    ) -> Reservation | None:
        endpoint = self._choose_endpoint(admission_request, now)
        if endpoint is None:
            return None
        # Counted here, so that the next admission decision includes it.
        self._limits.on_sent(endpoint, now)
        return self._reservations.acquire(
            endpoint,
            admission_request.service,
            admission_request.customer,
            admission_request.prompt,
        )

    def _choose_endpoint(
        self, admission_request: AdmissionRequest, now: float
    ) -> Endpoint | None:
        """Return the endpoint for a request, or ``None`` if none has capacity."""
        config = self._config()
        service = config.services.get(admission_request.service) if config else None
        reserve = (
            ON_TIME_RESERVED_SLOTS if now >= admission_request.on_time_until else 0
        )

        # Called for each endpoint, so without max(), which doubles its cost.
        def limit(endpoint: Endpoint) -> int:
            return endpoint.slots - reserve if endpoint.slots > reserve else 1

        def limit_without_model(endpoint: Endpoint) -> int:
            return MAX_REQUESTS_PER_SLOT_WITHOUT_MODEL * endpoint.slots

        has_model = service is not None and service.model is not None
        return self._balancer.choose(
            admission_request.service,
            admission_request.tried_endpoints,
            now,
            limit if has_model else limit_without_model,
            self._prompt_placement(admission_request.service, admission_request.prompt),
        )

    def _prompt_placement(
        self, service: str, prompt: Prompt | None
    ) -> PromptPlacement | None:
        """Return how to compare engines by prompts; ``None`` to compare their loads."""
        config = self._config()
        if config is None or prompt is None or not prompt.tokens:
            return None
        found = config.services.get(service)
        if found is None or found.model is None:
            return None
        return PromptPlacement.of(found.model, config.shortest_gap(service), prompt)

    def _scarcity(self, service: str) -> Scarcity:
        now = self._clock.now()
        free, slots = self._balancer.free_slots(
            service, self._admission.duration(service), now
        )
        if not is_scarce(free, slots):
            return NOT_SCARCE
        queued = self._peers.queued(service, now)
        queued.update(self._admission.queued.get(service, {}))
        return scarcity_of(self._balancer.customers(service), queued)

    def _pass_time(self, service: str) -> float:
        config = self._config()
        service_config = config.services.get(service) if config else None
        if service_config is None or service_config.model is None:
            return 0.0
        return PassModel(service_config.model).balanced_pass_time(1)

    async def _attempt(
        self,
        context: RequestContext,
        reservation: Reservation,
        attempt: Attempt,
        max_connections: int,
    ) -> AttemptOutcome:
        """Send the request to a reserved endpoint and forward its response.

        Releases the reservation at the end.
        """
        balancer, endpoint = self._balancer, reservation.endpoint
        balancer.check_send(
            endpoint, self._clock.now(), self._settings.bounds.drain, self._monitor
        )
        self._monitor.check(
            Invariant.QUARANTINED_REQUEST_SPARED,
            self._quarantine.withheld_until(
                context.service,
                self._traits(context),
                self._clock.now(),
                context.trial,
            )
            is None,
            f"request {context.request.request_id} sent though it is withheld",
        )
        self._on_load_change()
        engine_call: EngineCall | None = None
        has_outcome = False
        outcome: AttemptOutcome | None = None
        try:
            engine_call = await self._engines.send(
                endpoint,
                context.request,
                context.customer,
                context.last_event_id,
                context.delivery.deadline,
                max_connections,
            )
            outcome = await self._receive(context, reservation, engine_call)
            has_outcome = True
            self._record_health(endpoint.id, outcome)
            return outcome
        except EngineUnreachable as error:
            context.detail = str(error)
            balancer.on_failure(endpoint.id, self._clock.now(), is_certain=True)
            self._limits.on_unreachable(endpoint, self._clock.now())
            has_outcome = True
            return AttemptOutcome.NOT_SENT
        finally:
            if engine_call is not None:
                self._note_unread(context, attempt, outcome)
                if context.silent is None or context.silent.call is not engine_call:
                    self._release_call(
                        context, endpoint, engine_call, has_outcome, max_connections
                    )
                seconds = self._clock.now() - attempt.sent_at
                self._admission.on_duration(context.service, seconds)
            context.last_event_at = None
            reservation.release()
            self._on_load_change()
            self.dispatch()

    def _note_unread(
        self,
        context: RequestContext,
        attempt: Attempt,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Note a retry that its endpoint may read after it was given up.

        :param outcome: ``None`` if the caller left.
        """
        is_given_up = outcome in (None, AttemptOutcome.INCOMPLETE)
        is_silent = attempt.first_byte_at is None and not attempt.is_closed_by_endpoint
        if is_given_up and is_silent and context.delivery.is_repeat:
            budget = self._retry_budget(context.service)
            budget.on_given_up(attempt.endpoint, attempt.sent_at)

    def _release_call(
        self,
        context: RequestContext,
        endpoint: Endpoint,
        engine_call: EngineCall,
        has_outcome: bool,
        max_connections: int,
    ) -> None:
        """Free the connection of an attempt.

        A request that must not be retried and is not a stream runs to its end at the
        endpoint even if its caller disconnects; its response is discarded.

        :param has_outcome: whether the attempt has ended.
        """
        if has_outcome or context.route.retry_mode is not RetryMode.NEVER:
            engine_call.release()
            return
        if context.route.is_stream:
            engine_call.release()
            return
        # Its digests stay; no account of the callers' memory has the body any more.
        self._fingerprint(context)
        context.request.body = b""
        self._start_detached(
            self._drain_response(context, endpoint, engine_call, max_connections)
        )

    async def _drain_response(
        self,
        context: RequestContext,
        endpoint: Endpoint,
        engine_call: EngineCall,
        max_connections: int,
    ) -> None:
        """Discard a response, unless it shows that the engine may have ended."""
        event: EngineEvent | None = None
        drained = 0
        remaining = max(0.0, context.delivery.deadline - self._clock.now())
        try:
            async with asyncio.timeout(remaining):
                while not isinstance(event, EngineResponseEnd | EngineResponseFailed):
                    event = await engine_call.receive()
                    if isinstance(event, EngineResponseData):
                        drained += len(event.data)
                    if drained > MAX_DRAINED_BYTES:
                        break
        except TimeoutError:
            self._log.info(
                "caller disconnected and deadline expired; closing connection"
            )
        finally:
            engine_call.release()
        if isinstance(event, EngineResponseFailed):
            attempt = context.delivery.attempts[-1]
            attempt.outcome = AttemptOutcome.INCOMPLETE
            attempt.is_closed_by_endpoint = event.is_closed
            context.detail = event.reason
            await self._on_attempt_ended(context, endpoint, attempt, max_connections)

    async def _receive(
        self,
        context: RequestContext,
        reservation: Reservation,
        engine_call: EngineCall,
        before: SilentCall | None = None,
    ) -> AttemptOutcome:
        """Read one response, or the rest of one whose endpoint was silent before.

        It is incomplete if the endpoint is silent and the request can be moved; a
        stream that has begun is kept meanwhile.
        Without room elsewhere an endpoint in overload is the first to answer. A caller
        that reads slowly has until the deadline: a stream that is left while an event
        is being written can't be resumed after the right one.
        """
        loop = asyncio.get_running_loop()
        response = PartialResponse() if before is None else before.response
        last_progress = -1
        while True:
            if response.progress != last_progress:
                last_progress = response.progress
                progress_at = loop.time()
                idle_until = self._silent_at(context, progress_at)
            # What has arrived counts although the time is over: this process may have
            # stood still while the endpoint wrote.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(idle_until):
                    await wait_for_event(engine_call, context.silent)
            await context.read_silent()
            if context.is_first_resumed:
                context.detail = "the endpoint before goes on"
                return AttemptOutcome.INCOMPLETE
            if not engine_call.has_event:
                # Other endpoints may have shown meanwhile that all are slow.
                idle_until = self._silent_at(context, progress_at)
                if loop.time() < idle_until:
                    continue
                if self._must_leave(context):
                    context.detail = "endpoint is silent"
                    self._keep_silent(context, reservation, engine_call, response)
                    return AttemptOutcome.INCOMPLETE
                remaining = context.delivery.deadline - self._clock.now()
                idle_until = loop.time() + min(remaining, MOVE_CHECK_INTERVAL)
                continue
            if self._must_stop_reading(context, response):
                context.detail = "endpoint goes on writing after the deadline"
                return AttemptOutcome.INCOMPLETE
            event = await engine_call.receive()
            self._on_notice(context, reservation.endpoint, event)
            outcome = await self._process(context, response, engine_call, event)
            if outcome is not None:
                return outcome

    async def _process(
        self,
        context: RequestContext,
        response: PartialResponse,
        engine_call: EngineCall,
        event: EngineEvent,
    ) -> AttemptOutcome | None:
        """Process one event of a response while its caller waits.

        Returns the outcome if the attempt ended.
        """
        remaining = max(0.0, context.delivery.deadline - self._clock.now())
        try:
            async with asyncio.timeout(remaining):
                outcome = await self._on_event(context, response, event)
        except TimeoutError:
            context.detail = "caller does not read its response"
            return AttemptOutcome.INCOMPLETE
        if outcome is not None and isinstance(event, EngineResponseHead | NotExecuted):
            await self._discard_body(engine_call)
        return outcome

    def _must_stop_reading(
        self, context: RequestContext, response: PartialResponse
    ) -> bool:
        """Return whether what has arrived can't have been written in time.

        An endpoint that writes all the time is never seen to be silent.
        """
        now = self._clock.now()
        if now < context.delivery.deadline:
            return False
        if response.late_until is None:
            response.late_until = now + LATE_READ_TIME
        return now >= response.late_until

    def _must_leave(self, context: RequestContext) -> bool:
        """Return whether a request no longer waits for its silent endpoint alone."""
        if self._clock.now() >= context.delivery.deadline:
            return True
        return context.silent is None and self._can_move(context)

    def _keep_silent(
        self,
        context: RequestContext,
        reservation: Reservation,
        engine_call: EngineCall,
        response: PartialResponse,
    ) -> None:
        """Keep a response that has begun, in case its silent endpoint goes on."""
        is_late = self._clock.now() >= context.delivery.deadline
        if context.response.is_started and response.is_stream and not is_late:
            attempt = context.delivery.attempts[-1]
            context.silent = SilentCall(
                attempt, reservation.hand_over(), engine_call, response
            )

    def _can_move(self, context: RequestContext) -> bool:
        """Return whether another endpoint and the budget have room for a repeat."""
        service, now = context.service, self._clock.now()
        if not self._has_retry(service):
            return False
        duration = self._admission.duration(service)
        tried = context.delivery.tried_endpoints
        if not self._balancer.has_open_slot(service, tried, duration, now):
            return False
        # One with an open slot may still be ejected, or reserved for other requests.
        return self._choose_endpoint(self._admission_request(context), now) is not None

    def _on_notice(
        self, context: RequestContext, endpoint: Endpoint, event: EngineEvent
    ) -> None:
        """Note what a response states about its endpoint."""
        match event:
            case EngineResponseHead() | EngineResponseFailed() | NotExecuted():
                notice = event.notice
            case _:
                return
        now = self._clock.now()
        attempt = context.delivery.attempts[-1]
        if event.status is not None:
            attempt.first_byte_at = now
            attempt.status = event.status
            self._count_status(event.status, event.is_signed)
            # A failed connection doesn't show that the endpoint has read anything.
            budget = self._retry_budget(context.service)
            budget.on_heard(endpoint.id, attempt.sent_at, now)
            self._orphans.on_heard(context.service, endpoint.id, now)
        if notice is not NO_NOTICE:
            self._limits.on_response(endpoint, notice.rate_limit, attempt.sent_at, now)
        if notice.is_leaving:
            self._on_leaving(endpoint)
        if notice.pause:
            self._balancer.on_rest(endpoint, notice.pause, now)
            self._log.info(
                "endpoint asked for a pause",
                endpoint=endpoint.id,
                seconds=round(notice.pause, 3),
            )

    def _count_status(self, status: int, is_signed: bool) -> None:
        if status not in SUCCESSES:
            signed = "yes" if is_signed else "no"
            self._metrics.count("endpoint_statuses", status=str(status), signed=signed)

    async def _on_event(
        self, context: RequestContext, response: PartialResponse, event: EngineEvent
    ) -> AttemptOutcome | None:
        """Process one event of a response; return the outcome if the attempt ended."""
        match event:
            case EngineResponseHead() if not context.response.can_forward(event):
                context.detail = (
                    f"endpoint answered {event.status} without confirming that it "
                    "has not run the request"
                )
                return AttemptOutcome.FAILED
            case EngineResponseHead():
                response.head = event
                response.progress += 1
            case EngineResponseData(data=data) if response.head is not None:
                if not response.is_stream:
                    return self._hold(context, response, data)
                return await self._on_stream_data(context, response, data)
            case EngineResponseEnd() if response.head is not None:
                attempt = context.delivery.attempts[-1]
                attempt.is_closed_by_endpoint = event.is_at_close
                return self._complete(context, response.head, response)
            case EngineResponseFailed(reason=reason):
                context.detail = reason
                context.delivery.attempts[-1].is_closed_by_endpoint = event.is_closed
                return AttemptOutcome.INCOMPLETE
            case NotExecuted():
                context.detail = f"endpoint answered {event.status}"
                if event.is_misdirected:
                    return AttemptOutcome.MISDIRECTED
                return (
                    AttemptOutcome.BROKEN_GROUP
                    if event.is_group_broken
                    else AttemptOutcome.REJECTED
                )
        return None

    async def _on_stream_data(
        self, context: RequestContext, response: PartialResponse, data: bytes
    ) -> AttemptOutcome | None:
        """Forward the events that data completes; return the outcome if it ended.

        Others run in between, since a block may consist of very many events. Such
        streams take turns.
        """
        assert response.head is not None
        events: list[StreamEvent] = []
        for start in range(0, len(data), STREAM_SLICE_BYTES):
            if len(events) > MAX_EVENTS_PER_SLICE:
                await self._stream_pacer.turn()
            elif start:
                await asyncio.sleep(0)
            events = response.splitter.feed(data[start : start + STREAM_SLICE_BYTES])
            if response.splitter.is_event_too_long:
                context.detail = "event of the stream is too long"
                return AttemptOutcome.INCOMPLETE
            response.progress += self._note_events(context, events)
            if not await self._forward_events(context, response.head, events):
                return AttemptOutcome.INCOMPLETE
        return None

    def _hold(
        self, context: RequestContext, response: PartialResponse, data: bytes
    ) -> AttemptOutcome | None:
        """Keep a part of a response that is not a stream, if there is memory for it."""
        if not self._response_memory.reserve(len(data)):
            context.detail = "no memory for the response"
            return AttemptOutcome.INCOMPLETE
        context.held_bytes += len(data)
        response.body += data
        response.progress += 1
        return None

    async def _discard_body(self, engine_call: EngineCall) -> None:
        """Read a body that is not forwarded, so that the connection can be reused.

        A body that is long or slow is left, and the connection is closed.
        """
        discarded = 0
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT):
                while discarded <= MAX_DISCARDED_BYTES:
                    event = await engine_call.receive()
                    if not isinstance(event, EngineResponseData):
                        return
                    discarded += len(event.data)
        except TimeoutError:
            return

    def _silent_at(self, context: RequestContext, progress_at: float) -> float:
        """Return when the endpoint counts as silent if it sends nothing more.

        :param progress_at: when it last brought the response forward. Both times are
            those of the event loop.
        """
        route, delivery = context.route, context.delivery
        now = self._clock.now()
        remaining = max(0.0, delivery.deadline - now)
        deadline = asyncio.get_running_loop().time() + remaining
        is_retryable = route.retry_mode is not RetryMode.NEVER
        if not is_retryable or delivery.sent_attempts >= route.max_attempts:
            return deadline
        if route.is_stream:
            timeout = IDLE_TIMEOUT_SHARE * self._caller_timeout(route)
        else:
            time_limit = delivery.deadline - delivery.attempts[-1].sent_at
            timeout = self._silence.seconds(
                route.name, route.target_latency, time_limit, now
            )
        return min(deadline, progress_at + timeout)

    @staticmethod
    def _caller_timeout(route: Route) -> float:
        """Return the gap in seconds after which callers are assumed to give up."""
        return max(
            MIN_CALLER_TIMEOUT,
            CALLER_TIMEOUT_LATENCIES * route.target_latency,
            CALLER_TIMEOUT_GAPS * route.target_gap,
        )

    async def _forward_events(
        self,
        context: RequestContext,
        head: EngineResponseHead,
        events: list[StreamEvent],
    ) -> bool:
        """Forward events; return false if an event is missing, repeated or foreign.

        Comments are written together with what follows them.
        """
        comments = b""
        for event in events:
            if event.is_comment and event.id is None:
                comments += event.data
                continue
            last = context.last_event_id
            if event.id is None and last is not None:
                # Such as the text of an error in answer to a resumed stream.
                context.detail = f"event without an id after {last}"
                return False
            if event.id is not None and last is not None and event.id != last + 1:
                if event.id <= last:
                    context.detail = f"event {event.id} repeated after {last}"
                else:
                    context.detail = f"events missing: event {event.id} after {last}"
                return False
            context.delivery.attempts[-1].events += not event.is_comment
            await self._write_events(context, head, comments + event.data)
            comments = b""
            if event.id is not None:
                context.last_event_id = event.id
        if comments:
            await self._write_events(context, head, comments)
        if any(not event.is_comment for event in events):
            self._record_gap(context)
        attempt = context.delivery.attempts[-1]
        if attempt.events >= MIN_EVENTS_WRITTEN > attempt.events - len(events):
            self._on_written(context)
        return True

    async def _write_events(
        self, context: RequestContext, head: EngineResponseHead, data: bytes
    ) -> None:
        """Send events to the caller, after the head of the response."""
        if not context.response.is_started:
            self._observe_first_byte(context)
            context.response.start(head)
        await context.response.write(data)

    def _note_events(self, context: RequestContext, events: list[StreamEvent]) -> bool:
        """Note that the prompt was read; return whether there are events.

        Called before events are forwarded, which takes long if the caller is slow.
        """
        if all(event.is_comment for event in events):
            return False
        context.drop_silent()
        context.prompt.on_first_event()
        attempt, now = context.delivery.attempts[-1], self._clock.now()
        attempt.first_event_at = attempt.first_event_at or now
        attempt.last_event_at = now
        if not context.has_event:
            context.has_event = True
            self._observe_first_event(context)
        return True

    def _observe_first_event(self, context: RequestContext) -> None:
        """Record the time to a request's first event by the size of its prompt."""
        config = self._config()
        service = config.services.get(context.service) if config else None
        if service is None or service.model is None or not context.prompt.tokens:
            return
        size = "long" if is_long(service.model, context.prompt.tokens) else "short"
        seconds = self._clock.now() - context.request.arrived_at
        self._metrics.observe(
            "first_event", seconds, service=context.service, prompt=size
        )

    def _record_gap(self, context: RequestContext) -> None:
        now = self._clock.now()
        previous_at, context.last_event_at = context.last_event_at, now
        if previous_at is None or not context.route.target_gap:
            return
        ratio = (now - previous_at) / context.route.target_gap
        self._gap_ratios.setdefault(context.service, GapRatio()).add(ratio, now)

    def _complete(
        self,
        context: RequestContext,
        head: EngineResponseHead,
        response: PartialResponse,
    ) -> AttemptOutcome:
        """Finish a response that was received in full."""
        body = bytes(response.body)
        if response.is_stream:
            if response.splitter.pending:
                context.detail = "stream ended inside an event"
                return AttemptOutcome.INCOMPLETE
            is_at_close = context.delivery.attempts[-1].is_closed_by_endpoint
            if is_at_close and context.last_event_id is None:
                context.detail = "stream ended without an event"
                return AttemptOutcome.INCOMPLETE
            if not context.response.is_started:
                context.response.start(head)
            context.response.finish()
            return AttemptOutcome.ANSWERED
        if context.response.is_started:
            context.detail = f"endpoint answered {head.status} to a resumed stream"
            return AttemptOutcome.FAILED
        if head.status in SERVER_ERRORS:
            context.failure = head, body
            context.detail = f"endpoint answered {head.status}"
            return AttemptOutcome.FAILED
        self._observe_first_byte(context)
        context.response.send(head, body)
        return AttemptOutcome.ANSWERED

    def _send_final_response(self, context: RequestContext) -> str:
        """Send the caller its final response; return the outcome for the log."""
        response = context.response
        if response.is_started:
            self._log_cut(context)
            response.abort()
            return "cut"
        if context.failure is not None:
            response.send(*context.failure)
            return "failed_by_endpoint"
        reason = response.final_reason(self._clock.now())
        retry_after = context.retry_after
        if reason is RejectionReason.NOT_RUN and retry_after is None:
            outcomes = {attempt.outcome for attempt in context.delivery.attempts}
            is_full = outcomes == {AttemptOutcome.REJECTED}
            retry_after = FULL_RETRY_AFTER if is_full else UNAVAILABLE_RETRY_AFTER
        response.reject(reason, retry_after)
        return reason.value

    def _log_cut(self, context: RequestContext) -> None:
        """Log what tells why a response ends before it is complete.

        Times are in seconds after the request arrived.
        """
        arrived_at, now = context.request.arrived_at, self._clock.now()
        asked_at = self.shutdown.asked_at if self.shutdown is not None else None

        def after(at: float | None) -> float | None:
            return None if at is None else round(at - arrived_at, 3)

        self._log.info(
            "response cut",
            request=context.request.request_id,
            route=context.route.name,
            reason=context.detail,
            stop_asked=after(asked_at),
            cut=after(now),
            deadline=after(context.delivery.deadline),
            last_event=context.last_event_id,
            unsent_bytes=context.response.unsent_bytes,
            attempts=[
                {
                    "endpoint": attempt.endpoint,
                    "outcome": attempt.outcome.value if attempt.outcome else "open",
                    "sent": after(attempt.sent_at),
                    "head": after(attempt.first_byte_at),
                    "first_event": after(attempt.first_event_at),
                    "last_event": after(attempt.last_event_at),
                    "ended": after(attempt.ended_at),
                    "events": attempt.events,
                }
                for attempt in context.delivery.attempts
            ],
        )

    def _record_health(self, endpoint: str, outcome: AttemptOutcome) -> None:
        now = self._clock.now()
        actions: dict[AttemptOutcome, Callable[[], None]] = {
            AttemptOutcome.ANSWERED: lambda: self._balancer.on_success(endpoint, now),
            AttemptOutcome.FAILED: lambda: self._balancer.on_failure(endpoint, now),
            AttemptOutcome.INCOMPLETE: lambda: self._balancer.on_failure(endpoint, now),
            AttemptOutcome.MISDIRECTED: lambda: self._balancer.on_failure(
                endpoint, now, True
            ),
            # A full endpoint may be healthy or not.
            AttemptOutcome.REJECTED: lambda: None,
            AttemptOutcome.BROKEN_GROUP: lambda: self._balancer.on_broken(
                endpoint, now
            ),
        }
        actions[outcome]()

    def _connection_limit(self, config: GatewayConfig, service: str) -> int:
        """Return how many connections this node may open to an endpoint.

        The connections that the endpoint accepts are divided by one more than the
        number of nodes, so that one share stays free.
        """
        service_config = config.services.get(service)
        if service_config is None:
            return 1
        nodes = self._peers.sharing_count(self._clock.now())
        return max(1, service_config.max_connections // (nodes + 1))

    def _orphans_part(self, service: str, now: float) -> float:
        """Return this node's part of the copies that ended nodes left at endpoints."""
        count = self._orphans.count(service, now)
        return count / self._peers.sharing_count(now) if count else 0.0

    def _budget_part(self, now: float) -> BudgetPart:
        return self._peers.budget_part(now, self._settings.bounds.retry_window)

    def _retry_budget(self, service: str) -> WindowedRetryBudget:
        bounds = self._settings.bounds
        terms = bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        if bounds is not self._budget_bounds:
            self._budget_bounds = bounds
            for budget in self._retry_budgets.values():
                budget.change(*terms)
        if service not in self._retry_budgets:
            self._retry_budgets[service] = WindowedRetryBudget(
                *terms, self._clock.now()
            )
        return self._retry_budgets[service]

    def _reject(
        self,
        request: InboundRequest,
        writer: ResponseWriter,
        reason: RejectionReason,
        retry_after: float | None = None,
        denial: RejectionReason | None = None,
    ) -> None:
        """Reject a request before it has a route and a customer.

        :param denial: what the configuration in force says.
        """
        self._metrics.count("requests", outcome=reason.value, service="")
        self._metrics.count("refusals", reason=reason.value)
        self._log.info(
            "request refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            outcome=reason.value,
            denial=denial.value if denial else None,
            key=key_digest(request.api_key),
            retry_after=retry_after,
            config_version=self._cluster_state.config_version,
            config_age=round(self._cluster_state.config_age(), 3),
        )
        writer.reject(reason, retry_after)

    def _observe_first_byte(self, context: RequestContext) -> None:
        seconds = self._clock.now() - context.request.arrived_at
        self._metrics.observe("first_byte", seconds, service=context.service)

    def _record_outcome(
        self, context: RequestContext, outcome: str, config: GatewayConfig
    ) -> None:
        now = self._clock.now()
        self._metrics.count("requests", outcome=outcome, service=context.service)
        self._log.info(
            "request done",
            request=context.request.request_id,
            route=context.route.name,
            service=context.service,
            customer=context.customer,
            shared_parts=context.request.shared_parts[:MAX_LOGGED_PARTS],
            prompt_tokens=context.request.prompt_tokens,
            outcome=outcome,
            status=context.response.endpoint_status,
            caller_status=context.response.status,
            detail=context.detail,
            waited=round(context.waited, 4),
            retry_after=context.retry_after,
            seconds=round(self._clock.now() - context.request.arrived_at, 4),
            last_event=context.last_event_id,
            config_version=config.version,
            config_age=round(self._cluster_state.config_age(), 3),
            list_age=round(self._list_age(), 3),
            attempts=[
                [
                    attempt.endpoint,
                    attempt.outcome.value if attempt.outcome else "open",
                    attempt.load,
                    round(attempt.sent_at - context.request.arrived_at, 3),
                    round((attempt.first_byte_at or now) - attempt.sent_at, 3),
                    round((attempt.ended_at or now) - attempt.sent_at, 3),
                    attempt.events,
                    attempt.detail,
                    attempt.status,
                ]
                for attempt in context.delivery.attempts
            ],
        )


def _authorize(
    request: InboundRequest, config: GatewayConfig
) -> Grant | RejectionReason:
    """Return what a configuration allows a request, or why it denies it."""
    route = config.find_route(request.host, request.path)
    if route is None:
        return RejectionReason.NO_ROUTE
    if not config.requires_api_key or route.is_public:
        return Grant(route, None)
    customer = config.customers.get(request.api_key or "")
    return RejectionReason.NO_KEY if customer is None else Grant(route, customer)


def _lost_phase(attempt: Attempt) -> str:
    """Return how far the response had come when an attempt was lost, for metrics."""
    if attempt.first_byte_at is None:
        return "no_head"
    return "streaming" if attempt.events else "no_event"
