"""The links between gateways and engines and the store, as a TCP proxy on loopback.

One process carries all links. The part of a link that belongs to one gateway is known
by the address from which the gateway connects; see :mod:`process_soak.bound_process`.
A connection to a server that is down is accepted and reset, not refused.

Run with ``python -m process_soak.link_proxy``. ``POST /faults`` sends a
:class:`LinkOrder`.
"""

import argparse
import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

CHUNK_BYTES = 65536
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
MAX_CHUNKS = 64
"""Chunks on their way in one direction; then the sender is blocked."""


class LinkFaults(msgspec.Struct):
    """What a link does wrong.

    ``up`` is the direction to the server, ``down`` the one to the gateway. Each may
    ``pass`` bytes, ``hold`` them until it passes again, or ``drop`` them. A connection
    that has lost bytes carries nothing more in that direction, as no TCP connection has
    gaps. The end of a connection arrives once the direction passes again. Held bytes
    are lost when their sender resets the connection.

    :param delay: seconds by which bytes are late, in both directions.
    :param reset: whether to reset the connections now, and change nothing else.
    """

    up: str = "pass"
    down: str = "pass"
    delay: float = 0.0
    reset: bool = False


class LinkOrder(msgspec.Struct):
    """Sets the faults of a link for the clients at some addresses."""

    link: str
    clients: list[str]
    faults: LinkFaults


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of one direction of a connection."""

    is_reset: bool


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes on their way, or the end of a connection.

    :param due_at: when they arrive, by the monotonic clock.
    """

    due_at: float
    content: bytes | Ended


class LinkState:
    """The faults of a link for one client, and its connections."""

    def __init__(self) -> None:
        self._faults = LinkFaults()
        self._changed = asyncio.Event()
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def faults(self) -> LinkFaults:
        """What is wrong at present."""
        return self._faults

    def set_faults(self, faults: LinkFaults) -> None:
        """Set what is wrong from now on."""
        if faults.reset:
            for connection in self._connections:
                connection.cancel()
            return
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    def mode(self, direction: str) -> str:
        """Return what a direction does with bytes."""
        return str(getattr(self._faults, direction))

    async def until_passing(self, direction: str) -> None:
        """Wait until a direction passes bytes."""
        while self.mode(direction) != "pass":
            await self._changed.wait()

    async def carry(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Carry one connection until both directions have ended."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(Direction(self, "up", client[0], server[1]).run())
                group.create_task(Direction(self, "down", server[0], client[1]).run())
        except asyncio.CancelledError:
            reset(client[1])
            reset(server[1])
        finally:
            self._connections.discard(task)
            client[1].close()
            server[1].close()


class Direction:
    """One direction of a connection."""

    def __init__(
        self,
        state: LinkState,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._state = state
        self._name = name
        self._reader = reader
        self._writer = writer
        self._chunks: asyncio.Queue[Chunk] = asyncio.Queue(MAX_CHUNKS)
        self._has_gap = False

    async def run(self) -> None:
        """Carry bytes until the connection ends."""
        reading = asyncio.create_task(self._read())
        try:
            await self._write()
        except OSError:
            # The other direction reads of it.
            pass
        finally:
            reading.cancel()

    async def _read(self) -> None:
        try:
            while content := await self._reader.read(CHUNK_BYTES):
                self._has_gap |= self._state.mode(self._name) == "drop"
                if not self._has_gap:
                    await self._put(content)
            await self._put(Ended(is_reset=self._has_gap))
        except OSError:
            self._has_gap |= self._state.mode(self._name) == "hold"
            await self._put(Ended(is_reset=True))

    async def _put(self, content: bytes | Ended) -> None:
        due_at = time.monotonic() + self._state.faults.delay
        await self._chunks.put(Chunk(due_at, content))

    async def _write(self) -> None:
        while True:
            chunk = await self._chunks.get()
            await asyncio.sleep(chunk.due_at - time.monotonic())
            await self._state.until_passing(self._name)
            if isinstance(chunk.content, Ended):
                return self._end(chunk.content)
            if not self._has_gap:
                self._writer.write(chunk.content)
                await self._writer.drain()

    def _end(self, ended: Ended) -> None:
        if ended.is_reset:
            reset(self._writer)
        elif not self._writer.transport.is_closing():
            self._writer.write_eof()


class Link:
    """A link to one server, with the state that it has for each client.

    :param target: address of the server.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._states: dict[str, LinkState] = {}

    def state(self, client: str) -> LinkState:
        """Return the state for the client at an address."""
        return self._states.setdefault(client, LinkState())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection of a client."""
        client, _ = writer.get_extra_info("peername")
        host, _, port = self._target.rpartition(":")
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        await self.state(client).carry((reader, writer), server)


class LinkProxy:
    """All links of a site."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._servers: list[asyncio.Server] = []

    async def add(self, name: str, address: str, target: str) -> None:
        """Carry connections that are made to an address to a server."""
        self._links[name] = Link(target)
        await self._listen(address, self._links[name].serve)

    async def start_control(self, address: str) -> None:
        """Take orders at an address."""
        await self._listen(address, self._control)

    def order(self, order: LinkOrder) -> None:
        """Set the faults of a link."""
        for client in order.clients:
            self._links[order.link].state(client).set_faults(order.faults)

    def close(self) -> None:
        """Take no more connections."""
        for server in self._servers:
            server.close()

    async def _listen(self, address: str, serve: Serve) -> None:
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(serve, host, int(port), backlog=512)
        self._servers.append(server)

    async def _control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry out the orders of one request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        size = int(head.partition("content-length:")[2].split()[0])
        body = await reader.readexactly(size)
        for order in msgspec.json.decode(body, type=list[LinkOrder]):
            self.order(order)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


async def _main(options: argparse.Namespace) -> None:
    proxy = LinkProxy()
    for link in options.link:
        await proxy.add(*link.split(","))
    await proxy.start_control(options.control)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Runs the links of the soak.")
    parser.add_argument("--control", required=True)
    parser.add_argument("--link", action="append", help="NAME,ADDRESS,TARGET")
    asyncio.run(_main(parser.parse_args()))
