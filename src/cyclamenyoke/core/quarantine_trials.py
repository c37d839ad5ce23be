"""Trials of prompts that are withheld, one request at a time.

Load: a wrong verdict against a part that most prompts of a service share. It takes the
service down, and as nothing on the part is sent, nothing can clear it. So one node
sends one request. Its answer clears the part at all nodes; its engine's end confirms
the verdict and puts off the next trial.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from cyclamenyoke.core.quarantine import Quarantine, QuarantineKey
from cyclamenyoke.core.units import SECOND

MIN_ARRIVALS = 16
"""Requests for a service since a quarantine began that tell how wide it is."""

WIDE_SHARE = 2 / 3
"""Share of the arrivals at a service above which a quarantine takes most of it. Callers
ask again for what is withheld, so more than half of the arrivals says little."""

TRIAL_GAP = 1 * SECOND
"""Seconds between the end of a trial that told nothing and the next one."""


@dataclass(slots=True)
class Arrivals:
    """Requests for a service since a quarantine began, and those that it withholds."""

    total: int = 0
    withheld: int = 0

    @property
    def are_mostly_withheld(self) -> bool:
        """Whether the quarantine takes most of the service."""
        return self.total >= MIN_ARRIVALS and self.withheld >= WIDE_SHARE * self.total


class QuarantineTrials:
    """The trials of one node.

    :param is_trier: returns whether this node tries requests for all nodes.
    """

    def __init__(self, is_trier: Callable[[], bool]) -> None:
        self._is_trier = is_trier
        self._arrivals: dict[QuarantineKey, Arrivals] = {}
        self._running: set[QuarantineKey] = set()
        self._next_at: dict[QuarantineKey, float] = {}

    def on_arrival(
        self, quarantines: Iterable[Quarantine], service: str, traits: Iterable[str]
    ) -> None:
        """Count a request for a service."""
        known = frozenset(traits)
        for each in quarantines:
            if each.service == service:
                arrivals = self._arrivals.setdefault(each.key, Arrivals())
                arrivals.total += 1
                arrivals.withheld += each.applies_to(known)

    def begin(
        self, quarantines: Iterable[Quarantine], now: float
    ) -> frozenset[QuarantineKey]:
        """Begin a trial of a request that some quarantines withhold.

        :returns: their keys; none if it must not be sent.
        """
        tried = list(quarantines)
        if (
            not all(self._may_begin(each, now) for each in tried)
            or not self._is_trier()
        ):
            return frozenset()
        keys = frozenset(each.key for each in tried)
        self._running |= keys
        return keys

    def end(self, keys: frozenset[QuarantineKey], now: float) -> None:
        """End a trial, whatever it has told.

        :param keys: what :meth:`begin` returned.
        """
        self._running -= keys
        self._next_at.update(dict.fromkeys(keys, now + TRIAL_GAP))

    def retry_at(self, quarantine: Quarantine, now: float) -> float:
        """Return when callers may ask again for what a quarantine withholds."""
        if not self._is_wide(quarantine):
            return quarantine.until
        return min(quarantine.until, max(quarantine.trial_at, now) + TRIAL_GAP)

    def forget_others(self, quarantines: Iterable[Quarantine]) -> None:
        """Forget all quarantines but those that are left."""
        keys = {each.key for each in quarantines}
        for known in (self._arrivals, self._next_at):
            for key in known.keys() - keys:
                del known[key]

    def _is_wide(self, quarantine: Quarantine) -> bool:
        arrivals = self._arrivals.get(quarantine.key)
        is_triable = quarantine.trial_at < quarantine.until
        return is_triable and arrivals is not None and arrivals.are_mostly_withheld

    def _may_begin(self, quarantine: Quarantine, now: float) -> bool:
        key = quarantine.key
        from_ = max(quarantine.trial_at, self._next_at.get(key, -inf))
        return self._is_wide(quarantine) and now >= from_ and key not in self._running
