"""Copies of requests that ended nodes left at silent endpoints.

A frozen endpoint reads at once what it was sent in many windows of the retry budget.
The node that repeated such requests elsewhere counts the copies; one that is killed
can't. The other nodes know how many it had, tell those that start, and count them
together.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from msgspec import Struct

from cyclamenyoke.core.decoding import Integer64, Number

COPY_LIFETIME_WINDOWS = 3
"""Windows after which a request that a silent endpoint has not read is forgotten."""

MAX_NOTICES = 32
"""Notices in one update to peers."""

MAX_ORPHANS = 1024
"""Ended starts and endpoints that are remembered."""

Copies = Mapping[str, Mapping[str, int]]
"""Numbers of copies by service and endpoint."""


class OrphanNotice(Struct, frozen=True, array_like=True):
    """Copies that one start of a node left at one endpoint.

    :param ip: the node.
    :param incarnation: its start, in microseconds of Unix time.
    :param count: number of requests that the endpoint may read later, or has read
        within a window.
    :param remaining: seconds for which they count if the endpoint stays silent.
    """

    ip: str
    incarnation: Integer64
    service: str
    endpoint: str
    count: Integer64
    remaining: Number


@dataclass(slots=True)
class _Orphan:
    count: int
    expires_at: float


_Key = tuple[str, int, str, str]


@dataclass(slots=True)
class OrphanedCopies:
    """What is known of the copies that ended starts of nodes have left.

    >>> orphans = OrphanedCopies(lambda: 10.0)
    >>> orphans.adopt("10.0.0.2", 5, {"app": {"i-1": 4}}, heard_at=1.0)
    >>> orphans.count("app", now=2.0)
    4
    >>> orphans.on_heard("app", "i-1", now=3.0)
    >>> orphans.count("app", now=12.9), orphans.count("app", now=13.0)
    (4, 0)

    :param window: length of the retry budget's window in seconds.
    """

    window: Callable[[], float]
    _orphans: dict[_Key, _Orphan] = field(default_factory=dict)

    def adopt(self, ip: str, incarnation: int, copies: Copies, heard_at: float) -> None:
        """Count the copies of a start that has ended, or is silent.

        :param heard_at: when it told of them.
        """
        expires_at = heard_at + COPY_LIFETIME_WINDOWS * self.window()
        for service, by_endpoint in copies.items():
            for endpoint, count in by_endpoint.items():
                self._add((ip, incarnation, service, endpoint), count, expires_at)

    def disown(self, ip: str, incarnation: int) -> None:
        """Leave the copies to the node itself, which is still running."""
        for key in [key for key in self._orphans if key[:2] == (ip, incarnation)]:
            del self._orphans[key]

    def merge(
        self, notices: Iterable[OrphanNotice], running: Mapping[str, int], now: float
    ) -> None:
        """Apply what a peer knows.

        :param running: starts that are known to be running, by IP address.
        """
        for each in notices:
            if running.get(each.ip) == each.incarnation or each.remaining <= 0:
                continue
            key = each.ip, each.incarnation, each.service, each.endpoint
            lifetime = COPY_LIFETIME_WINDOWS * self.window()
            self._add(key, each.count, now + min(each.remaining, lifetime))

    def _add(self, key: _Key, count: int, expires_at: float) -> None:
        known = self._orphans.get(key)
        if known is not None:
            known.count = max(known.count, count)
            known.expires_at = min(known.expires_at, expires_at)
        elif len(self._orphans) < MAX_ORPHANS and count > 0:
            self._orphans[key] = _Orphan(count, expires_at)

    def on_heard(self, service: str, endpoint: str, now: float) -> None:
        """Note that an endpoint has sent something, so that it reads what it got."""
        if not self._orphans:
            return
        read_until = now + self.window()
        for key, orphan in self._orphans.items():
            if key[2:] == (service, endpoint):
                orphan.expires_at = min(orphan.expires_at, read_until)

    def count(self, service: str, now: float) -> int:
        """Return the copies that count in a service's budget of all nodes."""
        if not self._orphans:
            return 0
        self._drop_expired(now)
        return sum(
            orphan.count for key, orphan in self._orphans.items() if key[2] == service
        )

    def notices(self, now: float) -> tuple[OrphanNotice, ...]:
        """Return what peers are told: the largest numbers first."""
        if not self._orphans:
            return ()
        self._drop_expired(now)
        largest = sorted(self._orphans.items(), key=lambda item: -item[1].count)
        return tuple(
            OrphanNotice(*key, orphan.count, round(orphan.expires_at - now, 3))
            for key, orphan in largest[:MAX_NOTICES]
        )

    def _drop_expired(self, now: float) -> None:
        for key in [k for k, each in self._orphans.items() if each.expires_at <= now]:
            del self._orphans[key]
