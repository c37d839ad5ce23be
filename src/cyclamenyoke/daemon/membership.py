"""Discovers the other gateways through the store, and sends updates to them."""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable
from random import Random

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.adapters.peer_transport import MessageAuthenticator, PeerTransport
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.decoding import is_ip_address
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.node_settings import NodeSettings
from cyclamenyoke.core.orphaned_copies import OrphanedCopies
from cyclamenyoke.core.peers import PEER_LIFETIME, Peers, PeerUpdate
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.cluster_state import ClusterState
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    LeaseExpired,
    RevisionConflict,
)

NODE_PREFIX = "cyclamenyoke/nodes/"
"""Prefix of the store keys of the nodes' registrations; a node's IP address follows."""

EXCHANGE_KEY = "cyclamenyoke/exchange-key"
"""Store key of the secret that authenticates messages between nodes."""

EXCHANGE_KEY_BYTES = 32
"""Size of the exchange key in bytes."""

LEASE_LIFETIME = 20 * SECOND
"""Lifetime of a node's registration in seconds. Peers skip a dead node long before."""

RENEW_INTERVAL = 6 * SECOND
"""Interval of lease renewals in seconds: three fit in the lease's lifetime."""

DISCOVERY_INTERVAL = 20 * SECOND
"""Interval in seconds at which the nodes' registrations are read. Nodes that register
in between become known by their own updates."""

DISCOVERY_POLL_INTERVAL = 500 * MILLISECOND
"""Interval in seconds at which a task checks whether the registrations are due."""

HEARTBEAT_INTERVAL = 250 * MILLISECOND
"""Longest time in seconds between two updates to peers. Four fit in the time after
which peers skip a silent node."""

SEND_INTERVAL_PER_PEER = 6 * MILLISECOND
"""Delay in seconds after an update for each peer it was sent to, so that a node's
traffic does not grow with the number of nodes: bytes between data centres cost money.
With 20 nodes, a load is known to all within 0.12 s, a sixth of a stream's duration."""

FANOUT = 24
"""Largest number of peers to which an update is sent at a time. Hundreds of nodes are
reached in two rounds."""

SETTLE_TIME = 1 * SECOND
"""Seconds after a node's first registration within which those that started together
with it have registered. It then reads the registrations again, if shares depend on
them. When 380 nodes started within 3 s in a simulation, a cold endpoint got 21 requests
in a second of the 32 that it bears; with 2 s it got up to a quarter less."""

REGISTRATION_RETRY_INTERVAL = 3 * SECOND
"""Seconds before a failed renewal is retried. Several retries fit in the lease's
lifetime, and calls to the store cost money even while it is unavailable."""

KEY_RETRY_INTERVAL = 500 * MILLISECOND
"""Seconds before a failed read of the exchange key is retried."""

MAX_REJOIN_JITTER = 300 * MILLISECOND
"""Longest random delay in seconds before a node writes itself to a restored store, to
spread the calls of all nodes."""

KEY_CHECK_INTERVAL = 1 * SECOND
"""Least time in seconds between two checks of the exchange key that messages with an
unknown key cause."""

MICROSECONDS_PER_SECOND = 1_000_000

Supervise = Callable[[str, Callable[[], Awaitable[None]]], Awaitable[None]]
"""Runs a task of a given name."""


async def _run_unsupervised(task: str, work: Callable[[], Awaitable[None]]) -> None:
    await work()


