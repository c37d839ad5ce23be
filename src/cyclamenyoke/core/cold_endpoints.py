"""Shares the requests that a cold endpoint tolerates among the gateways.

Load: an endpoint that has just started, or has become cold again, crashes when all
gateways together send it more in any second than its service's cold rate times an
overage, plus a slack. Tens to hundreds of gateways notice at about the same time that
it is idle, so what each may send is fixed in advance: a few gateways, picked alike by
all (:mod:`cyclamenyoke.core.node_ring`), have an equal part as a token bucket that
holds one request and begins empty. The others leave the endpoint alone.

Gateways that don't hear each other, or learn late of one that joined, pick different
ones. So two complete sets of picked gateways fit under the bound at once. A gateway
that does not know the others yet has no part, and a silent one keeps its parts until
its registration has expired.

An endpoint that was down, or is new in the list, may be cold before a list says so. It
counts as cold until a list was read in which its entry must have been renewed since.
Endpoints of services without a cold rate have no limit here.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from cyclamenyoke.core.endpoint_registry import (
    DEFAULT_REGISTRATION_LIFETIME,
    Endpoint,
    EndpointRegistry,
)
from cyclamenyoke.core.node_ring import NodeRing
from cyclamenyoke.core.node_settings import Bounds
from cyclamenyoke.core.token_bucket import NO_SHARE, Share, TokenBucket
from cyclamenyoke.core.units import MILLISECOND, SECOND

CONCURRENT_SETS = 2
"""Sets of gateways that may use an endpoint's whole limit at once: those of before and
after a change, or those on both sides of a partition."""

MIN_REQUESTS_PER_NODE = 2
"""Requests a second that each of the gateways that share a limit gets at least. With
one, a gateway would wait longer than a second for its next token."""

RATE_MARGIN = 0.9
"""Part of its bound at which a gateway's bucket is refilled, so that a request that is
a tenth of a second late does not exceed the bound. With 0.8 six gateways used less than
half of a cold rate."""

SUSPICION_LIFETIME = 2 * SECOND
"""Seconds within which the suspicions of two peers must arrive to count: as long as a
peer's load counts."""

NODES_REFRESH_INTERVAL = 100 * MILLISECOND
"""Seconds for which the known gateways are not determined anew."""


@dataclass(frozen=True, slots=True)
class StatedRate:
    """The limit that an endpoint states, while it is lower than its cold rate.

    :param rate: requests a second from all gateways.
    :param sharing_count: number of gateways that share such a limit at most.
    """

    rate: float
    sharing_count: int


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """How an endpoint's limit is divided while it is cold.

    :param count: number of gateways that share it.
    :param rate: requests a second of each.
    """

    count: int
    rate: float


@dataclass(frozen=True, slots=True)
class Suspicion:
    """The last peer whose circuit for an endpoint was not closed."""

    peer: str
    received_at: float


@dataclass(slots=True)
class Part:
    """This gateway's part of one endpoint's limit, while it has one."""

    bucket: TokenBucket
    count: int


class ColdObserver:
    """Receives changes of endpoints; does nothing itself."""

    def on_cold(self, endpoint: str, is_cold: bool) -> None:
        """Handle an endpoint that the list states to be cold, or warm again."""


