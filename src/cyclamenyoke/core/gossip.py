"""Anti-entropy gossip of small versioned records between the daemons.

Every node holds every record. The version of a record only increases, so the
result doesn't depend on the order and number of deliveries. An exchange starts
with one digest per bucket of records; if all digests are equal, it ends after one
small message each way. Records that have just changed or arrived are pushed to a
few peers at once.

One exchange::

    initiator                          responder
    Offer(digests, pushed records)  ->
                                    <- OfferReply(versions in differing buckets,
                                                  pushed records)
    Transfer(newer records, wanted) ->
                                    <- Records(wanted records)
"""

import enum
import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from cyclamenyoke.core.units import HOUR, MINUTE, SECOND

BUCKETS = 64
"""Number of groups of records that are compared by one digest each."""

PUSHES_PER_RECORD = 3
"""Exchanges in which a node pushes a record that has changed or arrived."""

RECORD_LIFETIME = 6 * HOUR
"""Seconds after which a node's record is dropped unless it was refreshed."""

REFRESH_INTERVAL = 2 * HOUR
"""Seconds after which a node refreshes its own record."""

DRAINED_RECORD_LIFETIME = 10 * MINUTE
"""Seconds for which the record of a draining or stopped node is kept."""

WATCHERS_PER_DATA_CENTRE = 2
"""Nodes per data centre that watch the platform's configuration."""

LOCAL_PEER_PROBABILITY = 0.8
"""Probability that an exchange without pending pushes stays in the data centre."""

LOCAL_PEER_PROBABILITY_FOR_PUSHES = 0.5
"""Probability that an exchange with pending pushes stays in the data centre."""

INITIAL_SUSPICION_TIME = 5 * SECOND
"""Seconds for which a peer is avoided after it didn't reply; doubles each time."""

MAX_SUSPICION_TIME = 10 * MINUTE
"""Maximum seconds for which a peer is avoided."""

PEER_CANDIDATES = 8
"""Random peers that are considered for one exchange."""

SUSPICION_LIFETIME = 1 * MINUTE
"""Seconds for which a published suspicion holds at all nodes."""

MAX_RECORDS = 200
"""Maximum records in one message; later exchanges carry the rest."""


class RecordKind(enum.Enum):
    """The subject of a record."""

    NODE = "node"
    CONFIG = "config"
    SUSPECT = "suspect"


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The version of a record, compared by incarnation, then by counter.

    The highest version wins.

    :param incarnation: when the writer started, in microseconds of Unix time, or the
        generation of the configuration.
    :param counter: increases with each change by one incarnation.
    """

    incarnation: int
    counter: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A versioned fact about a node or the configuration.

    :param expires_at: when the record is dropped, in seconds of Unix time; 0 for
        never.
    """

    kind: RecordKind
    name: str
    version: Version
    expires_at: float
    payload: bytes

    @property
    def key(self) -> str:
        """The unique key of the record."""
        return f"{self.kind.value}/{self.name}"


class NodeInfo(msgspec.Struct, frozen=True, array_like=True):
    """The payload of a node's record.

    :param role: entry or agent.
    :param control: ``IP:PORT`` of its gossip socket.
    :param callers: ``IP:PORT`` of its callers' API; empty for an agent.
    :param operators: ``IP:PORT`` of its operators' API; empty for an agent.
    """

    role: str
    data_centre: str
    control: str
    callers: str
    operators: str
    is_draining: bool


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Starts an exchange.

    :param digests: one digest of 4 bytes per bucket.
    :param pushed: records that have recently changed or arrived at the sender.
    """

    sender: str
    digests: bytes
    pushed: list[Record]


class OfferReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply to an offer: the versions in the buckets whose digests differ.

    :param versions: by record key.
    :param pushed: records that have recently changed or arrived at the responder.
    """

    buckets: list[int]
    versions: dict[str, Version]
    pushed: list[Record]


class Transfer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Sends records that the responder lacks and requests records from it.

    :param wanted: keys of the requested records.
    """

    records: list[Record]
    wanted: list[str]


class Records(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The requested records; the last message of an exchange."""

    records: list[Record]


