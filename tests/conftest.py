"""Marks the tests that KNOWN-RED.txt names as expected failures and prints them.

Also has the fixtures that several files use.
"""

from pathlib import Path

import pytest

from cyclamenyoke.adapters.logs import Log

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures() -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt names."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.startswith("tests/") and "::" in line]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = set(known_failures())
    for item in items:
        if item.nodeid in known:
            # The test still runs; its failure does not fail the run.
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name in known_failures():
        terminalreporter.write_line(f"known red: {name}")


@pytest.fixture
def lines(monkeypatch) -> list[dict]:
    """Return the list to which the log lines are added."""
    collected: list[dict] = []

    def collect(self, message, **fields):
        collected.append({"message": message, **fields})

    monkeypatch.setattr(Log, "info", collect)
    return collected
