"""Joins the gateways' log lines into the course of one request."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from cyclamenyoke.core.units import SECOND
from cyclamenyoke.exceptions import CyclamenyokeError

NEARBY = 2 * SECOND
"""Seconds around a failed attempt in which other failures at its endpoint are counted:
about what a group of engines takes to form again."""

BELIEFS = {
    "configuration in force": "version",
    "store lost": "detail",
    "store regained": "",
    "experts are not looked after": "error",
}
"""Messages that tell what a node believed, with the field that says most."""

ENDED_WELL = "answered"


class RequestNotLogged(CyclamenyokeError):
    """No line of the logs names the request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway.

    :param at: seconds since the epoch, by the node's clock.
    """

    at: float
    node: str
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One step of a request's course.

    :param age: seconds from what it tells to the request's end; negative for later.
    """

    age: float
    node: str
    what: str


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of all files in order of time.

    Text before a line's JSON object and lines without one are passed over.
    """
    lines = [line for path in paths for line in _parse(path)]
    return sorted(lines, key=lambda line: line.at)


def explain(request: str, lines: Sequence[LogLine]) -> list[TimelineEvent]:
    """Return the course of a request, with what its node believed, in order of time.

    :raises RequestNotLogged: when no line names it.
    """
    ends = [line for line in lines if line.fields.get("request") == request]
    if not ends:
        raise RequestNotLogged(f"request {request} is in none of {len(lines)} lines")
    steps: list[TimelineEvent] = []
    for end in ends:
        before = [x for x in lines if x.node == end.node and x.at <= end.at]
        steps += _beliefs(end, before)
        steps += _attempts(end, before, lines)
        steps.append(
            TimelineEvent(0.0, end.node, f"{end.message}: {_summary(end.fields)}")
        )
    return steps


def _parse(path: Path) -> Iterator[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find('{"time"')
            if start < 0:
                continue
            try:
                fields = msgspec.json.decode(text[start:])
                at = datetime.fromisoformat(fields["time"]).timestamp()
            except (msgspec.DecodeError, KeyError, ValueError):
                # Cut lines are usual where a process was killed.
                continue
            node, message = fields.get("node", ""), fields.get("message", "")
            yield LogLine(at, node, message, fields)


def _beliefs(end: LogLine, before: Sequence[LogLine]) -> list[TimelineEvent]:
    """Return the newest line of each belief that the node held."""
    newest = {line.message: line for line in before if line.message in BELIEFS}
    ordered = sorted(newest.values(), key=lambda line: line.at)
    return [
        TimelineEvent(
            end.at - line.at,
            line.node,
            f"{line.message} {line.fields.get(BELIEFS[line.message], '')}".strip(),
        )
        for line in ordered
    ]


def _attempts(
    end: LogLine, before: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[TimelineEvent]:
    """Return each attempt with what the node knew of its endpoint."""
    steps = []
    duration = end.fields.get("seconds", 0.0)
    for endpoint, outcome, load, sent, first in end.fields.get("attempts", ()):
        state = "not changed in these logs"
        for line in before:
            is_change = line.message == "endpoint changed"
            if is_change and line.fields.get("endpoint") == endpoint:
                state = f"{line.fields['state']} since {end.at - line.at:.3f} s"
        text = f"sent to {endpoint} ({state}, {load} requests there): {outcome}"
        text += f" after {first} s"
        if outcome != ENDED_WELL:
            others = _failures_nearby(endpoint, end, lines)
            text += f"; {others} other failures there within {NEARBY:.0f} s"
        steps.append(TimelineEvent(duration - sent, end.node, text))
    return steps


def _failures_nearby(endpoint: str, end: LogLine, lines: Sequence[LogLine]) -> int:
    return sum(
        attempt[0] == endpoint and attempt[1] != ENDED_WELL
        for line in lines
        if abs(line.at - end.at) <= NEARBY and line is not end
        for attempt in line.fields.get("attempts", ())
    )


def _summary(fields: dict[str, Any]) -> str:
    """Return what decided the request, in the order in which it is asked."""
    names = ["outcome", "detail", "route", "path", "customer", "waited", "elapsed"]
    names += ["retry_after", "seconds", "config_version", "list_age"]
    known = ((name, fields.get(name)) for name in names)
    return ", ".join(
        f"{name} {value}" for name, value in known if value not in ("", None)
    )
