"""Synchronizes a node's configuration and gossip records with its peers.

A few nodes of each data centre watch the platform's store for a new configuration;
all others receive it by gossip.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from cyclamenyoke.adapters.gossip_transport import GossipClient, GossipServer
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.config import ConfigIndex, ConfigStore
from cyclamenyoke.core.gossip import (
    Blobs,
    FetchBlobs,
    GenerationReply,
    GenerationRequest,
    GossipCore,
    GossipMessage,
    MetricsReply,
    MetricsRequest,
    NodeInfo,
    Offer,
    OfferReply,
    RecordKind,
    Records,
    Transfer,
)
from cyclamenyoke.core.store_position import START
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import KeyValueStore

INDEX_KEY = "config/index"
"""Key of the configuration index in the platform's store."""

BLOB_PREFIX = "config/blob/"
"""Prefix of the keys of configuration blobs in the platform's store."""

MEAN_EXCHANGE_INTERVAL = 1 * SECOND
"""Mean interval in seconds of a node's gossip exchanges when nothing is new."""

MEAN_PUSH_DELAY = 20 * MILLISECOND
"""Mean delay in seconds before a node pushes records that it has just received."""

WATCH_INTERVAL = 10 * SECOND
"""Timeout in seconds of one watch of the platform's store, and interval at which other
nodes check whether they have to watch."""

STARTUP_TIMEOUT = 3 * SECOND
"""Seconds after which a starting node stops waiting for the seeds and the store, and
applies what it has received so far."""

MAX_FETCH_PEERS = 3
"""Further peers that are asked for missing blobs before the next exchange."""

MAX_CONCURRENT_QUERIES = 16
"""Nodes that are asked for their generation at the same time."""

GENERATION_UNKNOWN = -1
"""Reported as the generation of a node that did not reply."""

INITIAL_BACKOFF = 200 * MILLISECOND
"""First delay in seconds before a failed watch is retried; doubled at each failure."""

MAX_BACKOFF = 10 * SECOND
"""Longest delay in seconds before a failed watch is retried."""


@dataclass(frozen=True, slots=True)
class KnownGeneration:
    """The generation that a node last reported.

    :param incarnation: the node's incarnation at the time of the report.
    """

    incarnation: int
    generation: int


