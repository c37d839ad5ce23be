"""Chooses the agent that a call is sent to.

Load reports lag, so they are only hints. The score of an agent combines the calls that
this entry has in flight there, the load piggybacked on responses, the observed latency,
and the distance. Calls with a common prompt prefix prefer the same few engines; the
share of these calls that each engine keeps slowly follows its reported load. All other
calls go to the better of two random choices, so that entries do not all choose the same
agent. Only an agent itself knows its load exactly; it rejects a call when it is full.
"""

import enum
import hashlib
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random

from cyclamenyoke.core.config import Endpoint, Service, ServiceKind
from cyclamenyoke.core.journal import key_digest, slot_name
from cyclamenyoke.core.messages import Call, Load
from cyclamenyoke.core.units import KIBIBYTE, MILLISECOND, SECOND

PREFIX_BYTES = 1 * KIBIBYTE
"""Leading bytes of a body that identify its prompt prefix."""

TARGET_OCCUPANCY = 0.8
"""Calls per slot above which an engine's prefix calls spill to other engines."""

TARGET_RATIO_TO_MEAN = 1.1
"""Multiple of the service's mean occupancy that replaces :data:`TARGET_OCCUPANCY` when
it is higher, i.e. under high load."""

SPILL_GAIN = 0.03
"""Change of the spill share per load report and unit of excess occupancy."""

ENGINES_PER_PREFIX = 3
"""Engines that the calls of one prefix prefer, in a fixed order."""

LATENCY_SMOOTHING = 0.2
"""Weight of the newest observation in the average latency."""

INITIAL_LATENCY = 50 * MILLISECOND
"""Latency in seconds that is assumed for an agent without a response yet."""

FAILURES_TO_OPEN = 3
"""Consecutive failures after which an agent's circuit opens."""

CIRCUIT_OPEN_DURATION = 5 * SECOND
"""Seconds for which an open circuit lets no call through."""

REMOTE_PENALTY = 5 * MILLISECOND
"""Seconds added to the score of an agent in another data centre."""

MAX_MISSED_REPORTS = 2.5
"""Report intervals without a report after which an agent counts as unresponsive."""

SUBSET_SIZE = 24
"""Maximum number of a model service's engines that one entry has links to."""


def choose_subset(service: Service, entry: str) -> list[Endpoint]:
    """Return the endpoints of a service that one entry uses.

    Each entry takes the engines that come first in the rendezvous order of its name.
    So all engines have about the same number of entries, and few links change when
    engines are added or removed. An entry uses all endpoints of a plain service,
    because an idempotency key may belong to any of them.
    """
    endpoints = service.all_endpoints
    if service.kind is ServiceKind.PLAIN or len(endpoints) <= SUBSET_SIZE:
        return endpoints
    return sorted(endpoints, key=lambda endpoint: _rank(entry, endpoint.name))[
        :SUBSET_SIZE
    ]


