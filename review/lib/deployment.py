"""Gateways as separate processes, clients, and the record of a case."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from standins import Engine, EngineWork, Message, Store, read_head, read_message

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "tano114": "q81mzn0v7s2k5xw3f6hd"}
GRACE_S = 8.0
STABILITY_S = 3.0
DRAIN_S = 2.0
RESTART_DELAY_S = 0.5
# The bounds of the small deployment of the users' sheet.
BOUNDS = """
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 191
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
fencing_required = false
ttl_max_s = 5
"""
REQUEST_IDS = (f"{number:016x}" for number in itertools.count(0x9C41D07BE2A35F68))


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(version: int = 7, **changes: object) -> dict[str, object]:
    """Return a configuration: streams that may be resumed, orders and lookups."""
    stream = {"resumable": True, "target_gap_ms": 120, "session_affinity": True}
    plain = {"timeout_ms": 1000, "target_latency_ms": 100, "priority": 2}
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "draft-llm", **stream),
            route("order", "unsafe", "field-app", **{**plain, "max_attempts": 1}),
            route("lookup", "safe", "field-app", **plain),
        ],
        "services": [
            {"name": "draft-llm", "health_path": "/health", "max_connections": 884},
            {"name": "field-app", "health_path": "/health", "max_connections": 208},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": n, "api_keys": [key]} for n, key in KEYS.items()],
        **changes,
    }


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that nothing listens on."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, what: str, at: float | None = None, **fields: object) -> None:
        moment = (at or time.monotonic()) - self._started_at
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{moment:9.3f} {what} {details}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Answer:
    """What a client saw of one request.

    :param connection: number of the connection, which may serve many requests.
    :param is_whole: whether the answer came with its whole body.
    """

    request_id: str
    address: str
    path: str
    connection: int
    is_reused: bool
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0
    error: str = ""


class Client:
    """A client with one connection at a time, which it keeps while it may."""

    def __init__(self, record: Record, key: str = KEYS["hule930"]) -> None:
        self._record = record
        self._key = key
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._address = ""
        self._connection = 0
        self._is_used = False
        self.answers: list[Answer] = []

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def send(
        self,
        address: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"{}",
        method: str = "POST",
        **headers: str,
    ) -> Answer:
        """Send one request and return what came back; an address may be new."""
        if address != self._address:
            self.close()
        answer = Answer(next(REQUEST_IDS), address, path, 0, False, 0.0)
        self.answers.append(answer)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader = await self._write(answer, deadline_ms, body, method, headers)
                await self._read(answer, reader)
        except (OSError, EOFError, ValueError) as error:
            answer.error = type(error).__name__
        answer.ended_at = time.monotonic()
        is_kept = answer.is_whole and answer.headers.get("connection") != "close"
        if not is_kept:
            self.close()
        self._note(answer)
        return answer

    async def _write(
        self,
        answer: Answer,
        deadline_ms: int,
        body: bytes,
        method: str,
        headers: dict[str, str],
    ) -> asyncio.StreamReader:
        if self._streams is None:
            ip, _, port = answer.address.rpartition(":")
            async with asyncio.timeout(1):
                self._streams = await asyncio.open_connection(ip, int(port))
            self._address, self._is_used = answer.address, False
            self._connection = self._streams[1].get_extra_info("sockname")[1]
        reader, writer = self._streams
        answer.connection, answer.is_reused = self._connection, self._is_used
        self._is_used = True
        fields = {
            "Host": HOST,
            "X-Request-Id": answer.request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {self._key}",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {answer.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        answer.sent_at = time.monotonic()
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return reader

    async def _read(self, answer: Answer, reader: asyncio.StreamReader) -> None:
        head = await read_head(reader)
        answer.status, answer.headers = head.status, head.headers
        if head.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(head.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True

    def _note(self, answer: Answer) -> None:
        self._record.add(
            "client",
            request=answer.request_id,
            to=answer.address,
            connection=answer.connection,
            kept=answer.is_reused,
            path=answer.path,
            seconds=round(answer.ended_at - answer.sent_at, 3),
            status=answer.status,
            whole=answer.is_whole,
            bytes=len(answer.body),
            error=answer.error,
        )


async def call(address: str, target: str) -> Message | None:
    """Send a GET request without a body; ``None`` without an answer in a second."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
            return await read_message(reader)
    except (OSError, EOFError):
        return None
    finally:
        if writer is not None:
            writer.close()


