"""The demo: a complete session on loopback, in one process.

The daemons run the same code as in separate processes; the platform and the
endpoints are stand-ins.
"""

import asyncio
import tempfile
import time
import uuid
from pathlib import Path
from random import Random
from urllib.parse import urlsplit

import httpx
import msgspec

from cyclamenyoke.adapters.clock import SystemClock
from cyclamenyoke.adapters.http_server import HttpServer
from cyclamenyoke.adapters.logs import install_logs
from cyclamenyoke.adapters.service_files import load_services
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.callers import EntryAddresses
from cyclamenyoke.daemon.node import Node
from cyclamenyoke.daemon.operators import Status
from cyclamenyoke.daemon.publishing import PublishRequest, ServiceEdit
from cyclamenyoke.standins.deployment import (
    LOOPBACK,
    MODEL,
    OPERATORS_KEY,
    Deployment,
    customer_key,
)
from cyclamenyoke.standins.endpoint import StandInEndpoint
from cyclamenyoke.standins.platform import StandInPlatform

READY_TIMEOUT = 10 * SECOND
"""Seconds within which the deployment must be ready; also the HTTP timeout."""

POLL_INTERVAL = 50 * MILLISECOND
"""Seconds between two polls of the status."""

REPORT_TOKENS = 40
"""Tokens of each streamed report. Each is one event, and a final ``[DONE]`` follows."""

SEED = 1
"""Seed of the stand-in platform's random numbers."""


async def run_demo() -> int:
    """Run the demo session; return the exit code."""
    install_logs("error")
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory))
        deployment.write_services()
        session = DemoSession(deployment)
        try:
            await session.start()
            await session.run()
        finally:
            await session.stop()
    print("done: every step passed")
    return 0


