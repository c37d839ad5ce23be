"""Withholds requests that end the engines which run them.

Load: one request, asked for again and again, that ends each engine that begins to run
it; or many requests that share a part of their prompt, which ends each engine that
begins to write an answer on it. Each one costs an engine, the requests beside it and,
in a group, those of all other ranks until the group has formed again.

A *trait* is what such requests have in common: a part of their prompts, or being the
same request. An engine's end breaks off many requests, and those that have brought no
byte look alike. So an end counts against each request that may have been the cause; an
answer to the same request, at any node, clears it, and the guilty one remains. Nodes
add up their evidence by exchanging it. A trait is quarantined once enough engines have
ended under it and none has answered it since; before that, a request is held back for a
while, so that it does not take all engines of a service at once. Where several traits
are suspected, the fewest that explain the ends are quarantined, those first that were
never answered, then the most specific ones.

A quarantine that takes most of a service is tried again by single requests
(:mod:`cyclamenyoke.core.quarantine_trials`).
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from msgspec import Struct

from cyclamenyoke.core.decoding import Number
from cyclamenyoke.core.engine_ends import (
    EngineEnd,
    count_events,
    latest_end,
    least_telling,
    place_end,
)
from cyclamenyoke.core.quarantine import Quarantine, QuarantineKey
from cyclamenyoke.core.quarantine_trials import QuarantineTrials
from cyclamenyoke.core.request_delivery import Attempt, AttemptOutcome
from cyclamenyoke.core.request_fingerprint import RequestFingerprint
from cyclamenyoke.core.units import HOUR, MILLISECOND, MINUTE, SECOND

MIN_ENDS = 3
"""Events that must have ended engines under a trait that none is known to have
answered. Two may be a coincidence."""

MIN_ENDS_AFTER_USE = 5
"""The same for a trait that engines have answered before, or that different requests
may have."""

HOLD_TIME = 5 * SECOND
"""Seconds for which a request is held back when one more end would quarantine it: about
the time in which engines that ended are replaced."""

TRIAL_DELAY = 5 * SECOND
"""Seconds after the last end until a part that most requests share is tried again. Each
further end prolongs that like the quarantine."""

MIN_ENDS_STORED = 2
"""Separate ends under a trait from which the evidence is kept in the store. One tells
little, and most requests have one beside an engine that ends."""

MIN_EVENTS_WRITTEN = 2
"""Events after which an engine is known to write on a prompt without ending. The first
may have left an engine that was already ending."""

MAX_SILENCE_PER_STALL = 0.5
"""Longest time between the start of a response and the end of its engine, as a multiple
of the time for which a group waits for a lost rank. Responses of the other ranks are
broken off later than that."""

EVIDENCE_LIFETIME = 10 * MINUTE
"""Seconds for which ends count after the last one. A quarantine ends with its evidence,
since nothing else shows that the trait has become sound."""

LIFETIME_GROWTH = 6.0
"""Factor by which each further end prolongs a quarantine: its cause has not gone."""

MAX_EVIDENCE_LIFETIME = 24 * HOUR
"""Longest time in seconds for which ends count after the last one."""

ANNOUNCE_TIME = 2 * SECOND
"""Seconds for which a change is repeated in updates to peers; some get lost."""

MIN_CLEARING_ADVANCE = 100 * MILLISECOND
"""A time of clearing that is later by less than this is not announced again; it may
only be the delay of an update."""

MAX_SUSPECTS = 256
"""Traits for which evidence is kept; those with the least evidence are dropped."""

MAX_ENDS_KEPT = 8
"""Ends kept for each trait, the latest ones of separate events."""

MAX_ANNOUNCED = 32
"""Traits in one update to peers, those with the most evidence first."""

MAX_ANSWERED_PARTS = 8192
"""Parts of prompts for which the last answer is remembered, the most recent ones."""

MAX_ANSWERED_REQUESTS = 4096
"""The same for traits of single requests, two for each. Most requests are asked for
once; one that is asked for all the time stays among the most recent ones."""

REQUEST_TRAIT, CONTENT_TRAIT = "request:", "content:"
"""Prefixes of the traits that name one request: by all that it asks for, and by its
customer, path and body only. A part of a prompt has no colon in its id."""

TraitKey = tuple[str, str]
"""A service and a trait of its requests."""


def request_traits(fingerprint: RequestFingerprint) -> tuple[str, str]:
    """Return the traits that a request has only in common with its own copies.

    >>> request_traits(RequestFingerprint("c0", "e1"))
    ('request:e1', 'content:c0')
    """
    return REQUEST_TRAIT + fingerprint.exact, CONTENT_TRAIT + fingerprint.content


def _is_one_request(trait: str) -> bool:
    return trait.startswith((REQUEST_TRAIT, CONTENT_TRAIT))


def _breadth(trait: str) -> int:
    """Return how many different requests may have a trait, as a rank."""
    prefixes = (REQUEST_TRAIT, CONTENT_TRAIT)
    return next((n for n, each in enumerate(prefixes) if trait.startswith(each)), 2)


class TraitEvidence(Struct, frozen=True, array_like=True):
    """What a node knows of one trait, as it is sent to peers and kept in the store.

    :param end_ages: seconds since the end of each engine, by its incarnation.
    :param cleared_age: seconds since the trait was last cleared; negative for never.
    :param data_centres: the data centre with which an engine may have failed, by its
        incarnation; without those that ended after another one.
    """

    service: str
    trait: str
    end_ages: dict[str, Number]
    cleared_age: Number
    data_centres: dict[str, str] = {}


@dataclass(slots=True)
class Suspect:
    """A trait under which engines have ended.

    :param trait: the trait itself, which decides how many ends it takes.
    :param ends: the end of each engine, by its incarnation.
    :param cleared_at: when an engine last answered a request with the trait, or an
        operator lifted its quarantine; earlier ends do not count.
    :param announce_until: until when it is part of updates to peers.
    :param last_end_known_at: when this node last learned of an end.
    """

    trait: str
    ends: dict[str, EngineEnd] = field(default_factory=dict)
    cleared_at: float | None = None
    announce_until: float = 0.0
    last_end_known_at: float = -inf

    @property
    def _counts_unplaced(self) -> bool:
        # Copies of one request may be at many engines, so their ends are never apart.
        return not _is_one_request(self.trait)

    def count(self, ends: Iterable[EngineEnd]) -> int:
        """Return how many separate events the trait's ends are."""
        return count_events(ends, self._counts_unplaced)

    @property
    def uncleared_ends(self) -> dict[str, EngineEnd]:
        """The ends since the trait was last cleared, by incarnation of the engine."""
        after = -inf if self.cleared_at is None else self.cleared_at
        return {id_: end for id_, end in self.ends.items() if end.at > after}

    def counted_ends(self, now: float) -> dict[str, EngineEnd]:
        """Return the ends that count, by incarnation of the engine."""
        ends = self.uncleared_ends
        return ends if now < self.counts_until(ends) else {}

    def counts_until(self, ends: Mapping[str, EngineEnd]) -> float:
        """Return until when uncleared ends count."""
        if not ends:
            return -inf
        lifetime = EVIDENCE_LIFETIME * self._growth(ends)
        return latest_end(ends.values()) + min(MAX_EVIDENCE_LIFETIME, lifetime)

    def trial_at(self, ends: Mapping[str, EngineEnd]) -> float:
        """Return from when on a request with the trait may be tried.

        Copies of a single request are not: withholding them takes no service down.
        """
        if _is_one_request(self.trait):
            return inf
        return latest_end(ends.values()) + TRIAL_DELAY * self._growth(ends)

    def _growth(self, ends: Mapping[str, EngineEnd]) -> float:
        further = max(0, self.count(ends.values()) - self.ends_needed)
        return LIFETIME_GROWTH**further

    def is_forgotten(self, now: float) -> bool:
        """Return whether the trait may be dropped.

        The ends of a past quarantine are remembered, so that the next one renews it.
        """
        ends = self.uncleared_ends
        was_quarantined = self.count(ends.values()) >= self.ends_needed
        kept_for = MAX_EVIDENCE_LIFETIME if was_quarantined else 0.0
        latest = latest_end(self.ends.values())
        until = max(latest + EVIDENCE_LIFETIME, self.counts_until(ends) + kept_for)
        return now >= max(until, self.announce_until)

    @property
    def ends_needed(self) -> int:
        """The number of separate ends for which the trait is quarantined."""
        if self.trait.startswith(CONTENT_TRAIT) or self.cleared_at is not None:
            return MIN_ENDS_AFTER_USE
        return MIN_ENDS

    def add_end(self, engine: str, end: EngineEnd, now: float) -> bool:
        """Add an engine's end; return whether it was not known before."""
        if engine in self.ends:
            return False
        self.ends[engine] = end
        self.last_end_known_at = now
        if len(self.ends) > MAX_ENDS_KEPT:
            dropped = least_telling(self.ends, self._counts_unplaced)
            del self.ends[dropped]
            return dropped != engine
        return True

    def clear(self, at: float) -> bool:
        """Clear the trait; return whether that is news for peers."""
        before = self.cleared_at
        if before is not None and at <= before:
            return False
        self.cleared_at = at
        is_later = before is None or at > before + MIN_CLEARING_ADVANCE
        return is_later and latest_end(self.ends.values()) > (before or 0.0)


