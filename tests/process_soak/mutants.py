"""Gateways with one deliberate defect each, which the checks must find.

Run with ``--gateway "process_soak.mutants NAME"``.
"""

import sys
from collections.abc import Callable

from cyclamenyoke.adapters import http_connection, http_ingress
from cyclamenyoke.adapters.http_ingress import IngressConnection
from cyclamenyoke.core.gateway_config import GatewayConfig, RetryMode, Route
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.inbound_request import Header
from cyclamenyoke.core.peers import BudgetPart, Peers
from cyclamenyoke.core.request_delivery import RequestDelivery
from cyclamenyoke.daemon import cluster_state
from cyclamenyoke.daemon.cluster_state import ClusterState
from cyclamenyoke.daemon.gateway import Gateway
from cyclamenyoke.daemon.gateway_process import main
from cyclamenyoke.platform.engine_client import HttpEngineClient
from process_soak.callers import API_KEY

FORGETFUL = "gateway-0"
"""Name of the one gateway that forgets a key."""


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


def forget_leaving() -> None:
    """Read the list of endpoints so rarely that drains are noticed late."""
    cluster_state.LIST_READS_PER_DRAIN = 0.2
    cluster_state.MAX_LIST_AGES_PER_DRAIN = 0.2


def keep_gone_callers() -> None:
    """Go on with requests whose callers have closed the connection."""
    lose = IngressConnection.connection_lost

    def lose_and_go_on(self: IngressConnection, error: Exception | None) -> None:
        task, self._task = self._task, None
        lose(self, error)
        self._task = task

    IngressConnection.connection_lost = lose_and_go_on


def keep_first_configuration() -> None:
    """Ignore all versions of the configuration but the first."""
    apply = ClusterState._apply_config

    def apply_first(self: ClusterState, raw: bytes, position: object) -> None:
        if self.config_version <= 0:
            apply(self, raw, position)

    ClusterState._apply_config = apply_first


def forget_key() -> None:
    """Let one gateway forget the customer's first key with every third version."""
    apply = ClusterState._apply_config

    def apply_and_forget(self: ClusterState, raw: bytes, position: object) -> None:
        before = self.config_version
        apply(self, raw, position)
        is_newer = self.config_version > before
        is_forgetful = self._settings.node == FORGETFUL
        if is_newer and is_forgetful and self.config_version % 3 == 0:
            self.config.customers.pop(API_KEY, None)

    ClusterState._apply_config = apply_and_forget


def keep_first_limits() -> None:
    """Apply the limits of the first version that a start knows to all of them."""
    on_config = Gateway._on_config

    def keep_limits(self: Gateway, config: GatewayConfig) -> None:
        kept = [server.limits for _, server in self._servers]
        on_config(self, config)
        if self._has_limits:
            for (_, server), limits in zip(self._servers, kept, strict=True):
                server.limits = limits
        self._has_limits = True

    Gateway._has_limits = False
    Gateway._on_config = keep_limits


def hand_more_time() -> None:
    """State deadlines to engines that are later than those of callers."""
    build = HttpEngineClient._headers

    def build_later(self: HttpEngineClient, *values: object) -> list[Header]:
        *others, remaining = values
        return build(self, *others, remaining + 1.0)

    HttpEngineClient._headers = build_later


def pass_any_head() -> None:
    """Pass on whatever heads the parser lets through."""
    http_connection.check_status = lambda status, version: None
    http_ingress.check_status = lambda status, version: None


def pass_any_status() -> None:
    """Pass on whatever status an engine fails a request with."""
    RequestDelivery.may_forward = lambda self, implies_not_run: True


MUTANTS: dict[str, Callable[[], None]] = {
    "forgets_budget": forget_budget,
    "cuts_on_stop": cut_on_stop,
    "repeats_orders": repeat_orders,
    "forgets_leaving": forget_leaving,
    "keeps_gone_callers": keep_gone_callers,
    "keeps_first_configuration": keep_first_configuration,
    "hands_more_time": hand_more_time,
    "forgets_key": forget_key,
    "keeps_first_limits": keep_first_limits,
    "passes_any_head": pass_any_head,
    "passes_any_status": pass_any_status,
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    main()
