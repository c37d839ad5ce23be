"""Callers that read streams slowly or pause while they read."""

from random import Random

import msgspec


class Reading(msgspec.Struct, frozen=True):
    """How a caller reads one stream.

    :param delay: seconds after each piece in which it does not read.
    :param pause_after: number of the piece after which it pauses, from 1.
    :param pause: seconds of that pause.
    """

    delay: float = 0.0
    pause_after: int = 0
    pause: float = 0.0

    def rest_after(self, piece: int) -> float:
        """Return the seconds after a piece in which the caller does not read."""
        return self.pause if piece == self.pause_after else self.delay


PROMPT = Reading()


class SlowReading(msgspec.Struct, frozen=True):
    """What a share of the callers does with the streams that it gets.

    :param share: share of callers.
    :param receive_bytes: what these ask for as the size of their receive buffers.
    :param max_delay: longest time after each piece in seconds, where it has any.
    :param max_pause: longest pause in seconds, where it has one.
    :param max_pieces: number of the last piece after which it pauses.
    """

    share: float
    receive_bytes: int = 4096
    max_delay: float = 0.15
    min_pause: float = 0.5
    max_pause: float = 5.0
    max_pieces: int = 60
    seed: int = 0

    def is_slow(self, caller: str) -> bool:
        """Return whether a caller reads slowly."""
        return Random(f"{self.seed} {caller}").random() < self.share

    def draw(self, request_id: str) -> Reading:
        """Return how a slow caller reads the stream of a request."""
        random = Random(f"{self.seed} reads {request_id}")
        if random.random() < 0.5:
            return Reading(delay=random.uniform(0.0, self.max_delay))
        pause = random.uniform(self.min_pause, self.max_pause)
        return Reading(pause_after=random.randint(1, self.max_pieces), pause=pause)
