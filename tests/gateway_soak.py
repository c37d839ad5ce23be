"""Randomised simulation of gateways with an in-memory store, in virtual time.

The daemon's own cluster state, membership and forwarder code runs unchanged. Store,
engines, gossip and callers are models that inject faults: lost and delayed writes,
entries that expire during an outage, a store that is restored from an older copy, nodes
whose store calls fail, network partitions, killed and gracefully stopped nodes, clock
jumps, and engines that reject requests, crash, stop responding, reset connections,
state limits, end on a part of prompts or under a request that is sent again and again.
Everything that callers and engines observe is checked against the gateway's invariants.

Run with ``PYTHONPATH=tests python -m gateway_soak --seed 1 --seconds 120``.
"""

import argparse
import asyncio
import itertools
import json
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from math import inf
from random import Random
from unittest.mock import patch

import looptime

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.adapters.peer_transport import PeerTransport
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.inbound_request import InboundRequest, RejectionReason
from cyclamenyoke.core.invariants import InvariantMonitor
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.orphaned_copies import OrphanedCopies
from cyclamenyoke.core.peers import Peers
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.cluster_state import ClusterState, StoreSchema
from cyclamenyoke.daemon.evacuation_sync import EvacuationSync
from cyclamenyoke.daemon.forwarder import Forwarder
from cyclamenyoke.daemon.membership import Membership
from cyclamenyoke.daemon.quarantine_store import QuarantineStore
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.platform.documents import (
    CONFIG_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    decode_config,
    decode_endpoints,
)
from cyclamenyoke.platform.statuses import NOT_RUN_STATUSES
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine import (
    EngineCall,
    EngineClient,
    EngineNotice,
    EngineResponseData,
    EngineResponseEnd,
    EngineResponseFailed,
    EngineResponseHead,
    EngineUnreachable,
    NotExecuted,
)
from cyclamenyoke.ports.key_value_store import (
    KeyList,
    KeyValueStore,
    LeaseExpired,
    PrefixWatch,
    RevisionConflict,
    StoredItem,
    VersionedValue,
)
from cyclamenyoke.ports.response_writer import ResponseWriter
from site_fixture import API_KEY, BOUNDS, HOST, configuration, route

NODES = 5
ENGINES = {"llm": 4, "app": 3}
SLOTS = 4
ARRIVAL_RATE = 30.0
"""Mean requests per second."""

SETTLE_TIME = 4.0
"""Seconds without a fault after which time bounds are checked."""

FAULT_FREE_INTERVAL, FAULT_FREE_DURATION = 30.0, 12.0
"""Seconds between the starts of two fault-free periods, and length of each."""

PAUSE, PAUSE_REACTION, MAX_ARRIVALS_IN_PAUSE = 4.0, 0.5, 2
"""Seconds for which a rejecting engine wants no requests, seconds within which requests
on their way may still arrive, and how many may arrive after that."""

REACTION_TIME = 3.0
"""Seconds after which all nodes keep an engine's limit and withhold prompts."""

LIMIT_WINDOW = 4.0
"""Seconds over which an engine's requests are counted against its limit."""

MAX_ENDS, MAX_LATER_PROMPTS = 5, 3
"""Engines that may end under one part of prompts, and how many requests with the part
may reach engines after that and the reaction time."""

MAX_ENDS_UNDER_REQUEST, MAX_LATER_COPIES = 3, 3
"""The same for one request that is sent again and again."""

STALE_CALLER_SHARE = 0.1
"""Share of requests to nodes that shut down, while there are any."""

DROPPED_SHARE = 0.7
"""Share of requests that engines with the fault ``drops`` drop."""

CRASHING_SHARE = 0.05
"""Share of requests that are copies of the one that ends engines."""

SHARED_PARTS = 8

EVACUATION_TIME = 5.0
"""Seconds after which an evacuated data centre gets no requests."""

EVACUATION_KEY = EVACUATION_PREFIX + "dc-2"

EVENTS_PER_STREAM = 6
ROUTES = ("order", "lookup", "stream", "extra")
NOT_RUN_REASONS = {
    RejectionReason.NOT_RUN,
    RejectionReason.NO_CONFIG,
    RejectionReason.NO_ENDPOINT,
    RejectionReason.OVERLOADED,
}


class LoopClock(Clock):
    """Virtual time of the event loop, which starts at 1000 seconds."""

    def now(self) -> float:
        return asyncio.get_running_loop().time() + 1000.0


class CollectingMonitor(InvariantMonitor):
    """Collects violations that the core reports."""

    def __init__(self, violations: list[str]) -> None:
        self._violations = violations

    def report(self, invariant, detail):
        self._violations.append(f"{invariant.value}: {detail}")


@dataclass(slots=True)
class ObservedRequest:
    """One request as its caller and the engines observed it.

    :param run_times: each time at which an engine started to run it.
    :param arrival_times: each time at which it reached the engine it was sent to.
    :param outcome: what the caller got, empty while the request is in progress.
    """

    route: str
    sent_at: float
    deadline: float
    run_times: list[float] = field(default_factory=list)
    arrival_times: list[float] = field(default_factory=list)
    service: str = ""
    outcome: str = ""
    ended_at: float = 0.0
    parts: tuple[str, ...] = ()
    path: str = ""


class RecordingResponseWriter(ResponseWriter):
    """Records the response that a caller receives."""

    status = None
    unsent_bytes = 0

    def __init__(self) -> None:
        self.outcome = ""
        self.body = b""

    def _end(self, outcome: str) -> None:
        assert not self.outcome, f"{outcome} after {self.outcome}"
        self.outcome = outcome

    def reject(self, reason, retry_after=None):
        assert not self.body, "request rejected after part of the response was sent"
        self._end("not run" if reason in NOT_RUN_REASONS else reason.value)

    def send(self, status, headers, body):
        self.body = body
        failed = "misstated" if status in NOT_RUN_STATUSES else "failed"
        self._end("answered" if status == 200 else failed)

    def start(self, status, headers):
        assert not self.outcome

    async def write(self, data):
        self.body += data

    def finish(self):
        self._end("answered")

    def abort(self):
        self._end("aborted")


