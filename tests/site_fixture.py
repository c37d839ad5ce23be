"""A small site in one process: gateways, and stand-ins for the store and engines."""

import asyncio
import itertools
import json
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace
from pathlib import Path
from random import Random

from cyclamenyoke.adapters.http_server import HttpServer
from cyclamenyoke.core.node_settings import Bounds, NodeSettings
from cyclamenyoke.daemon.gateway import Gateway
from cyclamenyoke.standins.engine import StandInEngine
from cyclamenyoke.standins.platform import StandInPlatform

HOST = "site.example"
API_KEY = "key-of-customer"
BOUNDS = Bounds(
    drain=2.0,
    grace=8.0,
    config_apply=2.0,
    retry_ratio=0.2,
    retry_slack=100.0,
    retry_window=10.0,
    address_lifetime=5.0,
    stall=1.5,
    cold_overage=1.5,
    cold_slack=5.0,
)
SITE_BOUNDS = replace(BOUNDS, retry_ratio=3.0)
"""Bounds of running sites, at which each request earns its own retries: a gateway that
has just started has no part of the fixed number yet."""

REQUEST_NUMBERS = itertools.count(1)

MIN_REQUESTS = 8
MAX_REQUESTS = 64
"""Requests within which an engine of two that are chosen at random is asked."""


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the operator's configuration; fields override the defaults."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 100,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(version: int, **changes) -> dict:
    """Return the operator's configuration; changes replace top-level fields."""
    stream = {"resumable": True, "target_gap_ms": 120}
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "llm", **stream),
            route("single", "streaming", "llm", target_gap_ms=120),
            route("order", "unsafe", "app", max_attempts=1),
            route("lookup", "safe", "app"),
        ],
        "services": [
            {"name": "llm", "max_connections": 100},
            {"name": "app", "max_connections": 100},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "customer", "api_keys": [API_KEY]}],
        **changes,
    }


def address_of(listener: socket.socket) -> str:
    """Return the ``host:port`` address at which a socket listens."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


def free_port(host: str) -> int:
    """Return a port that nothing listens on."""
    return free_ports(host, 1)[0]


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports that nothing listens on."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


class Response:
    """One response as a caller receives it.

    :param headers: by lower-case name.
    :param is_complete: whether the framing of the body ended properly.
    """

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_complete: bool
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


class Site:
    """The running site.

    :param store: address of the platform's store.
    :param bounds: settings of all gateways.
    """

    def __init__(
        self, platform: StandInPlatform, store: str, bounds: Bounds = SITE_BOUNDS
    ) -> None:
        self.platform = platform
        self.store = store
        self.bounds = bounds
        self.engines: dict[str, StandInEngine] = {}
        self.gateways: list[tuple[Gateway, NodeSettings, asyncio.Task]] = []
        self.peer_port = free_port("127.0.0.1")

    def publish(self, config: dict) -> None:
        """Write a configuration to the store, as the operator does."""
        self.platform.put("op/config", json.dumps(config).encode())

    async def notify_watches(self) -> None:
        """Wake up the watches of the store, so that they return changes."""
        await self.platform._notify()

    def engines_of(self, service: str) -> list[StandInEngine]:
        """Return the engines of a service."""
        return [each for id_, each in self.engines.items() if service in id_]

    async def add_engine(
        self, service: str, id_: str, data_centre: str = "dc-1"
    ) -> StandInEngine:
        """Start an engine and register it in the store."""
        engine = StandInEngine(id_, service == "llm", data_centre)
        await engine.start()
        self.engines[id_] = engine
        self.platform.put(f"servers/{id_}", engine.entry(service))
        return engine

    def register(self, id_: str, service: str, address: str, slots: int = 6) -> None:
        """Register an engine at an address at which something else listens."""
        entry = {
            "service": service,
            "address": address,
            "zone": "dc-1",
            "state": "ready",
            "slots": slots,
            "born": 1,
        }
        self.platform.put(f"servers/{id_}", json.dumps(entry).encode())

    async def wait_until_listed(self, id_: str, address: str) -> None:
        """Wait until all gateways have read that an engine is at an address."""

        def is_listed() -> bool:
            listed = (
                gateway._registry.endpoints.get(id_) for gateway, _, _ in self.gateways
            )
            return all(each is not None and each.address == address for each in listed)

        await self.wait_until(is_listed)

    def settings(self, number: int) -> NodeSettings:
        """Return the settings of one gateway, which gets its own loopback address."""
        ip = f"127.0.1.{number}"
        ports = free_ports(ip, 4)
        return NodeSettings(
            node=f"gateway-{number}",
            ip=ip,
            data_centre="dc-1",
            region="region",
            callers=f"{ip}:{ports[0]}",
            readiness=f"{ip}:{ports[1]}",
            directory=f"{ip}:{ports[2]}",
            peer_port=self.peer_port,
            metrics_port=ports[3],
            seeds=(),
            store=self.store,
            capacity=1.0,
            memory_bytes=200_000_000,
            file_descriptors=1000,
            bounds=self.bounds,
        )

    async def add_gateway(self, wait_until_ready: bool = True) -> NodeSettings:
        """Start a gateway.

        :param wait_until_ready: return once it reports that it is ready.
        :raises OSError: when it can't listen at one of its addresses.
        """
        settings = self.settings(len(self.gateways) + 1)
        gateway = Gateway(settings, Path("/nonexistent"))
        task = asyncio.create_task(gateway.run())
        self.gateways.append((gateway, settings, task))
        if wait_until_ready:
            await self.wait_until(lambda: task.done() or self.is_ready(settings))
        if task.done():
            task.result()
        return settings

    async def is_ready(self, settings: NodeSettings) -> bool:
        """Return whether a gateway reports that it is ready."""
        try:
            response = await send_request(
                settings.readiness, "GET", "/v1/readiness", {}
            )
        except OSError:
            return False
        return response.status == 200

    async def wait_until(self, condition, seconds: float = 5.0) -> None:
        """Poll a condition, plain or a coroutine function, until it holds.

        :raises TimeoutError: when it does not hold within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return
                await asyncio.sleep(0.02)

    async def get(self, settings: NodeSettings, path: str, **options) -> Response:
        """Send a caller's GET request; options go to :func:`caller_headers`."""
        return await send_request(
            settings.callers, "GET", path, caller_headers(**options)
        )

    async def post(
        self, settings: NodeSettings, path: str, body: bytes = b"{}", **options
    ) -> Response:
        """Send a caller's POST request; options go to :func:`caller_headers`."""
        headers = caller_headers(**options)
        return await send_request(settings.callers, "POST", path, headers, body)

    async def close(self) -> None:
        """Stop all gateways and engines."""
        for _, _, task in self.gateways:
            task.cancel()
        tasks = [task for _, _, task in self.gateways]
        await asyncio.gather(*tasks, return_exceptions=True)
        for engine in self.engines.values():
            await engine.stop()


