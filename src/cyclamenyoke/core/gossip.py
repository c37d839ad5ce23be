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

PUSHES = 3
"""How often a node pushes a record that it has just learned."""

RECORD_LIFETIME = 6 * HOUR
"""Seconds after which a node's record that was not refreshed is dropped."""

REFRESH_AFTER = 2 * HOUR
"""Seconds after which a node refreshes its own record."""

LEAVING_LIFETIME = 10 * MINUTE
"""Seconds for which the record of a node that has left is kept."""

WATCHERS = 2
"""Nodes in each data centre that watch the platform."""

LOCAL_SHARE = 0.8
"""Share of exchanges without news that stay in the node's own data centre."""

LOCAL_SHARE_OF_PUSHES = 0.5
"""Share of exchanges with news that stay in the node's own data centre."""

SUSPECT_FIRST = 5 * SECOND
"""Seconds for which a peer that did not answer is not chosen; doubles each time."""

SUSPECT_LIMIT = 10 * MINUTE
"""Longest time in seconds for which a peer is not chosen."""

PICKS = 8
"""Peers that are looked at for one that answers."""

SUSPICION_LIFETIME = 1 * MINUTE
"""Seconds for which all nodes suspect one that did not answer some node."""

MAX_RECORDS = 200
"""Records in one message at most; the next exchange carries the rest."""


class Kind(enum.Enum):
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

    kind: Kind
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
    leaving: bool


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Begins an exchange."""

    sender: str
    digests: bytes
    fresh: list[Record]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers an offer with the versions in the buckets that differ."""

    buckets: list[int]
    versions: dict[str, Version]
    fresh: list[Record]


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


