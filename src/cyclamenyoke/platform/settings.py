"""Loads the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from cyclamenyoke.core.decoding import Count, Port, Quantity
from cyclamenyoke.core.endpoint_registry import DEFAULT_REGISTRATION_LIFETIME
from cyclamenyoke.core.node_settings import Bounds, NodeSettings
from cyclamenyoke.core.units import MEBIBYTE, MILLISECOND
from cyclamenyoke.exceptions import Finding, FindingsError

SETTINGS_PATH_VARIABLE = "CYCLAMENYOKE_NODE_FILE"
"""Environment variable with the path of the settings file."""

PEER_PORT_INDEX = 0
"""Index of the port for peer messages in the range ``internal_ports``."""

METRICS_PORT = 9464
"""Port that serves the metrics, a usual one for exporters. ``deploy/system.toml`` must
name the same port."""


HEARTBEATS_PER_REGISTRATION = 3
"""Heartbeats that an engine misses before the store drops its entry."""


class _Listen(msgspec.Struct):
    front: str | None = None
    ready: str | None = None
    directory: str | None = None


class _Limits(msgspec.Struct):
    cpu_share: Quantity = 1.0
    cores: Quantity = 1.0
    memory_mb: Quantity = 256.0
    file_descriptors: Count = 1024


class _Bounds(msgspec.Struct):
    drain_ms: Quantity
    grace_s: Quantity
    config_apply_ms: Quantity
    retry_budget_ratio: Quantity
    retry_budget_slack: Quantity
    budget_window_s: Quantity
    ttl_max_s: Quantity = 5.0
    stall_ms: Quantity = 1500.0
    evacuation_ms: Quantity | None = None
    cold_overage: Quantity = 1.0
    cold_slack: Quantity = 0.0


class _Platform(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[Port, Port]
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[str] = []
    heartbeat_ms: Quantity | None = None


_FIELD_TYPES: Mapping[str, Any] = {
    field.name: field.type for field in msgspec.structs.fields(_Settings)
}


def load_settings(path: Path) -> NodeSettings:
    """Load the settings from a file.

    Unknown keys are ignored.

    :raises FindingsError: with all problems of the file.
    """
    name = str(path)
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        # Malformed text and TOML raise ValueError, values nested too deeply the last.
        raise FindingsError([Finding(name, 1, 1, str(error))]) from error
    findings = [
        Finding(name, 1, 1, f"{key}: {problem}")
        for key, problem in _find_problems(content)
    ]
    if findings:
        raise FindingsError(findings)
    return _translate(msgspec.convert(content, _Settings))


def _find_problems(content: dict[str, Any]) -> list[tuple[str, str]]:
    """Validate each field on its own; return the invalid ones with their problems."""
    problems = []
    for field in msgspec.structs.fields(_Settings):
        if field.name not in content:
            if field.required:
                problems.append((field.name, "missing"))
            continue
        try:
            msgspec.convert(content[field.name], _FIELD_TYPES[field.name])
        except msgspec.ValidationError as error:
            problems.append((field.name, str(error)))
    return problems


def _translate(settings: _Settings) -> NodeSettings:
    bounds = settings.bounds
    first_port = settings.internal_ports[0]
    lifetime = DEFAULT_REGISTRATION_LIFETIME
    if settings.heartbeat_ms is not None:
        lifetime = HEARTBEATS_PER_REGISTRATION * settings.heartbeat_ms * MILLISECOND
    return NodeSettings(
        node=settings.node,
        ip=settings.ip,
        data_centre=settings.zone,
        region=settings.region,
        callers=settings.listen.front,
        readiness=settings.listen.ready,
        directory=settings.listen.directory,
        peer_port=first_port + PEER_PORT_INDEX,
        metrics_port=METRICS_PORT,
        seeds=tuple(seed.rpartition(":")[0] for seed in settings.seeds),
        store=settings.platform.address,
        capacity=settings.limits.cpu_share * settings.limits.cores,
        memory_bytes=int(settings.limits.memory_mb * MEBIBYTE),
        file_descriptors=settings.limits.file_descriptors,
        bounds=Bounds(
            drain=bounds.drain_ms * MILLISECOND,
            grace=bounds.grace_s,
            config_apply=bounds.config_apply_ms * MILLISECOND,
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            retry_window=bounds.budget_window_s,
            address_lifetime=bounds.ttl_max_s,
            stall=bounds.stall_ms * MILLISECOND,
            evacuation=_optional_seconds(bounds.evacuation_ms),
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
        ),
        registration_lifetime=lifetime,
    )


def _optional_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds * MILLISECOND
