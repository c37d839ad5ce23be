"""Responses of ranks to reports and commands, and late copies of them."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from contextlib import asynccontextmanager

import httptools
import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.platform.engine_control import HttpEngineControl
from cyclamenyoke.ports.engine_control import CommandResult

REPORT = {
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 1,
    "step": 5,
    "map": 0,
}


class Request:
    """One request that a rank has received."""

    def __init__(self) -> None:
        self.path = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        self.path = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True


class CopyingRank:
    """A rank that sends each response once more, where the next one is due.

    :param echoes_ids: whether it repeats the ids of requests.
    :param status_of: returns the status for a command's operation.
    """

    def __init__(self, echoes_ids: bool, status_of: Callable[[str], int]) -> None:
        self.echoes_ids = echoes_ids
        self.status_of = status_of
        self.endpoint: Endpoint | None = None
        self.operations: list[str] = []
        self.has_copies = True
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        copy = b""
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = Request()
                parser = httptools.HttpRequestParser(request)
                while not request.is_complete:
                    data = await reader.read(65536)
                    if not data:
                        return
                    parser.feed_data(data)
                response = self.respond(request)
                writer.write(copy + response)
                copy = response if self.has_copies else b""

    def respond(self, request: Request) -> bytes:
        status, body = 200, json.dumps(REPORT).encode()
        if request.path == b"/v1/order":
            operation = json.loads(request.body)["operation"]
            self.operations.append(operation)
            status, body = self.status_of(operation), b""
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
        if self.echoes_ids and b"x-request-id" in request.headers:
            lines.append(b"X-Request-Id: " + request.headers[b"x-request-id"])
        return b"\r\n".join([*lines, b"", body])


@asynccontextmanager
async def copying_rank(echoes_ids: bool, status_of: Callable[[str], int]):
    """Run a rank that sends copies; yield it with a client."""
    rank = CopyingRank(echoes_ids, status_of)
    server = await asyncio.start_server(rank.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    rank.endpoint = Endpoint("r0", "llm", f"{host}:{port}", "dc", 6, False, 1)
    yield rank, HttpEngineControl(ConnectionPool(BootClock()))
    server.close()


# Guards against a late copy of an earlier answer that passes for the answer to a
# command, so that a pass begins with two maps (review/7) or stays held (review/8).
@pytest.mark.parametrize("echoes_ids", [True, False])
async def test_copy_of_an_answer_does_not_pass_for_that_of_the_next_command(echoes_ids):
    statuses = {"hold": 202, "arm": 409, "go": 202}
    async with copying_rank(echoes_ids, statuses.__getitem__) as (rank, control):
        for _ in range(3):
            hold = await control.hold(rank.endpoint, 1, 7)
            assert hold is CommandResult.DONE
            arm = await control.arm(rank.endpoint, 1, 1, 7)
            assert arm is CommandResult.REJECTED
            go = await control.release_hold(rank.endpoint, 1, 7)
            assert go is CommandResult.DONE
        assert rank.operations == ["hold", "arm", "go"] * 3


# Guards against a copy of a report that passes for the answer to a command.
@pytest.mark.parametrize("echoes_ids", [True, False])
async def test_copy_of_a_report_does_not_pass_for_the_answer_to_a_command(echoes_ids):
    async with copying_rank(echoes_ids, lambda operation: 409) as (rank, control):
        for _ in range(3):
            assert (await control.report(rank.endpoint)).step == 5
            arm = await control.arm(rank.endpoint, 1, 1, 7)
            assert arm is CommandResult.REJECTED
            assert (await control.report(rank.endpoint)).step == 5


# Guards against a new connection for each command to ranks that repeat ids.
@pytest.mark.parametrize("echoes_ids,opened", [(True, 1), (False, 6)])
async def test_commands_share_a_connection_if_the_rank_repeats_ids(echoes_ids, opened):
    async with copying_rank(echoes_ids, lambda operation: 202) as (rank, control):
        rank.has_copies = False
        for step in range(6):
            await control.hold(rank.endpoint, 1, step)
        assert len(rank.operations) == 6
        assert rank.connections == opened