class ColdEndpoints:
    """The endpoints that are or may be cold, and one gateway's parts of their limits.

    :param ip: this gateway's IP address.
    :param nodes: returns the IP addresses of all other gateways that may exist;
        ``None`` while they are not known yet.
    :param rates: returns the cold rates of the services that have one.
    :param bounds: returns the operators' bounds.
    :param entry_lifetime: seconds after which the store drops the entry of an endpoint
        that no longer renews it.
    """

    def __init__(
        self,
        ip: str,
        nodes: Callable[[], Sequence[str] | None],
        registry: EndpointRegistry,
        rates: Callable[[], Mapping[str, float]],
        bounds: Callable[[], Bounds],
        entry_lifetime: float = DEFAULT_REGISTRATION_LIFETIME,
        observer: ColdObserver | None = None,
    ) -> None:
        self._ip = ip
        self._find_nodes = nodes
        self._registry = registry
        self._rates = rates
        self._bounds = bounds
        self._entry_lifetime = entry_lifetime
        self._observer = observer or ColdObserver()
        # The endpoints as of the last refresh; the registry replaces them at a change.
        self._listed: Mapping[str, Endpoint] = {}
        self._cold: set[str] = set()
        # By id: when an endpoint was last known to be down, or was new.
        self._unconfirmed_since: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._parts: dict[str, Part] = {}
        self._ring: NodeRing | None = None
        self._ring_refresh_at = 0.0
        # Whether the ring picks this gateway, by endpoint and number of gateways.
        self._picks: dict[tuple[str, int], bool] = {}
        self._divided_for: tuple[Bounds, Mapping[str, float]] | None = None
        self._divided: dict[tuple[str, StatedRate | None, int], ColdLimit] = {}

    @property
    def has_rates(self) -> bool:
        """Whether any service has a cold rate."""
        return bool(self._rates())

    @property
    def is_active(self) -> bool:
        """Whether an endpoint may be cold."""
        if self._cold or self._unconfirmed_since:
            return True
        return self._registry.endpoints is not self._listed

    def count(self, now: float) -> int:
        """Return the number of endpoints that get requests at most at a cold rate."""
        self.refresh(now)
        return sum(self.is_limited(each, now) for each in self._listed.values())

    def refresh(self, now: float) -> None:
        """Note what has changed in the list of endpoints."""
        listed = self._registry.endpoints
        if listed is self._listed:
            return
        before, self._listed = self._listed, listed
        for id_ in before.keys() - listed.keys():
            self._forget(id_)
        for id_, endpoint in listed.items():
            known = before.get(id_)
            if known is not endpoint:
                self._on_changed(endpoint, known, bool(before), now)

    def on_unreachable(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint accepted no connection."""
        if self._rates().get(endpoint.service):
            self._unconfirmed_since[endpoint.id] = now

    def on_suspects(self, peer: str, endpoints: Iterable[str], now: float) -> None:
        """Record the endpoints whose circuit is not closed at a peer.

        A suspicion of one peer counts for nothing, of two it does.
        """
        self.refresh(now)
        for id_ in endpoints:
            endpoint = self._listed.get(id_)
            if endpoint is None:
                continue
            last = self._suspicions.get(id_)
            self._suspicions[id_] = Suspicion(peer, now)
            if last is None or last.peer == peer:
                continue
            if now < last.received_at + SUSPICION_LIFETIME:
                self.on_unreachable(endpoint, now)

    def is_limited(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint gets requests at its cold rate at most."""
        self.refresh(now)
        if not endpoint.is_cold and not self._is_unconfirmed(endpoint.id):
            return False
        return self._rates().get(endpoint.service, 0.0) > 0.0

    def share(self, endpoint: Endpoint, stated: StatedRate | None, now: float) -> Share:
        """Return this gateway's part of a limited endpoint's requests.

        A part that was lost and is gained again begins with an empty bucket.

        :param stated: the limit that the endpoint itself states.
        """
        ring = self._current_ring(now)
        if ring is None:
            return NO_SHARE
        limit = self._limit(endpoint.service, stated, len(ring))
        pick = endpoint.id, limit.count
        is_picked = self._picks.get(pick)
        if is_picked is None:
            is_picked = self._picks[pick] = ring.is_picked(*pick)
        if not is_picked:
            self._parts.pop(endpoint.id, None)
            return NO_SHARE
        part = self._parts.get(endpoint.id)
        if part is None:
            # What others sent until now is not known, so the bucket begins empty.
            part = self._parts[endpoint.id] = Part(TokenBucket(0.0, now), limit.count)
        part.count = limit.count
        return Share(limit.rate, part.bucket)

    def total_rate(
        self, endpoint: Endpoint, stated: StatedRate | None, now: float
    ) -> float:
        """Return the requests a second that a limited endpoint gets from all."""
        ring = self._current_ring(now)
        limit = self._limit(endpoint.service, stated, 1 if ring is None else len(ring))
        return limit.count * limit.rate

    def _limit(
        self, service: str, stated: StatedRate | None, node_count: int
    ) -> ColdLimit:
        """Return how a limit is divided; the result is kept until settings change."""
        bounds, rates = self._bounds(), self._rates()
        divided_for = self._divided_for
        if divided_for is None or (
            bounds is not divided_for[0] or rates is not divided_for[1]
        ):
            self._divided_for = bounds, rates
            self._divided.clear()
        key = service, stated, node_count
        limit = self._divided.get(key)
        if limit is None:
            rate = rates.get(service, 0.0)
            limit = self._divided[key] = _divide(rate, stated, node_count, bounds)
        return limit

    def _on_changed(
        self, endpoint: Endpoint, known: Endpoint | None, has_list: bool, now: float
    ) -> None:
        """Note a new state of an endpoint.

        :param has_list: whether this is not the first list, in which all are new.
        """
        rate = self._rates().get(endpoint.service, 0.0)
        is_new = known is None or known.born != endpoint.born
        if is_new and has_list and rate:
            self._unconfirmed_since[endpoint.id] = now
        was_cold = known is not None and known.is_cold
        if endpoint.is_cold:
            self._cold.add(endpoint.id)
        else:
            self._cold.discard(endpoint.id)
            self._parts.pop(endpoint.id, None)
        if rate and endpoint.is_cold != was_cold:
            self._observer.on_cold(endpoint.id, endpoint.is_cold)

    def _is_unconfirmed(self, id_: str) -> bool:
        """Return whether the list may not state yet that an endpoint is cold.

        The entry of an endpoint that is down expires. So one that is still listed after
        that time was renewed by the endpoint after its return.
        """
        since = self._unconfirmed_since.get(id_)
        if since is None:
            return False
        read_at = self._registry.read_at
        if read_at is None or read_at < since + self._entry_lifetime:
            return True
        del self._unconfirmed_since[id_]
        if id_ not in self._cold:
            self._parts.pop(id_, None)
        return False

    def _forget(self, id_: str) -> None:
        self._cold.discard(id_)
        for by_id in (self._unconfirmed_since, self._suspicions, self._parts):
            by_id.pop(id_, None)

    def _current_ring(self, now: float) -> NodeRing | None:
        """Return the known gateways; ``None`` while they are not known."""
        if self._ring is not None and now < self._ring_refresh_at:
            return self._ring
        self._ring_refresh_at = now + NODES_REFRESH_INTERVAL
        nodes = self._find_nodes()
        if nodes is None:
            self._ring = None
            self._parts.clear()
            return None
        if self._ring is None or self._ring.ips != {self._ip, *nodes}:
            self._ring = ring = NodeRing(self._ip, nodes)
            self._picks.clear()
            self._divided.clear()
            # A part that is lost and gained again between two requests begins empty.
            for id_, part in list(self._parts.items()):
                if not ring.is_picked(id_, part.count):
                    del self._parts[id_]
        return self._ring


def _divide(
    rate: float, stated: StatedRate | None, node_count: int, bounds: Bounds
) -> ColdLimit:
    """Divide the rate of a cold endpoint among gateways.

    A bucket of one request that is refilled with less than ``most`` a second lets at
    most ``most`` through in any second.
    """
    per_set = (rate * bounds.cold_overage + bounds.cold_slack) / CONCURRENT_SETS
    count = max(1, int(per_set / MIN_REQUESTS_PER_NODE))
    if stated is not None and stated.rate < rate:
        rate, count = stated.rate, min(count, stated.sharing_count)
    count = min(count, node_count)
    most = max(1, int(per_set / count))
    return ColdLimit(count, min(rate / count, RATE_MARGIN * most))