class AskGeneration(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks which configuration a node runs."""


class RunsGeneration(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Tells which configuration a node runs."""

    generation: int


class AskMetrics(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for a node's metrics."""


class MetricsText(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A node's metrics in the Prometheus text format."""

    text: str


GossipMessage = (
    Offer
    | Answer
    | Transfer
    | Records
    | FetchBlobs
    | Blobs
    | AskGeneration
    | RunsGeneration
    | AskMetrics
    | MetricsText
)


@dataclass(slots=True)
class Held:
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
        self._held: dict[str, Held] = {}
        self._hot: dict[str, Held] = {}
        self._digests = [0] * BUCKETS
        self._nodes: dict[str, NodeInfo] = {}
        self._suspected: dict[str, float] = {}
        self._suspect_for: dict[str, float] = {}
        self._learned: list[Record] = []
        self._refresh_at = 0.0
        self._near: list[str] | None = None
        self._far: list[str] | None = None
        self._recent: deque[str] = deque(maxlen=PUSHES)
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
    def has_fresh(self) -> bool:
        """Whether a record should be pushed now."""
        return bool(self._hot)

    def record(self, kind: Kind, name: str) -> Record | None:
        """Return a record, or ``None``."""
        held = self._held.get(f"{kind.value}/{name}")
        return held.record if held else None

    def take_learned(self) -> list[Record]:
        """Return the records that came from peers since the last call."""
        learned, self._learned = self._learned, []
        return learned

    def announce(self, info: NodeInfo, now: float) -> None:
        """Publish a change of the node's own record."""
        self._info = info
        self._refresh_at = now + REFRESH_AFTER
        self._counter += 1
        version = Version(self._incarnation, self._counter)
        lifetime = LEAVING_LIFETIME if info.leaving else RECORD_LIFETIME
        payload = msgspec.msgpack.encode(info)
        record = Record(Kind.NODE, self._name, version, now + lifetime, payload)
        self._store(record)

    def put_config(self, generation: int, payload: bytes) -> None:
        """Publish the configuration's index."""
        record = Record(Kind.CONFIG, "index", Version(generation, 0), 0.0, payload)
        self._store(record)

    def watchers_before(self) -> list[NodeInfo]:
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
                if node.data_centre == here and (not node.leaving or name == self._name)
            ),
            key=_rank,
        )
        group = ranked.index(self._name) // WATCHERS
        before = ranked[max(0, (group - 1) * WATCHERS) : group * WATCHERS]
        return [self._nodes[name] for name in before]

    def tick(self, now: float) -> None:
        """Refresh the node's own record and drop expired ones."""
        if now >= self._refresh_at:
            self.announce(self._info, now)
        expired = [
            key
            for key, held in self._held.items()
            if held.record.expires_at and held.record.expires_at <= now
        ]
        for key in expired:
            self._drop(key)

    def choose_peer(self, now: float) -> NodeInfo | None:
        """Return a peer for the next exchange.

        News goes to other peers than the last ones, so that its pushes are not
        spent on one neighbour; without news, near peers are preferred.
        """
        share = LOCAL_SHARE_OF_PUSHES if self._hot else LOCAL_SHARE
        near, far = self._peer_names()
        pools = [near, far] if self._random.random() < share else [far, near]
        chosen = next(filter(None, (self._pick(pool, now) for pool in pools)), None)
        if chosen is None:
            return None
        self._recent.append(chosen)
        return self._nodes[chosen]

    def _pick(self, pool: list[str], now: float) -> str | None:
        """Return a random peer that answers, rather not one of the last ones."""
        fallback = None
        for name in self._random.sample(pool, min(PICKS, len(pool))):
            if self._suspected.get(name, 0.0) > now:
                continue
            if name not in self._recent:
                return name
            fallback = name
        return fallback

    def _peer_names(self) -> tuple[list[str], list[str]]:
        """Return the peers in this data centre and those elsewhere."""
        if self._near is None or self._far is None:
            here = self._info.data_centre
            peers = {n: node for n, node in self._nodes.items() if n != self._name}
            self._near = [n for n, node in peers.items() if node.data_centre == here]
            self._far = [n for n, node in peers.items() if node.data_centre != here]
        return self._near, self._far

    def on_unreachable(self, control: str, now: float) -> None:
        """Note that a peer did not answer."""
        for name, node in self._nodes.items():
            if node.control == control:
                wait = 2 * self._suspect_for.get(name, SUSPECT_FIRST / 2)
                self._suspect_for[name] = min(wait, SUSPECT_LIMIT)
                self._suspected[name] = now + self._suspect_for[name]
                if node.data_centre == self._info.data_centre:
                    self._accuse(name, now)

    def _accuse(self, name: str, now: float) -> None:
        """Tell the others that a near node does not answer.

        Only near ones: when data centres lose each other, no node of the one is
        suspected everywhere in the other.
        """
        accused = self._held[f"{Kind.NODE.value}/{name}"].record
        expires_at = now + SUSPICION_LIFETIME
        self._store(Record(Kind.SUSPECT, name, accused.version, expires_at, b""))

    def on_reachable(self, control: str) -> None:
        """Note that a peer answered."""
        for name, node in self._nodes.items():
            if node.control == control:
                self._suspected.pop(name, None)
                self._suspect_for.pop(name, None)

    def is_suspected(self, name: str, now: float) -> bool:
        """Tell whether a node lately did not answer this one, or one near it."""
        if self._suspected.get(name, 0.0) > now:
            return True
        accusation = self.record(Kind.SUSPECT, name)
        accused = self.record(Kind.NODE, name)
        if accusation is None or accused is None or accusation.expires_at <= now:
            return False
        return accusation.version >= accused.version

    def offer(self) -> Offer:
        """Begin an exchange."""
        return Offer(self._name, self._packed_digests(), self._take_hot())

    def on_offer(self, message: Offer, now: float) -> Answer:
        """Answer an offer."""
        self._accept(message.fresh, now)
        own = self._packed_digests()
        buckets = [
            bucket
            for bucket in range(BUCKETS)
            if own[4 * bucket : 4 * bucket + 4]
            != message.digests[4 * bucket : 4 * bucket + 4]
        ]
        return Answer(buckets, self._versions(buckets), self._take_hot())

    def on_answer(self, message: Answer, now: float) -> Transfer | None:
        """Go on with an exchange, or end it when nothing differs."""
        self._accept(message.fresh, now)
        if not message.buckets:
            return None
        own = self._versions(message.buckets)
        lacking = Version(-1, -1)
        newer = [
            self._held[key].record
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
            [self._held[key].record for key in message.wanted if key in self._held]
        )

    def on_records(self, message: Records, now: float) -> None:
        """Take the records that were wanted."""
        self._accept(message.records, now)

    def _accept(self, records: Iterable[Record], now: float) -> None:
        for record in records:
            if record.expires_at and record.expires_at <= now:
                continue
            if self._is_own_ghost(record):
                self._outbid(record, now)
            elif self._store(record):
                self._learned.append(record)
                self._answer_accusation(record, now)

    def _answer_accusation(self, record: Record, now: float) -> None:
        """Announce this node anew when others say that it does not answer."""
        if record.kind is Kind.SUSPECT and record.name == self._name:
            self.announce(self._info, now)

    def _is_own_ghost(self, record: Record) -> bool:
        """Tell whether a record of this node comes from an earlier incarnation.

        Its clock may have been ahead, so that its version exceeds the present
        one.
        """
        if record.kind is not Kind.NODE or record.name != self._name:
            return False
        held = self._held[record.key].record
        return record.version > held.version

    def _outbid(self, record: Record, now: float) -> None:
        self._incarnation = record.version.incarnation
        self._counter = record.version.counter
        self.announce(self._info, now)

    def _store(self, record: Record) -> bool:
        key = record.key
        held = self._held.get(key)
        if held is not None and held.record.version >= record.version:
            return False
        if held is not None:
            self._digests[_bucket(key)] ^= _digest(held.record)
        self._digests[_bucket(key)] ^= _digest(record)
        is_news = self._is_news(record, held)
        self._held[key] = Held(record, PUSHES if is_news else 0)
        if is_news:
            self._hot[key] = self._held[key]
        if record.kind is Kind.NODE:
            self._near = self._far = None
            self._nodes[record.name] = msgspec.msgpack.decode(
                record.payload, type=NodeInfo
            )
            self._suspected.pop(record.name, None)
            self._suspect_for.pop(record.name, None)
        return True

    def _is_news(self, record: Record, held: Held | None) -> bool:
        """Tell whether a record says more than that its subject lives on."""
        if held is None or held.record.payload != record.payload:
            return True
        if record.kind is Kind.SUSPECT:
            return True
        return self.record(Kind.SUSPECT, record.name) is not None

    def _drop(self, key: str) -> None:
        held = self._held.pop(key)
        self._hot.pop(key, None)
        self._digests[_bucket(key)] ^= _digest(held.record)
        if held.record.kind is Kind.NODE:
            self._near = self._far = None
            self._nodes.pop(held.record.name, None)
            self._suspected.pop(held.record.name, None)
            self._suspect_for.pop(held.record.name, None)

    def _take_hot(self) -> list[Record]:
        taken = list(self._hot.items())[:MAX_RECORDS]
        for key, held in taken:
            held.pushes_left -= 1
            if held.pushes_left <= 0:
                del self._hot[key]
        return [held.record for _, held in taken]

    def _versions(self, buckets: list[int]) -> dict[str, Version]:
        chosen = set(buckets)
        return {
            key: held.record.version
            for key, held in self._held.items()
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
