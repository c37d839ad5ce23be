"""The rule on proper requests that are refused as if they were wrong: DENIED."""

from collections import Counter
from collections.abc import Iterator

from process_soak.callers import DENIALS, PROMISES
from process_soak.observations import Findings, Observations, Request, Version

MAX_DENIED = 5

MAX_DENIED_SHARE = 1 / 500

MAX_DENIED_OUT_OF_TOUCH = 10


def check_denied(seen: Observations) -> Findings:
    """DENIED: proper requests are refused for good."""
    denied, out_of_touch = [], []
    for id_, request in _refused(seen):
        if _is_in_touch(seen, request):
            if _is_allowed(request, _versions(seen, request)):
                denied.append(id_)
        elif request.ended.status in DENIALS and _is_allowed(request, seen.versions):
            out_of_touch.append(id_)
    allowed = MAX_DENIED + MAX_DENIED_SHARE * len(seen.requests)
    if len(denied) + len(out_of_touch) > allowed:
        yield f"DENIED: {len(denied)} and {len(out_of_touch)}: {denied[:4]}"
    elif len(out_of_touch) > MAX_DENIED_OUT_OF_TOUCH:
        yield f"DENIED: {len(out_of_touch)} out of touch: {out_of_touch[:4]}"


def count_denied(seen: Observations) -> Counter[str]:
    """Return how many proper requests were refused, by status, touch and version.

    ``by all``: every version of the run allows them. ``in force``: every version that
    may be in force does. ``newest``: every version does since the last one that the
    store had accepted before the request.
    """
    counts: Counter[str] = Counter()
    for _, request in _refused(seen):
        touch = "in touch" if _is_in_touch(seen, request) else "out of touch"
        versions = {
            "by all": seen.versions,
            "in force": _versions(seen, request),
            "newest": seen.versions_in_force(request, 0.0),
        }
        for name, allowing in versions.items():
            if _is_allowed(request, allowing):
                counts[f"{request.ended.status} {touch}, {name}"] += 1
                break
    return counts


def _refused(seen: Observations) -> Iterator[tuple[str, Request]]:
    """Return the requests that a gateway itself refused for good."""
    for id_, request in seen.requests.items():
        ended = request.ended
        if ended is None or ended.signer or ended.status in PROMISES:
            continue
        if ended.status // 100 in (3, 4):
            yield id_, request


def _is_in_touch(seen: Observations, request: Request) -> bool:
    sent = request.sent
    return seen.is_in_touch(sent.gateway, sent.at, request.ended.at)


def _versions(seen: Observations, request: Request) -> list[Version]:
    return seen.versions_in_force(request, seen.bounds.config_apply)


def _is_allowed(request: Request, versions: list[Version]) -> bool:
    """Return whether all versions allow a request; the usual ones if there are none."""
    if not versions:
        return not request.is_probe
    return all(version.allows(request.sent) for version in versions)
