"""Text output of the operators' client."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from cyclamenyoke.core.burn_rate import WINDOWS, BurnRateRow
from cyclamenyoke.daemon.config_sync import GENERATION_UNKNOWN
from cyclamenyoke.daemon.operators import Status


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as text with aligned columns.

    >>> print(table(["name", "n"], [["a", 10]]))
    name  n
    a     10
    """
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def status_report(status: Status) -> str:
    """Return the state of the system as text."""
    running = sum(node.generation == status.generation for node in status.nodes)
    summary = (
        f"entry {status.entry}: generation {status.generation} in force,"
        f" run by {running} of {len(status.nodes)} nodes,"
        f" {status.requests} requests in progress"
    )
    nodes = table(
        ["node", "role", "data centre", "generation", "state"],
        [
            [
                node.name,
                node.role,
                node.data_centre,
                node.generation,
                _node_state(node.leaving, node.generation != GENERATION_UNKNOWN),
            ]
            for node in status.nodes
        ],
    )
    agents = table(
        ["agent", "service", "state", "circuit", "in flight", "latency"],
        [
            [
                agent.name,
                agent.service,
                _agent_state(agent.connected, agent.leaving),
                agent.circuit,
                agent.in_flight,
                f"{agent.latency * 1000:.1f}ms",
            ]
            for agent in status.agents
        ],
    )
    return f"{summary}\n\n{nodes}\n\n{agents}"


def burn_report(rows: Sequence[BurnRateRow]) -> str:
    """Return the burn rates as a table."""
    windows = list(WINDOWS)
    return table(
        [
            "service",
            "customer",
            "objective",
            *windows,
            *(f"calls {w}" for w in windows),
        ],
        [
            [
                row.service,
                row.customer,
                f"{row.objective:g}",
                *(f"{row.burn[window]:.2f}" for window in windows),
                *(row.calls[window] for window in windows),
            ]
            for row in rows
        ],
    )


def merge_burn_rates(rows: Iterable[BurnRateRow]) -> list[BurnRateRow]:
    """Merge the rows of several entries into one per service and customer.

    Each entry's burn rate is weighted by the number of its calls.
    """
    grouped: dict[tuple[str, str], list[BurnRateRow]] = defaultdict(list)
    for row in rows:
        grouped[row.service, row.customer].append(row)
    return [_merge_rows(group) for _, group in sorted(grouped.items())]


def _merge_rows(group: Sequence[BurnRateRow]) -> BurnRateRow:
    calls = {window: sum(row.calls[window] for row in group) for window in WINDOWS}
    burn = {
        window: round(
            sum(row.burn[window] * row.calls[window] for row in group)
            / max(1, calls[window]),
            3,
        )
        for window in WINDOWS
    }
    first = group[0]
    return BurnRateRow(first.service, first.customer, first.objective, burn, calls)


def _node_state(is_draining: bool, responds: bool) -> str:
    if is_draining:
        return "leaving"
    return "ok" if responds else "no answer"


def _agent_state(is_connected: bool, is_draining: bool) -> str:
    if is_draining:
        return "leaving"
    return "connected" if is_connected else "no link"
