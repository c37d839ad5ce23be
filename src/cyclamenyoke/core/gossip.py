"""Epidemic exchange of small versioned records between the daemons.

Every node holds every record. A record's version only rises, so any order and
any number of deliveries gives the same result. An exchange begins with a digest
for each bucket of records; equal digests end it after one small message each
way. Records that a node has just learned are pushed at once to a few peers.

One exchange::

    initiator                         responder
    Offer(digests, fresh records) ->
                                  <-  Answer(versions of differing buckets, fresh)
    Transfer(newer records, wanted) ->
                                  <-  Records(records that were wanted)
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
"""Groups of records that share one digest."""

PUSHES_PER_RECORD = 3
"""How often a node pushes a record that it has just learned."""

RECORD_LIFETIME = 6 * HOUR
"""Seconds after which a node's record that was not refreshed is dropped."""

REFRESH_INTERVAL = 2 * HOUR
"""Seconds after which a node refreshes its own record."""

DRAINED_RECORD_LIFETIME = 10 * MINUTE
"""Seconds for which the record of a node that has left is kept."""

WATCHERS_PER_DATA_CENTRE = 2
"""Nodes in each data centre that watch the platform."""

LOCAL_PEER_PROBABILITY = 0.8
"""Share of exchanges without news that stay in the node's own data centre."""

LOCAL_PEER_PROBABILITY_FOR_PUSHES = 0.5
"""Share of exchanges with news that stay in the node's own data centre."""

INITIAL_SUSPICION_TIME = 5 * SECOND
"""Seconds for which a peer that did not answer is not chosen; doubles each time."""

MAX_SUSPICION_TIME = 10 * MINUTE
"""Longest time in seconds for which a peer is not chosen."""

PEER_CANDIDATES = 8
"""Peers that are looked at for one that answers."""

SUSPICION_LIFETIME = 1 * MINUTE
"""Seconds for which all nodes suspect one that did not answer some node."""

MAX_RECORDS = 200
"""Records in one message at most; the next exchange carries the rest."""


class RecordKind(enum.Enum):
    """What a record is about."""

    NODE = "node"
    CONFIG = "config"
    SUSPECT = "suspect"


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the versions of one record.

    :param incarnation: start of the writer in microseconds of Unix time, or the
        generation of the configuration.
    :param counter: rises with each change of one incarnation.
    """

    incarnation: int
    counter: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One versioned fact.

    :param expires_at: when it is dropped, in seconds of Unix time; 0 for never.
    """

    kind: RecordKind
    name: str
    version: Version
    expires_at: float
    payload: bytes

    @property
    def key(self) -> str:
        """The name of the record among all records."""
        return f"{self.kind.value}/{self.name}"


class NodeInfo(msgspec.Struct, frozen=True, array_like=True):
    """The payload of a node's record.

    :param control: ``IP:PORT`` of its exchange socket.
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
    """Begins an exchange."""

    sender: str
    digests: bytes
    pushed: list[Record]


class OfferReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers an offer with the versions in the buckets that differ."""

    buckets: list[int]
    versions: dict[str, Version]
    pushed: list[Record]


class Transfer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Brings records that the responder lacks and names those wanted of it."""

    records: list[Record]
    wanted: list[str]


class Records(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Ends an exchange."""

    records: list[Record]


