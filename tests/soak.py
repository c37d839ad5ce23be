"""Randomised simulation of entries, agents and the key-value store.

A discrete-event loop runs the cores that the daemons run, with a simulated clock
and a seeded random source. Faults: delayed and duplicated messages, broken links, on
which messages are lost, paused VMs, crashes and restarts, and a key-value store that
is unavailable or stale, or whose reply to a write is lost while the write is dropped,
applied, or applied later. A violated invariant raises.

Run with ``PYTHONPATH=tests python -m soak --seed 1 --steps 100000``.
"""

import argparse
import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from unittest.mock import patch

from cyclamenyoke.core import journal
from cyclamenyoke.core.agent import AgentCore
from cyclamenyoke.core.claims import ReadSlot, WriteSlot
from cyclamenyoke.core.config import Endpoint
from cyclamenyoke.core.invariants import Invariant, RaisingMonitor
from cyclamenyoke.core.messages import (
    Acknowledge,
    Call,
    Draining,
    Execute,
    FromAgent,
    Load,
    LoadReport,
    Reason,
    Resume,
    Revoke,
    ToAgent,
)
from cyclamenyoke.core.request import RequestCore
from cyclamenyoke.core.request_state import (
    AttemptIdAllocator,
    DeliverChunk,
    DeliverEnd,
    DeliverHead,
    ExecutionStatus,
    RejectRequest,
    Send,
)
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import MAX_MISSED_REPORTS, Router
from cyclamenyoke.core.runs import Broadcast, CancelCall, Reply, StartCall

ENDPOINTS_PER_SERVICE = {"reports": 3, "orders": 3}
ENTRY_COUNT = 3
KEY_RETENTION = 30.0
"""Seconds for which a journal entry is kept after its key was issued."""

MAX_CLOCK_SKEW = 2.0
"""Greatest difference in seconds between a VM's clock and simulated time."""

SLOTS_PER_ENDPOINT = 2
JOURNAL_SLOTS = 16
"""Replaces ``journal.JOURNAL_SLOTS``; with few slots, many keys share one."""

ARRIVAL_RATE = 40.0
"""Requests per simulated second, over all entries."""

TICK_INTERVAL = 0.1
"""Simulated seconds between two ticks of an agent."""

START_TIME = 1_000_000.0


@dataclass(frozen=True, slots=True)
class Faults:
    """Probability of each fault whenever it can occur.

    :param duplicated: per message.
    :param delayed: per message; it then takes up to 20 seconds.
    :param break_link: per link and check; checks come every 0.05 seconds.
    :param kill: per VM and check.
    :param pause: per VM and check.
    :param drain: per agent and check.
    :param outage: of the store, per check.
    :param lost_before_write: per write; neither the write nor its reply happens.
    :param lost_after_write: per write; it is applied, but its reply is lost.
    :param applied_late: per write; its reply is lost and it is applied seconds later.
    :param stale_read: per read; it returns the value before the last write.
    :param endpoint_failure: per call.
    """

    duplicated: float = 0.02
    delayed: float = 0.02
    break_link: float = 0.002
    kill: float = 0.0006
    pause: float = 0.001
    drain: float = 0.0004
    outage: float = 0.0005
    lost_before_write: float = 0.02
    lost_after_write: float = 0.02
    applied_late: float = 0.02
    stale_read: float = 0.01
    endpoint_failure: float = 0.01


NO_FAULTS = Faults(*([0.0] * 12))


@dataclass(slots=True)
class World:
    """The simulated clock, the random source and the event queue."""

    random: Random
    now: float = START_TIME
    queue: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), action))

    def run_next(self) -> None:
        self.now, _, action = heapq.heappop(self.queue)
        action()

    def chance(self, probability: float) -> bool:
        return self.random.random() < probability


