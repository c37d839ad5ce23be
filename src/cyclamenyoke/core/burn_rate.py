"""Burn rates of service-level objectives: how fast the error budget is consumed.

At a burn rate of 1, a window consumes exactly its error budget, which is the share
of calls that may miss the service levels; at 10, ten times as much. Calls are
counted per minute, by service and customer.
"""

from collections import deque
from dataclasses import dataclass

import msgspec

from cyclamenyoke.core.units import HOUR, MINUTE

BUCKET_SECONDS = 1 * MINUTE
"""Length of one bucket in seconds."""

WINDOWS = {"5m": 5 * MINUTE, "1h": 1 * HOUR, "6h": 6 * HOUR}
"""Lengths in seconds of the windows in a report, by name."""

MAX_SERIES = 2000
"""Number of pairs of service and customer above which new customers are counted
together, to bound the memory."""

OTHER_CUSTOMERS = "(others)"
"""The customer name under which calls beyond :data:`MAX_SERIES` are counted."""


@dataclass(slots=True)
class Bucket:
    """The calls of one minute.

    :param number: Unix time divided by :data:`BUCKET_SECONDS`, rounded down.
    :param good: calls that met the service levels.
    :param bad: the other calls.
    """

    number: int
    good: int = 0
    bad: int = 0


class BurnRateRow(msgspec.Struct, frozen=True):
    """The burn rates of one service and customer.

    :param objective: the share of calls that must meet the service levels.
    :param burn: the burn rate in each window, by its name.
    :param calls: the number of calls in each window, by its name.
    """

    service: str
    customer: str
    objective: float
    burn: dict[str, float]
    calls: dict[str, int]


class BurnRateTracker:
    """Counts the good and bad calls of one entry over the longest window."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], deque[Bucket]] = {}
        self._objectives: dict[str, float] = {}

    def record(
        self, service: str, customer: str, good: bool, objective: float, now: float
    ) -> None:
        """Count a call.

        :param good: whether its response was complete and met the service levels.
        :param objective: the service's objective; the latest one is used in reports.
        """
        self._objectives[service] = objective
        if (service, customer) not in self._series and len(self._series) >= MAX_SERIES:
            customer = OTHER_CUSTOMERS
        buckets = self._series.setdefault((service, customer), deque())
        number = int(now // BUCKET_SECONDS)
        if not buckets or buckets[-1].number != number:
            buckets.append(Bucket(number))
        buckets[-1].good += good
        buckets[-1].bad += not good
        oldest = number - int(max(WINDOWS.values()) // BUCKET_SECONDS)
        while buckets[0].number < oldest:
            buckets.popleft()

    def report(self, now: float) -> list[BurnRateRow]:
        """Return the burn rates by service and customer."""
        return [
            self._row(service, customer, buckets, now)
            for (service, customer), buckets in sorted(self._series.items())
        ]

    def _row(
        self, service: str, customer: str, buckets: deque[Bucket], now: float
    ) -> BurnRateRow:
        objective = self._objectives[service]
        burn: dict[str, float] = {}
        calls: dict[str, int] = {}
        for name, seconds in WINDOWS.items():
            oldest = (now - seconds) // BUCKET_SECONDS
            recent = [bucket for bucket in buckets if bucket.number > oldest]
            bad = sum(bucket.bad for bucket in recent)
            total = bad + sum(bucket.good for bucket in recent)
            calls[name] = total
            burn[name] = round(bad / total / (1 - objective), 3) if total else 0.0
        return BurnRateRow(service, customer, objective, burn, calls)