class ConfigSync:
    """Keeps one node's configuration and gossip records in sync with its peers.

    Owns the gossip sockets.

    :param on_change: called after a newer configuration was applied.
    """

    def __init__(
        self,
        core: GossipCore,
        config: ConfigStore,
        store: KeyValueStore,
        client: GossipClient,
        server: GossipServer,
        seeds: list[str],
        clock: Clock,
        random: Random,
        metrics: Metrics,
        log: Log,
        on_change: Callable[[], None],
    ) -> None:
        self._core = core
        self._config = config
        self._store = store
        self._client = client
        self._server = server
        self._seeds = seeds
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._log = log
        self._on_change = on_change
        self._push_pending = asyncio.Event()
        # Store position of the last index whose blobs were all loaded.
        self._index_position = START
        self._is_started = False
        self._exchange_handlers: dict[type, Callable[..., GossipMessage]] = {
            Offer: self._core.on_offer,
            Transfer: self._core.on_transfer,
        }
        self._query_handlers: dict[type, Callable[..., GossipMessage]] = {
            FetchBlobs: self._on_fetch_blobs,
            GenerationRequest: self._on_generation_request,
            MetricsRequest: self._on_metrics_request,
        }
        self._known_generations: dict[str, KnownGeneration] = {}

    @property
    def nodes(self) -> dict[str, NodeInfo]:
        """All known nodes by name."""
        return self._core.nodes

    @property
    def config(self) -> ConfigStore:
        """The configuration that this node has applied."""
        return self._config

    def is_suspected(self, name: str) -> bool:
        """Tell whether this node or a peer suspects a node because it did not reply."""
        return self._core.is_suspected(name, self._clock.now())

    def announce_draining(self) -> None:
        """Notify the peers that this node is draining."""
        draining = msgspec.structs.replace(self._core.info, is_draining=True)
        self._core.announce(draining, self._clock.now())
        self._push_pending.set()

    def apply_published(self, index: ConfigIndex, blobs: list[bytes]) -> None:
        """Apply a configuration that this node has published itself."""
        is_config_new = self._config.offer_blobs(blobs)
        if self._config.offer_index(index) or is_config_new:
            self._on_new_config()

    async def run(self) -> None:
        """Gossip with peers and watch the platform's store until cancelled.

        ``on_change`` is not called until the seeds and the store have been asked once
        or ``STARTUP_TIMEOUT`` has passed, because the first configuration that a
        restarted node receives may be outdated.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._server.serve(self._handle_message))
            await self._initial_sync()
            tasks.create_task(self._exchange_forever())
            tasks.create_task(self._watch_forever())

    async def _initial_sync(self) -> None:
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT):
                for seed in self._seeds:
                    await self._exchange(seed)
                await self._watch_once(self._clock.now())
        except (TimeoutError, PlatformUnavailable) as error:
            self._log.warning(
                "startup sync incomplete; applying what was received", error=str(error)
            )
        self._is_started = True
        if self._config.generation:
            self._on_new_config()

    async def _handle_message(self, message: GossipMessage) -> GossipMessage | None:
        query_handler = self._query_handlers.get(type(message))
        if query_handler is not None:
            return query_handler(message)
        handler = self._exchange_handlers.get(type(message))
        if handler is None:
            return None
        reply = handler(message, self._clock.now())
        self._apply_received()
        return reply

    def _on_fetch_blobs(self, message: FetchBlobs) -> Blobs:
        found = (self._config.blob(digest) for digest in message.digests)
        return Blobs([blob for blob in found if blob is not None])

    def _on_generation_request(self, message: GenerationRequest) -> GenerationReply:
        return GenerationReply(self._config.generation)

    def _on_metrics_request(self, message: MetricsRequest) -> MetricsReply:
        return MetricsReply(self._metrics.render())

    async def fetch_metrics(self, name: str) -> str | None:
        """Return a node's metrics, or ``None`` if it is unknown or does not reply."""
        node = self._core.nodes.get(name)
        if node is None:
            return None
        if name == self._core.name:
            return self._metrics.render()
        reply = await self._client.request(node.control, MetricsRequest())
        return reply.text if isinstance(reply, MetricsReply) else None

    async def collect_generations(self) -> dict[str, int]:
        """Return the generation that each node has applied, by name.

        It is ``GENERATION_UNKNOWN`` for a node that does not reply. A node that is
        known to have the newest one is not asked again until it restarts.
        """
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        newest = self._config.generation

        async def request(name: str, node: NodeInfo) -> int:
            record = self._core.record(RecordKind.NODE, name)
            incarnation = record.version.incarnation if record else 0
            known = self._known_generations.get(name)
            if (
                known
                and known.incarnation == incarnation
                and known.generation >= newest
            ):
                return known.generation
            async with semaphore:
                reply = await self._client.request(node.control, GenerationRequest())
            if not isinstance(reply, GenerationReply):
                return GENERATION_UNKNOWN
            self._known_generations[name] = KnownGeneration(
                incarnation, reply.generation
            )
            return reply.generation

        nodes = dict(self._core.nodes)
        own = self._core.name
        others = [name for name in nodes if name != own]
        replies = await asyncio.gather(*(request(name, nodes[name]) for name in others))
        return {own: newest, **dict(zip(others, replies, strict=True))}

    async def _exchange_forever(self) -> None:
        while True:
            await self._wait_for_exchange()
            now = self._clock.now()
            self._core.tick(now)
            peer = self._core.choose_peer(now)
            if peer is not None:
                await self._exchange(peer.control)
            elif self._seeds:
                await self._exchange(self._random.choice(self._seeds))

    async def _wait_for_exchange(self) -> None:
        """Wait for the next exchange; a record to be pushed shortens the wait."""
        delay = MEAN_EXCHANGE_INTERVAL * self._random.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(delay):
                await self._push_pending.wait()
            await asyncio.sleep(MEAN_PUSH_DELAY * self._random.uniform(0.5, 1.5))
        except TimeoutError:
            pass
        if not self._core.has_pending_pushes:
            self._push_pending.clear()

    async def _exchange(self, address: str) -> None:
        """Run one exchange with a peer."""
        if address == self._core.info.control:
            return
        reply = await self._client.request(address, self._core.offer())
        if not isinstance(reply, OfferReply):
            self._metrics.count("exchanges_failed")
            self._core.on_unreachable(address, self._clock.now())
            return
        self._metrics.count("exchanges")
        self._core.on_reachable(address)
        transfer = self._core.on_offer_reply(reply, self._clock.now())
        if transfer is not None:
            records = await self._client.request(address, transfer)
            if isinstance(records, Records):
                self._core.on_records(records, self._clock.now())
        self._apply_received()
        await self._fetch_missing(address)

    def _apply_received(self) -> None:
        received = self._core.take_received()
        if self._core.has_pending_pushes:
            self._push_pending.set()
        for record in received:
            if record.kind is RecordKind.CONFIG:
                index = msgspec.json.decode(record.payload, type=ConfigIndex)
                if self._config.offer_index(index):
                    self._on_new_config()

    async def _fetch_missing(self, address: str) -> None:
        """Fetch missing blobs from the given peer, or else from some others."""
        if not self._config.missing:
            return
        others = [node.control for node in self._core.nodes.values()]
        self._random.shuffle(others)
        for candidate in [address, *others[:MAX_FETCH_PEERS]]:
            if candidate == self._core.info.control or not self._config.missing:
                continue
            reply = await self._client.request(
                candidate, FetchBlobs(self._config.missing)
            )
            if isinstance(reply, Blobs) and self._config.offer_blobs(reply.blobs):
                self._on_new_config()

    def _on_new_config(self) -> None:
        index = self._config.index
        self._core.put_config(index.generation, msgspec.json.encode(index))
        self._push_pending.set()
        if not self._is_started:
            return
        self._metrics.gauge("config_generation", index.generation)
        self._log.info("configuration in force", generation=index.generation)
        self._on_change()

    async def _watch_forever(self) -> None:
        delay = INITIAL_BACKOFF
        while True:
            if self._core.preceding_watchers() and await self._is_watched_by_peer():
                await asyncio.sleep(WATCH_INTERVAL * self._random.uniform(0.8, 1.2))
                continue
            try:
                await self._watch_once(self._clock.now() + WATCH_INTERVAL)
                delay = INITIAL_BACKOFF
            except PlatformUnavailable as error:
                self._log.warning(
                    "watch of the platform's store failed; retrying", error=str(error)
                )
                await asyncio.sleep(delay * self._random.uniform(0.5, 1.5))
                delay = min(MAX_BACKOFF, delay * 2)

    async def _is_watched_by_peer(self) -> bool:
        """Return whether a node that precedes this one as a watcher replies."""
        for node in self._core.preceding_watchers():
            reply = await self._client.request(node.control, GenerationRequest())
            if isinstance(reply, GenerationReply):
                return True
        return False

    async def _watch_once(self, deadline: float) -> None:
        found = await self._store.watch(INDEX_KEY, self._index_position, deadline)
        if found.value is None:
            self._index_position = max(self._index_position, found.position)
            return
        if found.position <= self._index_position:
            return
        index = msgspec.json.decode(found.value, type=ConfigIndex)
        is_config_new = self._config.offer_index(index)
        for digest in self._config.missing:
            blob = await self._store.get(BLOB_PREFIX + digest)
            if blob.value is not None:
                is_config_new = self._config.offer_blobs([blob.value]) or is_config_new
        if is_config_new:
            self._on_new_config()
        if not self._config.missing:
            self._index_position = found.position
