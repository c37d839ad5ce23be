"""The longest recent duration of requests, by a key such as their route.

Load: tells whether a request can be expected to end before a given time. Durations vary
a lot within a route, so neither a mean nor the last one tells.
"""

from dataclasses import dataclass, field

from cyclamenyoke.core.units import SECOND

WINDOW = 20 * SECOND
"""Seconds of one window. A duration counts for one to two windows."""


@dataclass(slots=True)
class LongestDurations:
    """Longest durations of the present window and of the one before.

    >>> durations = LongestDurations()
    >>> durations.add("r", 0.5, now=1.0)
    >>> durations.longest("r", now=30.0), durations.longest("r", now=41.0)
    (0.5, None)
    """

    _window: int = 0
    _current: dict[str, float] = field(default_factory=dict)
    _previous: dict[str, float] = field(default_factory=dict)

    def add(self, key: str, seconds: float, now: float) -> None:
        """Record a duration."""
        self._advance(now)
        self._current[key] = max(seconds, self._current.get(key, 0.0))

    def longest(self, key: str, now: float) -> float | None:
        """Return the longest duration in seconds; ``None`` without a recent one."""
        self._advance(now)
        found = (self._current.get(key), self._previous.get(key))
        return max((each for each in found if each is not None), default=None)

    def _advance(self, now: float) -> None:
        window = int(now // WINDOW)
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous = self._current if is_next else {}
        self._current = {}
        self._window = window
