"""What the platform gives: a key-value service and a list of VMs.

The contract includes its faults. Any call may raise :class:`PlatformUnavailable`,
and a change whose answer was lost may have taken effect, or may take effect later.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cyclamenyoke.exceptions import CyclamenyokeError


class CasConflict(CyclamenyokeError):
    """The value's revision was not the expected one; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value with the revision that a compare-and-swap must name.

    :param value: ``None`` where the key is absent; its revision is then 0.
    """

    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Vm:
    """One machine of the platform's list, which lags."""

    name: str
    ip: str
    leaving: bool


class KeyValueStore(ABC):
    """The platform's key-value service."""

    @abstractmethod
    async def get(self, key: str) -> Versioned:
        """Return a value.

        :raises PlatformUnavailable: without an answer.
        """

    @abstractmethod
    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> int:
        """Change a value and return its new revision.

        :param expected_revision: 0 for a key that must be absent.
        :raises CasConflict: when the revision is another one.
        :raises PlatformUnavailable: without an answer; the change may have taken
            effect or may yet do so.
        """

    @abstractmethod
    async def watch(self, key: str, after_revision: int, deadline: float) -> Versioned:
        """Return the value once its revision is above ``after_revision``.

        :param deadline: when to return at the latest, in seconds of Unix time.
        :raises PlatformUnavailable: without an answer.
        """


class VmList(ABC):
    """The platform's list of live and leaving VMs."""

    @abstractmethod
    async def machines(self) -> list[Vm]:
        """Return the list as the platform has it, which lags.

        :raises PlatformUnavailable: without an answer.
        """
