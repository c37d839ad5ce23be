"""Loads the service files of a directory and checks each, and all of them together."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from cyclamenyoke.adapters.yaml_files import (
    NodePath,
    YamlDocument,
    load_document,
    structure,
)
from cyclamenyoke.core.config import Endpoint, Service, ServiceKind
from cyclamenyoke.exceptions import Finding

SERVICE_FILE_NAME = "cyclamenyoke.yaml"

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):(\d{1,5})")
_SHA256 = re.compile(r"[0-9a-f]{64}")

Problem = tuple[NodePath, str]
"""The path of a node in the document and what is wrong with it."""


def load_services(directory: Path) -> Result[list[Service], list[Finding]]:
    """Load all service files below a directory.

    :param directory: searched recursively for files named ``cyclamenyoke.yaml``.
    :returns: the services sorted by name, or all findings of all files.
    """
    paths = sorted(directory.rglob(SERVICE_FILE_NAME))
    if not paths:
        message = f"directory contains no file named {SERVICE_FILE_NAME}"
        return Failure([Finding(str(directory), 1, 1, message)])
    findings: list[Finding] = []
    loaded: list[tuple[YamlDocument, Service]] = []
    for path in paths:
        result = load_document(path).bind(_structure_service)
        if is_successful(result):
            loaded.append(result.unwrap())
        else:
            findings.extend(result.failure())
    findings.extend(_check_across_files(loaded))
    if findings:
        return Failure(sorted(findings))
    return Success(sorted((pair[1] for pair in loaded), key=lambda each: each.service))


def _structure_service(
    document: YamlDocument,
) -> Result[tuple[YamlDocument, Service], list[Finding]]:
    return structure(document, Service).bind(
        lambda service: _check_service(document, service)
    )


def _check_service(
    document: YamlDocument, service: Service
) -> Result[tuple[YamlDocument, Service], list[Finding]]:
    problems = [
        *_check_names(service),
        *_check_kind(service),
        *_check_endpoints(service),
        *_check_customers(service),
        *_check_times(service),
        *_check_calls(service),
    ]
    if problems:
        return Failure([document.finding(*problem) for problem in problems])
    return Success((document, service))


def _check_names(service: Service) -> Iterator[Problem]:
    named: list[tuple[NodePath, str]] = [(("service",), service.service)]
    named += [
        (("customers", index, "name"), customer.name)
        for index, customer in enumerate(service.customers)
    ]
    named += [(path, endpoint.name) for path, endpoint in _endpoint_paths(service)]
    for path, name in named:
        if not _NAME.fullmatch(name):
            yield (
                path,
                f"name {name!r} must have 1 to 63 characters of a-z, 0-9, '.' and '-', "
                "the first of a-z or 0-9",
            )


def _endpoint_paths(service: Service) -> Iterator[tuple[NodePath, Endpoint]]:
    for number, group in enumerate(service.groups):
        for index, engine in enumerate(group.engines):
            yield ("groups", number, "engines", index), engine
    for index, endpoint in enumerate(service.endpoints):
        yield ("endpoints", index), endpoint


def _check_kind(service: Service) -> Iterator[Problem]:
    required = {
        ServiceKind.MODEL: ("models", "groups"),
        ServiceKind.PLAIN: ("endpoints",),
    }[service.kind]
    for key in ("models", "groups", "endpoints"):
        present = bool(getattr(service, key))
        if key in required and not present:
            yield (key,), f"{key} is required for kind {service.kind.value!r}"
        if key not in required and present:
            yield (key,), f"{key} is not allowed for kind {service.kind.value!r}"


def _check_endpoints(service: Service) -> Iterator[Problem]:
    names: set[str] = set()
    for path, endpoint in _endpoint_paths(service):
        if not _ADDRESS.fullmatch(endpoint.agent):
            yield (*path, "agent"), f"agent {endpoint.agent!r} is not IP:PORT"
        if endpoint.slots < 1:
            yield (*path, "slots"), f"slots {endpoint.slots!r} is less than 1"
        if endpoint.name in names:
            yield (*path, "name"), f"duplicate endpoint {endpoint.name!r}"
        names.add(endpoint.name)


def _check_customers(service: Service) -> Iterator[Problem]:
    names: set[str] = set()
    if not service.customers:
        yield ("customers",), "customers is empty"
    for index, customer in enumerate(service.customers):
        path: NodePath = ("customers", index)
        if customer.share <= 0:
            yield (*path, "share"), f"share {customer.share!r} is not above 0"
        if not _SHA256.fullmatch(customer.api_key_sha256):
            message = "api_key_sha256 is not a SHA-256 digest of 64 hexadecimal digits"
            yield (*path, "api_key_sha256"), message
        if customer.name in names:
            yield (*path, "name"), f"duplicate customer {customer.name!r}"
        names.add(customer.name)


def _check_times(service: Service) -> Iterator[Problem]:
    deadlines = service.deadlines
    if not 0 < deadlines.default <= deadlines.maximum:
        yield ("deadlines",), "default must be above 0 and at most maximum"
    if not 0 < service.service_levels.objective < 1:
        yield ("service_levels", "objective"), "objective must lie between 0 and 1"
    if service.retention < 2 * deadlines.maximum:
        message = "retention must be at least twice deadlines.maximum"
        yield ("retention",), message


def _check_calls(service: Service) -> Iterator[Problem]:
    for index, call in enumerate(service.not_repeatable):
        if call.method != call.method.upper():
            path: NodePath = ("not_repeatable", index, "method")
            yield path, f"method {call.method!r} is not in upper case"
        if not call.path.startswith("/"):
            path = ("not_repeatable", index, "path")
            yield path, f"path {call.path!r} does not begin with '/'"


def _check_across_files(
    loaded: Iterable[tuple[YamlDocument, Service]],
) -> Iterator[Finding]:
    services: set[str] = set()
    models: dict[str, str] = {}
    keys: dict[str, str] = {}
    owners: dict[str, str] = {}
    for document, service in loaded:
        if service.service in services:
            message = f"service {service.service!r} is defined by another file"
            yield document.finding(("service",), message)
        services.add(service.service)
        for index, model in enumerate(service.models):
            if models.setdefault(model, service.service) != service.service:
                message = (
                    f"model {model!r} already belongs to service {models[model]!r}"
                )
                yield document.finding(("models", index), message)
        for index, customer in enumerate(service.customers):
            path: NodePath = ("customers", index, "api_key_sha256")
            digest = customer.api_key_sha256
            if keys.setdefault(customer.name, digest) != digest:
                message = f"customer {customer.name!r} has a different key elsewhere"
                yield document.finding(path, message)
            if owners.setdefault(digest, customer.name) != customer.name:
                message = f"key also belongs to customer {owners[digest]!r}"
                yield document.finding(path, message)