class AnswerTimes:
    """When requests with a trait were last answered, for the most recent traits.

    :param limit: the number of traits that are remembered.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._times: OrderedDict[TraitKey, float] = OrderedDict()

    def add(self, key: TraitKey, now: float) -> None:
        """Record an answer."""
        self._times[key] = now
        self._times.move_to_end(key)
        if len(self._times) > self._limit:
            self._times.popitem(last=False)

    def get(self, key: TraitKey) -> float | None:
        """Return when the last answer was; ``None`` if none is remembered."""
        return self._times.get(key)


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
    :param is_trier: returns whether this node tries withheld requests for all nodes.
    """

    def __init__(
        self,
        stall: Callable[[], float],
        observer: QuarantineObserver | None = None,
        on_change: Callable[[], None] = lambda: None,
        is_trier: Callable[[], bool] = lambda: False,
    ) -> None:
        self._stall = stall
        self._observer = observer or QuarantineObserver()
        self.on_change = on_change
        self._suspects: dict[TraitKey, Suspect] = {}
        self._quarantines: list[Quarantine] = []
        self._services_with_suspected_requests: set[str] = set()
        self._trials = QuarantineTrials(is_trier)
        self._answered_parts = AnswerTimes(MAX_ANSWERED_PARTS)
        self._answered_requests = AnswerTimes(MAX_ANSWERED_REQUESTS)

    @staticmethod
    def may_have_ended_engine(attempt: Attempt) -> bool:
        """Return whether an attempt may be why its engine closed the connection.

        A request that had brought events only ran beside the one that is.
        """
        return (
            attempt.outcome is AttemptOutcome.INCOMPLETE
            and attempt.is_closed_by_endpoint
            and attempt.events < MIN_EVENTS_WRITTEN
        )

    def is_evidence_against_parts(self, attempt: Attempt, is_stream: bool) -> bool:
        """Return whether an attempt ended with its engine as that began to write.

        Requests that had not begun only ran beside the one that ended the engine. Sound
        ones share their parts, so these need closer evidence than a single request.
        """
        if not self.may_have_ended_engine(attempt) or attempt.ended_at is None:
            return False
        if is_stream and attempt.first_byte_at is None:
            return False
        silence = attempt.ended_at - (attempt.first_byte_at or attempt.sent_at)
        max_silence = MAX_SILENCE_PER_STALL * self._stall()
        return not max_silence or silence < max_silence

    def on_engine_ended(
        self,
        service: str,
        traits: Iterable[str],
        engine: str,
        sent_at: float,
        now: float,
        data_centre: str = "",
    ) -> None:
        """Record that an engine ended under a request.

        :param traits: those of the request that the end is evidence against.
        :param engine: the incarnation of the engine.
        :param sent_at: when the request was sent there.
        :param data_centre: the engine's; empty if it is unknown.
        """
        for trait in traits:
            suspect = self._suspect((service, trait))
            known_at = suspect.last_end_known_at
            earlier = suspect.ends.values()
            end = place_end(earlier, known_at, sent_at, now, data_centre)
            if suspect.add_end(engine, end, now):
                suspect.announce_until = now + ANNOUNCE_TIME
        self._update(now)

    def on_answered(self, service: str, traits: Iterable[str], now: float) -> None:
        """Record that an engine has answered a request, or writes, without ending."""
        is_news = False
        for trait in traits:
            key = service, trait
            self._answer_times(trait).add(key, now)
            suspect = self._suspects.get(key)
            if suspect is not None and suspect.clear(now):
                suspect.announce_until = now + ANNOUNCE_TIME
                is_news = True
        if is_news:
            self._update(now)

    def lift(self, service: str, trait: str, now: float) -> bool:
        """End a trait's quarantine, here and at the peers, for an operator.

        :returns: whether there was evidence against the trait.
        """
        suspect = self._suspects.get((service, trait))
        ends = suspect.counted_ends(now) if suspect is not None else {}
        if not ends:
            return False
        # Other traits that the same ends speak against would be blamed next.
        for key, other in self._suspects.items():
            others_ends = other.counted_ends(now)
            if key[0] == service and others_ends and others_ends.keys() <= ends.keys():
                other.clear(now)
                other.announce_until = now + ANNOUNCE_TIME
        self._update(now)
        return True

    def are_written_on(self, service: str, parts: Iterable[str]) -> bool:
        """Return whether engines have written on each of a prompt's parts.

        A request on such parts that may have ended an engine was probably beside the
        one that did.
        """
        return all(
            self._answered_parts.get((service, part)) is not None for part in parts
        )

    def suspects_requests(self, service: str) -> bool:
        """Return whether engines of a service have ended under single requests.

        Only then can one of its requests be withheld.
        """
        return service in self._services_with_suspected_requests

    def withheld_until(
        self,
        service: str,
        traits: tuple[str, ...],
        now: float,
        trial: frozenset[QuarantineKey] = frozenset(),
    ) -> float | None:
        """Return until when a request is withheld; ``None`` if it may be sent.

        :param trial: what :meth:`begin_trial` returned for it.
        """
        applying = self._applying(service, traits, now)
        return max(
            (each.until for each in applying if each.key not in trial), default=None
        )

    def retry_at(self, service: str, traits: tuple[str, ...], now: float) -> float:
        """Return when the caller of a withheld request may ask again.

        That is earlier than the end of a quarantine which is tried before.
        """
        applying = self._applying(service, traits, now)
        return max((self._trials.retry_at(each, now) for each in applying), default=now)

    def on_arrival(self, service: str, traits: Iterable[str]) -> None:
        """Count a request, which shows how many are withheld."""
        if self._quarantines:
            self._trials.on_arrival(self._quarantines, service, traits)

    def begin_trial(
        self, service: str, traits: tuple[str, ...], now: float
    ) -> frozenset[QuarantineKey]:
        """Begin to try a withheld request; return what it is tried for.

        Nothing is returned if the request must not be sent.
        """
        return self._trials.begin(self._applying(service, traits, now), now)

    def end_trial(self, trial: frozenset[QuarantineKey], now: float) -> None:
        """End a trial once its request was answered, or was not.

        :param trial: what :meth:`begin_trial` returned.
        """
        self._trials.end(trial, now)

    def _applying(
        self, service: str, traits: tuple[str, ...], now: float
    ) -> list[Quarantine]:
        if not self._quarantines or not traits:
            return []
        if any(each.until <= now for each in self._quarantines):
            self._update(now)
        return [
            each
            for each in self._quarantines
            if each.service == service and each.applies_to(traits)
        ]

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

    def evidence_to_store(self, now: float) -> tuple[TraitEvidence, ...]:
        """Return the evidence that must outlast the restart of all nodes."""
        keys = [
            key
            for key, suspect in self._suspects.items()
            if suspect.count(suspect.uncleared_ends.values()) >= MIN_ENDS_STORED
        ]
        return self._evidence(keys, now)

    def announce_all(self, now: float) -> None:
        """Send all evidence to peers again, since one of them may have missed it."""
        for suspect in self._suspects.values():
            suspect.announce_until = now + ANNOUNCE_TIME

    def merge(self, evidence: Iterable[TraitEvidence], now: float) -> None:
        """Add a peer's evidence, or that of the store."""
        is_news = False
        for each in evidence:
            suspect = self._suspect((each.service, each.trait))
            cleared_at = now - each.cleared_age if each.cleared_age >= 0 else None
            changes = [
                suspect.add_end(
                    engine,
                    EngineEnd(now - age, each.data_centres.get(engine, "")),
                    now,
                )
                for engine, age in each.end_ages.items()
                if age < 2 * MAX_EVIDENCE_LIFETIME
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
            suspect = Suspect(key[1], cleared_at=self._answer_times(key[1]).get(key))
            self._suspects[key] = suspect
        return suspect

    def _answer_times(self, trait: str) -> "AnswerTimes":
        is_one = _is_one_request(trait)
        return self._answered_requests if is_one else self._answered_parts

    def _evidence(
        self, keys: Iterable[TraitKey], now: float
    ) -> tuple[TraitEvidence, ...]:
        selected = [(key, self._suspects[key]) for key in keys]
        selected.sort(key=lambda item: -len(item[1].counted_ends(now)))
        return tuple(
            TraitEvidence(
                *key,
                {engine: now - end.at for engine, end in suspect.ends.items()},
                -1.0 if suspect.cleared_at is None else now - suspect.cleared_at,
                {
                    engine: end.data_centre
                    for engine, end in suspect.ends.items()
                    if end.data_centre
                },
            )
            for key, suspect in selected[:MAX_ANNOUNCED]
        )

    def _update(self, now: float) -> None:
        """Drop old evidence and decide anew what is withheld."""
        # Cleared parts are kept too, for peers that did not hear of it.
        for key, suspect in list(self._suspects.items()):
            if suspect.is_forgotten(now):
                del self._suspects[key]
        counted = {
            key: suspect.counted_ends(now) for key, suspect in self._suspects.items()
        }
        least = sorted(counted, key=lambda key: len(counted[key]))
        for key in least[: max(0, len(least) - MAX_SUSPECTS)]:
            del self._suspects[key], counted[key]
        self._services_with_suspected_requests = {
            service
            for (service, trait), ends in counted.items()
            if ends and _is_one_request(trait)
        }
        before, self._quarantines = self._quarantines, self._decide(counted, now)
        self._trials.forget_others(self._quarantines)
        known = {each.key for each in before}
        current = {each.key for each in self._quarantines}
        for each in before:
            if each.key not in current:
                self._observer.on_end(each)
        for each in self._quarantines:
            if each.key not in known:
                self._observer.on_begin(each)
        self.on_change()

    def _decide(
        self, counted: Mapping[TraitKey, Mapping[str, EngineEnd]], now: float
    ) -> list[Quarantine]:
        """Return what is withheld, by the ends that count for each trait."""
        quarantines = self._explain(counted)
        quarantined = {
            (each.service, trait) for each in quarantines for trait in each.traits
        }
        for key, ends in counted.items():
            service, trait = key
            if key in quarantined or not trait.startswith(REQUEST_TRAIT):
                continue
            suspect = self._suspects[key]
            until = latest_end(ends.values()) + HOLD_TIME
            is_close = suspect.count(ends.values()) >= suspect.ends_needed - 1
            if is_close and until > now:
                quarantines.append(
                    Quarantine(service, frozenset({trait}), frozenset(ends), until)
                )
        return quarantines

    def _explain(
        self, counted: Mapping[TraitKey, Mapping[str, EngineEnd]]
    ) -> list[Quarantine]:
        """Return the fewest traits that explain the ends of engines.

        Traits that no engine is known to have answered come first, then those with more
        ends, then those of fewer requests. A trait whose ends the ones before it
        explain is not to blame; if it is after all, its next end puts it before them.
        """
        suspected = [
            key
            for key, ends in counted.items()
            if self._suspects[key].count(ends.values())
            >= self._suspects[key].ends_needed
        ]
        suspected.sort(
            key=lambda key: (
                self._suspects[key].cleared_at is not None,
                -len(counted[key]),
                _breadth(key[1]),
                self._suspects[key].cleared_at or 0.0,
                key,
            )
        )
        explained: set[tuple[str, str]] = set()
        quarantines = []
        for key in suspected:
            service = key[0]
            ends = counted[key]
            unexplained = {id_ for id_ in ends if (service, id_) not in explained}
            needed = self._suspects[key].ends_needed
            if self._suspects[key].count(ends[id_] for id_ in unexplained) < needed:
                continue
            explained |= {(service, id_) for id_ in unexplained}
            traits = frozenset({key[1], *self._inseparable(key, suspected, counted)})
            until = self._suspects[key].counts_until(ends)
            trial_at = self._suspects[key].trial_at(ends)
            quarantines.append(
                Quarantine(service, traits, frozenset(ends), until, trial_at)
            )
        return quarantines

    def _inseparable(
        self,
        key: TraitKey,
        suspected: Iterable[TraitKey],
        counted: Mapping[TraitKey, Mapping[str, EngineEnd]],
    ) -> list[str]:
        """Return the parts of prompts that the evidence does not tell from one of them.

        No request has the traits of two different requests, so these are never joined.
        """
        if _is_one_request(key[1]):
            return []
        return [
            other[1]
            for other in suspected
            if other[0] == key[0]
            and not _is_one_request(other[1])
            and counted[other].keys() == counted[key].keys()
            and self._suspects[other].ends_needed == self._suspects[key].ends_needed
        ]


def _is_ahead(own: float | None, received: float | None) -> bool:
    """Return whether a node knows of a later clearing than its peer."""
    if own is None:
        return False
    return received is None or own > received + MIN_CLEARING_ADVANCE
