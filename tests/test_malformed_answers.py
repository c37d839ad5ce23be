"""Answers whose heads are not HTTP, wherever answers are read."""

import asyncio
import contextlib
import json
from contextlib import asynccontextmanager

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.head_check import MalformedHead
from cyclamenyoke.adapters.http_endpoint_client import HttpEndpointClient
from cyclamenyoke.adapters.http_ingress import encode_head
from cyclamenyoke.cli.client import OperatorsClient
from cyclamenyoke.cli.quarantine import fetch_quarantine
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.messages import Call
from cyclamenyoke.exceptions import CyclamenyokeError, PlatformUnavailable
from cyclamenyoke.platform.engine_control import HttpEngineControl
from cyclamenyoke.platform.store_client import StoreClient
from cyclamenyoke.ports.endpoint import EndpointError
from cyclamenyoke.ports.engine_control import CommandResult, EngineControlError
from site_fixture import caller_headers, requests_until, send_request
from test_faulty_engines import (
    SIGNED,
    STREAM,
    WHOLE_STREAM,
    Reply,
    answer,
    assert_truthful,
    begun_stream,
    event,
    message,
    site_with,
)

STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 Status",
    "status 001": b"HTTP/1.1 001 Status",
    "status 099": b"HTTP/1.1 099 Status",
    "status 600": b"HTTP/1.1 600 Status",
    "status 999": b"HTTP/1.1 999 Status",
    "HTTP/0.9": b"HTTP/0.9 200 Status",
    "HTTP/2.0": b"HTTP/2.0 200 Status",
}
FIELDS = {
    "blank in a name": b"X Field: v",
    "tab in a name": b"X\tField: v",
    "blank after a name": b"X-Field : v",
    "control byte in a name": b"X\x01Field: v",
    "NUL in a name": b"X\x00Field: v",
    "high byte in a name": b"X\xe9Field: v",
    "empty name": b": v",
    "no colon": b"X-Field",
    "NUL in a value": b"X-Field: a\x00b",
    "bare CR in a value": b"X-Field: a\rb",
    "escape byte in a value": b"X-Field: a\x1bb",
}
CODINGS = {
    "gzip as transfer coding": b"Transfer-Encoding: gzip",
    "chunked twice": b"Transfer-Encoding: chunked, chunked",
    "gzip and chunked": b"Transfer-Encoding: gzip, chunked",
}
MALFORMED = [*STATUS_LINES, *FIELDS, *CODINGS]
PATHS = {"/order/a": "app", "/lookup/a": "app", "/stream/a": "llm"}


def spoil(data: bytes, kind: str) -> bytes:
    """Return a response with one malformed line in its first head."""
    first, rest = data.split(b"\r\n", 1)
    if kind in STATUS_LINES:
        return STATUS_LINES[kind] + b"\r\n" + rest
    line = FIELDS.get(kind) or CODINGS[kind]
    return first + b"\r\n" + line + b"\r\n" + rest


def whole_answer(headers: dict[str, str], path: str) -> bytes:
    """Return a proper answer of the kind that a path has."""
    if path == "/stream/a":
        return message(headers, 200, WHOLE_STREAM, fields=STREAM, framing="chunked")
    return answer(headers)


# Guards against an answer with status 000, or with a malformed field, that reaches a
# caller (MIXED).
@pytest.mark.parametrize("kind", MALFORMED)
@pytest.mark.parametrize("path", PATHS)
async def test_malformed_answer_of_an_engine_never_reaches_a_caller(path, kind, lines):
    def reply(headers, number):
        return Reply(spoil(whole_answer(headers, path), kind))

    async with site_with(PATHS[path], reply, reply) as (site, engines):
        address = site.gateways[0][1].callers
        for _ in range(2):
            before = sum(engine.requests for engine in engines)
            headers = caller_headers()
            response = await send_request(address, "POST", path, headers, b"{}")
            # It says nothing of whether the request ran.
            assert response.status == 502
            assert "x-response-signature" not in response.headers
            assert "x-field" not in response.headers
            sent = sum(engine.requests for engine in engines) - before
            assert sent == 1 if path == "/order/a" else 1 <= sent <= 2
        # No connection is used again.
        for engine in engines:
            assert engine.connections == engine.requests
    done = [line for line in lines if line["message"] == "request done"]
    assert len(done) == 2 and done[-1]["request"] == headers["X-Request-Id"]
    assert "malformed" in done[-1]["detail"]
    assert done[-1]["detail"].isprintable() and len(done[-1]["detail"]) < 300


# Guards against a status that no parser knows, in an answer that says "not run".
@pytest.mark.parametrize("kind", STATUS_LINES)
async def test_malformed_refusal_is_not_passed_on_as_a_promise(kind):
    def reply(headers, number):
        refusal = message(headers, 503, b"full", fields=("X-Not-Executed: full",))
        return Reply(spoil(refusal, kind))

    async with site_with("app", reply) as (site, [engine]):
        address = site.gateways[0][1].callers
        response = await send_request(
            address, "POST", "/order/a", caller_headers(), b"{}"
        )
        assert response.status == 502 and engine.requests == 1


