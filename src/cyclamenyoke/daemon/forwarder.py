"""The course of one request: route, endpoint, attempts, answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cyclamenyoke.adapters.event_stream import EventSplitter, StreamEvent
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.calls import InboundCall, Refusal
from cyclamenyoke.core.delivery import Attempt, Delivery, End, Verdict
from cyclamenyoke.core.deployment import Bounds
from cyclamenyoke.core.fleet import Endpoint
from cyclamenyoke.core.invariants import InvariantMonitor
from cyclamenyoke.core.peers import Peers
from cyclamenyoke.core.retry import WindowedRetryBudget
from cyclamenyoke.core.routes import Customer, GatewayConfig, Repeat, Route
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.ports.caller import Reply
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerLost,
    EngineClient,
    EngineEvent,
    EngineUnreachable,
    Exchange,
    NotRun,
)

CALLER_PATIENCE = 2 * SECOND
"""Gap after which callers give up a stream, at least."""

PATIENCE_TARGETS = 4
"""Target latencies that callers wait for a stream, if that is longer."""

PATIENCE_GAPS = 8
"""Target gaps that callers wait for a stream, if that is longer."""

SILENCE_SHARE = 0.5
"""Part of the callers' patience after which a silent engine is given up for another
one: the other half is the other engine's."""

SAFE_SILENCE_TARGETS = 2.5
"""Target latencies after which a silent endpoint is given up, for a request that may
be repeated."""

UNAVAILABLE_RETRY = 300 * MILLISECOND
"""Retry-After in seconds where no endpoint is known to work; the time in which the
list of endpoints may change."""

FULL_RETRY = 150 * MILLISECOND
"""Retry-After in seconds where endpoints turned the request away as full."""

START_RETRY = 500 * MILLISECOND
"""Retry-After in seconds while this node knows no configuration."""

SERVER_ERRORS = range(500, 600)

VERDICTS = {
    Verdict.NOT_RUN: Refusal.NOT_RUN,
    Verdict.UNKNOWN: Refusal.UNKNOWN,
    Verdict.TIMED_OUT: Refusal.TIMED_OUT,
}


@dataclass(slots=True)
class Course:
    """One request under way.

    :param last_event_id: the last event that went to the caller.
    :param failure: an endpoint's own failure, to pass on if nothing better comes.
    """

    call: InboundCall
    reply: Reply
    route: Route
    service: str
    customer: str | None
    delivery: Delivery
    last_event_id: int | None
    failure: tuple[AnswerHead, bytes] | None = None
    is_head_sent: bool = False
    detail: str = ""


