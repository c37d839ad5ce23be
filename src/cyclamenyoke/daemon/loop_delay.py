"""Measures how long the event loop keeps what is due waiting.

While one task or callback occupies the loop, requests of all callers wait, and
responses that have arrived look late, as if their endpoints were silent.
"""

import asyncio

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.units import MILLISECOND

SAMPLE_INTERVAL = 250 * MILLISECOND
"""Seconds between two samples."""

LOGGED_DELAY = 250 * MILLISECOND
"""Delay in seconds from which a sample is logged."""


async def measure_loop_delay(metrics: Metrics, log: Log) -> None:
    """Record delays of the event loop until cancelled.

    A process that was suspended meanwhile has the same delay.

    :param metrics: gets the histogram ``event_loop_delay``.
    :param log: gets a line for each long delay, in seconds.
    """
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + SAMPLE_INTERVAL
        await asyncio.sleep(SAMPLE_INTERVAL)
        delay = max(0.0, loop.time() - due_at)
        metrics.observe("event_loop_delay", delay)
        if delay >= LOGGED_DELAY:
            log.warning("event loop delayed", seconds=round(delay, 3))
