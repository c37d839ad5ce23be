"""The rules on callers, engines and gateways that leave: GONE, DRAIN."""

from math import inf

from process_soak.observations import LATE, Findings, Observations, Request
from process_soak.record import Event

MAX_AFTER_CLOSE = 3
"""Requests that may reach engines late after their callers have gone."""

MAX_AT_WORK_SHARE = 1 / 4
"""Share of requests that engines may still be at work on late after that."""

READY_AFTER_STOP = 4.0
"""Seconds after SIGTERM when a gateway may no longer count as ready."""

MAX_READY_AFTER_STOP = 1

MAX_READY_SHARE = 1 / 4


def check_gone(seen: Observations) -> Findings:
    """GONE: engines get, or work on, requests whose callers have gone."""
    late, at_work, would_last = [], [], 0
    for id_, request in seen.requests.items():
        ended = request.ended
        if ended is None or ended.result not in ("left", "gave_up"):
            continue
        late += [
            id_ for each in request.arrivals if _is_after_close(seen, request, each)
        ]
        if request.sent.kind == "unsafe":
            continue
        for run in request.runs:
            end = request.end_at_engine(run)
            if _would_last(seen, request, run, end):
                would_last += 1
                if end is None or end.at > ended.at + LATE:
                    at_work.append(id_)
    if len(late) > MAX_AFTER_CLOSE:
        yield f"GONE: {len(late)} requests of callers that had gone: {late[:4]}"
    if len(at_work) > MAX_AT_WORK_SHARE * would_last:
        yield f"GONE: at work on {len(at_work)} of {would_last}: {at_work[:4]}"


def _is_after_close(seen: Observations, request: Request, arrival: Event) -> bool:
    closed_at = request.ended.at
    if arrival.at <= closed_at + LATE or _is_held_up(seen, arrival):
        return False
    return seen.is_in_touch(request.sent.gateway, closed_at, arrival.at)


def _is_held_up(seen: Observations, arrival: Event) -> bool:
    """Return whether an engine's trouble may have made an arrival late."""
    since = arrival.at - seen.bounds.stability
    return not seen.is_sound(arrival.process, since, arrival.at)


def _would_last(
    seen: Observations, request: Request, run: Event, end: Event | None
) -> bool:
    """Return whether an engine was at work at the close, and would be late after it."""
    closed_at, counted_at = request.ended.at, request.ended.at + LATE
    if run.at > closed_at or (end is not None and end.at <= closed_at):
        return False
    if min(run.until, run.deadline or inf) <= counted_at:
        return False
    is_sound = seen.is_sound(run.process, run.at, counted_at)
    return is_sound and seen.is_in_touch(request.sent.gateway, closed_at, counted_at)


def check_drain(seen: Observations) -> Findings:
    """DRAIN: a request reaches an engine long after it was known to leave."""
    for id_, request in seen.requests.items():
        sent = request.sent
        for arrival in request.arrivals:
            known_at = seen.leaving_at.get(arrival.process, inf)
            if arrival.at <= known_at + seen.bounds.drain or arrival.status == 421:
                continue
            if not seen.is_core_stable(known_at, arrival.at):
                continue
            is_in_touch = seen.is_in_touch(sent.gateway, sent.at, arrival.at)
            if is_in_touch and not _is_held_up(seen, arrival):
                after = arrival.at - known_at
                yield f"DRAIN: {id_} at {arrival.process} {after:.2f} s after its leave"


def check_readiness(seen: Observations) -> Findings:
    """DRAIN: gateways count as ready long after SIGTERM."""
    ready, still = 0, []
    for gateway, disruptions in seen.gateways.items():
        for stop in disruptions.stops:
            if not _is_ready(seen, gateway, stop.at):
                continue
            ready += 1
            counted_at = stop.at + READY_AFTER_STOP
            has_ended = any(
                event.process == gateway and stop.at <= event.at <= counted_at
                for event in seen.exits
            )
            if not has_ended and _is_ready(seen, gateway, counted_at):
                still.append(gateway)
    if len(still) > MAX_READY_AFTER_STOP and len(still) > MAX_READY_SHARE * ready:
        yield f"DRAIN: {len(still)} of {ready} ready 4 s after SIGTERM: {still}"


def _is_ready(seen: Observations, gateway: str, at: float) -> bool:
    """Return whether a gateway counts as ready for the platform at a time."""
    is_ready, misses = False, 0
    for event in seen.readiness[gateway]:
        if event.at > at:
            break
        misses = 0 if event.status == 200 else misses + 1
        is_ready = misses == 0 or (is_ready and misses < 2)
    return is_ready
