"""The settings of one daemon, read from a YAML file."""

import enum
import os
from dataclasses import dataclass, field
from pathlib import Path

from returns.pipeline import is_successful

from cyclamenyoke.adapters.yaml_files import load_document, structure
from cyclamenyoke.exceptions import Finding, FindingsError

MIN_SHARED_KEY_BYTES = 16
"""Minimum length of the shared key, in bytes."""


class Role(enum.Enum):
    """The role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """The APIs of an entry.

    :param callers_port: the port of the callers' API.
    :param operators_port: the port of the operators' API.
    :param operators_key_sha256: SHA-256 digest of the operators' API key, in
        hexadecimal.
    """

    callers_port: int
    operators_port: int
    operators_key_sha256: str


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """The endpoint of an agent, and the port that entries connect to.

    :param endpoint: the endpoint's name in the service file.
    :param service: the service that the endpoint belongs to.
    :param port: the port that the agent listens on for entries.
    :param url: the base URL of the endpoint.
    """

    endpoint: str
    service: str
    port: int
    url: str


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one daemon.

    :param name: unique among all daemons.
    :param ip: the address at which other daemons reach this one.
    :param control_port: the port for gossip between daemons.
    :param platform: the base URL of the platform's key-value store.
    :param peers: gossip addresses (``IP:PORT``) of daemons that this one contacts
        first.
    :param shared_key_file: file with the key that all daemons share.
    :param shared_key_env: environment variable with that key; read only when no
        file is set.
    """

    role: Role
    name: str
    ip: str
    data_centre: str
    control_port: int
    platform: str
    peers: list[str] = field(default_factory=list)
    shared_key_file: str = ""
    shared_key_env: str = ""
    log_level: str = "info"
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None

    @property
    def gossip_address(self) -> str:
        """``IP:PORT`` of this daemon's gossip socket."""
        return f"{self.ip}:{self.control_port}"

    @property
    def callers_address(self) -> str:
        """``IP:PORT`` of the callers' API; empty for an agent."""
        return f"{self.ip}:{self.entry.callers_port}" if self.entry else ""

    @property
    def operators_address(self) -> str:
        """``IP:PORT`` of the operators' API; empty for an agent."""
        return f"{self.ip}:{self.entry.operators_port}" if self.entry else ""

    def read_shared_key(self) -> bytes:
        """Return the key that all daemons share.

        :raises FindingsError: when the key is missing or too short.
        """
        try:
            key = (
                Path(self.shared_key_file).read_bytes().strip()
                if self.shared_key_file
                else os.environ.get(self.shared_key_env, "").encode()
            )
        except OSError as error:
            raise _single_finding(self.shared_key_file, str(error)) from error
        if len(key) < MIN_SHARED_KEY_BYTES:
            location = self.shared_key_file or f"${self.shared_key_env}"
            message = f"shared key is shorter than {MIN_SHARED_KEY_BYTES} bytes"
            raise _single_finding(location, message)
        return key


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises FindingsError: when the file is invalid; lists all its errors.
    """
    result = load_document(path).bind(lambda document: structure(document, Settings))
    if not is_successful(result):
        raise FindingsError(result.failure())
    settings = result.unwrap()
    section = {Role.ENTRY: settings.entry, Role.AGENT: settings.agent}[settings.role]
    if section is None:
        message = f"role {settings.role.value!r} requires a section of the same name"
        raise _single_finding(str(path), message)
    return settings


def _single_finding(location: str, message: str) -> FindingsError:
    return FindingsError([Finding(location, 1, 1, message)])
