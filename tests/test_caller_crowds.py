"""Crowds of callers that together hold more than a gateway's machine has."""

import asyncio
from collections.abc import Iterator
from functools import cache

import pytest

from caller_crowd import (
    DEADLINE_MS,
    FILE_DESCRIPTORS,
    MAX_BODY_BYTES,
    PROMISES,
    STAY_SECONDS,
    Crowd,
    Shape,
    encode_head,
    gateway_process,
)
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE
from site_fixture import (
    HOST,
    caller_headers,
    encode_request,
    send_request,
)

pytestmark = pytest.mark.crowd

BODY = b"x" * MAX_BODY_BYTES
SHORT_BODY = BODY[:-1]
PIECE_BYTES = 8 * KIBIBYTE
SMALL_CHUNKS_BYTES = 128 * KIBIBYTE
"""Size of a body in chunks of one byte."""

CHUNKED = {"Transfer_Encoding": "chunked"}
SIZED = {"Content_Length": str(MAX_BODY_BYTES)}


def body_short_of_its_end(
    id_: str, path: str = "/order/a", **fields
) -> Iterator[bytes]:
    """Send a body but for its last byte."""
    yield encode_head(id_, path, **SIZED, **fields)
    yield SHORT_BODY


def whole_body(id_: str, path: str, count: int = 1) -> Iterator[bytes]:
    """Send requests with whole bodies, one after the other."""
    for number in range(count):
        yield encode_head(f"{id_}{number or ''}", path, **SIZED)
        yield BODY


def body_in_pieces(id_: str) -> Iterator[bytes]:
    head, body = body_short_of_its_end(id_)
    yield head
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


@cache
def encode_chunks(size: int, total: int) -> bytes:
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (total // size)


def chunks_without_the_last(id_: str, size: int, total: int) -> Iterator[bytes]:
    """Send a body in chunks of ``size`` bytes, without the last, which is empty."""
    yield encode_head(id_, "/order/a", **CHUNKED)
    yield encode_chunks(size, total)


def small_requests(id_: str) -> Iterator[bytes]:
    """Send requests without bodies, one after the other."""
    for number in range(2000):
        headers = caller_headers(f"{id_}{number}", deadline=DEADLINE_MS)
        yield encode_request("GET", "/lookup/a", headers)


def stream_then_body(id_: str) -> Iterator[bytes]:
    yield encode_head(id_, "/stream/a", Content_Length="0")
    yield from body_short_of_its_end(f"{id_}1")


def head_without_end(id_: str) -> Iterator[bytes]:
    yield encode_head(id_, "/order/a").removesuffix(b"\r\n")
    for number in range(200):
        yield b"X-Filler-%d: %s\r\n" % (number, b"x" * 50)


def no_byte(id_: str) -> Iterator[bytes]:
    return iter(())


def half_a_head(id_: str) -> Iterator[bytes]:
    head = encode_head(id_, "/order/a")
    yield head[: len(head) // 2]


async def assert_crowd_is_borne(gateway, shape: Shape, address: str = "") -> Crowd:
    """Check the limits of a gateway, and ordinary requests, beside a crowd and after.

    :param address: to which the crowd connects, callers' if empty.
    """
    assert await gateway.serves_ordinary_requests()
    crowd = Crowd(address or gateway.front, shape)
    try:
        await crowd.start()
        beside = await gateway.serves_ordinary_requests()
        await asyncio.sleep(STAY_SECONDS)
    finally:
        await crowd.leave()
    afterwards = await gateway.serves_ordinary_requests()
    print(f"ordinary requests served: beside {beside}, afterwards {afterwards}")
    gateway.assert_within_limits()
    assert beside
    assert afterwards
    return crowd


# Guards against bodies that are each within the limit and together exhaust the memory.
async def test_bodies_one_byte_short_do_not_exhaust_the_memory(tmp_path):
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, Shape(body_short_of_its_end))


# Guards against bodies that are kept for callers without a key.
async def test_bodies_without_a_key_do_not_exhaust_the_memory(tmp_path):
    shape = Shape(lambda id_: body_short_of_its_end(id_, key=None))
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against bodies that are kept for a path that no route has.
async def test_bodies_without_a_route_do_not_exhaust_the_memory(tmp_path):
    shape = Shape(lambda id_: body_short_of_its_end(id_, "/unknown/a"))
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against bodies that exhaust the memory since each piece comes in time.
async def test_bodies_in_pieces_do_not_exhaust_the_memory(tmp_path):
    shape = Shape(body_in_pieces, pause=0.02)
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against more bodies that are asked for than the memory has room for.
async def test_bodies_that_wait_to_continue_do_not_exhaust_the_memory(tmp_path):
    def pieces(id_: str) -> Iterator[bytes]:
        return body_short_of_its_end(id_, Expect="100-continue")

    shape = Shape(pieces, waits_to_continue=True)
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against bodies of unknown length that exhaust the memory.
async def test_chunks_without_the_last_do_not_exhaust_the_memory(tmp_path):
    def pieces(id_: str) -> Iterator[bytes]:
        return chunks_without_the_last(id_, 4 * KIBIBYTE, MAX_BODY_BYTES)

    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, Shape(pieces))