class SimulatedStore:
    """The platform's key-value store, with faults."""

    def __init__(self, world: World, faults: Faults) -> None:
        self.world = world
        self.faults = faults
        self.values: dict[str, tuple[int, bytes]] = {}
        self.previous_values: dict[str, tuple[int, bytes | None]] = {}
        self.down_until = 0.0
        self.calls: Counter = Counter()

    def read(self, key: str, on_value: Callable, on_unconfirmed: Callable) -> None:
        self.calls["read"] += 1
        delay = self.world.random.uniform(0.001, 0.005)
        if self._is_down():
            self.world.call_later(self.world.random.uniform(0.01, 1.0), on_unconfirmed)
            return
        # The value is read half-way through the round trip, so it may be outdated
        # when the reply arrives.
        self.world.call_later(
            delay, lambda: self._reply_with_value(key, delay, on_value)
        )

    def write(
        self,
        key: str,
        expected: int,
        value: bytes,
        on_written: Callable,
        on_conflict,
        on_unconfirmed,
    ) -> None:
        self.calls["write"] += 1
        random = self.world.random
        delay = random.uniform(0.001, 0.005)
        roll = random.random()
        faults = self.faults
        if self._is_down() or roll < faults.lost_before_write:
            self.world.call_later(random.uniform(0.01, 1.0), on_unconfirmed)
        elif roll < faults.lost_before_write + faults.lost_after_write:
            self.world.call_later(
                delay, lambda: self.compare_and_swap(key, expected, value)
            )
            self.world.call_later(random.uniform(0.01, 1.0), on_unconfirmed)
        elif (
            roll
            < faults.lost_before_write + faults.lost_after_write + faults.applied_late
        ):
            self.world.call_later(
                random.uniform(0.5, 5.0),
                lambda: self.compare_and_swap(key, expected, value),
            )
            self.world.call_later(random.uniform(0.01, 1.0), on_unconfirmed)
        else:
            self.world.call_later(
                delay,
                lambda: self._swap_and_reply(
                    key, expected, value, delay, on_written, on_conflict
                ),
            )

    def _swap_and_reply(
        self, key, expected, value, delay, on_written, on_conflict
    ) -> None:
        revision = self.compare_and_swap(key, expected, value)
        if revision:
            self.world.call_later(delay, lambda: on_written(revision))
        else:
            self.world.call_later(delay, on_conflict)

    def _reply_with_value(self, key: str, delay: float, on_value: Callable) -> None:
        found = self.read_possibly_stale(key)
        self.world.call_later(delay, lambda: on_value(*found))

    def get(self, key: str) -> tuple[int, bytes | None]:
        return self.values.get(key, (0, None))

    def read_possibly_stale(self, key: str) -> tuple[int, bytes | None]:
        """Return the current value, or at times the one before the last write."""
        if self.world.chance(self.faults.stale_read):
            return self.previous_values.get(key, (0, None))
        return self.get(key)

    def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        revision = self.get(key)[0]
        if revision != expected:
            return 0
        self.previous_values[key] = self.get(key)
        self.values[key] = (revision + 1, value)
        return revision + 1

    def _is_down(self) -> bool:
        return self.world.now < self.down_until


@dataclass(slots=True)
class GroundTruth:
    """What happened in the simulation, recorded independently of the cores.

    :param started: how often each request's call was started, by request id.
    :param started_keys: how often a call was started for each customer and key.
    :param rejected: ids of requests whose caller was told that they were not executed.
    :param outcomes: number of requests by service and outcome.
    :param delivered: parts that the caller of each unfinished request has received, by
        request id.
    """

    started: Counter = field(default_factory=Counter)
    started_keys: Counter = field(default_factory=Counter)
    rejected: set = field(default_factory=set)
    outcomes: Counter = field(default_factory=Counter)
    delivered: dict = field(default_factory=dict)


class Vm:
    """A VM with its own clock; it can be paused."""

    def __init__(self, soak: "Soak") -> None:
        self.soak = soak
        self.paused_until = 0.0
        self.clock_skew = soak.world.random.uniform(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW)

    @property
    def now(self) -> float:
        """The time on this VM's clock."""
        return self.soak.world.now + self.clock_skew


