"""A budget that bounds retries relative to first tries."""

from cyclamenyoke.core.units import SECOND

RETRY_SHARE = 0.1
"""Retries allowed for each first try."""

RETRY_RESERVE = 10.0
"""Retries that may be saved up."""

RETRY_REFILL = 1.0 / SECOND
"""Retries a second that are allowed even without traffic."""


class RetryBudget:
    """A token bucket that first tries and time refill.

    Bounds what an entry adds to the load when many agents fail together.
    """

    def __init__(self, now: float) -> None:
        self._tokens = RETRY_RESERVE
        self._refilled_at = now

    def on_first_try(self) -> None:
        """Credit a share of a retry."""
        self._tokens = min(RETRY_RESERVE, self._tokens + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(RETRY_RESERVE, self._tokens + elapsed * RETRY_REFILL)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
