"""A budget that bounds retries relative to first tries."""

from collections import deque

from cyclamenyoke.core.units import SECOND

RETRY_SHARE = 0.1
"""Retries allowed for each first try."""

RETRY_RESERVE = 10.0
"""Retries that may be saved up."""

RETRY_REFILL = 1.0 / SECOND
"""Retries a second that are allowed even without traffic."""

BUDGET_MARGIN = 0.7
"""Part of a shared budget that is spent; nodes may disagree on how many they are."""


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


class WindowedRetryBudget:
    """A node's part of a retry budget that all nodes share.

    The budget allows, in any window, a share of the first tries and a fixed
    number besides. Each node spends the share of its own first tries and an equal
    part of the fixed number, so that the sum holds without an exchange.

    :param ratio: retries allowed for each first try.
    :param slack: retries allowed besides, by all nodes together.
    :param window: seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * BUDGET_MARGIN
        self._slack = slack * BUDGET_MARGIN
        self._window = window
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def on_first_try(self, now: float) -> None:
        """Note a request."""
        self._firsts.append(now)

    def take(self, now: float, nodes: int) -> bool:
        """Spend one retry; return whether the budget allowed it.

        :param nodes: how many nodes share the budget.
        """
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = self._ratio * len(self._firsts) + self._slack / max(1, nodes)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