class Environment:
    """Store, network, engines and observations that all simulated nodes share.

    :param seed: seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = LoopClock()
        # Revision, value and lease of each key; expiry time and lifetime of each lease.
        self.values: dict[str, tuple[int, bytes, int]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.era = 1
        # Contents, leases and revision of an older copy of the store.
        self.backup: tuple[dict, dict, int] = {}, {}, 1
        self.store_outage = ""
        self.rejected_ips: set[str] = set()
        self.store_delay_factor = 1.0
        self.lost_write_ratio = 0.0
        self.partitioned_ips: set[str] = set()
        # The nodes on one side of a split network; those on the other side reach the
        # store and each other as well.
        self.split_ips: set[str] = set()
        self.transports: dict[str, SimulatedTransport] = {}
        self.engines: dict[str, SimulatedEngine] = {}
        self.nodes: dict[str, Node] = {}
        self.observed: dict[str, ObservedRequest] = {}
        self.faults_until = self.clock.now()
        # When the last restored store has its newest configuration again.
        self.config_restored_at = 0.0
        # Time, version, and whether the configuration has the route "extra".
        self.published: list[tuple[float, int, bool]] = []
        self.outcomes: Counter[str] = Counter()
        self.action_counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.clock_offset = 0.0
        self.config_version = 0
        self.config = b""
        # The part of prompts that ends engines, when it did, and later arrivals.
        self.has_engine_troubles = False
        self.crashing_part = ""
        self.crashing_parts: set[str] = set()
        # The path of the request that ends engines, while it is sent, and all of them.
        self.crashing_path = ""
        self.crashing_paths: set[str] = set()
        self.ends: dict[str, list[float]] = defaultdict(list)
        self.later_arrivals: Counter[str] = Counter()
        # Revision of each key's last change in the store's era.
        self.changed_at: dict[str, int] = {}
        self.bounds = BOUNDS
        # When the evacuation of data centre dc-2 was written; None if there is none.
        self.evacuated_at: float | None = None
        self.restart: Callable[[SimulatedEngine], None] = lambda engine: None

    def put(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Write a key, or delete it if the value is ``None``; return the revision."""
        self.revision += 1
        self.changed_at[key] = self.revision
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = self.revision, value, lease
        return self.revision

    def expire_leases(self) -> None:
        """Delete the leases that have expired, with their keys."""
        now = self.clock.now()
        for lease in [n for n, (ends_at, _) in self.leases.items() if ends_at <= now]:
            del self.leases[lease]
            for key in [k for k, v in self.values.items() if v[2] == lease]:
                self.put(key, None)

    def note_fault(self, seconds: float = 0.0) -> None:
        """Record that a fault is active for the given time, in seconds, from now."""
        self.faults_until = max(self.faults_until, self.clock.now() + seconds)

    @property
    def is_fault_free(self) -> bool:
        """Whether the last fault is long enough ago to check time bounds."""
        return self.clock.now() > self.faults_until + SETTLE_TIME

    def report_violation(self, detail: str) -> None:
        """Record a violated invariant with the seconds since the start of the run."""
        self.violations.append(f"{self.clock.now() - 1000:.3f}: {detail}")

    def publish(self, has_extra: bool | None = None) -> None:
        """Write the next configuration to the store, as the operator does.

        :param has_extra: whether it has the route "extra"; drawn if ``None``.
        """
        self.config_version += self.random.randint(1, 3)
        if has_extra is None:
            has_extra = self.random.random() < 0.5
        config = configuration(self.config_version)
        if has_extra:
            config["routes"].append(route("extra", "safe", "app"))
        self.config = json.dumps(config).encode()
        self.put(CONFIG_KEY, self.config)
        self.published.append((self.clock.now(), self.config_version, has_extra))


class SimulatedStore(KeyValueStore):
    """The shared store as one node reaches it."""

    def __init__(self, env: Environment, ip: str) -> None:
        self._env = env
        self._ip = ip
        self._lease_eras: dict[int, int] = {}

    async def _simulate_call(self) -> None:
        env = self._env
        await asyncio.sleep(env.random.uniform(0.002, 0.006) * env.store_delay_factor)
        env.expire_leases()
        if env.store_outage or self._ip in env.rejected_ips:
            if env.store_outage == "silent":
                await asyncio.sleep(1.0)
            raise PlatformUnavailable("store is unavailable")

    async def get(self, key):
        await self._simulate_call()
        env = self._env
        revision, value, _ = env.values.get(key, (0, None, 0))
        return VersionedValue(revision, value, env.era)

    async def compare_and_swap(self, key, expected_revision, value, lease=0):
        await self._simulate_call()
        env = self._env
        draw = env.random.random()
        if draw < env.lost_write_ratio:
            delay = env.random.uniform(1, 6) if draw < env.lost_write_ratio / 2 else 0.0
            loop = asyncio.get_running_loop()
            loop.call_later(
                delay, self._apply_write, key, expected_revision, value, lease
            )
            await asyncio.sleep(0.5)
            raise PlatformUnavailable("store did not confirm the write")
        result = self._apply_write(key, expected_revision, value, lease)
        if isinstance(result, Exception):
            raise result
        return result

    def _apply_write(self, key, expected, value, lease):
        env = self._env
        if env.values.get(key, (0,))[0] != expected:
            return RevisionConflict(key)
        if lease and not self._is_current(lease):
            return LeaseExpired(key)
        return env.put(key, value, lease)

    async def watch(self, key, after, deadline):
        while True:
            await self._simulate_call()
            revision, value, _ = self._env.values.get(key, (0, None, 0))
            env = self._env
            if (env.era, revision) > after:
                return VersionedValue(revision, value, env.era)
            if env.clock.now() >= deadline:
                return VersionedValue(after.revision, None, after.era)
            await asyncio.sleep(0.1)

    async def watch_prefix(self, prefix, after, deadline):
        env = self._env
        while True:
            await self._simulate_call()
            if env.era != after.era:
                return PrefixWatch(True, after)
            changed = {
                key: revision
                for key, revision in env.changed_at.items()
                if key.startswith(prefix) and revision > after.revision
            }
            if changed:
                written = frozenset(changed.keys() & env.values.keys())
                position = StorePosition(env.era, max(changed.values()))
                return PrefixWatch(True, position, written, changed.keys() - written)
            if env.clock.now() >= deadline:
                return PrefixWatch(False, StorePosition(env.era, env.revision))
            await asyncio.sleep(0.1)

    async def list(self, prefix):
        await self._simulate_call()
        items = [
            StoredItem(key, value, revision)
            for key, (revision, value, _) in sorted(self._env.values.items())
            if key.startswith(prefix)
        ]
        return KeyList(items, self._env.revision, self._env.era)

    async def grant_lease(self, lifetime):
        await self._simulate_call()
        self._env.revision += 1
        lease = self._env.revision
        self._env.leases[lease] = self._env.clock.now() + lifetime, lifetime
        self._lease_eras[lease] = self._env.era
        return lease

    def _is_current(self, lease: int) -> bool:
        """Return whether a lease exists and was granted in the store's era."""
        return lease in self._env.leases and self._lease_eras[lease] == self._env.era

    async def renew_lease(self, lease):
        await self._simulate_call()
        if not self._is_current(lease):
            raise LeaseExpired(str(lease))
        lifetime = self._env.leases[lease][1]
        self._env.leases[lease] = self._env.clock.now() + lifetime, lifetime

    async def revoke_lease(self, lease):
        await self._simulate_call()
        self._env.leases.pop(lease, None)

    async def close(self):
        pass


