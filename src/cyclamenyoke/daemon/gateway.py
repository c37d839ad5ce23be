"""A gateway process, which forwards callers' requests to endpoints without agents.

Wires the gateway's parts to the clients of the users' platform.
``daemon/gateway_process.py`` runs it.
"""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from random import SystemRandom
from resource import RUSAGE_SELF, getrusage
from typing import Any

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.http_ingress import (
    FULL_RETRY_AFTER,
    HttpRequest,
    IngressServer,
    Responder,
)
from cyclamenyoke.adapters.logs import Log, install_nonblocking_logs
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.caller_memory import CallerMemory, caller_memory_limit
from cyclamenyoke.core.cold_endpoints import ColdEndpoints, ColdObserver
from cyclamenyoke.core.connection_limit import ConnectionLimit, share_descriptors
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits, LimitObserver
from cyclamenyoke.core.gateway_config import GatewayConfig
from cyclamenyoke.core.graceful_shutdown import GracefulShutdown
from cyclamenyoke.core.invariants import CountingMonitor, Invariant
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.orphaned_copies import OrphanedCopies
from cyclamenyoke.core.peers import Peers
from cyclamenyoke.core.refusals import Refusal, UnreadableHeader
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.core.units import KIBIBYTE, MILLISECOND, SECOND
from cyclamenyoke.daemon.cluster_state import ClusterState, StoreSchema
from cyclamenyoke.daemon.evacuation_sync import EvacuationSync
from cyclamenyoke.daemon.expert_rebalancer import ExpertRebalancer
from cyclamenyoke.daemon.forwarder import UNCONFIRMED_RETRY_AFTER, Forwarder
from cyclamenyoke.daemon.loop_delay import measure_loop_delay
from cyclamenyoke.daemon.membership import Membership
from cyclamenyoke.daemon.process_signals import ProcessSignals
from cyclamenyoke.daemon.quarantine_api import QuarantineHandler
from cyclamenyoke.daemon.quarantine_store import LoggingObserver, QuarantineStore
from cyclamenyoke.daemon.task_supervisor import TaskSupervisor
from cyclamenyoke.exceptions import CyclamenyokeError, FindingsError
from cyclamenyoke.platform.caller_handlers import (
    CallerHandler,
    DirectoryHandler,
    ReadinessHandler,
    decode_request,
)
from cyclamenyoke.platform.documents import (
    CONFIG_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    InvalidDocument,
    decode_config,
    decode_endpoints,
)
from cyclamenyoke.platform.engine_client import HttpEngineClient
from cyclamenyoke.platform.engine_control import HttpEngineControl
from cyclamenyoke.platform.headers import REQUEST_ID, RETRY_AFTER
from cyclamenyoke.platform.settings import SETTINGS_PATH_VARIABLE, load_settings
from cyclamenyoke.platform.store_client import StoreClient
from cyclamenyoke.ports.key_value_store import StoredItem

MAX_ADDRESS_LIFETIME = 2 * SECOND
"""Longest time in seconds for which callers may cache the directory's addresses: about
the time after which the directory drops a dead node."""

NO_MEMORY_RETRY_AFTER = 500 * MILLISECOND
"""Retry-After in seconds of a request that finds no memory."""

STOP_POLL_INTERVAL = 50 * MILLISECOND
"""Interval in seconds at which a shutdown checks whether it is complete."""

READ_PASSES = 8
"""Passes of the event loop in which a request on a new connection is accepted, read and
refused."""

FLUSH_POLL_INTERVAL = 10 * MILLISECOND
"""Interval in seconds at which it checks whether the last responses are sent."""

SETTINGS_POLL_INTERVAL = 1 * SECOND
"""Interval in seconds at which the settings file is checked for changes."""

TOTALS_INTERVAL = 10 * SECOND
"""Interval in seconds at which the process's totals are logged."""

HOUSEKEEPING_INTERVAL = 1 * SECOND
"""Interval in seconds at which expired connections to endpoints are closed."""


