"""Shares the rate that an engine in need accepts among the nodes that send to it.

Load: an engine states how many requests a second it takes from all nodes together.
Nodes that each take what seems left would overrun it together, and a node can't know in
time what the others have just sent. So each limit is divided in advance: a few nodes,
picked alike by all, get an equal part, as a token bucket that holds one request. The
others leave the engine alone. How many nodes share a limit is bounded by the burst that
the engine bears if all of them were idle before.

Endpoints of a service are given to nodes in turn, so that each node has its part of
some of them. A silent node keeps its parts until it must be gone; a node that takes
parts over starts with empty buckets.

While an endpoint is cold it tolerates a rate that its service states
(:mod:`cyclamenyoke.core.cold_endpoints`); a lower one that it states itself goes first.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import ceil, inf

from msgspec import Struct

from cyclamenyoke.core.cold_endpoints import ColdEndpoints, StatedRate
from cyclamenyoke.core.decoding import Integer64, Number
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.node_ring import ring_position
from cyclamenyoke.core.token_bucket import NO_SHARE, Share, TokenBucket
from cyclamenyoke.core.units import MILLISECOND, MINUTE, SECOND

BURST_TIME = 2 * SECOND
"""Seconds of an engine's rate that the full buckets of all nodes may hold together,
besides :data:`MIN_SHARING_NODES` requests. That bounds how many nodes share a limit."""

MIN_SHARING_NODES = 2
"""Nodes that share the limit of an engine at least."""

MIN_RATE = 0.1
"""Least requests a second that an engine gets. Without any, its nodes would not learn
that it has lifted its limit."""

LIMIT_LIFETIME = 10 * MINUTE
"""Seconds for which a limit counts that no response has stated again. It is long, since
an engine without requests states nothing, and the next ones may be many."""

REORDER_TIME = 100 * MILLISECOND
"""Only the response to a request that was sent this much after a limit was last stated
lifts it; others may have left the engine before it stated the limit."""

ANNOUNCE_TIME = 1 * SECOND
"""Seconds for which a limit is repeated in updates to peers; some get lost."""

ANNOUNCE_INTERVAL = 8 * SECOND
"""Seconds after which a limit that is still stated is announced again."""

NODES_REFRESH_INTERVAL = 100 * MILLISECOND
"""Seconds for which the nodes that share limits are not determined anew."""


class LimitNotice(Struct, frozen=True, array_like=True):
    """What a node knows of an endpoint's limit, for its peers.

    :param born: incarnation of the endpoint.
    :param rate: requests a second from all nodes; negative if the limit was lifted.
    :param age: seconds since a response stated that.
    """

    endpoint: str
    born: Integer64
    rate: Number
    age: Number


@dataclass(slots=True)
class StatedLimit:
    """The last statement of an endpoint.

    :param rate: requests a second from all nodes; ``None`` if the limit was lifted.
    :param since: when the limit began.
    :param stated_at: when the statement was last made.
    """

    born: int
    rate: float | None
    since: float
    stated_at: float
    announce_until: float = 0.0


class LimitObserver:
    """Receives changes of limits; does nothing itself."""

    def on_limit(self, endpoint: str, rate: float | None) -> None:
        """Handle a limit that was stated, or lifted (``None``)."""


class EngineLimits:
    """The limits that one node knows, and its parts of them.

    :param ip: this node's IP address.
    :param nodes: returns the IP addresses of all nodes that may send requests.
    :param endpoints: returns the usable endpoints of a service.
    :param on_change: called when there is news for peers.
    :param cold: the endpoints that are cold; ``None`` if none ever is.
    """

    def __init__(
        self,
        ip: str,
        nodes: Callable[[float], Iterable[str]],
        endpoints: Callable[[str], Sequence[Endpoint]],
        observer: LimitObserver | None = None,
        on_change: Callable[[], None] = lambda: None,
        cold: ColdEndpoints | None = None,
    ) -> None:
        self._ip = ip
        self._own_place = 0
        self._find_nodes = nodes
        self._endpoints = endpoints
        self._observer = observer or LimitObserver()
        self.on_change = on_change
        self._cold = cold
        self._limits: dict[str, StatedLimit] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._nodes: list[str] = []
        self._nodes_determined_at: float | None = None
        # By service: its endpoints, and the place of each among them.
        self._places: dict[str, tuple[Sequence[Endpoint], dict[str, int]]] = {}

    @property
    def has_cold_rates(self) -> bool:
        """Whether a service states how many requests its cold endpoints tolerate."""
        return self._cold is not None and self._cold.has_rates

    def on_unreachable(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint accepted no connection."""
        if self._cold is not None:
            self._cold.on_unreachable(endpoint, now)

    def on_suspects(self, peer: str, endpoints: Iterable[str], now: float) -> None:
        """Record the endpoints whose circuit is not closed at a peer."""
        if self._cold is not None:
            self._cold.on_suspects(peer, endpoints, now)

    def on_response(
        self, endpoint: Endpoint, rate: float | None, sent_at: float, now: float
    ) -> None:
        """Record what a response stated.

        :param rate: the limit in requests a second; ``None`` if it stated none.
        :param sent_at: when the request was sent.
        """
        known = self._current(endpoint.id, endpoint.born, now)
        if rate is None:
            if known is None or known.rate is None:
                return
            if sent_at < known.stated_at + REORDER_TIME:
                return
        self._apply(endpoint.id, endpoint.born, rate, now, now, now)

    def merge(self, notices: Iterable[LimitNotice], now: float) -> None:
        """Add what a peer knows."""
        for each in notices:
            known = self._current(each.endpoint, each.born, now)
            stated_at = now - each.age
            if known is not None and stated_at <= known.stated_at:
                continue
            rate = each.rate if each.rate >= 0 else None
            if rate is None and known is None:
                continue
            # What this node sent before a restart, and others until now, is not known.
            since = -inf if known is None else now
            self._apply(each.endpoint, each.born, rate, stated_at, now, since)

    def news(self, now: float) -> tuple[LimitNotice, ...]:
        """Return what peers may not have received yet."""
        if not self._limits:
            return ()
        self._drop_expired(now)
        return tuple(
            LimitNotice(
                id_,
                limit.born,
                -1.0 if limit.rate is None else limit.rate,
                now - limit.stated_at,
            )
            for id_, limit in self._limits.items()
            if limit.announce_until > now
        )

    def announce_all(self, now: float) -> None:
        """Tell peers all limits again, since one of them may have missed some."""
        for limit in self._limits.values():
            limit.announce_until = now + ANNOUNCE_TIME

    def wait(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the seconds until this node may send a request to an endpoint.

        :returns: ``None`` if this node has no part of the endpoint's limit.
        """
        share = self._share(endpoint, now)
        return 0.0 if share is None else share.wait(now)

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether this node may send a request to an endpoint now."""
        if self._is_unlimited():
            return True
        return self.wait(endpoint, now) == 0.0

    def on_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request to an endpoint against this node's part of its limit."""
        if self._is_unlimited():
            return
        share = self._share(endpoint, now)
        if share is not None:
            share.take(now)

    def wait_of_service(
        self, service: str, tried: frozenset[str], position: int, now: float
    ) -> float:
        """Return the seconds until limits let through this node's next requests.

        :param tried: endpoints that are not used again.
        :param position: which of this node's waiting requests is meant; 1 is the next.
        :returns: 0 if an endpoint has no limit; infinity if this node has no part.
        """
        if self._is_unlimited():
            return 0.0
        waits, total_rate = [], 0.0
        for endpoint in self._endpoints(service):
            if endpoint.id in tried:
                continue
            share = self._share(endpoint, now)
            if share is None:
                return 0.0
            wait = share.wait(now)
            if wait is not None:
                waits.append(wait)
                total_rate += share.rate
        if not waits:
            return float("inf")
        return min(waits) + (position - 1) / total_rate

    def slots(self, endpoints: Iterable[Endpoint], duration: float, now: float) -> int:
        """Return how many slots of endpoints their limits let all nodes fill.

        :param duration: seconds that a request takes.
        """
        if self._is_unlimited():
            return sum(each.slots for each in endpoints)
        return sum(self._slots_of(each, duration, now) for each in endpoints)

    def _slots_of(self, endpoint: Endpoint, duration: float, now: float) -> int:
        rate = self._total_rate(endpoint, now)
        if rate is None:
            return endpoint.slots
        return min(endpoint.slots, max(1, ceil(rate * duration)))

    def _is_unlimited(self) -> bool:
        """Return whether no endpoint has a limit."""
        return not self._limits and (self._cold is None or not self._cold.is_active)

    def _share(self, endpoint: Endpoint, now: float) -> Share | None:
        """Return this node's part of an endpoint's limit; ``None`` without a limit."""
        limit = self._limit_of(endpoint, now)
        if self._cold is not None and self._cold.is_limited(endpoint, now):
            # The bucket of the stated limit begins empty once the endpoint is warm.
            self._buckets.pop(endpoint.id, None)
            return self._cold.share(endpoint, _stated_rate(limit), now)
        if limit is None:
            return None
        rate = self._own_rate(endpoint, limit, now)
        if rate is None:
            return NO_SHARE
        return Share(rate, self._bucket(endpoint.id, limit, now))

    def _total_rate(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the requests a second of all nodes; ``None`` without a limit."""
        limit = self._limit_of(endpoint, now)
        if self._cold is not None and self._cold.is_limited(endpoint, now):
            return self._cold.total_rate(endpoint, _stated_rate(limit), now)
        return None if limit is None else limit.rate

    def _limit_of(self, endpoint: Endpoint, now: float) -> StatedLimit | None:
        """Return the limit in force at an endpoint; ``None`` without one."""
        limit = self._current(endpoint.id, endpoint.born, now)
        return None if limit is None or limit.rate is None else limit

    def _current(self, id_: str, born: int, now: float) -> StatedLimit | None:
        limit = self._limits.get(id_)
        if limit is None:
            return None
        if limit.born != born or limit.stated_at < now - LIMIT_LIFETIME:
            return None
        return limit

    def _apply(
        self,
        id_: str,
        born: int,
        rate: float | None,
        stated_at: float,
        now: float,
        since: float,
    ) -> None:
        """Note a statement.

        :param since: when the limit began, unless it was known before.
        """
        known = self._current(id_, born, now)
        is_new = known is None or known.rate != rate
        if known is None or known.rate is None or rate is None:
            self._buckets.pop(id_, None)
        if known is not None and known.rate is not None:
            since = known.since
        announce_until = 0.0 if known is None else known.announce_until
        if is_new or now > announce_until + ANNOUNCE_INTERVAL:
            announce_until = now + ANNOUNCE_TIME
        self._limits[id_] = StatedLimit(born, rate, since, stated_at, announce_until)
        if is_new:
            self._observer.on_limit(id_, rate)
            self.on_change()

    def _drop_expired(self, now: float) -> None:
        for id_, limit in list(self._limits.items()):
            if limit.stated_at < now - LIMIT_LIFETIME:
                del self._limits[id_]
                self._buckets.pop(id_, None)

    def _own_rate(
        self, endpoint: Endpoint, limit: StatedLimit, now: float
    ) -> float | None:
        """Return this node's part of a limit; ``None`` if it has none.

        A part that was lost and is gained again begins with an empty bucket.
        """
        rate = limit.rate or 0.0
        nodes = self._current_nodes(now)
        count = min(len(nodes), _sharing_count(rate))
        places = self._places_of(endpoint.service)
        first = places.get(endpoint.id, 0) * len(nodes) // max(1, len(places))
        if (self._own_place - first) % len(nodes) < count:
            return max(MIN_RATE, rate) / count
        self._buckets.pop(endpoint.id, None)
        return None

    def _places_of(self, service: str) -> dict[str, int]:
        """Return the place of each endpoint among those of a service, by id."""
        endpoints = self._endpoints(service)
        known = self._places.get(service)
        if known is None or known[0] is not endpoints:
            ids = sorted((each.id for each in endpoints), key=ring_position)
            known = endpoints, {id_: place for place, id_ in enumerate(ids)}
            self._places[service] = known
        return known[1]

    def _current_nodes(self, now: float) -> list[str]:
        """Return the nodes that share limits, in an order that all nodes agree on."""
        determined_at = self._nodes_determined_at
        if determined_at is None or now > determined_at + NODES_REFRESH_INTERVAL:
            ips = {self._ip, *self._find_nodes(now)}
            self._nodes = sorted(ring_position(ip) for ip in ips)
            self._own_place = bisect_left(self._nodes, ring_position(self._ip))
            self._nodes_determined_at = now
        return self._nodes

    def _bucket(self, id_: str, limit: StatedLimit, now: float) -> TokenBucket:
        bucket = self._buckets.get(id_)
        if bucket is None:
            # A limit that was just stated replaces requests that went there anyway; a
            # part that another node had until now may be spent.
            is_taken_over = now > limit.since + ANNOUNCE_TIME
            bucket = TokenBucket(0.0 if is_taken_over else 1.0, now)
            self._buckets[id_] = bucket
        return bucket


def _sharing_count(rate: float) -> int:
    """Return the number of nodes that share a limit at most."""
    return int(rate * BURST_TIME) + MIN_SHARING_NODES


def _stated_rate(limit: StatedLimit | None) -> StatedRate | None:
    if limit is None or limit.rate is None:
        return None
    return StatedRate(max(MIN_RATE, limit.rate), _sharing_count(limit.rate))
