"""Crowds of callers at one gateway process, and what the process holds meanwhile."""

import asyncio
import os
import socket
import sys
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE
from process_soak.site import peak_memory
from site_fixture import (
    API_KEY,
    Site,
    caller_headers,
    configuration,
    free_ports,
    route,
    running_site,
    send_request,
)

GATEWAY = "cyclamenyoke.daemon.gateway_process"
METRICS_PORT = 9464
ROOT = Path(__file__).resolve().parents[1]

MAX_BODY_BYTES = 512 * KIBIBYTE
"""Limit of bodies in the operator's configuration of these tests."""

MEMORY_MEBIBYTES = 96
"""Memory of the gateway's machine."""

FILE_DESCRIPTORS = 600
"""Descriptors that a process on the gateway's machine may open."""

RESERVED_DESCRIPTORS = 200
"""Descriptors of a process that neither sockets nor pipes may take."""

DEADLINE_MS = 30_000
"""Deadline of the crowd's requests in milliseconds."""

SENDING_TIMEOUT = 10.0
"""Seconds after which a crowd is taken as it is, sent or not."""

STAY_SECONDS = 1.0
"""Seconds in which a crowd stays once it has sent everything."""

ANSWER_TIMEOUT = 20.0
"""Seconds in which an ordinary request must have been served, retries included."""

ATTEMPT_TIMEOUT = 5.0
SAMPLE_INTERVAL = 0.1
LISTENING = "0A"
"""State of a listening socket in ``/proc/net/tcp``."""

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

ROUTES = [
    route(
        "stream",
        "streaming",
        "llm",
        resumable=True,
        target_gap_ms=120,
        timeout_ms=DEADLINE_MS,
    ),
    route("order", "unsafe", "app", max_attempts=1, timeout_ms=DEADLINE_MS),
    route("lookup", "safe", "app"),
]


@dataclass(frozen=True, slots=True)
class Shape:
    """What each connection of a crowd does.

    :param pieces: returns what a connection sends, given the id of its first request.
    :param connections: number of connections.
    :param pause: seconds between two pieces.
    :param reads: whether responses are read.
    :param waits_to_continue: whether the second piece waits for an interim response.
    :param rounds: times that a connection which was closed is opened.
    """

    pieces: Callable[[str], Iterator[bytes]]
    connections: int = 250
    pause: float = 0.0
    reads: bool = True
    waits_to_continue: bool = False
    rounds: int = 1


def unread_bytes(ip: str) -> int:
    """Return the bytes that kernels hold unread for connections at a local address."""
    address = socket.inet_aton(ip)[::-1].hex().upper()
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if local.startswith(f"{address}:") and state != LISTENING:
            total += int(queues.partition(":")[2], 16)
    return total


def open_descriptors(pid: int) -> list[str]:
    """Return what the descriptors of a process refer to, such as ``socket:[7]``."""
    targets = []
    with suppress(OSError):
        for descriptor in os.scandir(f"/proc/{pid}/fd"):
            with suppress(OSError):
                targets.append(os.readlink(descriptor.path))
    return targets


@dataclass(slots=True)
class GatewayProcess:
    """A gateway that runs as a process, and the most that it has held.

    :param front: address for callers.
    :param site: the store and the engines.
    :param peak_bytes: resident memory and what kernels held unread.
    """

    ip: str
    front: str
    readiness: str
    directory: str
    child: asyncio.subprocess.Process
    site: Site
    peak_bytes: int = 0
    peak_unread_bytes: int = 0
    peak_descriptors: int = 0
    peak_sockets: int = 0

    @property
    def metrics(self) -> str:
        """Address that serves the metrics."""
        return f"{self.ip}:{METRICS_PORT}"

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self.child.returncode is None

    async def sample(self) -> None:
        """Watch what the process holds until it ends."""
        while self.is_alive:
            self._take_sample()
            await asyncio.sleep(SAMPLE_INTERVAL)

    def _take_sample(self) -> None:
        unread = unread_bytes(self.ip)
        memory = peak_memory(self.child) + unread
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_bytes = max(self.peak_bytes, memory)
        targets = open_descriptors(self.child.pid)
        sockets = [each for each in targets if each.startswith(("socket:", "pipe:"))]
        self.peak_descriptors = max(self.peak_descriptors, len(targets))
        self.peak_sockets = max(self.peak_sockets, len(sockets))

    async def is_answered(self, address: str, method: str, path: str, **body) -> bool:
        """Return whether a request is served, with retries like those of a caller."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT):
                while not await self._is_served(address, method, path, **body):
                    await asyncio.sleep(0.1)
                return True
        return False

    async def _is_served(self, address: str, method: str, path: str, **body) -> bool:
        headers = caller_headers()
        with suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(ATTEMPT_TIMEOUT):
                response = await send_request(address, method, path, headers, **body)
                return response.status == 200 and response.is_complete
        return False

    async def serves_ordinary_requests(self) -> bool:
        """Return whether a lookup and a small order are served."""
        return await self.is_answered(
            self.front, "GET", "/lookup/a"
        ) and await self.is_answered(self.front, "POST", "/order/a", body=b"x" * 200)

    def assert_within_limits(self) -> None:
        """Check that the process runs, and what it held since its start."""
        self._take_sample()
        print(
            f"memory {self.peak_bytes / MEBIBYTE:.0f} MiB, "
            f"unread {self.peak_unread_bytes / MEBIBYTE:.0f} MiB at most, "
            f"descriptors {self.peak_descriptors}, "
            f"sockets and pipes {self.peak_sockets}"
        )
        assert self.is_alive
        assert self.peak_bytes <= MEMORY_MEBIBYTES * MEBIBYTE
        assert self.peak_descriptors <= FILE_DESCRIPTORS
        assert self.peak_sockets <= FILE_DESCRIPTORS - RESERVED_DESCRIPTORS


@asynccontextmanager
async def gateway_process(directory: Path, **limits: int):
    """Run a gateway as a process before engines of this one.

    :param limits: replace those of the operator's configuration.
    """
    async with running_site(gateways=0) as site:
        limits = {
            "max_header_bytes": 16 * KIBIBYTE,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
            **limits,
        }
        site.publish(configuration(2, routes=ROUTES, limits=limits))
        # Streams that last for seconds hold what is pipelined behind them.
        for engine in site.engines_of("llm"):
            engine.event_interval = 1.0
        gateway = await _start_gateway(directory, site)
        sampling = asyncio.create_task(gateway.sample())
        try:
            assert await gateway.is_answered(
                gateway.readiness, "GET", "/v1/readiness"
            ), "the gateway does not become ready"
            yield gateway
        finally:
            sampling.cancel()
            with suppress(ProcessLookupError):
                gateway.child.kill()
            await gateway.child.wait()


async def _start_gateway(directory: Path, site: Site) -> GatewayProcess:
    ip = f"127.140.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
    ports = free_ports(ip, 4)
    front, ready, listed = (f"{ip}:{port}" for port in ports[:3])
    settings = directory / "gateway.toml"
    settings.write_text(
        f"""
