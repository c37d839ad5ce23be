"""HTTP client that reads reports from the ranks of engine groups and sends commands."""

import asyncio
from collections.abc import Callable, Mapping
from http import HTTPStatus
from itertools import count
from secrets import token_hex
from typing import Any

import msgspec

from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.http_connection import ConnectionFailed
from cyclamenyoke.core.decoding import Count, Integer64, decode_json
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.expert_map_planner import ExpertMap
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.rank_group import RankReport
from cyclamenyoke.core.units import MEBIBYTE, MILLISECOND, SECOND
from cyclamenyoke.exceptions import MalformedValue
from cyclamenyoke.platform.engine_client import read_notice
from cyclamenyoke.platform.headers import TARGET_ENGINE
from cyclamenyoke.platform.json_request import (
    IncompleteResponse,
    JsonResponse,
    request_json,
)
from cyclamenyoke.ports.engine_control import (
    CommandResult,
    EngineControl,
    EngineControlError,
    ExpertCounts,
)

RESPONSE_TIMEOUT = 120 * MILLISECOND
"""Timeout of a request to a rank in seconds, about twenty round trips. It is short
because the group may be paused until the rank has responded."""

TRANSFER_TIMEOUT = 2 * SECOND
"""Timeout in seconds of a request that carries a whole map or all expert counts. With a
hundred ranks the maps together take a good part of a second over the link of this node,
and no pass waits for the response."""

MAX_RESPONSE_BYTES = 1 * MEBIBYTE
"""Largest response in bytes that is accepted from a rank; expert counts of a hundred
thousand numbers fit in it."""

MAX_CONNECTIONS = 4
"""Largest number of connections to one rank, for queries and for commands each."""

ID_PREFIX_BYTES = 8
"""Random bytes that the ids of this node's queries and commands have in common."""

RESULT_BY_STATUS: Mapping[int, CommandResult] = {
    HTTPStatus.OK: CommandResult.DONE,
    HTTPStatus.ACCEPTED: CommandResult.DONE,
    HTTPStatus.CONFLICT: CommandResult.REJECTED,
    HTTPStatus.BAD_REQUEST: CommandResult.REJECTED,
    HTTPStatus.PRECONDITION_FAILED: CommandResult.REJECTED,
    HTTPStatus.MISDIRECTED_REQUEST: CommandResult.REJECTED,
}

SERVING_STATE = "open"


class _Group(msgspec.Struct):
    name: str
    epoch: Integer64
    rank: Count
    state: str


class _Report(msgspec.Struct):
    group: _Group
    # Number of ranks in the group.
    size: Count
    # Number of the last pass that was started.
    step: Integer64
    # Version of the expert map in use.
    map: Integer64
    # Version of the map that is ready to switch to.
    prepared: Integer64 | None = None
    # Describes the scheduled switch; only its presence matters.
    armed: Any = None
    # The pass that the group is held from starting.
    held: Integer64 | None = None


class _ExpertCountsResponse(msgspec.Struct):
    epoch: Integer64
    # How often each expert was selected, one layer set after another.
    counts: list[Count]


