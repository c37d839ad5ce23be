"""The HTTP API for operators, which an entry serves on a port of its own.

Operators authenticate with an API key of their own, which callers do not have.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from litestar import Litestar, get, post
from litestar.connection import ASGIConnection, Request
from litestar.exceptions import NotAuthorizedException
from litestar.handlers import BaseRouteHandler
from litestar.response import Response

from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.burn_rate import BurnRateRow, BurnRateTracker
from cyclamenyoke.core.config import ConfigIndex, Service
from cyclamenyoke.core.routing import Router
from cyclamenyoke.daemon.config_sync import GENERATION_UNKNOWN, ConfigSync
from cyclamenyoke.daemon.publishing import Publisher, PublishRequest
from cyclamenyoke.exceptions import PlatformUnavailable, PublishConflict
from cyclamenyoke.ports.clock import Clock

JSON = "application/json"
CONFLICT = 409
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


class NodeStatus(msgspec.Struct, frozen=True):
    """A daemon as known to this entry.

    :param control: ``IP:PORT`` of its gossip socket.
    :param operators: ``IP:PORT`` of its operators' API; empty for an agent.
    :param generation: of the configuration that it has applied; -1 if it did not reply.
    """

    name: str
    role: str
    data_centre: str
    control: str
    operators: str
    leaving: bool
    generation: int


class AgentStatus(msgspec.Struct, frozen=True):
    """An agent as known to this entry.

    :param latency: exponentially smoothed, in seconds.
    """

    name: str
    service: str
    connected: bool
    leaving: bool
    circuit: str
    in_flight: int
    latency: float


class Status(msgspec.Struct, frozen=True):
    """The state of the system as seen by one entry.

    :param requests: the number of requests in progress at this entry.
    """

    entry: str
    generation: int
    requests: int
    nodes: list[NodeStatus]
    agents: list[AgentStatus]


class ConfigView(msgspec.Struct, frozen=True):
    """The configuration in force at one entry."""

    index: ConfigIndex
    services: list[Service]


class ConflictBody(msgspec.Struct, frozen=True):
    """Response body for an edit that is based on an outdated revision."""

    service: str
    diff: str


class OperatorsApi:
    """The operators' API of one entry.

    :param key_sha256: SHA-256 digest of the operators' API key, in hexadecimal.
    :param count_active: returns the number of requests in progress.
    :param name: the name of this entry.
    """

    def __init__(
        self,
        key_sha256: str,
        config_sync: ConfigSync,
        publisher: Publisher,
        router: Router,
        burn_rates: BurnRateTracker,
        count_active: Callable[[], int],
        name: str,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._key_sha256 = key_sha256
        self._config_sync = config_sync
        self._publisher = publisher
        self._router = router
        self._burn_rates = burn_rates
        self._count_active = count_active
        self._name = name
        self._clock = clock
        self._metrics = metrics

    def application(self) -> Litestar:
        """Return the ASGI application."""

        @get("/operators/v1/status")
        async def status() -> Response[bytes]:
            return _json(await self.status())

        @get("/operators/v1/config", sync_to_thread=False)
        def config() -> Response[bytes]:
            return _json(self.config())

        @get("/operators/v1/slo", sync_to_thread=False)
        def slo() -> Response[bytes]:
            return _json(self.slo())

        @get("/metrics", sync_to_thread=False)
        def metrics() -> Response[str]:
            return Response(self._metrics.render(), media_type="text/plain")

        @get("/operators/v1/metrics/{name:str}")
        async def node_metrics(name: str) -> Response[str]:
            text = await self._config_sync.fetch_metrics(name)
            status_code = NOT_FOUND if text is None else 200
            return Response(
                text or "", status_code=status_code, media_type="text/plain"
            )

        @post("/operators/v1/publish")
        async def publish(request: Request[Any, Any, Any]) -> Response[bytes]:
            return await self._publish(await request.body())

        return Litestar(
            [status, config, slo, metrics, node_metrics, publish],
            guards=[self._require_key],
            openapi_config=None,
            logging_config=None,
        )

    async def status(self) -> Status:
        """Return the nodes and agents, with the generation that each node reports."""
        config = self._config_sync.config
        generations = await self._config_sync.collect_generations()
        nodes = [
            NodeStatus(
                name,
                node.role,
                node.data_centre,
                node.control,
                node.operators,
                node.is_draining,
                generations.get(name, GENERATION_UNKNOWN),
            )
            for name, node in sorted(self._config_sync.nodes.items())
        ]
        agents = [
            self._agent_status(service.service, endpoint.name)
            for service in config.services.values()
            for endpoint in service.all_endpoints
            if self._router.is_configured(endpoint.name)
        ]
        return Status(
            self._name, config.generation, self._count_active(), nodes, agents
        )

    def config(self) -> ConfigView:
        """Return the configuration in force."""
        config = self._config_sync.config
        services = [config.services[name] for name in sorted(config.services)]
        return ConfigView(config.index, services)

    def slo(self) -> list[BurnRateRow]:
        """Return the burn rates of this entry's calls."""
        return self._burn_rates.report(self._clock.now())

    async def _publish(self, body: bytes) -> Response[bytes]:
        try:
            request = msgspec.json.decode(body, type=PublishRequest)
            index = await self._publisher.publish(request)
        except msgspec.DecodeError as error:
            return _json({"detail": str(error)}, BAD_REQUEST)
        except PublishConflict as conflict:
            return _json(ConflictBody(conflict.service, conflict.diff), CONFLICT)
        except PlatformUnavailable as error:
            return _json({"detail": str(error)}, UNAVAILABLE)
        return _json(index)

    def _agent_status(self, service: str, name: str) -> AgentStatus:
        view = self._router.view(name)
        return AgentStatus(
            name,
            service,
            view.is_connected,
            view.is_draining,
            view.circuit.value,
            view.in_flight,
            round(view.latency, 6),
        )

    def _require_key(
        self, connection: ASGIConnection[Any, Any, Any, Any], _: BaseRouteHandler
    ) -> None:
        key = connection.headers.get("authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._key_sha256):
            raise NotAuthorizedException("operators' credential is missing or wrong")


def _json(value: object, status_code: int = 200) -> Response[bytes]:
    body = msgspec.json.encode(value)
    return Response(body, status_code=status_code, media_type=JSON)