node = "gateway"
ip = "{ip}"
zone = "dc-1"
region = "region"
internal_ports = [{ports[3]}, {ports[3]}]
[listen]
front = "{front}"
ready = "{ready}"
directory = "{listed}"
[limits]
memory_mb = {MEMORY_MEBIBYTES}
file_descriptors = {FILE_DESCRIPTORS}
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 191
budget_window_s = 10
[platform]
address = "{site.store}"
"""
    )
    with (directory / "gateway.log").open("wb") as output:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            GATEWAY,
            stdout=output,
            stderr=output,
            env={**os.environ, "CYCLAMENYOKE_NODE_FILE": str(settings)},
        )
    return GatewayProcess(ip, front, ready, listed, child, site)


@dataclass(slots=True)
class Crowd:
    """Connections that all do the same.

    :param address: ``host:port`` to which they are opened.
    :param statuses: of the first response to each connection's first request, by id.
    """

    address: str
    shape: Shape
    statuses: dict[str, int] = field(default_factory=dict)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _unsent: set[int] = field(default_factory=set)

    async def start(self) -> None:
        """Open all connections; return once they have sent what they send."""
        self._unsent = set(range(self.shape.connections))
        for number in range(self.shape.connections):
            self._tasks.append(asyncio.create_task(self._run(number)))
        with suppress(TimeoutError):
            async with asyncio.timeout(SENDING_TIMEOUT * self.shape.rounds):
                while self._unsent:
                    await asyncio.sleep(SAMPLE_INTERVAL)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, number: int) -> None:
        for turn in range(self.shape.rounds):
            with suppress(OSError):
                await self._connect(number, turn)
            await asyncio.sleep(SAMPLE_INTERVAL)
        self._unsent.discard(number)

    async def _connect(self, number: int, turn: int) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            if not self.shape.reads:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            # The bytes unread at the gateway's address are then the gateway's alone.
            connection.bind(("127.0.0.1", 0))
            await loop.sock_connect(connection, (host, int(port)))
            await self._converse(connection, number, turn)

    async def _converse(
        self, connection: socket.socket, number: int, turn: int
    ) -> None:
        id_ = f"{number:08x}{turn:08x}"
        answered = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            reading = None
            if self.shape.reads:
                reading = group.create_task(self._read(connection, id_, answered))
            sending = group.create_task(self._send(connection, number, id_, answered))
            if reading is None:
                await sending
                await asyncio.Event().wait()
            else:
                await reading
                # The gateway has closed the connection and reads no more of it.
                sending.cancel()

    async def _read(
        self, connection: socket.socket, id_: str, answered: asyncio.Event
    ) -> None:
        loop = asyncio.get_running_loop()
        start = b""
        with suppress(OSError):
            while data := await loop.sock_recv(connection, 64 * KIBIBYTE):
                answered.set()
                start = (start + data)[: 4 * KIBIBYTE]
                self._note_status(id_, start)

    def _note_status(self, id_: str, start: bytes) -> None:
        """Record the status of the first final response on a connection."""
        heads = start.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        words = heads.split(None, 2)[:2]
        if id_ not in self.statuses and len(words) == 2 and len(words[1]) == 3:
            self.statuses[id_] = int(words[1])

    async def _send(
        self,
        connection: socket.socket,
        number: int,
        id_: str,
        answered: asyncio.Event,
    ) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for index, piece in enumerate(self.shape.pieces(id_)):
                if index and self.shape.waits_to_continue:
                    await answered.wait()
                if index and self.shape.pause:
                    await asyncio.sleep(self.shape.pause)
                await loop.sock_sendall(connection, piece)
        if self.shape.rounds == 1:
            self._unsent.discard(number)


def encode_head(id_: str, path: str, key: str | None = API_KEY, **fields: str) -> bytes:
    """Return the head of a POST request.

    :param key: API key, ``None`` to send none.
    :param fields: further headers, with ``_`` for ``-`` in their names.
    """
    headers = caller_headers(id_, key, DEADLINE_MS, **fields)
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()
