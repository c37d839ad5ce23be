"""Ends of engines, and how many separate events they are.

Load: all engines of a rack or a data centre end at once. Each of them had requests in
flight, and what these have in common is no more suspect for ten ends than for one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf

from cyclamenyoke.core.units import MILLISECOND, SECOND

SIMULTANEOUS_ENDS = 50 * MILLISECOND
"""Seconds within which ends count as one wherever they are."""

DATA_CENTRE_FAILURE = 1 * SECOND
"""Seconds within which ends in one data centre count as one. Nodes learn at different
times that its engines have ended together."""

SEPARATION = 2 * SIMULTANEOUS_ENDS
"""Seconds by which ends that followed from each other are kept apart. The difference
allows for updates between nodes that take different times."""


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """The end of one engine.

    :param at: time in seconds by the node's clock.
    :param data_centre: where it may have failed together with others; empty if the end
        followed an earlier one, or if no node has told.
    """

    at: float
    data_centre: str = ""


def latest_end(ends: Iterable[EngineEnd]) -> float:
    """Return the time of the last one; minus infinity for none."""
    return max((end.at for end in ends), default=-inf)


def count_events(ends: Iterable[EngineEnd], counts_unplaced: bool = False) -> int:
    """Return how many separate events have ended engines.

    :param counts_unplaced: whether each end without a data centre is one.

    >>> count_events([EngineEnd(1.0, "dc-1"), EngineEnd(1.5, "dc-1")])
    1
    >>> count_events([EngineEnd(1.0, "dc-1"), EngineEnd(1.5, "dc-2")])
    2
    """
    count, event_at = 0, -inf
    failed_at: dict[str, float] = {}
    for end in sorted(ends, key=lambda end: end.at):
        failure_at = failed_at.get(end.data_centre, -inf)
        is_of_failure = end.at <= failure_at + DATA_CENTRE_FAILURE
        is_apart = end.at > event_at + SIMULTANEOUS_ENDS
        if counts_unplaced and not end.data_centre:
            is_apart = True
        if is_apart and not is_of_failure:
            count, event_at = count + 1, end.at
        if end.data_centre and not is_of_failure:
            failed_at[end.data_centre] = end.at
    return count


def place_end(
    earlier: Iterable[EngineEnd],
    last_known_at: float,
    sent_at: float,
    now: float,
    data_centre: str,
) -> EngineEnd:
    """Return how an end that was just seen is kept.

    The request of an end that followed another one was not in flight when that
    happened, so the two are separate however close they are.

    :param earlier: the ends under the same requests.
    :param last_known_at: when this node learned of the last one of them.
    :param sent_at: when the request was sent to the engine that ended.
    :param data_centre: the engine's.
    """
    if sent_at < last_known_at:
        return EngineEnd(now, data_centre)
    latest = latest_end(earlier)
    if now > latest + DATA_CENTRE_FAILURE:
        return EngineEnd(now, data_centre)
    return EngineEnd(max(now, latest + SEPARATION))


def least_telling(ends: Mapping[str, EngineEnd], counts_unplaced: bool = False) -> str:
    """Return the key of the end that says least, the oldest one of those.

    That is one without which there are as many events, or else any.

    :param counts_unplaced: see :func:`count_events`.
    """
    by_age = sorted(ends, key=lambda key: (ends[key].at, key))
    count = count_events(ends.values(), counts_unplaced)
    for key in by_age:
        others = (end for other, end in ends.items() if other != key)
        if count_events(others, counts_unplaced) == count:
            return key
    return by_age[0]