class CircuitState(enum.Enum):
    """Which calls an agent receives."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitEvent(enum.Enum):
    """Events that change the state of a circuit."""

    SUCCESS = "success"
    FAILURE = "failure"
    RETRY_TIME = "retry_time"


CIRCUIT_TABLE: dict[tuple[CircuitState, CircuitEvent], CircuitState] = {
    (CircuitState.CLOSED, CircuitEvent.FAILURE): CircuitState.OPEN,
    (CircuitState.OPEN, CircuitEvent.RETRY_TIME): CircuitState.HALF_OPEN,
    (CircuitState.OPEN, CircuitEvent.SUCCESS): CircuitState.CLOSED,
    (CircuitState.HALF_OPEN, CircuitEvent.SUCCESS): CircuitState.CLOSED,
    (CircuitState.HALF_OPEN, CircuitEvent.FAILURE): CircuitState.OPEN,
}
"""Next state by state and event; other events keep the state."""


@dataclass(slots=True)
class AgentView:
    """What an entry knows about one agent.

    :param incarnation: incarnation of the connected agent; empty without a connection.
    :param is_draining: whether the agent takes no new calls.
    :param in_flight: number of calls of this entry at the agent.
    :param latency: average seconds to the first part of a response.
    :param spill_share: share of its prefixes' calls that go to other engines.
    :param failures: number of consecutive failures.
    :param retry_at: when an open circuit becomes half-open.
    :param unresponsive_from: when the agent counts as unresponsive without another
        report.
    """

    endpoint: Endpoint
    incarnation: str = ""
    is_draining: bool = False
    in_flight: int = 0
    load: Load = field(default_factory=Load)
    latency: float = INITIAL_LATENCY
    spill_share: float = 0.0
    failures: int = 0
    circuit: CircuitState = CircuitState.CLOSED
    retry_at: float = 0.0
    unresponsive_from: float = math.inf

    @property
    def is_connected(self) -> bool:
        """Whether calls can be sent."""
        return bool(self.incarnation)

    @property
    def occupancy(self) -> float:
        """Calls per slot, by the higher of this entry's count and the last report."""
        known = max(self.in_flight, self.load.calls)
        return known / self.endpoint.slots

    def on_circuit(self, event: CircuitEvent, now: float) -> None:
        """Apply an event to the circuit."""
        self.circuit = CIRCUIT_TABLE.get((self.circuit, event), self.circuit)
        if self.circuit is CircuitState.OPEN and event is CircuitEvent.FAILURE:
            self.retry_at = now + CIRCUIT_OPEN_DURATION