class DemoSession:
    """Runs the daemons and stand-ins as asyncio tasks, then the steps of the demo."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._client = httpx.AsyncClient(timeout=READY_TIMEOUT)
        self._servers: list[HttpServer] = []
        self._endpoints: dict[str, StandInEndpoint] = {}
        self._nodes: dict[str, Node] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the stand-ins, entries and agents."""
        platform = StandInPlatform(Random(SEED)).application()
        await self._serve(platform, self._deployment.platform_port)
        for settings in self._deployment.agent_settings:
            assert settings.agent is not None
            endpoint = StandInEndpoint()
            self._endpoints[settings.agent.endpoint] = endpoint
            await self._serve(endpoint, urlsplit(settings.agent.url).port or 0)
        clock = SystemClock()
        deployment = self._deployment
        for settings in [*deployment.entry_settings, *deployment.agent_settings]:
            node = Node(settings, clock)
            self._nodes[settings.name] = node
            self._tasks[settings.name] = asyncio.create_task(node.run())
        count = len(self._nodes)
        _print_step(
            f"started: a platform, {len(self._endpoints)} endpoints, {count} daemons"
        )

    async def run(self) -> None:
        """Run all steps."""
        await self._publish()
        entry = await self._choose_entry()
        await self._stream_report(entry)
        await self._send_order_twice(entry)
        await self._drain_during_stream(entry)

    async def stop(self) -> None:
        """Stop all daemons and stand-ins."""
        for node in self._nodes.values():
            node.stop()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for server in self._servers:
            await server.stop()
        await self._client.aclose()

    async def _serve(self, app: object, port: int) -> None:
        server = HttpServer(app, LOOPBACK, port)
        await server.start()
        self._servers.append(server)

    async def _publish(self) -> None:
        services = load_services(self._deployment.services).unwrap()
        edits = [ServiceEdit(service, 0) for service in services]
        request = PublishRequest(uuid.uuid4().hex, "demo", edits)
        operators = self._deployment.entry_settings[0].operators_address
        await self._wait_until_serving(operators)
        response = await self._client.post(
            f"http://{operators}/operators/v1/publish",
            content=msgspec.json.encode(request),
            headers={"Authorization": f"Bearer {OPERATORS_KEY}"},
        )
        _require(response.status_code in (200, 201), response.text)
        names = ", ".join(service.service for service in services)
        _print_step(f"published: {names}")
        seconds = await self._wait_until_in_force(operators)
        _print_step(f"in force at all {len(self._nodes)} daemons after {seconds:.2f} s")

    async def _wait_until_serving(self, operators: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            try:
                await self._status(operators)
                return
            except httpx.TransportError:
                await asyncio.sleep(POLL_INTERVAL)
        _require(False, "entry did not respond")

    async def _wait_until_in_force(self, operators: str) -> float:
        started_at = time.monotonic()
        while time.monotonic() - started_at < READY_TIMEOUT:
            status = await self._status(operators)
            # The publish of the demo is the first generation of the configuration.
            updated = [node for node in status.nodes if node.generation == 1]
            connected = [agent for agent in status.agents if agent.connected]
            if len(updated) == len(self._nodes) and len(connected) == len(
                self._endpoints
            ):
                return time.monotonic() - started_at
            await asyncio.sleep(POLL_INTERVAL)
        _require(
            False,
            "publish did not reach all daemons, or not all agents connected, in time",
        )
        return 0.0

    async def _status(self, operators: str) -> Status:
        response = await self._client.get(
            f"http://{operators}/operators/v1/status",
            headers={"Authorization": f"Bearer {OPERATORS_KEY}"},
        )
        return msgspec.json.decode(response.content, type=Status)

    async def _choose_entry(self) -> str:
        first = self._deployment.entry_settings[0].callers_address
        response = await self._client.get(f"http://{first}/v1/entry-vms")
        addresses = msgspec.json.decode(response.content, type=EntryAddresses)
        chosen = addresses.entries[0].address
        _print_step(f"found {len(addresses.entries)} entries, using {chosen}")
        return chosen

    async def _stream_report(self, entry: str) -> None:
        events = await self._stream(entry)
        _require(events == REPORT_TOKENS + 1, f"incomplete stream: {events} events")
        _print_step(f"streamed a report: all {events} events received")

    async def _stream(self, entry: str) -> int:
        events = 0
        async with self._client.stream(
            "POST",
            f"http://{entry}/v1/chat/completions",
            json={"model": MODEL, "stream": True, "max_tokens": REPORT_TOKENS},
            headers=_key_headers("siam-north"),
        ) as response:
            _require(response.status_code == 200, str(response.status_code))
            async for line in response.aiter_lines():
                events += line.startswith("data: ")
        return events

    async def _send_order_twice(self, entry: str) -> None:
        key = str(uuid.uuid4())
        responses = [await self._send_order(entry, key) for _ in range(2)]
        orders = sum(len(each.state.orders) for each in self._endpoints.values())
        replayed = responses[1].headers.get("idempotent-replayed")
        _require(
            responses[0].content == responses[1].content,
            "responses to the repeated order differ",
        )
        _require(orders == 1, f"order ran {orders} times")
        _require(replayed == "true", "second response is not marked as replayed")
        _print_step(
            "sent a clearance order twice with one idempotency key: it ran once"
        )

    async def _send_order(self, entry: str, key: str) -> httpx.Response:
        response = await self._client.post(
            f"http://{entry}/services/orders/clearance-orders",
            json={"duct": "BKK-17"},
            headers={
                **_key_headers("siam-north"),
                "Idempotency-Key": key,
                "Idempotency-Key-Issued-At": str(time.time()),
            },
        )
        _require(response.status_code == 201, response.text)
        return response

    async def _drain_during_stream(self, entry: str) -> None:
        settings = next(
            each
            for each in self._deployment.entry_settings
            if each.callers_address == entry
        )
        stream = asyncio.create_task(self._stream(entry))
        # Gives the stream time to start before its entry is stopped.
        await asyncio.sleep(3 * POLL_INTERVAL)
        self._nodes[settings.name].stop()
        events = await stream
        await self._tasks[settings.name]
        _require(events == REPORT_TOKENS + 1, f"stream was cut after {events} events")
        _print_step(
            f"stopped {settings.name} during a stream: all {events} events received"
        )


def _key_headers(customer: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {customer_key(customer)}"}


def _print_step(text: str) -> None:
    print(text, flush=True)


def _require(condition: bool, problem: str) -> None:
    if not condition:
        raise RuntimeError(problem)