def chunks_of_one_byte(id_: str) -> Iterator[bytes]:
    return chunks_without_the_last(id_, 1, SMALL_CHUNKS_BYTES)


# Guards against a gateway that answers nobody while it reads chunks of one byte.
async def test_chunks_of_one_byte_do_not_stop_the_gateway(tmp_path):
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, Shape(chunks_of_one_byte))


# Guards against a gateway that answers nobody while refused callers come back.
async def test_chunks_of_one_byte_sent_again_do_not_stop_the_gateway(tmp_path):
    async with gateway_process(tmp_path) as gateway:
        crowd = Crowd(gateway.front, Shape(chunks_of_one_byte, rounds=1000))
        sending = asyncio.create_task(crowd.start())
        try:
            await asyncio.sleep(STAY_SECONDS)
            beside = await gateway.serves_ordinary_requests()
        finally:
            sending.cancel()
            await crowd.leave()
        afterwards = await gateway.serves_ordinary_requests()
        print(f"ordinary requests served: beside {beside}, afterwards {afterwards}")
        gateway.assert_within_limits()
        assert beside
        assert afterwards


# Guards against bodies that wait or run and together exhaust the memory.
@pytest.mark.parametrize("path", ["/order/a", "/stream/a"], ids=["order", "stream"])
async def test_whole_bodies_do_not_exhaust_the_memory(tmp_path, path):
    async with gateway_process(tmp_path) as gateway:
        shape = Shape(lambda id_: whole_body(id_, path))
        crowd = await assert_crowd_is_borne(gateway, shape)
        engines = gateway.site.engines.values()
        run = {
            request.headers["x-request-id"]
            for engine in engines
            for request in engine.state.executed
        }
        refused = {id_ for id_, status in crowd.statuses.items() if status in PROMISES}
        assert not run & refused


# Guards against bodies that exhaust the memory behind a request that runs.
async def test_pipelined_bodies_do_not_exhaust_the_memory(tmp_path):
    shape = Shape(lambda id_: whole_body(id_, "/order/a", 6), connections=100)
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against requests that are taken while their caller reads no responses.
async def test_pipelined_requests_without_a_reader_do_not_exhaust_the_memory(tmp_path):
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, Shape(small_requests, reads=False))


# Guards against bodies that exhaust the memory behind a stream that is not read.
async def test_bodies_behind_unread_streams_do_not_exhaust_the_memory(tmp_path):
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, Shape(stream_then_body, reads=False))


# Guards against heads that are read without an end.
async def test_heads_without_an_end_do_not_exhaust_the_memory(tmp_path):
    shape = Shape(head_without_end, pause=0.02)
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against connections that take all descriptors.
@pytest.mark.parametrize("pieces", [no_byte, half_a_head], ids=["none", "half_a_head"])
async def test_idle_connections_do_not_exhaust_the_descriptors(tmp_path, pieces):
    shape = Shape(pieces, connections=FILE_DESCRIPTORS + 100)
    async with gateway_process(tmp_path) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against bodies that exhaust the memory at addresses that take no bodies.
@pytest.mark.parametrize(
    ("name", "path"),
    [
        ("directory", f"/v1/resolve?name={HOST}&region=region&zone=dc-1"),
        ("readiness", "/v1/readiness"),
        ("metrics", "/metrics"),
    ],
    ids=["directory", "readiness", "metrics"],
)
async def test_bodies_at_other_addresses_do_not_exhaust_the_memory(
    tmp_path, name, path
):
    async with gateway_process(tmp_path) as gateway:
        address = getattr(gateway, name)
        shape = Shape(lambda id_: body_short_of_its_end(id_, path))
        await assert_crowd_is_borne(gateway, shape, address)
        assert await gateway.is_answered(address, "GET", path)


# Guards against bodies that stay in memory once they have been refused.
async def test_refused_bodies_are_freed(tmp_path):
    shape = Shape(body_in_pieces, connections=40, pause=0.005, rounds=12)
    async with gateway_process(tmp_path, idle_timeout_ms=500) as gateway:
        await assert_crowd_is_borne(gateway, shape)


# Guards against limits that refuse a body which the operator allows.
@pytest.mark.parametrize(
    "size", [MAX_BODY_BYTES, 4 * MEBIBYTE], ids=["512_KiB", "4_MiB"]
)
async def test_single_body_at_the_limit_is_served_in_calm(tmp_path, size):
    async with gateway_process(tmp_path, max_body_bytes=size) as gateway:
        headers = caller_headers(deadline=DEADLINE_MS)
        response = await send_request(
            gateway.front, "POST", "/order/a", headers, b"x" * size
        )
        assert response.status == 200
        engines = gateway.site.engines_of("app")
        assert [
            len(request.body) for engine in engines for request in engine.state.executed
        ] == [size]
        gateway.assert_within_limits()
