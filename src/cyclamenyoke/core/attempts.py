"""An agent's record of the attempts of each entry.

An attempt number is accepted once: duplicated and late messages are recognised by
the numbers already seen. Each message carries a floor, below which the entry has
settled every attempt; forgetting those bounds the memory.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Session(Generic[T]):
    """The attempts of one incarnation of one entry.

    :param floor: attempts with lower numbers are settled and forgotten.
    :param highest: the highest number seen.
    :param attempts: the value stored for each attempt, by number.
    :param expires_at: Unix time at which the attempts of a disconnected entry are
        forgotten; ``None`` while it is connected, and once they are.
    """

    floor: int = 0
    highest: int = -1
    attempts: dict[int, T] = field(default_factory=dict)
    expires_at: float | None = None


class AttemptTable(Generic[T]):
    """The sessions of the entries that have called this agent."""

    def __init__(self) -> None:
        self._sessions: dict[str, Session[T]] = {}

    def session(self, entry: str) -> Session[T]:
        """Return the session of an entry's incarnation; create it if needed."""
        if entry not in self._sessions:
            self._sessions[entry] = Session()
        return self._sessions[entry]

    def get(self, entry: str, number: int) -> T | None:
        """Return the value stored for an attempt, or ``None``."""
        return self.session(entry).attempts.get(number)

    def is_below_floor(self, entry: str, number: int) -> bool:
        """Tell whether an attempt, seen or not, is settled and forgotten."""
        return number < self.session(entry).floor

    def put(self, entry: str, number: int, value: T) -> None:
        """Store a value for an attempt."""
        session = self.session(entry)
        session.attempts[number] = value
        session.highest = max(session.highest, number)

    def raise_floor(self, entry: str, floor: int) -> list[T]:
        """Forget the attempts below a floor; return their values."""
        session = self.session(entry)
        if floor <= session.floor:
            return []
        session.floor = floor
        settled = [number for number in session.attempts if number < floor]
        return [session.attempts.pop(number) for number in settled]

    def connect(self, entry: str) -> None:
        """Keep an entry's attempts without a time limit."""
        self.session(entry).expires_at = None

    def disconnect(self, entry: str, expires_at: float) -> None:
        """Keep an entry's attempts until a Unix time."""
        self.session(entry).expires_at = expires_at

    def expire(self, now: float) -> list[T]:
        """Forget the attempts of expired sessions; return their values."""
        expired: list[T] = []
        for entry, session in self._sessions.items():
            if session.expires_at is not None and session.expires_at <= now:
                session.expires_at = None
                expired += self.raise_floor(entry, session.highest + 1)
        return expired
