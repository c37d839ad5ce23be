"""Bounds the memory that callers occupy in a node.

The load that this answers: many callers that send large bodies at the same time and
stop short of their end, pipeline requests, or don't read their responses. A limit for
each connection bounds no sum.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE, SECOND

IDLE_PROCESS_BYTES = 32 * MEBIBYTE
"""Memory of a process without any caller, which its callers can't have."""

CALLERS_SHARE = 3 / 8
"""Part of a process's other memory that callers may occupy. The rest is for responses,
the state of the site and what is allocated for a moment."""

SMALL_REQUESTS_SHARE = 1 / 4
"""Part of the callers' memory that only small requests get."""

CONNECTION_BYTES = 16 * KIBIBYTE
"""Memory of an open connection without a request."""

REQUEST_BYTES = 1 * KIBIBYTE
"""Memory of a request without headers and body."""

HEADER_BYTES = 160
"""Memory of a header besides its characters."""

TEXT_COPIES = 2
"""Copies of a request's text: what was received, and what is sent to the endpoint."""

SMALL_REQUEST_BYTES = 64 * KIBIBYTE
"""Memory of the requests of a connection up to which they are small."""

LARGE_REQUEST_TIME = 1 * SECOND
"""Seconds for which a large request keeps its memory, at least."""

SMALL_REQUEST_TIME = 5 * SECOND
"""Seconds for which small requests keep their memory, at least."""

STALLED_RESPONSE_TIME = 5 * SECOND
"""Seconds after which a response counts as stalled if its caller reads nothing."""


def caller_memory_limit(memory_bytes: int) -> int:
    """Return what the callers of a process may occupy, in bytes.

    >>> caller_memory_limit(232 * MEBIBYTE) // MEBIBYTE
    75

    :param memory_bytes: memory of the whole process.
    """
    return int(max(0, memory_bytes - IDLE_PROCESS_BYTES) * CALLERS_SHARE)


def request_cost(header_count: int, header_bytes: int, body_bytes: int) -> int:
    """Return the memory that a request occupies, in bytes."""
    text_bytes = TEXT_COPIES * (header_bytes + body_bytes)
    return REQUEST_BYTES + header_count * HEADER_BYTES + text_bytes


class MemoryHolder(ABC):
    """A caller's connection, which gives memory back when there is no more."""

    @abstractmethod
    def refuse_unserved(self) -> None:
        """Refuse the requests that are received or wait, and free them."""

    @abstractmethod
    def reset(self) -> None:
        """Close at once, without the rest of the response."""


@dataclass(slots=True)
class MemoryShare:
    """What one connection occupies, in bytes.

    :param incoming: of the request that is being received.
    :param waiting: of whole requests that are not yet handled.
    :param running: of the request that is handled.
    :param unsent: of responses.
    :param unread: what the kernel may hold while the connection is not read.
    :param unserved_since: since when it has requests that are received or wait.
    :param stalled_since: since when its caller has read nothing of ``unsent``.
    :param is_expected: whether the last request names a route and a key that are known.
    """

    incoming: int = 0
    waiting: int = 0
    running: int = 0
    unsent: int = 0
    unread: int = 0
    unserved_since: float = 0.0
    stalled_since: float = 0.0
    is_expected: bool = True

    @property
    def unserved(self) -> int:
        """Bytes that can be released without a request that is passed on."""
        return self.incoming + self.waiting

    @property
    def total(self) -> int:
        """All bytes of the connection."""
        parts = self.unserved + self.running + self.unsent + self.unread
        return CONNECTION_BYTES + parts

    @property
    def is_small(self) -> bool:
        """Whether its requests that are received or wait are small."""
        return self.unserved <= SMALL_REQUEST_BYTES


