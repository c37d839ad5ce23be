"""The rules on what runs and what is answered.

These are TWICE, REFUSED, ROUTE, UNASKED, MIXED and ORDER.
"""

from math import inf

from process_soak.callers import PROMISES
from process_soak.engine import MISSTATING_STATUSES
from process_soak.observations import Findings, Observations, Request

ENGINE_STATUSES = {
    "answered": 200,
    "failed": 500,
    "expired": 504,
    **{f"misstated_{status}": status for status in MISSTATING_STATUSES},
}
"""Status with which an engine answers, by how its work ended."""


def check_runs(seen: Observations) -> Findings:
    """TWICE, REFUSED, ROUTE and UNASKED."""
    for event in seen.strangers:
        yield f"UNASKED: {event.request} at {event.process}"
    for id_, request in seen.requests.items():
        for run in request.runs:
            if run.service != request.sent.service:
                yield f"ROUTE: {id_} ran at {run.process}"
        if request.sent.kind != "unsafe":
            continue
        if len(request.runs) > 1:
            yield f"TWICE: {id_} ran {len(request.runs)} times"
        ended = request.ended
        if ended is not None and ended.status in PROMISES and request.runs:
            yield f"REFUSED: {id_} was answered {ended.status} and ran"


def check_answers(seen: Observations) -> Findings:
    """MIXED and ORDER: damaged answers, and answers that no engine gave."""
    for id_, request in seen.requests.items():
        ended = request.ended
        if ended is None:
            continue
        if ended.result == "mixed":
            yield f"MIXED: {id_}: {ended.detail}"
        if ended.result == "disordered":
            yield f"ORDER: {id_}: {ended.detail}"
        if ended.result != "answered":
            continue
        if ended.status // 100 == 2:
            yield from _check_success(seen, id_, request)
        elif ended.signer and not _gave(seen, request, {ended.status}, ended.signer):
            yield f"MIXED: {id_} failed with {ended.status}, signed {ended.signer}"


def _check_success(seen: Observations, id_: str, request: Request) -> Findings:
    signer = request.ended.signer
    if not any(run.process == signer for run in request.runs):
        yield f"MIXED: {id_} succeeded without a run at {signer or 'any engine'}"
    elif not _gave(seen, request, {200}):
        yield f"MIXED: {id_} succeeded and no engine answered it with success"


def _gave(
    seen: Observations, request: Request, statuses: set[int], signer: str = ""
) -> bool:
    """Return whether an engine gave an answer of one of the statuses.

    One that was killed may not have recorded what it gave.

    :param signer: the engine; any if empty.
    """
    for arrival in request.arrivals:
        if signer and arrival.process != signer:
            continue
        end = request.end_at_engine(arrival)
        status = ENGINE_STATUSES.get(end.result, 0) if end else arrival.status
        if status in statuses or (end is None and seen.has_ended(arrival.process, inf)):
            return True
    return False
