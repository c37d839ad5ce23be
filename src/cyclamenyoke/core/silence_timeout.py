"""How long an endpoint may be silent before its request is repeated at another one.

Load: repeats help if one endpoint is silent and others answer. Where all of them are
slow alike, as on a machine that is short of processor time, they only add load and use
the retry budget up.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median_low

from cyclamenyoke.core.units import SECOND

EXPECTED_DURATIONS = 2.5
"""Silence timeout as a multiple of the duration that is expected."""

MAX_REPEAT_SHARE = 0.5
"""Share of an attempt's time after which it is repeated if endpoints are slow, so that
the repeat has the rest."""

DURATION_LIFETIME = 10 * SECOND
"""Seconds for which a duration counts."""

MAX_DURATIONS = 31
"""Number of recent durations of a route that count."""


@dataclass(frozen=True, slots=True)
class Duration:
    """Seconds that an endpoint took to answer a request, until they expire."""

    expires_at: float
    seconds: float


@dataclass(slots=True)
class SilenceTimeout:
    """Learns by route how long endpoints need at present.

    The median tells what most endpoints need: neither an endpoint that sends nothing
    nor a few that answer late change it much.

    >>> silence = SilenceTimeout()
    >>> silence.seconds("r", target_latency=0.1, time_limit=2.0, now=1.0)
    0.25
    >>> silence.add("r", 0.3, now=1.0)
    >>> silence.seconds("r", target_latency=0.1, time_limit=2.0, now=1.0)
    0.75
    """

    _durations: dict[str, deque[Duration]] = field(default_factory=dict)

    def add(self, route: str, seconds: float, now: float) -> None:
        """Record the duration of an attempt that was answered."""
        durations = self._durations.setdefault(route, deque(maxlen=MAX_DURATIONS))
        durations.append(Duration(now + DURATION_LIFETIME, seconds))

    def seconds(
        self, route: str, target_latency: float, time_limit: float, now: float
    ) -> float:
        """Return the seconds after which an endpoint counts as silent.

        :param target_latency: expected duration where endpoints are not slower.
        :param time_limit: seconds from the start of the attempt to its deadline. If
            endpoints need more than a repeat would have left, there is none.
        """
        shortest = EXPECTED_DURATIONS * target_latency
        typical = self._typical(route, now)
        if typical is None or typical <= target_latency:
            return shortest
        latest = MAX_REPEAT_SHARE * time_limit
        if typical >= latest:
            return max(shortest, time_limit)
        return max(shortest, min(EXPECTED_DURATIONS * typical, latest))

    def _typical(self, route: str, now: float) -> float | None:
        durations = self._durations.get(route)
        while durations and durations[0].expires_at <= now:
            durations.popleft()
        if not durations:
            return None
        return median_low(each.seconds for each in durations)
