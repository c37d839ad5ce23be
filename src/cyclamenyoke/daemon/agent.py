"""The agent's daemon, which runs the I/O for :class:`AgentCore`.

One task owns the core and processes events from a queue. Each connection, run and
journal call has a task of its own that puts its events into that queue.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.message_stream import AgentHandshake, MessageStream
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.agent import AgentCore
from cyclamenyoke.core.claims import ReadSlot, WriteSlot
from cyclamenyoke.core.messages import (
    Acknowledge,
    Execute,
    Reason,
    Resume,
    Revoke,
    ToAgent,
    Welcome,
)
from cyclamenyoke.core.runs import Broadcast, CancelCall, Effect, Reply, StartCall
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.exceptions import (
    AuthenticationError,
    PlatformUnavailable,
    ProtocolError,
)
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.endpoint import (
    EndpointClient,
    EndpointError,
    EndpointEvent,
    EndpointResponseHead,
)
from cyclamenyoke.ports.key_value_store import KeyValueStore, RevisionConflict

TICK_INTERVAL = 100 * MILLISECOND
"""Interval in seconds at which the core checks deadlines."""

DRAIN_POLL_INTERVAL = 50 * MILLISECOND
"""Interval in seconds at which a draining agent checks whether it is done."""


@dataclass(frozen=True, slots=True)
class EntryConnected:
    """An entry has connected."""

    entry: str
    stream: MessageStream[ToAgent]
    transcript: bytes


@dataclass(frozen=True, slots=True)
class EntryDisconnected:
    """An entry has disconnected."""

    entry: str
    stream: MessageStream[ToAgent]


@dataclass(frozen=True, slots=True)
class MessagesReceived:
    """Messages were received from an entry."""

    messages: list[ToAgent]


@dataclass(frozen=True, slots=True)
class RunEvent:
    """The endpoint sent a part of a response."""

    run_id: int
    event: EndpointEvent


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The endpoint's response is complete, or the call failed.

    :param error: ``None`` for a complete response.
    """

    run_id: int
    error: EndpointError | None


@dataclass(frozen=True, slots=True)
class SlotRead:
    """A journal slot was read from the platform's store."""

    slot: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class SlotWritten:
    """A journal slot was written to the platform's store."""

    slot: str
    revision: int


@dataclass(frozen=True, slots=True)
class SlotConflict:
    """Another agent wrote a journal slot first."""

    slot: str


