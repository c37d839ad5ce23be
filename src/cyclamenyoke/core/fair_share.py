"""Detects customers whose load surges while a service's slots are scarce.

If one customer sends many times its usual load, its requests are queued behind those
of the others, and the last free slots are reserved for the others. All other customers
are served by age: under an even load that keeps more requests on time than round-robin
scheduling by customer.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

RESERVED_SHARE = 0.05
"""Share of a service's slots that is reserved for customers that are not surging.
During a tenfold surge at 80 slots the others' first events then stay within 1.2 times
the usual time, which is the target (see tests/test_admission.py)."""

MIN_SURGE_SHARE = 0.4
"""Share of a service's requests above which a customer counts as surging. Among ten or
more customers whose sizes follow a 1/rank distribution the largest sends up to 0.34."""

MIN_SURGE_FACTOR = 2.0
"""Multiple of an equal share that a surging customer's share must exceed as well: with
only a few customers, even a large share is usual."""


@dataclass(frozen=True, slots=True)
class Scarcity:
    """Whether a service's slots are scarce, and because of whom.

    :param surging: customers whose load surges while slots are scarce; empty while they
        are not.
    :param share: share of the requests in flight that belongs to these customers.
    """

    surging: frozenset[str] = frozenset()
    share: float = 0.0


NOT_SCARCE = Scarcity()


def is_scarce(free: int, slots: int) -> bool:
    """Return whether only the reserved slots of a service are free.

    :param free: number of the service's slots without a request.
    :param slots: total number of the service's slots.
    """
    return free <= math.ceil(RESERVED_SHARE * slots)


def surging_customers(requests: Mapping[str, int]) -> frozenset[str]:
    """Return the customers that send a disproportionate share of a service's requests.

    :param requests: requests in flight and queued, by customer, as far as known. Queued
        requests count because a surge that is held back in the queue is still a surge.

    >>> sorted(surging_customers({"big": 60, "a": 10, "b": 10, "c": 10, "d": 10}))
    ['big']
    >>> sorted(surging_customers({"big": 50, "a": 50}))
    []
    """
    if not requests:
        return frozenset()
    share = max(MIN_SURGE_SHARE, MIN_SURGE_FACTOR / len(requests))
    threshold = share * sum(requests.values())
    return frozenset(name for name, count in requests.items() if count > threshold)


def scarcity_of(in_flight: Counter[str], queued: Counter[str]) -> Scarcity:
    """Return the surging customers of a service whose slots are scarce.

    :param in_flight: requests at the service, by customer.
    :param queued: requests that are queued for it at any node, by customer.
    """
    surging = surging_customers(in_flight + queued)
    if not surging:
        return NOT_SCARCE
    held = sum(in_flight[each] for each in surging)
    return Scarcity(surging, held / max(1, in_flight.total()))