class FetchBlobs(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for configuration blobs by digest."""

    digests: list[str]


class Blobs(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Configuration blobs; those that the peer lacks are left out."""

    blobs: list[bytes]


class GenerationRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks which configuration a node runs."""


class GenerationReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Tells which configuration a node runs."""

    generation: int


class MetricsRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for a node's metrics."""


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
    """A record with the pushes that it still gets."""

    record: Record
    pushes_left: int


class GossipCore:
    """The records of one node and its part in exchanges.

    :param name: the node's name.
    :param incarnation: its start in microseconds of Unix time.
    :param info: its own record's payload.
    :param random: the source of peer choices.
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
        self._recent: deque[str] = deque(maxlen=PUSHES_PER_RECORD)
        self.announce(info, now)

    @property
    def name(self) -> str:
        """The node's name."""
        return self._name

    @property
    def info(self) -> NodeInfo:
        """The node's own record."""
        return self._info

    @property
    def nodes(self) -> dict[str, NodeInfo]:
        """Every node known, itself included."""
        return self._nodes

    @property
    def has_pending_pushes(self) -> bool:
        """Whether a record should be pushed now."""
        return bool(self._push_queue)

    def record(self, kind: RecordKind, name: str) -> Record | None:
        """Return a record, or ``None``."""
        stored = self._records.get(f"{kind.value}/{name}")
        return stored.record if stored else None

    def take_received(self) -> list[Record]:
        """Return the records that came from peers since the last call."""
        received, self._received = self._received, []
        return received

    def announce(self, info: NodeInfo, now: float) -> None:
        """Publish a change of the node's own record."""
        self._info = info
        self._refresh_at = now + REFRESH_INTERVAL
        self._counter += 1
        version = Version(self._incarnation, self._counter)
        lifetime = DRAINED_RECORD_LIFETIME if info.is_draining else RECORD_LIFETIME
        payload = msgspec.msgpack.encode(info)
        record = Record(RecordKind.NODE, self._name, version, now + lifetime, payload)
        self._store(record)

    def put_config(self, generation: int, payload: bytes) -> None:
        """Publish the configuration's index."""
        record = Record(
            RecordKind.CONFIG, "index", Version(generation, 0), 0.0, payload
        )
        self._store(record)

    def preceding_watchers(self) -> list[NodeInfo]:
        """Return the nodes that must be gone before this one watches the platform.

        The nodes of a data centre are ranked by a digest of their names. The first
        ones always watch; each later group watches while the group before it does
        not answer.
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
        """Refresh the node's own record and drop expired ones."""
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
        """Return a peer for the next exchange.

        News goes to other peers than the last ones, so that its pushes are not
        spent on one neighbour; without news, near peers are preferred.
        """
        local_probability = (
            LOCAL_PEER_PROBABILITY_FOR_PUSHES
            if self._push_queue
            else LOCAL_PEER_PROBABILITY
        )
        near, far = self._peer_names()
        pools = (
            [near, far] if self._random.random() < local_probability else [far, near]
        )
        chosen = next(filter(None, (self._pick(pool, now) for pool in pools)), None)
        if chosen is None:
            return None
        self._recent.append(chosen)
        return self._nodes[chosen]

    def _pick(self, pool: list[str], now: float) -> str | None:
        """Return a random peer that answers, rather not one of the last ones."""
        fallback = None
        for name in self._random.sample(pool, min(PEER_CANDIDATES, len(pool))):
            if self._suspected_until.get(name, 0.0) > now:
                continue
            if name not in self._recent:
                return name
            fallback = name
        return fallback

    def _peer_names(self) -> tuple[list[str], list[str]]:
        """Return the peers in this data centre and those elsewhere."""
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

    def on_unreachable(self, control: str, now: float) -> None:
        """Note that a peer did not answer."""
        for name, node in self._nodes.items():
            if node.control == control:
                wait = 2 * self._suspicion_times.get(name, INITIAL_SUSPICION_TIME / 2)
                self._suspicion_times[name] = min(wait, MAX_SUSPICION_TIME)
                self._suspected_until[name] = now + self._suspicion_times[name]
                if node.data_centre == self._info.data_centre:
                    self._publish_suspicion(name, now)

    def _publish_suspicion(self, name: str, now: float) -> None:
        """Tell the others that a near node does not answer.

        Only near ones: when data centres lose each other, no node of the one is
        suspected everywhere in the other.
        """
        suspect_record = self._records[f"{RecordKind.NODE.value}/{name}"].record
        expires_at = now + SUSPICION_LIFETIME
        self._store(
            Record(RecordKind.SUSPECT, name, suspect_record.version, expires_at, b"")
        )

    def on_reachable(self, control: str) -> None:
        """Note that a peer answered."""
        for name, node in self._nodes.items():
            if node.control == control:
                self._suspected_until.pop(name, None)
                self._suspicion_times.pop(name, None)

    def is_suspected(self, name: str, now: float) -> bool:
        """Tell whether a node lately did not answer this one, or one near it."""
        if self._suspected_until.get(name, 0.0) > now:
            return True
        suspicion = self.record(RecordKind.SUSPECT, name)
        suspect_record = self.record(RecordKind.NODE, name)
        if suspicion is None or suspect_record is None or suspicion.expires_at <= now:
            return False
        return suspicion.version >= suspect_record.version

    def offer(self) -> Offer:
        """Begin an exchange."""
        return Offer(self._name, self._packed_digests(), self._take_pushes())

    def on_offer(self, message: Offer, now: float) -> OfferReply:
        """Answer an offer."""
        self._accept(message.pushed, now)
        own = self._packed_digests()
        buckets = [
            bucket
            for bucket in range(BUCKETS)
            if own[4 * bucket : 4 * bucket + 4]
            != message.digests[4 * bucket : 4 * bucket + 4]
        ]
        return OfferReply(buckets, self._versions(buckets), self._take_pushes())

    def on_answer(self, message: OfferReply, now: float) -> Transfer | None:
        """Go on with an exchange, or end it when nothing differs."""
        self._accept(message.pushed, now)
        if not message.buckets:
            return None
        own = self._versions(message.buckets)
        lacking = Version(-1, -1)
        newer = [
            self._records[key].record
            for key, version in own.items()
            if version > message.versions.get(key, lacking)
        ]
        wanted = [
            key
            for key, version in message.versions.items()
            if version > own.get(key, lacking)
        ]
        return Transfer(newer[:MAX_RECORDS], wanted[:MAX_RECORDS])

    def on_transfer(self, message: Transfer, now: float) -> Records:
        """Take records and give those that are wanted."""
        self._accept(message.records, now)
        return Records(
            [
                self._records[key].record
                for key in message.wanted
                if key in self._records
            ]
        )

    def on_records(self, message: Records, now: float) -> None:
        """Take the records that were wanted."""
        self._accept(message.records, now)

    def _accept(self, records: Iterable[Record], now: float) -> None:
        for record in records:
            if record.expires_at and record.expires_at <= now:
                continue
            if self._is_own_stale_record(record):
                self._supersede(record, now)
            elif self._store(record):
                self._received.append(record)
                self._refute_suspicion(record, now)

    def _refute_suspicion(self, record: Record, now: float) -> None:
        """Announce this node anew when others say that it does not answer."""
        if record.kind is RecordKind.SUSPECT and record.name == self._name:
            self.announce(self._info, now)

    def _is_own_stale_record(self, record: Record) -> bool:
        """Tell whether a record of this node comes from an earlier incarnation.

        Its clock may have been ahead, so that its version exceeds the present
        one.
        """
        if record.kind is not RecordKind.NODE or record.name != self._name:
            return False
        stored = self._records[record.key].record
        return record.version > stored.version

    def _supersede(self, record: Record, now: float) -> None:
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
        is_significant = self._is_significant(record, stored)
        self._records[key] = StoredRecord(
            record, PUSHES_PER_RECORD if is_significant else 0
        )
        if is_significant:
            self._push_queue[key] = self._records[key]
        if record.kind is RecordKind.NODE:
            self._local_peers = self._remote_peers = None
            self._nodes[record.name] = msgspec.msgpack.decode(
                record.payload, type=NodeInfo
            )
            self._suspected_until.pop(record.name, None)
            self._suspicion_times.pop(record.name, None)
        return True

    def _is_significant(self, record: Record, stored: StoredRecord | None) -> bool:
        """Tell whether a record says more than that its subject lives on."""
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
