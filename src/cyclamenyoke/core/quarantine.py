"""What a gateway withholds, and until when."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

QuarantineKey = tuple[str, frozenset[str]]
"""A service and the traits that are withheld together."""


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Traits that are withheld together, since the evidence does not tell them apart.

    :param engines: incarnations of the engines that ended.
    :param until: when the evidence no longer suffices.
    :param trial_at: from when on a request may be tried if most are withheld.
    """

    service: str
    traits: frozenset[str]
    engines: frozenset[str]
    until: float
    trial_at: float = inf

    @property
    def key(self) -> QuarantineKey:
        """What tells it from others while its evidence grows."""
        return self.service, self.traits

    def applies_to(self, traits: Iterable[str]) -> bool:
        """Return whether a request with these traits is withheld."""
        return self.traits.issubset(traits)
