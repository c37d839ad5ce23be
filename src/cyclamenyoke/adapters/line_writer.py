"""Writes log lines to a descriptor without ever waiting for its reader.

Lines are kept until the descriptor takes them. Once much is kept, ordinary lines are
dropped; urgent ones only at the limit. What was dropped is counted, and the count is
written as soon as the reader goes on.
"""

import asyncio
import os
import select
import stat
from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BYTES = 1024 * 1024
"""Bytes kept for a reader that has stopped; some ten seconds of a busy node's lines."""

ORDINARY_SHARE = 0.5
"""Part of the kept bytes that ordinary lines may fill; the rest is for urgent ones."""

BATCH = 64 * 1024
"""Bytes handed over in one call: the usual size of a pipe."""

CLOSE_TIME = 0.5
"""Seconds for which the end of a process waits for the reader."""


class LineWriter:
    """The output of one process's log.

    Pipes, sockets and terminals are switched to non-blocking; files never block.

    :param descriptor: where lines go.
    :param describe_drops: returns the line that reports a number of dropped lines.
    """

    def __init__(self, descriptor: int, describe_drops: Callable[[int], bytes]) -> None:
        self._descriptor = descriptor
        self._describe_drops = describe_drops
        self._lines: deque[bytes] = deque()
        self._kept = 0
        self._dropped = 0
        self._is_scheduled = False
        self._watching: asyncio.AbstractEventLoop | None = None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Lines dropped since the last report of it."""
        return self._dropped

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._kept

    def write(self, line: bytes, is_urgent: bool) -> None:
        """Take one line, with its newline.

        :param is_urgent: whether it goes before ordinary lines when space runs out.
        """
        share = 1.0 if is_urgent else ORDINARY_SHARE
        if self._kept + len(line) > share * MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._kept += len(line)
        if self._is_scheduled or self._watching is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._flush()
            return
        self._is_scheduled = True
        loop.call_soon(self._flush_later, loop)

    def close(self) -> None:
        """Hand over what is kept, as far as the reader takes it in a short time."""
        self._stop_watching()
        self._flush()
        if self._lines:
            select.select([], [self._descriptor], [], CLOSE_TIME)
            self._flush()

    def _flush_later(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._flush()
        if self._lines and self._watching is None:
            self._watching = loop
            loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        self._flush()
        if not self._lines:
            self._stop_watching()

    def _stop_watching(self) -> None:
        if self._watching is not None and not self._watching.is_closed():
            self._watching.remove_writer(self._descriptor)
        self._watching = None

    def _flush(self) -> None:
        """Hand over what the descriptor takes now."""
        while self._lines:
            batch = self._next_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone for good: nobody can be told.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._kept = 0
                return
            self._take_off(written)
            if written < len(batch):
                return
            if self._dropped:
                self._report_drops()

    def _next_batch(self) -> bytes:
        size = 0
        batch = []
        for line in self._lines:
            batch.append(line)
            size += len(line)
            if size >= BATCH:
                break
        return b"".join(batch)

    def _take_off(self, written: int) -> None:
        self._kept -= written
        while written:
            line = self._lines.popleft()
            if len(line) > written:
                # A line that was cut goes on where it was cut.
                self._lines.appendleft(line[written:])
                return
            written -= len(line)

    def _report_drops(self) -> None:
        line = self._describe_drops(self._dropped)
        self._dropped = 0
        self._lines.append(line)
        self._kept += len(line)
