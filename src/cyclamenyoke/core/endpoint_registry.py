"""The endpoints that a gateway knows, and how old that knowledge is.

Gateways that read the platform's list apply complete lists; the others receive
changes and a digest from them. An endpoint that is missing from a list is removed,
except shortly after an outage of the store, when live endpoints may not have registered
again yet.

A store that was restored from an older copy lists endpoints as they were before. What
this node knew about an incarnation of an endpoint then goes before the list: one that
is leaving gets no more requests, and one that was removed gets none until its entry has
had time to expire again.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec import Struct

from cyclamenyoke.core.decoding import Count, Integer64, Number
from cyclamenyoke.core.store_position import START, StorePosition
from cyclamenyoke.core.units import MINUTE, SECOND

REREGISTRATION_GRACE = 2.2 * SECOND
"""Seconds after an outage within which live endpoints register again: about 2 s
according to the platform, plus a tenth."""

CHANGE_RETENTION = 3 * SECOND
"""Seconds for which a change is repeated to other nodes: several gossip rounds."""


REMOVED_RETENTION = 1 * MINUTE
"""Seconds for which a removed endpoint is remembered: longer than a restored store goes
back in time."""

DEFAULT_REGISTRATION_LIFETIME = 4 * SECOND
"""Seconds after which the store drops the entry of an endpoint that no longer renews
it, unless the settings state a heartbeat."""


class Endpoint(Struct, frozen=True, array_like=True):
    """One incarnation of an engine or of a plain service's server.

    :param slots: requests that it serves at the same time.
    :param is_leaving: whether it is draining and takes no new work.
    :param born: when it started, in milliseconds of Unix time; distinguishes
        restarts under the same id.
    :param is_cold: whether it has not warmed up yet and tolerates few requests.
    """

    # The digest of an update hashes the repr of each endpoint, and gateways of other
    # versions compare that digest. So the names and the order of the attributes and the
    # name of the class must not change.
    id: str
    service: str
    address: str
    data_centre: str
    slots: Count
    is_leaving: bool
    born: Integer64
    is_cold: bool = False


class Change(Struct, frozen=True, array_like=True):
    """One difference between two lists.

    :param endpoint: the new state; ``None`` for an endpoint that was removed.
    :param seen_at: when this node received the change.
    """

    id: str
    endpoint: Endpoint | None
    seen_at: Number


@dataclass(frozen=True, slots=True)
class LeavingEndpoint:
    """An incarnation of an endpoint that is known to be leaving.

    :param since: when this node first knew.
    """

    born: int
    since: float


@dataclass(frozen=True, slots=True)
class RemovedEndpoint:
    """An incarnation of an endpoint that is no longer listed.

    :param era: the store's era in which it was removed.
    """

    born: int
    era: int
    removed_at: float


class EndpointRegistry:
    """Endpoints by service.

    All times are in seconds on one clock, which keeps running while the VM is
    suspended.

    :param registration_lifetime: seconds after which the store drops the entry of an
        endpoint that no longer renews it.
    """

    def __init__(
        self, registration_lifetime: float = DEFAULT_REGISTRATION_LIFETIME
    ) -> None:
        self._registration_lifetime = registration_lifetime
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._removable_from: dict[str, float] = {}
        self._changes: list[Change] = []
        self._read_at: float | None = None
        self._position = START
        self._is_read_directly = False
        self._failed_at: float | None = None
        # By id; counts whatever the list says.
        self._leaving: dict[str, LeavingEndpoint] = {}
        self._removed: dict[str, RemovedEndpoint] = {}
        # By id: when an endpoint that was removed before a restore may be used again.
        self._withheld_until: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._digest = _digest({})

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All endpoints by id."""
        return self._endpoints

    @property
    def read_at(self) -> float | None:
        """When the list on which this state is based was read."""
        return self._read_at

    @property
    def position(self) -> StorePosition:
        """Position of the store when that list was read; orders the states of nodes.

        The age of a list can't order them: it does not include the time in transit, so
        a list that nodes forward to each other would look newer after each hop.
        """
        return self._position

    @property
    def is_read_directly(self) -> bool:
        """Whether this node read that list itself."""
        return self._is_read_directly

    @property
    def digest(self) -> bytes:
        """Digest of the endpoints; equal on two nodes that know the same ones."""
        return self._digest

    @property
    def leaving(self) -> list[tuple[str, int]]:
        """Id and incarnation of endpoints that are leaving, but are listed as ready."""
        return [
            (id_, known.born)
            for id_, known in self._leaving.items()
            if (listed := self._endpoints.get(id_)) is not None
            and listed.born == known.born
            and not listed.is_leaving
        ]

    def leaving_since(self, endpoint: Endpoint) -> float | None:
        """Return since when an endpoint is known to be leaving; ``None`` if it is not.

        An endpoint that was removed from the list counts as well.
        """
        known = self._leaving.get(endpoint.id)
        return known.since if known and known.born == endpoint.born else None

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests."""
        return self._by_service.get(service, [])

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's data centre is evacuated."""
        return endpoint.data_centre in self._evacuated

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Set the data centres whose endpoints get no new requests."""
        self._evacuated = frozenset(data_centres)
        self._index_by_service()

    def mark_leaving(self, id_: str, born: int, now: float) -> bool:
        """Record that an incarnation of an endpoint is leaving.

        It gets no more requests, even if a list still states that it is ready.

        :returns: whether this was not known before.
        """
        listed = self._endpoints.get(id_)
        known = self._leaving.get(id_)
        if listed is None or listed.born != born or (known and known.born == born):
            return False
        self._leaving[id_] = LeavingEndpoint(born, now)
        self._index_by_service()
        return True

    def recent_changes(self, now: float) -> list[Change]:
        """Return the changes that other nodes may not have received yet."""
        self._changes = [
            change
            for change in self._changes
            if change.seen_at > now - CHANGE_RETENTION
        ]
        return self._changes

    def on_list_failed(self, now: float) -> None:
        """Record that the platform's list could not be read."""
        self._failed_at = now

    def apply_list(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        read_at: float,
        now: float,
        is_read_directly: bool = True,
    ) -> list[Change]:
        """Apply a complete list and return what changed.

        A list that is older than the last one changes nothing.

        :param position: position of the store when the list was read.
        :param read_at: when the read began.
        :param is_read_directly: whether this node read the list from the store itself.
        """
        if position < self._position:
            return []
        self._advance(position, now)
        self._is_read_directly = is_read_directly
        self._read_at = read_at
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        changes = [
            Change(each.id, each, now)
            for each in listed.values()
            if self._endpoints.get(each.id) != each
        ]
        changes += [
            Change(id_, None, now)
            for id_ in self._endpoints
            if id_ not in listed and self._is_removed(id_, now)
        ]
        for id_ in listed:
            self._removable_from.pop(id_, None)
        self._apply(changes, now)
        return changes

    def apply_update(
        self,
        changes: Iterable[Change],
        digest: bytes,
        position: StorePosition,
        read_at: float,
        now: float,
        is_read_directly: bool = False,
    ) -> bool:
        """Apply another node's changes.

        :param digest: digest of the other node's endpoints.
        :param position: position of the list on which the other node's state is based.
        :param read_at: when that list was read.
        :param is_read_directly: whether the other node read the list from the store
            itself; with an unchanged position, only then is ``read_at`` used.
        :returns: whether both nodes now know the same endpoints.
        """
        if self._read_at is None or position < self._position:
            return digest == self._digest
        if position == self._position:
            is_same = digest == self._digest
            if is_same and is_read_directly:
                self._read_at = max(self._read_at, read_at)
            return is_same
        effective: list[Change] = []
        if digest != self._digest:
            # If an endpoint changed twice, only its last state counts. Changes that do
            # not lead to the other node's digest start from other endpoints than those
            # known here, so none of them is applied.
            latest = {change.id: change.endpoint for change in changes}
            effective = [
                Change(id_, endpoint, now)
                for id_, endpoint in latest.items()
                if self._endpoints.get(id_) != endpoint
            ]
            if _digest(_with_changes(self._endpoints, effective)) != digest:
                return False
        self._advance(position, now)
        self._apply(effective, now)
        self._is_read_directly = False
        self._read_at = read_at
        return True

    def _is_removed(self, id_: str, now: float) -> bool:
        """Return whether an endpoint that is missing from a list counts as removed.

        If that is shortly after an outage, it is kept until it has had time to register
        again.
        """
        if self._failed_at is not None and now - self._failed_at < REREGISTRATION_GRACE:
            self._removable_from.setdefault(id_, self._failed_at + REREGISTRATION_GRACE)
        return now >= self._removable_from.get(id_, now)

    def _advance(self, position: StorePosition, now: float) -> None:
        """Move to a later position; a new era counts as the end of an outage."""
        is_restored = position.era > self._position.era and self._read_at is not None
        self._position = position
        if is_restored:
            self._failed_at = now

    def _apply(self, changes: list[Change], now: float) -> None:
        expired = [id_ for id_, until in self._withheld_until.items() if until <= now]
        for id_ in expired:
            del self._withheld_until[id_]
        if not changes and not expired:
            return
        for change in changes:
            self._removable_from.pop(change.id, None)
            self._remember(change, now)
        if changes:
            self._endpoints = _with_changes(self._endpoints, changes)
            self._changes += changes
            self._digest = _digest(self._endpoints)
        self._index_by_service()

    def _remember(self, change: Change, now: float) -> None:
        """Keep what is known of an endpoint's incarnation across a restore."""
        before, after = self._endpoints.get(change.id), change.endpoint
        if after is None or before is None or after.born != before.born:
            self._withheld_until.pop(change.id, None)
        if after is None:
            if before is not None:
                removed = RemovedEndpoint(before.born, self._position.era, now)
                self._removed[change.id] = removed
            self._forget_old(now)
            return
        known = self._leaving.get(change.id)
        if after.is_leaving and (known is None or known.born != after.born):
            self._leaving[change.id] = LeavingEndpoint(after.born, now)
        last = self._removed.pop(change.id, None)
        if before is None and last is not None:
            is_restored = last.era < self._position.era and last.born == after.born
            if is_restored:
                until = now + self._registration_lifetime
                self._withheld_until[change.id] = until

    def _forget_old(self, now: float) -> None:
        for id_, removed in list(self._removed.items()):
            if removed.removed_at < now - REMOVED_RETENTION:
                del self._removed[id_]
                if id_ not in self._endpoints:
                    self._leaving.pop(id_, None)

    def _index_by_service(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            if self.leaving_since(endpoint) is not None or self.is_evacuated(endpoint):
                continue
            if endpoint.id not in self._withheld_until:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)


def _with_changes(
    endpoints: Mapping[str, Endpoint], changes: Iterable[Change]
) -> dict[str, Endpoint]:
    """Return the endpoints with some changes applied."""
    changed = dict(endpoints)
    for change in changes:
        if change.endpoint is None:
            changed.pop(change.id, None)
        else:
            changed[change.id] = change.endpoint
    return changed


def _digest(endpoints: Mapping[str, Endpoint]) -> bytes:
    """Return a digest that is equal for equal endpoints."""
    digest = hashlib.blake2b(digest_size=8)
    for _, endpoint in sorted(endpoints.items()):
        digest.update(repr(endpoint).encode())
    return digest.digest()
