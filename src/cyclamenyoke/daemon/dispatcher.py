"""The tasks of an entry that forward requests from callers to agents.

Each request has one task that owns its :class:`RequestCore` and processes events from
its own mailbox. The dispatcher routes each message of an agent to the request whose
attempt it names.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.invariants import InvariantMonitor
from cyclamenyoke.core.messages import (
    AttemptId,
    Call,
    Draining,
    Execute,
    FromAgent,
    Load,
    LoadReport,
    ToAgent,
)
from cyclamenyoke.core.request import RequestCore
from cyclamenyoke.core.request_state import (
    AttemptIdAllocator,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    Effect,
    RejectRequest,
    Send,
)
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import MAX_MISSED_REPORTS, Router
from cyclamenyoke.daemon.links import LinkListener
from cyclamenyoke.ports.clock import Clock


class ResponseSink(ABC):
    """Sends the response of one request to its caller."""

    @abstractmethod
    async def head(self, effect: DeliverHead) -> None:
        """Start the response."""

    @abstractmethod
    async def part(self, data: bytes) -> None:
        """Send a part of the response."""

    @abstractmethod
    async def end(self) -> None:
        """End a complete response."""

    @abstractmethod
    async def reject(self, effect: RejectRequest) -> None:
        """Reject the request, or mark its response as failed if it has started."""


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to an agent was lost."""

    agent: str


@dataclass(frozen=True, slots=True)
class LinkUp:
    """The link to an agent was established."""

    agent: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has disconnected."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of the request has expired, so a deadline may have passed."""


MAX_MAILBOX_EVENTS = 4096
"""Events that may be queued for a slow caller before its request is cancelled."""

Mailbox = asyncio.Queue[object]


class Dispatcher(LinkListener):
    """Routes messages between requests and links; owns the state that both share.

    :param attempt_ids: allocates the ids of this entry's attempts.
    """

    def __init__(
        self,
        router: Router,
        attempt_ids: AttemptIdAllocator,
        budget: RetryBudget,
        monitor: InvariantMonitor,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._attempt_ids = attempt_ids
        self._budget = budget
        self._monitor = monitor
        self._clock = clock
        self._metrics = metrics
        self._mailboxes: dict[AttemptId, Mailbox] = {}
        self._requests: dict[Mailbox, asyncio.Task[None]] = {}
        self._send: Callable[[str, ToAgent], None] = lambda agent, message: None

    @property
    def active(self) -> int:
        """Number of requests without a final response."""
        return len(self._requests)

    def connect(self, send: Callable[[str, ToAgent], None]) -> None:
        """Set the function that sends a message to an agent."""
        self._send = send

    def on_link_up(
        self, agent: str, incarnation: str, is_draining: bool, load: Load
    ) -> None:
        self._router.on_link_up(agent, incarnation, is_draining, load)
        self._notify_requests(LinkUp(agent, incarnation))

    def on_link_down(self, agent: str) -> None:
        self._router.on_link_down(agent)
        self._notify_requests(LinkDown(agent))

    def on_messages(self, agent: str, messages: list[FromAgent]) -> None:
        for message in messages:
            if isinstance(message, Draining):
                self._router.on_draining(agent)
                continue
            if isinstance(message, LoadReport):
                self._router.on_load_report(agent, message.load)
                unresponsive_from = (
                    self._clock.now() + MAX_MISSED_REPORTS * message.next_report_in
                )
                self._router.on_heartbeat(agent, unresponsive_from)
                continue
            mailbox = self._mailboxes.get(message.attempt)  # type: ignore[union-attr]
            if mailbox is not None:
                mailbox.put_nowait(message)
                if mailbox.qsize() > MAX_MAILBOX_EVENTS:
                    self._requests[mailbox].cancel()

    async def dispatch(
        self, call: Call, streaming: bool, sink: ResponseSink, mailbox: Mailbox
    ) -> RequestCore:
        """Run one request until its final response.

        :param mailbox: the request's events; the caller of this method puts
            :class:`CallerDisconnected` there.
        :returns: the request, in its final state.
        """
        core = RequestCore(
            call,
            streaming,
            self._router,
            self._attempt_ids,
            self._budget,
            self._monitor,
        )
        task = _RequestTask(core, mailbox, sink, self._clock, self._register_and_send)
        running = asyncio.create_task(task.run())
        self._requests[mailbox] = running
        try:
            await running
        except asyncio.CancelledError:
            if not running.cancelled():
                raise
            self._metrics.count("callers_too_slow")
        finally:
            running.cancel()
            del self._requests[mailbox]
            for effect in core.on_caller_disconnected(self._clock.now()):
                if isinstance(effect, Send):
                    self._send(effect.agent, effect.message)
            for attempt_id in core.attempts:
                self._mailboxes.pop(attempt_id, None)
        self._metrics.count("requests", service=call.service, state=core.state.value)
        return core

    def _register_and_send(self, mailbox: Mailbox, effect: Send) -> None:
        if isinstance(effect.message, Execute):
            self._mailboxes[effect.message.attempt] = mailbox
            self._metrics.count("attempts", agent=effect.agent)
        self._send(effect.agent, effect.message)

    def _notify_requests(self, event: LinkUp | LinkDown) -> None:
        for mailbox in self._requests:
            mailbox.put_nowait(event)


class _RequestTask:
    """Runs one :class:`RequestCore` until its caller has the final response."""

    def __init__(
        self,
        core: RequestCore,
        mailbox: Mailbox,
        sink: ResponseSink,
        clock: Clock,
        send: Callable[[Mailbox, Send], None],
    ) -> None:
        self._core = core
        self._mailbox = mailbox
        self._sink = sink
        self._clock = clock
        self._send = send
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    async def run(self) -> None:
        await self._perform(self._core.start(self._clock.now()))
        try:
            while not self._core.is_final:
                self._arm_timer()
                event = await self._mailbox.get()
                await self._perform(self._handle_event(event, self._clock.now()))
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _handle_event(self, event: object, now: float) -> list[Effect]:
        if isinstance(event, LinkDown):
            return self._core.on_link_down(event.agent, now)
        if isinstance(event, LinkUp):
            return self._core.on_link_up(event.agent, event.incarnation, now)
        if isinstance(event, TimerFired):
            return self._core.on_timer(now)
        if isinstance(event, CallerDisconnected):
            return self._core.on_caller_disconnected(now)
        return self._core.on_message(event, now)  # type: ignore[arg-type]

    def _arm_timer(self) -> None:
        if self._timer_at == self._core.timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = self._core.timer_at
        delay = max(0.0, self._timer_at - self._clock.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._mailbox.put_nowait(TimerFired())

    async def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, DeliverChunk):
                await self._sink.part(effect.data)
            elif isinstance(effect, Send):
                self._send(self._mailbox, effect)
            elif isinstance(effect, DeliverHead):
                await self._sink.head(effect)
            elif isinstance(effect, DeliverEnd):
                await self._sink.end()
            else:
                await self._sink.reject(effect)
