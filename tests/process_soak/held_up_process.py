"""A gateway whose event loop is held up now and then, as where processors are busy.

The process counts as running all the while: no signal is sent. Run with
``--gateway process_soak.held_up_process``.
"""

import asyncio
import contextlib
import os
import time
from random import Random

from cyclamenyoke.daemon.gateway import Gateway
from cyclamenyoke.daemon.gateway_process import main

MIN_INTERVAL, MAX_INTERVAL = 1.0, 6.0
"""Seconds between two times in which the event loop is held up."""

MIN_HOLD, MAX_HOLD = 0.2, 1.3
"""Seconds for which it is held up."""


async def hold_up(random: Random) -> None:
    """Hold the event loop up again and again until cancelled."""
    while True:
        await asyncio.sleep(random.uniform(MIN_INTERVAL, MAX_INTERVAL))
        time.sleep(random.uniform(MIN_HOLD, MAX_HOLD))


def install() -> None:
    """Hold the event loops of gateways up while they run."""
    run = Gateway.run

    async def run_held_up(self: Gateway) -> None:
        holding = asyncio.create_task(hold_up(Random(os.getpid())))
        try:
            await run(self)
        finally:
            holding.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await holding

    Gateway.run = run_held_up


if __name__ == "__main__":
    install()
    main()
