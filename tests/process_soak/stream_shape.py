"""How long streams last and where they pause, drawn from the ids of their requests.

All engines give a stream the same length, so that it can be resumed elsewhere. Its
pauses differ between engines.
"""

from random import Random

import msgspec


class StreamCourse(msgspec.Struct, frozen=True):
    """How one engine writes one stream.

    :param events: number of its events.
    :param wait: seconds before the first event that is written.
    :param pause_after: number of the event after which it pauses.
    :param pause: seconds of that pause, 0 without one.
    """

    events: int
    wait: float = 0.0
    pause_after: int = 0
    pause: float = 0.0

    def rest_after(self, number: int) -> float:
        """Return the seconds of the pause after an event."""
        return self.pause if number == self.pause_after else 0.0


class StreamShape(msgspec.Struct, frozen=True):
    """From what the streams of a run are drawn.

    :param wait_share: share of streams that wait before their first event.
    :param pause_share: share of streams that pause once between two events.
    :param min_pause: shortest wait or pause in seconds.
    :param padding: bytes by which events are longer.
    """

    min_events: int
    max_events: int
    wait_share: float
    pause_share: float
    min_pause: float
    max_pause: float
    padding: int = 0
    seed: int = 0

    def draw(self, request_id: str, engine: str, first: int) -> StreamCourse:
        """Return how an engine writes the stream of a request.

        :param first: number of the first event that it writes.
        """
        events = Random(f"{self.seed} {request_id}").randint(
            self.min_events, self.max_events
        )
        random = Random(f"{self.seed} {request_id} {engine}")
        waits, pauses = random.random(), random.random()
        wait, pause = (random.uniform(self.min_pause, self.max_pause) for _ in range(2))
        has_pause = pauses < self.pause_share and first < events
        return StreamCourse(
            events,
            wait if waits < self.wait_share else 0.0,
            random.randrange(first, events) if has_pause else 0,
            pause if has_pause else 0.0,
        )