class SimulatedTransport(PeerTransport):
    """Gossip between nodes; replaces the transport that the membership creates."""

    env: Environment

    async def start(self) -> None:
        self.env.transports[self._ip] = self

    def close(self) -> None:
        if self.env.transports.get(self._ip) is self:
            del self.env.transports[self._ip]

    def _can_reach(self, ip: str) -> bool:
        env = self.env
        if (self._ip in env.split_ips) != (ip in env.split_ips):
            return False
        return ip in env.transports and not {self._ip, ip} & env.partitioned_ips

    def send(self, update, ips):
        random = self.env.random
        for ip in ips:
            if random.random() < 0.02 or not self._can_reach(ip):
                continue
            other = self.env.transports[ip]
            delay = random.uniform(0.0005, 0.02)
            asyncio.get_running_loop().call_later(delay, other._on_update, update)

    async def fetch_snapshot(self, ip):
        await asyncio.sleep(0.01)
        if not self._can_reach(ip):
            raise PlatformUnavailable("peer is unreachable")
        return self.env.transports[ip]._snapshot()


@dataclass(slots=True)
class SimulatedEngine:
    """One engine, or one server of a plain service.

    :param drain_started_at: when its entry in the store changed to draining.
    :param fault: what happens to a part of its requests: ``rejects``, ``silent``,
        ``fails``, ``resets`` or ``drops`` (closes the connection in place of a
        response); empty for none.
    :param states_leaving: whether its responses state that it is draining.
    :param limit: requests a second that its responses state; ``None`` for none.
    :param limited_since: when it stated that for the first time.
    :param counted: arrivals that count against the limit.
    """

    id: str
    service: str
    address: str
    incarnation: int = 1
    is_alive: bool = True
    is_draining: bool = False
    drain_started_at: float | None = None
    fault: str = ""
    states_leaving: bool = False
    limit: float | None = None
    limited_since: float | None = None
    counted: list[float] = field(default_factory=list)
    data_centre: str = "dc-1"

    def entry(self) -> bytes:
        """Return its registry entry as the store holds it."""
        state = "draining" if self.is_draining else "ready"
        fields = {"service": self.service, "address": self.address}
        fields["zone"] = self.data_centre
        return json.dumps(
            {**fields, "slots": SLOTS, "state": state, "born": self.incarnation}
        ).encode()


