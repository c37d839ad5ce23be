"""Signals of a process, from its first instructions to its last.

Until a process has set a handler, SIGTERM and SIGHUP end it, and an event loop removes
its handlers when it closes. So they are set before anything large is imported, what
arrives early is kept, and they stay until the process has ended.

Imports no more than it needs, since signals end the process until it is loaded.
"""

import signal
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
        self._actions: Mapping[signal.Signals, Callable[[], None]] = {}
        self._early: set[signal.Signals] = set()

    def install(self) -> None:
        """Handle the signals from now on, also if the parent had blocked them."""
        for number in HANDLED:
            signal.signal(number, self._on_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)

    def connect(
        self,
        loop: "AbstractEventLoop",
        actions: "Mapping[signal.Signals, Callable[[], None]]",
    ) -> None:
        """Act on signals from now on, and on those that came before.

        :param actions: called in the event loop.
        """
        self._loop, self._actions = loop, actions
        early, self._early = self._early, set()
        for number in early:
            self._on_signal(number, None)

    def disconnect(self) -> None:
        """Ignore signals from now on, since the process is about to end.

        The interpreter resets handlers of its own just before it ends.
        """
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        name = signal.Signals(number)
        if self._loop is None:
            self._early.add(name)
        elif name in self._actions:
            self._loop.call_soon_threadsafe(self._actions[name])
