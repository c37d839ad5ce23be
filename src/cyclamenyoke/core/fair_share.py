"""Which customers ask for a large part of a service while it is scarce.

Answers the load of one customer that sends many times what it usually does: its
requests then go behind those of the others, and the last slots are left to them. Other
customers are served by age, which under an even load keeps more of them in time than
turns by customer do (docs/MEASUREMENTS.md).
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

RESERVE_SHARE = 0.05
"""Part of a service's slots that is left to customers that do not surge. Under a surge
of ten times at 80 slots the others' first events then stay within 1.2 times the usual,
the target of issue 11 (tests/test_admission.py)."""

SURGE_SHARE = 0.4
"""Part of the requests from which a customer counts as surging. The largest of ten or
more customers whose sizes fall as one over their rank sends up to 0.34."""

SURGE_FACTOR = 2.0
"""Times an equal share that a customer must send besides: among a few customers a large
part is usual."""


@dataclass(frozen=True, slots=True)
class Scarcity:
    """The state of a service for one decision.

    :param surging: customers that hold much more than others while slots are scarce;
        empty while they are not.
    :param share: part of the requests under way that is theirs.
    """

    surging: frozenset[str] = frozenset()
    share: float = 0.0


NOT_SCARCE = Scarcity()


def is_scarce(free: int, slots: int) -> bool:
    """Tell whether only the last slots of a service are free.

    :param free: slots of the service without a request.
    :param slots: all slots of the service.
    """
    return free <= math.ceil(RESERVE_SHARE * slots)


def surging_customers(requests: Mapping[str, int]) -> frozenset[str]:
    """Return the customers that send a large part of the requests beside others.

    :param requests: under way and waiting at a service, by customer, as far as known.
        Those that wait count, too: a surge that is held back is still one.

    >>> sorted(surging_customers({"big": 60, "a": 10, "b": 10, "c": 10, "d": 10}))
    ['big']
    >>> sorted(surging_customers({"big": 50, "a": 50}))
    []
    """
    if not requests:
        return frozenset()
    share = max(SURGE_SHARE, SURGE_FACTOR / len(requests))
    bound = share * sum(requests.values())
    return frozenset(name for name, count in requests.items() if count > bound)


def scarcity_of(under_way: Counter[str], queued: Counter[str]) -> Scarcity:
    """Return the state of a service whose slots are scarce.

    :param under_way: requests at the service, by customer.
    :param waiting: requests that wait for it at any node, by customer.
    """
    surging = surging_customers(under_way + queued)
    if not surging:
        return NOT_SCARCE
    held = sum(under_way[each] for each in surging)
    return Scarcity(surging, held / max(1, under_way.total()))