@dataclass(frozen=True, slots=True)
class SlotUnconfirmed:
    """A journal call got no response; a write may have been carried out."""

    slot: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer event: deadlines may have passed."""


@dataclass(frozen=True, slots=True)
class Drain:
    """The agent must take no new work and finish the work in progress."""


@dataclass(frozen=True, slots=True)
class AgentConfiguration:
    """The part of a newer configuration that concerns the agent's endpoint.

    :param retention: seconds for which an idempotency key is kept after its issue.
    :param write_rate: limit on journal writes per second.
    :param honours_priorities: whether the endpoint delays calls of low priority, as
        model engines do.
    """

    slots: int
    retention: float
    write_rate: float
    honours_priorities: bool


class AgentDaemon:
    """Runs one agent.

    :param address: ``IP:PORT`` on which entries connect.
    """

    def __init__(
        self,
        core: AgentCore,
        address: str,
        shared_key: bytes,
        endpoint: EndpointClient,
        store: KeyValueStore,
        clock: Clock,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._core = core
        self._address = address
        self._handshake = AgentHandshake(core.agent, core.incarnation, shared_key)
        self._endpoint = endpoint
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._events: asyncio.Queue[object] = asyncio.Queue()
        self._streams: dict[str, MessageStream[ToAgent]] = {}
        self._runs: dict[int, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._event_handlers: dict[type, Callable[..., list[Effect]]] = {
            EntryConnected: self._on_connected,
            EntryDisconnected: self._on_disconnected,
            MessagesReceived: self._on_received,
            RunEvent: self._on_run_event,
            RunEnded: self._on_run_ended,
            SlotRead: self._on_slot_read,
            SlotWritten: self._on_slot_written,
            SlotConflict: self._on_slot_conflict,
            SlotUnconfirmed: self._on_slot_unconfirmed,
            Tick: self._on_tick,
            Drain: self._on_drain,
            AgentConfiguration: self._on_configure,
        }
        self._message_handlers: dict[type, Callable[..., list[Effect]]] = {
            Execute: core.on_execute,
            Revoke: core.on_revoke,
            Resume: core.on_resume,
            Acknowledge: core.on_acknowledge,
        }
        self._effect_handlers: dict[type, Callable[..., None]] = {
            Reply: self._reply,
            Broadcast: self._broadcast,
            StartCall: self._start_call,
            CancelCall: self._cancel_call,
            ReadSlot: self._read_slot,
            WriteSlot: self._write_slot,
        }

    @property
    def core(self) -> AgentCore:
        """The agent's state and decisions."""
        return self._core

    def configure(self, event: AgentConfiguration) -> None:
        """Schedule a new configuration of the endpoint to be applied."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Serve entries until cancelled."""
        host, port = self._address.rsplit(":", 1)
        server = await asyncio.start_server(self._on_connection, host, int(port))
        self._log.info("agent listening", address=self._address)
        async with server, asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick_forever())
            tasks.create_task(self._process_events_forever())

    async def drain(self) -> None:
        """Stop taking new work, and return once everything in progress is done."""
        self._events.put_nowait(Drain())
        await asyncio.sleep(0)
        while not (self._core.is_draining and self._core.is_drained):
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        for stream in self._streams.values():
            stream.flush()

    async def _process_events_forever(self) -> None:
        while True:
            event = await self._events.get()
            for effect in self._event_handlers[type(event)](event):
                self._effect_handlers[type(effect)](effect)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self._events.put_nowait(Tick())

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            stream, entry, transcript = await self._handshake.accept(reader, writer)
        except (OSError, TimeoutError, ProtocolError, AuthenticationError) as error:
            self._metrics.count("connections_refused")
            self._log.warning("connection refused", error=str(error))
            writer.transport.abort()
            return
        self._events.put_nowait(EntryConnected(entry, stream, transcript))
        try:
            while True:
                self._events.put_nowait(MessagesReceived(await stream.receive()))
        except (OSError, ProtocolError) as error:
            self._log.info("entry disconnected", entry=entry, error=str(error))
        finally:
            stream.abort()
            self._events.put_nowait(EntryDisconnected(entry, stream))

    def _on_connected(self, event: EntryConnected) -> list[Effect]:
        previous = self._streams.get(event.entry)
        if previous is not None:
            previous.abort()
        self._streams[event.entry] = event.stream
        welcome = Welcome(b"", self._core.load, self._core.is_draining)
        self._handshake.complete(event.stream, event.transcript, welcome)
        return self._core.on_connected(event.entry)

    def _on_disconnected(self, event: EntryDisconnected) -> list[Effect]:
        if self._streams.get(event.entry) is not event.stream:
            return []
        del self._streams[event.entry]
        return self._core.on_disconnected(event.entry, self._clock.now())

    def _on_received(self, event: MessagesReceived) -> list[Effect]:
        now = self._clock.now()
        effects: list[Effect] = []
        for message in event.messages:
            handler = self._message_handlers.get(type(message))
            if handler is not None:
                effects += handler(message, now)
        return effects

    def _on_run_event(self, event: RunEvent) -> list[Effect]:
        part = event.event
        if isinstance(part, EndpointResponseHead):
            return self._core.on_head(event.run_id, part.status, part.content_type)
        return self._core.on_data(event.run_id, part.data)

    def _on_run_ended(self, event: RunEnded) -> list[Effect]:
        self._runs.pop(event.run_id, None)
        now = self._clock.now()
        if event.error is None:
            self._metrics.count("runs", outcome="finished")
            return self._core.on_finished(event.run_id, now)
        self._metrics.count("runs", outcome="failed")
        self._log.warning("endpoint failed", error=str(event.error))
        may_have_started = event.error.may_have_started
        reason = (
            Reason.ENDPOINT_FAILED if may_have_started else Reason.ENDPOINT_UNREACHABLE
        )
        return self._core.on_failed(event.run_id, may_have_started, reason, now)

    def _on_slot_read(self, event: SlotRead) -> list[Effect]:
        now = self._clock.now()
        return self._core.on_slot_read(event.slot, event.revision, event.value, now)

    def _on_slot_written(self, event: SlotWritten) -> list[Effect]:
        now = self._clock.now()
        return self._core.on_slot_written(event.slot, event.revision, now)

    def _on_slot_conflict(self, event: SlotConflict) -> list[Effect]:
        return self._core.on_slot_conflict(event.slot, self._clock.now())

    def _on_slot_unconfirmed(self, event: SlotUnconfirmed) -> list[Effect]:
        return self._core.on_slot_unconfirmed(event.slot, self._clock.now())

    def _on_tick(self, event: Tick) -> list[Effect]:
        return self._core.tick(self._clock.now())

    def _on_drain(self, event: Drain) -> list[Effect]:
        self._log.info("agent draining")
        return self._core.drain(self._clock.now())

    def _on_configure(self, event: AgentConfiguration) -> list[Effect]:
        return self._core.configure(
            event.slots,
            event.retention,
            event.write_rate,
            event.honours_priorities,
            self._clock.now(),
        )

    def _reply(self, effect: Reply) -> None:
        stream = self._streams.get(effect.entry)
        if stream is not None:
            stream.send(effect.message)

    def _broadcast(self, effect: Broadcast) -> None:
        for stream in self._streams.values():
            stream.send(effect.message)

    def _start_call(self, effect: StartCall) -> None:
        task = asyncio.create_task(self._run_call(effect))
        self._runs[effect.run_id] = task
        self._track(task)

    def _cancel_call(self, effect: CancelCall) -> None:
        task = self._runs.pop(effect.run_id, None)
        if task is not None:
            self._metrics.count("runs", outcome="cancelled")
            task.cancel()

    def _read_slot(self, effect: ReadSlot) -> None:
        self._metrics.count("platform_calls", purpose="journal_read")
        self._track(asyncio.create_task(self._read_journal_slot(effect)))

    def _write_slot(self, effect: WriteSlot) -> None:
        self._metrics.count("platform_calls", purpose="journal_write")
        self._track(asyncio.create_task(self._write_journal_slot(effect)))

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_call(self, effect: StartCall) -> None:
        run_id, call = effect.run_id, effect.call
        error: EndpointError | None = None
        try:
            async for event in self._endpoint.run(call, effect.priority):
                self._events.put_nowait(RunEvent(run_id, event))
        except EndpointError as caught:
            error = caught
        except Exception as caught:
            self._log.exception("run failed", request=call.request_id)
            error = EndpointError(str(caught), may_have_started=True)
        self._events.put_nowait(RunEnded(run_id, error))

    async def _read_journal_slot(self, effect: ReadSlot) -> None:
        try:
            found = await self._store.get(effect.slot)
            self._events.put_nowait(SlotRead(effect.slot, found.revision, found.value))
        except PlatformUnavailable as error:
            self._on_platform_failure(effect.slot, error)

    async def _write_journal_slot(self, effect: WriteSlot) -> None:
        try:
            revision = await self._store.compare_and_swap(
                effect.slot, effect.expected_revision, effect.value
            )
            self._events.put_nowait(SlotWritten(effect.slot, revision))
        except RevisionConflict:
            self._events.put_nowait(SlotConflict(effect.slot))
        except PlatformUnavailable as error:
            self._on_platform_failure(effect.slot, error)

    def _on_platform_failure(self, slot: str, error: PlatformUnavailable) -> None:
        self._metrics.count("platform_failures", purpose="journal")
        self._log.warning("journal call failed", slot=slot, error=str(error))
        self._events.put_nowait(SlotUnconfirmed(slot))