class GatewayProcess:
    """One gateway, run by the command of the deploy file."""

    def __init__(self, site: "Site", number: int) -> None:
        self._site = site
        self.number = number
        self.node = f"front-bkk-north-{number}"
        self.ip = f"127.0.{site.network}.{number}"
        front, ready, control, directory = free_ports(self.ip, 4)
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.control = f"{self.ip}:{control}"
        self.directory = f"{self.ip}:{directory}"
        self.settings = site.folder / f"{self.node}.toml"
        self.log = site.folder / f"{self.node}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends: list[float] = []
        self._is_expected_to_end = False
        self._keeper: asyncio.Task[None] | None = None

    def write_settings(self, is_first_start: bool) -> None:
        seeds = [each.control for each in self._site.gateways[:3]]
        self.settings.write_text(f"""
node = "{self.node}"
role = "gateway"
machine_class = "front"
serves = ["front", "directory"]
ip = "{self.ip}"
zone = "bkk-north"
region = "th-central"
internal_ports = [{self._site.peer_port}, {self._site.peer_port + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {str(is_first_start).lower()}
in_failure_budget = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
    "tenants", "platform", "experts"]
[zones]
bkk-north = "th-central"
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 222
file_descriptors = 1570
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{BOUNDS}
{self._site.more_bounds}
[platform]
address = "{self._site.store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
""")

    async def start(self, is_first_start: bool = False) -> None:
        """Start the process with the environment that the platform gives it."""
        self.write_settings(is_first_start)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CYCLAMENYOKE_NODE_FILE"] = str(self.settings)
        self._is_expected_to_end = False
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._site.record.add("start", node=self.node, pid=self.process.pid)

    def keep_running(self) -> None:
        """Start the process again shortly after it ends by itself."""
        self._keeper = asyncio.create_task(self._keep_running())

    async def _keep_running(self) -> None:
        while True:
            assert self.process is not None
            code = await self.process.wait()
            if self._is_expected_to_end:
                return
            self.own_ends.append(time.monotonic())
            lines = self.log.read_text(errors="replace").splitlines()
            self._site.record.add(
                "ended by itself", node=self.node, code=code, last_line=lines[-1:]
            )
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    def signal(self, number: int) -> None:
        self._is_expected_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
        assert self.process is not None
        self._site.record.add("signal", node=self.node, number=number)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        answer = await call(self.ready, "/v1/readiness")
        return answer is not None and answer.status == 200

    async def resolve(self) -> tuple[list[str], float]:
        """Return the addresses and their lifetime, as the directory names them."""
        query = urlencode({"name": HOST, "region": "th-central", "zone": "bkk-north"})
        answer = await call(self.directory, f"/v1/resolve?{query}")
        if answer is None or answer.status != 200:
            return [], 0.0
        content = json.loads(answer.body)
        return content["addresses"], min(5.0, content["ttl_s"])


