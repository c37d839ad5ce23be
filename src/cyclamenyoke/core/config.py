"""The configuration in force: service definitions, and the index that orders them.

Operators' files become one :class:`Service` each. A publish stores every changed
service as an immutable blob, named by its digest, and then changes the one
:class:`ConfigIndex` by compare-and-swap. The index carries a generation that only
rises, so a node can tell an older configuration from a newer one.
"""

import enum
import fnmatch
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor

JOURNAL_WRITES_PER_SECOND = 180.0
"""Journal writes a second of all agents together."""

HISTORY_LENGTH = 50
"""The number of publishes that the index remembers."""


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One engine rank or one plain endpoint, reached through its agent.

    :param name: unique in the deployment.
    :param agent: ``IP:PORT`` on which the endpoint's agent takes calls.
    :param data_centre: where the endpoint is.
    :param slots: calls that the endpoint runs at the same time.
    """

    name: str
    agent: str
    data_centre: str
    slots: int = 8


@dataclass(slots=True, frozen=True)
class EngineGroup:
    """Engines whose ranks advance in lock-step on one expert map."""

    name: str
    engines: list[Endpoint]


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer of a service.

    :param name: the same in every service.
    :param share: weight in the fair queue, relative to the other customers.
    :param api_key_sha256: hexadecimal digest of the customer's API key.
    """

    name: str
    share: float
    api_key_sha256: str


