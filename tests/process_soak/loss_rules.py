"""The rules on requests that are cut: LOST; and processes that end."""

from collections import Counter
from collections.abc import Iterator
from signal import SIGTERM

from process_soak.observations import (
    END_DURING_DISRUPTION,
    Findings,
    Observations,
    Request,
    Stop,
)
from process_soak.record import Event

MAX_LOST_ANY_TIME = 3
"""Requests of kept connections that may be lost at any time."""

LAST_SHARE_OF_GRACE = 1 / 6
"""Part of the grace in which requests may be cut that engines are at work on."""

LATE_REQUEST = 3.0
"""Seconds after SIGTERM; later requests may not be cut even at the end of the grace."""

AFTER_GRACE = 1.0
"""Seconds after the grace in which losses still belong to the stop."""

AFTER_CONFIGURATION = 1.0
"""Seconds after a configuration must be in force in which losses still belong to it."""

MAX_CUT_RATIO = 3
"""How many times as often requests may be cut beside a configuration."""

LONG_SHARE = 0.7
"""Share of its time after which a request may be cut beside a configuration."""


def check_lost_at_any_time(seen: Observations) -> Findings:
    """LOST: passed on from a kept connection to a sound engine, and cut."""
    lost = [
        request.sent.request
        for request in _cut_requests(seen)
        if request.sent.use > 0
        and seen.is_running(request.sent.gateway, request.sent.at, request.ended.at)
        and _was_passed_on(seen, request)
        and not _may_be_cut(seen, request)
    ]
    if len(lost) > MAX_LOST_ANY_TIME:
        yield f"LOST: {len(lost)} requests of kept connections: {lost[:6]}"


def check_lost_in_planned_work(seen: Observations) -> Findings:
    """LOST: a planned stop or a reload that cuts a request."""
    for request in _lost_requests(seen):
        ended = request.ended
        stop = seen.stop_of(request)
        if _is_stopping(seen, request):
            after = f" {ended.at - stop.at:.2f} s after SIGTERM"
            yield f"LOST: {_describe_cut(request)}{after}"
        elif _is_reloading(seen, request):
            yield f"LOST: {_describe_cut(request)} after SIGHUP"


def _is_stopping(seen: Observations, request: Request) -> bool:
    stop = seen.stop_of(request)
    ends_at = seen.bounds.grace + AFTER_GRACE
    return stop is not None and request.ended.at <= stop.at + ends_at


def _is_reloading(seen: Observations, request: Request) -> bool:
    return any(
        at <= request.ended.at and request.sent.at <= at + seen.bounds.config_apply
        for at in seen.reloads[request.sent.gateway]
    )


def check_lost_beside_configuration(seen: Observations) -> Findings:
    """LOST: requests that are cut more often while a configuration is applied."""
    lost = [
        request
        for request in _lost_requests(seen)
        if not _is_stopping(seen, request) and not _is_reloading(seen, request)
    ]
    for gateway in sorted({request.sent.gateway for request in lost}):
        ends = Counter(
            _is_configuring(seen, request.ended.at)
            for request in seen.requests.values()
            if request.sent.gateway == gateway and request.ended is not None
        )
        there = [request for request in lost if request.sent.gateway == gateway]
        cuts = Counter(_is_configuring(seen, request.ended.at) for request in there)
        if cuts[True] * ends[False] <= MAX_CUT_RATIO * cuts[False] * ends[True]:
            continue
        for request in there:
            lasts_until = min(request.sent.deadline, request.times_out_at)
            used = request.ended.at - request.sent.at
            is_long = used >= LONG_SHARE * (lasts_until - request.sent.at)
            if _is_configuring(seen, request.ended.at) and not is_long:
                yield f"LOST: {_describe_cut(request)} beside a configuration"


def _is_configuring(seen: Observations, at: float) -> bool:
    after = seen.bounds.config_apply + AFTER_CONFIGURATION
    return any(
        version.sent_at <= at <= version.acknowledged_at + after
        for version in seen.versions
    )


