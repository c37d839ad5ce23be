"""The source of time for the daemons."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Returns the time in seconds since an origin that each clock defines."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""
