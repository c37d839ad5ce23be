"""The configuration: service definitions, and the versioned index of them.

Each of the operators' files defines one :class:`Service`. A publish stores every
changed service as an immutable blob, named by its digest, and then replaces the
single :class:`ConfigIndex` by compare-and-swap. The generation of the index only
increases, so it shows which of two configurations is newer.
"""

import enum
import fnmatch
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor

JOURNAL_WRITES_PER_SECOND = 180.0
"""Journal writes per second that all agents together may make."""

HISTORY_LENGTH = 50
"""Maximum number of publishes in the history of the index; older ones are dropped."""


class ServiceKind(enum.Enum):
    """The kind of endpoints of a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One engine rank or one plain endpoint, reached through its agent.

    :param name: unique in the deployment.
    :param agent: ``IP:PORT`` on which the endpoint's agent accepts calls.
    :param data_centre: name of the data centre of the endpoint.
    :param slots: calls that the endpoint executes concurrently.
    """

    name: str
    agent: str
    data_centre: str
    slots: int = 8


@dataclass(slots=True, frozen=True)
class EngineGroup:
    """Engines whose ranks advance in lock-step with one expert map."""

    name: str
    engines: list[Endpoint]


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer of a service.

    :param name: identifies the customer across services.
    :param share: weight in the fair queue, relative to the other customers.
    :param api_key_sha256: hexadecimal digest of the customer's API key.
    """

    name: str
    share: float
    api_key_sha256: str


@dataclass(slots=True, frozen=True)
class CallPattern:
    """Matches calls by HTTP method and path.

    :param path: a glob pattern, in which ``*`` matches any text.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call matches the pattern."""
        return self.method == method and fnmatch.fnmatchcase(path, self.path)


@dataclass(slots=True, frozen=True)
class ServiceLevels:
    """The latency limits of a service-level objective.

    :param first_token: seconds from the request to the first byte of the response.
    :param between_tokens: seconds between two chunks of a response.
    :param objective: the share of calls that must meet both limits, from 0 to 1.
    """

    first_token: float = 0.47
    between_tokens: float = 0.074
    objective: float = 0.95


@dataclass(slots=True, frozen=True)
class Deadlines:
    """The time that a call may take, in seconds after it was received.

    :param default: for callers that state no deadline.
    :param maximum: upper limit for stated deadlines.
    """

    default: float = 30.0
    maximum: float = 120.0


@dataclass(slots=True, frozen=True)
class Service:
    """A service as its operators define it.

    :param service: the name of the service.
    :param kind: model engines or plain endpoints.
    :param customers: the customers that may call the service.
    :param models: model names that callers may request; only for model services.
    :param groups: engine groups; only for model services.
    :param endpoints: endpoints; only for plain services.
    :param not_repeatable: calls that run at most once per idempotency key.
    :param retention: seconds after its issue for which a key is remembered.
    :param checks_fencing: whether every endpoint rejects outdated fencing tokens.
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
        """The endpoints of a plain service, or the engines of all groups."""
        grouped = [engine for group in self.groups for engine in group.engines]
        return [*grouped, *self.endpoints]

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once, and so needs no key."""
        return not any(pattern.matches(method, path) for pattern in self.not_repeatable)


class ServiceRevision(msgspec.Struct, frozen=True):
    """The current definition of a service.

    :param revision: 1 for the first definition; increases with each change.
    :param digest: digest of the blob with the definition.
    """

    revision: int
    digest: str


class PublishRecord(msgspec.Struct, frozen=True):
    """One accepted publish in the history.

    :param published_at: in seconds of Unix time.
    :param services: names of the services that it changed.
    """

    generation: int
    publish_id: str
    author: str
    published_at: float
    services: list[str]


class ConfigIndex(msgspec.Struct, frozen=True):
    """The value that defines the current configuration.

    :param generation: increases by one with each accepted publish.
    :param services: the revision of each service, by name.
    :param history: the latest publishes, newest first.
    """

    generation: int = 0
    services: dict[str, ServiceRevision] = {}
    history: list[PublishRecord] = []

    def has_publish(self, publish_id: str) -> bool:
        """Return whether a publish is in the history.

        A writer that got no reply can check in this way whether it was accepted.
        """
        return any(record.publish_id == publish_id for record in self.history)

    def with_services(
        self, digests: Mapping[str, str], publish_id: str, author: str, now: float
    ) -> "ConfigIndex":
        """Return the index that results from a publish.

        :param digests: digest of the new blob of each changed service, by name.
        :param now: Unix time in seconds.
        """
        services = dict(self.services)
        for name, digest in digests.items():
            previous = services.get(name, ServiceRevision(0, ""))
            services[name] = ServiceRevision(previous.revision + 1, digest)
        generation = self.generation + 1
        record = PublishRecord(generation, publish_id, author, now, sorted(digests))
        history = [record, *self.history][:HISTORY_LENGTH]
        return ConfigIndex(generation, services, history)


def journal_write_rate(services: Iterable[Service]) -> float:
    """Return the journal writes per second that each agent may make.

    Only agents of services with calls that run at most once write to the journal;
    they share the budget equally.
    """
    writers = sum(
        len(service.endpoints) for service in services if service.not_repeatable
    )
    return JOURNAL_WRITES_PER_SECOND / max(1, writers)


def encode_service(service: Service) -> bytes:
    """Encode a service as a blob; equal services give equal bytes."""
    return msgspec.json.encode(service, order="deterministic")


def decode_service(blob: bytes) -> Service:
    """Decode the service in a blob."""
    return msgspec.json.decode(blob, type=Service)


def blob_digest(blob: bytes) -> str:
    """Return the digest of a blob: 128 bits of BLAKE2b in hexadecimal."""
    return hashlib.blake2b(blob, digest_size=16).hexdigest()


class ConfigStore:
    """The configuration of one node, which never reverts to an older generation.

    Accepts indexes and blobs in any order, from the platform or from peers, and
    applies an index once every blob that it refers to is available.

    :param monitor: receives the check that the generation only increases.
    """

    def __init__(self, monitor: InvariantMonitor) -> None:
        self._monitor = monitor
        self._index = ConfigIndex()
        self._pending_index: ConfigIndex | None = None
        self._blobs: dict[str, bytes] = {}
        self._services: dict[str, Service] = {}

    @property
    def index(self) -> ConfigIndex:
        """The applied index."""
        return self._index

    @property
    def generation(self) -> int:
        """The applied generation; 0 before the first."""
        return self._index.generation

    @property
    def services(self) -> Mapping[str, Service]:
        """The services of the applied index, by name."""
        return self._services

    @property
    def missing(self) -> list[str]:
        """Digests of missing blobs that the newest known index refers to."""
        if self._pending_index is None:
            return []
        needed = {
            service_revision.digest
            for service_revision in self._pending_index.services.values()
        }
        return sorted(needed - self._blobs.keys())

    def blob(self, digest: str) -> bytes | None:
        """Return a stored blob, or ``None``."""
        return self._blobs.get(digest)

    def offer_index(self, index: ConfigIndex) -> bool:
        """Apply an index or keep it until its blobs arrive; ignore an older one.

        Returns whether an index was applied.
        """
        newest = self._pending_index or self._index
        if index.generation > newest.generation:
            self._pending_index = index
        return self._advance()

    def offer_blobs(self, blobs: Iterable[bytes]) -> bool:
        """Add blobs; return whether the pending index was applied."""
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
            name: decode_service(self._blobs[service_revision.digest])
            for name, service_revision in index.services.items()
        }
        referenced = {
            service_revision.digest for service_revision in index.services.values()
        }
        self._blobs = {key: self._blobs[key] for key in referenced}
        return True