@dataclass(slots=True, frozen=True)
class CallPattern:
    """Calls named by HTTP method and path, where ``*`` matches any text."""

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call falls under this pattern."""
        return self.method == method and fnmatch.fnmatchcase(path, self.path)


@dataclass(slots=True, frozen=True)
class ServiceLevels:
    """The latencies that a share of all calls must keep.

    :param first_token: seconds from the request to the first byte of the answer.
    :param between_tokens: seconds between two parts of an answer.
    :param objective: the share of calls that must keep both, between 0 and 1.
    """

    first_token: float = 0.47
    between_tokens: float = 0.074
    objective: float = 0.95


@dataclass(slots=True, frozen=True)
class Deadlines:
    """The time a call may take, in seconds after it was received."""

    default: float = 30.0
    maximum: float = 120.0


@dataclass(slots=True, frozen=True)
class Service:
    """A service as its operators define it.

    :param service: the name of the service.
    :param kind: model engines or plain endpoints.
    :param models: model names that callers may ask for; only for models.
    :param groups: engine groups; only for models.
    :param endpoints: endpoints; only for plain services.
    :param customers: who may call, with which share.
    :param not_repeatable: calls that may run at most once for each key.
    :param retention: seconds after its issue for which a key is remembered.
    :param checks_fencing: whether every endpoint refuses old fencing numbers.
    """

    service: str
    kind: ServiceKind
    customers: list[Customer]
    models: list[str] = field(default_factory=list)
    groups: list[EngineGroup] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    not_repeatable: list[CallPattern] = field(default_factory=list)
    deadlines: Deadlines = field(default_factory=Deadlines)
    service_levels: ServiceLevels = field(default_factory=ServiceLevels)
    retention: float = 86400.0
    checks_fencing: bool = False

    @property
    def all_endpoints(self) -> list[Endpoint]:
        """Every endpoint of the service, whichever its kind."""
        grouped = [engine for group in self.groups for engine in group.engines]
        return [*grouped, *self.endpoints]

    def is_repeatable(self, method: str, path: str) -> bool:
        """Tell whether a call may run more than once."""
        return not any(call.matches(method, path) for call in self.not_repeatable)


class ServiceRevision(msgspec.Struct, frozen=True):
    """Which blob defines a service, and how often it has changed."""

    revision: int
    digest: str


class PublishRecord(msgspec.Struct, frozen=True):
    """One accepted publish, for the history."""

    generation: int
    publish_id: str
    author: str
    published_at: float
    services: list[str]


class ConfigIndex(msgspec.Struct, frozen=True):
    """The one value that says what is in force.

    :param generation: rises by one with each accepted publish.
    :param services: the revision of each service, by name.
    :param history: the last publishes, newest first.
    """

    generation: int = 0
    services: dict[str, ServiceRevision] = {}
    history: list[PublishRecord] = []

    def has_publish(self, publish_id: str) -> bool:
        """Tell whether a publish was accepted; settles a lost answer."""
        return any(record.publish_id == publish_id for record in self.history)

    def with_services(
        self, digests: Mapping[str, str], publish_id: str, author: str, now: float
    ) -> "ConfigIndex":
        """Return the index after a publish of the given blobs.

        :param digests: the blob of each service that changes.
        """
        services = dict(self.services)
        for name, digest in digests.items():
            before = services.get(name, ServiceRevision(0, ""))
            services[name] = ServiceRevision(before.revision + 1, digest)
        generation = self.generation + 1
        record = PublishRecord(generation, publish_id, author, now, sorted(digests))
        history = [record, *self.history][:HISTORY_LENGTH]
        return ConfigIndex(generation, services, history)


def journal_write_rate(services: Iterable[Service]) -> float:
    """Return the journal writes a second that each agent may make.

    All agents before plain services together stay within the platform's budget.
    """
    writers = sum(
        len(service.endpoints) for service in services if service.not_repeatable
    )
    return JOURNAL_WRITES_PER_SECOND / max(1, writers)


def encode_service(service: Service) -> bytes:
    """Return the blob of a service, the same bytes for equal services."""
    return msgspec.json.encode(service, order="deterministic")


def decode_service(blob: bytes) -> Service:
    """Return the service that a blob holds."""
    return msgspec.json.decode(blob, type=Service)


def blob_digest(blob: bytes) -> str:
    """Return the name of a blob: 128 bits of BLAKE2b in hexadecimal."""
    return hashlib.blake2b(blob, digest_size=16).hexdigest()


class ConfigStore:
    """The configuration that one node runs, which never goes back.

    Takes indexes and blobs in any order, from the platform or from peers, and
    puts an index into force once every blob that it names is there.

    :param monitor: receives the check that the generation only rises.
    """

    def __init__(self, monitor: InvariantMonitor) -> None:
        self._monitor = monitor
        self._index = ConfigIndex()
        self._pending_index: ConfigIndex | None = None
        self._blobs: dict[str, bytes] = {}
        self._services: dict[str, Service] = {}

    @property
    def index(self) -> ConfigIndex:
        """The index in force."""
        return self._index

    @property
    def generation(self) -> int:
        """The generation in force; 0 before the first."""
        return self._index.generation

    @property
    def services(self) -> Mapping[str, Service]:
        """The services in force, by name."""
        return self._services

    @property
    def missing(self) -> list[str]:
        """Digests of blobs that the newest known index names and that are not here."""
        if self._pending_index is None:
            return []
        wanted = {entry.digest for entry in self._pending_index.services.values()}
        return sorted(wanted - self._blobs.keys())

    def blob(self, digest: str) -> bytes | None:
        """Return a blob for a peer that asks, or ``None``."""
        return self._blobs.get(digest)

    def offer_index(self, index: ConfigIndex) -> bool:
        """Consider an index; return whether it came into force now."""
        newest = self._pending_index or self._index
        if index.generation > newest.generation:
            self._pending_index = index
        return self._advance()

    def offer_blobs(self, blobs: Iterable[bytes]) -> bool:
        """Add blobs; return whether a newer index came into force now."""
        for blob in blobs:
            self._blobs[blob_digest(blob)] = blob
        return self._advance()

    def _advance(self) -> bool:
        if self._pending_index is None or self.missing:
            return False
        index = self._pending_index
        self._pending_index = None
        self._monitor.check(
            Invariant.CONFIG_NEVER_REVERTS,
            index.generation > self._index.generation,
            f"generation {index.generation} after {self._index.generation}",
        )
        self._index = index
        self._services = {
            name: decode_service(self._blobs[entry.digest])
            for name, entry in index.services.items()
        }
        named = {entry.digest for entry in index.services.values()}
        self._blobs = {key: self._blobs[key] for key in named}
        return True
