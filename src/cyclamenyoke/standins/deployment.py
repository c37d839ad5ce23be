"""Ports, settings and service files of a small deployment on loopback."""

import contextlib
import hashlib
import socket
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import SystemRandom
from typing import Any

import yaml

from cyclamenyoke.daemon.settings import (
    AgentSettings,
    EntrySettings,
    Role,
    Settings,
)

LOOPBACK = "127.0.0.1"
PORT_RANGE = range(15_000, 32_000)
OPERATORS_KEY = "operators-key-for-stand-ins"
SHARED_KEY = "shared-key-for-stand-ins"
CUSTOMER_SHARES = {"siam-north": 3.0, "siam-south": 1.0}
DATA_CENTRES = ("bangkok-1", "bangkok-2", "bangkok-3")
MODEL = "duct-reporter"
MODEL_SERVICE = "reports"
PLAIN_SERVICE = "orders"


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    They lie below the operating system's range of ephemeral ports, so that no
    outgoing connection takes the port of a process while it restarts.
    """
    ports: list[int] = []
    candidates = SystemRandom().sample(PORT_RANGE, len(PORT_RANGE))
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            ports.append(port)
    return ports


def customer_key(name: str) -> str:
    """Return a customer's API key."""
    return f"demo-key-{name}"


def sha256(text: str) -> str:
    """Return the hexadecimal SHA-256 digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class Deployment:
    """A deployment of entries, and of agents for engines and plain services.

    :param directory: receives the settings, key and service files.
    :param entries: the number of entries.
    :param engines: the number of model engines, with one agent each.
    :param plain: the number of plain endpoints, with one agent each.
    :param slots: slots of each endpoint.
    """

    directory: Path
    entries: int = 2
    engines: int = 2
    plain: int = 2
    slots: int = 8
    platform_port: int = 0
    entry_settings: list[Settings] = field(default_factory=list)
    agent_settings: list[Settings] = field(default_factory=list)
    seeds: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        (self.directory / "shared.key").write_text(SHARED_KEY)
        ports = iter(free_ports(1 + 3 * self.entries + 3 * self.endpoints))
        self.platform_port = next(ports)
        controls = [next(ports) for _ in range(self.entries)]
        self.seeds = [f"{LOOPBACK}:{port}" for port in controls[:2]]
        self.entry_settings = [
            self._entry(number, control, ports)
            for number, control in enumerate(controls)
        ]
        self.agent_settings = [self._agent(n, ports) for n in range(self.endpoints)]

    @property
    def endpoints(self) -> int:
        """The number of endpoints."""
        return self.engines + self.plain

    @property
    def services(self) -> Path:
        """The directory of the service files."""
        return self.directory / "services"

    @property
    def platform(self) -> str:
        """The base URL of the platform's key-value store."""
        return f"http://{LOOPBACK}:{self.platform_port}"

    def write_services(self, **changes: Any) -> None:
        """Write the service files of the model service and the plain service.

        :param changes: top-level keys to override in the model service.
        """
        by_service: dict[str, list[dict[str, Any]]] = {}
        for settings in self.agent_settings:
            agent = settings.agent
            assert agent is not None
            endpoint = {
                "name": agent.endpoint,
                "agent": f"{LOOPBACK}:{agent.port}",
                "data_centre": settings.data_centre,
                "slots": self.slots,
            }
            by_service.setdefault(agent.service, []).append(endpoint)
        customers = [
            {"name": name, "share": share, "api_key_sha256": sha256(customer_key(name))}
            for name, share in CUSTOMER_SHARES.items()
        ]
        model = {
            "service": MODEL_SERVICE,
            "kind": "model",
            "models": [MODEL],
            "groups": [{"name": "north", "engines": by_service[MODEL_SERVICE]}],
            "customers": customers,
            **changes,
        }
        plain = {
            "service": PLAIN_SERVICE,
            "kind": "plain",
            "endpoints": by_service[PLAIN_SERVICE],
            "customers": customers,
            "not_repeatable": [{"method": "POST", "path": "/clearance-orders"}],
        }
        for content in (model, plain):
            path = self.services / str(content["service"])
            path.mkdir(parents=True, exist_ok=True)
            text = yaml.safe_dump(content, sort_keys=False)
            (path / "cyclamenyoke.yaml").write_text(text)

    def write_settings(self, settings: Settings) -> Path:
        """Write one daemon's settings file and return its path."""
        data = {key: value for key, value in asdict(settings).items() if value}
        data["role"] = settings.role.value
        path = self.directory / f"{settings.name}.yaml"
        path.write_text(yaml.safe_dump(data, sort_keys=False))
        return path

    def _entry(self, number: int, control: int, ports: Any) -> Settings:
        entry = EntrySettings(next(ports), next(ports), sha256(OPERATORS_KEY))
        return self._settings(
            Role.ENTRY, f"entry-{number + 1}", number, control, entry=entry
        )

    def _agent(self, number: int, ports: Any) -> Settings:
        is_engine = number < self.engines
        service = MODEL_SERVICE if is_engine else PLAIN_SERVICE
        index = number if is_engine else number - self.engines
        name = f"{'engine' if is_engine else PLAIN_SERVICE}-{index + 1}"
        url = f"http://{LOOPBACK}:{next(ports)}"
        agent = AgentSettings(name, service, next(ports), url)
        return self._settings(
            Role.AGENT, f"agent-{name}", number, next(ports), agent=agent
        )

    def _settings(
        self, role: Role, name: str, number: int, control_port: int, **section: Any
    ) -> Settings:
        return Settings(
            role,
            name,
            LOOPBACK,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            control_port,
            self.platform,
            self.seeds,
            str(self.directory / "shared.key"),
            **section,
        )
