"""The link proxy of the soak of real processes does what its faults say."""

import asyncio
import contextlib
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from process_soak.engine import FAULTS_PATH
from process_soak.link_proxy import LinkFaults, LinkOrder, LinkProxy, reset
from process_soak.observations import Observations
from process_soak.record import Event
from process_soak.site import Bounds, free_port, post

CLIENT, OTHER = "127.0.0.1", "127.0.0.2"
SILENCE = 0.1
"""Seconds in which bytes on loopback come if nothing holds them."""

TIMEOUT = 5.0


class Echo:
    """A server that keeps what it gets, and answers it in upper case."""

    def __init__(self):
        self.received = b""
        self.open = 0

    async def serve(self, reader, writer):
        self.open += 1
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(1000):
                self.received += chunk
                writer.write(chunk.upper())
        self.open -= 1
        writer.close()


class Links:
    """A proxy with one link to an echo server."""

    def __init__(self):
        self.echo = Echo()
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self._target = free_port()
        self._proxy = LinkProxy()
        self._server = None
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self.echo.serve, "127.0.0.1", self._target
        )
        await self._proxy.add("echo", self.address, f"127.0.0.1:{self._target}")
        await self._proxy.start_control(self.control)
        return self

    async def __aexit__(self, *error):
        for writer in self._writers:
            writer.close()
        self._server.close()
        self._proxy.close()
        await asyncio.sleep(0.01)

    async def connect(self, ip=CLIENT):
        host, _, port = self.address.partition(":")
        opened = await asyncio.open_connection(host, int(port), local_addr=(ip, 0))
        self._writers.append(opened[1])
        return opened

    async def set_faults(self, **faults):
        order = LinkOrder("echo", [CLIENT], LinkFaults(**faults))
        await post(self.control, FAULTS_PATH, [order])


async def ask(connection, words=b"one", timeout=TIMEOUT):
    """Send words and return what comes back, or nothing."""
    connection[1].write(words)
    return await come(connection, timeout)


async def come(connection, timeout=TIMEOUT):
    with contextlib.suppress(TimeoutError):
        return await asyncio.wait_for(connection[0].read(1000), timeout)
    return None


async def until(check):
    async with asyncio.timeout(TIMEOUT):
        while not check():
            await asyncio.sleep(0.01)


async def test_link_without_faults_carries_bytes_and_ends():
    async with Links() as links:
        connection = await links.connect()
        assert await ask(connection) == b"ONE"
        connection[1].write_eof()
        assert await come(connection) == b""


async def test_delayed_link_carries_bytes_late():
    async with Links() as links:
        await links.set_faults(delay=0.15)
        connection = await links.connect()
        sent_at = time.monotonic()
        connection[1].write(b"one")
        assert await connection[0].read(1000) == b"ONE"
        assert time.monotonic() - sent_at >= 0.3


async def test_reset_link_resets_all_connections_and_takes_new_ones():
    async with Links() as links:
        connections = [await links.connect() for _ in range(3)]
        for connection in connections:
            assert await ask(connection) == b"ONE"
        await links.set_faults(reset=True)
        for connection in connections:
            with pytest.raises(ConnectionResetError):
                await come(connection)
        assert await ask(await links.connect()) == b"ONE"


async def test_link_cut_towards_the_server_loses_requests():
    async with Links() as links:
        connection = await links.connect()
        await links.set_faults(up="drop")
        assert await ask(connection, timeout=SILENCE) is None
        assert links.echo.received == b""


async def test_link_cut_towards_the_client_loses_only_answers():
    async with Links() as links:
        connection = await links.connect()
        await links.set_faults(down="drop")
        assert await ask(connection, timeout=SILENCE) is None
        assert links.echo.received == b"one"


async def test_silent_connection_stays_silent_while_new_ones_work():
    async with Links() as links:
        connection = await links.connect()
        await links.set_faults(up="drop", down="drop")
        assert await ask(connection, timeout=SILENCE) is None
        await links.set_faults()
        assert await ask(connection, timeout=SILENCE) is None
        assert not connection[0].at_eof()
        assert await ask(await links.connect()) == b"ONE"


async def test_silent_link_hides_that_the_client_has_gone_until_it_ends():
    async with Links() as links:
        connection = await links.connect()
        assert await ask(connection) == b"ONE"
        await links.set_faults(up="drop", down="drop")
        connection[1].transport.abort()
        await asyncio.sleep(SILENCE)
        assert links.echo.open == 1
        await links.set_faults()
        await until(lambda: links.echo.open == 0)


async def test_held_bytes_arrive_together_once_released():
    async with Links() as links:
        connection = await links.connect()
        await links.set_faults(up="hold")
        assert await ask(connection, b"one", SILENCE) is None
        assert await ask(connection, b"two", SILENCE) is None
        assert links.echo.received == b""
        await links.set_faults()
        await until(lambda: links.echo.received == b"onetwo")
        assert await connection[0].readexactly(6) == b"ONETWO"


async def test_held_bytes_are_lost_when_their_sender_resets():
    async with Links() as links:
        connection = await links.connect()
        assert await ask(connection) == b"ONE"
        await links.set_faults(up="hold")
        assert await ask(connection, b"two", SILENCE) is None
        reset(connection[1])
        await asyncio.sleep(SILENCE)
        await links.set_faults()
        await until(lambda: links.echo.open == 0)
        assert links.echo.received == b"one"


async def test_held_bytes_arrive_though_their_sender_has_closed():
    async with Links() as links:
        connection = await links.connect()
        assert await ask(connection) == b"ONE"
        await links.set_faults(up="hold")
        connection[1].write(b"two")
        connection[1].close()
        await asyncio.sleep(SILENCE)
        await links.set_faults()
        await until(lambda: links.echo.received == b"onetwo")


async def test_faults_of_one_client_spare_the_others():
    async with Links() as links:
        harmed, other = await links.connect(), await links.connect(OTHER)
        await links.set_faults(up="drop", down="drop")
        assert await ask(harmed, timeout=SILENCE) is None
        assert await ask(other) == b"ONE"


async def test_link_to_a_server_that_is_down_resets_the_client():
    proxy, address = LinkProxy(), f"127.0.0.1:{free_port()}"
    await proxy.add("gone", address, f"127.0.0.1:{free_port()}")
    host, _, port = address.partition(":")
    connection = await asyncio.open_connection(host, int(port))
    with pytest.raises(ConnectionResetError):
        await come(connection)
    connection[1].close()
    proxy.close()


def test_bound_process_connects_from_its_own_address(tmp_path):
    (tmp_path / "connecting.py").write_text(
        "import asyncio, sys\n"
        "asyncio.run(asyncio.open_connection('127.0.0.1', int(sys.argv[1])))\n"
    )
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        words = ["-m", "process_soak.bound_process", OTHER, "connecting", str(port)]
        path = f"{tmp_path}:{Path(__file__).parent}"
        subprocess.run([sys.executable, *words], env={"PYTHONPATH": path}, check=True)
        connection, peer = server.accept()
        connection.close()
        assert peer[0] == OTHER


def test_only_the_gateway_with_harmed_links_is_out_of_touch():
    event = Event(10.0, "disturbed", process="gateway-1", until=14.0)
    seen = Observations([event], Bounds(stability=3.0), {})
    assert not seen.is_in_touch("gateway-1", 16.9, 16.95)
    assert not seen.is_in_touch("gateway-1", 9.0, 10.5)
    assert seen.is_in_touch("gateway-1", 17.1, 18.0)
    assert seen.is_in_touch("gateway-0", 12.0, 13.0)
