"""Starts and ends the processes of a small deployment on loopback addresses."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom
from urllib.parse import quote

from harness_3.http_io import call

ROOT = Path(__file__).resolve().parents[2]
REVIEW = ROOT / "review"
METRICS_PORT = 9464
PORTS = 10_000, 30_000
START_TIMEOUT = 20.0
HOST = "site.example"
KEY = "key-of-the-first-customer"

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 191,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "fencing_required": False,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


def free_port(host: str) -> int:
    """Return a port that nothing uses, below those of outgoing connections."""
    for _ in range(1000):
        port = SystemRandom().randrange(*PORTS)
        if is_free(host, port):
            return port
    raise CannotRun("no free port")


def is_free(host: str, port: int) -> bool:
    """Return whether a port can be listened on."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@dataclass
class Gateway:
    """One gateway: its process, and where it listens."""

    name: str
    ip: str
    ports: dict[str, int]
    peer_port: int
    settings: Path
    child: asyncio.subprocess.Process | None = None

    def address(self, kind: str) -> str:
        """Return where it listens; ``kind`` is ``front``, ``ready`` or the like."""
        return f"{self.ip}:{self.ports[kind]}"


@dataclass
class Site:
    """All processes; use as an asynchronous context manager."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="r3-")))
    random: Random = field(default_factory=Random)
    bounds: dict = field(default_factory=lambda: dict(BOUNDS))
    memory_mb: int = 222
    store: str = ""
    gateways: list[Gateway] = field(default_factory=list)
    children: list[asyncio.subprocess.Process] = field(default_factory=list)
    version: int = 0

    async def __aenter__(self) -> "Site":
        return self

    async def __aexit__(self, *_: object) -> None:
        for child in self.children:
            if child.returncode is None:
                child.kill()
        for child in self.children:
            await child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def spawn(
        self, words: list[str], log: str, path: Path, **variables: str
    ) -> asyncio.subprocess.Process:
        """Start a process at the root of the repository."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        variables = {**kept, "PYTHONPATH": str(path), **variables}
        with (self.folder / f"{log}.log").open("ab") as output:
            child = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=output, stderr=output, env=variables
            )
        self.children.append(child)
        return child

    async def start_store(self) -> None:
        """Start the store."""
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        words = [sys.executable, "-m", "harness_3.store", self.store]
        await self.spawn(words, "store", REVIEW)
        await self.until(lambda: self.put("harness/started", {}))

    async def put(self, key: str, content: object) -> bool:
        """Write a key as the operator or an engine does."""
        body = json.dumps(content).encode()
        answer = await call(self.store, "POST", f"/put?key={quote(key)}", body=body)
        return answer.status == 200

    async def remove(self, key: str) -> None:
        """Remove a key, as the platform does when an engine is silent."""
        await call(self.store, "DELETE", f"/put?key={quote(key)}")

    async def configure(self, routes: list[dict], services: list[dict]) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        tenants = [{"name": "first", "api_keys": [KEY]}]
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": tenants,
        }
        await self.put("op/config", config)

    async def start_engine(
        self, id_: str, service: str, slots: int, *options: str, module: str = "engine"
    ) -> tuple[asyncio.subprocess.Process, str]:
        """Start an engine and register it; return its process and its address."""
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        kind = "stream" if service == "llm" else "plain"
        record = str(self.folder / "engines.jsonl")
        words = [sys.executable, "-m", f"harness_3.{module}", address, id_, kind]
        child = await self.spawn([*words, record, *options], id_, REVIEW)
        await self.until(lambda: listens(address))
        await self.register(id_, service, address, slots)
        return child, address

    async def register(self, id_: str, service: str, address: str, slots: int) -> None:
        """Write an engine's entry, which the stand-in never lets expire."""
        entry = {
            "service": service,
            "address": address,
            "zone": "zone-1",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        await self.put(f"servers/{id_}", entry)

    def add_gateway(self, ports: dict[str, int] | None = None) -> Gateway:
        """Choose addresses for one more gateway, and write its settings."""
        if self.gateways:
            ports = self.gateways[0].ports
        first = ports or {}
        for _ in range(100):
            ip = f"127.{self.random.randint(30, 250)}.{self.random.randint(1, 250)}.5"
            if not first:
                names = ("front", "ready", "directory", "control", "peer")
                first = {name: free_port(ip) for name in names}
            if all(is_free(ip, port) for port in (*first.values(), METRICS_PORT)):
                break
        else:
            raise CannotRun("no free loopback address")
        number = len(self.gateways) + 1
        settings = self.folder / f"gateway-{number}.toml"
        gateway = Gateway(f"gateway-{number}", ip, first, first["peer"], settings)
        self.gateways.append(gateway)
        return gateway

    def write_settings(self, gateway: Gateway) -> None:
        """Write a gateway's settings file, as the platform does."""
        seeds = [each.address("control") for each in self.gateways[:3]]
        bounds = "\n".join(f"{k} = {json.dumps(v)}" for k, v in self.bounds.items())
        text = f"""
node = "{gateway.name}"
role = "gateway"
machine_class = "front"
serves = ["front", "directory"]
ip = "{gateway.ip}"
zone = "zone-1"
region = "region-1"
internal_ports = [{gateway.peer_port}, {gateway.peer_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
zone-1 = "region-1"
[listen]
front = "{gateway.address("front")}"
ready = "{gateway.address("ready")}"
control = "{gateway.address("control")}"
directory = "{gateway.address("directory")}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = {self.memory_mb}
file_descriptors = 1570
link_mbps = 350.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{self.store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""
        gateway.settings.write_text(text)

    async def start_gateways(self, count: int) -> None:
        """Start gateways with the command of the deploy file; wait until ready."""
        for _ in range(count):
            self.add_gateway()
        for gateway in self.gateways:
            self.write_settings(gateway)
            await self.run_gateway(gateway)
        for gateway in self.gateways:
            await self.until(lambda gateway=gateway: is_ready(gateway))

    async def run_gateway(self, gateway: Gateway) -> None:
        """Start a gateway's process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        variable = {"CYCLAMENYOKE_NODE_FILE": str(gateway.settings)}
        dependencies = ROOT / "target" / "deps"
        if not dependencies.is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        gateway.child = await self.spawn(words, gateway.name, dependencies, **variable)

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to a gateway."""
        assert gateway.child is not None
        if gateway.child.returncode is None:
            gateway.child.send_signal(number)

    async def until(self, check: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a check until it holds.

        :raises CannotRun: when it does not in time.
        """
        ends_at = time.monotonic() + START_TIMEOUT
        while time.monotonic() < ends_at:
            try:
                if await check():
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("a process did not start")


async def listens(address: str) -> bool:
    """Return whether a connection to an address is accepted."""
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.transport.abort()
    return True


async def is_ready(gateway: Gateway) -> bool:
    """Return whether a gateway reports that it is ready."""
    answer = await call(gateway.address("ready"), "GET", "/v1/readiness")
    return answer.status == 200


def route(name: str, kind: str, service: str, timeout_ms: int, **fields: object):
    """Return a route of the configuration."""
    is_stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400 if is_stream else 100,
        "target_gap_ms": 120 if is_stream else 0,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "resumable": is_stream,
        **fields,
    }