class Site:
    """A small deployment: a store, engines, gateways, and the record of the case."""

    def __init__(self, case: Path, more_bounds: str = "") -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case / "record.txt")
        self.more_bounds = more_bounds
        self.network = random.randrange(10, 250)
        self.peer_port = random.randrange(200, 300) * 100
        self.store = Store()
        self.engines: list[Engine] = []
        self.gateways: list[GatewayProcess] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work until the case ends at the latest."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def add_engine(
        self, id_: str, service: str, work: EngineWork, **fields: Any
    ) -> Engine:
        engine = Engine(id_, service, self.store, work, **fields)
        await engine.start()
        self.engines.append(engine)
        self.run(engine.heartbeat())
        return engine

    async def start(self, gateways: int, config: dict[str, object]) -> None:
        """Start the store and the gateways, and wait until all are ready.

        The store's address is known to engines that were added before.
        """
        await self.store.start()
        self.run(self.store.expire_leases())
        await self.store.put("op/config", json.dumps(config).encode())
        self.gateways = []
        for number in range(1, gateways + 1):
            self.gateways.append(GatewayProcess(self, number))
        for gateway in self.gateways:
            await gateway.start(is_first_start=True)
            gateway.keep_running()
        await self.wait_until_ready(self.gateways)

    async def wait_until_ready(self, gateways: list[GatewayProcess]) -> None:
        async with asyncio.timeout(20):
            for gateway in gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)

    def runs(self) -> dict[str, list[Any]]:
        """Return the runs of all engines by request id, and record them."""
        found: dict[str, list[Any]] = {}
        for engine in self.engines:
            for run in engine.runs:
                found.setdefault(run.request_id, []).append(run)
                self.record.add(
                    "run",
                    at=run.began_at,
                    engine=engine.id,
                    request=run.request_id,
                    whole=run.is_whole,
                    seconds=round((run.ended_at or time.monotonic()) - run.began_at, 3),
                )
        return found

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (*self.engines, self.store):
            await server.stop()
        # Lets the connections' tasks end before the event loop is closed.
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)


# Streams like those of the users' sheet: the first event in its aim, 18 events.
SHORT_STREAM = EngineWork(events=18, gap_s=0.035, first_s=0.4)


class StreamLoad:
    """Clients that send streams one after the other over kept connections."""

    def __init__(self, site: Site, clients_per_gateway: int, seconds: float) -> None:
        self._site = site
        self._until = time.monotonic() + seconds
        count = clients_per_gateway * len(site.gateways)
        self._clients = [Client(site.record) for _ in range(count)]
        self._tasks = [
            site.run(self._use(client, number % len(site.gateways)))
            for number, client in enumerate(self._clients)
        ]

    @property
    def answers(self) -> list[Answer]:
        return [answer for client in self._clients for answer in client.answers]

    async def wait(self) -> None:
        """Wait until all clients have their last answer."""
        await asyncio.gather(*self._tasks)
        for client in self._clients:
            client.close()

    async def _use(self, client: Client, gateway: int) -> None:
        # The clients do not start together.
        await asyncio.sleep(random.random())
        address = self._site.gateways[gateway].front
        while time.monotonic() < self._until:
            answer = await client.send(address, "/draft/2f", 8051, X_Model="m")
            if not answer.is_whole or answer.status != 200:
                await asyncio.sleep(0.2)

    def record_lost(self, **fields: object) -> int:
        """Return how many requests of kept connections were closed on without answer.

        Counted are those that an engine ran and of whose answer no byte came; none of
        the engines here breaks off a request.
        """
        runs, answers = self._site.runs(), self.answers
        lost = [
            each
            for each in answers
            if each.is_reused
            and each.status == 0
            and each.error != "TimeoutError"
            and each.request_id in runs
        ]
        for each in lost:
            self._site.record.add("lost", request=each.request_id, at=each.ended_at)
        self._site.record.add(
            "count",
            requests=len(answers),
            whole=sum(each.is_whole and each.status == 200 for each in answers),
            broken_off_midway=sum(e.status == 200 and not e.is_whole for e in answers),
            lost_on_kept_connections=len(lost),
            own_ends={each.node: len(each.own_ends) for each in self._site.gateways},
            **fields,
        )
        return len(lost)


CaseBody = Callable[[Site, bool], Coroutine[Any, Any, bool]]


def run_case(body: CaseBody, limit_s: float = 110.0, more_bounds: str = "") -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 on a failure.

    :param body: returns whether the rule was broken, given the site and whether the
        disruption takes place.
    """

    async def run() -> int:
        site = Site(Path(sys.argv[0]).resolve().parent, more_bounds)
        try:
            async with asyncio.timeout(limit_s):
                has_trouble = os.environ.get("TROUBLE", "1") != "0"
                is_broken = await body(site, has_trouble)
            site.record.add("result", rule="broken" if is_broken else "held")
            return 1 if is_broken else 0
        except Exception as error:
            site.record.add("the case could not run", error=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            with contextlib.suppress(Exception):
                await site.close()
            site.record.close()

    sys.exit(asyncio.run(run()))
