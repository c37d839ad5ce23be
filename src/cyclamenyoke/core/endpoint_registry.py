"""The endpoints that a gateway knows, and how old that knowledge is.

Gateways that read the platform's list apply complete lists; the others receive
changes and a digest from them. An endpoint that is missing from a list is removed,
except shortly after an outage of the store, when live endpoints may not have registered
again yet.
"""

import hashlib
from collections.abc import Iterable, Mapping

from msgspec import Struct

from cyclamenyoke.core.units import SECOND

REREGISTRATION_GRACE = 2.2 * SECOND
"""Seconds after an outage within which live endpoints register again: about 2 s
according to the platform, plus a tenth."""

CHANGE_RETENTION = 3 * SECOND
"""Seconds for which a change is repeated to other nodes: several gossip rounds."""


class Endpoint(Struct, frozen=True, array_like=True):
    """One incarnation of an engine or of a plain service's server.

    :param slots: requests that it serves at the same time.
    :param is_leaving: whether it is draining and takes no new work.
    :param born: when it started, in milliseconds of Unix time; distinguishes
        restarts under the same id.
    """

    # The digest of an update hashes the repr of each endpoint, and gateways of other
    # versions compare that digest. So the names and the order of the attributes and the
    # name of the class must not change.
    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    born: int


class Change(Struct, frozen=True, array_like=True):
    """One difference between two lists.

    :param endpoint: the new state; ``None`` for an endpoint that was removed.
    :param seen_at: when this node received the change.
    """

    id: str
    endpoint: Endpoint | None
    seen_at: float


class EndpointRegistry:
    """Endpoints by service.

    All times are in seconds on one clock, which keeps running while the VM is
    suspended.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._removable_from: dict[str, float] = {}
        self._changes: list[Change] = []
        self._read_at: float | None = None
        self._revision = 0
        self._is_read_directly = False
        self._failed_at: float | None = None
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
    def revision(self) -> int:
        """Revision of the store when that list was read; orders the states of nodes.

        The age of a list can't order them: it does not include the time in transit, so
        a list that nodes forward to each other would look newer after each hop.
        """
        return self._revision

    @property
    def is_read_directly(self) -> bool:
        """Whether this node read that list itself."""
        return self._is_read_directly

    @property
    def digest(self) -> bytes:
        """Digest of the endpoints; equal on two nodes that know the same ones."""
        return self._digest

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not draining."""
        return self._by_service.get(service, [])

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
        revision: int,
        read_at: float,
        now: float,
        is_read_directly: bool = True,
    ) -> list[Change]:
        """Apply a complete list and return what changed.

        A list that is older than the last one changes nothing.

        :param revision: revision of the store when the list was read.
        :param read_at: when the read began.
        :param is_read_directly: whether this node read the list from the store itself.
        """
        if revision < self._revision:
            return []
        self._revision = revision
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
        self._apply(changes)
        return changes

    def apply_update(
        self,
        changes: Iterable[Change],
        digest: bytes,
        revision: int,
        read_at: float,
        now: float,
        is_read_directly: bool = False,
    ) -> bool:
        """Apply another node's changes.

        :param digest: digest of the other node's endpoints.
        :param revision: revision of the list on which the other node's state is based.
        :param read_at: when that list was read.
        :param is_read_directly: whether the other node read the list from the store
            itself; with an unchanged revision, only then is ``read_at`` used.
        :returns: whether both nodes now know the same endpoints.
        """
        if self._read_at is None or revision < self._revision:
            return digest == self._digest
        if revision == self._revision:
            is_same = digest == self._digest
            if is_same and is_read_directly:
                self._read_at = max(self._read_at, read_at)
            return is_same
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
            self._apply(effective)
        self._revision = revision
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

    def _apply(self, changes: list[Change]) -> None:
        if not changes:
            return
        for change in changes:
            self._removable_from.pop(change.id, None)
        self._endpoints = _with_changes(self._endpoints, changes)
        self._changes += changes
        self._by_service = {}
        for endpoint in self._endpoints.values():
            if not endpoint.is_leaving:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._digest = _digest(self._endpoints)


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
