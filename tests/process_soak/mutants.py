"""Gateways with one deliberate defect each, which the checks must find.

Run with ``--gateway "process_soak.mutants NAME"``.
"""

import sys
from collections.abc import Callable

from cyclamenyoke.core.gateway_config import RetryMode, Route
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.peers import BudgetPart, Peers
from cyclamenyoke.daemon.gateway import run


def forget_budget() -> None:
    """Let a start use an equal part of the fixed number of retries at once."""

    def budget_part(self: Peers, now: float, window: float) -> BudgetPart:
        return BudgetPart(self.sharing_count(now), True)

    Peers.budget_part = budget_part


def cut_on_stop() -> None:
    """Let a shutdown close while requests are in progress."""
    GracefulShutdown.can_close = lambda self, now, in_flight: True


def repeat_orders() -> None:
    """Treat every request as safe to repeat."""
    create = Route.__init__

    def create_repeatable(self: Route, *values: object) -> None:
        create(self, *values)
        if self.retry_mode is RetryMode.NEVER:
            object.__setattr__(self, "retry_mode", RetryMode.ANYWHERE)
            object.__setattr__(self, "max_attempts", 2)

    Route.__init__ = create_repeatable


MUTANTS: dict[str, Callable[[], None]] = {
    "forgets_budget": forget_budget,
    "cuts_on_stop": cut_on_stop,
    "repeats_orders": repeat_orders,
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    run()
