"""The entry's daemon: the callers' and operators' APIs and the links to agents."""

import asyncio
from random import Random

from cyclamenyoke.adapters.http_server import HttpServer
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.burn_rate import BurnRateTracker
from cyclamenyoke.core.config import Service
from cyclamenyoke.core.invariants import InvariantMonitor
from cyclamenyoke.core.request_state import AttemptIdAllocator
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import Router, choose_subset
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.daemon.callers import CallersApi, EntryAddress
from cyclamenyoke.daemon.config_sync import ConfigSync
from cyclamenyoke.daemon.dispatcher import Dispatcher
from cyclamenyoke.daemon.links import Links
from cyclamenyoke.daemon.operators import OperatorsApi
from cyclamenyoke.daemon.publishing import Publisher
from cyclamenyoke.daemon.settings import Settings
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import KeyValueStore

DRAIN_POLL_INTERVAL = 50 * MILLISECOND
"""Interval in seconds at which a draining entry checks whether it is done."""


class EntryDaemon:
    """Runs one entry.

    :param incarnation: unique to this start of the process.
    :param config_sync: holds the configuration; :meth:`configure` must be called after
        each change of it.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        shared_key: bytes,
        config_sync: ConfigSync,
        store: KeyValueStore,
        clock: Clock,
        random: Random,
        monitor: InvariantMonitor,
        metrics: Metrics,
        log: Log,
    ) -> None:
        assert settings.entry is not None
        self._settings = settings
        self._config_sync = config_sync
        self._random = random
        self._log = log
        self._is_draining = False
        self._router = Router(settings.data_centre, random)
        attempt_ids = AttemptIdAllocator(incarnation)
        budget = RetryBudget(clock.now())
        self._dispatcher = Dispatcher(
            self._router, attempt_ids, budget, monitor, clock, metrics
        )
        self._links = Links(incarnation, shared_key, self._dispatcher, random, log)
        self._dispatcher.connect(self._links.send)
        burn_rates = BurnRateTracker()
        callers = CallersApi(
            self._dispatcher,
            self._services,
            self._entries,
            lambda: self._is_draining,
            burn_rates,
            clock,
            metrics,
            log,
        )
        operators = OperatorsApi(
            settings.entry.operators_key_sha256,
            config_sync,
            Publisher(store, config_sync, clock, random),
            self._router,
            burn_rates,
            lambda: self._dispatcher.active,
            settings.name,
            clock,
            metrics,
        )
        self._caller_server = HttpServer(
            callers.application(), settings.ip, settings.entry.callers_port
        )
        self._operator_server = HttpServer(
            operators.application(), settings.ip, settings.entry.operators_port
        )

    def configure(self) -> None:
        """Apply the configuration that is now in force."""
        subsets = {
            name: choose_subset(service, self._settings.name)
            for name, service in self._services().items()
        }
        self._router.configure(subsets)
        self._links.configure(
            {each.name: each for endpoints in subsets.values() for each in endpoints}
        )

    async def start(self) -> None:
        """Start to serve callers and operators."""
        self.configure()
        await self._caller_server.start()
        await self._operator_server.start()
        self._log.info("entry listening", callers=self._settings.callers_address)

    async def drain(self) -> None:
        """Take no new calls; stop the callers' API once every request is finished."""
        self._is_draining = True
        self._log.info("entry draining", requests=self._dispatcher.active)
        while self._dispatcher.active:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        await self._caller_server.stop()

    async def stop(self) -> None:
        """Close the links and the operators' API."""
        self._links.close()
        await self._operator_server.stop()

    def _services(self) -> dict[str, Service]:
        return dict(self._config_sync.config.services)

    def _entries(self) -> list[EntryAddress]:
        """Return the entries that take calls, those of this data centre first."""
        usable = [
            EntryAddress(name, node.callers, node.data_centre)
            for name, node in self._config_sync.nodes.items()
            if node.callers
            and not node.is_draining
            and not self._config_sync.is_suspected(name)
        ]
        self._random.shuffle(usable)
        own_data_centre = self._settings.data_centre
        return sorted(usable, key=lambda entry: entry.data_centre != own_data_centre)
