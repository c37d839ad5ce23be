"""The rules on retries: BUDGET."""

from bisect import bisect_right
from dataclasses import dataclass
from math import inf

from process_soak.observations import LATE, Findings, Observations
from process_soak.record import Event

MAX_OVER_ATTEMPTS = 3
"""Requests that may run on more engines than their route allows."""


MAX_WRONG_DEADLINES = 20

MAX_WRONG_DEADLINE_SHARE = 1 / 5


@dataclass(slots=True)
class Window:
    """A window of the retry budget."""

    since: float
    repeats: int
    requests: int
    allowed: float

    @property
    def used(self) -> float:
        """The share of what is allowed."""
        if not self.allowed:
            return inf if self.repeats else 0.0
        return self.repeats / self.allowed


def check_budget(seen: Observations) -> Findings:
    """BUDGET: arrivals beyond the first of each request, in any window."""
    for service in seen.services:
        worst = worst_window(seen, service)
        if worst is not None and worst.repeats > worst.allowed:
            yield (
                f"BUDGET: {service}: {worst.repeats} repeats from {worst.since:.2f}, "
                f"allowed {worst.allowed:.1f} for {worst.requests} requests"
            )


def worst_window(seen: Observations, service: str) -> Window | None:
    """Return the window in which a service came nearest to its retry budget."""
    bounds, length = seen.bounds, seen.bounds.retry_window
    shifts = (0.0, length, length / 2)
    # Probes may have no route to the service.
    of_service = [
        each
        for each in seen.requests.values()
        if each.sent.service == service and (each.arrivals or not each.is_probe)
    ]
    sent = sorted(each.sent.at for each in of_service)
    repeats = sorted(
        arrival.at
        for each in of_service
        for arrival in sorted(each.arrivals, key=lambda event: event.at)[1:]
    )
    if not repeats:
        return None

    def count(times: list[float], since: float) -> int:
        return bisect_right(times, since + length) - bisect_right(times, since)

    def window(since: float) -> Window:
        requests = max(count(sent, since - shift) for shift in shifts)
        allowed = bounds.retry_ratio * requests + bounds.retry_slack
        return Window(since, count(repeats, since), requests, allowed)

    # Between these starts a window only loses repeats or gains requests.
    starts = [at - length for at in repeats]
    starts += [at + shift for at in sent for shift in shifts]
    return max((window(since) for since in starts), key=lambda each: each.used)


def check_attempts(seen: Observations) -> Findings:
    """BUDGET: a request runs on more engines than its route allows."""
    over = []
    for id_, request in seen.requests.items():
        until = request.ended.at if request.ended else inf
        engines = {run.process for run in request.runs}
        counted = [each for each in engines if not seen.has_ended(each, until)]
        if len(counted) > (1 if request.sent.kind == "unsafe" else 2):
            over.append(id_)
    if len(over) > MAX_OVER_ATTEMPTS:
        yield f"BUDGET: {len(over)} requests run on too many engines: {over[:4]}"


def check_deadlines(seen: Observations) -> Findings:
    """BUDGET: engines are handed more time than is left."""
    wrong, counted = [], 0
    for id_, request in seen.requests.items():
        if request.sent.kind == "streaming":
            continue
        arrivals = sorted(request.arrivals, key=lambda event: event.at)
        for arrival in arrivals:
            span = request.sent.at, arrival.at
            if not seen.is_in_touch(request.sent.gateway, *span):
                continue
            if not seen.is_sound(arrival.process, *span):
                # One that was frozen reads late what was sent in time.
                continue
            is_late = arrival.at > arrivals[0].at + LATE
            is_wrong = _has_wrong_deadline(request.sent, arrivals[0], arrival, is_late)
            counted += is_late or is_wrong
            if is_wrong:
                wrong.append(id_)
    is_often = len(wrong) > MAX_WRONG_DEADLINE_SHARE * counted
    if len(wrong) > MAX_WRONG_DEADLINES and is_often:
        yield f"BUDGET: {len(wrong)} wrong deadlines, of {counted}: {wrong[:4]}"


def _has_wrong_deadline(
    sent: Event, first: Event, arrival: Event, is_late: bool
) -> bool:
    if not arrival.deadline:
        return True
    if arrival.deadline - arrival.at > sent.deadline - sent.at + LATE:
        return True
    return is_late and arrival.deadline > max(first.deadline, sent.deadline) + LATE