def _describe_cut(request: Request) -> str:
    sent, ended = request.sent, request.ended
    return (
        f"{sent.kind} {sent.request} at {sent.gateway} cut "
        f"{ended.at - sent.at:.2f} s after it was sent, use {sent.use}, "
        f"{'passed on' if request.arrivals else 'not passed on'}"
    )


def _lost_requests(seen: Observations) -> Iterator[Request]:
    """Return the requests that planned work is not allowed to cut."""
    for request in _cut_requests(seen):
        sent, ended = request.sent, request.ended
        if not seen.is_undisturbed(sent.gateway, sent.at, ended.at):
            continue
        is_late = ended.at > sent.at + seen.bounds.loss_slack
        if not is_late and not _was_passed_on(seen, request):
            continue
        if not _may_be_cut(seen, request):
            yield request


def _cut_requests(seen: Observations) -> Iterator[Request]:
    """Return the requests that ended without a complete answer, at no one's fault."""
    for request in seen.requests.values():
        sent, ended = request.sent, request.ended
        if ended is None or ended.result != "cut":
            continue
        if ended.at >= min(sent.deadline, request.times_out_at):
            continue
        if not _engine_broke_off(seen, request):
            yield request


def _engine_broke_off(seen: Observations, request: Request) -> bool:
    """Return whether the last engine that a request was passed on to broke off."""
    if not request.arrivals:
        return False
    last = max(request.arrivals, key=lambda event: event.at)
    end = request.end_at_engine(last)
    if end is None:
        return seen.has_ended(last.process, request.ended.at)
    return end.result == "reset"


def _was_passed_on(seen: Observations, request: Request) -> bool:
    return any(
        seen.is_sound(each.process, each.at, request.ended.at)
        for each in request.arrivals
    )


def _may_be_cut(seen: Observations, request: Request) -> bool:
    """Return whether it was cut late in the grace while its engine was at work."""
    sent, ended, grace = request.sent, request.ended, seen.bounds.grace
    stop: Stop | None = seen.stop_of(request)
    if stop is None or sent.at > stop.at + LATE_REQUEST:
        return False
    last_part = stop.at + grace * (1 - LAST_SHARE_OF_GRACE)
    return ended.at >= last_part and any(
        _works_at(seen, request, each, last_part) for each in request.arrivals
    )


def _works_at(
    seen: Observations, request: Request, arrival: Event, last_part: float
) -> bool:
    """Return whether an engine was at work in a last part of a request's time.

    It is if it has begun before the end and neither ended nor been given up before that
    part. One that did not run can't tell when it was given up; then the next arrival
    elsewhere does.
    """
    begin, end = request.begin_at_engine(arrival), request.end_at_engine(arrival)
    if begin is None or begin.at > request.ended.at:
        return False
    if end is not None and end.at < last_part:
        return False
    if seen.is_sound(arrival.process, arrival.at, request.ended.at):
        return True
    return not any(
        arrival.at < each.at < last_part
        and seen.is_sound(each.process, request.sent.at, each.at)
        for each in request.arrivals
    )


def check_ends(seen: Observations) -> Findings:
    """A process that ends otherwise than by its stop or a kill."""
    killed, stopped = (
        {
            (event.process, event.incarnation)
            for event in seen.signals
            if event.result == name
        }
        for name in ("SIGKILL", "SIGTERM")
    )
    for event in seen.exits:
        start = (event.process, event.incarnation)
        if start in killed:
            continue
        if start in stopped and (not event.status or _ended_unused(seen, event)):
            continue
        yield f"ENDED: {event.process} ended with {event.status} at {event.at:.2f}"


def _ended_unused(seen: Observations, end: Event) -> bool:
    """Return whether a stop ended a process by its signal before it had a caller.

    The interpreter has to start before a process can handle signals.
    """
    starts = [at for at in seen.starts[end.process] if at <= end.at]
    started_at = max(starts, default=0.0)
    if end.at > started_at + END_DURING_DISRUPTION:
        return False
    has_caller = any(
        request.sent.gateway == end.process
        and request.ended is not None
        and request.ended.result in ("answered", "cut")
        and started_at <= request.sent.at <= end.at
        for request in seen.requests.values()
    )
    return end.status == -SIGTERM and not has_caller
