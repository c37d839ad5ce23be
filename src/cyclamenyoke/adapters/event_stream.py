"""Splits a ``text/event-stream`` body into events."""

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event, including the blank line that ends it.

    :param id: ``None`` for an event without a numeric id.
    """

    id: int | None
    data: bytes


class EventSplitter:
    r"""Buffers bytes and returns the events that they complete.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(id=1, data=b'id: 1\ndata: a\n\n')]
    >>> splitter.pending
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The start of an event that is still incomplete."""
        return self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        *complete, self._pending = (self._pending + data).split(EVENT_END)
        return [StreamEvent(_event_id(event), event + EVENT_END) for event in complete]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
