"""Which nodes watch the platform's store, for how long, and how often they retry."""

from cyclamenyoke.core.node_settings import Bounds
from cyclamenyoke.core.units import MILLISECOND, SECOND

CONFIG_WATCHERS = 3
"""Nodes that watch the configuration: few, because each call to the store costs money,
but enough that one still informs the others if one is partitioned and one hangs."""

WATCH_TIMEOUT = 10 * SECOND
"""Seconds after which a watch returns without a change, at nodes other than the
first-ranked one."""

WATCH_TIMEOUTS_PER_CONFIG_APPLY = 2
"""The watch of the first-ranked node times out after ``config_apply`` divided by this.
A dead connection is only noticed then, and the node can still retry in time."""

INITIAL_BACKOFF = 200 * MILLISECOND
"""Seconds before a failed call to the store is retried; doubled at each failure."""

MAX_BACKOFF = 1 * SECOND
"""Upper bound in seconds of the backoff, before jitter; half of a ``config_apply`` of
2 s."""

POLL_INTERVAL = 50 * MILLISECOND
"""Interval in seconds at which a task checks whether it has to read the store."""


def watch_duration(rank: int, bounds: Bounds) -> float:
    """Return after how many seconds a watch returns without a change.

    :param rank: the node's rank, as returned by :meth:`Peers.rank`.
    """
    if rank:
        return WATCH_TIMEOUT
    return bounds.config_apply / WATCH_TIMEOUTS_PER_CONFIG_APPLY
