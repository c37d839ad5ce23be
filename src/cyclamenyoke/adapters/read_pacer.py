"""Limits the time of the event loop that costly bytes of other processes take.

Load: faulty engines that send small parts without an end, or many callers whose bodies
are made of small chunks, beside sound ones. The bytes of such a message are few, but
each part is parsed by itself, so all other requests would wait for them.
"""

import asyncio
import collections
from collections.abc import Callable

from cyclamenyoke.core.units import KIBIBYTE, MILLISECOND

TURN_INTERVAL = 10 * MILLISECOND
"""Seconds between two reads from all connections together whose bytes are costly."""

MAX_READ_BYTES = 64 * KIBIBYTE
"""Largest number of bytes that are read and parsed at once."""

FIRST_READ_BYTES = 16 * KIBIBYTE
"""The same at the begin of a message, whose parts may be small."""

COSTLY_READ_BYTES = 8 * KIBIBYTE
"""The same after a read of many parts."""

CONTENDED_READ_BYTES = 2 * KIBIBYTE
"""The same at the begin of a message while other connections await their turns."""

MAX_PARTS_PER_READ = 256
"""Header fields and parts of a body in one read above which the connection awaits its
turn for the next one. Each of them is a call from the parser."""

# What is read is parsed before the event loop goes on, so that one buffer serves all.
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))


class ReadPacer:
    """Lets connections whose bytes are costly read in turn.

    All connections of a pool share one, so that their number does not matter.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], bool]] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_contended(self) -> bool:
        """Whether a connection awaits its turn."""
        return bool(self._waiting)

    def wait_turn(self, resume: Callable[[], bool]) -> None:
        """Call a function once it is its turn, after those that wait already.

        :param resume: lets a connection read once; returns false if it is closed, so
            that the turn goes to the next one.
        """
        self._waiting.append(resume)
        if self._timer is None:
            self._start_timer()

    async def turn(self) -> None:
        """Wait for a turn, after those that wait already."""
        turn = asyncio.get_running_loop().create_future()

        def give() -> bool:
            if turn.done():
                return False
            turn.set_result(None)
            return True

        self.wait_turn(give)
        await turn

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TURN_INTERVAL, self._resume_next)

    def _resume_next(self) -> None:
        self._timer = None
        while self._waiting and not self._waiting.popleft()():
            pass
        if self._waiting and self._timer is None:
            self._start_timer()


class PacedReads:
    """Chooses the sizes of one connection's reads, and when it awaits its turn.

    The connection adds each call from the parser to ``parts``.

    :param pacer: gives the turns; connections that share a load share it.
    :param update_reading: called when ``awaits_turn`` has changed.
    :param is_closed: returns whether the connection needs no further turn.
    :param first_bytes: size of a read at the begin of a message.
    """

    def __init__(
        self,
        pacer: ReadPacer,
        update_reading: Callable[[], None],
        is_closed: Callable[[], bool],
        first_bytes: int = FIRST_READ_BYTES,
    ) -> None:
        self._pacer = pacer
        self._update_reading = update_reading
        self._is_closed = is_closed
        self._first_bytes = first_bytes
        self._awaits_turn = False
        self.parts = 0
        self.restart()

    @property
    def awaits_turn(self) -> bool:
        """Whether the connection must not read before its turn."""
        return self._awaits_turn

    @property
    def is_costly(self) -> bool:
        """Whether the present read has so many parts that the next one has to wait."""
        return self.parts > MAX_PARTS_PER_READ

    def restart(self) -> None:
        """Read the begin of a message next."""
        self._read_bytes = self._first_bytes
        if self._pacer.is_contended:
            self._read_bytes = CONTENDED_READ_BYTES

    def buffer(self, size: int | None = None) -> memoryview:
        """Return the buffer for the next read; all connections share it.

        :param size: bytes to read at most, if it is known that they are not costly.
        """
        return _read_buffer[: self._read_bytes if size is None else size]

    def begin(self, received: int) -> memoryview:
        """Return what was read, before it is parsed."""
        self.parts = 0
        return _read_buffer[:received]

    def end(self, received: int) -> None:
        """Choose the size of the next read, and let it wait if this one was costly."""
        if self.is_costly:
            self._read_bytes = COSTLY_READ_BYTES
            self._awaits_turn = True
            self._update_reading()
            self._pacer.wait_turn(self._on_turn)
        elif received >= self._read_bytes:
            self._read_bytes = min(2 * received, MAX_READ_BYTES)

    def _on_turn(self) -> bool:
        self._awaits_turn = False
        self._update_reading()
        return not self._is_closed()
