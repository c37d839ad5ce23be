"""What an agent remembers of the attempts of each entry.

An attempt number is accepted once. Doubled and late messages are recognised by
the numbers already seen, and memory stays bounded by the floor that each message
carries: the entry has settled every attempt below it.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Session(Generic[T]):
    """The attempts of one incarnation of one entry.

    :param floor: attempts below it are settled and forgotten.
    :param highest: the highest number seen.
    :param attempts: what is known of each attempt from the floor on.
    :param expires_at: when a session without a connection is forgotten.
    """

    floor: int = 0
    highest: int = -1
    attempts: dict[int, T] = field(default_factory=dict)
    expires_at: float | None = None


class AttemptTable(Generic[T]):
    """The sessions of every entry that has called this agent."""

    def __init__(self) -> None:
        self._sessions: dict[str, Session[T]] = {}

    def session(self, entry: str) -> Session[T]:
        """Return the session of an entry's incarnation, made when first seen."""
        if entry not in self._sessions:
            self._sessions[entry] = Session()
        return self._sessions[entry]

    def get(self, entry: str, number: int) -> T | None:
        """Return what is known of an attempt."""
        return self.session(entry).attempts.get(number)

    def is_below_floor(self, entry: str, number: int) -> bool:
        """Tell whether an attempt may have been seen and is no longer known."""
        return number < self.session(entry).floor

    def put(self, entry: str, number: int, value: T) -> None:
        """Remember an attempt."""
        session = self.session(entry)
        session.attempts[number] = value
        session.highest = max(session.highest, number)

    def raise_floor(self, entry: str, floor: int) -> list[T]:
        """Forget the attempts below a floor and return them."""
        session = self.session(entry)
        if floor <= session.floor:
            return []
        session.floor = floor
        settled = [number for number in session.attempts if number < floor]
        return [session.attempts.pop(number) for number in settled]

    def connect(self, entry: str) -> None:
        """Keep an entry's session while its connection stands."""
        self.session(entry).expires_at = None

    def disconnect(self, entry: str, expires_at: float) -> None:
        """Keep an entry's session until a deadline."""
        self.session(entry).expires_at = expires_at

    def expire(self, now: float) -> list[T]:
        """Forget every attempt of sessions past their deadline; return them."""
        forgotten: list[T] = []
        for entry, session in self._sessions.items():
            if session.expires_at is not None and session.expires_at <= now:
                session.expires_at = None
                forgotten += self.raise_floor(entry, session.highest + 1)
        return forgotten