class SimulatedEngineClient(EngineClient):
    """Sends the requests of one node to the simulated engines."""

    def __init__(self, env: Environment, node: "Node") -> None:
        self._env = env
        self._node = node

    async def send(
        self,
        endpoint,
        request,
        customer,
        last_event_id,
        deadline,
        max_connections,
    ):
        env = self._env
        await asyncio.sleep(0.001)
        engine = env.engines.get(endpoint.address)
        if engine is None or not engine.is_alive:
            raise EngineUnreachable(f"{endpoint.id} is unreachable")
        observed = env.observed[request.request_id]
        if engine.id != endpoint.id:
            return SimulatedEngineCall(self._respond_misdirected())
        observed.service = engine.service
        observed.arrival_times.append(env.clock.now())
        self._check_drain(engine)
        self._check_evacuation(engine)
        self._check_notices(engine, observed)
        self._check_limit(engine)
        self._check_quarantine(observed)
        return SimulatedEngineCall(
            self._serve(engine, request.request_id, observed, last_event_id)
        )

    async def has_ended(self, endpoint, max_connections):
        await asyncio.sleep(0.001)
        engine = self._env.engines.get(endpoint.address)
        return engine is None or not engine.is_alive

    def _check_notices(self, engine: SimulatedEngine, request: ObservedRequest) -> None:
        """Check what this node was told by the engine itself, during faults, too."""
        now, node = self._env.clock.now(), self._node
        key = engine.id, engine.incarnation
        told_at = node.told_leaving_at.get(key)
        if told_at is not None and request.sent_at > told_at + BOUNDS.drain:
            self._env.report_violation(f"{engine.id} gets work after Server-Leaving")
        since, arrivals = node.told_pause_at.get(key, (-PAUSE, 0))
        if since + PAUSE_REACTION < now < since + PAUSE:
            node.told_pause_at[key] = since, arrivals + 1
            if arrivals + 1 > MAX_ARRIVALS_IN_PAUSE:
                self._env.report_violation(f"{engine.id} gets work during its pause")

    def _check_limit(self, engine: SimulatedEngine) -> None:
        """Check what a limited engine gets from nodes that nothing has disturbed."""
        env, now = self._env, self._env.clock.now()
        if engine.limit is None or engine.limited_since is None:
            return
        if now < engine.limited_since + REACTION_TIME + LIMIT_WINDOW:
            return
        if not env.is_fault_free or not self._node.is_settled:
            return
        engine.counted = [at for at in engine.counted if at > now - LIMIT_WINDOW]
        engine.counted.append(now)
        if len(engine.counted) > 1.5 * LIMIT_WINDOW * engine.limit + 5:
            env.report_violation(f"{engine.id} gets requests beyond its limit")

    def _check_quarantine(self, request: ObservedRequest) -> None:
        """Check that what has ended engines is withheld."""
        for part in request.parts:
            self._check_withheld(part, MAX_ENDS, MAX_LATER_PROMPTS)
        if request.path in self._env.crashing_paths:
            limits = MAX_ENDS_UNDER_REQUEST, MAX_LATER_COPIES
            self._check_withheld(request.path, *limits)

    def _check_withheld(self, cause: str, max_ends: int, max_later: int) -> None:
        env = self._env
        ends = env.ends.get(cause, [])
        if len(ends) < max_ends or not self._node.is_settled:
            return
        is_late = env.clock.now() > ends[max_ends - 1] + REACTION_TIME
        env.later_arrivals[cause] += is_late and env.is_fault_free
        if env.later_arrivals[cause] > max_later:
            env.report_violation(f"{cause} ended {len(ends)} engines and is sent on")

    def _reject(self, engine: SimulatedEngine) -> NotExecuted:
        """Return a rejection that asks for a pause, and note it for the check."""
        now, key = self._env.clock.now(), (engine.id, engine.incarnation)
        if now >= self._node.told_pause_at.get(key, (-PAUSE, 0))[0] + PAUSE:
            self._node.told_pause_at[key] = now, 0
        return NotExecuted(503, False, False, EngineNotice(pause=PAUSE))

    def _notice(self, engine: SimulatedEngine) -> EngineNotice:
        """Return what a response of an engine states about the engine."""
        is_leaving = engine.is_draining and engine.states_leaving
        if is_leaving:
            self._node.told_leaving_at.setdefault(
                (engine.id, engine.incarnation), self._env.clock.now()
            )
        if engine.limit is not None and engine.limited_since is None:
            engine.limited_since = self._env.clock.now()
        return EngineNotice(is_leaving=is_leaving, rate_limit=engine.limit)

    def _check_drain(self, engine: SimulatedEngine) -> None:
        now = self._env.clock.now()
        late = (
            engine.drain_started_at is not None
            and now > engine.drain_started_at + BOUNDS.drain
        )
        if late and self._env.is_fault_free and self._node.is_settled:
            self._env.report_violation(
                f"{engine.id} gets work {now - engine.drain_started_at:.2f} s late"
            )

    def _check_evacuation(self, engine: SimulatedEngine) -> None:
        env = self._env
        if env.evacuated_at is None or engine.data_centre != "dc-2":
            return
        seconds = env.clock.now() - env.evacuated_at
        if seconds > EVACUATION_TIME and self._node.is_settled and env.is_fault_free:
            env.report_violation(
                f"{engine.id} gets work {seconds:.2f} s after the evacuation"
            )

    @staticmethod
    async def _respond_misdirected():
        yield NotExecuted(421, True, False)

    async def _serve(self, engine, request_id, request, last_event_id):
        random = self._env.random
        draw = random.random()
        if engine.fault == "rejects" and draw < 0.4:
            yield self._reject(engine)
            return
        if engine.fault == "drops" and draw < DROPPED_SHARE:
            yield EngineResponseFailed("connection reset", is_closed=True)
            return
        request.run_times.append(self._env.clock.now())
        if engine.fault == "silent" and draw < 0.4:
            await asyncio.sleep(3600)
        if engine.fault == "fails" and draw < 0.4:
            # From half of the statuses callers conclude that the request has not run.
            status = 503 if draw < 0.2 else 500
            yield EngineResponseHead(
                status, [], False, False, self._notice(engine),
                implies_not_run=status in NOT_RUN_STATUSES,
            )  # fmt: skip
            yield EngineResponseEnd()
            return
        is_stream = engine.service == "llm"
        if request.path in self._env.crashing_paths:
            yield await self._crash(engine, request.path)
            return
        yield EngineResponseHead(200, [], True, is_stream, self._notice(engine))
        if self._env.crashing_part and self._env.crashing_part in request.parts:
            yield await self._crash(engine, self._env.crashing_part)
            return
        for number in range(
            (last_event_id or 0) + 1, EVENTS_PER_STREAM + 1 if is_stream else 2
        ):
            await asyncio.sleep(random.uniform(0.02, 0.06))
            if not engine.is_alive or (engine.fault == "resets" and draw < 0.2):
                yield EngineResponseFailed("connection reset", is_closed=True)
                return
            text = f"id: {number}\ndata: {request_id}\n\n"
            yield EngineResponseData(
                text.encode() if is_stream else request_id.encode()
            )
        yield EngineResponseEnd()

    async def _crash(self, engine, cause: str) -> EngineResponseFailed:
        """End an engine a moment after it has begun to run a request."""
        await asyncio.sleep(self._env.random.uniform(0.01, 0.06))
        if engine.is_alive:
            self._env.ends[cause].append(self._env.clock.now())
            engine.is_alive = False
            self._env.restart(engine)
        return EngineResponseFailed("connection reset", is_closed=True)


class SimulatedEngineCall(EngineCall):
    """The response of a simulated engine, event by event."""

    def __init__(self, events) -> None:
        self._events = events
        self._next = None

    @property
    def has_event(self):
        return self._next is not None and self._next.done()

    async def wait(self):
        if self._next is None:
            self._next = asyncio.create_task(self._read())
        await asyncio.wait({self._next})

    async def receive(self):
        await self.wait()
        read, self._next = self._next, None
        return read.result()

    def release(self):
        if self._next is not None:
            self._next.cancel()

    async def _read(self):
        try:
            return await anext(self._events)
        except StopAsyncIteration:
            return EngineResponseFailed("connection closed")


