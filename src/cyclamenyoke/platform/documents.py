"""Decodes the operator's configuration and the endpoint entries in the store."""

from collections.abc import Iterable

import msgspec

from cyclamenyoke.core.decoding import (
    Count,
    Integer64,
    Name,
    Number,
    Quantity,
    Timestamp,
    decode_json,
    is_address,
    is_header_value,
)
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.gateway_config import (
    CallerLimits,
    Customer,
    EngineModel,
    ExpertLayout,
    GatewayConfig,
    RetryMode,
    Route,
    Service,
    TrafficShare,
)
from cyclamenyoke.core.host_names import normalize_host
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.exceptions import MalformedValue

CONFIG_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys with which the operator evacuates data centres; the name of the
data centre follows."""

STREAMING_KIND = "streaming"
READY_STATE = "ready"
IS_DRAINING_BY_STATE = {READY_STATE: False, "draining": True}
TOKENS_PER_K = 1000.0
BITS_PER_BYTE = 8.0

MAX_EXPERTS = 1_000_000
"""Largest number of experts in all sets of a service; maps of more would not fit in the
memory of a node."""


class InvalidDocument(MalformedValue):
    """A value in the store is malformed or invalid."""


class _TrafficShare(msgspec.Struct):
    service: Name
    weight: Quantity


class _Route(msgspec.Struct):
    name: Name
    host: str
    prefix: str
    kind: str
    timeout_ms: Quantity
    service: Name | None = None
    traffic_split: list[_TrafficShare] = []
    target_latency_ms: Quantity = 0.0
    target_gap_ms: Quantity = 0.0
    priority: Integer64 = 0
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False


class _MeanTokens(msgspec.Struct):
    # Mean numbers of prompt and output tokens of a request.
    prompt: Quantity = 0.0
    answer: Quantity = 0.0


class _Engine(msgspec.Struct):
    # Duration of a step in milliseconds: the base value, the addition for each request
    # that decodes, and the addition for each thousand tokens of its context.
    step_ms: Quantity = 0.0
    per_seq_ms: Quantity = 0.0
    context_per_k: Quantity = 0.0
    # Prompt tokens per second.
    read_per_s: Quantity = 0.0
    # Largest number of prompt tokens that are read in one step.
    chunk: Count = 0
    # Steps per decoding pass.
    stride: Count = 1
    # Age of an engine's report when it arrives.
    report_lag_ms: Quantity = 0.0
    # Context tokens that the engine's memory holds.
    kv_capacity_tokens: Count = 0
    usual: _MeanTokens = msgspec.field(default_factory=_MeanTokens)
    # Speed at which a rank loads experts, in megabits per second.
    link_mbps: Quantity = 0.0
    # Number of layer sets, and of experts in each.
    sets: Count = 0
    experts: Count = 0
    # Largest number of experts of a set on one rank.
    placements: Count = 0
    # Largest number of experts of a set that a rank may load for one map.
    spare: Count = 0
    # Size of one expert in megabytes.
    expert_mb: Quantity = 0.0


class _Service(msgspec.Struct):
    name: Name
    health_path: str = "/health"
    max_connections: Count = 64
    # Requests a second that an engine tolerates after its start, while it is cold.
    cold_per_s: Quantity = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Quantity
    idle_timeout_ms: Quantity


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: list[str] = []
    priority: Integer64 | None = None


class _Config(msgspec.Struct):
    version: Integer64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    service: Name
    address: Name
    zone: Name
    state: str
    slots: Count = 1
    # Start time of the engine in Unix milliseconds.
    born: Timestamp = 0
    # How long the engine stays cold.
    cold_remaining_ms: Number = 0.0


def decode_config(value: bytes) -> GatewayConfig:
    """Decode the configuration.

    :raises InvalidDocument: when the value is not a valid configuration.
    """
    try:
        config = decode_json(value, _Config)
    except MalformedValue as error:
        raise InvalidDocument(f"configuration: {error}") from error
    customers = {
        key: Customer(tenant.name, tenant.priority)
        for tenant in config.tenants or ()
        for key in tenant.api_keys
    }
    return GatewayConfig(
        config.version,
        tuple(_route(route) for route in config.routes),
        {service.name: _service(service) for service in config.services},
        _limits(config.limits),
        customers,
        config.tenants is not None,
    )


def decode_endpoint(key: str, value: bytes) -> Endpoint:
    """Decode the entry of an endpoint.

    :raises InvalidDocument: when the entry is malformed or has an invalid field.
    """
    id_ = key.removeprefix(ENDPOINT_PREFIX)
    try:
        entry = decode_json(value, _Entry)
    except MalformedValue as error:
        raise InvalidDocument(f"entry {key!r}: {error}") from error
    checks = (
        (entry.state not in IS_DRAINING_BY_STATE, f"unknown state {entry.state!r}"),
        (
            not is_address(entry.address),
            f"address {entry.address!r} is not HOST:PORT",
        ),
        (not is_header_value(id_), f"endpoint id {id_!r} can't be sent in a header"),
        (entry.slots < 1, f"slots {entry.slots} is less than 1"),
    )
    for is_invalid, problem in checks:
        if is_invalid:
            raise InvalidDocument(f"entry {key!r}: {problem}")
    return Endpoint(
        id_,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        IS_DRAINING_BY_STATE[entry.state],
        entry.born,
        entry.cold_remaining_ms > 0,
    )


def decode_endpoints(
    items: Iterable[tuple[str, bytes]],
) -> tuple[list[Endpoint], list[InvalidDocument]]:
    """Decode the entries of a list.

    :param items: keys and values.
    :returns: the valid endpoints, and an error for each invalid entry.
    """
    endpoints, errors = [], []
    for key, value in items:
        try:
            endpoints.append(decode_endpoint(key, value))
        except InvalidDocument as error:
            errors.append(error)
    return endpoints, errors


def _route(route: _Route) -> Route:
    is_stream = route.kind == STREAMING_KIND
    retry_mode = RetryMode.ANYWHERE if route.kind == "safe" else RetryMode.NEVER
    if is_stream and route.resumable:
        retry_mode = RetryMode.RESUME
    shares = tuple(
        TrafficShare(each.service, each.weight) for each in route.traffic_split
    )
    if route.service is not None:
        shares = (TrafficShare(route.service, 1.0),)
    if not sum(share.weight for share in shares) > 0:
        raise InvalidDocument(f"route {route.name!r} goes to no service")
    return Route(
        route.name,
        normalize_host(route.host),
        route.prefix,
        is_stream,
        retry_mode,
        shares,
        route.timeout_ms * MILLISECOND,
        route.target_latency_ms * MILLISECOND,
        route.target_gap_ms * MILLISECOND,
        route.priority,
        route.max_attempts,
        route.public,
    )


def _service(service: _Service) -> Service:
    model = _model(service.engine) if service.engine else None
    layout = _layout(service.engine) if service.engine else None
    return Service(
        service.name,
        service.health_path,
        service.max_connections,
        model,
        layout,
        service.cold_per_s,
    )


def _layout(engine: _Engine) -> ExpertLayout | None:
    if not engine.sets or not engine.experts or not engine.link_mbps:
        return None
    if engine.sets * engine.experts > MAX_EXPERTS:
        raise InvalidDocument(f"more than {MAX_EXPERTS} experts (MAX_EXPERTS)")
    return ExpertLayout(
        engine.sets,
        engine.experts,
        engine.placements,
        engine.spare,
        engine.expert_mb * BITS_PER_BYTE / engine.link_mbps,
    )


def _model(engine: _Engine) -> EngineModel:
    return EngineModel(
        step=engine.step_ms * MILLISECOND,
        per_sequence=engine.per_seq_ms * MILLISECOND,
        per_context_token=engine.context_per_k * MILLISECOND / TOKENS_PER_K,
        prefill_rate=engine.read_per_s,
        prefill_chunk=engine.chunk,
        steps_per_pass=engine.stride,
        report_lag=engine.report_lag_ms * MILLISECOND,
        mean_prompt_tokens=engine.usual.prompt,
        mean_output_tokens=engine.usual.answer,
        kv_capacity_tokens=engine.kv_capacity_tokens,
    )


def _limits(limits: _Limits | None) -> CallerLimits:
    if limits is None:
        return CallerLimits()
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms * MILLISECOND,
        limits.idle_timeout_ms * MILLISECOND,
    )
