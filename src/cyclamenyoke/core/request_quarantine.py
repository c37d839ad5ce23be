"""Withholds prompts that end the engines which write on them.

Load: requests that share a part of their prompt, and that part ends each engine that
begins to write an answer on it. Each one costs an engine, the streams beside it and, in
a group, those of all other ranks until the group has formed again.

An engine's end breaks off many requests. Only those on which it had just begun to write
count as evidence, and only against the parts that other requests share. Nodes add up
their evidence by exchanging it. A part is quarantined once enough engines have ended
under it and none has written on it since; a part that is sound is cleared by the next
answer on it, at any node. Where several parts of the same requests are suspected, the
fewest that explain the ends are quarantined, those first that were never written on.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from msgspec import Struct

from cyclamenyoke.core.request_delivery import Attempt, AttemptOutcome
from cyclamenyoke.core.units import MILLISECOND, MINUTE, SECOND

MIN_ENDS = 3
"""Engines that must have ended under a part on which none is known to have written. Two
may be a coincidence."""

MIN_ENDS_AFTER_USE = 5
"""The same for a part on which engines have written before."""

MIN_EVENTS_WRITTEN = 2
"""Events after which an engine is known to write on a prompt without ending. The first
may have left an engine that was already ending."""

MAX_SILENCE_PER_STALL = 0.5
"""Longest time between the start of a response and the end of its engine, as a multiple
of the time for which a group waits for a lost rank. Responses of the other ranks are
broken off later than that."""

EVIDENCE_LIFETIME = 10 * MINUTE
"""Seconds for which an end counts. A quarantine ends with its evidence, since nothing
else shows that the part has become sound."""

ANNOUNCE_TIME = 2 * SECOND
"""Seconds for which a change is repeated in updates to peers; some get lost."""

MIN_CLEARING_ADVANCE = 100 * MILLISECOND
"""A time of clearing that is later by less than this is not announced again; it may
only be the delay of an update."""

MAX_SUSPECTS = 256
"""Parts for which evidence is kept; those with the least evidence are dropped."""

MAX_ENDS_KEPT = 8
"""Ends kept for each part, the latest ones."""

MAX_ANNOUNCED = 32
"""Parts in one update to peers, those with the most evidence first."""

MAX_WRITTEN_PARTS = 8192
"""Parts for which the last answer is remembered, the most recent ones."""

TraitKey = tuple[str, str]
"""A service and the id of a part of its prompts."""


class TraitEvidence(Struct, frozen=True, array_like=True):
    """What a node knows of one part, as it is sent to peers and kept in the store.

    :param end_ages: seconds since the end of each engine, by its incarnation.
    :param cleared_age: seconds since the part was last cleared; negative for never.
    """

    service: str
    part: str
    end_ages: dict[str, float]
    cleared_age: float


@dataclass(slots=True)
class Suspect:
    """A part under which engines have ended.

    :param ends: when each engine ended, by its incarnation.
    :param cleared_at: when an engine last wrote on the part, or an operator lifted its
        quarantine; earlier ends do not count.
    :param announce_until: until when it is part of updates to peers.
    """

    ends: dict[str, float] = field(default_factory=dict)
    cleared_at: float | None = None
    announce_until: float = 0.0

    def counted_ends(self, now: float) -> dict[str, float]:
        """Return the ends that count, by incarnation of the engine."""
        after = now - EVIDENCE_LIFETIME
        if self.cleared_at is not None:
            after = max(after, self.cleared_at)
        return {id_: at for id_, at in self.ends.items() if at > after}

    @property
    def ends_needed(self) -> int:
        """The number of ends for which the part is quarantined."""
        return MIN_ENDS if self.cleared_at is None else MIN_ENDS_AFTER_USE

    def add_end(self, engine: str, at: float) -> bool:
        """Add an engine's end; return whether it was not known before."""
        if engine in self.ends:
            return False
        self.ends[engine] = at
        if len(self.ends) > MAX_ENDS_KEPT:
            oldest = min(self.ends, key=self.ends.__getitem__)
            del self.ends[oldest]
            return oldest != engine
        return True

    def clear(self, at: float) -> bool:
        """Clear the part; return whether that is news for peers."""
        before = self.cleared_at
        if before is not None and at <= before:
            return False
        self.cleared_at = at
        is_later = before is None or at > before + MIN_CLEARING_ADVANCE
        return is_later and any(each > (before or 0.0) for each in self.ends.values())


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Parts that are withheld together, since the evidence does not tell them apart.

    :param engines: incarnations of the engines that ended.
    :param until: when the evidence no longer suffices.
    """

    service: str
    parts: frozenset[str]
    engines: frozenset[str]
    until: float

    def applies_to(self, parts: Iterable[str]) -> bool:
        """Return whether a prompt with these shared parts is withheld."""
        return self.parts.issubset(parts)


class QuarantineObserver:
    """Receives the decisions of :class:`RequestQuarantine`; does nothing itself."""

    def on_begin(self, quarantine: Quarantine) -> None:
        """Handle a quarantine that begins."""

    def on_end(self, quarantine: Quarantine) -> None:
        """Handle the end of a quarantine."""


class RequestQuarantine:
    """The evidence of one node, its own and that of its peers.

    :param stall: returns the seconds for which a group waits for a lost rank; 0 for no
        groups.
    :param on_change: called when there is news for peers.
    """

    def __init__(
        self,
        stall: Callable[[], float],
        observer: QuarantineObserver | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._stall = stall
        self._observer = observer or QuarantineObserver()
        self.on_change = on_change
        self._suspects: dict[TraitKey, Suspect] = {}
        self._quarantines: list[Quarantine] = []
        self._written_at: OrderedDict[TraitKey, float] = OrderedDict()

    def is_evidence(self, attempt: Attempt, is_stream: bool) -> bool:
        """Return whether an attempt ended with its engine as that began to write.

        Requests that had not begun, and those that had brought events, only ran beside
        the one that ended the engine.
        """
        if attempt.outcome is not AttemptOutcome.INCOMPLETE:
            return False
        if not attempt.is_closed_by_endpoint or attempt.ended_at is None:
            return False
        if is_stream and attempt.first_byte_at is None:
            return False
        silence = attempt.ended_at - (attempt.first_byte_at or attempt.sent_at)
        max_silence = MAX_SILENCE_PER_STALL * self._stall()
        is_sudden = not max_silence or silence < max_silence
        return is_sudden and attempt.events < MIN_EVENTS_WRITTEN

    def on_engine_ended(
        self, service: str, parts: Iterable[str], engine: str, now: float
    ) -> None:
        """Record that an engine ended as it began to write on a prompt.

        :param parts: the prompt's parts that other requests share.
        :param engine: the incarnation of the engine.
        """
        for part in parts:
            suspect = self._suspect((service, part))
            if suspect.add_end(engine, now):
                suspect.announce_until = now + ANNOUNCE_TIME
        self._update(now)

    def on_written(self, service: str, parts: Iterable[str], now: float) -> None:
        """Record that an engine has written on a prompt without ending."""
        is_news = False
        for part in parts:
            key = service, part
            self._written_at[key] = now
            self._written_at.move_to_end(key)
            suspect = self._suspects.get(key)
            if suspect is not None and suspect.clear(now):
                suspect.announce_until = now + ANNOUNCE_TIME
                is_news = True
        while len(self._written_at) > MAX_WRITTEN_PARTS:
            self._written_at.popitem(last=False)
        if is_news:
            self._update(now)

    def lift(self, service: str, part: str, now: float) -> bool:
        """End a part's quarantine, here and at the peers, for an operator.

        :returns: whether there was evidence against the part.
        """
        suspect = self._suspects.get((service, part))
        if suspect is None or not suspect.counted_ends(now):
            return False
        suspect.clear(now)
        suspect.announce_until = now + ANNOUNCE_TIME
        self._update(now)
        return True

    def may_repeat(self, service: str, parts: Iterable[str]) -> bool:
        """Return whether a request that may have ended an engine may go to another.

        It may if engines have written on each of its parts: then it was probably beside
        the request that did.
        """
        return all((service, part) in self._written_at for part in parts)

    def withheld_until(
        self, service: str, parts: tuple[str, ...], now: float
    ) -> float | None:
        """Return until when a prompt is withheld; ``None`` if it may be sent."""
        if not self._quarantines or not parts:
            return None
        if any(each.until <= now for each in self._quarantines):
            self._update(now)
        return max(
            (
                each.until
                for each in self._quarantines
                if each.service == service and each.applies_to(parts)
            ),
            default=None,
        )

    @property
    def quarantines(self) -> list[Quarantine]:
        """What is withheld."""
        return self._quarantines

    def news(self, now: float) -> tuple[TraitEvidence, ...]:
        """Return the evidence that peers may not have received yet."""
        if not self._suspects:
            return ()
        announced = [
            key
            for key, suspect in self._suspects.items()
            if suspect.announce_until > now
        ]
        return self._evidence(announced, now)

    def grounds(self, now: float) -> tuple[TraitEvidence, ...]:
        """Return the evidence against the parts that are withheld."""
        keys = {
            (each.service, part) for each in self._quarantines for part in each.parts
        }
        return self._evidence(keys, now)

    def announce_all(self, now: float) -> None:
        """Send all evidence to peers again, since one of them may have missed it."""
        for suspect in self._suspects.values():
            suspect.announce_until = now + ANNOUNCE_TIME

    def merge(self, evidence: Iterable[TraitEvidence], now: float) -> None:
        """Add a peer's evidence, or that of the store."""
        is_news = False
        for each in evidence:
            suspect = self._suspect((each.service, each.part))
            cleared_at = now - each.cleared_age if each.cleared_age >= 0 else None
            changes = [
                suspect.add_end(engine, now - age)
                for engine, age in each.end_ages.items()
                if age < EVIDENCE_LIFETIME
            ]
            if cleared_at is not None:
                changes.append(suspect.clear(cleared_at))
            if any(changes) or _is_ahead(suspect.cleared_at, cleared_at):
                suspect.announce_until = now + ANNOUNCE_TIME
                is_news = True
        if is_news:
            self._update(now)

    def _suspect(self, key: TraitKey) -> Suspect:
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = Suspect(cleared_at=self._written_at.get(key))
            self._suspects[key] = suspect
        return suspect

    def _evidence(
        self, keys: Iterable[TraitKey], now: float
    ) -> tuple[TraitEvidence, ...]:
        selected = [(key, self._suspects[key]) for key in keys]
        selected.sort(key=lambda item: -len(item[1].counted_ends(now)))
        return tuple(
            TraitEvidence(
                *key,
                {engine: now - at for engine, at in suspect.ends.items()},
                -1.0 if suspect.cleared_at is None else now - suspect.cleared_at,
            )
            for key, suspect in selected[:MAX_ANNOUNCED]
        )

    def _update(self, now: float) -> None:
        """Drop old evidence and decide anew what is withheld."""
        # Cleared parts are kept too, for peers that did not hear of it.
        oldest = now - EVIDENCE_LIFETIME
        for key, suspect in list(self._suspects.items()):
            is_old = all(at <= oldest for at in suspect.ends.values())
            if is_old and suspect.announce_until <= now:
                del self._suspects[key]
        counted = {
            key: suspect.counted_ends(now) for key, suspect in self._suspects.items()
        }
        least = sorted(counted, key=lambda key: len(counted[key]))
        for key in least[: max(0, len(least) - MAX_SUSPECTS)]:
            del self._suspects[key], counted[key]
        before, self._quarantines = self._quarantines, self._decide(counted)
        known = {(each.service, each.parts) for each in before}
        current = {(each.service, each.parts) for each in self._quarantines}
        for each in before:
            if (each.service, each.parts) not in current:
                self._observer.on_end(each)
        for each in self._quarantines:
            if (each.service, each.parts) not in known:
                self._observer.on_begin(each)
        self.on_change()

    def _decide(
        self, counted: Mapping[TraitKey, Mapping[str, float]]
    ) -> list[Quarantine]:
        """Return the fewest parts that explain the ends of engines.

        Parts on which no engine is known to have written come first, then those with
        more ends. A part whose ends the parts before it explain is not to blame.
        """
        suspected = [
            key
            for key, ends in counted.items()
            if len(ends) >= self._suspects[key].ends_needed
        ]
        suspected.sort(
            key=lambda key: (
                self._suspects[key].cleared_at is not None,
                -len(counted[key]),
                self._suspects[key].cleared_at or 0.0,
                key,
            )
        )
        explained: set[tuple[str, str]] = set()
        quarantines = []
        for key in suspected:
            service = key[0]
            ends = counted[key]
            unexplained = {(service, engine) for engine in ends} - explained
            needed = self._suspects[key].ends_needed
            if len(unexplained) < needed:
                continue
            explained |= unexplained
            parts = frozenset(
                other[1]
                for other in suspected
                if other[0] == service
                and counted[other].keys() == ends.keys()
                and self._suspects[other].ends_needed == needed
            )
            until = sorted(ends.values())[-needed] + EVIDENCE_LIFETIME
            quarantines.append(Quarantine(service, parts, frozenset(ends), until))
        return quarantines


def _is_ahead(own: float | None, received: float | None) -> bool:
    """Return whether a node knows of a later clearing than its peer."""
    if own is None:
        return False
    return received is None or own > received + MIN_CLEARING_ADVANCE
