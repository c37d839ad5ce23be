"""Lets a run pass over the tests that KNOWN-RED.txt names, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the ids of the tests that failed for a fault that is not mended."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.startswith("tests/") and "::" in line]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    names = set(known_red())
    for item in items:
        if item.nodeid in names:
            # It still runs; its failure does not end the run as failed.
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name in known_red():
        terminalreporter.write_line(f"known red: {name}")