class Node:
    """One gateway process; its parts are connected as in the daemon."""

    def __init__(self, env: Environment, number: int) -> None:
        self.env = env
        self.number = number
        self.ip = f"10.0.0.{number}"
        self.started_at = env.clock.now()
        self.is_stopping = False
        self.was_killed = False
        self.requests: set[asyncio.Task] = set()
        # By id and incarnation of an engine: when it told this node that it leaves, and
        # when it asked this node for a pause, with the number of arrivals since.
        self.told_leaving_at: dict[tuple[str, int], float] = {}
        self.told_pause_at: dict[tuple[str, int], tuple[float, int]] = {}
        clock, random, metrics = env.clock, env.random, Metrics()
        log, monitor = Log("soak"), CollectingMonitor(env.violations)
        settings = NodeSettings(
            f"n{number}", self.ip, "dc-1", "region", f"{self.ip}:80", None, None, 9, 9,
            (), "store:1", 1.0, 10**8, 1000, env.bounds,
        )  # fmt: skip
        registry, self.peers = EndpointRegistry(), Peers(self.ip)
        limits = EngineLimits(self.ip, self.peers.possible_senders, registry.usable)
        balancer = Balancer(registry, "dc-1", random, limits)
        quarantine = RequestQuarantine(lambda: BOUNDS.stall)
        store = SimulatedStore(env, self.ip)
        schema = StoreSchema(
            CONFIG_KEY,
            ENDPOINT_PREFIX,
            decode_config,
            lambda items: decode_endpoints([(each.key, each.value) for each in items]),
        )
        evacuation = EvacuationSync(
            settings, store, EVACUATION_PREFIX, registry, self.peers,
            lambda: self.cluster_state.reads_store, clock, random, metrics, log,
        )  # fmt: skip
        self.cluster_state = ClusterState(
            settings, store, schema, registry, self.peers, balancer, evacuation,
            clock, random, monitor, metrics, log,
        )  # fmt: skip
        orphans = OrphanedCopies(lambda: BOUNDS.retry_window)
        self.membership = Membership(
            settings, store, self.peers, registry, balancer, quarantine,
            limits, orphans, self.cluster_state, clock, random,
            metrics, log,
        )  # fmt: skip
        self.forwarder = Forwarder(
            SimulatedEngineClient(env, self), balancer, self.peers, quarantine,
            limits, orphans, settings, self.cluster_state, self.membership.announce,
            clock, random, monitor, metrics, log,
        )  # fmt: skip
        self.cluster_state.on_change = self.membership.announce
        self.cluster_state.on_evacuation = self.forwarder.on_evacuation
        quarantine.on_change = limits.on_change = self.membership.announce
        self.membership.queued = lambda: self.forwarder.queued
        self.membership.copies = self.forwarder.late_copies
        self.membership.on_peer_update = self.forwarder.dispatch
        quarantine_store = QuarantineStore(
            store, quarantine, self._is_list_reader,
            lambda: registry.position.era, clock, random, log,
        )  # fmt: skip
        self.monitor = monitor
        coroutines = (
            self.cluster_state.watch_config(),
            self.cluster_state.fetch_newer_config(),
            self.cluster_state.sync_endpoints(),
            self.membership.run(),
            self.forwarder.poll_queue(),
        )
        if env.bounds.evacuation is not None:
            coroutines += (evacuation.run(),)
        if env.has_engine_troubles:
            coroutines += (quarantine_store.run(),)
        self.tasks = [asyncio.ensure_future(each) for each in coroutines]

    def _is_list_reader(self) -> bool:
        reads_store = self.cluster_state.reads_store
        return self.peers.is_list_reader(self.env.clock.now(), reads_store)

    @property
    def is_settled(self) -> bool:
        """Whether the node has run long enough to check time bounds."""
        return self.env.clock.now() > self.started_at + SETTLE_TIME

    def kill(self) -> None:
        """Kill the process."""
        self.was_killed = True
        self._end()

    def _end(self) -> None:
        self.env.nodes.pop(self.ip, None)
        for task in [*self.tasks, *self.requests]:
            task.cancel()
        if self.ip in self.env.transports and self.membership._transport is not None:
            self.membership._transport.close()

    async def stop(self) -> None:
        """Shut down gracefully."""
        clock = self.env.clock
        shutdown = GracefulShutdown.begin(clock.now(), BOUNDS.grace, self.monitor)
        self.is_stopping = True
        self.forwarder.shutdown = shutdown
        self.membership.announce_draining()
        await self.membership.deregister()
        while not shutdown.can_close(clock.now(), len(self.requests)):
            await asyncio.sleep(0.05)
        shutdown.on_close(clock.now(), len(self.requests))
        self._end()