class HttpEngineControl(EngineControl):
    """HTTP implementation of :class:`EngineControl`.

    Requests carry ids of their own. A rank that repeats them lets its responses be told
    from late copies of earlier ones. With one that does not, each command has a
    connection of its own; a report or counts that come late are as old as any may be.

    :param pool: connections to ranks.
    :param on_leaving: called when a rank's response states that the rank is leaving.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        on_leaving: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._pool = pool
        self._on_leaving = on_leaving
        self._id_prefix = token_hex(ID_PREFIX_BYTES).encode()
        self._id_numbers = count()

    async def report(self, endpoint: Endpoint) -> RankReport:
        body = await self._query(endpoint, "/v1/report")
        try:
            report = decode_json(body, _Report)
        except MalformedValue as error:
            raise EngineControlError(f"report from {endpoint.id}: {error}") from error
        return RankReport(
            report.group.name,
            report.group.epoch,
            report.group.rank,
            report.size,
            report.group.state == SERVING_STATE,
            report.step,
            report.map,
            report.prepared,
            report.armed is not None,
            report.held,
        )

    async def expert_counts(
        self, endpoint: Endpoint, layout: ExpertLayout
    ) -> ExpertCounts:
        body = await self._query(endpoint, "/v1/picked", TRANSFER_TIMEOUT)
        try:
            response = decode_json(body, _ExpertCountsResponse)
        except MalformedValue as error:
            raise EngineControlError(f"counts from {endpoint.id}: {error}") from error
        size = layout.experts
        if len(response.counts) != layout.sets * size:
            raise EngineControlError(
                f"{len(response.counts)} expert counts from {endpoint.id}, not"
                f" {layout.sets} sets of {size}"
            )
        rows = [response.counts[n * size : (n + 1) * size] for n in range(layout.sets)]
        return ExpertCounts(response.epoch, rows)

    async def prepare(
        self, endpoint: Endpoint, version: int, epoch: int, experts: ExpertMap
    ) -> CommandResult:
        fields = {"version": version, "epoch": epoch, "map": experts}
        return await self._send_command(endpoint, "prepare", fields, TRANSFER_TIMEOUT)

    async def arm(
        self, endpoint: Endpoint, version: int, epoch: int, step: int
    ) -> CommandResult:
        fields = {"version": version, "epoch": epoch, "step": step}
        return await self._send_command(endpoint, "arm", fields)

    async def disarm(
        self, endpoint: Endpoint, version: int, epoch: int
    ) -> CommandResult:
        return await self._send_command(
            endpoint, "disarm", {"version": version, "epoch": epoch}
        )

    async def hold(self, endpoint: Endpoint, epoch: int, step: int) -> CommandResult:
        return await self._send_command(
            endpoint, "hold", {"epoch": epoch, "step": step}
        )

    async def release_hold(
        self, endpoint: Endpoint, epoch: int, step: int
    ) -> CommandResult:
        return await self._send_command(endpoint, "go", {"epoch": epoch, "step": step})

    async def _send_command(
        self,
        endpoint: Endpoint,
        operation: str,
        fields: Mapping[str, object],
        timeout: float = RESPONSE_TIMEOUT,
    ) -> CommandResult:
        command = {"operation": operation, **fields}
        try:
            response = await self._request(
                endpoint, "POST", "/v1/order", command, timeout
            )
        except ConnectionFailed:
            # Nothing was sent, but an earlier request with the same command may still
            # take effect.
            return CommandResult.UNKNOWN
        except (IncompleteResponse, TimeoutError):
            return CommandResult.UNKNOWN
        return RESULT_BY_STATUS.get(response.status, CommandResult.UNKNOWN)

    async def _query(
        self, endpoint: Endpoint, path: str, timeout: float = RESPONSE_TIMEOUT
    ) -> bytes:
        try:
            response = await self._request(endpoint, "GET", path, None, timeout)
        except (ConnectionFailed, IncompleteResponse, TimeoutError) as error:
            raise EngineControlError(f"{path} at {endpoint.id}: {error!r}") from error
        if response.status != HTTPStatus.OK:
            raise EngineControlError(
                f"{path} at {endpoint.id}: status {response.status}"
            )
        return response.body

    async def _request(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        content: object = None,
        timeout: float = RESPONSE_TIMEOUT,
    ) -> JsonResponse:
        headers = [(TARGET_ENGINE, endpoint.id.encode())]
        is_command = content is not None
        # A copy of a report must not pass for the response to a command.
        connections = f"{endpoint.id} commands" if is_command else endpoint.id
        async with asyncio.timeout(timeout):
            response = await request_json(
                self._pool,
                endpoint.address,
                connections,
                MAX_CONNECTIONS,
                method,
                path.encode(),
                headers,
                MAX_RESPONSE_BYTES,
                content,
                request_id=b"%b-%x" % (self._id_prefix, next(self._id_numbers)),
                must_identify=is_command,
            )
        if read_notice(response.head, endpoint.id).is_leaving:
            self._on_leaving(endpoint)
        return response