class AgentNode(Vm):
    """One endpoint VM with its agent."""

    def __init__(self, soak: "Soak", name: str, service: str) -> None:
        super().__init__(soak)
        self.name = name
        self.service = service
        self.start_count = 0
        self.alive = False
        self.core: AgentCore
        self.links: set[str] = set()
        # Actions that wait for the end of the VM's pause, with their incarnation.
        self.deferred: deque[tuple[str, Callable[[], list]]] = deque()
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.alive = True
        self.incarnation = f"{self.name}@{self.start_count}"
        self.core = AgentCore(
            self.name,
            self.incarnation,
            SLOTS_PER_ENDPOINT,
            KEY_RETENTION,
            self.soak.monitor,
            self.soak.world.random,
        )
        is_engine = self.service == "reports"
        self.core.configure(
            SLOTS_PER_ENDPOINT, KEY_RETENTION, 50.0, is_engine, self.now
        )
        self.soak.world.call_later(
            TICK_INTERVAL, lambda i=self.incarnation: self.tick(i)
        )
        self.links = set()

    def kill(self) -> None:
        self.alive = False
        for entry in sorted(self.links):
            self.soak.unlink(entry, self.name)
        self.soak.world.call_later(self.soak.world.random.uniform(0.2, 5.0), self.start)

    def run_when_resumed(self, incarnation: str, action: Callable[[], list]) -> None:
        """Run an action of an incarnation, after the VM's pause if it is paused."""
        if not self.alive or self.incarnation != incarnation:
            return
        self.deferred.append((incarnation, action))
        self._run_deferred()

    def _run_deferred(self) -> None:
        """Run the deferred actions in their order, or wait for the end of the pause."""
        world = self.soak.world
        while self.deferred:
            if world.now < self.paused_until:
                remaining = self.paused_until - world.now
                world.call_later(remaining, self._run_deferred)
                return
            incarnation, action = self.deferred.popleft()
            if self.alive and self.incarnation == incarnation:
                self.perform(action())

    def tick(self, incarnation: str) -> None:
        if not self.alive or self.incarnation != incarnation:
            return
        self.run_when_resumed(incarnation, lambda: self.core.tick(self.now))
        if self.core.is_draining and self.core.is_drained:
            self.kill()
            return
        self.soak.world.call_later(TICK_INTERVAL, lambda: self.tick(incarnation))

    def receive(self, entry: str, message: ToAgent) -> None:
        handlers = {
            Execute: lambda: self.core.on_execute(message, self.now),
            Revoke: lambda: self.core.on_revoke(message, self.now),
            Resume: lambda: self.core.on_resume(message, self.now),
            Acknowledge: lambda: self.core.on_acknowledge(message, self.now),
        }
        self.run_when_resumed(self.incarnation, handlers[type(message)])

    def perform(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                self.soak.to_entry(self.name, effect.entry, effect.message)
            elif isinstance(effect, Broadcast):
                for entry in sorted(self.links):
                    self.soak.to_entry(self.name, entry, effect.message)
            elif isinstance(effect, StartCall):
                self.soak.start_call(self, effect)
            elif isinstance(effect, CancelCall):
                self.soak.cancelled.add((self.incarnation, effect.run_id))
            elif isinstance(effect, ReadSlot):
                self._read(effect)
            elif isinstance(effect, WriteSlot):
                self._write(effect)

    def _read(self, effect: ReadSlot) -> None:
        core, slot, incarnation = self.core, effect.slot, self.incarnation
        self.soak.store.read(
            slot,
            lambda revision, value: self.run_when_resumed(
                incarnation, lambda: core.on_slot_read(slot, revision, value, self.now)
            ),
            lambda: self.run_when_resumed(
                incarnation, lambda: core.on_slot_unconfirmed(slot, self.now)
            ),
        )

    def _write(self, effect: WriteSlot) -> None:
        core, slot, incarnation = self.core, effect.slot, self.incarnation
        self.soak.store.write(
            slot,
            effect.expected_revision,
            effect.value,
            lambda revision: self.run_when_resumed(
                incarnation, lambda: core.on_slot_written(slot, revision, self.now)
            ),
            lambda: self.run_when_resumed(
                incarnation, lambda: core.on_slot_conflict(slot, self.now)
            ),
            lambda: self.run_when_resumed(
                incarnation, lambda: core.on_slot_unconfirmed(slot, self.now)
            ),
        )


class EntryNode(Vm):
    """One entry VM with its router and unfinished requests."""

    def __init__(self, soak: "Soak", number: int) -> None:
        super().__init__(soak)
        self.number = number
        self.start_count = 0
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.incarnation = f"entry-{self.number}@{self.start_count}"
        self.router = Router("dc", self.soak.world.random)
        self.router.configure(self.soak.endpoints)
        self.attempt_ids = AttemptIdAllocator(self.incarnation)
        self.budget = RetryBudget(self.now)
        self.requests: dict[str, RequestCore] = {}
        for agent in self.soak.agents:
            self.soak.link_later(self.incarnation, agent)

    def kill(self) -> None:
        for agent in self.soak.agents.values():
            if self.incarnation in agent.links:
                self.soak.unlink(self.incarnation, agent.name)
        for request in self.requests.values():
            self.soak.on_caller_lost(request)
        self.start()

    def submit(self, call: Call, streaming: bool) -> None:
        core = RequestCore(
            call,
            streaming,
            self.router,
            self.attempt_ids,
            self.budget,
            self.soak.monitor,
        )
        self.requests[call.request_id] = core
        self.run(core, lambda: core.start(self.now))

    def run(self, core: RequestCore, action: Callable[[], list]) -> None:
        incarnation = self.incarnation
        world = self.soak.world
        if core.call.request_id not in self.requests:
            return
        if world.now < self.paused_until:
            remaining = self.paused_until - world.now
            world.call_later(
                remaining,
                lambda: self.incarnation == incarnation and self.run(core, action),
            )
            return
        for effect in action():
            if isinstance(effect, Send):
                self.soak.to_agent(incarnation, effect.agent, effect.message)
            else:
                self.soak.deliver(self, core, effect)
        if core.is_final:
            self.requests.pop(core.call.request_id, None)
            return
        world.call_later(
            max(0.0, core.timer_at - self.now),
            lambda: (
                self.incarnation == incarnation
                and self.run(core, lambda: core.on_timer(self.now))
            ),
        )

    def receive(self, agent: str, message: FromAgent) -> None:
        if isinstance(message, Draining):
            self.router.on_draining(agent)
            return
        if isinstance(message, LoadReport):
            self.router.on_load_report(agent, message.load)
            self.router.on_heartbeat(
                agent, self.now + MAX_MISSED_REPORTS * message.next_report_in
            )
            return
        for core in list(self.requests.values()):
            if message.attempt in core.attempts:
                self.run(core, lambda c=core: c.on_message(message, self.now))

    def on_link_up(self, agent: str, incarnation: str, is_draining: bool) -> None:
        self.router.on_link_up(agent, incarnation, is_draining, Load())
        now = self.now
        for core in list(self.requests.values()):
            self.run(core, lambda c=core: c.on_link_up(agent, incarnation, now))

    def on_link_down(self, agent: str) -> None:
        self.router.on_link_down(agent)
        now = self.now
        for core in list(self.requests.values()):
            self.run(core, lambda c=core: c.on_link_down(agent, now))


class Soak:
    """One simulation: all VMs, the store, the network and the fault injection."""

    def __init__(self, seed: int, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.world = World(Random(seed))
        self.monitor = RaisingMonitor()
        self.store = SimulatedStore(self.world, self.faults)
        self.truth = GroundTruth()
        self.cancelled: set[tuple[str, int]] = set()
        self.request_numbers = itertools.count()
        self.keys: list[tuple[str, str, float, str]] = []
        self.endpoints = {
            service: [
                Endpoint(f"{service}-{n}", "", f"dc-{n}", SLOTS_PER_ENDPOINT)
                for n in range(count)
            ]
            for service, count in ENDPOINTS_PER_SERVICE.items()
        }
        self.agents: dict[str, AgentNode] = {}
        self.entries: list[EntryNode] = []
        for service, endpoints in self.endpoints.items():
            for endpoint in endpoints:
                self.agents[endpoint.name] = AgentNode(self, endpoint.name, service)
        self.entries = [EntryNode(self, number) for number in range(ENTRY_COUNT)]
        self.world.call_later(0.1, self.submit_next)
        self.world.call_later(0.5, self.inject_faults)

    def run(self, steps: int) -> None:
        with patch.object(journal, "JOURNAL_SLOTS", JOURNAL_SLOTS):
            for _ in range(steps):
                self.world.run_next()

    # Callers.

    def submit_next(self) -> None:
        world = self.world
        world.call_later(world.random.expovariate(ARRIVAL_RATE), self.submit_next)
        request_id = f"r{next(self.request_numbers)}"
        customer = world.random.choice(["a", "b", "c"])
        if world.chance(0.5):
            self._submit_report(request_id, customer)
        else:
            self._submit_order(request_id, customer)

    def _submit_report(self, request_id: str, customer: str) -> None:
        random = self.world.random
        entry = random.choice(self.entries)
        deadline = entry.now + random.choice([0.3, 2.0, 10.0])
        call = Call(
            request_id, "reports", customer, "POST", "/chat", "", b"p" * 10,
            deadline, deadline - 0.1, 1.0, 20.0,
        )  # fmt: skip
        entry.submit(call, random.random() < 0.7)

    def _submit_order(self, request_id: str, customer: str) -> None:
        random = self.world.random
        now = self.world.now
        key_record = (f"k{request_id}", customer, now, f"print-{request_id}")
        if self.keys and random.random() < 0.4:
            recent = self.keys[-30:] if random.random() < 0.8 else self.keys
            key_record = random.choice(recent)
            if random.random() < 0.05:
                key_record = (*key_record[:3], "another call")
        else:
            self.keys.append(key_record)
        key, customer, issued_at, fingerprint = key_record
        entry = random.choice(self.entries)
        deadline = entry.now + random.choice([0.5, 3.0, 10.0])
        call = Call(
            request_id, "orders", customer, "POST", "/orders", "", b"",
            deadline, deadline - 0.1, 1.0, 1.0, key, issued_at, fingerprint.encode(),
        )  # fmt: skip
        entry.submit(call, False)

    def deliver(self, entry: EntryNode, core: RequestCore, effect: object) -> None:
        request_id = core.call.request_id
        parts = self.truth.delivered.setdefault(request_id, [])
        if isinstance(effect, DeliverChunk):
            parts.append(effect.data)
        elif isinstance(effect, DeliverEnd):
            self._check_complete(core, parts)
            del self.truth.delivered[request_id]
            self.truth.outcomes[core.call.service, "answered"] += 1
        elif isinstance(effect, RejectRequest):
            self._check_rejection(core, effect)
            self.truth.delivered.pop(request_id)
            self.truth.outcomes[core.call.service, effect.execution_status.value] += 1
        else:
            assert isinstance(effect, DeliverHead)

    def _check_complete(self, core: RequestCore, parts: list[bytes]) -> None:
        call = core.call
        subject = call.key or call.request_id
        source = parts[0].decode().rsplit(":", 1)[0] if parts else ""
        expected = [f"{source}:{n}".encode() for n in range(len(parts))]
        total = 1 if call.key else 5
        self.monitor.check(
            Invariant.OWN_COMPLETE_RESPONSE,
            source.startswith(f"{subject}:")
            and parts == expected
            and len(parts) == total,
            f"{call.request_id} got {parts}",
        )

    def _check_rejection(self, core: RequestCore, effect: RejectRequest) -> None:
        if effect.execution_status is not ExecutionStatus.NOT_EXECUTED:
            return
        self.truth.rejected.add(core.call.request_id)
        self.monitor.check(
            Invariant.TRUTHFUL_REJECTION,
            not self.truth.started[core.call.request_id],
            f"{core.call.request_id} was started and rejected as not executed",
        )

    def on_caller_lost(self, core: RequestCore) -> None:
        self.truth.delivered.pop(core.call.request_id, None)
        self.truth.outcomes[core.call.service, "entry died"] += 1

    # Endpoints.

    def start_call(self, agent: AgentNode, effect: StartCall) -> None:
        call = effect.call
        self.truth.started[call.request_id] += 1
        self.monitor.check(
            Invariant.TRUTHFUL_REJECTION,
            call.request_id not in self.truth.rejected,
            f"{call.request_id} starts after it was rejected as not executed",
        )
        if call.key:
            subject = (call.customer, call.key)
            self.truth.started_keys[subject] += 1
            self.monitor.check(
                Invariant.AT_MOST_ONCE,
                self.truth.started_keys[subject] == 1,
                f"key {subject} started {self.truth.started_keys[subject]} times",
            )
        parts = 1 if call.key else 5
        fails_at = parts if not self.world.chance(self.faults.endpoint_failure) else 0
        self._produce_response(agent, agent.incarnation, effect, 0, parts, fails_at)

    def _produce_response(
        self, agent, incarnation, effect, number, parts, fails_at
    ) -> None:
        """Schedule the next part of an endpoint's response.

        :param number: number of the part, from 0.
        :param parts: parts of the complete response.
        :param fails_at: part in place of which the endpoint fails; ``parts`` if it
            does not fail.
        """
        call, run_id, core = effect.call, effect.run_id, agent.core

        def next_part() -> None:
            if (incarnation, run_id) in self.cancelled:
                return
            now = agent.now
            run_on_agent = lambda action: agent.run_when_resumed(incarnation, action)  # noqa: E731
            if number == fails_at < parts:
                reason = Reason.ENDPOINT_FAILED
                run_on_agent(lambda: core.on_failed(run_id, True, reason, now))
                return
            if number == 0:
                run_on_agent(lambda: core.on_head(run_id, 200, "text/plain"))
            if number == parts:
                run_on_agent(lambda: core.on_finished(run_id, now))
                return
            subject = call.key or call.request_id
            data = f"{subject}:{incarnation}/{run_id}:{number}".encode()
            run_on_agent(lambda: core.on_data(run_id, data))
            self._produce_response(
                agent, incarnation, effect, number + 1, parts, fails_at
            )

        self.world.call_later(self.world.random.uniform(0.01, 0.1), next_part)

    # Network.

    def to_agent(self, entry: str, agent: str, message: ToAgent) -> None:
        node = self.agents[agent]
        if entry not in node.links:
            return
        self._transmit(lambda: node.alive and node.receive(entry, message))

    def to_entry(self, agent: str, entry: str, message: FromAgent) -> None:
        node = next((e for e in self.entries if e.incarnation == entry), None)
        if node is None or entry not in self.agents[agent].links:
            return
        self._transmit(
            lambda: node.incarnation == entry and node.receive(agent, message)
        )

    def _transmit(self, deliver_message: Callable[[], object]) -> None:
        """Deliver a message once or twice; delays may reorder messages."""
        world = self.world
        delay = world.random.uniform(0.0002, 0.002)
        if world.chance(self.faults.delayed):
            delay = world.random.uniform(0.01, 20.0)
        world.call_later(delay, deliver_message)
        if world.chance(self.faults.duplicated):
            world.call_later(delay + world.random.uniform(0.0, 5.0), deliver_message)

    def link_later(self, entry: str, agent: str) -> None:
        delay = self.world.random.uniform(0.01, 0.3)
        self.world.call_later(delay, lambda: self.link(entry, agent))

    def link(self, entry: str, agent: str) -> None:
        node = self.agents[agent]
        entry_node = next((e for e in self.entries if e.incarnation == entry), None)
        if entry_node is None or entry in node.links:
            return
        if not node.alive or self.world.now < max(
            node.paused_until, entry_node.paused_until
        ):
            self.link_later(entry, agent)
            return
        node.links.add(entry)
        node.perform(node.core.on_connected(entry))
        entry_node.on_link_up(agent, node.incarnation, node.core.is_draining)

    def unlink(self, entry: str, agent: str) -> None:
        node = self.agents[agent]
        node.links.discard(entry)
        if node.alive:
            node.core.on_disconnected(entry, node.now)
        entry_node = next((e for e in self.entries if e.incarnation == entry), None)
        if entry_node is not None:
            entry_node.on_link_down(agent)
            self.link_later(entry, agent)

    # Faults.

    def inject_faults(self) -> None:
        world, faults = self.world, self.faults
        world.call_later(0.05, self.inject_faults)
        self._inject_agent_faults()
        for entry in self.entries:
            if world.chance(faults.kill):
                entry.kill()
            elif world.chance(faults.pause):
                entry.paused_until = world.now + world.random.uniform(0.1, 10.0)
        if world.chance(faults.outage):
            self.store.down_until = world.now + world.random.uniform(1.0, 30.0)

    def _inject_agent_faults(self) -> None:
        world, faults = self.world, self.faults
        for node in self.agents.values():
            if node.alive and world.chance(faults.kill):
                node.kill()
            elif node.alive and world.chance(faults.drain):
                node.perform(node.core.drain(node.now))
            elif world.chance(faults.pause):
                node.paused_until = world.now + world.random.uniform(0.1, 20.0)
            for entry in sorted(node.links):
                if world.chance(faults.break_link):
                    self.unlink(entry, node.name)


def format_summary(soak: Soak) -> str:
    lines = []
    for service in ENDPOINTS_PER_SERVICE:
        outcomes = {
            name: count
            for (service_name, name), count in sorted(soak.truth.outcomes.items())
            if service_name == service
        }
        lines.append(f"{service}: {outcomes}")
    lines.append(f"simulated seconds: {soak.world.now - START_TIME:.0f}")
    lines.append(f"platform calls: {dict(soak.store.calls)}")
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=100_000)
    options = parser.parse_args()
    soak = Soak(options.seed)
    print(f"seed {options.seed}, {options.steps} steps")
    soak.run(options.steps)
    print(format_summary(soak))
    print("0 breaches")


if __name__ == "__main__":
    main()