class CallerMemory:
    """The memory of a node that its callers occupy.

    Whoever finds no room is refused, unless others have held theirs for long: first
    those whose requests aren't expected to be allowed, then those with the largest
    product of size and time. Requests that are handled keep their memory. Responses are
    never refused room, since they are in memory already; those that callers don't read
    are given up for small requests if nothing else is left.

    :param limit: bytes that all connections may occupy together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._large_limit = limit - int(limit * SMALL_REQUESTS_SHARE)
        self._held = 0
        self._shares: dict[MemoryHolder, MemoryShare] = {}

    @property
    def limit(self) -> int:
        """Bytes that all connections may occupy together."""
        return self._limit

    @property
    def held(self) -> int:
        """Bytes that all connections occupy now."""
        return self._held

    def open(self, holder: MemoryHolder, now: float) -> bool:
        """Register a connection; return false if there is no room for it."""
        if not self._find_room(CONNECTION_BYTES, self._limit, holder, now):
            return False
        self._shares[holder] = MemoryShare()
        self._held += CONNECTION_BYTES
        return True

    def close(self, holder: MemoryHolder) -> None:
        """Release all that a connection occupies."""
        share = self._shares.pop(holder, None)
        if share is not None:
            self._held -= share.total

    def expect(self, holder: MemoryHolder, is_expected: bool) -> None:
        """Note whether a connection's request is likely to be allowed."""
        share = self._shares.get(holder)
        if share is not None:
            share.is_expected = is_expected

    def receive(self, holder: MemoryHolder, size: int, now: float) -> bool:
        """Set the bytes of the request that is being received.

        :returns: whether there is room for it. Otherwise it keeps what it has.
        """
        share = self._shares.get(holder)
        if share is None:
            return True
        growth = size - share.incoming
        if growth > 0:
            is_small = share.unserved + growth <= SMALL_REQUEST_BYTES
            limit = self._limit if is_small else self._large_limit
            if not self._find_room(growth, limit, holder, now):
                return False
        if not share.unserved:
            share.unserved_since = now
        share.incoming = size
        self._held += growth
        return True

    def complete(self, holder: MemoryHolder) -> int:
        """Let the request that was received wait; return its bytes."""
        share = self._shares.get(holder)
        if share is None:
            return 0
        size = share.incoming
        share.incoming = 0
        share.waiting += size
        return size

    def start(self, holder: MemoryHolder, size: int) -> None:
        """Note that a request that waited is handled.

        :param size: what :meth:`complete` returned for it.
        """
        share = self._shares.get(holder)
        if share is not None:
            share.waiting -= size
            share.running += size

    def finish(self, holder: MemoryHolder) -> None:
        """Release the request that was handled."""
        share = self._shares.get(holder)
        if share is not None:
            self._held -= share.running
            share.running = 0

    def release_unserved(self, holder: MemoryHolder) -> None:
        """Release the requests that are received or wait."""
        share = self._shares.get(holder)
        if share is not None:
            self._release_unserved(share)

    def set_unread(self, holder: MemoryHolder, size: int) -> None:
        """Set the bytes that the kernel may hold for a connection."""
        share = self._shares.get(holder)
        if share is not None:
            self._held += size - share.unread
            share.unread = size

    def set_unsent(self, holder: MemoryHolder, size: int, now: float) -> None:
        """Set the bytes of responses that a caller has not read."""
        share = self._shares.get(holder)
        if share is None:
            return
        growth = size - share.unsent
        if growth < 0 or not share.unsent:
            share.stalled_since = now
        share.unsent = size
        self._held += growth
        if growth > 0 and self._held > self._limit:
            self._find_room(0, self._limit, holder, now)

    def is_stalled(self, holder: MemoryHolder, now: float) -> bool:
        """Return whether a caller has read nothing of its responses for long."""
        share = self._shares.get(holder)
        if share is None or not share.unsent:
            return False
        return now - share.stalled_since >= STALLED_RESPONSE_TIME

    def _find_room(
        self, size: int, limit: int, claimant: MemoryHolder, now: float
    ) -> bool:
        """Return whether there is room, after others are refused if need be."""
        excess = self._held + size - limit
        if excess <= 0:
            return True
        share = self._shares.get(claimant, MemoryShare())
        is_small = limit == self._limit
        refusable = [
            (not other.is_expected, other.unserved * (now - other.unserved_since), key)
            for key, other in self._shares.items()
            if key is not claimant and _may_refuse(other, share, is_small, now)
        ]
        refusable.sort(key=lambda entry: entry[:2], reverse=True)
        refused = []
        for *_, holder in refusable:
            if excess <= 0:
                break
            refused.append(holder)
            excess -= self._shares[holder].unserved
        stalled = self._stalled(excess, claimant, now) if is_small else []
        excess -= sum(self._shares[holder].unsent for holder in stalled)
        # Nobody is refused in vain.
        if excess > 0 and size:
            return False
        for holder in refused:
            self._release_unserved(self._shares[holder])
            holder.refuse_unserved()
        for holder in stalled:
            self._release_unsent(holder)
            holder.reset()
        return excess <= 0

    def _stalled(
        self, excess: int, claimant: MemoryHolder, now: float
    ) -> list[MemoryHolder]:
        """Return whose responses have stalled longest, as many as make up a size."""
        if excess <= 0:
            return []
        stalled = [
            (share.stalled_since, share.unsent, holder)
            for holder, share in self._shares.items()
            if holder is not claimant and self.is_stalled(holder, now)
        ]
        stalled.sort(key=lambda entry: entry[0])
        holders = []
        for _, unsent, holder in stalled:
            if excess <= 0:
                break
            holders.append(holder)
            excess -= unsent
        return holders

    def _release_unserved(self, share: MemoryShare) -> None:
        self._held -= share.unserved
        share.incoming = share.waiting = 0

    def _release_unsent(self, holder: MemoryHolder) -> None:
        share = self._shares[holder]
        self._held -= share.unsent
        share.unsent = 0


def _may_refuse(
    share: MemoryShare, claimant: MemoryShare, is_small: bool, now: float
) -> bool:
    """Return whether a connection's requests may be refused for those of another.

    :param is_small: whether the other's are small.
    """
    if not share.unserved:
        return False
    if claimant.is_expected and not share.is_expected:
        return True
    if share.is_expected and not claimant.is_expected:
        return False
    if share.is_small and not is_small:
        return False
    kept_for = SMALL_REQUEST_TIME if share.is_small else LARGE_REQUEST_TIME
    return now - share.unserved_since >= kept_for
