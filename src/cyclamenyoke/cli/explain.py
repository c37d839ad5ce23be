"""Builds the timeline of one request from the gateways' log lines."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from cyclamenyoke.core.units import SECOND
from cyclamenyoke.exceptions import CyclamenyokeError

FAILURE_WINDOW = 2 * SECOND
"""Largest difference in seconds between the ends of two requests at which the failed
attempts of one are counted in the timeline of the other: about the time that a group of
engines needs to re-form."""

STATE_FIELDS = {
    "configuration in force": "version",
    "store lost": "detail",
    "store regained": "",
    "store era begun": "era",
    "experts are not looked after": "error",
}
"""Log messages that record the state of a node, with the field shown for each."""

SUCCESS_OUTCOME = "answered"


class RequestNotLogged(CyclamenyokeError):
    """No log line mentions the request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a gateway.

    :param at: Unix time in seconds, by the node's clock.
    """

    at: float
    node: str
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One event in the timeline of a request.

    :param age: seconds from the event to the end of the request; negative when later.
    :param what: the description shown to the operator.
    """

    age: float
    node: str
    what: str


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of all files, ordered by time.

    Text before the JSON object of a line and lines without one are skipped.
    """
    lines = [line for path in paths for line in _parse(path)]
    return sorted(lines, key=lambda line: line.at)


def explain(request: str, lines: Sequence[LogLine]) -> list[TimelineEvent]:
    """Return the timeline of a request, with the state of its node, oldest first.

    :raises RequestNotLogged: when no log line mentions the request.
    """
    final_lines = [line for line in lines if line.fields.get("request") == request]
    if not final_lines:
        raise RequestNotLogged(f"request {request} not found in {len(lines)} log lines")
    events: list[TimelineEvent] = []
    for final_line in final_lines:
        earlier_lines = [
            line
            for line in lines
            if line.node == final_line.node and line.at <= final_line.at
        ]
        events += _state_events(final_line, earlier_lines)
        events += _attempt_events(final_line, earlier_lines, lines)
        events.append(
            TimelineEvent(
                0.0,
                final_line.node,
                f"{final_line.message}: {_summary(final_line.fields)}",
            )
        )
    return events


def _parse(path: Path) -> Iterator[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for raw_line in file:
            start = raw_line.find('{"time"')
            if start < 0:
                continue
            try:
                fields = msgspec.json.decode(raw_line[start:])
                at = datetime.fromisoformat(fields["time"]).timestamp()
            except (msgspec.DecodeError, KeyError, ValueError):
                # A killed process can leave a truncated last line.
                continue
            node, message = fields.get("node", ""), fields.get("message", "")
            yield LogLine(at, node, message, fields)


def _state_events(
    final_line: LogLine, earlier_lines: Sequence[LogLine]
) -> list[TimelineEvent]:
    """Return the latest state message of each kind before the end of the request."""
    latest = {
        line.message: line for line in earlier_lines if line.message in STATE_FIELDS
    }
    ordered = sorted(latest.values(), key=lambda line: line.at)
    return [
        TimelineEvent(
            final_line.at - line.at,
            line.node,
            f"{line.message} {line.fields.get(STATE_FIELDS[line.message], '')}".strip(),
        )
        for line in ordered
    ]


def _attempt_events(
    final_line: LogLine, earlier_lines: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[TimelineEvent]:
    """Return each attempt with the last state logged for its endpoint."""
    events = []
    # Times of an attempt in seconds: "sent" from the request's arrival, "first" from
    # sending to the first byte of the response, or to the end if there was none, and
    # "ended" from sending to the end. Logs of earlier versions lack the last four, or
    # the status of the endpoint's response.
    duration = final_line.fields.get("seconds", 0.0)
    for endpoint, outcome, load, sent, first, *end in _attempts(final_line):
        state = "not changed in these logs"
        for line in earlier_lines:
            is_change = line.message == "endpoint changed"
            if is_change and line.fields.get("endpoint") == endpoint:
                state = f"{line.fields['state']} since {final_line.at - line.at:.3f} s"
        description = f"sent to {endpoint} ({state}, {load} requests there): {outcome}"
        description += f" after {first} s"
        if end:
            ended, event_count, detail, *status = end
            description += f", ended after {ended} s and {event_count} events"
            description += f", status {status[0]}" if any(status) else ""
            description += f" ({detail})" if detail else ""
        if outcome != SUCCESS_OUTCOME:
            other_failures = _count_other_failures(endpoint, final_line, lines)
            description += (
                f"; {other_failures} other failures there within {FAILURE_WINDOW:.0f} s"
            )
        events.append(TimelineEvent(duration - sent, final_line.node, description))
    return events


def _count_other_failures(
    endpoint: str, final_line: LogLine, lines: Sequence[LogLine]
) -> int:
    return sum(
        attempt[0] == endpoint and attempt[1] != SUCCESS_OUTCOME
        for line in lines
        if abs(line.at - final_line.at) <= FAILURE_WINDOW and line is not final_line
        for attempt in _attempts(line)
    )


def _attempts(line: LogLine) -> list[Any]:
    """Return the attempts of a gateway's line; an entry's line only has their ids."""
    return [each for each in line.fields.get("attempts", ()) if isinstance(each, list)]


def _summary(fields: dict[str, Any]) -> str:
    """Return the fields that explain the outcome, in the order of use to operators."""
    names = ["outcome", "caller_status", "detail", "route", "path", "customer"]
    names += ["shared_parts"]
    names += ["waited", "elapsed"]
    names += ["retry_after", "seconds", "config_version", "list_age"]
    known = ((name, fields.get(name)) for name in names)
    return ", ".join(
        f"{name} {value}" for name, value in known if value not in ("", None, [])
    )
