"""The lock whose holder alone sends commands to the ranks of engine groups.

It is a key with a lease in the store. The holder also assigns the versions of expert
maps: those of a later holder are higher.
"""

from collections.abc import Callable

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    LeaseExpired,
    VersionedValue,
)

LOCK_KEY = "cyclamenyoke/expert-steward"

LOCK_LIFETIME = 1.5 * SECOND
"""Lifetime of the lock's lease in seconds. If the holder freezes while a pass is held,
another node takes over within this time, before callers time out on the stalled
streams."""

LOCK_MARGIN = 0.3 * SECOND
"""Seconds before the end of the lease at which the holder stops sending commands:
longer than one call may take."""

LOCK_POLL_INTERVAL = 250 * MILLISECOND
"""Seconds between two checks of a lock that another node holds. Each call to the store
has a cost, but demand changes every few seconds, and only one node waits for it."""

RENEW_INTERVAL = 0.4 * SECOND
"""Seconds between two renewals of the lease: two fit between its grant and the
margin."""

VERSIONS_PER_LOCK = 1000
"""Map versions that one lock holder can assign. They start at the number of the lock,
which increases with its position in the store, times this number, so those of a later
holder are higher."""

REVISIONS_PER_ERA = 2**24
"""More revisions than the store loses when it is restored from an older copy."""


class RebalancerLock:
    """The lock, as one node sees it.

    :param node: name of this node.
    :param era_age: returns for how many seconds this node has known a store's era.
    """

    def __init__(
        self,
        store: KeyValueStore,
        node: str,
        era_age: Callable[[int], float],
        clock: Clock,
        log: Log,
    ) -> None:
        self._store = store
        self._node = node
        self._era_age = era_age
        self._clock = clock
        self._log = log
        self._lease = 0
        self._held_until = 0.0
        self._renew_at = 0.0
        self._next_check = 0.0
        self._last_version = 0

    @property
    def is_held(self) -> bool:
        """Whether this node holds the lock and may send commands."""
        return self._clock.now() < self._held_until

    def assign_version(self) -> int:
        """Return a map version that is higher than all before."""
        self._last_version += 1
        return self._last_version

    async def acquire(self) -> bool:
        """Acquire the lock or renew its lease; return whether it was newly acquired.

        :raises PlatformUnavailable: when the store does not answer.
        :raises RevisionConflict: when another node acquires it at the same time.
        :raises LeaseExpired: when the new lease has expired.
        """
        now = self._clock.now()
        if self._lease and now < self._renew_at:
            return False
        if self._lease and await self._renew():
            return False
        if now < self._next_check:
            return False
        if not self._is_free(await self._store.get(LOCK_KEY)):
            self._next_check = now + LOCK_POLL_INTERVAL
            return False
        lease = await self._store.grant_lease(LOCK_LIFETIME)
        # Read again, so that the era is that of the lease.
        found = await self._store.get(LOCK_KEY)
        if not self._is_free(found):
            await self._store.revoke_lease(lease)
            return False
        value = self._node.encode()
        revision = await self._store.compare_and_swap(LOCK_KEY, 0, value, lease)
        self._lease = lease
        number = found.era * REVISIONS_PER_ERA + revision
        self._last_version = number * VERSIONS_PER_LOCK
        self._held_until = now + LOCK_LIFETIME - LOCK_MARGIN
        self._renew_at = now + RENEW_INTERVAL
        self._log.info("expert lock acquired", era=found.era, revision=revision)
        return True

    async def keep(self) -> None:
        """Renew the lease if that is due; without a reply it is held until its end."""
        if self._clock.now() < self._renew_at or not self._lease:
            return
        try:
            await self._renew()
        except PlatformUnavailable as error:
            self._log.info("expert lock not renewed", error=str(error))

    async def release(self) -> None:
        """Release the lock, so that another node can acquire it at once."""
        if not self._lease:
            return
        try:
            await self.revoke()
        except (PlatformUnavailable, LeaseExpired) as error:
            self._log.info("expert lock not released", error=str(error))

    async def revoke(self) -> None:
        """Release the lock.

        :raises PlatformUnavailable: when the store does not answer; the lock then ends
            with its lease.
        """
        lease, self._lease = self._lease, 0
        self._held_until = 0.0
        if lease:
            await self._store.revoke_lease(lease)

    async def _renew(self) -> bool:
        """Renew the lease; return whether the lock is still held."""
        now = self._clock.now()
        # Set first, since commands to many ranks renew the lease on their way.
        self._renew_at = now + RENEW_INTERVAL
        try:
            await self._store.renew_lease(self._lease)
        except LeaseExpired:
            self._lease = 0
            self._held_until = 0.0
            return False
        self._held_until = now + LOCK_LIFETIME - LOCK_MARGIN
        return True

    def _is_free(self, lock: VersionedValue) -> bool:
        """Return whether the lock may be acquired.

        A store that was restored has lost the lock of a holder that may not know yet.
        Its lock counts until the lease would have expired.
        """
        return lock.value is None and self._era_age(lock.era) >= LOCK_LIFETIME