class GatewaySoak:
    """One run of the simulation.

    :param seed: seed of all random choices.
    :param has_engine_troubles: whether engines state limits or end on prompts.
    :param has_crashing_requests: whether a request that ends engines is sent at times.
    :param has_faults: whether faults are injected; without them, time bounds are always
        checked.
    :param has_evacuations: whether a data centre is evacuated at times.
    """

    def __init__(
        self,
        seed: int,
        has_engine_troubles: bool = False,
        has_faults: bool = True,
        has_crashing_requests: bool = False,
        has_evacuations: bool = False,
    ) -> None:
        self.seed = seed
        self.has_crashing_requests = has_crashing_requests
        self.has_engine_troubles = has_engine_troubles
        self.has_faults = has_faults
        self.has_evacuations = has_evacuations
        self._actions: set[asyncio.Task] = set()
        self.numbers = itertools.count(1)
        # Apart from the other draws, which decide what the known seeds show.
        self.stale_callers = Random(seed)
        # Numbers of answered and of sent requests, by fault-free period.
        self.fault_free_counts: dict[int, list[int]] = defaultdict(lambda: [0, 0])

    def run(self, seconds: float) -> Environment:
        """Run for a number of virtual seconds and return what was observed."""
        loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(self._run(seconds))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def _run(self, seconds: float) -> Environment:
        self.env = env = Environment(self.seed)
        env.has_engine_troubles = self.has_engine_troubles or self.has_crashing_requests
        if self.has_evacuations:
            env.bounds = replace(BOUNDS, evacuation=EVACUATION_TIME)
        SimulatedTransport.env = env
        env.restart = lambda engine: self._start(self._restart_engine(engine))
        with (
            patch("cyclamenyoke.daemon.membership.PeerTransport", SimulatedTransport),
            patch(
                "cyclamenyoke.daemon.membership.time.time",
                lambda: env.clock.now() + env.clock_offset,
            ),
        ):
            for service, count in ENGINES.items():
                for number in range(count):
                    is_other = self.has_evacuations and number % 2
                    data_centre = "dc-2" if is_other else "dc-1"
                    self._add_engine(service, f"{service}-{number}", data_centre)
            env.publish()
            for number in range(1, NODES + 1):
                env.nodes[f"10.0.0.{number}"] = Node(env, number)
            optional = [
                (self.has_faults, self._inject_faults),
                (True, self._back_up_store),
                (True, self._publish_configs),
                (True, self._run_planned_changes),
                (True, self._generate_requests),
                (self.has_engine_troubles, self._trouble_engines),
                (self.has_crashing_requests, self._send_crashing_requests),
                (self.has_evacuations, self._evacuate),
            ]
            work = [start() for is_wanted, start in optional if is_wanted]
            tasks = [asyncio.ensure_future(each) for each in work]
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
            await asyncio.sleep(8)
            for node in list(env.nodes.values()):
                node.kill()
            # Cancelled tasks end in the next iterations of the loop.
            await asyncio.sleep(0.1)
            for task in tasks:
                if task.done() and not task.cancelled() and task.exception():
                    raise task.exception()
        self._check_run()
        return env

    def _add_engine(self, service: str, id_: str, data_centre: str) -> None:
        engine = SimulatedEngine(id_, service, f"10.1.0.{next(self.numbers)}:80")
        engine.data_centre = data_centre
        engine.states_leaving = self.env.random.random() < 0.5
        self.env.engines[engine.address] = engine
        self.env.put(ENDPOINT_PREFIX + id_, engine.entry())

    async def _publish_configs(self) -> None:
        while True:
            await asyncio.sleep(self.env.random.uniform(2, 8))
            if not self.env.store_outage:
                self.env.publish()

    async def _run_planned_changes(self) -> None:
        """Start planned changes, also in fault-free periods."""
        while True:
            await asyncio.sleep(self.env.random.uniform(0.5, 2))
            change = self.env.random.choice([self._shut_down_node, self._drain_engine])
            self._start_action(change)

    async def _trouble_engines(self) -> None:
        """Limit engines and send prompts that end them, also in fault-free periods."""
        while True:
            await asyncio.sleep(self.env.random.uniform(2, 6))
            trouble = self.env.random.choice(
                [self._limit_engine, self._limit_engine, self._send_crashing_prompts]
            )
            self._start_action(trouble)

    async def _inject_faults(self) -> None:
        env, random = self.env, self.env.random
        faults = [
            self._fail_store, self._lose_store_writes, self._reject_nodes_at_store,
            self._partition_nodes, self._kill_nodes, self._make_engine_faulty,
            self._crash_engine, self._shift_clock, self._expire_engine_entries,
            self._restore_store,
        ]  # fmt: skip
        while True:
            await asyncio.sleep(random.expovariate(0.8))
            if env.clock.now() % FAULT_FREE_INTERVAL < FAULT_FREE_DURATION:
                continue
            self._start_action(random.choice(faults))

    def _start_action(self, action) -> None:
        self.env.action_counts[action.__name__] += 1
        self._start(action())

    def _start(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._actions.add(task)
        task.add_done_callback(self._actions.discard)
        task.add_done_callback(self._on_action_done)

    def _on_action_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception():
            self.env.report_violation(f"simulation task failed: {task.exception()!r}")

    def _sample_node_ips(self) -> list[str]:
        ips, random = list(self.env.nodes), self.env.random
        return random.sample(ips, min(len(ips), random.randint(1, 3)))

    async def _fail_store(self) -> None:
        env, seconds = self.env, self.env.random.uniform(0.5, 5)
        env.note_fault(seconds)
        env.store_outage = env.random.choice(["silent", "rejects"])
        if env.random.random() < 0.3:
            env.leases.clear()
        await asyncio.sleep(seconds)
        env.store_outage = ""

    async def _lose_store_writes(self) -> None:
        env = self.env
        env.note_fault(8)
        env.lost_write_ratio, env.store_delay_factor = (
            0.4,
            env.random.choice([1.0, 30.0]),
        )
        await asyncio.sleep(env.random.uniform(1, 4))
        env.lost_write_ratio, env.store_delay_factor = 0.0, 1.0

    async def _expire_engine_entries(self) -> None:
        """Expire engine entries in an outage; register the engines again after it."""
        env = self.env
        env.note_fault(5)
        env.store_outage = "rejects"
        engines = [each for each in env.engines.values() if not each.is_draining]
        for engine in engines:
            if env.random.random() < 0.7:
                env.put(ENDPOINT_PREFIX + engine.id, None)
        await asyncio.sleep(2)
        env.store_outage = ""
        for engine in engines:
            await asyncio.sleep(env.random.uniform(0, 0.3))
            if engine.is_alive and not engine.is_draining:
                env.put(ENDPOINT_PREFIX + engine.id, engine.entry())

    async def _restore_store(self) -> None:
        """Restore the store from an older copy, sometimes twice in a row."""
        env = self.env
        env.note_fault(6)
        env.config_restored_at = inf
        for _ in range(env.random.choice([1, 1, 2])):
            values, leases, revision = env.backup
            env.store_outage = "rejects"
            await asyncio.sleep(env.random.uniform(0.1, 1))
            env.values, env.leases, env.revision = dict(values), dict(leases), revision
            env.era += 1
            env.changed_at.clear()
            env.store_outage = ""
            await asyncio.sleep(env.random.uniform(0, 0.5))
        await self._write_again()

    async def _write_again(self) -> None:
        """Write again what the operator and the engines had written."""
        env = self.env
        env.put(CONFIG_KEY, env.config)
        env.config_restored_at = env.clock.now()
        if env.evacuated_at is not None:
            env.put(EVACUATION_KEY, b"{}")
        elif EVACUATION_KEY in env.values:
            env.put(EVACUATION_KEY, None)
        listed = {each.id for each in env.engines.values() if each.is_alive}
        for key in [key for key in env.values if key.startswith(ENDPOINT_PREFIX)]:
            if key.removeprefix(ENDPOINT_PREFIX) not in listed:
                await asyncio.sleep(env.random.uniform(0, 0.1))
                env.put(key, None)
        for engine in list(env.engines.values()):
            await asyncio.sleep(env.random.uniform(0, 0.2))
            if engine.is_alive:
                env.put(ENDPOINT_PREFIX + engine.id, engine.entry())

    async def _evacuate(self) -> None:
        """Evacuate a data centre at times, also in fault-free periods."""
        env = self.env
        while True:
            await asyncio.sleep(env.random.uniform(2, 6))
            if env.store_outage:
                continue
            env.put(EVACUATION_KEY, b"{}")
            env.evacuated_at = env.clock.now()
            env.action_counts["evacuate"] += 1
            await asyncio.sleep(env.random.uniform(7, 14))
            env.evacuated_at = None
            env.put(EVACUATION_KEY, None)

    async def _back_up_store(self) -> None:
        """Copy the store every few seconds."""
        env = self.env
        while True:
            env.backup = dict(env.values), dict(env.leases), env.revision
            await asyncio.sleep(env.random.uniform(1, 6))

    async def _reject_nodes_at_store(self) -> None:
        env, ips = self.env, set(self._sample_node_ips())
        env.note_fault(5)
        env.rejected_ips |= ips
        await asyncio.sleep(env.random.uniform(1, 5))
        env.rejected_ips -= ips

    async def _partition_nodes(self) -> None:
        env, ips = self.env, set(self._sample_node_ips())
        env.note_fault(5)
        env.partitioned_ips |= ips
        await asyncio.sleep(env.random.uniform(1, 5))
        env.partitioned_ips -= ips

    async def _kill_nodes(self) -> None:
        env = self.env
        ips = list(env.nodes) if env.random.random() < 0.2 else self._sample_node_ips()
        env.note_fault(1)
        for ip in ips:
            env.nodes[ip].kill()
        await asyncio.sleep(0.7)
        self._restart_nodes(ips)

    def _restart_nodes(self, ips: list[str]) -> None:
        for ip in ips:
            if ip not in self.env.nodes:
                self.env.nodes[ip] = Node(self.env, int(ip.rpartition(".")[2]))

    async def _shut_down_node(self) -> None:
        """Stop a node gracefully; this is no fault, so time bounds still apply."""
        candidates = [ip for ip, node in self.env.nodes.items() if not node.is_stopping]
        if len(candidates) < 3:
            return
        ip = self.env.random.choice(candidates)
        await self.env.nodes[ip].stop()
        await asyncio.sleep(0.7)
        self._restart_nodes([ip])

    async def _make_engine_faulty(self) -> None:
        env = self.env
        engine = env.random.choice(list(env.engines.values()))
        env.note_fault(4)
        engine.fault = env.random.choice(["rejects", "silent", "fails", "resets"])
        await asyncio.sleep(4)
        engine.fault = ""

    async def _crash_engine(self) -> None:
        """Crash an engine and restart it under the same id at another address."""
        env = self.env
        engine = env.random.choice(list(env.engines.values()))
        if engine.is_draining or not engine.is_alive:
            return
        env.note_fault(3)
        engine.is_alive = False
        await self._restart_engine(engine)

    async def _restart_engine(self, engine: SimulatedEngine) -> None:
        env = self.env
        await asyncio.sleep(env.random.uniform(0.5, 2))
        if engine.is_draining:
            return
        del env.engines[engine.address]
        address = f"10.1.0.{next(self.numbers)}:80"
        restarted = SimulatedEngine(
            engine.id, engine.service, address, engine.incarnation + 1
        )
        restarted.data_centre = engine.data_centre
        if self.has_engine_troubles:
            restarted.states_leaving = env.random.random() < 0.5
        env.engines[restarted.address] = restarted
        env.put(ENDPOINT_PREFIX + restarted.id, restarted.entry())

    async def _limit_engine(self) -> None:
        """Have an engine state for a while how many requests a second it takes.

        One of each service has no limit, since all limits together are far below the
        rate of arrivals.
        """
        env = self.env
        engine = env.random.choice(list(env.engines.values()))
        unlimited = [
            each
            for each in env.engines.values()
            if each.service == engine.service and each.is_alive and each.limit is None
        ]
        if engine not in unlimited or len(unlimited) < 2:
            return
        engine.limit = env.random.uniform(0.5, 3.0)
        await asyncio.sleep(env.random.uniform(10, 25))
        engine.limit = engine.limited_since = None
        engine.counted.clear()

    async def _send_crashing_prompts(self) -> None:
        """Let some streams have a part that ends the engines that write on it."""
        env = self.env
        if env.crashing_part:
            return
        env.crashing_part = f"crashing-{next(self.numbers)}"
        env.crashing_parts.add(env.crashing_part)
        await asyncio.sleep(env.random.uniform(10, 25))
        env.crashing_part = ""

    async def _send_crashing_requests(self) -> None:
        """Let callers ask again and again for a request that ends engines."""
        env = self.env
        while True:
            await asyncio.sleep(env.random.uniform(1, 6))
            name = env.random.choice(["order", "lookup", "stream"])
            env.crashing_path = f"/{name}/crashing-{next(self.numbers)}"
            env.crashing_paths.add(env.crashing_path)
            await asyncio.sleep(env.random.uniform(8, 20))
            env.crashing_path = ""

    def _prompt_parts(self) -> tuple[str, ...]:
        """Return shared parts of a stream's prompt, one in five with a crashing one."""
        env = self.env
        shared = f"shared-{env.random.randrange(SHARED_PARTS)}"
        if env.crashing_part and env.random.random() < 0.2:
            return shared, env.crashing_part
        return (shared,)

    async def _drain_engine(self) -> None:
        """Replace an engine: start another one, then drain and remove the first."""
        env = self.env
        engine = env.random.choice(list(env.engines.values()))
        if engine.is_draining or not engine.is_alive or env.store_outage:
            return
        id_ = f"{engine.service}-{next(self.numbers)}"
        self._add_engine(engine.service, id_, engine.data_centre)
        await asyncio.sleep(1)
        engine.is_draining = True
        env.put(ENDPOINT_PREFIX + engine.id, engine.entry())
        engine.drain_started_at = env.clock.now()
        await asyncio.sleep(6)
        env.put(ENDPOINT_PREFIX + engine.id, None)
        engine.is_alive = False
        env.engines.pop(engine.address, None)

    async def _shift_clock(self) -> None:
        env = self.env
        env.clock_offset = env.random.uniform(-5, 5)
        await asyncio.sleep(env.random.uniform(1, 4))
        env.clock_offset = 0.0

    async def _generate_requests(self) -> None:
        env = self.env
        callers: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(env.random.expovariate(ARRIVAL_RATE))
            task = asyncio.ensure_future(self._send_request())
            callers.add(task)
            task.add_done_callback(callers.discard)

    async def _send_request(self) -> None:
        env = self.env
        now = env.clock.now()
        nodes = [node for node in env.nodes.values() if not node.is_stopping]
        if not nodes:
            return
        node = self._stopping_node() or self._choose_node(nodes)
        was_stopping = node.is_stopping
        name = env.random.choice(ROUTES)
        id_ = f"{next(self.numbers):016x}"
        request = env.observed[id_] = ObservedRequest(name, now, now + 1.5)
        if self.has_engine_troubles and name == "stream":
            request.parts = self._prompt_parts()
        path = f"/{name}/x"
        if env.crashing_path and env.random.random() < CRASHING_SHARE:
            path = request.path = env.crashing_path
            request.route = path.split("/")[1]
        call = InboundRequest(
            id_, b"POST", path.encode(), path, HOST, [], b"{}", API_KEY,
            now, request.deadline, None, 0, 0, request.parts,
        )  # fmt: skip
        response = RecordingResponseWriter()
        task = asyncio.ensure_future(node.forwarder.serve(call, response))
        node.requests.add(task)
        disconnects = env.random.random() < 0.03
        try:
            async with asyncio.timeout(0.05 if disconnects else None):
                await task
        except TimeoutError:
            request.outcome = "caller disconnected"
        except asyncio.CancelledError:
            request.outcome = "node stopped"
        finally:
            node.requests.discard(task)
        request.ended_at = env.clock.now()
        request.outcome = request.outcome or response.outcome or "no response"
        if was_stopping and request.outcome == "node stopped" and not node.was_killed:
            env.report_violation(f"{id_} was accepted by a stopping node and cut off")
        self._check_response(id_, request, response, node)

    def _choose_node(self, nodes: list[Node]) -> Node:
        """Return the node to which the next request is sent."""
        return self.env.random.choice(nodes)

    def _stopping_node(self) -> "Node | None":
        """Return a stopping node for the few callers that still use its address."""
        stopping = [node for node in self.env.nodes.values() if node.is_stopping]
        is_stale = self.stale_callers.random() < STALE_CALLER_SHARE
        return self.stale_callers.choice(stopping) if stopping and is_stale else None

    def _check_response(self, id_, request, response, node) -> None:
        env = self.env
        env.outcomes[f"{request.route} {request.outcome}"] += 1
        if request.outcome == "no response":
            env.report_violation(f"{id_} ended without a response")
        if request.outcome == "answered":
            parts = response.body.replace(b"data: ", b"").split()
            if id_.encode() not in parts or set(parts) - {id_.encode(), b"id:"} - {
                b"%d" % n for n in range(EVENTS_PER_STREAM + 1)
            }:
                env.report_violation(
                    f"{id_} got another request's response: {response.body[:80]!r}"
                )
            if (
                request.route == "stream"
                and response.body.count(b"\n\n") != EVENTS_PER_STREAM
            ):
                env.report_violation(
                    f"{id_} got {response.body.count(b'id: ')} events as complete"
                )
        if (
            request.ended_at > request.deadline + 0.3
            and request.outcome != "node stopped"
        ):
            env.report_violation(
                f"{id_} ended {request.ended_at - request.deadline:.2f} s late"
            )
        if request.outcome == RejectionReason.NO_ROUTE.value:
            self._check_denial(id_, request)
        if env.is_fault_free and node.is_settled:
            counts = self.fault_free_counts[int(env.clock.now() // FAULT_FREE_INTERVAL)]
            # A prompt that ends engines can't be answered.
            is_sound = request.route != "extra" and not self._is_crashing(request)
            counts[1] += is_sound
            counts[0] += request.outcome == "answered" and is_sound
            self._check_config(request)

    def _is_crashing(self, request: ObservedRequest) -> bool:
        return request.path in self.env.crashing_paths or any(
            part in self.env.crashing_parts for part in request.parts
        )

    def _check_denial(self, id_: str, request: ObservedRequest) -> None:
        """Check that a version that may be in force denies a request.

        This holds during faults, too, unless a store that was restored may have
        confirmed an older version meanwhile.
        """
        bound = request.sent_at - BOUNDS.config_apply
        if bound < self.env.config_restored_at + BOUNDS.config_apply:
            return
        before = [state for at, _, state in self.env.published if at <= bound]
        later = [state for at, _, state in self.env.published if at > bound]
        if request.route != "extra" or all([*before[-1:], *later]):
            self.env.report_violation(f"{id_} denied by an outdated configuration")

    def _check_config(self, request: ObservedRequest) -> None:
        """Check that route ``extra`` follows the newest configuration.

        A configuration published after the request was sent, or less than
        ``config_apply`` seconds before, may or may not be applied yet. The check is
        skipped if such a configuration changes the route.
        """
        if request.route != "extra":
            return
        bound = request.sent_at - BOUNDS.config_apply
        applied = [
            has_extra_route
            for at, _, has_extra_route in self.env.published
            if at <= bound
        ]
        later_states = {
            has_extra_route
            for at, _, has_extra_route in self.env.published
            if at > bound
        }
        if not applied or later_states - {applied[-1]}:
            return
        if (request.outcome == RejectionReason.NO_ROUTE.value) == applied[-1]:
            self.env.report_violation(
                f"route extra: {request.outcome}, applied: {applied[-1]}"
            )

    def _check_run(self) -> None:
        env = self.env
        arrival_times: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for id_, request in env.observed.items():
            if request.route == "order" and len(request.run_times) > 1:
                env.report_violation(f"order {id_} ran {len(request.run_times)} times")
            if request.outcome == "not run" and request.run_times:
                env.report_violation(f"{id_} ran though it was rejected as not run")
            if request.outcome == "misstated" and request.route == "order":
                env.report_violation(f"{id_} ran and got a status for not run")
            if request.outcome == "answered" and not request.run_times:
                env.report_violation(f"{id_} was answered without a run")
            for number, at in enumerate(request.arrival_times):
                arrival_times[request.service].append((at, number > 0))
        for service, times in arrival_times.items():
            self._check_budget(service, sorted(times))
        for period, (answered, sent) in self.fault_free_counts.items():
            if sent > 50 and answered < 0.9 * sent:
                env.report_violation(
                    f"{answered} of {sent} answered in fault-free period {period}"
                )

    def _check_budget(self, service: str, times: list[tuple[float, bool]]) -> None:
        """Check the retry budget in every time window.

        :param times: arrival times in order, and whether each arrival is a retry.
        """
        start = first_attempts = retries = 0
        for at, is_retry in times:
            first_attempts, retries = (
                first_attempts + (not is_retry),
                retries + is_retry,
            )
            while times[start][0] <= at - BOUNDS.retry_window:
                first_attempts -= not times[start][1]
                retries -= times[start][1]
                start += 1
            if retries > BOUNDS.retry_ratio * first_attempts + BOUNDS.retry_slack:
                self.env.report_violation(
                    f"{retries} retries for {first_attempts} requests at {service}"
                )
                return


def main() -> None:
    """Run each seed and print outcomes, action counts and violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--engine-troubles", action="store_true")
    parser.add_argument("--crashing-requests", action="store_true")
    parser.add_argument("--evacuations", action="store_true")
    options = parser.parse_args()
    failed = False
    for seed in range(options.seed, options.seed + options.seeds):
        env = GatewaySoak(
            seed,
            options.engine_troubles,
            has_crashing_requests=options.crashing_requests,
            has_evacuations=options.evacuations,
        ).run(options.seconds)
        print(f"seed {seed}: {dict(sorted(env.outcomes.items()))}")
        print(f"  actions: {dict(env.action_counts)}")
        print(
            f"  ends by cause: { ({part: len(at) for part, at in env.ends.items()}) }"
        )
        for violation in env.violations[:10]:
            print(f"  violation: {violation}")
        failed = failed or bool(env.violations)
    raise SystemExit(failed)


if __name__ == "__main__":
    main()
