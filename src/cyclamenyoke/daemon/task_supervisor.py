"""Keeps a process's endless tasks running after errors that nobody expected.

Load: a value that a task can't handle, or a fault of the program. Ending the process
would break off all requests in progress, and the value would still be there after the
restart. So only the task starts again, after a pause. The error does not stay hidden:
it is logged with its traceback, counted, and shown as a gauge while the task fails.
"""

import asyncio
from collections.abc import Awaitable, Callable

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.ports.clock import Clock

INITIAL_PAUSE = 100 * MILLISECOND
"""Seconds after which a failed task starts again; doubled at each further failure."""

MAX_PAUSE = 2 * SECOND
"""Upper bound of the pause in seconds."""

RECOVERY_TIME = 5 * SECOND
"""Seconds for which a task must run before it no longer counts as failing."""


class TaskSupervisor:
    """Runs tasks, starts them again after errors, and reports these errors."""

    def __init__(self, clock: Clock, metrics: Metrics, log: Log) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        # By task: when it counts as running again if it does not fail before.
        self._recovered_at: dict[str, float] = {}

    @property
    def failing(self) -> dict[str, bool]:
        """By the name of each task that ever failed, whether it still does."""
        now = self._clock.now()
        return {task: now < at for task, at in self._recovered_at.items()}

    def report(self, task: str, error: BaseException, **fields: object) -> None:
        """Log and count an unexpected error.

        :param task: name of what failed, for the log and the metrics.
        :param fields: further fields of the log line.
        """
        self._metrics.count("unexpected_errors", task=task)
        self._log.failure("unexpected error", error, task=task, **fields)

    async def run_once(self, task: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run work that ends, and report an unexpected error of it."""
        try:
            await work()
        except Exception as error:
            self.report(task, error)

    async def run(self, task: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run endless work until cancelled, and start it again whenever it fails.

        :param work: called at each start; whatever must survive a failure is its
            owner's state.
        """
        pause = INITIAL_PAUSE
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.report(task, error)
            now = self._clock.now()
            if now >= self._recovered_at.get(task, now):
                pause = INITIAL_PAUSE
            self._recovered_at[task] = now + pause + RECOVERY_TIME
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE, 2 * pause)
