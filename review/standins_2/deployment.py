"""Gateways as separate processes, their settings, and a record of the run."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from standins_2.wire import read_head

ROOT = Path(__file__).resolve().parents[2]
HOST = "crews.example"
API_KEY = "key-of-crews"
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
"""The bounds of sdsc-duct."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, what: str, **details: object) -> None:
        """Add one line."""
        at = time.monotonic() - self._started_at
        words = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{at:9.4f} {what} {words}\n")

    def close(self) -> None:
        """Finish the record."""
        self._file.close()


def random_network() -> str:
    """Return the first three numbers of loopback addresses for this run."""
    return f"127.{random.randrange(30, 250)}.{random.randrange(1, 250)}"


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        network: str,
        store: str,
        directory: Path,
        bounds: dict[str, object],
        seeds: list[str],
    ) -> None:
        self.name = f"front-{number}"
        self.ip = f"{network}.{10 + number}"
        self.front = f"{self.ip}:8227"
        self.settings = directory / f"{self.name}.toml"
        self.log = directory / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        lines = [
            f'node = "{self.name}"',
            'role = "gateway"',
            'machine_class = "front"',
            'serves = ["front", "directory"]',
            f'ip = "{self.ip}"',
            'zone = "bkk-north"',
            'region = "th-central"',
            "internal_ports = [7340, 7355]",
            f"seeds = {json.dumps([f'{seed}:8229' for seed in seeds])}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "directory"',
            "heartbeat_ms = 1200",
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ip}:8220"',
            f'control = "{self.ip}:8229"',
            f'directory = "{self.ip}:8224"',
            "[limits]",
            "cpu_share = 0.731",
            "cores = 1",
            "memory_mb = 222",
            "file_descriptors = 1570",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{store}"',
            'form = "kv"',
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *words = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables = {
            **kept,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CYCLAMENYOKE_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                program, *words, cwd=ROOT, stdout=output, stderr=output, env=variables
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, 8220)
                try:
                    writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    return (await read_head(reader))[0] == 200
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until it is ready, 20 s at most."""
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


def main(work: object, folder: Path) -> None:
    """Run a case: ``work(record, directory, has_trouble)`` returns broken rules.

    Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run.
    """
    # Ends the gateways as well.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as name:
            found = asyncio.run(work(record, Path(name), has_trouble))  # type: ignore
    except Exception as error:
        record.add("could not run", error=repr(error))
        record.close()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in found:
        record.add("BROKEN", rule=line)
        print(line)
    record.add("end", broken=len(found))
    record.close()
    sys.exit(1 if found else 0)