def requests_until(
    is_asked: Callable[[], object], at_least: int = MIN_REQUESTS
) -> Iterator[int]:
    """Count requests, of which one has to reach an engine that is chosen at random.

    :param is_asked: returns whether the engine has got a request.
    :param at_least: how many requests are sent even if it has.
    :return: the numbers of the requests, from 1 on.
    """
    for number in range(1, MAX_REQUESTS + 1):
        yield number
        if number >= at_least and is_asked():
            return


def caller_headers(
    request_id: str = "",
    key: str | None = API_KEY,
    deadline: int = 1500,
    **extra_headers: str,
) -> dict[str, str]:
    """Return the headers that callers send.

    :param request_id: a new one if empty.
    :param key: API key, ``None`` to send no ``Authorization``.
    :param deadline: milliseconds.
    :param extra_headers: further headers, with ``_`` for ``-`` in their names.
    """
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id or f"{next(REQUEST_NUMBERS):016x}",
        "X-Deadline-Ms": str(deadline),
    }
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    headers.update(
        {name.replace("_", "-"): value for name, value in extra_headers.items()}
    )
    return headers


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response, also if the connection ends before it is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode().strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    status = int(status_line.split()[1])
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return Response(status, headers, body, True)
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return Response(status, headers, body, True)
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, headers, body, False)


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    fields = dict(headers)
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to a ``host:port`` address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_request(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Response:
    """Send one request on a new connection and return its response."""
    reader, writer = await connect(address)
    try:
        writer.write(encode_request(method, path, headers, body))
        async with asyncio.timeout(5):
            return await read_response(reader)
    finally:
        writer.close()


@asynccontextmanager
async def running_site(
    gateways: int = 1,
    engines: int = 2,
    config: bool = True,
    bounds: Bounds = SITE_BOUNDS,
    data_centres: tuple[str, ...] = ("dc-1",),
):
    """Run a site with a store, engines and gateways.

    :param engines: number of engines of each of the two services.
    :param config: whether a configuration is published before the gateways start.
    :param data_centres: data centres to which the engines of a service go in turn.
    """
    platform = StandInPlatform(Random(1))
    server = HttpServer(platform.application(), "127.0.0.1", 0)
    await server.start()
    site = Site(platform, f"127.0.0.1:{server.port}", bounds)
    if config:
        site.publish(configuration(1))
    for number in range(engines):
        data_centre = data_centres[number % len(data_centres)]
        await site.add_engine("llm", f"i-llm-{number}", data_centre)
        await site.add_engine("app", f"i-app-{number}", data_centre)
    try:
        for _ in range(gateways):
            await site.add_gateway()
        yield site
    finally:
        await site.close()
        # Ends pending watches, so that the server can stop at once.
        platform.state.faults.down = True
        await site.notify_watches()
        await server.stop()