class Membership:
    """Registers this node, discovers its peers and exchanges updates with them.

    The attribute ``queued`` must be set to a function that returns the numbers of this
    node's queued requests by service and customer, ``copies`` to one that returns the
    numbers of requests that silent endpoints may read late, by service and endpoint.
    ``on_peer_update`` is called after each update from a peer.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyValueStore,
        peers: Peers,
        registry: EndpointRegistry,
        balancer: Balancer,
        quarantine: RequestQuarantine,
        limits: EngineLimits,
        orphans: OrphanedCopies,
        cluster_state: ClusterState,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._registry = registry
        self._balancer = balancer
        self._quarantine = quarantine
        self._limits = limits
        self._orphans = orphans
        self._cluster_state = cluster_state
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._log = log
        self._incarnation = int(time.time() * MICROSECONDS_PER_SECOND)
        self._sequence = 0
        self._started_at = clock.now()
        self._settled_at: float | None = None
        self._transport: PeerTransport | None = None
        self._lease = 0
        self._authenticator: MessageAuthenticator | None = None
        self._update_pending = asyncio.Event()
        # The store's era in which this node has registered and checked its key.
        self._era = 0
        self._rejoin_needed = asyncio.Event()
        self._next_key_check = 0.0
        self._renewal_needed = asyncio.Event()
        self._next_silence_check = 0.0
        self._discover_at = 0.0
        self.queued: Callable[[], dict[str, dict[str, int]]] = dict
        self.copies: Callable[[], dict[str, dict[str, int]]] = dict
        self.on_peer_update: Callable[[], None] = lambda: None
        peers.add_candidates(settings.seeds, clock.now())

    def announce(self) -> None:
        """Schedule an update to peers."""
        self._update_pending.set()

    def announce_draining(self) -> None:
        """Notify all peers at once that this node is draining."""
        self._peers.is_draining = True
        self._send(self._peers.ips)

    async def run(self, supervise: Supervise = _run_unsupervised) -> None:
        """Register, send and receive updates until cancelled.

        :param supervise: runs each of the tasks, by name.
        """
        self._authenticator = MessageAuthenticator(await self._load_key())
        transport = PeerTransport(
            self._settings.ip,
            self._settings.peer_port,
            self._authenticator,
            self._on_update,
            self._on_rejected,
            self._on_unknown_key,
            self._cluster_state.snapshot,
        )
        await transport.start()
        self._transport = transport
        self._cluster_state.attach_transport(transport)
        try:
            await asyncio.gather(
                supervise("peer_updates", self._send_updates_forever),
                supervise("registration", self._maintain_registration),
                supervise("rejoin", self._rejoin_forever),
                supervise("discovery", self._discover_forever),
                supervise("first_discovery", self._discover_after_start),
            )
        finally:
            transport.close()

    async def deregister(self) -> None:
        """Remove this node's registration from the store."""
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except PlatformUnavailable as error:
            self._log.warning(
                "registration not removed; it expires with its lease", error=str(error)
            )

    async def _load_key(self) -> bytes:
        """Read the key that all nodes share from the store, or create it.

        In a store that was restored, the key that this node has is written again.
        """
        while True:
            try:
                found = await self._store.get(EXCHANGE_KEY)
                self._begin_era(found.era)
                if found.value is not None:
                    return found.value
                own = self._authenticator
                key = own.key if own else secrets.token_bytes(EXCHANGE_KEY_BYTES)
                await self._store.compare_and_swap(EXCHANGE_KEY, 0, key)
            except RevisionConflict:
                # Another node wrote its key first; read that one.
                continue
            except PlatformUnavailable as error:
                self._log.warning("exchange key not read; retrying", error=str(error))
                await asyncio.sleep(
                    KEY_RETRY_INTERVAL * self._random.uniform(0.75, 1.25)
                )

    async def _discover_nodes(self) -> None:
        """Read the other nodes' registrations.

        Of any two nodes, the one that registers last finds the other and sends it an
        update.
        """
        listing = await self._store.list(NODE_PREFIX)
        keys = [item.key for item in listing.items]
        names = [key.removeprefix(NODE_PREFIX) for key in keys]
        # Datagrams to anything else would close the socket for all of them.
        ips = [name for name in names if is_ip_address(name)]
        now = self._clock.now()
        self._peers.on_store_reached(now)
        # Nodes are removed only by this read: a node that is cut off keeps the others,
        # and does not take their shares.
        self._peers.on_registrations(ips, now)
        if self._settled_at is not None and now >= self._settled_at:
            self._peers.are_complete = True
        self.announce()

    async def _maintain_registration(self) -> None:
        """Keep this node registered in the store."""
        while True:
            try:
                if self._lease and not self._peers.is_draining:
                    renewed_at = self._clock.now()
                    await self._store.renew_lease(self._lease)
                    self._peers.on_registered(renewed_at + LEASE_LIFETIME)
                    self._peers.on_store_reached(self._clock.now())
                else:
                    await self._register()
                    await self._discover_nodes()
                delay = RENEW_INTERVAL
            except LeaseExpired:
                self._on_registration_lost()
                continue
            except (PlatformUnavailable, RevisionConflict) as error:
                self._log.warning(
                    "registration not renewed; retrying", error=str(error)
                )
                delay = REGISTRATION_RETRY_INTERVAL
            await self._wait_for_renewal(delay * self._random.uniform(0.75, 1.25))

    async def _wait_for_renewal(self, delay: float) -> None:
        """Wait until the next renewal, or less if this node may be cut off.

        The renewal is the cheapest call that tells whether it reaches the store.
        """
        try:
            async with asyncio.timeout(delay):
                await self._renewal_needed.wait()
        except TimeoutError:
            return
        self._renewal_needed.clear()
        await asyncio.sleep(self._random.uniform(0, MAX_REJOIN_JITTER))

    async def _register(self) -> None:
        if self._peers.is_draining:
            # A registration would outlive the node.
            return
        granted_at = self._clock.now()
        lease = await self._store.grant_lease(LEASE_LIFETIME)
        key = NODE_PREFIX + self._settings.ip
        value = self._settings.data_centre.encode()
        try:
            await self._store.compare_and_swap(key, 0, value, lease)
        except RevisionConflict:
            # The registration of this node's previous start has not expired yet.
            current = await self._store.get(key)
            await self._store.compare_and_swap(key, current.revision, value, lease)
        self._lease = lease
        self._peers.on_registered(granted_at + LEASE_LIFETIME)
        if self._settled_at is None:
            self._settled_at = self._clock.now() + SETTLE_TIME

    def _on_registration_lost(self) -> None:
        self._lease = 0
        self._peers.on_registered(self._clock.now())

    def _on_unknown_key(self) -> None:
        now = self._clock.now()
        if now >= self._next_key_check:
            self._next_key_check = now + KEY_CHECK_INTERVAL
            self._rejoin_needed.set()

    def _begin_era(self, era: int) -> bool:
        """Note the store's era; return whether the store was restored."""
        if era <= self._era:
            return False
        self._log.info("store era begun", era=era, before=self._era)
        self._era = era
        # The lease belongs to the era before; its key may be missing.
        self._on_registration_lost()
        return True

    async def _rejoin_forever(self) -> None:
        """Agree on the exchange key again, and register, whenever that is needed."""
        while True:
            await self._rejoin_needed.wait()
            await asyncio.sleep(self._random.uniform(0, MAX_REJOIN_JITTER))
            self._rejoin_needed.clear()
            key = await self._load_key()
            if self._authenticator is not None and key != self._authenticator.key:
                self._log.warning("exchange key replaced by that of the store")
                self._authenticator.change_key(key)
            try:
                if not self._lease:
                    await self._register()
                await self._discover_nodes()
            except (PlatformUnavailable, RevisionConflict, LeaseExpired) as error:
                # The registration is retried at its next renewal.
                self._log.warning("not registered yet; retrying", error=str(error))

    async def _discover_forever(self) -> None:
        while True:
            now = self._clock.now()
            interval = DISCOVERY_INTERVAL * self._random.uniform(0.75, 1.25)
            self._discover_at = now + interval
            while self._clock.now() < self._discover_at:
                await asyncio.sleep(DISCOVERY_POLL_INTERVAL)
            await self._try_to_discover()

    async def _discover_after_start(self) -> None:
        """Find the nodes that started together with this one."""
        while self._settled_at is None:
            await asyncio.sleep(SETTLE_TIME)
        await asyncio.sleep(max(0.0, self._settled_at - self._clock.now()))
        if self._limits.has_cold_rates and not self._peers.are_complete:
            await self._try_to_discover()

    async def _try_to_discover(self) -> None:
        try:
            await self._discover_nodes()
        except PlatformUnavailable as error:
            self._log.warning(
                "registrations of nodes not read; retrying", error=str(error)
            )
            # By then all live nodes have sent updates.
            if self._clock.now() >= self._started_at + PEER_LIFETIME:
                self._peers.are_complete = True

    async def _send_updates_forever(self) -> None:
        """Send an update to peers after each change, and at each heartbeat."""
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL):
                    await self._update_pending.wait()
            except TimeoutError:
                pass
            self._update_pending.clear()
            self._peers.on_heartbeat(self._clock.now())
            self._check_silence()
            self._adopt_copies()
            if self._begin_era(self._registry.position.era):
                self._rejoin_needed.set()
            ips = self._peers.sample(FANOUT, self._random)
            self._send(ips)
            await asyncio.sleep(SEND_INTERVAL_PER_PEER * max(1, len(ips)))

    def _check_silence(self) -> None:
        """Find out whether this node is cut off, if most of the others are silent.

        If they are gone, their registrations expire with their leases.
        """
        now = self._clock.now()
        if now < self._next_silence_check or not self._peers.are_most_silent(now):
            return
        self._next_silence_check = now + REGISTRATION_RETRY_INTERVAL
        self._discover_at = min(self._discover_at, now + LEASE_LIFETIME)
        self._renewal_needed.set()

    def _adopt_copies(self) -> None:
        """Count the copies of silent nodes, which may have ended."""
        for update, heard_at in self._peers.silent(self._clock.now()):
            self._orphans.adopt(update.ip, update.incarnation, update.copies, heard_at)

    def _send(self, ips: list[str]) -> None:
        if self._transport is None:
            return
        now = self._clock.now()
        self._sequence += 1
        evacuation = self._cluster_state.evacuation.state
        update = PeerUpdate(
            ip=self._settings.ip,
            incarnation=self._incarnation,
            sequence=self._sequence,
            data_centre=self._settings.data_centre,
            caller_address=self._settings.callers or "",
            is_ready=self._cluster_state.is_synced,
            is_draining=self._peers.is_draining,
            reads_store=self._cluster_state.reads_store,
            config_version=self._cluster_state.config_version,
            list_age=self._cluster_state.list_age(),
            list_position=self._registry.position,
            is_list_read_directly=self._registry.is_read_directly,
            list_digest=self._registry.digest,
            changes=tuple(self._registry.recent_changes(now)),
            requests=self._balancer.own_requests,
            customers=self._balancer.own_customers,
            queued=self.queued(),
            suspects=tuple(self._balancer.suspects),
            broken=tuple(self._balancer.broken(now)),
            leaving=tuple(self._registry.leaving),
            evidence=self._quarantine.news(now),
            limits=self._limits.news(now),
            evacuated=evacuation.listed,
            evacuation_position=evacuation.position,
            evacuations_kept=evacuation.kept(now),
            unread_tokens=dict(self._balancer.prompt_tokens.own_unread),
            config_evidence=self._cluster_state.config_confirmation.evidence,
            config_age=self._cluster_state.config_age(),
            copies=self.copies(),
            orphans=self._orphans.notices(now),
        )
        self._transport.send(update, ips)
        self._metrics.gauge("exchange_sent_bytes", self._transport.sent_datagram_bytes)

    def _on_update(self, update: PeerUpdate) -> None:
        now = self._clock.now()
        is_arrival = self._peers.is_arrival(update, now)
        last = self._peers.last_heard(update.ip)
        if not self._peers.on_update(update, now):
            return
        if is_arrival:
            self._quarantine.announce_all(now)
            self._limits.announce_all(now)
        self._on_copies(update, last, now)
        self._quarantine.merge(update.evidence, now)
        self._limits.merge(update.limits, now)
        self._limits.on_suspects(update.ip, update.suspects, now)
        self._balancer.on_peer_load(
            update.ip,
            update.requests,
            update.suspects,
            now,
            update.broken,
            update.customers,
            update.unread_tokens,
        )
        self._cluster_state.on_peer_update(update, now)
        self.on_peer_update()

    def _on_copies(
        self, update: PeerUpdate, last: tuple[PeerUpdate, float] | None, now: float
    ) -> None:
        """Note what an update says of copies that are read late.

        :param last: the node's update before, and when it arrived.
        """
        if last is not None and last[0].incarnation != update.incarnation:
            before, heard_at = last
            self._orphans.adopt(before.ip, before.incarnation, before.copies, heard_at)
        self._orphans.disown(update.ip, update.incarnation)
        if update.orphans:
            running = {each.ip: each.incarnation for each in self._peers.live(now)}
            running[self._settings.ip] = self._incarnation
            self._orphans.merge(update.orphans, running, now)

    def _on_rejected(self, reason: str) -> None:
        self._metrics.count("exchange_refused")
        self._log.warning("message of a peer refused", reason=reason)
