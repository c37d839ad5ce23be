"""Signals of a process, from its first instructions to its last.

Until a process has set a handler, SIGTERM and SIGHUP end it, and an event loop removes
its handlers when it closes. So they are set before anything large is imported, what
arrives early is kept, and they stay until the process has ended.

Imports no more than it needs, since signals end the process until it is loaded.
"""

import signal
import time
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable, Mapping

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class ProcessSignals:
    """Keeps signals until there is an event loop that acts on them."""

    def __init__(self) -> None:
        self._loop: AbstractEventLoop | None = None
        self._actions: Mapping[signal.Signals, Callable[[float], None]] = {}
        # By signal: when it first came.
        self._early: dict[signal.Signals, float] = {}

    def install(self) -> None:
        """Handle the signals from now on, also if the parent had blocked them."""
        for number in HANDLED:
            signal.signal(number, self._on_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)

    def connect(
        self,
        loop: "AbstractEventLoop",
        actions: "Mapping[signal.Signals, Callable[[float], None]]",
    ) -> None:
        """Act on signals from now on, and on those that came before.

        :param actions: called in the event loop with the time at which the signal came,
            in seconds since the VM booted.
        """
        self._actions, self._loop = actions, loop
        early, self._early = self._early, {}
        for name, received_at in early.items():
            self._act(name, received_at)

    def disconnect(self) -> None:
        """Ignore signals from now on, since the process is about to end.

        The interpreter resets handlers of its own just before it ends.
        """
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self._act(signal.Signals(number), time.clock_gettime(time.CLOCK_BOOTTIME))

    def _act(self, name: signal.Signals, received_at: float) -> None:
        if self._loop is None:
            self._early.setdefault(name, received_at)
        else:
            self._loop.call_soon_threadsafe(self._actions[name], received_at)
