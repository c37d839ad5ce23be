"""Splits a ``text/event-stream`` body into events."""

from dataclasses import dataclass

from cyclamenyoke.core.units import KIBIBYTE

MAX_EVENT_BYTES = 256 * KIBIBYTE
"""Largest event of a stream in bytes."""

MAX_ID_DIGITS = 1000
"""Digits of a numeric id; the interpreter converts no more than some thousands."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event, including the blank line that ends it.

    :param id: ``None`` for an event without a numeric id.
    """

    id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        r"""Whether it carries nothing, as servers send to keep a connection open.

        >>> StreamEvent(None, b": still here\n\n").is_comment
        True
        """
        lines = self.data.split(b"\n")
        return all(line.startswith(COMMENT) for line in lines if line)


class EventSplitter:
    r"""Buffers bytes and returns the events that they complete.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(id=1, data=b'id: 1\ndata: a\n\n')]
    >>> splitter.pending
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def pending(self) -> bytes:
        """The start of an event that is still incomplete."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        searched = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        if self._pending.find(EVENT_END, searched) < 0:
            return []
        *complete, rest = bytes(self._pending).split(EVENT_END)
        self._pending = bytearray(rest)
        return [StreamEvent(_event_id(event), event + EVENT_END) for event in complete]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
            return int(value) if is_number else None
    return None