@dataclass(slots=True)
class Incoming:
    """One endpoint's answer as far as it has come."""

    head: AnswerHead | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    body: bytearray = field(default_factory=bytearray)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is passed on event by event."""
        head = self.head
        return head is not None and head.is_event_stream and head.is_success


class Forwarder:
    """Carries requests to endpoints and answers back.

    :param config: returns the configuration in force.
    :param on_load: called when the number of requests under way has changed.
    """

    def __init__(
        self,
        engines: EngineClient,
        balancer: Balancer,
        peers: Peers,
        bounds: Bounds,
        config: Callable[[], GatewayConfig | None],
        list_age: Callable[[], float],
        on_load: Callable[[], None],
        clock: Clock,
        random: Random,
        monitor: InvariantMonitor,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._engines = engines
        self._balancer = balancer
        self._peers = peers
        self._bounds = bounds
        self._config = config
        self._list_age = list_age
        self._on_load = on_load
        self._clock = clock
        self._random = random
        self._monitor = monitor
        self._metrics = metrics
        self._log = log
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._detached: set[asyncio.Task[None]] = set()

    async def serve(self, call: InboundCall, reply: Reply) -> None:
        """Answer one request."""
        config = self._config()
        if config is None:
            self._refuse(call, reply, Refusal.NO_CONFIG, START_RETRY)
            return
        route = config.find_route(call.host, call.path)
        if route is None:
            self._refuse(call, reply, Refusal.NO_ROUTE, version=config.version)
            return
        customer: Customer | None = None
        if config.needs_key and not route.is_public:
            customer = config.customers.get(call.api_key or "")
            if customer is None:
                self._refuse(call, reply, Refusal.NO_KEY, version=config.version)
                return
        await self._deliver(call, reply, route, customer, config)

    async def _deliver(
        self,
        call: InboundCall,
        reply: Reply,
        route: Route,
        customer: Customer | None,
        config: GatewayConfig,
    ) -> None:
        deadline = call.arrived_at + route.timeout
        if call.deadline is not None:
            deadline = min(deadline, call.deadline)
        delivery = Delivery(
            call.request_id, route.repeat, route.max_attempts, deadline, self._monitor
        )
        service = route.pick_service(self._random)
        name = customer.name if customer else None
        course = Course(call, reply, route, service, name, delivery, call.last_event_id)
        self._budget(service).on_first_try(self._clock.now())
        outcome = "caller_gone"
        try:
            outcome = await self._try_endpoints(course, config)
        finally:
            self._report(course, outcome, config)

    async def _try_endpoints(self, course: Course, config: GatewayConfig) -> str:
        """Make attempts until one ends the request; return the outcome."""
        delivery = course.delivery
        most = self._most_connections(config, course.service)
        while delivery.may_send:
            now = self._clock.now()
            if now >= delivery.deadline:
                break
            if delivery.sent and not self._budget(course.service).take(
                now, self._peers.count(now)
            ):
                course.detail = "retry budget is spent"
                break
            endpoint = self._balancer.choose(course.service, delivery.tried, now)
            if endpoint is None:
                course.detail = course.detail or "no endpoint left"
                break
            attempt = delivery.begin(endpoint.id, now)
            attempt.end = await self._attempt(course, endpoint, attempt, most)
            if attempt.end is End.ANSWERED:
                return "answered"
        return self._give_up(course)

    async def _attempt(
        self, course: Course, endpoint: Endpoint, attempt: Attempt, most: int
    ) -> End:
        """Send the request to one endpoint and pass its answer on."""
        balancer = self._balancer
        balancer.on_sent(endpoint.id)
        self._on_load()
        exchange: Exchange | None = None
        is_settled = False
        try:
            exchange = await self._engines.send(
                endpoint,
                course.call,
                course.customer,
                course.last_event_id,
                course.delivery.deadline,
                most,
            )
            end = await self._receive(course, exchange)
            is_settled = True
            self._note_health(endpoint.id, end)
            return end
        except EngineUnreachable as error:
            course.detail = str(error)
            balancer.on_failure(endpoint.id, self._clock.now(), is_certain=True)
            is_settled = True
            return End.NOT_SENT
        finally:
            if not is_settled:
                balancer.on_nothing(endpoint.id)
            if exchange is not None:
                self._release(course, exchange, is_settled)
            balancer.on_done(endpoint.id)
            self._on_load()

    def _release(self, course: Course, exchange: Exchange, is_settled: bool) -> None:
        """Free the connection of an attempt.

        Work that may not be repeated is left to end in peace when its caller goes.
        """
        if is_settled or course.route.repeat is not Repeat.NEVER:
            exchange.finish()
            return
        if course.route.is_stream:
            exchange.finish()
            return
        task = asyncio.create_task(self._drain(exchange, course.delivery.deadline))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)

    async def _drain(self, exchange: Exchange, deadline: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                while not isinstance(await exchange.receive(), AnswerEnd | AnswerLost):
                    pass
        except TimeoutError:
            self._log.info("an unfinished request was left to its endpoint")
        finally:
            exchange.finish()

    async def _receive(self, course: Course, exchange: Exchange) -> End:
        """Read one answer; a silence that is too long counts as lost."""
        loop = asyncio.get_running_loop()
        answer = Incoming()
        try:
            async with asyncio.timeout(None) as scope:
                while True:
                    scope.reschedule(loop.time() + self._silence(course))
                    event = await exchange.receive()
                    end = await self._on_event(course, answer, event)
                    if end is End.REJECTED or end is End.MISDIRECTED:
                        await self._skip_rest(exchange)
                    if end is not None:
                        return end
        except TimeoutError:
            course.detail = "endpoint is silent"
            return End.LOST

    async def _on_event(
        self, course: Course, answer: Incoming, event: EngineEvent
    ) -> End | None:
        """Take one event of an answer; return how the attempt ended, if it did."""
        match event:
            case AnswerHead():
                answer.head = event
            case AnswerData(data=data) if answer.head is not None:
                if not answer.is_stream:
                    answer.body += data
                elif not await self._pass_on(
                    course, answer.head, answer.splitter.feed(data)
                ):
                    return End.LOST
            case AnswerEnd() if answer.head is not None:
                return self._end(course, answer.head, answer)
            case AnswerLost(reason=reason):
                course.detail = reason
                return End.LOST
            case NotRun():
                course.detail = f"endpoint answered {event.status}"
                return End.MISDIRECTED if event.is_misdirected else End.REJECTED
        return None

    async def _skip_rest(self, exchange: Exchange) -> None:
        """Read the body of a rejection, so that the connection can be kept."""
        while isinstance(await exchange.receive(), AnswerData):
            pass

    def _silence(self, course: Course) -> float:
        """Return the seconds that the endpoint may stay silent from now on."""
        route = course.route
        left = max(0.0, course.delivery.deadline - self._clock.now())
        may_repeat = route.repeat is not Repeat.NEVER
        if not may_repeat or course.delivery.sent >= route.max_attempts:
            return left
        if not route.is_stream:
            return min(left, SAFE_SILENCE_TARGETS * route.target_latency)
        patience = max(
            CALLER_PATIENCE,
            PATIENCE_TARGETS * route.target_latency,
            PATIENCE_GAPS * route.target_gap,
        )
        return min(left, SILENCE_SHARE * patience)

    async def _pass_on(
        self, course: Course, head: AnswerHead, events: list[StreamEvent]
    ) -> bool:
        """Pass events on; tell whether they follow on what the caller has."""
        for event in events:
            last = course.last_event_id
            if event.id is not None and last is not None and event.id != last + 1:
                if event.id <= last:
                    course.detail = f"event {event.id} came again after {last}"
                else:
                    course.detail = f"event {event.id} came after {last}"
                return False
            if not course.is_head_sent:
                course.is_head_sent = True
                course.delivery.is_begun = True
                self._observe_first(course)
                course.reply.start(head.status, head.headers)
            await course.reply.write(event.data)
            if event.id is not None:
                course.last_event_id = event.id
        return True

    def _end(self, course: Course, head: AnswerHead, answer: Incoming) -> End:
        """Take the end of an answer that came whole."""
        body = bytes(answer.body)
        if answer.is_stream:
            if answer.splitter.pending:
                course.detail = "stream ended inside an event"
                return End.LOST
            if not course.is_head_sent:
                course.is_head_sent = True
                course.reply.start(head.status, head.headers)
            course.reply.finish()
            return End.ANSWERED
        if course.is_head_sent:
            course.detail = f"endpoint answered {head.status} to a resumed stream"
            return End.FAILED
        if head.status in SERVER_ERRORS:
            course.failure = head, body
            course.detail = f"endpoint answered {head.status}"
            return End.FAILED
        self._observe_first(course)
        course.reply.answer(head.status, head.headers, body)
        return End.ANSWERED

    def _give_up(self, course: Course) -> str:
        """Give the caller its final answer at once."""
        delivery, reply = course.delivery, course.reply
        if course.is_head_sent:
            reply.abort()
            return "cut"
        if course.failure is not None:
            head, body = course.failure
            reply.answer(head.status, head.headers, body)
            return "failed_by_endpoint"
        now = self._clock.now()
        refusal = VERDICTS[delivery.verdict(now)]
        retry_after = None
        if refusal is Refusal.NOT_RUN:
            ends = {attempt.end for attempt in delivery.attempts}
            is_full = End.REJECTED in ends
            retry_after = FULL_RETRY if is_full else UNAVAILABLE_RETRY
        reply.refuse(refusal, retry_after)
        return refusal.value

    def _note_health(self, endpoint: str, end: End) -> None:
        now = self._clock.now()
        actions: dict[End, Callable[[], None]] = {
            End.ANSWERED: lambda: self._balancer.on_success(endpoint, now),
            End.FAILED: lambda: self._balancer.on_failure(endpoint, now),
            End.LOST: lambda: self._balancer.on_failure(endpoint, now),
            End.MISDIRECTED: lambda: self._balancer.on_failure(endpoint, now, True),
            End.REJECTED: lambda: self._balancer.on_nothing(endpoint),
        }
        actions[end]()

    def _most_connections(self, config: GatewayConfig, service: str) -> int:
        """Return this node's part of the connections that an endpoint accepts."""
        known = config.services.get(service)
        if known is None:
            return 1
        nodes = self._peers.count(self._clock.now())
        return max(1, known.max_connections // (nodes + 1))

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets[service] = budget
        return budget

    def _refuse(
        self,
        call: InboundCall,
        reply: Reply,
        refusal: Refusal,
        retry_after: float | None = None,
        version: int = 0,
    ) -> None:
        self._metrics.count("requests", outcome=refusal.value, service="")
        self._log.info(
            "request refused",
            request=call.request_id,
            host=call.host,
            path=call.path,
            outcome=refusal.value,
            config_version=version,
        )
        reply.refuse(refusal, retry_after)

    def _observe_first(self, course: Course) -> None:
        seconds = self._clock.now() - course.call.arrived_at
        self._metrics.observe("first_byte", seconds, service=course.service)

    def _report(self, course: Course, outcome: str, config: GatewayConfig) -> None:
        self._metrics.count("requests", outcome=outcome, service=course.service)
        self._log.info(
            "request done",
            request=course.call.request_id,
            route=course.route.name,
            service=course.service,
            customer=course.customer,
            outcome=outcome,
            detail=course.detail,
            seconds=round(self._clock.now() - course.call.arrived_at, 4),
            last_event=course.last_event_id,
            config_version=config.version,
            list_age=round(self._list_age(), 3),
            attempts=[
                [attempt.endpoint, attempt.end.value if attempt.end else "open"]
                for attempt in course.delivery.attempts
            ],
        )
