"""The data centres that the operator evacuates, as far as a node knows.

Load: a few evacuations at a time, read by three nodes and repeated to the others in
every update. A node of a large fleet applies some hundred states a second, nearly all
of them known; one costs a few microseconds.

States are ordered by their position in the store. A store that was restored from an
older copy may have lost an evacuation that is still wanted. Such an evacuation is kept
for a while, also by nodes that learn of it only then. Once the key of a data centre was
seen in the new era of the store, only the store counts.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cyclamenyoke.core.store_position import START, StorePosition
from cyclamenyoke.core.units import MINUTE

RESTORE_RETENTION = 1 * MINUTE
"""Seconds for which an evacuation is kept that a restored store has lost, so that the
operator can write it again: longer than a restored store goes back in time."""

ENDED = 0.0
"""Stands for the seconds left of a lost evacuation that must not be kept any more."""


@dataclass(slots=True)
class ActiveEvacuation:
    """One data centre that is evacuated.

    :param since: when this node learned of it.
    :param kept_until: until when it is kept although the restored store has lost it;
        ``None`` if the store has it.
    """

    since: float
    kept_until: float | None = None


class EvacuationState:
    """The evacuated data centres, and the store position at which they were read."""

    def __init__(self) -> None:
        self._position = START
        self._active: dict[str, ActiveEvacuation] = {}
        # Data centres for which only the store counts in its current era.
        self._settled: set[str] = set()

    @property
    def position(self) -> StorePosition:
        """Position of the newest known state; ``START`` before the first one."""
        return self._position

    @property
    def is_known(self) -> bool:
        """Whether a state was read, by this node or by a peer."""
        return self._position > START

    @property
    def active(self) -> Mapping[str, ActiveEvacuation]:
        """The evacuations in force, by data centre."""
        return self._active

    @property
    def listed(self) -> tuple[str, ...]:
        """The data centres whose evacuation the store has."""
        return tuple(
            name for name, each in self._active.items() if each.kept_until is None
        )

    def kept(self, now: float) -> dict[str, float]:
        """Return the seconds for which evacuations are kept that the store has lost.

        They are :data:`ENDED` for data centres that peers must not keep any more.
        """
        kept = {name: ENDED for name in self._settled if name not in self._active}
        for name, each in self._active.items():
            if each.kept_until is not None:
                kept[name] = max(ENDED, each.kept_until - now)
        return kept

    def apply(
        self, names: Collection[str], position: StorePosition, now: float
    ) -> None:
        """Apply the evacuations that the store had at a position.

        A state that is not later than the known one changes nothing.
        """
        if position <= self._position:
            return
        is_new_era = position.era > self._position.era
        is_restored = is_new_era and self.is_known
        if is_new_era:
            self._settled.clear()
        self._position = position
        self._settled.update(names)
        for name in names:
            self._active.setdefault(name, ActiveEvacuation(now)).kept_until = None
        for name in self._active.keys() - set(names):
            evacuation = self._active[name]
            if is_restored:
                evacuation.kept_until = now + RESTORE_RETENTION
            elif evacuation.kept_until is None:
                del self._active[name]

    def advance(self, position: StorePosition) -> None:
        """Record that the store's evacuations were unchanged through a position."""
        if position.era == self._position.era:
            self._position = max(self._position, position)

    def settle(self, names: Iterable[str], era: int) -> None:
        """Stop keeping evacuations, because only the store counts for them.

        :param names: data centres whose key was written or deleted in an era of the
            store, or whose evacuation a peer no longer keeps in it.
        """
        if era != self._position.era:
            return
        for name in names:
            self._settled.add(name)
            evacuation = self._active.get(name)
            if evacuation is not None and evacuation.kept_until is not None:
                del self._active[name]

    def apply_kept(
        self, kept: Mapping[str, float], position: StorePosition, now: float
    ) -> None:
        """Apply what a peer keeps, as :meth:`kept` returned it there.

        :param position: position of the peer's state.
        """
        if not kept or position.era != self._position.era:
            return
        ended = [name for name, left in kept.items() if left <= ENDED]
        self.settle(ended, position.era)
        for name, left in kept.items():
            if name not in self._settled and name not in self._active:
                self._active[name] = ActiveEvacuation(now, now + left)

    def expire(self, now: float) -> None:
        """End the lost evacuations that were kept for long enough."""
        expired = [
            name
            for name, each in self._active.items()
            if each.kept_until is not None and each.kept_until <= now
        ]
        self.settle(expired, self._position.era)
