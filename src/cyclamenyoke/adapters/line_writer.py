"""Writes log lines to a file descriptor without blocking on its reader.

Lines are buffered until the descriptor accepts them. Ordinary lines are dropped once
the buffer is partly full, urgent ones only when it is full. Dropped lines are counted,
and the count is written as soon as the reader continues.
"""

import asyncio
import os
import select
import stat
import time
from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BYTES = 1024 * 1024
"""Maximum number of bytes that are buffered while the reader is stalled; holds about
ten seconds of a busy node's log lines."""

ORDINARY_FRACTION = 0.5
"""Fraction of the buffer for ordinary lines; the rest is reserved for urgent ones."""

BATCH_BYTES = 64 * 1024
"""Size in bytes at which a batch of lines is written, the default capacity of a pipe.
The last line of a batch may exceed it."""

CLOSE_TIMEOUT = 0.5
"""Longest time in seconds for which ``close`` waits for the reader."""


class LineWriter:
    """The log output of one process.

    Pipes, sockets and terminals are switched to non-blocking mode; regular files never
    block.

    :param descriptor: file descriptor that lines are written to.
    :param format_drop_report: returns the line that reports a number of dropped lines.
    """

    def __init__(
        self, descriptor: int, format_drop_report: Callable[[int], bytes]
    ) -> None:
        self._descriptor = descriptor
        self._format_drop_report = format_drop_report
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._is_scheduled = False
        self._watching_loop: asyncio.AbstractEventLoop | None = None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last drop report."""
        return self._dropped_lines

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered."""
        return self._buffered_bytes

    def write(self, line: bytes, is_urgent: bool) -> None:
        """Buffer one line, or drop it if its part of the buffer is full.

        The event loop writes the buffer; without a running loop, as much as the reader
        accepts is written immediately.

        :param line: the line including its newline.
        :param is_urgent: whether it may use the reserved part of the buffer.
        """
        fraction = 1.0 if is_urgent else ORDINARY_FRACTION
        if self._buffered_bytes + len(line) > fraction * MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if self._is_scheduled or self._watching_loop is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._flush()
            return
        self._is_scheduled = True
        loop.call_soon(self._flush_scheduled, loop)

    def close(self) -> None:
        """Write the buffered lines.

        Waits for a slow reader for at most ``CLOSE_TIMEOUT``; lines that it has not
        accepted by then are lost.
        """
        self._stop_watching()
        self._flush()
        deadline = time.monotonic() + CLOSE_TIMEOUT
        while self._lines and (remaining := deadline - time.monotonic()) > 0:
            select.select([], [self._descriptor], [], remaining)
            self._flush()

    def _flush_scheduled(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._flush()
        if self._lines and self._watching_loop is None:
            self._watching_loop = loop
            loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        self._flush()
        if not self._lines:
            self._stop_watching()

    def _stop_watching(self) -> None:
        if self._watching_loop is not None and not self._watching_loop.is_closed():
            self._watching_loop.remove_writer(self._descriptor)
        self._watching_loop = None

    def _flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts now."""
        while self._lines:
            batch = self._next_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The descriptor has failed, for example because the reader has closed
                # its end; the lines are dropped.
                self._dropped_lines += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._remove_written(written)
            if written < len(batch):
                return
            if self._dropped_lines:
                self._report_drops()

    def _next_batch(self) -> bytes:
        size = 0
        batch = []
        for line in self._lines:
            batch.append(line)
            size += len(line)
            if size >= BATCH_BYTES:
                break
        return b"".join(batch)

    def _remove_written(self, written: int) -> None:
        self._buffered_bytes -= written
        while written:
            line = self._lines.popleft()
            if len(line) > written:
                # The line was written in part; keep the rest.
                self._lines.appendleft(line[written:])
                return
            written -= len(line)

    def _report_drops(self) -> None:
        line = self._format_drop_report(self._dropped_lines)
        self._dropped_lines = 0
        self._lines.append(line)
        self._buffered_bytes += len(line)
