"""The other gateways: which are live, which accept callers, which read the store.

There is no leader election. The live nodes whose last call to the store succeeded
are ranked by address: the first reads the platform's list of endpoints, the first few
watch the configuration. A node whose list becomes too old reads the store itself.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random

from msgspec import Struct

from cyclamenyoke.core.config_confirmation import NO_EVIDENCE, Evidence
from cyclamenyoke.core.decoding import Integer64, Number
from cyclamenyoke.core.endpoint_registry import Change
from cyclamenyoke.core.engine_limits import LimitNotice
from cyclamenyoke.core.orphaned_copies import OrphanNotice
from cyclamenyoke.core.request_quarantine import TraitEvidence
from cyclamenyoke.core.store_position import START, StorePosition
from cyclamenyoke.core.units import MILLISECOND, SECOND

PEER_TIMEOUT = 1 * SECOND
"""Seconds without an update after which a peer no longer counts as live: four missed
updates."""

REORDER_WINDOW = 500 * MILLISECOND
"""Seconds after a node's last update within which an older one may still arrive. After
that an update of another incarnation is accepted even if its number is lower."""

MAX_SILENCE = 3 * SECOND
"""Seconds without an update for which a peer may still be sending requests, although it
no longer counts as live."""

MAX_HEARTBEAT_GAP = 500 * MILLISECOND
"""Seconds between two heartbeats from which this process did not run in between, and
updates of its peers wait to be read."""

PEER_LIFETIME = 30 * SECOND
"""Seconds without an update after which a peer is removed and gets no more updates."""


class PeerUpdate(Struct, frozen=True, array_like=True):
    """A node's state and what it knows of the endpoints, in one datagram.

    :param incarnation: when the node started, in microseconds of Unix time.
    :param sequence: increases with each datagram of an incarnation.
    :param caller_address: the address for callers' requests; empty without one.
    :param is_draining: whether the node is shutting down.
    :param reads_store: whether the node's last call to the store succeeded.
    :param config_version: version of its configuration; 0 without one.
    :param list_age: seconds since the list on which the node's state is based was
        read; negative without one.
    :param list_position: position of the store when that list was read.
    :param is_list_read_directly: whether the node read that list from the store itself.
    :param list_digest: digest of the endpoints that the node knows.
    :param changes: recent changes of these endpoints.
    :param requests: its requests in flight, by endpoint.
    :param customers: its requests in flight, by service and customer.
    :param queued: its queued requests, by service and customer.
    :param suspects: endpoints whose circuit is not closed at the node.
    :param broken: endpoints that recently reported a broken group to the node.
    :param leaving: id and incarnation of endpoints that are leaving, although the list
        states that they are ready.
    :param evidence: news of prompt parts under which engines have ended.
    :param limits: news of the rates that endpoints accept from all nodes.
    :param evacuated: data centres whose evacuation the store has.
    :param evacuation_position: position of the store when ``evacuated`` was read.
    :param unread_tokens: prompt tokens of its requests that wait for their first
        event, by endpoint.
    :param evacuations_kept: seconds for which evacuations are kept that a restored
        store has lost; 0 for data centres that must not be kept any more.
    :param config_evidence: that there was no newer configuration than the node's.
    :param config_age: seconds since that was found; negative if it never was.
    :param copies: requests that it repeated and that silent endpoints may read later,
        by service and endpoint.
    :param orphans: news of such copies of nodes that have ended.
    """

    ip: str
    incarnation: Integer64
    sequence: Integer64
    data_centre: str
    caller_address: str
    is_ready: bool
    is_draining: bool
    reads_store: bool
    config_version: Integer64
    list_age: Number
    list_position: StorePosition
    is_list_read_directly: bool
    list_digest: bytes
    changes: tuple[Change, ...]
    requests: dict[str, Integer64]
    customers: dict[str, dict[str, Integer64]]
    queued: dict[str, dict[str, Integer64]]
    suspects: tuple[str, ...]
    broken: tuple[str, ...]
    leaving: tuple[tuple[str, Integer64], ...]
    evidence: tuple[TraitEvidence, ...]
    limits: tuple[LimitNotice, ...]
    evacuated: tuple[str, ...] = ()
    evacuation_position: StorePosition = START
    unread_tokens: dict[str, Integer64] = {}
    evacuations_kept: dict[str, Number] = {}
    config_evidence: Evidence = NO_EVIDENCE
    config_age: Number = -1.0
    copies: dict[str, dict[str, Integer64]] = {}
    orphans: tuple[OrphanNotice, ...] = ()


@dataclass(slots=True)
class Peer:
    """One other node.

    :param received_at: when its last update arrived; ``None`` before the first.
    """

    ip: str
    added_at: float
    received_at: float | None = None
    update: PeerUpdate | None = None

    @property
    def heard_at(self) -> float:
        """When its last update arrived, or when it was added."""
        return self.added_at if self.received_at is None else self.received_at


@dataclass(frozen=True, slots=True)
class BudgetPart:
    """A node's part of a number that all nodes together may use in a window.

    :param nodes: number of nodes that may have used a part within the window.
    :param is_usable: whether all others have counted this node for a window.
    """

    nodes: int
    is_usable: bool


@dataclass(slots=True)
class Peers:
    """The other nodes that are known.

    :param ip: this node's IP address.
    :param is_draining: whether this node is shutting down.
    :param are_complete: whether all other nodes are known that started before this one
        or together with it.
    """

    ip: str
    is_draining: bool = False
    are_complete: bool = False
    _peers: dict[str, Peer] = field(default_factory=dict)
    _store_reached_at: float = -inf
    _has_registrations: bool = False
    _registered_until: float = -inf
    # Since when all others have counted this node, as of the last check; ``None`` while
    # they may not.
    _counted_since: float | None = None
    _counted_checked_at: float = -inf
    # The last heartbeat or query; ``None`` before the first heartbeat.
    _ran_at: float | None = None
    # The last pause of this process.
    _paused_at: float = -inf
    _resumed_at: float = -inf
    # When nodes were removed whose registrations had expired, by IP address.
    _removed_at: dict[str, float] = field(default_factory=dict)

    @property
    def ips(self) -> list[str]:
        """IP addresses of the nodes that get updates."""
        return list(self._peers)

    @property
    def all_ips(self) -> list[str] | None:
        """IP addresses of all other nodes that may exist; ``None`` until known.

        Nodes that agree on this list agree on shares of what they use together. It
        keeps a silent node until its registration has expired as well.
        """
        return self.ips if self.are_complete else None

    def add_candidates(self, ips: Iterable[str], now: float) -> None:
        """Add nodes that may exist, so that they get updates."""
        for ip in ips:
            if ip != self.ip and ip not in self._peers:
                self._peers[ip] = Peer(ip, now)

    def is_arrival(self, update: PeerUpdate, now: float) -> bool:
        """Return whether a node is new, started again or was silent for long."""
        peer = self._peers.get(update.ip)
        if peer is None or peer.update is None or peer.received_at is None:
            return True
        is_same = peer.update.incarnation == update.incarnation
        return not is_same or now - peer.received_at > PEER_TIMEOUT

    def on_update(self, update: PeerUpdate, now: float) -> bool:
        """Apply a node's update; return whether it is newer than its last one."""
        self._note_running(now)
        if update.ip == self.ip:
            return False
        peer = self._peers.setdefault(update.ip, Peer(update.ip, now))
        last = peer.update
        if last is not None and self._is_older(
            update, last, now - (peer.received_at or 0)
        ):
            return False
        peer.update = update
        peer.received_at = now
        return True

    @staticmethod
    def _is_older(update: PeerUpdate, last: PeerUpdate, elapsed: float) -> bool:
        """Return whether an update is older than the last one of the same node.

        Incarnations are taken from the wall clock, which may have been set back between
        two starts. So they are compared only while updates of both starts may be in
        transit.
        """
        if update.incarnation == last.incarnation:
            return update.sequence <= last.sequence
        return update.incarnation < last.incarnation and elapsed < REORDER_WINDOW

    def on_store_reached(self, now: float) -> None:
        """Note that the platform's store has responded to this node.

        A node that reaches the store is not cut off, so those of its peers that are
        silent then are gone, or cut off themselves.
        """
        self._store_reached_at = now

    def on_registered(self, until: float) -> None:
        """Note until when the store keeps this node's registration at least."""
        self._registered_until = until

    def on_registrations(self, registered: Collection[str], now: float) -> None:
        """Apply the list of the nodes that are registered in the platform's store.

        Silent nodes are removed once their registration has expired. The time limit of
        :data:`PEER_LIFETIME` is for those whose registration outlives them.
        """
        self._note_running(now)
        for ip, peer in list(self._peers.items()):
            silence = now - self._silent_since(peer, MAX_SILENCE)
            is_gone = ip not in registered and silence > MAX_SILENCE
            if is_gone or silence > PEER_LIFETIME:
                del self._peers[ip]
                self._removed_at[ip] = now
        self.add_candidates(registered, now)
        self._has_registrations = True
        self._check_counted(now)

    def last_heard(self, ip: str) -> tuple[PeerUpdate, float] | None:
        """Return a node's last update and when it arrived, if there was one."""
        peer = self._peers.get(ip)
        if peer is None or peer.update is None or peer.received_at is None:
            return None
        return peer.update, peer.received_at

    def silent(self, now: float) -> list[tuple[PeerUpdate, float]]:
        """Return the last update of each silent node, and when it arrived."""
        self._note_running(now)
        return [
            (peer.update, peer.received_at)
            for peer in self._peers.values()
            if peer.update is not None
            and peer.received_at is not None
            and now - self._silent_since(peer, PEER_TIMEOUT) >= PEER_TIMEOUT
        ]

    def live(self, now: float) -> list[PeerUpdate]:
        """Return the last update of each live node."""
        self._note_running(now)
        return [
            peer.update
            for peer in self._peers.values()
            if peer.update is not None
            and peer.received_at is not None
            and now - self._silent_since(peer, PEER_TIMEOUT) < PEER_TIMEOUT
        ]

    def are_most_silent(self, now: float) -> bool:
        """Return whether this node may be cut off, as far as it knows.

        That is if it hears fewer than half of the nodes that had not fallen silent when
        it last reached the store.
        """
        return 2 * len(self.live(now)) < len(self._not_known_gone())

    def _not_known_gone(self) -> list[PeerUpdate]:
        """Return the last update of each node that may still be there."""
        return [
            peer.update
            for peer in self._peers.values()
            if peer.update is not None
            and peer.heard_at + PEER_TIMEOUT > self._store_reached_at
        ]

    def possible_senders(self, now: float) -> list[str]:
        """Return the IP addresses of the other nodes that may be sending requests.

        If most of them are silent, this node itself may be cut off; it then counts all.
        That it reaches the store does not help here: the others may do so as well and
        send requests. They count until their registrations have expired.
        """
        self._note_running(now)
        known = [
            (peer.ip, self._silent_since(peer, MAX_SILENCE))
            for peer in self._peers.values()
            if peer.update is not None or now - peer.added_at < MAX_SILENCE
        ]
        recent = [ip for ip, since in known if now - since < MAX_SILENCE]
        return recent if 2 * len(recent) >= len(known) else [ip for ip, _ in known]

    def sharing_count(self, now: float) -> int:
        """Return the number of nodes by which a bound on all of them is divided.

        A silent node counts until it must be gone, since it may only be unheard.
        """
        return 1 + len(self.possible_senders(now))

    def on_heartbeat(self, now: float) -> None:
        """Note that this process runs, and whether the others count this node."""
        self._note_running(now)
        self._ran_at = now
        self._check_counted(now)

    def _note_running(self, now: float) -> None:
        """Note a pause if this process has not run since the last heartbeat or query.

        Whichever runs first after a pause calls this, before all updates are read that
        arrived meanwhile.
        """
        if self._ran_at is None:
            return
        if now - self._ran_at > MAX_HEARTBEAT_GAP:
            self._paused_at = self._ran_at
            self._resumed_at = now
        self._ran_at = max(self._ran_at, now)

    def _silent_since(self, peer: Peer, timeout: float) -> float:
        """Return from when a peer's silence counts.

        A peer that was not silent when this process paused may have sent updates that
        are not read yet.
        """
        if peer.heard_at <= self._paused_at - timeout:
            return peer.heard_at
        return max(peer.heard_at, self._resumed_at)

    def _check_counted(self, now: float) -> None:
        """Note whether the others count this node.

        They remove a node that they do not hear once its registration has expired. What
        a process hears that was frozen may have been sent long before.
        """
        was_running = now < self._counted_checked_at + MAX_SILENCE
        self._counted_checked_at = now
        hears_all = was_running and all(
            now - peer.heard_at < PEER_TIMEOUT and peer.update is not None
            for peer in self._peers.values()
        )
        is_registered = now < self._registered_until
        if not self._has_registrations or not (is_registered or hears_all):
            self._counted_since = None
        elif self._counted_since is None:
            self._counted_since = now

    def budget_part(self, now: float, window: float) -> BudgetPart:
        """Return this node's part of what all nodes together may use in a window.

        The parts add up to no more than the whole in any window, whichever nodes die,
        start, leave or are cut off: a node counts until a window after its registration
        has expired, and uses its part once all others have counted it for a window.
        What its previous start has used is out of the window by then.

        :param window: length of the sliding window in seconds.
        """
        self._check_counted(now)
        for ip, removed_at in list(self._removed_at.items()):
            if removed_at + window <= now:
                del self._removed_at[ip]
        since = self._counted_since
        nodes = 1 + len(self._peers.keys() | self._removed_at.keys())
        return BudgetPart(nodes, since is not None and now >= since + window)

    def addresses(self, now: float) -> list[str]:
        """Return the other addresses to which callers may connect.

        A node that receives updates from fewer than half of the others, and has not
        reached the store since, may itself be cut off. It then returns the last known
        addresses of those that may be there; callers find out which of them respond.
        """
        is_cut_off = self.are_most_silent(now)
        candidates = self._not_known_gone() if is_cut_off else self.live(now)
        return [
            update.caller_address
            for update in candidates
            if update.is_ready and not update.is_draining and update.caller_address
        ]

    def rank(self, now: float, reads_store: bool) -> int:
        """Return how many live nodes precede this one in reading the store.

        Nodes that reach the store precede the others; if none does, all are ranked by
        address.

        :param reads_store: whether this node's last call to the store succeeded.
        """
        live = [update for update in self.live(now) if not update.is_draining]
        with_store = [update for update in live if update.reads_store]
        if reads_store and not self.is_draining:
            return sum(update.ip < self.ip for update in with_store)
        return len(with_store) or sum(update.ip < self.ip for update in live)

    def is_list_reader(self, now: float, reads_store: bool) -> bool:
        """Return whether this node reads the platform's list for all nodes."""
        return reads_store and not self.is_draining and not self.rank(now, reads_store)

    def sample(self, count: int, random: Random) -> list[str]:
        """Return at most ``count`` random nodes that get the next update."""
        ips = self.ips
        return ips if len(ips) <= count else random.sample(ips, count)

    def queued(self, service: str, now: float) -> Counter[str]:
        """Return a service's requests that are queued at live peers, by customer."""
        queued: Counter[str] = Counter()
        for update in self.live(now):
            queued.update(update.queued.get(service, {}))
        return queued

    def peers_with_config(self, version: int, now: float) -> list[str]:
        """Return the live nodes that have at least this configuration version."""
        return [
            update.ip for update in self.live(now) if update.config_version >= version
        ]

    def peers_with_confirmed_config(
        self, version: int, max_age: float, now: float
    ) -> list[str]:
        """Return the live nodes that know that there was no newer configuration.

        :param version: least version that they must have.
        :param max_age: largest age in seconds of that knowledge.
        """
        return [
            update.ip
            for update in self.live(now)
            if update.config_version >= version and 0 <= update.config_age < max_age
        ]
