"""The gateways on a ring, from which each picks the same few for an endpoint.

The gateways that follow an endpoint's position are picked. Where two gateways know
different others, they disagree about a few endpoints only, and an endpoint that joins
or leaves moves no pick of another.
"""

from bisect import bisect_left
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

MAX_CACHED_POSITIONS = 4096
"""Positions that are kept: more than the gateways and endpoints of a deployment."""


@lru_cache(MAX_CACHED_POSITIONS)
def ring_position(name: str) -> str:
    """Return a key that sorts names in an arbitrary order, the same at all nodes."""
    return blake2b(name.encode(), digest_size=8).hexdigest() + name


class NodeRing:
    """The gateways that one gateway knows, and itself.

    >>> ring = NodeRing("10.0.0.1", ["10.0.0.2", "10.0.0.3"])
    >>> sum(NodeRing(ip, ring.ips).is_picked("engine", 2) for ip in ring.ips)
    2
    """

    def __init__(self, ip: str, others: Iterable[str]) -> None:
        self._ips = frozenset((ip, *others))
        self._positions = sorted(ring_position(each) for each in self._ips)
        self._own_place = bisect_left(self._positions, ring_position(ip))

    def __len__(self) -> int:
        return len(self._positions)

    @property
    def ips(self) -> frozenset[str]:
        """IP addresses of all gateways on the ring."""
        return self._ips

    def is_picked(self, name: str, count: int) -> bool:
        """Return whether this gateway is one of those picked for an endpoint.

        :param count: number of gateways that are picked.
        """
        first = bisect_left(self._positions, ring_position(name))
        return (self._own_place - first) % len(self._positions) < count
