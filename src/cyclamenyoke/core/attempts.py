"""An agent's record of the attempts of each entry.

An attempt number is accepted once: duplicated and late messages are recognised by
the numbers already seen. Each message carries a floor: the entry has settled all
attempts with lower numbers, i.e. it no longer waits for their outcome. The agent
forgets them, which bounds its memory.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class EntryAttempts(Generic[T]):
    """The attempts of one incarnation of one entry.

    :param floor: attempts with lower numbers are settled and forgotten.
    :param highest: the highest number seen.
    :param attempts: the value stored for each attempt, by number.
    :param expires_at: Unix time at which the attempts of a disconnected entry are
        forgotten; ``None`` while it is connected and after they were forgotten.
    """

    floor: int = 0
    highest: int = -1
    attempts: dict[int, T] = field(default_factory=dict)
    expires_at: float | None = None


class AttemptTable(Generic[T]):
    """The attempts of all entries that have called this agent.

    An ``entry`` is the identifier of one incarnation, so a restarted entry starts with
    no attempts.
    """

    def __init__(self) -> None:
        self._by_entry: dict[str, EntryAttempts[T]] = {}

    def _get_or_create(self, entry: str) -> EntryAttempts[T]:
        """Return the attempts of an entry, creating them if needed."""
        if entry not in self._by_entry:
            self._by_entry[entry] = EntryAttempts()
        return self._by_entry[entry]

    def get(self, entry: str, number: int) -> T | None:
        """Return the value stored for an attempt, or ``None``."""
        return self._get_or_create(entry).attempts.get(number)

    def is_below_floor(self, entry: str, number: int) -> bool:
        """Return whether an attempt, seen or not, is settled and forgotten."""
        return number < self._get_or_create(entry).floor

    def put(self, entry: str, number: int, value: T) -> None:
        """Store a value for an attempt."""
        known = self._get_or_create(entry)
        known.attempts[number] = value
        known.highest = max(known.highest, number)

    def raise_floor(self, entry: str, floor: int) -> list[T]:
        """Forget the attempts below a floor; return their values."""
        known = self._get_or_create(entry)
        if floor <= known.floor:
            return []
        known.floor = floor
        settled = [number for number in known.attempts if number < floor]
        return [known.attempts.pop(number) for number in settled]

    def on_connected(self, entry: str) -> None:
        """Keep an entry's attempts without a time limit."""
        self._get_or_create(entry).expires_at = None

    def on_disconnected(self, entry: str, expires_at: float) -> None:
        """Keep an entry's attempts until a Unix time."""
        self._get_or_create(entry).expires_at = expires_at

    def expire(self, now: float) -> list[T]:
        """Forget the attempts of entries that are past ``expires_at``.

        :returns: the values of these attempts.
        """
        expired: list[T] = []
        for entry, known in self._by_entry.items():
            if known.expires_at is not None and known.expires_at <= now:
                known.expires_at = None
                expired += self.raise_floor(entry, known.highest + 1)
        return expired
