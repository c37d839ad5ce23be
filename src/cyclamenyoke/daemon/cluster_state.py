"""A gateway's copy of the configuration in force and of the endpoint list.

Only a few nodes read the platform's store: some watch the configuration, and one of
them reads the endpoint list. :meth:`Peers.rank` selects them. All others get updates
from their peers, and read the store themselves if the peers' data is too old.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.adapters.peer_transport import PeerTransport, Snapshot
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.config_confirmation import ConfigConfirmation
from cyclamenyoke.core.endpoint_registry import Change, Endpoint, EndpointRegistry
from cyclamenyoke.core.gateway_config import GatewayConfig
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.peers import Peers, PeerUpdate
from cyclamenyoke.core.store_position import START, StorePosition
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.daemon.evacuation_sync import EvacuationSync
from cyclamenyoke.daemon.store_watch import (
    CONFIG_WATCHERS,
    INITIAL_BACKOFF,
    MAX_BACKOFF,
    POLL_INTERVAL,
    watch_duration,
)
from cyclamenyoke.exceptions import CyclamenyokeError, PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    StoredItem,
    VersionedValue,
)

LIST_READS_PER_DRAIN = 4
"""Reads of the endpoint list per drain time, the time after which a draining endpoint
must get no new requests."""

MAX_LIST_AGES_PER_DRAIN = 2
"""A node reads the store itself when its endpoint list is older than the drain time
divided by this, increased by up to 20 % jitter."""

PEER_CONFIRMATION_DELAY = 100 * MILLISECOND
"""Seconds for which the store may take to confirm the configuration before a peer is
asked as well; several times as long as the store usually takes."""

MAX_FETCH_JITTER = 40 * MILLISECOND
"""Longest random delay in seconds before a newer version is fetched, to spread the
transfers."""


class StoreSchema:
    """Keys of the configuration and the endpoints in the store, and their decoders.

    :param config_key: key of the configuration.
    :param endpoint_prefix: prefix of the endpoints' keys.
    :param decode_config: raises :class:`CyclamenyokeError` for an invalid value.
    :param decode_endpoints: returns the valid endpoints, and an error for each other
        item.
    """

    def __init__(
        self,
        config_key: str,
        endpoint_prefix: str,
        decode_config: Callable[[bytes], GatewayConfig],
        decode_endpoints: Callable[
            [Sequence[StoredItem]], tuple[list[Endpoint], Sequence[CyclamenyokeError]]
        ],
    ) -> None:
        self.config_key = config_key
        self.endpoint_prefix = endpoint_prefix
        self.decode_config = decode_config
        self.decode_endpoints = decode_endpoints


@dataclass(slots=True)
class ActiveConfig:
    """The configuration in force at this node.

    :param raw_config: the value in the store, which is passed on to peers.
    :param config_position: position of that value.
    :param position: newest position of the key that this node has read from the store,
        whether its value was valid or not.
    """

    config: GatewayConfig | None = None
    raw_config: bytes = b""
    config_position: StorePosition = START
    position: StorePosition = START


class ClusterState:
    """Keeps the configuration and the endpoint list of one node up to date.

    Callbacks, to be set before the tasks run: ``on_change`` after any change that peers
    should know, ``on_config`` for a new configuration, ``on_endpoint_removed`` for each
    endpoint that is no longer in the list, ``on_evacuation`` after a change of the
    evacuated data centres.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyValueStore,
        schema: StoreSchema,
        registry: EndpointRegistry,
        peers: Peers,
        balancer: Balancer,
        evacuation: EvacuationSync,
        clock: Clock,
        random: Random,
        monitor: InvariantMonitor,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._settings = settings
        self._store = store
        self._schema = schema
        self._registry = registry
        self._peers = peers
        self._balancer = balancer
        self._evacuation = evacuation
        self._clock = clock
        self._random = random
        self._monitor = monitor
        self._metrics = metrics
        self._log = log
        self._current = ActiveConfig()
        self._reads_store = False
        self._reported: dict[str, str] = {}
        self._newer_config_seen = asyncio.Event()
        self._target_version = 0
        self._transport: PeerTransport | None = None
        self._is_list_outdated = False
        # The era of the last list that was read, and when it was first seen.
        self._era = -1
        self._era_seen_at = 0.0
        self._synced = asyncio.Event()
        self._confirmation = ConfigConfirmation(settings.ip, clock.now())
        # Position of the newest configuration, if it could not be decoded.
        self._invalid_config_at = START
        self._confirming: asyncio.Task[None] | None = None
        self._next_confirming_at = 0.0
        self._confirming_delay = INITIAL_BACKOFF
        self.on_change: Callable[[], None] = lambda: None
        self.on_config: Callable[[GatewayConfig], None] = lambda config: None
        self.on_endpoint_removed: Callable[[str], None] = lambda id_: None
        self.on_evacuation: Callable[[], None] = lambda: None
        evacuation.on_change = self._on_evacuation_changed

    @property
    def config(self) -> GatewayConfig | None:
        """The configuration in force; ``None`` before the first sync."""
        return self._current.config

    @property
    def config_version(self) -> int:
        """The version of the configuration in force; 0 before the first sync."""
        return self._current.config.version if self._current.config else 0

    @property
    def config_confirmation(self) -> ConfigConfirmation:
        """How recently the configuration was known to be the newest."""
        return self._confirmation

    @property
    def reads_store(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._reads_store

    @property
    def is_synced(self) -> bool:
        """Whether this node has a configuration and an endpoint list.

        Where data centres are evacuated, it must know which ones, too.
        """
        has_list = self._registry.read_at is not None
        return self.config_for_requests() is not None and has_list

    @property
    def evacuation(self) -> EvacuationSync:
        """The evacuated data centres."""
        return self._evacuation

    def config_for_requests(self) -> GatewayConfig | None:
        """Return the configuration in force.

        It is ``None`` until the evacuated data centres are known, where there may be
        any: requests might be sent there before.
        """
        return self._current.config if self._evacuation.is_synced else None

    def config_age(self) -> float:
        """Return the seconds since the configuration was known to be the newest.

        It is -1 if it never was.
        """
        return self._confirmation.age(self._clock.now())

    def is_config_confirmed(self, arrived_at: float) -> bool:
        """Return whether a request may be denied by the configuration in force.

        A version that the store has acknowledged counts for the requests that arrive
        later than ``config_apply`` after that.
        """
        bound = self._settings.bounds.config_apply
        return arrived_at <= self._confirmation.confirmed_at + bound

    async def confirm_config(self, until: float) -> None:
        """Find out whether there is a newer configuration, and put it in force.

        Requests that need to know at the same time share one answer.

        :param until: when to return at the latest; the search goes on then.
        """
        self.start_confirming()
        if self._confirming is not None:
            timeout = max(0.0, until - self._clock.now())
            await asyncio.wait({self._confirming}, timeout=timeout)

    def start_confirming(self) -> None:
        """Look for a newer configuration, unless that is being done or just failed."""
        now = self._clock.now()
        is_running = self._confirming is not None and not self._confirming.done()
        if is_running or now < self._next_confirming_at:
            return
        jitter = self._random.uniform(0.75, 1.25)
        self._next_confirming_at = now + self._confirming_delay * jitter
        self._metrics.count("config_confirmations")
        self._confirming = asyncio.create_task(self._ask_for_newer_config())

    def era_age(self, era: int) -> float:
        """Return for how many seconds this node has read lists of a store's era."""
        return self._clock.now() - self._era_seen_at if era == self._era else 0.0

    async def wait_until_synced(self, until: float) -> None:
        """Wait until ``is_synced`` is true, at most until the given time."""
        try:
            async with asyncio.timeout(until - self._clock.now()):
                await self._synced.wait()
        except TimeoutError:
            return

    def list_age(self) -> float:
        """Return the age of the endpoint list in seconds; -1 without one."""
        read_at = self._registry.read_at
        return -1.0 if read_at is None else self._clock.now() - read_at

    def attach_transport(self, transport: PeerTransport) -> None:
        """Set the transport over which snapshots are fetched from peers."""
        self._transport = transport

    def snapshot(self) -> Snapshot:
        """Return the configuration and endpoint list for a peer."""
        evacuation = self._evacuation.state
        return Snapshot(
            self._current.raw_config,
            self._current.config_position,
            self.list_age(),
            self._registry.position,
            list(self._registry.endpoints.values()),
            list(evacuation.listed),
            evacuation.position,
            evacuation.kept(self._clock.now()),
            self._confirmation.evidence,
            self.config_age(),
        )

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint stated that it is leaving, and tell the peers."""
        now = self._clock.now()
        if self._registry.mark_leaving(endpoint.id, endpoint.born, now):
            self._log.info("endpoint changed", endpoint=endpoint.id, state="leaving")
            self.on_change()

    def on_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Apply the endpoint changes of a peer's update, and note newer versions."""
        if update.config_version > self.config_version:
            self._target_version = max(self._target_version, update.config_version)
            self._newer_config_seen.set()
        elif self._can_be_newest:
            self._confirmation.on_peer_message(
                update.config_evidence, update.config_age, now
            )
        for id_, born in update.leaving:
            self._registry.mark_leaving(id_, born, now)
        self._evacuation.on_peer_state(
            update.evacuated, update.evacuation_position, update.evacuations_kept
        )
        if update.list_age < 0:
            return
        read_at = now - update.list_age
        before = self._registry.endpoints
        agrees = self._registry.apply_update(
            update.changes,
            update.list_digest,
            update.list_position,
            read_at,
            now,
            update.is_list_read_directly,
        )
        self._on_endpoints_changed(before, [])
        self._update_synced()
        if not agrees and update.list_position > self._registry.position:
            self._is_list_outdated = True

    async def watch_config(self) -> None:
        """Keep the configuration up to date until cancelled."""
        delay = INITIAL_BACKOFF
        while True:
            rank = self._peers.rank(self._clock.now(), self._reads_store)
            if rank >= CONFIG_WATCHERS and self._current.config is not None:
                await asyncio.sleep(POLL_INTERVAL)
                continue
            try:
                await self._await_config(rank)
                delay = INITIAL_BACKOFF
            except PlatformUnavailable as error:
                self._on_store_failed(error)
                await self._fetch_config_from_peer()
                await asyncio.sleep(delay * self._random.uniform(0.75, 1.25))
                delay = min(MAX_BACKOFF, 2 * delay)

    async def fetch_newer_config(self) -> None:
        """Fetch newer configurations that peers report, until cancelled."""
        while True:
            await self._newer_config_seen.wait()
            self._newer_config_seen.clear()
            await asyncio.sleep(self._random.uniform(0, MAX_FETCH_JITTER))
            if self.config_version >= self._target_version:
                continue
            await self._fetch_config_from_peer()
            if self.config_version < self._target_version:
                await self._read_config()

    async def sync_endpoints(self) -> None:
        """Keep the endpoint list up to date until cancelled."""
        drain = self._settings.bounds.drain
        next_read = 0.0
        failures = 0
        stale_after = drain / MAX_LIST_AGES_PER_DRAIN
        max_age = stale_after * self._random.uniform(1.0, 1.2)
        while True:
            now = self._clock.now()
            self._confirmation.tick(now)
            age = self.list_age()
            is_stale = age < 0 or age > max_age
            is_list_reader = self._peers.is_list_reader(now, self._reads_store)
            if now < next_read or not (
                is_list_reader or is_stale or self._is_list_outdated
            ):
                await asyncio.sleep(POLL_INTERVAL)
                continue
            self._is_list_outdated = False
            max_age = stale_after * self._random.uniform(1.0, 1.2)
            try:
                await self._read_list()
                failures = 0
                next_read = now + drain / LIST_READS_PER_DRAIN
            except PlatformUnavailable as error:
                self._registry.on_list_failed(self._clock.now())
                self._on_store_failed(error)
                await self._fetch_list_from_peer()
                delay = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**failures)
                if self._peers.rank(now, self._reads_store) >= CONFIG_WATCHERS:
                    delay = max_age
                failures += 1
                next_read = self._clock.now() + delay

    async def _read_list(self) -> None:
        read_at = self._clock.now()
        listing = await self._store.list(self._schema.endpoint_prefix)
        self._on_store_available()
        if listing.era > self._era:
            self._era, self._era_seen_at = listing.era, self._clock.now()
        endpoints, invalid = self._schema.decode_endpoints(listing.items)
        for error in invalid:
            self._report_once("entry", str(error))
        self._apply_list(endpoints, listing.position, read_at, True)

    def _apply_list(
        self,
        endpoints: list[Endpoint],
        position: StorePosition,
        read_at: float,
        is_read_directly: bool,
    ) -> None:
        before = self._registry.endpoints
        now = self._clock.now()
        changes = self._registry.apply_list(
            endpoints, position, read_at, now, is_read_directly
        )
        self._on_endpoints_changed(before, changes)
        self._update_synced()
        self.on_change()

    def _on_endpoints_changed(
        self, before: Mapping[str, Endpoint], changes: Sequence[Change]
    ) -> None:
        removed = before.keys() - self._registry.endpoints.keys()
        for id_ in removed:
            self.on_endpoint_removed(id_)
        added = {change.id for change in changes if change.id not in before}
        self._balancer.reset_breakers(removed | added)
        for change in changes:
            if _differs_in_warmth_only(before.get(change.id), change.endpoint):
                continue
            state = "gone"
            if change.endpoint is not None:
                state = "leaving" if change.endpoint.is_leaving else "usable"
            self._log.info("endpoint changed", endpoint=change.id, state=state)

    def _on_evacuation_changed(self) -> None:
        self._update_synced()
        self.on_change()
        self.on_evacuation()

    def _update_synced(self) -> None:
        if self.is_synced:
            self._synced.set()

    async def _await_config(self, rank: int) -> None:
        """Read the configuration if there is none yet; otherwise wait for a change.

        :param rank: this node's rank, as returned by :meth:`Peers.rank`.
        """
        key = self._schema.config_key
        asked_at = self._clock.now()
        if self._current.config is None:
            value = await self._store.get(key)
        else:
            deadline = asked_at + watch_duration(rank, self._settings.bounds)
            value = await self._store.watch(key, self._current.position, deadline)
            if not rank and value.value is None and self._clock.now() >= deadline:
                # The store has looked for a change until then. A longer watch may have
                # been cut off long before.
                asked_at = deadline
        self._on_store_available()
        self._on_config_read(value, asked_at)
        if self._current.config is None:
            await asyncio.sleep(INITIAL_BACKOFF)

    async def _read_config(self) -> None:
        """Read the configuration from the store; a failure is logged."""
        asked_at = self._clock.now()
        try:
            value = await self._store.get(self._schema.config_key)
        except PlatformUnavailable as error:
            self._on_store_failed(error)
            return
        self._on_store_available()
        self._on_config_read(value, asked_at)

    async def _read_for_confirmation(self) -> None:
        """Read the configuration; a failure does not count as losing the store.

        The watch and the list of endpoints tell that, from which the node's rank
        follows.
        """
        asked_at = self._clock.now()
        try:
            value = await self._store.get(self._schema.config_key)
        except PlatformUnavailable as error:
            self._metrics.count("store_failures")
            self._report_once("confirmation", str(error), "configuration not confirmed")
            return
        self._reported.pop("confirmation", None)
        self._on_config_read(value, asked_at)

    async def _ask_for_newer_config(self) -> None:
        """Ask the store, and a peer if the store does not answer at once."""
        asked_at = self._clock.now()
        read = asyncio.create_task(self._read_for_confirmation())
        try:
            delay = PEER_CONFIRMATION_DELAY if self._reads_store else 0.0
            await asyncio.wait({read}, timeout=delay)
            peers = self._confirming_peers()
            if self._confirmation.confirmed_at < asked_at and peers:
                await self._fetch_config(peers)
            if not self.is_config_confirmed(asked_at):
                await read
        finally:
            read.cancel()
        is_confirmed = self.is_config_confirmed(asked_at)
        delay = INITIAL_BACKOFF if is_confirmed else 2 * self._confirming_delay
        self._confirming_delay = min(MAX_BACKOFF, delay)

    def _confirming_peers(self) -> list[str]:
        return self._peers.peers_with_confirmed_config(
            self.config_version, self._settings.bounds.config_apply, self._clock.now()
        )

    def _on_config_read(self, value: VersionedValue, asked_at: float) -> None:
        """Apply what the store has responded to a read or a watch.

        :param asked_at: a time at which the response was true.
        """
        # Advances for any value, since a watch from an older position returns the same
        # one again at once.
        self._current.position = max(self._current.position, value.position)
        if value.value is not None:
            self._apply_config(value.value, value.position)
        if self._can_be_newest:
            self._confirmation.on_store_read(asked_at)

    @property
    def _can_be_newest(self) -> bool:
        """Whether there is a configuration, and none that could not be decoded."""
        return self.config is not None and self._invalid_config_at == START

    def _apply_config(self, raw_config: bytes, position: StorePosition) -> None:
        # Versions alone decide what is in force: a store that was restored may hold an
        # older one at a later position.
        try:
            config = self._schema.decode_config(raw_config)
        except CyclamenyokeError as error:
            # It may allow what the version in force denies.
            self._invalid_config_at = max(self._invalid_config_at, position)
            self._report_once("config", str(error))
            return
        if position > self._invalid_config_at:
            self._invalid_config_at = START
        if config.version <= self.config_version:
            return
        before = self.config_version
        self._current = ActiveConfig(
            config, raw_config, position, self._current.position
        )
        self._monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            self.config_version > before,
            f"version {self.config_version} after {before}",
        )
        self._log.info(
            "configuration in force",
            version=config.version,
            before=before,
            era=position.era,
            revision=position.revision,
            routes=len(config.routes),
        )
        self.on_config(config)
        self._update_synced()
        self.on_change()

    async def _fetch_config_from_peer(self) -> None:
        peers_with_config = self._peers.peers_with_config(
            self.config_version + 1, self._clock.now()
        )
        await self._fetch_config(peers_with_config)

    async def _fetch_config(self, ips: list[str]) -> None:
        asked_at = self._clock.now()
        snapshot = await self._fetch_snapshot(ips)
        if snapshot is None or not snapshot.config:
            return
        self._apply_config(snapshot.config, snapshot.config_position)
        if self._can_be_newest:
            self._confirmation.on_snapshot(
                snapshot.config_evidence, snapshot.config_age, asked_at
            )

    async def _fetch_list_from_peer(self) -> None:
        position = self._registry.position
        peers_with_newer_list = [
            update.ip
            for update in self._peers.live(self._clock.now())
            if update.list_age >= 0 and update.list_position > position
        ]
        snapshot = await self._fetch_snapshot(peers_with_newer_list)
        if snapshot is not None and snapshot.list_age >= 0:
            read_at = self._clock.now() - snapshot.list_age
            self._apply_list(snapshot.endpoints, snapshot.list_position, read_at, False)

    async def _fetch_snapshot(self, ips: list[str]) -> Snapshot | None:
        if self._transport is None or not ips:
            return None
        ip = self._random.choice(ips)
        try:
            snapshot = await self._transport.fetch_snapshot(ip)
        except PlatformUnavailable as error:
            self._log.warning(
                "could not fetch a snapshot from a peer", peer=ip, error=str(error)
            )
            return None
        self._evacuation.on_peer_state(
            snapshot.evacuated, snapshot.evacuation_position, snapshot.evacuations_kept
        )
        return snapshot

    def _on_store_available(self) -> None:
        if not self._reads_store:
            self._log.info("store regained")
        self._reads_store = True
        self._peers.on_store_reached(self._clock.now())
        self._reported.pop("store", None)

    def _on_store_failed(self, error: PlatformUnavailable) -> None:
        self._metrics.count("store_failures")
        self._reads_store = False
        self._report_once("store", str(error), "store lost")

    def _report_once(self, kind: str, detail: str, message: str = "unusable") -> None:
        """Log a problem, unless its text is the same as the last time."""
        if self._reported.get(kind) == detail:
            return
        self._reported[kind] = detail
        self._log.warning(message, kind=kind, detail=detail)


def _differs_in_warmth_only(before: Endpoint | None, after: Endpoint | None) -> bool:
    """Return whether an endpoint has become cold or warm and is otherwise the same."""
    if before is None or after is None or before == after:
        return False
    return replace(before, is_cold=after.is_cold) == after