class Router:
    """Tracks the agents that one entry may use and chooses between them.

    :param data_centre: where this entry runs.
    :param random: the source of random choices.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._views: dict[str, AgentView] = {}
        self._by_service: dict[str, list[str]] = {}
        self._service_of: dict[str, str] = {}

    def configure(self, endpoints: dict[str, list[Endpoint]]) -> None:
        """Set the endpoints of each service from a new configuration."""
        for endpoint in (each for group in endpoints.values() for each in group):
            if endpoint.name in self._views:
                self._views[endpoint.name].endpoint = endpoint
            else:
                self._views[endpoint.name] = AgentView(endpoint)
        self._by_service = {
            service: [endpoint.name for endpoint in group]
            for service, group in endpoints.items()
        }
        self._service_of = {
            endpoint.name: service
            for service, group in endpoints.items()
            for endpoint in group
        }

    def is_configured(self, agent: str) -> bool:
        """Return whether this entry uses an agent in the current configuration."""
        return agent in self._service_of

    def view(self, agent: str) -> AgentView:
        """Return the view of an agent.

        :raises KeyError: for an agent that no configuration has named.
        """
        return self._views[agent]

    def incarnation(self, agent: str) -> str:
        """Return the incarnation of a connected agent, or an empty string."""
        view = self._views.get(agent)
        return view.incarnation if view else ""

    def on_link_up(
        self, agent: str, incarnation: str, is_draining: bool, load: Load
    ) -> None:
        """Record that the link to an agent is up."""
        view = self._views[agent]
        if view.incarnation != incarnation:
            view.in_flight = 0
        view.incarnation = incarnation
        view.unresponsive_from = math.inf
        view.is_draining = is_draining
        view.load = load

    def on_link_down(self, agent: str) -> None:
        """Record that the link to an agent is down."""
        self._views[agent].incarnation = ""

    def on_draining(self, agent: str) -> None:
        """Record that an agent takes no new calls."""
        self._views[agent].is_draining = True

    def on_sent(self, agent: str) -> None:
        """Count a call that was sent."""
        self._views[agent].in_flight += 1

    def on_settled(self, agent: str) -> None:
        """Stop counting a call."""
        view = self._views[agent]
        view.in_flight = max(0, view.in_flight - 1)

    def on_load(self, agent: str, load: Load) -> None:
        """Record the load that came with a response."""
        self._views[agent].load = load

    def on_heartbeat(self, agent: str, unresponsive_from: float) -> None:
        """Record a heartbeat of an agent.

        :param unresponsive_from: when it counts as unresponsive without another one.
        """
        self._views[agent].unresponsive_from = unresponsive_from

    def on_unresponsive(self, agent: str, now: float) -> None:
        """Record that an agent did not react to a call."""
        self._views[agent].unresponsive_from = now

    def on_load_report(self, agent: str, load: Load) -> None:
        """Apply a periodic load report.

        Reports lag, so the spill share follows them slowly: reacting in full to each
        report would make all entries leave an engine and return to it together.
        """
        view = self._views[agent]
        view.load = load
        target = max(
            TARGET_OCCUPANCY, TARGET_RATIO_TO_MEAN * self._mean_occupancy(agent)
        )
        excess = load.calls / view.endpoint.slots - target
        view.spill_share = min(1.0, max(0.0, view.spill_share + SPILL_GAIN * excess))

    def on_latency(self, agent: str, seconds: float, now: float) -> None:
        """Record the time to the first part of a response, which is a success."""
        view = self._views[agent]
        view.latency += LATENCY_SMOOTHING * (seconds - view.latency)
        view.failures = 0
        view.on_circuit(CircuitEvent.SUCCESS, now)

    def on_failure(self, agent: str, now: float) -> None:
        """Record a failure of an agent or its endpoint."""
        view = self._views[agent]
        view.failures += 1
        if view.failures >= FAILURES_TO_OPEN:
            view.on_circuit(CircuitEvent.FAILURE, now)

    def choose(self, call: Call, excluded: Collection[str], now: float) -> str | None:
        """Return the agent for a call, or ``None`` if none is usable.

        :param excluded: agents that the call has already been sent to.
        """
        usable = [
            view
            for view in self._views_of(call.service)
            if view.endpoint.name not in excluded and _is_usable(view, now)
        ]
        if not usable:
            return None
        if call.at_most_once:
            return _rendezvous(_idempotency_slot(call), usable)[0].endpoint.name
        return self._choose_by_load(call, usable).endpoint.name

    def least_queued(self, agents: Collection[str]) -> str | None:
        """Return the agent with the least queued cost, or ``None``.

        Only agents that are connected and not draining are considered.
        """
        usable = [
            self._views[agent]
            for agent in agents
            if self._views[agent].is_connected and not self._views[agent].is_draining
        ]
        if not usable:
            return None
        return min(usable, key=lambda view: view.load.queued_cost).endpoint.name

    def _views_of(self, service: str) -> Iterable[AgentView]:
        return (self._views[name] for name in self._by_service.get(service, []))

    def _choose_by_load(self, call: Call, usable: list[AgentView]) -> AgentView:
        for view in _rendezvous(_prefix_digest(call), usable)[:ENGINES_PER_PREFIX]:
            if self._random.random() >= view.spill_share:
                return view
        pair = self._random.sample(usable, min(2, len(usable)))
        return min(pair, key=self._score)

    def _mean_occupancy(self, agent: str) -> float:
        views = list(self._views_of(self._service_of[agent]))
        return sum(view.load.calls / view.endpoint.slots for view in views) / len(views)

    def _score(self, view: AgentView) -> float:
        is_local = view.endpoint.data_centre == self._data_centre
        distance = 0.0 if is_local else REMOTE_PENALTY
        return (1 + view.occupancy) * view.latency + distance


def _is_usable(view: AgentView, now: float) -> bool:
    if not view.is_connected or view.is_draining or view.unresponsive_from <= now:
        return False
    if view.circuit is CircuitState.OPEN and now >= view.retry_at:
        view.on_circuit(CircuitEvent.RETRY_TIME, now)
    return view.circuit is not CircuitState.OPEN


def _idempotency_slot(call: Call) -> str:
    return slot_name(call.service, key_digest(call.service, call.customer, call.key))


def _prefix_digest(call: Call) -> str:
    prefix = call.customer.encode() + call.body[:PREFIX_BYTES]
    return hashlib.blake2b(prefix, digest_size=8).hexdigest()


def _rendezvous(name: str, views: list[AgentView]) -> list[AgentView]:
    return sorted(views, key=lambda view: _rank(name, view.endpoint.name))


def _rank(name: str, endpoint: str) -> bytes:
    """Return the sort key of an endpoint in the rendezvous order of a name."""
    text = f"{name}\0{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
