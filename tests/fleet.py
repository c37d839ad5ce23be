"""A deployment of real processes on the loopback interface."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import httpx

from cyclamenyoke.cli.client import OperatorsClient
from cyclamenyoke.exceptions import CyclamenyokeError
from cyclamenyoke.standins.deployment import (
    LOOPBACK,
    OPERATORS_KEY,
    Deployment,
    customer_key,
)

READY_TIMEOUT = 15.0
"""Seconds within which a started process or deployment must be ready."""

POLL_INTERVAL = 0.02


def wait_until(
    condition: Callable[[], bool], description: str, timeout: float = READY_TIMEOUT
):
    """Wait until a condition holds.

    :param description: of the condition, for the error message.
    :param timeout: seconds after which the test fails.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        time.sleep(POLL_INTERVAL)


class Fleet:
    """The processes of one deployment, by name.

    :param token_time: seconds that a stand-in engine takes per token.
    """

    def __init__(self, deployment: Deployment, token_time: float = 0.005) -> None:
        self.deployment = deployment
        self.client = httpx.Client(timeout=30.0)
        self._token_time = token_time
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._logs = deployment.directory / "logs"
        self._logs.mkdir(exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.client.close()

    @property
    def operators(self) -> OperatorsClient:
        addresses = [
            entry.operators_address for entry in self.deployment.entry_settings
        ]
        return OperatorsClient(addresses, OPERATORS_KEY)

    def start_all(self) -> None:
        """Start all processes and publish the service files."""
        self.start_platform()
        for settings in self.deployment.agent_settings:
            self.start_endpoint(settings.agent.endpoint)
        for settings in self._daemon_settings():
            self.start(settings.name)
        wait_until(self.is_serving, "entries answer status requests")
        self.deployment.write_services()
        self.publish()
        wait_until(
            self.is_converged, "all nodes are connected and run the same configuration"
        )

    def start_platform(self) -> None:
        port = str(self.deployment.platform_port)
        self._run("platform", "-m", "cyclamenyoke.standins", "platform", port)
        wait_until(lambda: self._responds(self.deployment.platform + "/v1/calls"), "kv")

    def start_endpoint(self, name: str) -> None:
        url = self.endpoint_url(name)
        self._run(
            name,
            *("-m", "cyclamenyoke.standins", "endpoint", str(urlsplit(url).port)),
            *("--token-time", str(self._token_time)),
        )
        wait_until(lambda: self._responds(url + "/stand-in/begun"), name)

    def start(self, name: str) -> None:
        """Start a daemon, which must not be running."""
        assert name not in self._processes or self.has_ended(name), name
        settings = next(each for each in self._daemon_settings() if each.name == name)
        path = self.deployment.write_settings(settings)
        self._run(name, "-m", "cyclamenyoke.daemon.main", "run", str(path))

    def send_signal(self, name: str, number: int) -> None:
        """Send the signal with the given number to a process."""
        self._processes[name].send_signal(number)

    def wait_for_exit(self, name: str, timeout: float = READY_TIMEOUT) -> int:
        """Wait until a process ends and return its exit code."""
        return self._processes[name].wait(timeout)

    def has_ended(self, name: str) -> bool:
        return self._processes[name].poll() is not None

    def pid(self, name: str) -> int:
        return self._processes[name].pid

    @property
    def names(self) -> list[str]:
        """The names of all daemons, started or not."""
        return [settings.name for settings in self._daemon_settings()]

    def log(self, name: str) -> str:
        return (self._logs / f"{name}.log").read_text()

    def publish(self, *options: str) -> subprocess.CompletedProcess[str]:
        return self.cli("publish", str(self.deployment.services), *options)

    def cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command-line client."""
        entries = " ".join(
            each.operators_address for each in self.deployment.entry_settings
        )
        environment = {
            **os.environ,
            "CYCLAMENYOKE_ENTRIES": entries,
            "CYCLAMENYOKE_KEY": OPERATORS_KEY,
        }
        return subprocess.run(
            [sys.executable, "-m", "cyclamenyoke.cli.main", *arguments],
            capture_output=True,
            text=True,
            env=environment,
        )

    def set_faults(self, **faults: Any) -> None:
        """Set the stand-in platform's faults; those not given are turned off."""
        self.client.post(self.deployment.platform + "/v1/faults", json=faults)

    def is_serving(self) -> bool:
        try:
            return self.operators.status().generation >= 0
        except CyclamenyokeError:
            return False

    def is_converged(self) -> bool:
        """Tell whether all nodes run one generation and all agents are connected."""
        try:
            return self._is_converged()
        except CyclamenyokeError:
            return False

    def _is_converged(self) -> bool:
        count = len(self._daemon_settings())
        for entry in self.deployment.entry_settings:
            status = OperatorsClient([entry.operators_address], OPERATORS_KEY).status()
            current = [n for n in status.nodes if n.generation == status.generation]
            connected = [agent for agent in status.agents if agent.connected]
            if status.generation == 0 or len(current) != count:
                return False
            if len(connected) != self.deployment.endpoints:
                return False
        return True

    def call(
        self,
        entry: int,
        path: str,
        body: object,
        customer: str = "siam-north",
        **headers,
    ) -> httpx.Response:
        """Send a caller's POST to an entry.

        :param entry: index of the entry.
        :param headers: header names with ``_`` for ``-``.
        """
        address = self.deployment.entry_settings[entry].callers_address
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.client.post(
            f"http://{address}{path}",
            json=body,
            headers={"Authorization": f"Bearer {customer_key(customer)}", **names},
        )

    def order(self, entry: int, key: str, **headers) -> httpx.Response:
        """Send a clearance order with an idempotency key."""
        headers.setdefault("Idempotency_Key_Issued_At", str(time.time()))
        return self.call(
            entry,
            "/services/orders/clearance-orders",
            {"duct": key},
            Idempotency_Key=key,
            **headers,
        )

    def endpoint_url(self, name: str) -> str:
        return next(
            settings.agent.url
            for settings in self.deployment.agent_settings
            if settings.agent.endpoint == name
        )

    def started_calls(self) -> list[dict[str, str]]:
        """Return the calls that the endpoints have started."""
        return [
            call
            for settings in self.deployment.agent_settings
            for call in self.client.get(settings.agent.url + "/stand-in/begun").json()
        ]

    def _daemon_settings(self):
        return [*self.deployment.entry_settings, *self.deployment.agent_settings]

    def _run(self, name: str, *arguments: str) -> None:
        log = (self._logs / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def _responds(self, url: str) -> bool:
        try:
            return self.client.get(url).status_code == 200
        except httpx.HTTPError:
            return False


def make_fleet(directory: Path, **sizes: Any) -> Fleet:
    """Return a fleet whose processes are not started yet.

    :param sizes: numbers of processes, passed to :class:`Deployment`.
    """
    return Fleet(Deployment(directory, **sizes))


__all__ = ["LOOPBACK", "Fleet", "make_fleet", "wait_until"]