@pytest.mark.parametrize(
    "kind", ["status 000", "status 999", "gzip as transfer coding"]
)
@pytest.mark.parametrize("path", ["/lookup/a", "/stream/a"])
async def test_request_that_may_run_twice_is_answered_by_another_engine(path, kind):
    def reply_badly(headers, number):
        return Reply(spoil(whole_answer(headers, path), kind))

    def reply_well(headers, number):
        return Reply(whole_answer(headers, path))

    async with site_with(PATHS[path], reply_badly, reply_well) as (site, [bad, good]):
        address = site.gateways[0][1].callers
        for sent in requests_until(lambda: bad.requests > 0):
            headers = caller_headers()
            response = await send_request(address, "POST", path, headers, b"{}")
            assert response.status == 200 and response.is_complete
            assert good.requests == sent
        assert bad.requests
        # The circuit of the engine counts what it answered.
        assert bad.requests < 8


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_head_that_comes_byte_by_byte_is_refused(kind):
    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")[1:-2]
        headers = dict(line.lower().split(": ", 1) for line in lines)
        with contextlib.suppress(ConnectionError):
            for byte in spoil(answer(headers), kind):
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with site_with("llm") as (site, _):
        site.register("i-0", "app", f"{host}:{port}")
        await site.wait_until_listed("i-0", f"{host}:{port}")
        address = site.gateways[0][1].callers
        response = await send_request(
            address, "POST", "/order/a", caller_headers(), b"{}"
        )
        assert response.status == 502
    server.close()


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_interim_or_late_answer_spoils_the_one_that_follows(kind):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    late = message({"x-request-id": "ffff"}, 200, b"late", fields=SIGNED)

    def reply(headers, number):
        before = interim if number % 2 else late
        return Reply(spoil(before, kind) + answer(headers))

    async with site_with("app", reply) as (site, [engine]):
        address = site.gateways[0][1].callers
        for _ in range(2):
            response = await send_request(
                address, "POST", "/order/a", caller_headers(), b"{}"
            )
            assert response.status == 502


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answer_to_a_resumed_stream_is_not_part_of_it(kind):
    def reply(headers, number):
        if "last-event-id" not in headers:
            return begun_stream(headers, number)
        rest = b"".join(event(each) for each in range(3, 6))
        data = message(headers, 200, rest, fields=STREAM, framing="chunked")
        return Reply(spoil(data, kind))

    async with site_with("llm", reply, reply) as (site, engines):
        address = site.gateways[0][1].callers
        response = await send_request(
            address, "POST", "/stream/a", caller_headers(), b"{}"
        )
        assert_truthful(response)
        assert not response.is_complete


@pytest.mark.parametrize("field", FIELDS)
async def test_stream_with_a_malformed_trailer_visibly_breaks_off(field):
    def reply(headers, number):
        data = message(headers, 200, WHOLE_STREAM, fields=STREAM, framing="chunked")
        return Reply(data[:-2] + FIELDS[field] + b"\r\n\r\n")

    async with site_with("llm", reply, reply) as (site, engines):
        address = site.gateways[0][1].callers
        response = await send_request(
            address, "POST", "/stream/a", caller_headers(), b"{}"
        )
        assert not response.is_complete


@asynccontextmanager
async def server_that_answers(data: bytes):
    """Run a server that answers each request with the same bytes; yield its address."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = head.lower().split(b"\r\n")
                length = [each for each in fields if each.startswith(b"content-length")]
                if length:
                    await reader.readexactly(int(length[0].split(b":")[1]))
                writer.write(data)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


def json_response(content: object, kind: str) -> bytes:
    """Return a response with JSON whose head is malformed."""
    body = json.dumps(content).encode()
    proper = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    return spoil(proper, kind)


REPORT = {
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 1,
    "step": 5,
    "map": 0,
}


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answers_of_ranks_are_no_reports_and_confirm_no_command(kind):
    async with server_that_answers(json_response(REPORT, kind)) as address:
        rank = Endpoint("r0", "llm", address, "dc", 6, False, 1)
        control = HttpEngineControl(ConnectionPool(BootClock()))
        with pytest.raises(EngineControlError):
            await control.report(rank)
        assert await control.arm(rank, 1, 1, 5) is CommandResult.UNKNOWN
        assert await control.hold(rank, 1, 5) is CommandResult.UNKNOWN


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answers_of_the_store_are_not_taken(kind):
    item = {"key": "k", "value": "dg==", "revision": 3, "store_revision": 4}
    async with server_that_answers(json_response(item, kind)) as address:
        store = StoreClient(address, BootClock())
        with pytest.raises(PlatformUnavailable):
            await store.get("k")
        with pytest.raises(PlatformUnavailable):
            await store.compare_and_swap("k", 3, b"v")
        await store.close()


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answers_of_endpoints_are_not_taken(kind):
    async with server_that_answers(json_response({}, kind)) as address:
        client = HttpEndpointClient(f"http://{address}", BootClock())
        now = BootClock().now()
        call = Call("r", "s", "c", "POST", "/", "", b"{}", now + 2.0, now + 1.0)
        with pytest.raises(EndpointError):
            async for _ in client.run(call, 0):
                pass
        await client.close()


@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answers_are_not_taken_by_the_command_line(kind):
    async with server_that_answers(json_response([], kind)) as address:
        with pytest.raises(CyclamenyokeError):
            await asyncio.to_thread(
                OperatorsClient([address], "key").fetch_slo, address
            )
        with pytest.raises(CyclamenyokeError):
            await asyncio.to_thread(fetch_quarantine, address)


# Guards against a head that a gateway writes itself, whatever came in.
@pytest.mark.parametrize(
    "status,field",
    [
        (0, (b"X-Field", b"v")),
        (99, (b"X-Field", b"v")),
        (600, (b"X-Field", b"v")),
        (200, (b"X Field", b"v")),
        (200, (b"", b"v")),
        (200, (b"X-Field", b"a\r\nb")),
        (200, (b"X-Field", b"a\x00b")),
    ],
)
def test_malformed_head_is_not_written(status, field):
    with pytest.raises(MalformedHead):
        encode_head(status, [field])
