"""Import rules between the subpackages, and names that only one of them may use."""

import ast
from pathlib import Path

import cyclamenyoke

ROOT = Path(cyclamenyoke.__file__).parent

ALLOWED_IMPORTS = {
    "core": {"core", "exceptions"},
    "ports": {"ports", "core", "exceptions"},
    "adapters": {"adapters", "ports", "core", "exceptions"},
}


def imported_subpackages(path: Path) -> set[str]:
    """Return the subpackages of cyclamenyoke that a module imports from."""
    subpackages = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = [node.module] if isinstance(node, ast.ImportFrom) else []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            if name and name.startswith("cyclamenyoke."):
                subpackages.add(name.split(".")[1])
    return subpackages


def test_import_direction():
    for subpackage, allowed in ALLOWED_IMPORTS.items():
        for path in (ROOT / subpackage).glob("*.py"):
            assert imported_subpackages(path) <= allowed, path


def test_core_does_no_io():
    forbidden = {"asyncio", "socket", "time", "httpx", "pynng", "logbook", "secrets"}
    for path in (ROOT / "core").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                names = {alias.name.split(".")[0] for alias in node.names}
                assert not names & forbidden, path


def test_only_gateway_and_node_import_the_platform():
    importers = {"daemon/gateway.py", "daemon/node.py"}
    for path in ROOT.rglob("*.py"):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith("platform/") or name in importers:
            continue
        assert "platform" not in imported_subpackages(path), name


def test_platform_wire_names_stay_in_the_platform_package():
    names = ("X-Target-Instance", "X-Not-Executed", "kv-txn", "kv-watch", "NODE_FILE")
    for path in ROOT.rglob("*.py"):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith(("platform/", "standins/")):
            continue
        text = path.read_text()
        assert not any(each in text for each in names), name


def test_platform_does_not_import_the_daemon():
    for path in (ROOT / "platform").glob("*.py"):
        allowed = {"platform", "adapters", "ports", "core", "exceptions"}
        assert imported_subpackages(path) <= allowed, path