def _decode_items(
    items: Sequence[StoredItem],
) -> tuple[list[Endpoint], list[InvalidDocument]]:
    return decode_endpoints([(item.key, item.value) for item in items])


class LoggingLimitObserver(LimitObserver):
    """Logs the limits that endpoints state, and their end."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def on_limit(self, endpoint: str, rate: float | None) -> None:
        self._log.info("endpoint limit changed", endpoint=endpoint, per_second=rate)


class LoggingColdObserver(ColdObserver):
    """Logs the endpoints that become cold, and warm again."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def on_cold(self, endpoint: str, is_cold: bool) -> None:
        message = "endpoint is cold" if is_cold else "endpoint is warm"
        self._log.info(message, endpoint=endpoint)


class Gateway:
    """One gateway process.

    A graceful shutdown notifies the peers, removes the registration from the store,
    keeps serving until no request is in progress, and then closes the connections.
    """

    def __init__(self, settings: NodeSettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._clock = BootClock()
        self._metrics = Metrics()
        self._log = Log("gateway", node=settings.node)
        self._supervisor = TaskSupervisor(self._clock, self._metrics, self._log)
        random = SystemRandom()
        monitor = self._monitor = CountingMonitor(self._on_violation)
        self._registry = EndpointRegistry(settings.registration_lifetime)
        self._peers = Peers(settings.ip)
        self._cold_rates: dict[str, float] = {}
        self._cold_endpoints = ColdEndpoints(
            settings.ip,
            lambda: self._peers.all_ips,
            self._registry,
            lambda: self._cold_rates,
            lambda: settings.bounds,
            settings.registration_lifetime,
            LoggingColdObserver(self._log),
        )
        self._limits = EngineLimits(
            settings.ip,
            self._peers.possible_senders,
            self._registry.usable,
            LoggingLimitObserver(self._log),
            cold=self._cold_endpoints,
        )
        self._balancer = Balancer(
            self._registry, settings.data_centre, random, self._limits
        )
        self._store = StoreClient(settings.store, self._clock)
        self._pool = ConnectionPool(self._clock)
        self._quarantine = RequestQuarantine(
            lambda: settings.bounds.stall,
            LoggingObserver(self._log),
            is_trier=self._is_list_reader,
        )
        self._evacuation = EvacuationSync(
            settings,
            self._store,
            EVACUATION_PREFIX,
            self._registry,
            self._peers,
            lambda: self._cluster_state.reads_store,
            self._clock,
            random,
            self._metrics,
            self._log,
        )
        self._cluster_state = ClusterState(
            settings,
            self._store,
            StoreSchema(CONFIG_KEY, ENDPOINT_PREFIX, decode_config, _decode_items),
            self._registry,
            self._peers,
            self._balancer,
            self._evacuation,
            self._clock,
            random,
            monitor,
            self._metrics,
            self._log,
        )
        orphans = OrphanedCopies(lambda: settings.bounds.retry_window)
        self._membership = Membership(
            settings,
            self._store,
            self._peers,
            self._registry,
            self._balancer,
            self._quarantine,
            self._limits,
            orphans,
            self._cluster_state,
            self._clock,
            random,
            self._metrics,
            self._log,
        )
        self._forwarder = Forwarder(
            HttpEngineClient(self._clock, self._pool),
            self._balancer,
            self._peers,
            self._quarantine,
            self._limits,
            orphans,
            settings,
            self._cluster_state,
            self._membership.announce,
            self._clock,
            random,
            monitor,
            self._metrics,
            self._log,
        )
        self._rebalancer = ExpertRebalancer(
            self._store,
            HttpEngineControl(
                ConnectionPool(self._clock), self._cluster_state.mark_leaving
            ),
            self._registry,
            self._balancer,
            lambda: self._cluster_state.config,
            self._cluster_state.era_age,
            self._may_rebalance,
            self._count_queued,
            self._forwarder.gap_ratio,
            settings.node,
            self._clock,
            self._supervisor,
            self._metrics,
            self._log,
        )
        self._quarantine_store = QuarantineStore(
            self._store,
            self._quarantine,
            self._is_list_reader,
            lambda: self._registry.position.era,
            self._clock,
            random,
            self._log,
        )
        self._quarantine_handler = QuarantineHandler(
            self._quarantine, self._clock, self._log
        )
        shares = share_descriptors(settings.file_descriptors)
        self._caller_memory = CallerMemory(caller_memory_limit(settings.memory_bytes))
        self._caller_server = self._create_server(
            CallerHandler(
                self._forwarder.serve, self._on_refused, self._on_unreadable_header
            ),
            shares.callers,
            self._are_limits_confirmed,
            self._is_expected,
        )
        self._servers = [
            (settings.callers, self._caller_server),
            (
                settings.readiness,
                self._create_auxiliary_server(
                    ReadinessHandler(self._is_ready), shares.monitoring
                ),
            ),
            (
                settings.directory,
                self._create_auxiliary_server(
                    DirectoryHandler(self._addresses, self._address_lifetime, random),
                    shares.directory,
                ),
            ),
            (
                f"{settings.ip}:{settings.metrics_port}",
                self._create_auxiliary_server(self._serve_operators, shares.monitoring),
            ),
        ]
        self._stopping = asyncio.Event()
        self._stop_asked_at = 0.0
        self._cluster_state.on_change = self._membership.announce
        self._quarantine.on_change = self._membership.announce
        self._limits.on_change = self._membership.announce
        self._cluster_state.on_config = self._on_config
        self._cluster_state.on_endpoint_removed = self._pool.close_endpoint
        self._cluster_state.on_evacuation = self._forwarder.on_evacuation
        self._membership.queued = lambda: self._forwarder.queued
        self._membership.copies = self._forwarder.late_copies
        self._membership.on_peer_update = self._forwarder.dispatch

    def stop(self, asked_at: float | None = None) -> None:
        """Request a graceful shutdown.

        :param asked_at: when the platform asked for it, by the node's clock; the grace
            time runs from then on. Now, if left out.
        """
        if not self._stopping.is_set():
            self._stop_asked_at = self._clock.now() if asked_at is None else asked_at
        self._stopping.set()

    def reload(self) -> None:
        """Read the settings file again; an invalid one is logged and ignored."""
        try:
            new_settings = load_settings(self._settings_path)
        except FindingsError as error:
            self._log.error("settings not reloaded", findings=error.format_message())
            return
        pending = self._settings.reload_from(new_settings)
        self._peers.add_candidates(self._settings.seeds, self._clock.now())
        self._log.info("settings reloaded", at_next_start=pending)

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an error of a callback or of a task that nobody awaits."""
        message = context.get("message", "")
        error = context.get("exception") or RuntimeError(message)
        self._supervisor.report("event_loop", error, context=message)

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        self._log.info("started", role="gateway", ip=self._settings.ip)
        for address, server in self._servers:
            if address is not None:
                await server.start(address)
        supervise = self._supervisor.run
        work: dict[str, Callable[[], Awaitable[None]]] = {
            "watch_config": self._cluster_state.watch_config,
            "fetch_newer_config": self._cluster_state.fetch_newer_config,
            "sync_endpoints": self._cluster_state.sync_endpoints,
            "evacuation": self._evacuation.run,
            "membership": lambda: self._membership.run(supervise),
            "housekeeping": self._run_housekeeping,
            "queue": self._forwarder.poll_queue,
            "experts": self._rebalancer.run,
            "quarantine_store": self._quarantine_store.run,
            "settings": self._watch_settings,
            "loop_delay": lambda: measure_loop_delay(self._metrics, self._log),
        }
        tasks = [
            asyncio.create_task(supervise(name, each)) for name, each in work.items()
        ]
        try:
            await self._stopping.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for _, server in self._servers:
                server.close()
            await self._store.close()
        self._log.info(
            "stopped",
            connections=self._caller_server.connection_count,
            unsent_bytes=self._caller_server.unsent_bytes,
        )

    async def _drain(self) -> None:
        """Serve until callers know of the shutdown and no request is in progress.

        Stops earlier if the platform is about to kill the process.
        """
        grace = self._settings.bounds.grace
        shutdown = GracefulShutdown.begin(self._stop_asked_at, grace, self._monitor)
        self._forwarder.shutdown = shutdown
        self._log.info(
            "stopping",
            connections=self._caller_server.connection_count,
            seconds_since_signal=round(self._clock.now() - self._stop_asked_at, 3),
        )
        for _, server in self._servers:
            server.is_draining = True
        self._membership.announce_draining()
        await self._supervisor.run_once("deregister", self._membership.deregister)
        await self._wait_until_closable(shutdown)
        # Nothing is awaited between the check and the closing: a request that is read
        # in between would be sent to an engine and cut off.
        busy_count = self._caller_server.busy_count
        shutdown.on_close(self._clock.now(), busy_count)
        for _, server in self._servers:
            server.close()
        self._log.info(
            "closing",
            busy=busy_count,
            unsent_bytes=self._caller_server.unsent_bytes,
            seconds_since_signal=round(self._clock.now() - self._stop_asked_at, 3),
        )
        if busy_count:
            self._forwarder.cut_off()
        while self._caller_server.busy_count:
            if self._clock.now() >= shutdown.flush_until:
                break
            await asyncio.sleep(FLUSH_POLL_INTERVAL)

    def _create_auxiliary_server(
        self, handler: object, max_connections: int
    ) -> IngressServer:
        # The sizes are not those of the configuration, so nothing has to confirm them.
        server = self._create_server(handler, max_connections, lambda arrived_at: True)
        server.limits = server.limits.for_auxiliary()
        return server

    async def _wait_until_closable(self, shutdown: GracefulShutdown) -> None:
        """Wait until the connections may close, and nothing that came before is unread.

        After a pause of this process the time may be over while requests wait in the
        sockets; they are read, and refused if they can't end.
        """
        while True:
            can_close = shutdown.can_close(
                self._clock.now(), self._caller_server.busy_count
            )
            if not can_close:
                await asyncio.sleep(STOP_POLL_INTERVAL)
                continue
            for _ in range(READ_PASSES):
                await asyncio.sleep(0)
            if shutdown.can_close(self._clock.now(), self._caller_server.busy_count):
                return

    def _create_server(
        self,
        handler: object,
        max_connections: int,
        are_limits_confirmed: Callable[[float], bool],
        is_expected: Callable[[HttpRequest], bool] = lambda request: False,
    ) -> IngressServer:
        return IngressServer(
            handler,  # type: ignore[arg-type]
            self._clock,
            self._on_refused,
            self._on_handler_error,
            REQUEST_ID,
            are_limits_confirmed,
            [(RETRY_AFTER, b"%.3f" % UNCONFIRMED_RETRY_AFTER)],
            ConnectionLimit(max_connections),
            [(RETRY_AFTER, b"%.3f" % FULL_RETRY_AFTER)],
            self._caller_memory,
            [(RETRY_AFTER, b"%.3f" % NO_MEMORY_RETRY_AFTER)],
            is_expected,
        )

    def _is_expected(self, request: HttpRequest) -> bool:
        """Return whether the configuration in force allows a caller's request."""
        inbound = decode_request(request)
        return not isinstance(inbound, Refusal) and self._forwarder.is_allowed(inbound)

    def _are_limits_confirmed(self, arrived_at: float) -> bool:
        """Return whether the limits in force may deny a request; look for newer ones.

        :param arrived_at: when the request arrived.
        """
        if self._cluster_state.is_config_confirmed(arrived_at):
            return True
        self._cluster_state.start_confirming()
        return False

    def _is_ready(self) -> bool:
        return self._cluster_state.is_synced and not self._stopping.is_set()

    def _may_rebalance(self, holds_lock: bool) -> bool:
        """Return whether this node may rebalance the experts.

        Only the reader of the endpoint list starts to rebalance. It continues when
        another node becomes the reader, because a hand-over takes as long as several
        map switches.
        """
        if not self._is_ready():
            return False
        return self._is_list_reader() or (
            holds_lock and self._cluster_state.reads_store
        )

    def _is_list_reader(self) -> bool:
        """Return whether this node reads the endpoint list for all nodes."""
        return self._peers.is_list_reader(
            self._clock.now(), self._cluster_state.reads_store
        )

    def _count_queued(self, service: str) -> int:
        queued = self._peers.queued(service, self._clock.now())
        queued.update(self._forwarder.queued.get(service, {}))
        return queued.total()

    def _addresses(self, name: str, data_centre: str) -> list[str]:
        """Return the gateways' addresses, whatever the name and the data centre."""
        addresses = self._peers.addresses(self._clock.now())
        if self._is_ready() and self._settings.callers is not None:
            addresses.append(self._settings.callers)
        return addresses

    def _address_lifetime(self) -> float:
        return min(MAX_ADDRESS_LIFETIME, self._settings.bounds.address_lifetime)

    async def _serve_operators(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Serve the metrics, and the quarantine of prompts below its path."""
        if self._quarantine_handler.handle(request, responder):
            return
        self._metrics.gauge("quarantined_parts", self._quarantine_handler.part_count)
        for call, count in self._store.call_counts.items():
            self._metrics.gauge("store_calls", count, call=call)
        cold_count = self._cold_endpoints.count(self._clock.now())
        self._metrics.gauge("cold_endpoints", cold_count)
        self._metrics.gauge("engine_connections_opened", self._pool.opened_count)
        self._metrics.gauge("list_age_seconds", self._cluster_state.list_age())
        self._metrics.gauge("config_version", self._cluster_state.config_version)
        self._metrics.gauge("config_age_seconds", self._cluster_state.config_age())
        self._metrics.gauge(
            "evacuated_data_centres", len(self._evacuation.state.active)
        )
        for name, count in self._count_without_room().items():
            self._metrics.gauge(name, count)
        self._set_retry_budget_gauges()
        peak = getrusage(RUSAGE_SELF).ru_maxrss * KIBIBYTE
        self._metrics.gauge("peak_memory_bytes", peak)
        servers = [server for _, server in self._servers]
        connection_count = sum(server.connection_count for server in servers)
        self._metrics.gauge("caller_connections", connection_count)
        held_bytes = sum(server.held_bytes for server in servers)
        self._metrics.gauge("caller_held_bytes", held_bytes)
        self._metrics.gauge("caller_memory_bytes", self._caller_memory.held)
        self._metrics.gauge("caller_memory_limit_bytes", self._caller_memory.limit)
        for task, is_failing in self._supervisor.failing.items():
            self._metrics.gauge("task_failing", is_failing, task=task)
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        responder.respond(200, [content_type], self._metrics.render().encode())

    def _count_without_room(self) -> dict[str, int]:
        """Return how many connections have been closed or refused for room."""
        limits = [server.connection_limit for _, server in self._servers]
        return {
            "connections_closed_for_room": sum(each.closed_count for each in limits),
            "connections_refused": sum(each.refused_count for each in limits),
        }

    def _set_retry_budget_gauges(self) -> None:
        now = self._clock.now()
        for service, state in self._forwarder.retry_budget_states(now).items():
            values = {
                "first_attempts": state.first_attempts,
                "retries": state.retries,
                "allowed": state.allowed,
                "late_copies": state.late_copies,
                "nodes": state.nodes,
                "has_fixed_part": state.has_fixed_part,
                "age_seconds": now - state.since,
            }
            for name, value in values.items():
                self._metrics.gauge(f"retry_budget_{name}", value, service=service)

    async def _run_housekeeping(self) -> None:
        next_totals_at = self._clock.now() + TOTALS_INTERVAL
        without_room = self._count_without_room()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            self._pool.close_expired()
            self._cold_endpoints.refresh(self._clock.now())
            counts = self._count_without_room()
            if counts != without_room:
                without_room = counts
                self._log.warning("too many connections from callers", **counts)
            if self._clock.now() >= next_totals_at:
                next_totals_at += TOTALS_INTERVAL
                self._log.info(
                    "totals",
                    store_calls=dict(self._store.call_counts),
                    connections_opened=self._pool.opened_count,
                    config_version=self._cluster_state.config_version,
                    config_age=round(self._cluster_state.config_age(), 3),
                    list_age=round(self._cluster_state.list_age(), 3),
                )

    async def _watch_settings(self) -> None:
        """Reload the settings when the file has changed, also without a SIGHUP."""
        last_fingerprint = self._settings_fingerprint()
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL)
            fingerprint = self._settings_fingerprint()
            if fingerprint != last_fingerprint:
                last_fingerprint = fingerprint
                self.reload()

    def _settings_fingerprint(self) -> tuple[int, int]:
        try:
            status = os.stat(self._settings_path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def _on_config(self, config: GatewayConfig) -> None:
        self._cold_rates = {
            service.name: service.cold_rate
            for service in config.services.values()
            if service.cold_rate > 0
        }
        for _, server in self._servers:
            server.limits = config.limits.for_auxiliary()
        self._caller_server.limits = config.limits

    def _on_refused(self, refusal: Refusal) -> None:
        self._metrics.count("refusals", reason=refusal.reason.value)
        self._metrics.count("unreadable_requests", status=str(refusal.status))
        self._log.info(
            "request refused",
            request=refusal.request_id,
            path=refusal.path,
            outcome=refusal.reason.value,
            status=refusal.status,
            field=refusal.field,
            value=refusal.value,
            size=refusal.size,
            limit=refusal.limit,
            config_version=self._cluster_state.config_version,
            config_age=round(self._cluster_state.config_age(), 3),
        )

    def _on_unreadable_header(self, header: UnreadableHeader) -> None:
        self._metrics.count("unreadable_headers", header=header.name)
        self._log.info(
            "header ignored",
            request=header.request_id,
            field=header.name,
            value=header.value,
        )

    def _on_handler_error(self, error: BaseException | None) -> None:
        self._metrics.count("handler_errors")
        self._log.error("request handler failed", error=repr(error))

    def _on_violation(self, invariant: Invariant, detail: str) -> None:
        self._metrics.count("breaches", promise=invariant.value)
        self._log.error("promise broken", promise=invariant.value, detail=detail)


async def _serve(settings: NodeSettings, path: Path, signals: ProcessSignals) -> None:
    gateway = Gateway(settings, path)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(gateway.on_loop_error)
    actions: dict[signal.Signals, Callable[[float], None]] = {
        signal.SIGTERM: gateway.stop,
        signal.SIGINT: gateway.stop,
        signal.SIGHUP: lambda received_at: gateway.reload(),
    }
    signals.connect(loop, actions)
    try:
        await gateway.run()
    finally:
        signals.disconnect()


def run(signals: ProcessSignals) -> None:
    """Run the gateway of this machine; exit with the error's code if it fails.

    :param signals: installed at the start of the process.
    """
    try:
        path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
        settings = load_settings(path)
        logs = install_nonblocking_logs("info", sys.stdout.fileno())
        # Excludes the objects created so far from garbage collection.
        gc.freeze()
        try:
            asyncio.run(_serve(settings, path, signals))
        finally:
            logs.close()
    except CyclamenyokeError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    sys.exit("run cyclamenyoke.daemon.gateway_process in place of this module")
