"""The configuration of a gateway: routes, services, customers and caller limits."""

import enum
from dataclasses import dataclass, field, replace
from random import Random

from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE, SECOND


class RetryMode(enum.Enum):
    """How a request that may already have run can be retried."""

    NEVER = "never"
    ANYWHERE = "anywhere"
    RESUME = "resume"
    """Another engine may resume the stream after its last event."""


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """A service's share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param prefix: begins and ends with a slash.
    :param timeout: seconds within which a request gets its final response.
    :param target_latency: seconds within which the response, or a stream's first
        event, must arrive to be on time; a late one is worth less to the caller.
    :param target_gap: longest gap in seconds between two events of a stream that is
        on time; 0 without a target.
    :param priority: 0 is served first.
    :param max_attempts: maximum number of engines to which one request is sent.
    :param is_public: whether it is served without an API key.
    """

    name: str
    host: str
    prefix: str
    is_stream: bool
    retry_mode: RetryMode
    shares: tuple[TrafficShare, ...]
    timeout: float
    target_latency: float
    target_gap: float
    priority: int
    max_attempts: int
    is_public: bool

    def pick_service(self, random: Random) -> str:
        """Return one of the route's services by weight.

        >>> route = Route("r", "h", "/", False, RetryMode.NEVER,
        ...               (TrafficShare("a", 1),), 1, 1, 0, 0, 1, True)
        >>> route.pick_service(Random(1))
        'a'
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Performance model of a service's engines, for predictions.

    Times are in seconds, sizes in tokens. A decoding pass runs ``steps_per_pass``
    steps; each step takes ``step`` plus, for each request that decodes,
    ``per_sequence`` and ``per_context_token`` times the length of its context.

    :param prefill_rate: prompt tokens that an engine processes per second.
    :param prefill_chunk: maximum number of prompt tokens processed in one step.
    :param report_lag: age of an engine's report when it arrives.
    :param mean_prompt_tokens: mean prompt length of a request.
    :param mean_output_tokens: mean output length of a request.
    :param kv_capacity_tokens: context tokens that the engine's memory holds.
    """

    step: float
    per_sequence: float
    per_context_token: float
    prefill_rate: float
    prefill_chunk: int
    steps_per_pass: int
    report_lag: float
    mean_prompt_tokens: float
    mean_output_tokens: float
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """How the experts of a service's engine groups are laid out.

    :param sets: number of sets of layers; each has its own placement.
    :param experts: number of experts in each set.
    :param slots_per_rank: number of experts of a set that a rank can hold.
    :param max_loads_per_rank: maximum number of experts of a set that a rank loads for
        one map.
    :param load_time: seconds to load one expert.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_loads_per_rank: int
    load_time: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    :param max_connections: maximum number of connections that each endpoint accepts
        from all callers together.
    :param model: performance model of its engines; ``None`` for a plain service.
    :param layout: layout of its experts; ``None`` for engines without experts.
    :param cold_rate: requests a second that a cold endpoint tolerates from all nodes;
        0 without a limit.
    """

    name: str
    health_path: str
    max_connections: int
    model: EngineModel | None
    layout: ExpertLayout | None
    cold_rate: float = 0.0


MAX_AUXILIARY_HEADER_BYTES = 8 * KIBIBYTE
"""Largest head of a request to an auxiliary address, such as that of the directory."""

MAX_AUXILIARY_BODY_BYTES = 4 * KIBIBYTE
"""Largest body of such a request; only operators send one, to lift a quarantine."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests, in bytes and seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * MEBIBYTE
    header_timeout: float = 3 * SECOND
    idle_timeout: float = 15 * SECOND

    def for_auxiliary(self) -> "CallerLimits":
        """Return the limits of auxiliary addresses: these timeouts, and fixed sizes."""
        return replace(
            self,
            max_header_bytes=MAX_AUXILIARY_HEADER_BYTES,
            max_body_bytes=MAX_AUXILIARY_BODY_BYTES,
        )


@dataclass(frozen=True, slots=True)
class Customer:
    """The customer that a request belongs to.

    :param priority: overrides the route's priority; ``None`` to keep it.
    """

    name: str
    priority: int | None


@dataclass(slots=True)
class GatewayConfig:
    """One version of the configuration.

    :param customers: by API key; empty if requests need none.
    :param requires_api_key: whether requests to non-public routes need an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    customers: dict[str, Customer]
    requires_api_key: bool
    _by_host: dict[str, list[Route]] = field(default_factory=dict)
    _shortest_gaps: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
            for share in route.shares if route.target_gap else ():
                gap = self._shortest_gaps.get(share.service, route.target_gap)
                self._shortest_gaps[share.service] = min(gap, route.target_gap)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def shortest_gap(self, service: str) -> float:
        """Return the shortest target gap of a service's routes; 0 without one."""
        return self._shortest_gaps.get(service, 0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of a path, or ``None``."""
        routes = self._by_host.get(host, ())
        return next((each for each in routes if path.startswith(each.prefix)), None)
