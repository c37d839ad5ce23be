"""A daemon of either role: the parts that all roles share, startup and shutdown."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom
from urllib.parse import urlsplit

from cyclamenyoke.adapters.gossip_transport import (
    GossipClient,
    GossipServer,
    RequestAuthenticator,
)
from cyclamenyoke.adapters.http_endpoint_client import HttpEndpointClient
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.agent import AgentCore
from cyclamenyoke.core.config import ConfigStore, ServiceKind, journal_write_rate
from cyclamenyoke.core.gossip import GossipCore, NodeInfo
from cyclamenyoke.core.invariants import CountingMonitor, Invariant
from cyclamenyoke.core.units import HOUR, SECOND
from cyclamenyoke.daemon.config_sync import ConfigSync
from cyclamenyoke.daemon.settings import Role, Settings
from cyclamenyoke.platform.store_client import StoreClient
from cyclamenyoke.ports.clock import Clock

MICROSECONDS_PER_SECOND = 1_000_000

FINAL_GOSSIP_TIME = 0.5 * SECOND
"""Seconds for which a daemon keeps gossiping after it has drained, so that its peers
learn that it is draining."""

DEFAULT_RETENTION = 24 * HOUR
"""Default for how long an idempotency key is kept, in seconds; used until a
configuration is applied."""

DEFAULT_SLOTS = 8
"""Default number of concurrent calls of an endpoint; used until a configuration is
applied."""


class Node:
    """One daemon, an entry or an agent.

    A graceful shutdown notifies the peers that the node is draining, rejects new work,
    finishes the work in progress and then closes all connections.

    :param random: source of randomness; the operating system's by default.
    """

    def __init__(
        self, settings: Settings, clock: Clock, random: Random | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random or SystemRandom()
        self._metrics = Metrics()
        self._log = Log(settings.role.value, node=settings.name)
        self._started_at_us = int(clock.now() * MICROSECONDS_PER_SECOND)
        self._incarnation = f"{settings.name}@{self._started_at_us}"
        self._monitor = CountingMonitor(self._on_violation)
        self._shared_key = settings.read_shared_key()
        self._store = StoreClient(urlsplit(settings.platform).netloc, clock)
        self._on_config_change: Callable[[], None] = lambda: None
        self._drain_role: Callable[[], Awaitable[None]] = _no_op
        self._close_role: Callable[[], Awaitable[None]] = _no_op
        self._stopping = asyncio.Event()

    @property
    def metrics(self) -> Metrics:
        """The metrics of this daemon."""
        return self._metrics

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Run until a graceful shutdown is complete."""
        authenticator = RequestAuthenticator(self._shared_key, self._clock)
        client = GossipClient(authenticator, self._metrics)
        server = GossipServer(
            self._settings.gossip_address, authenticator, self._metrics
        )
        config_sync = self._create_config_sync(client, server)
        tasks = [asyncio.create_task(config_sync.run())]
        try:
            tasks += await self._start_role(config_sync)
            await self._wait_for_stop(tasks)
            config_sync.announce_draining()
            await self._drain_role()
            await asyncio.sleep(FINAL_GOSSIP_TIME)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close_role()
            client.close()
            server.close()
            await self._store.close()
        self._log.info("stopped")

    def _create_config_sync(
        self, client: GossipClient, server: GossipServer
    ) -> ConfigSync:
        settings = self._settings
        info = NodeInfo(
            settings.role.value,
            settings.data_centre,
            settings.gossip_address,
            settings.callers_address,
            settings.operators_address,
            False,  # is_draining
        )
        core = GossipCore(
            settings.name, self._started_at_us, info, self._random, self._clock.now()
        )
        return ConfigSync(
            core,
            ConfigStore(self._monitor),
            self._store,
            client,
            server,
            settings.peers,
            self._clock,
            self._random,
            self._metrics,
            self._log,
            # A lambda, because the role replaces the attribute when it starts.
            lambda: self._on_config_change(),
        )

    async def _start_role(self, config_sync: ConfigSync) -> list[asyncio.Task[None]]:
        start = {Role.ENTRY: self._start_entry, Role.AGENT: self._start_agent}
        return await start[self._settings.role](config_sync)

    async def _start_entry(self, config_sync: ConfigSync) -> list[asyncio.Task[None]]:
        # Imported here, so that a daemon only loads the modules of its role.
        from cyclamenyoke.daemon.entry import EntryDaemon

        entry = EntryDaemon(
            self._settings,
            self._incarnation,
            self._shared_key,
            config_sync,
            self._store,
            self._clock,
            self._random,
            self._monitor,
            self._metrics,
            self._log,
        )
        self._on_config_change = entry.configure
        self._drain_role = entry.drain
        self._close_role = entry.stop
        await entry.start()
        return []

    async def _start_agent(self, config_sync: ConfigSync) -> list[asyncio.Task[None]]:
        # Imported here, so that a daemon only loads the modules of its role.
        from cyclamenyoke.daemon.agent import AgentConfiguration, AgentDaemon

        settings = self._settings.agent
        assert settings is not None
        core = AgentCore(
            settings.endpoint,
            self._incarnation,
            DEFAULT_SLOTS,
            DEFAULT_RETENTION,
            self._monitor,
            self._random,
        )
        endpoint = HttpEndpointClient(settings.url, self._clock)
        agent = AgentDaemon(
            core,
            f"{self._settings.ip}:{settings.port}",
            self._shared_key,
            endpoint,
            self._store,
            self._clock,
            self._metrics,
            self._log,
        )

        def configure() -> None:
            services = config_sync.config.services
            service = services.get(settings.service)
            write_rate = journal_write_rate(services.values())
            for endpoint_config in service.all_endpoints if service else []:
                if endpoint_config.name == settings.endpoint and service is not None:
                    is_model_engine = service.kind is ServiceKind.MODEL
                    agent.configure(
                        AgentConfiguration(
                            endpoint_config.slots,
                            service.retention,
                            write_rate,
                            is_model_engine,
                        )
                    )

        self._on_config_change = configure
        self._drain_role = agent.drain
        self._close_role = endpoint.close
        configure()
        return [asyncio.create_task(agent.run())]

    async def _wait_for_stop(self, tasks: list[asyncio.Task[None]]) -> None:
        """Wait until a stop is requested or a task ends; raise a failure of a task."""
        stop_task = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED)
        stop_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            for task in tasks:
                if task.done():
                    task.result()

    def _on_violation(self, invariant: Invariant, detail: str) -> None:
        self._metrics.count("breaches", promise=invariant.value)
        self._log.error("promise broken", promise=invariant.value, detail=detail)


async def _no_op() -> None:
    return
