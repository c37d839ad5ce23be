"""Least-loaded balancing over endpoints that several nodes share.

Each node knows its own requests in flight exactly, and those of its peers, the other
nodes, as of their last update. The endpoint with the least load per slot gets the
request. Ties go to the node's own data centre and then to a random choice, so that
nodes do not all pick the same endpoint. Where the engines' figures and the size of the
prompt are known, :mod:`cyclamenyoke.core.prompt_placement` compares endpoints instead.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random

from cyclamenyoke.core.circuit_breaker import CircuitBreaker, CircuitState, Probe
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.prompt_placement import PromptPlacement, PromptTokens
from cyclamenyoke.core.units import MILLISECOND, SECOND

PEER_LOAD_LIFETIME = 2 * SECOND
"""Seconds for which a peer's last reported load counts without a newer update."""

LOCAL_LOAD_BONUS = 0.02
"""Amount by which the load per slot of endpoints in the node's own data centre is
reduced in comparisons. Between endpoints with the same number of slots, below 50, it
only breaks ties."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of a service's endpoints that may be ejected: one of three."""

BROKEN_GROUP_COOLDOWN = 1 * SECOND
"""Seconds for which an endpoint gets no requests after it reported that another rank of
its engine group has failed. The next request of any node then probes it; a group takes
longer than this to re-form."""

MIN_SUSPECTING_PEERS = 2
"""Number of peers whose circuit for an endpoint must not be closed before this node
ejects it. With a single known peer, that peer suffices."""


REST_REACTION_TIME = 500 * MILLISECOND
"""Seconds after an endpoint's request for a pause within which requests that were on
their way to it may still arrive."""


@dataclass(frozen=True, slots=True)
class Rest:
    """A pause that an incarnation of an endpoint asked this node for."""

    born: int
    since: float
    until: float


@dataclass(slots=True)
class PeerLoad:
    """Load that a peer last reported.

    :param received_at: when the report arrived at this node.
    :param requests: the peer's requests in flight, by endpoint.
    :param customers: the peer's requests in flight, by service and customer.
    :param suspects: endpoints whose circuit is not closed at the peer.
    :param broken: endpoints that reported a broken group to the peer.
    :param unread_tokens: prompt tokens of the peer's requests that wait for their first
        event, by endpoint.
    """

    received_at: float
    requests: Mapping[str, int] = field(default_factory=dict)
    suspects: frozenset[str] = frozenset()
    broken: frozenset[str] = frozenset()
    customers: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    unread_tokens: Mapping[str, int] = field(default_factory=dict)


