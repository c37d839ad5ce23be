"""The processes of a soak: the store, engines, links, gateways and callers."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from base64 import b64encode
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from process_soak.callers import HOST, Plan, Route, Variant, api_key
from process_soak.engine import FAULTS_PATH, EngineFaults
from process_soak.link_proxy import LinkFaults, LinkOrder
from process_soak.networks import gateway_ip, service_addresses
from process_soak.record import Record
from process_soak.slow_reading import SlowReading
from process_soak.stream_shape import StreamShape

RESTART_DELAY = 0.5
"""Seconds after its end in which the platform starts a gateway again."""

START_TIMEOUT = 20.0
READINESS_INTERVAL = 1.0
"""Seconds between two questions of the platform for a gateway's readiness."""

EXTRA_ROUTE = "more"
"""Begins the names of routes that only probes use."""

MAX_EXTRA_ROUTES = 30
"""Routes that versions of the configuration add and remove."""

MAX_EXTRA_KEYS = 3
"""API keys that versions of the configuration add and remove."""

PORTS = {"front": 8227, "ready": 8220, "directory": 8224, "control": 8229}
INTERNAL_PORTS = (7340, 7355)
MEMORY_MEBIBYTES = 222
"""Memory of a gateway's machine."""

GATEWAY = "cyclamenyoke.daemon.gateway_process"
LLM, APP = "llm", "app"
STORE = "store"
"""Name of the link to the store; those to engines are named like the engines."""

ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the deployment; see the settings of a gateway.

    :param plain_timeouts: timeouts that versions of the configuration give the routes
        of the plain service; the deadlines of their callers if empty.
    """

    grace: float = 8.0
    drain: float = 2.0
    config_apply: float = 2.0
    rollback_slack: float = 0.25
    loss_slack: float = 0.2
    stability: float = 3.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 40.0
    plain_timeouts: tuple[float, ...] = ()


@dataclass(slots=True)
class Sizes:
    """How much of everything a run has.

    :param rate: requests a second.
    :param work: seconds that an engine needs for a plain request.
    :param events: events of a stream, ``interval`` seconds apart.
    :param busy: processes that only use the processor.
    :param shape: what streams are drawn from, in place of ``events``.
    :param slow_reading: how a share of the callers reads streams.
    """

    gateways: int = 6
    engines: int = 4
    servers: int = 3
    slots: int = 6
    callers: int = 90
    rate: float = 120.0
    work: float = 0.02
    events: int = 12
    interval: float = 0.08
    leave_share: float = 0.02
    busy: int = 0
    shape: StreamShape | None = None
    slow_reading: SlowReading | None = None


ROUTES = [
    Route("draft", "streaming", LLM, 0.3, 8.0, patience=2.0),
    Route("lookup", "safe", APP, 0.45, 1.5),
    Route("order", "unsafe", APP, 0.25, 1.5),
]
TIMEOUTS = {route.kind: route.deadline for route in ROUTES}
"""Timeouts of routes by their kind."""


def extra_routes(count: int) -> list[Route]:
    """Return the first of the routes that only probes use."""
    lookup = ROUTES[1]
    return [
        Route(
            f"{EXTRA_ROUTE}{number}", lookup.kind, lookup.service, 1.0, lookup.deadline
        )
        for number in range(count)
    ]


@dataclass(frozen=True, slots=True)
class Contents:
    """What versions of the configuration differ in.

    :param routes: routes that only probes use.
    :param keys: API keys beside the one that all versions have.
    :param plain_timeout: timeout of the routes of the plain service; the deadline of
        their callers if 0.
    """

    routes: int = 0
    keys: int = 0
    max_head_bytes: int = 4096
    max_body_bytes: int = 10_000
    plain_timeout: float = 0.0

    def timeout(self, route: Route) -> float:
        """Return the timeout of a route in seconds."""
        return (route.service == APP and self.plain_timeout) or route.deadline


VARIANTS = [
    *(Variant(key=number) for number in range(1, MAX_EXTRA_KEYS + 1)),
    *(Variant(head_bytes=size) for size in (1500, 3500, 20_000)),
    *(Variant(body_bytes=size) for size in (800, 5000, 30_000)),
]
"""Requests that versions may refuse by their key or size."""


def configuration(version: int, contents: Contents) -> dict[str, Any]:
    """Return the operator's configuration."""
    limits = {
        "max_header_bytes": contents.max_head_bytes,
        "max_body_bytes": contents.max_body_bytes,
    }
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15_000}
    routes = [
        {
            "name": route.name,
            "host": HOST,
            "prefix": f"/{route.name}/",
            "kind": route.kind,
            "timeout_ms": int(1000 * contents.timeout(route)),
            "target_latency_ms": 400 if route.kind == "streaming" else 100,
            "target_gap_ms": 120 if route.kind == "streaming" else 0,
            "resumable": route.kind == "streaming",
            "priority": 1,
            "service": route.service,
            "max_attempts": 1 if route.kind == "unsafe" else 2,
            "public": False,
        }
        for route in [*ROUTES, *extra_routes(contents.routes)]
    ]
    services = [{"name": name, "max_connections": 400} for name in (LLM, APP)]
    keys = [api_key(number) for number in range(contents.keys + 1)]
    tenants = [{"name": "customer", "api_keys": keys}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


@dataclass(slots=True)
class Process:
    """A process, which runs again whenever it ends, unless it is kept down.

    :param incarnation: number of starts.
    :param settings: the settings file of a gateway.
    """

    name: str
    ip: str
    settings: Path | None = None
    child: asyncio.subprocess.Process | None = None
    incarnation: int = 0
    started_at: float = 0.0
    is_wanted: bool = True
    is_stopping: bool = False
    keeper: asyncio.Task[None] | None = None
    grace: float = 8.0


@dataclass(slots=True)
class EngineProcess:
    """An engine: its process, the id of its start, and what it serves."""

    name: str
    service: str
    address: str
    id: str = ""
    child: asyncio.subprocess.Process | None = None
    starts: int = 0
    faults: EngineFaults = field(default_factory=EngineFaults)
    replacing: asyncio.Lock = field(default_factory=asyncio.Lock)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def peak_memory(child: asyncio.subprocess.Process | None) -> int:
    """Return the largest memory of a process since its start in bytes; 0 without it."""
    if child is None:
        return 0
    try:
        text = Path(f"/proc/{child.pid}/status").read_text()
    except OSError:
        return 0
    lines = (line.split() for line in text.splitlines())
    return 1024 * next((int(line[1]) for line in lines if line[0] == "VmHWM:"), 0)


async def post(address: str, path: str, content: object, timeout: float = 2.0) -> None:
    """Send a body as JSON and wait for the response.

    :raises OSError: when there is none.
    """
    body = msgspec.json.encode(content)
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: "
            writer.write(f"{head}{len(body)}\r\n\r\n".encode() + body)
            status = (await reader.readline()).split()[1:2]
            if status != [b"200"]:
                raise OSError(f"{path}: {status}")
        finally:
            writer.transport.abort()


class Site:
    """Starts, signals and ends the processes of one run.

    :param directory: gets records, settings and logs.
    :param source: the tree whose gateways run.
    :param gateway_module: module that runs as a gateway, and its arguments.
    :param network: first two numbers of the gateways' addresses, such as ``127.20``.
    :param has_links: whether gateways reach engines and the store over a link proxy.
    :param has_variants: whether callers send requests that only some versions allow.
    """

    def __init__(
        self,
        directory: Path,
        sizes: Sizes,
        bounds: Bounds,
        random: Random,
        source: Path = ROOT / "src",
        gateway_module: str = GATEWAY,
        network: str = "127.20",
        has_links: bool = False,
        has_variants: bool = False,
    ) -> None:
        self.directory = directory
        self.sizes = sizes
        self.bounds = bounds
        self.random = random
        self._source = source
        self._gateway_module = gateway_module
        self._network = network
        self.record = Record(directory / "run.jsonl")
        self.gateways: list[Process] = []
        self.engines: list[EngineProcess] = []
        self._others: list[asyncio.subprocess.Process] = []
        self.callers: list[asyncio.subprocess.Process] = []
        self._version = 0
        self._configuring = asyncio.Lock()
        self._asking: list[asyncio.Task[None]] = []
        self._addresses = service_addresses(network)
        self.store = next(self._addresses)
        self._has_links = has_links
        self._has_variants = has_variants
        self._links_control = next(self._addresses)
        self._links: dict[str, str] = {}

    # Starting.

    async def start(self) -> None:
        """Start all processes but the callers; return once each gateway is ready."""
        host, _, port = self.store.rpartition(":")
        store = ["-m", "cyclamenyoke.standins", "platform", port, "--host", host]
        self._others.append(await self._spawn(store, "store"))
        await self._until(lambda: self._put({}))
        await self.configure(Contents(plain_timeout=self.shortest_timeout))
        for service, count in ((LLM, self.sizes.engines), (APP, self.sizes.servers)):
            for number in range(count):
                address = next(self._addresses)
                engine = EngineProcess(f"{service}-{number}", service, address)
                self.engines.append(engine)
        if self._has_links:
            await self._start_links()
        for engine in self.engines:
            await self.start_engine(engine)
        for number in range(self.sizes.gateways):
            ip = gateway_ip(self._network, number)
            gateway = Process(f"gateway-{number}", ip)
            gateway.settings = self.directory / f"{gateway.name}.toml"
            gateway.grace = self.bounds.grace
            self.gateways.append(gateway)
        for gateway in self.gateways:
            self.write_settings(gateway)
            gateway.keeper = asyncio.create_task(self._keep(gateway))
        for gateway in self.gateways:
            await self._until(lambda gateway=gateway: self._check_ready(gateway))
            self._asking.append(asyncio.create_task(self._ask_readiness(gateway)))
        for number in range(self.sizes.busy):
            busy = ["-c", "while True: pass"]
            self._others.append(await self._spawn(busy, f"busy-{number}"))

    async def start_callers(self, until: float, processes: int = 2) -> None:
        """Start the callers, which stop at a time by the monotonic clock."""
        for number in range(processes):
            fronts = [f"{each.ip}:{PORTS['front']}" for each in self.gateways]
            plan = Plan(
                f"c{number}",
                self.random.getrandbits(32),
                self.sizes.callers // processes,
                self.sizes.rate / processes,
                self.sizes.leave_share,
                until,
                [f"{each.ip}:{PORTS['directory']}" for each in self.gateways],
                self._routes(),
                fronts[number::processes],
                extra_routes(MAX_EXTRA_ROUTES),
                VARIANTS if self._has_variants else [],
                self.sizes.shape.padding if self.sizes.shape else 0,
                self.sizes.slow_reading,
            )
            path = self.directory / f"callers-{number}.json"
            path.write_bytes(msgspec.json.encode(plan))
            record = self.directory / f"callers-{number}.jsonl"
            words = ["-m", "process_soak.callers", "--plan", str(path)]
            child = await self._spawn(
                [*words, "--record", str(record)], f"callers-{number}"
            )
            self.callers.append(child)

    def _routes(self) -> list[Route]:
        """Return the routes as the callers of the run use them."""
        if self.sizes.shape is None:
            return ROUTES
        return [
            msgspec.structs.replace(route, first_patience=route.patience)
            for route in ROUTES
        ]

    async def _spawn(
        self, words: list[str], log: str, source: Path = ROOT / "src", **variables: str
    ) -> asyncio.subprocess.Process:
        path = f"{source}:{ROOT / 'tests'}"
        variables = {"PYTHONPATH": path, "PATH": os.environ["PATH"], **variables}
        with (self.directory / f"{log}.log").open("ab") as output:
            return await asyncio.create_subprocess_exec(
                sys.executable, *words, stdout=output, stderr=output, env=variables
            )

    async def _until(self, check: Any) -> None:
        """Repeat a check until it raises no error."""
        ends_at = time.monotonic() + START_TIMEOUT
        while True:
            try:
                return await check()
            except (OSError, TimeoutError):
                if time.monotonic() > ends_at:
                    raise
            await asyncio.sleep(0.05)

    async def _check_ready(self, gateway: Process) -> None:
        reader, writer = await asyncio.open_connection(gateway.ip, PORTS["ready"])
        try:
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            if b" 200 " not in await reader.readline():
                raise OSError(f"{gateway.name} is not ready")
        finally:
            writer.transport.abort()

    async def _ask_readiness(self, gateway: Process) -> None:
        """Ask a gateway for its readiness again and again, as the platform does."""
        while True:
            status, result = 0, ""
            try:
                async with asyncio.timeout(READINESS_INTERVAL):
                    await self._check_ready(gateway)
                status = 200
            except TimeoutError:
                result = "unanswered"
            except OSError:
                # It is not ready, or not there.
                pass
            self.record.add(
                "asked",
                process=gateway.name,
                status=status,
                result=result,
                memory=peak_memory(gateway.child),
            )
            await asyncio.sleep(READINESS_INTERVAL)

    @property
    def shortest_timeout(self) -> float:
        """Shortest timeout of plain routes; 0 for the deadline of their callers."""
        return min(self.bounds.plain_timeouts, default=0.0)

    # The store.

    async def _put(self, values: dict[str, object]) -> None:
        writes = [
            {
                "key": key,
                "value": b64encode(json.dumps(value).encode()).decode()
                if value
                else "",
            }
            for key, value in values.items()
        ]
        await post(self.store, "/v1/put", writes)

    async def configure(self, contents: Contents = Contents()) -> None:
        """Write the next version of the configuration, again until it is accepted."""
        async with self._configuring:
            self._version += 1
            version = configuration(self._version, contents)
            sent_at = time.monotonic()
            await self._until(lambda: self._put({"op/config": version}))
            self.record.add(
                "configured",
                sent_at,
                use=contents.routes,
                key=contents.keys,
                head_bytes=contents.max_head_bytes,
                body_bytes=contents.max_body_bytes,
                until=time.monotonic(),
            )

    async def set_store_faults(self, **faults: object) -> None:
        """Inject faults into the store; none ends them."""
        await post(self.store, "/v1/faults", faults)

    # Links.

    async def _start_links(self) -> None:
        targets = {each.name: each.address for each in self.engines}
        targets[STORE] = self.store
        self._links = {name: next(self._addresses) for name in targets}
        words = ["-m", "process_soak.link_proxy", "--control", self._links_control]
        for name, target in targets.items():
            words += ["--link", f"{name},{self._links[name]},{target}"]
        self._others.append(await self._spawn(words, "links"))
        await self._until(lambda: self._order_links([]))

    async def set_link_faults(
        self, gateways: list[Process], links: list[str], faults: LinkFaults
    ) -> None:
        """Inject faults into the gateways' parts of links."""
        ips = [gateway.ip for gateway in gateways]
        await self._order_links([LinkOrder(link, ips, faults) for link in links])

    async def _order_links(self, orders: list[LinkOrder]) -> None:
        await post(self._links_control, FAULTS_PATH, orders)

    # Engines.

    async def start_engine(self, engine: EngineProcess) -> None:
        """Start an engine under a new id and register it."""
        engine.starts += 1
        engine.id = f"i-{engine.name}-{engine.starts}"
        sizes, is_llm = self.sizes, engine.service == LLM
        words = ["-m", "process_soak.engine", "--id", engine.id]
        words += ["--service", engine.service, "--address", engine.address]
        words += ["--record", str(self.directory / f"{engine.name}.jsonl")]
        words += ["--slots", str(sizes.slots), "--work", str(sizes.work)]
        words += ["--seed", str(self.random.getrandbits(32))]
        if is_llm:
            words += ["--events", str(sizes.events), "--interval", str(sizes.interval)]
            if sizes.shape is not None:
                words += ["--shape", msgspec.json.encode(sizes.shape).decode()]
        engine.child = await self._spawn(words, engine.name)
        await self._until(lambda: self.set_engine_faults(engine, EngineFaults()))
        await self.register(engine)

    async def register(self, engine: EngineProcess, state: str = "ready") -> None:
        """Write an engine's entry; an empty state removes it."""
        entry = {
            "service": engine.service,
            "address": self._links.get(engine.name, engine.address),
            "zone": "dc-1",
            "version": "v1",
            "slots": self.sizes.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000 + engine.starts,
        }
        values = {f"servers/{engine.id}": entry if state else None}
        await self._until(lambda: self._put(values))
        if state != "ready":
            self.record.add("leaving", process=engine.id, detail=state)

    async def set_engine_faults(
        self, engine: EngineProcess, faults: EngineFaults
    ) -> None:
        """Inject faults into an engine."""
        await post(engine.address, FAULTS_PATH, faults)
        engine.faults = faults

    # Gateways.

    def write_settings(self, gateway: Process) -> None:
        """Write a gateway's settings file."""
        bounds, ip = self.bounds, gateway.ip
        seeds = [f"{each.ip}:{PORTS['control']}" for each in self.gateways[:3]]
        listen = "\n".join(f'{name} = "{ip}:{port}"' for name, port in PORTS.items())
        text = f"""node = "{gateway.name}"
ip = "{ip}"
zone = "dc-1"
region = "region"
internal_ports = {list(INTERNAL_PORTS)}
seeds = {json.dumps(seeds)}
heartbeat_ms = 1200
[listen]
{listen}
[limits]
cpu_share = 0.731
cores = 1
memory_mb = {MEMORY_MEBIBYTES}
file_descriptors = 1570
[bounds]
stability_ms = {1000 * bounds.stability}
drain_ms = {1000 * bounds.drain}
grace_s = {gateway.grace}
config_apply_ms = {1000 * bounds.config_apply}
retry_budget_ratio = {bounds.retry_ratio}
budget_window_s = {bounds.retry_window}
retry_budget_slack = {bounds.retry_slack}
ttl_max_s = 5
stall_ms = 1500
[platform]
address = "{self._links.get(STORE, self.store)}"
"""
        assert gateway.settings is not None
        changed = gateway.settings.with_suffix(".new")
        changed.write_text(text)
        changed.rename(gateway.settings)

    async def _keep(self, gateway: Process) -> None:
        """Start a gateway again whenever it ends."""
        while gateway.is_wanted:
            gateway.incarnation += 1
            gateway.is_stopping = False
            gateway.started_at = time.monotonic()
            self.record.add(
                "started", process=gateway.name, incarnation=gateway.incarnation
            )
            words = self._gateway_module.split()
            if self._has_links:
                words = ["process_soak.bound_process", gateway.ip, *words]
            gateway.child = await self._spawn(
                ["-m", *words],
                gateway.name,
                self._source,
                CYCLAMENYOKE_NODE_FILE=str(gateway.settings),
            )
            code = await gateway.child.wait()
            self.record.add(
                "exited",
                process=gateway.name,
                incarnation=gateway.incarnation,
                status=code,
            )
            await asyncio.sleep(RESTART_DELAY)

    def send_signal(self, gateway: Process, number: signal.Signals) -> bool:
        """Send a signal to a gateway; return whether it was there."""
        child = gateway.child
        if child is None or child.returncode is not None:
            return False
        age = time.monotonic() - gateway.started_at
        self.record.add(
            "signal",
            process=gateway.name,
            incarnation=gateway.incarnation,
            result=number.name,
            detail=f"{age:.3f} s after its start",
        )
        with contextlib.suppress(ProcessLookupError):
            child.send_signal(number)
        return True

    async def stop_gateway(self, gateway: Process) -> None:
        """Send SIGTERM, and SIGKILL after the grace as the platform does."""
        child = gateway.child
        if gateway.is_stopping or not self.send_signal(gateway, signal.SIGTERM):
            return
        gateway.is_stopping = True
        grace = gateway.grace
        try:
            async with asyncio.timeout(grace):
                await child.wait()
        except TimeoutError:
            if child.returncode is None:
                self.send_signal(gateway, signal.SIGKILL)

    # The end.

    async def close(self) -> None:
        """End all processes of the run."""
        for task in self._asking:
            task.cancel()
        for gateway in self.gateways:
            gateway.is_wanted = False
            if gateway.keeper is not None:
                gateway.keeper.cancel()
        children = [each.child for each in (*self.gateways, *self.engines)]
        for child in (*children, *self.callers, *self._others):
            if child is not None and child.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    child.kill()
                await child.wait()