class FetchBlobs(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Requests configuration blobs by digest."""

    digests: list[str]


class Blobs(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The requested configuration blobs, without those that the peer lacks."""

    blobs: list[bytes]


class GenerationRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the generation of the configuration that a node runs."""


class GenerationReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The generation of the configuration that a node runs."""

    generation: int


class MetricsRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Requests a node's metrics."""


class MetricsReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A node's metrics in the Prometheus text format."""

    text: str


GossipMessage = (
    Offer
    | OfferReply
    | Transfer
    | Records
    | FetchBlobs
    | Blobs
    | GenerationRequest
    | GenerationReply
    | MetricsRequest
    | MetricsReply
)


@dataclass(slots=True)
class StoredRecord:
    """A record with the number of times that it is still to be pushed."""

    record: Record
    pushes_left: int


class GossipCore:
    """The records of one node and its side of the exchanges.

    :param name: the node's name.
    :param incarnation: when the node started, in microseconds of Unix time.
    :param info: the payload of its own record.
    :param random: random number generator that chooses peers.
    :param now: Unix time in seconds, as in every method.
    """

    def __init__(
        self, name: str, incarnation: int, info: NodeInfo, random: Random, now: float
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._info = info
        self._random = random
        self._counter = 0
        self._records: dict[str, StoredRecord] = {}
        self._push_queue: dict[str, StoredRecord] = {}
        self._digests = [0] * BUCKETS
        self._nodes: dict[str, NodeInfo] = {}
        self._suspected_until: dict[str, float] = {}
        self._suspicion_times: dict[str, float] = {}
        self._received: list[Record] = []
        self._refresh_at = 0.0
        self._local_peers: list[str] | None = None
        self._remote_peers: list[str] | None = None
        # As many as PUSHES_PER_RECORD, so that the pushes of a record reach different
        # peers.
        self._recent_peers: deque[str] = deque(maxlen=PUSHES_PER_RECORD)
        self.announce(info, now)

    @property
    def name(self) -> str:
        """The node's name."""
        return self._name

    @property
    def info(self) -> NodeInfo:
        """The payload of the node's own record."""
        return self._info

    @property
    def nodes(self) -> dict[str, NodeInfo]:
        """Every known node by name, including this one."""
        return self._nodes

    @property
    def has_pending_pushes(self) -> bool:
        """Whether records are waiting to be pushed."""
        return bool(self._push_queue)

    def record(self, kind: RecordKind, name: str) -> Record | None:
        """Return a record, or ``None`` if it is unknown."""
        stored = self._records.get(f"{kind.value}/{name}")
        return stored.record if stored else None

    def take_received(self) -> list[Record]:
        """Return the records that peers have sent since the last call."""
        received, self._received = self._received, []
        return received

    def announce(self, info: NodeInfo, now: float) -> None:
        """Publish a new version of the node's own record."""
        self._info = info
        self._refresh_at = now + REFRESH_INTERVAL
        self._counter += 1
        version = Version(self._incarnation, self._counter)
        lifetime = DRAINED_RECORD_LIFETIME if info.is_draining else RECORD_LIFETIME
        payload = msgspec.msgpack.encode(info)
        record = Record(RecordKind.NODE, self._name, version, now + lifetime, payload)
        self._store(record)

    def put_config(self, generation: int, payload: bytes) -> None:
        """Publish an index of the configuration.

        :param payload: the encoded index.
        """
        record = Record(
            RecordKind.CONFIG, "index", Version(generation, 0), 0.0, payload
        )
        self._store(record)

    def preceding_watchers(self) -> list[NodeInfo]:
        """Return the nodes that must be unreachable for this one to watch the platform.

        The nodes of a data centre are ranked by a digest of their names and divided
        into groups. The first group always watches; each later group watches while
        the group before it doesn't reply.
        """
        here = self._info.data_centre
        ranked = sorted(
            (
                name
                for name, node in self._nodes.items()
                if node.data_centre == here
                and (not node.is_draining or name == self._name)
            ),
            key=_rank,
        )
        group = ranked.index(self._name) // WATCHERS_PER_DATA_CENTRE
        preceding = ranked[
            max(0, (group - 1) * WATCHERS_PER_DATA_CENTRE) : group
            * WATCHERS_PER_DATA_CENTRE
        ]
        return [self._nodes[name] for name in preceding]

    def tick(self, now: float) -> None:
        """Refresh the node's own record if it is due, and drop expired records."""
        if now >= self._refresh_at:
            self.announce(self._info, now)
        expired = [
            key
            for key, stored in self._records.items()
            if stored.record.expires_at and stored.record.expires_at <= now
        ]
        for key in expired:
            self._drop(key)

    def choose_peer(self, now: float) -> NodeInfo | None:
        """Return a peer for the next exchange, or ``None`` if there is none.

        Recently chosen peers are avoided, so that the pushes of a record reach
        different peers. Peers in the same data centre are preferred, less so while
        pushes are pending.
        """
        local_probability = (
            LOCAL_PEER_PROBABILITY_FOR_PUSHES
            if self._push_queue
            else LOCAL_PEER_PROBABILITY
        )
        local, remote = self._peer_names()
        pools = (
            [local, remote]
            if self._random.random() < local_probability
            else [remote, local]
        )
        chosen = next(filter(None, (self._pick(pool, now) for pool in pools)), None)
        if chosen is None:
            return None
        self._recent_peers.append(chosen)
        return self._nodes[chosen]

    def _pick(self, pool: list[str], now: float) -> str | None:
        """Return a random peer that is not suspected, preferably not a recent one."""
        fallback = None
        for name in self._random.sample(pool, min(PEER_CANDIDATES, len(pool))):
            if self._suspected_until.get(name, 0.0) > now:
                continue
            if name not in self._recent_peers:
                return name
            fallback = name
        return fallback

    def _peer_names(self) -> tuple[list[str], list[str]]:
        """Return the peers in this data centre and those in other data centres."""
        if self._local_peers is None or self._remote_peers is None:
            here = self._info.data_centre
            peers = {n: node for n, node in self._nodes.items() if n != self._name}
            self._local_peers = [
                n for n, node in peers.items() if node.data_centre == here
            ]
            self._remote_peers = [
                n for n, node in peers.items() if node.data_centre != here
            ]
        return self._local_peers, self._remote_peers

    def on_unreachable(self, address: str, now: float) -> None:
        """Suspect the peer at an address, because it didn't reply."""
        for name, node in self._nodes.items():
            if node.control == address:
                wait = 2 * self._suspicion_times.get(name, INITIAL_SUSPICION_TIME / 2)
                self._suspicion_times[name] = min(wait, MAX_SUSPICION_TIME)
                self._suspected_until[name] = now + self._suspicion_times[name]
                if node.data_centre == self._info.data_centre:
                    self._publish_suspicion(name, now)

    def _publish_suspicion(self, name: str, now: float) -> None:
        """Publish that a node of this data centre doesn't reply.

        Suspicion of nodes in other data centres stays local: otherwise a partition
        between two data centres would make each of them suspect every node of the
        other.
        """
        node_record = self._records[f"{RecordKind.NODE.value}/{name}"].record
        expires_at = now + SUSPICION_LIFETIME
        self._store(
            Record(RecordKind.SUSPECT, name, node_record.version, expires_at, b"")
        )

    def on_reachable(self, address: str) -> None:
        """Clear the suspicion of the peer at an address, because it replied."""
        for name, node in self._nodes.items():
            if node.control == address:
                self._suspected_until.pop(name, None)
                self._suspicion_times.pop(name, None)

    def is_suspected(self, name: str, now: float) -> bool:
        """Return whether a node recently failed to reply to this or another node.

        Of other nodes, only those in the suspected node's data centre publish a
        suspicion. It holds until it expires or the suspected node refutes it by
        announcing a newer version of its record.
        """
        if self._suspected_until.get(name, 0.0) > now:
            return True
        suspicion = self.record(RecordKind.SUSPECT, name)
        node_record = self.record(RecordKind.NODE, name)
        if suspicion is None or node_record is None or suspicion.expires_at <= now:
            return False
        return suspicion.version >= node_record.version

    def offer(self) -> Offer:
        """Start an exchange."""
        return Offer(self._name, self._packed_digests(), self._take_pushes())

    def on_offer(self, message: Offer, now: float) -> OfferReply:
        """Store the pushed records and reply to the offer."""
        self._accept(message.pushed, now)
        own = self._packed_digests()
        buckets = [
            bucket
            for bucket in range(BUCKETS)
            if own[4 * bucket : 4 * bucket + 4]
            != message.digests[4 * bucket : 4 * bucket + 4]
        ]
        return OfferReply(buckets, self._versions(buckets), self._take_pushes())

    def on_offer_reply(self, message: OfferReply, now: float) -> Transfer | None:
        """Continue an exchange; return ``None`` if no bucket differs."""
        self._accept(message.pushed, now)
        if not message.buckets:
            return None
        own = self._versions(message.buckets)
        missing_version = Version(-1, -1)
        newer = [
            self._records[key].record
            for key, version in own.items()
            if version > message.versions.get(key, missing_version)
        ]
        wanted = [
            key
            for key, version in message.versions.items()
            if version > own.get(key, missing_version)
        ]
        return Transfer(newer[:MAX_RECORDS], wanted[:MAX_RECORDS])

    def on_transfer(self, message: Transfer, now: float) -> Records:
        """Store records and return the requested ones."""
        self._accept(message.records, now)
        return Records(
            [
                self._records[key].record
                for key in message.wanted
                if key in self._records
            ]
        )

    def on_records(self, message: Records, now: float) -> None:
        """Store the requested records."""
        self._accept(message.records, now)

    def _accept(self, records: Iterable[Record], now: float) -> None:
        for record in records:
            if record.expires_at and record.expires_at <= now:
                continue
            if self._is_newer_own_record(record):
                self._supersede(record, now)
            elif self._store(record):
                self._received.append(record)
                self._refute_suspicion(record, now)

    def _refute_suspicion(self, record: Record, now: float) -> None:
        """Announce a newer version of this node's record if peers suspect it."""
        if record.kind is RecordKind.SUSPECT and record.name == self._name:
            self.announce(self._info, now)

    def _is_newer_own_record(self, record: Record) -> bool:
        """Return whether a peer sent a newer record of this node than its own.

        It comes from an earlier incarnation, whose clock may have been ahead.
        """
        if record.kind is not RecordKind.NODE or record.name != self._name:
            return False
        stored = self._records[record.key].record
        return record.version > stored.version

    def _supersede(self, record: Record, now: float) -> None:
        """Announce this node with a version above that of an older record."""
        self._incarnation = record.version.incarnation
        self._counter = record.version.counter
        self.announce(self._info, now)

    def _store(self, record: Record) -> bool:
        key = record.key
        stored = self._records.get(key)
        if stored is not None and stored.record.version >= record.version:
            return False
        if stored is not None:
            self._digests[_bucket(key)] ^= _digest(stored.record)
        self._digests[_bucket(key)] ^= _digest(record)
        must_push = self._must_push(record, stored)
        self._records[key] = StoredRecord(record, PUSHES_PER_RECORD if must_push else 0)
        if must_push:
            self._push_queue[key] = self._records[key]
        if record.kind is RecordKind.NODE:
            self._local_peers = self._remote_peers = None
            self._nodes[record.name] = msgspec.msgpack.decode(
                record.payload, type=NodeInfo
            )
            self._suspected_until.pop(record.name, None)
            self._suspicion_times.pop(record.name, None)
        return True

    def _must_push(self, record: Record, stored: StoredRecord | None) -> bool:
        """Return whether a record has to be pushed.

        A periodic refresh of a node's record is not pushed, unless the node was
        suspected.
        """
        if stored is None or stored.record.payload != record.payload:
            return True
        if record.kind is RecordKind.SUSPECT:
            return True
        return self.record(RecordKind.SUSPECT, record.name) is not None

    def _drop(self, key: str) -> None:
        stored = self._records.pop(key)
        self._push_queue.pop(key, None)
        self._digests[_bucket(key)] ^= _digest(stored.record)
        if stored.record.kind is RecordKind.NODE:
            self._local_peers = self._remote_peers = None
            self._nodes.pop(stored.record.name, None)
            self._suspected_until.pop(stored.record.name, None)
            self._suspicion_times.pop(stored.record.name, None)

    def _take_pushes(self) -> list[Record]:
        taken = list(self._push_queue.items())[:MAX_RECORDS]
        for key, stored in taken:
            stored.pushes_left -= 1
            if stored.pushes_left <= 0:
                del self._push_queue[key]
        return [stored.record for _, stored in taken]

    def _versions(self, buckets: list[int]) -> dict[str, Version]:
        chosen = set(buckets)
        return {
            key: stored.record.version
            for key, stored in self._records.items()
            if _bucket(key) in chosen
        }

    def _packed_digests(self) -> bytes:
        return b"".join(value.to_bytes(4, "big") for value in self._digests)


def _bucket(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _digest(record: Record) -> int:
    text = f"{record.key}\0{record.version.incarnation}\0{record.version.counter}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")