class Balancer:
    """Tracks the load of each endpoint and chooses between them.

    :param data_centre: this node's data centre.
    :param random: breaks ties between equally loaded endpoints.
    :param limits: the rates that endpoints accept.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        data_centre: str,
        random: Random,
        limits: EngineLimits,
    ) -> None:
        self._registry = registry
        self._limits = limits
        self._data_centre = data_centre
        self._random = random
        self._own_requests: Counter[str] = Counter()
        self._own_customers: dict[str, Counter[str]] = {}
        self._peer_loads: dict[str, PeerLoad] = {}
        # Sums over all peers, maintained incrementally so that the cost of a choice
        # does not grow with the number of peers.
        self._peer_requests: Counter[str] = Counter()
        self._peer_customers: dict[str, Counter[str]] = {}
        self._prompt_tokens = PromptTokens()
        self._breakers: dict[str, CircuitBreaker] = {}
        # Endpoints whose circuit has opened and may not have closed since.
        self._tripped: set[str] = set()
        self._broken_until: dict[str, float] = {}
        self._rests: dict[str, Rest] = {}

    @property
    def own_requests(self) -> dict[str, int]:
        """Requests of this node in flight, by endpoint."""
        return {id_: count for id_, count in self._own_requests.items() if count > 0}

    @property
    def own_customers(self) -> dict[str, dict[str, int]]:
        """Requests of this node in flight, by service and customer."""
        return {
            service: dict(counts)
            for service, counts in self._own_customers.items()
            if counts
        }

    @property
    def pending_probes(self) -> set[Probe]:
        """Probes of half-open circuits that are in flight at this node."""
        return {
            breaker.pending_probe
            for breaker in self._breakers.values()
            if breaker.pending_probe is not None
        }

    @property
    def prompt_tokens(self) -> PromptTokens:
        """Prompt tokens at the endpoints, of this node and its peers."""
        return self._prompt_tokens

    @property
    def suspects(self) -> frozenset[str]:
        """Endpoints whose circuit is not closed at this node."""
        return frozenset(
            id_
            for id_ in self._tripped
            if self._breakers[id_].state is not CircuitState.CLOSED
        )

    def broken(self, now: float) -> frozenset[str]:
        """Return the endpoints that recently reported a broken group to this node.

        A report counts for :data:`BROKEN_GROUP_COOLDOWN`.
        """
        expired = [id_ for id_, until in self._broken_until.items() if until <= now]
        for id_ in expired:
            del self._broken_until[id_]
        return frozenset(self._broken_until)

    def load(self, endpoint: Endpoint) -> int:
        """Return the requests in flight at an endpoint, as far as known."""
        return self.load_by_id(endpoint.id)

    def load_by_id(self, id_: str) -> int:
        """Return the requests in flight at an endpoint by id, as far as known."""
        # Faster than indexing, which calls back into Python for a missing key.
        return self._own_requests.get(id_, 0) + self._peer_requests.get(id_, 0)

    def service_load(self, service: str) -> tuple[int, int]:
        """Return a service's requests in flight and its slots."""
        endpoints = self._registry.usable(service)
        slots = sum(endpoint.slots for endpoint in endpoints)
        return sum(self.load(endpoint) for endpoint in endpoints), slots

    def free_slots(self, service: str, duration: float, now: float) -> tuple[int, int]:
        """Return a service's free slots and all its slots, as far as limits let them.

        :param duration: seconds that a request takes.
        """
        endpoints = self._registry.usable(service)
        slots = self._limits.slots(endpoints, duration, now)
        return slots - sum(self.load(each) for each in endpoints), slots

    def has_open_slot(
        self, service: str, tried: frozenset[str], duration: float, now: float
    ) -> bool:
        """Return whether an untried endpoint has a slot that limits let it fill.

        Unlike in :meth:`free_slots`, requests that wait at one endpoint do not offset
        the free slots of another. An endpoint that asked for a pause has none.

        :param tried: endpoints that have already received the request.
        :param duration: seconds that a request takes.
        """
        return any(
            self._limits.slots([each], duration, now) > self.load(each)
            for each in self._registry.usable(service)
            if each.id not in tried and self._rest_of(each, now) is None
        )

    def customers(self, service: str) -> Counter[str]:
        """Return a service's requests in flight by customer, as far as known."""
        counts = Counter(self._own_customers.get(service))
        counts.update(self._peer_customers.get(service, {}))
        return counts

    def count_customer(self, service: str, customer: str, change: int) -> None:
        """Adjust the number of a customer's requests in flight.

        :param change: 1 for a request that was sent, -1 for one that has ended.
        """
        counts = self._own_customers.setdefault(service, Counter())
        counts[customer] += change
        if not counts[customer]:
            del counts[customer]

    def choose(
        self,
        service: str,
        tried: frozenset[str],
        now: float,
        limit: Callable[[Endpoint], int],
        placement: PromptPlacement | None = None,
    ) -> Endpoint | None:
        """Return the endpoint for a request, or ``None`` if none has capacity.

        :param tried: endpoints that have already received the request.
        :param limit: returns how many requests an endpoint may have in flight.
        :param placement: compares endpoints by the prompts that they have to read;
            ``None`` to compare them by load.
        """
        self._expire_peer_loads(now)
        awake = self._registry.usable(service)
        if self._rests:
            awake = [each for each in awake if self._rest_of(each, now) is None]
        own, peers = self._own_requests.get, self._peer_requests.get
        with_capacity = [
            (load, each)
            for each in self._without_ejected(awake, now)
            if (load := own(id_ := each.id, 0) + peers(id_, 0)) < limit(each)
            and id_ not in tried
        ]
        # Limits and memory are looked up for as few endpoints as possible.
        candidates = (
            self._by_load(with_capacity)
            if placement is None
            else self._by_prompts(with_capacity, placement)
        )
        return next(
            (each for each in candidates if self._limits.allows(each, now)), None
        )

    def available_at(
        self, service: str, tried: frozenset[str], now: float
    ) -> float | None:
        """Return when an untried endpoint accepts requests, whatever its load.

        :returns: ``now``, or the end of the first pause if all untried endpoints asked
            for one; ``None`` if there is no untried endpoint.
        """
        rests = (
            self._rest_of(each, now)
            for each in self._registry.usable(service)
            if each.id not in tried
        )
        return min((rest.until if rest else now for rest in rests), default=None)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's data centre is evacuated.

        An endpoint may have been chosen shortly before this node learned of it.
        """
        return self._registry.is_evacuated(endpoint)

    def check_send(
        self, endpoint: Endpoint, now: float, drain: float, monitor: InvariantMonitor
    ) -> None:
        """Check that a request may be sent to an endpoint.

        :param drain: seconds after which an endpoint that is leaving gets no requests.
        """
        since = self._registry.leaving_since(endpoint)
        monitor.check(
            Invariant.LEAVING_ENDPOINT_SPARED,
            since is None or now <= since + drain,
            f"request sent to {endpoint.id}, which is leaving",
        )
        monitor.check(
            Invariant.EVACUATED_ENDPOINT_SPARED,
            not self.is_evacuated(endpoint),
            f"request sent to {endpoint.id}, whose data centre is evacuated",
        )
        rest = self._rest_of(endpoint, now)
        monitor.check(
            Invariant.RESTING_ENDPOINT_SPARED,
            rest is None or now <= rest.since + REST_REACTION_TIME,
            f"request sent to {endpoint.id}, which asked for a pause",
        )

    def on_sent(self, endpoint: str) -> Probe | None:
        """Count a request at an endpoint; return its probe if it is one."""
        self._own_requests[endpoint] += 1
        return self._breaker(endpoint).on_sent()

    def on_completed(self, endpoint: str, probe: Probe | None = None) -> None:
        """Record that a request at an endpoint has ended.

        :param probe: what :meth:`on_sent` returned for the request.
        """
        self._own_requests[endpoint] -= 1
        if self._own_requests[endpoint] <= 0:
            del self._own_requests[endpoint]
        # The circuit breaker may have been discarded since.
        breaker = self._breakers.get(endpoint)
        if probe is not None and breaker is not None:
            breaker.on_probe_ended(probe)

    def on_success(self, endpoint: str, now: float) -> None:
        """Record a successful response of an endpoint."""
        self._breaker(endpoint).on_success(now)

    def on_failure(self, endpoint: str, now: float, is_certain: bool = False) -> None:
        """Record that an endpoint failed a request.

        :param is_certain: whether this failure alone proves that the endpoint is down.
        """
        breaker = self._breaker(endpoint)
        breaker.on_failure(now, is_certain)
        if breaker.state is not CircuitState.CLOSED:
            self._tripped.add(endpoint)

    def on_broken(self, endpoint: str, now: float) -> None:
        """Record that an endpoint runs nothing because its group is broken."""
        self._broken_until[endpoint] = now + BROKEN_GROUP_COOLDOWN

    def on_rest(self, endpoint: Endpoint, duration: float, now: float) -> None:
        """Record that an endpoint asked this node for a pause.

        :param duration: seconds; a shorter pause does not end a longer one.
        """
        before = self._rest_of(endpoint, now)
        until = max(now + duration, before.until if before else now)
        since = before.since if before else now
        self._rests[endpoint.id] = Rest(endpoint.born, since, until)

    def reset_breakers(self, endpoints: Iterable[str]) -> None:
        """Discard the circuit breakers of endpoints that were removed or added."""
        for id_ in endpoints:
            self._breakers.pop(id_, None)
            self._tripped.discard(id_)

    def on_peer_load(
        self,
        node: str,
        requests: Mapping[str, int],
        suspects: Iterable[str],
        now: float,
        broken: Iterable[str] = (),
        customers: Mapping[str, Mapping[str, int]] | None = None,
        unread_tokens: Mapping[str, int] | None = None,
    ) -> None:
        """Replace the load that a peer last reported."""
        load = PeerLoad(
            now,
            requests,
            frozenset(suspects),
            frozenset(broken),
            customers or {},
            unread_tokens or {},
        )
        self._replace_peer_load(node, load)

    def _expire_peer_loads(self, now: float) -> None:
        oldest = now - PEER_LOAD_LIFETIME
        for node in [
            n for n, peer in self._peer_loads.items() if peer.received_at < oldest
        ]:
            self._replace_peer_load(node, None)

    def _replace_peer_load(self, node: str, load: PeerLoad | None) -> None:
        """Replace a peer's load in the sums; ``None`` removes the peer."""
        last = self._peer_loads.pop(node, None)
        if last is not None:
            _subtract(self._peer_requests, last.requests)
            for service, counts in last.customers.items():
                _subtract(self._peer_customers[service], counts)
        self._prompt_tokens.replace_peer(
            last.unread_tokens if last else {}, load.unread_tokens if load else {}
        )
        if load is None:
            return
        self._peer_loads[node] = load
        self._peer_requests.update(load.requests)
        for service, counts in load.customers.items():
            self._peer_customers.setdefault(service, Counter()).update(counts)

    def _without_ejected(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are not ejected.

        If more than :data:`MAX_EJECTED_SHARE` of them would be ejected, open circuits
        and peers' suspicions are ignored. Otherwise the remaining endpoints would get
        all requests, and overload could eject one after another. Reports of a broken
        group are ignored only if no endpoint would be left.
        """
        broken = self.broken(now).union(
            *(peer.broken for peer in self._peer_loads.values())
        )
        if broken:
            endpoints = [e for e in endpoints if e.id not in broken] or endpoints
        suspicions = Counter(
            id_ for peer in self._peer_loads.values() for id_ in peer.suspects
        )
        if not suspicions and not self._tripped:
            return endpoints
        needed = min(MIN_SUSPECTING_PEERS, max(1, len(self._peer_loads)))
        remaining = [
            each
            for each in endpoints
            if self._allows_request(each.id, now) and suspicions[each.id] < needed
        ]
        if len(remaining) >= (1 - MAX_EJECTED_SHARE) * len(endpoints):
            return remaining
        return endpoints

    def _rest_of(self, endpoint: Endpoint, now: float) -> Rest | None:
        """Return the pause that an endpoint has asked for, if it has not ended."""
        rest = self._rests.get(endpoint.id)
        if rest is None:
            return None
        if rest.born != endpoint.born or rest.until <= now:
            del self._rests[endpoint.id]
            return None
        return rest

    def _allows_request(self, id_: str, now: float) -> bool:
        return id_ not in self._tripped or self._breakers[id_].allows_request(now)

    def _breaker(self, id_: str) -> CircuitBreaker:
        return self._breakers.setdefault(id_, CircuitBreaker())

    def _by_load(self, endpoints: Iterable[tuple[int, Endpoint]]) -> Iterator[Endpoint]:
        """Yield endpoints, given with their loads, by load per slot."""
        local, random = self._data_centre, self._random.random
        # A heap, since all but the first one or two are rarely looked at.
        heap = [
            (
                load / each.slots
                - (LOCAL_LOAD_BONUS if each.data_centre == local else 0.0),
                random(),
                each.id,
                each,
            )
            for load, each in endpoints
        ]
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[-1]

    def _by_prompts(
        self,
        endpoints: Iterable[tuple[int, Endpoint]],
        placement: PromptPlacement,
    ) -> Iterator[Endpoint]:
        """Yield endpoints with memory for a request, the best one first."""
        unread = self._prompt_tokens.unread.get
        # Most endpoints have the same few states, which are compared only once.
        alike: defaultdict[tuple[int, int], list[Endpoint]] = defaultdict(list)
        for load, each in endpoints:
            alike[load, unread(each.id, 0)].append(each)
        for state in sorted(alike, key=lambda state: placement.cost(*state)):
            for each in self._ties_broken(alike[state]):
                own_requests = self._own_requests.get(each.id, 0)
                if placement.has_memory(each.id, state[0], own_requests):
                    yield each

    def _ties_broken(self, endpoints: list[Endpoint]) -> Iterator[Endpoint]:
        """Yield endpoints in random order, those of the own data centre first."""
        local = [each for each in endpoints if each.data_centre == self._data_centre]
        while local:
            yield local.pop(self._random.randrange(len(local)))
        others = [each for each in endpoints if each.data_centre != self._data_centre]
        while others:
            yield others.pop(self._random.randrange(len(others)))


def _subtract(total: Counter[str], counts: Mapping[str, int]) -> None:
    """Subtract counts from a sum and drop the keys that reach zero."""
    for key, count in counts.items():
        total[key] -= count
        if not total[key]:
            del total[key]
