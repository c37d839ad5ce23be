"""Keeps a node's set of evacuated data centres up to date.

The nodes that watch the configuration in the platform's store watch the evacuations as
well; all others get them with their peers' updates. Nothing is read or applied where
the settings have no time bound for evacuations.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from random import Random

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.evacuation import EvacuationState
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.peers import Peers
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.store_watch import (
    CONFIG_WATCHERS,
    INITIAL_BACKOFF,
    MAX_BACKOFF,
    POLL_INTERVAL,
    watch_duration,
)
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import KeyValueStore


class EvacuationSync:
    """Reads the evacuations, or takes them from peers, and excludes the endpoints.

    ``on_change``, to be set before the task runs, is called when the evacuations are
    first known and after each change of them.

    :param prefix: prefix of the evacuations' keys in the store; the name of the data
        centre follows.
    :param reads_store: returns whether this node's last call to the store succeeded.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyValueStore,
        prefix: str,
        registry: EndpointRegistry,
        peers: Peers,
        reads_store: Callable[[], bool],
        clock: Clock,
        random: Random,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._registry = registry
        self._peers = peers
        self._reads_store = reads_store
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._log = log
        self._state = EvacuationState()
        # A node that runs without evacuations serves on when they are switched on.
        self._must_be_known = self._is_enabled
        self._was_known = False
        self._in_force: dict[str, float] = {}
        self._is_list_needed = False
        self._last_error = ""
        self.on_change: Callable[[], None] = lambda: None

    @property
    def state(self) -> EvacuationState:
        """The evacuations as far as this node knows."""
        return self._state

    @property
    def is_synced(self) -> bool:
        """Whether this node knows what it has to know before it serves requests."""
        return self._state.is_known or not self._must_be_known

    @property
    def _is_enabled(self) -> bool:
        return self._settings.bounds.evacuation is not None

    def on_peer_state(
        self,
        names: Collection[str],
        position: StorePosition,
        kept: Mapping[str, float],
    ) -> None:
        """Apply the evacuations of a peer's update or snapshot."""
        if not self._is_enabled:
            return
        now = self._clock.now()
        self._state.apply(names, position, now)
        self._state.apply_kept(kept, position, now)
        self._enforce()

    async def run(self) -> None:
        """Keep the evacuations up to date until cancelled."""
        delay = INITIAL_BACKOFF
        while True:
            self._enforce()
            rank = self._peers.rank(self._clock.now(), self._reads_store())
            is_watcher = rank < CONFIG_WATCHERS or not self._state.is_known
            if not self._is_enabled or not is_watcher:
                await asyncio.sleep(POLL_INTERVAL)
                continue
            try:
                await self._await_change(rank)
                delay = INITIAL_BACKOFF
                self._last_error = ""
            except PlatformUnavailable as error:
                self._is_list_needed = True
                self._on_store_failed(error)
                await asyncio.sleep(delay * self._random.uniform(0.75, 1.25))
                delay = min(MAX_BACKOFF, 2 * delay)

    async def _await_change(self, rank: int) -> None:
        """Read the evacuations if that is needed; otherwise wait for a change."""
        if self._is_list_needed or not self._state.is_known:
            await self._read()
            return
        wait = watch_duration(rank, self._settings.bounds)
        watched, listed = self._state.position, set(self._state.listed)
        result = await self._store.watch_prefix(
            self._prefix, watched, self._clock.now() + wait
        )
        if not result.has_changed:
            self._state.advance(result.position)
            return
        # Takes effect before the list, which may fail.
        written, deleted = self._names(result.written), self._names(result.deleted)
        names = (listed | written) - deleted
        self._state.apply(names, result.position, self._clock.now())
        self._state.settle(written | deleted, result.position.era)
        self._enforce()
        self._is_list_needed = True
        await self._read()

    async def _read(self) -> None:
        listing = await self._store.list(self._prefix)
        self._is_list_needed = False
        names = self._names(item.key for item in listing.items)
        self._state.apply(names, listing.position, self._clock.now())
        self._enforce()

    def _names(self, keys: Iterable[str]) -> set[str]:
        """Return the data centres that keys name."""
        return {key.removeprefix(self._prefix) for key in keys} - {""}

    def _enforce(self) -> None:
        """Put the known evacuations into force."""
        if not self._is_enabled and self._state.is_known:
            self._state = EvacuationState()
            self._must_be_known = False
        now = self._clock.now()
        self._state.expire(now)
        active = {name: each.since for name, each in self._state.active.items()}
        is_known = self._state.is_known
        if active.keys() == self._in_force.keys() and is_known == self._was_known:
            return
        before, self._in_force, self._was_known = self._in_force, active, is_known
        self._log_changes(before, now)
        self._registry.set_evacuated(active)
        self.on_change()

    def _log_changes(self, before: Mapping[str, float], now: float) -> None:
        position = self._state.position
        for name in sorted(self._in_force.keys() - before.keys()):
            self._log.warning(
                "evacuation begun",
                data_centre=name,
                era=position.era,
                revision=position.revision,
            )
        for name in sorted(before.keys() - self._in_force.keys()):
            self._log.info(
                "evacuation ended",
                data_centre=name,
                era=position.era,
                revision=position.revision,
                seconds=round(now - before[name], 3),
            )

    def _on_store_failed(self, error: PlatformUnavailable) -> None:
        self._metrics.count("store_failures")
        if str(error) != self._last_error:
            self._last_error = str(error)
            self._log.warning("evacuations not read; retrying", error=str(error))
