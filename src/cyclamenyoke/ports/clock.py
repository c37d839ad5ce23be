"""The time as the daemons see it."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Tells the time in seconds, from an origin of its own."""

    @abstractmethod
    def now(self) -> float:
        """Return the present time."""
