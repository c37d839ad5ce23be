"""The part of an endpoint's response that a gateway has received so far."""

from dataclasses import dataclass, field

from cyclamenyoke.adapters.event_stream import EventSplitter
from cyclamenyoke.ports.engine import EngineResponseHead


@dataclass(slots=True)
class PartialResponse:
    """The part of an endpoint's response that was received so far.

    :param progress: increases with each part that brings the response forward. Bytes
        that do not complete an event of a stream, and comments, are no progress.
    :param late_until: until when, by the node's clock, it is read after the request's
        deadline; ``None`` before the deadline.
    """

    progress: int = 0
    head: EngineResponseHead | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    body: bytearray = field(default_factory=bytearray)
    late_until: float | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the response is forwarded event by event."""
        head = self.head
        return head is not None and head.is_event_stream and head.is_success
