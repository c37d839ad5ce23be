"""The import direction: core, ports, adapters, daemon and client."""

import ast
from pathlib import Path

import cyclamenyoke

ROOT = Path(cyclamenyoke.__file__).parent

ALLOWED = {
    "core": {"core", "exceptions"},
    "ports": {"ports", "core", "exceptions"},
    "adapters": {"adapters", "ports", "core", "exceptions"},
}


def imported_parts(path: Path) -> set[str]:
    """Return the parts of the package that a module imports."""
    parts = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = [node.module] if isinstance(node, ast.ImportFrom) else []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            if name and name.startswith("cyclamenyoke."):
                parts.add(name.split(".")[1])
    return parts


def test_import_direction():
    for part, allowed in ALLOWED.items():
        for path in (ROOT / part).glob("*.py"):
            assert imported_parts(path) <= allowed, path


def test_core_does_no_io():
    forbidden = {"asyncio", "socket", "time", "httpx", "pynng", "logbook", "secrets"}
    for path in (ROOT / "core").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                names = {alias.name.split(".")[0] for alias in node.names}
                assert not names & forbidden, path
