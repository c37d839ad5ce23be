"""The platform's key-value store: values with revisions, lists, watches and leases.

The contract includes failures. Any call may raise :class:`PlatformUnavailable`, and a
write whose response was lost may have taken effect or may take effect later. A store
that is restored from an older copy loses recent writes and leases and begins a new era;
revisions and leases of an earlier era mean nothing in it.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.exceptions import CyclamenyokeError


class RevisionConflict(CyclamenyokeError):
    """The key is not at the expected revision; nothing was written."""


class LeaseExpired(CyclamenyokeError):
    """The lease has expired or was revoked, and its keys were removed."""


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value with the revision that a compare-and-swap must expect.

    :param revision: 0 for a key that does not exist. A watch that ends because the key
        was deleted returns the revision of the deletion instead, unless the store has
        compacted its history.
    :param value: ``None`` for a key that does not exist and for a watch without change.
    :param era: the store's era when it returned the value.
    """

    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position of the value's last change."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class StoredItem:
    """One key-value pair of a list."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KeyList:
    """The result of a list.

    :param revision: revision of the whole store when the first page was read; it never
        decreases within an era.
    :param era: the store's era when it returned the list.
    """

    items: Sequence[StoredItem]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position at which the first page was read."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class PrefixWatch:
    """The result of a watch of all keys that start with a prefix.

    :param has_changed: whether the keys may differ from those at the watched position.
    :param position: position of the last change that is reported. Without one: position
        through which the keys are unchanged, or the watched one if that is not known.
    :param written: keys that exist since these changes, or have a new value.
    :param deleted: keys that these changes have deleted.
    """

    has_changed: bool
    position: StorePosition
    written: frozenset[str] = frozenset()
    deleted: frozenset[str] = frozenset()


class KeyValueStore(ABC):
    """The platform's key-value service."""

    @abstractmethod
    async def get(self, key: str) -> VersionedValue:
        """Return the value of a key.

        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease: int = 0
    ) -> int:
        """Write a value if its revision is the expected one; return the new revision.

        :param expected_revision: 0 if the key must not exist.
        :param lease: id of the lease whose end removes the key; 0 for none.
        :raises RevisionConflict: when the key is at another revision.
        :raises LeaseExpired: when there is no such lease, or it is of an earlier era.
        :raises PlatformUnavailable: when there is no usable response; the write may
            have taken effect or may take effect later.
        """

    @abstractmethod
    async def watch(
        self, key: str, after: StorePosition, deadline: float
    ) -> VersionedValue:
        """Return the value once it has changed after a position.

        Without a change, returns that position with ``None`` as the value, possibly
        before the deadline. In a new era the current value is returned at once, whether
        or not it differs.

        :param deadline: when to return at the latest, on the client's clock.
        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def watch_prefix(
        self, prefix: str, after: StorePosition, deadline: float
    ) -> PrefixWatch:
        """Return once a key that starts with a prefix has changed after a position.

        Without a change, returns at the deadline or before. In a new era, and when the
        store has no history from that position, the keys count as changed at once, and
        no change is reported.

        :param deadline: when to return at the latest, on the client's clock.
        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def list(self, prefix: str) -> KeyList:
        """Return all keys that start with a prefix.

        Long lists are read in pages and are not a consistent snapshot.

        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def grant_lease(self, lifetime: float) -> int:
        """Return the id of a new lease.

        :param lifetime: seconds until the lease expires unless it is renewed.
        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Restart the lifetime of a lease.

        :raises LeaseExpired: when it has expired, was revoked or is of an earlier era.
        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys.

        :raises PlatformUnavailable: when there is no usable response.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
