"""Budgets that limit retries in proportion to first attempts."""

from collections import deque
from dataclasses import dataclass

from cyclamenyoke.core.units import SECOND

RETRY_RATIO = 0.1
"""Tokens that each first attempt adds, i.e. retries allowed per first attempt."""

MAX_RETRY_TOKENS = 10.0
"""Capacity of the token bucket, in retries."""

RETRY_TOKENS_PER_SECOND = 1.0 / SECOND
"""Refill rate of the token bucket, independent of traffic."""

SHARED_BUDGET_FRACTION = 0.7
"""Fraction of a shared budget that is used; the rest is a margin for when nodes
disagree on how many of them there are."""


class RetryBudget:
    """A token bucket that is refilled by first attempts and over time.

    Limits the load that an entry's retries add when many agents fail at once.
    """

    def __init__(self, now: float) -> None:
        self._tokens = MAX_RETRY_TOKENS
        self._refilled_at = now

    def on_first_attempt(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def take(self, now: float) -> bool:
        """Take a token for one retry; return whether one was available."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            MAX_RETRY_TOKENS, self._tokens + elapsed * RETRY_TOKENS_PER_SECOND
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryBudgetState:
    """What a node counts for one service, for logs and metrics.

    :param since: when the node began to count, by its clock.
    :param first_attempts: first attempts in the window.
    :param retries: retries in the window.
    :param allowed: retries that the node may make in the window.
    :param nodes: number of nodes by which the fixed number is divided.
    """

    since: float
    first_attempts: int
    retries: int
    allowed: float
    nodes: int


class WindowedRetryBudget:
    """A node's part of a retry budget that all nodes share.

    In any window the budget allows retries in proportion to the first attempts,
    plus a fixed number. Each node uses the proportion of its own first attempts and
    an equal part of the fixed number, so that the total holds without coordination.

    :param ratio: retries allowed per first attempt.
    :param fixed_retries: additional retries of all nodes together in a window.
    :param window: length of the sliding window in seconds.
    :param now: when the node begins to count.
    """

    def __init__(
        self, ratio: float, fixed_retries: float, window: float, now: float = 0.0
    ) -> None:
        self._since = now
        self._ratio = ratio * SHARED_BUDGET_FRACTION
        self._fixed = fixed_retries * SHARED_BUDGET_FRACTION
        self._window = window
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def on_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(now)

    def take(self, now: float, nodes: int) -> bool:
        """Count one retry if the budget allows it; return whether it did.

        :param nodes: number of nodes that share the budget.
        """
        if not self.allows(now, nodes):
            return False
        self._retries.append(now)
        return True

    def allows(self, now: float, nodes: int) -> bool:
        """Return whether the budget allows one more retry.

        :param nodes: number of nodes that share the budget.
        """
        state = self.state(now, nodes)
        return state.retries + 1 <= state.allowed

    def state(self, now: float, nodes: int) -> RetryBudgetState:
        """Return what is counted in the window that ends now.

        :param nodes: number of nodes that share the budget.
        """
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        nodes = max(1, nodes)
        allowed = self._ratio * len(self._first_attempts) + self._fixed / nodes
        return RetryBudgetState(
            self._since, len(self._first_attempts), len(self._retries), allowed, nodes
        )
