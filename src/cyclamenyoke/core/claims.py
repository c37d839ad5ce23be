"""An agent's claims on keys, written to the journal in groups.

The book owns a cached copy of each slot that it uses. It has at most one write
in flight a slot; claims and outcomes that arrive meanwhile go into the next one
(group commit). Whether a write took effect is decided only by what the journal
holds afterwards: a claim is granted when the agent's own claim id stands there.

States of a slot::

    UNREAD   --read sent-->    READING
    READING  --value-->        READY     --read failed--> UNREAD, after a delay
    READY    --write sent-->   WRITING
    WRITING  --accepted-->     READY     --conflict or lost--> UNREAD
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import msgspec

from cyclamenyoke.core.journal import (
    JOURNAL_LIMIT,
    Claim,
    ClaimState,
    Journal,
    Outcome,
    decode_journal,
    encode_journal,
    purge,
    slot_name,
)
from cyclamenyoke.core.messages import Reason
from cyclamenyoke.core.pacing import DEFAULT_WRITE_RATE, Outage, WritePace
from cyclamenyoke.core.units import SECOND

LAZY_DELAY = 2 * SECOND
"""Seconds for which an outcome waits to share the write of a claim."""

CACHED_CLAIMS = 20_000
"""Claims in cached slots, above which idle slots are forgotten."""


@dataclass(frozen=True, slots=True)
class ReadSlot:
    """Effect: read a slot's value and revision."""

    slot: str


@dataclass(frozen=True, slots=True)
class WriteSlot:
    """Effect: compare-and-swap a slot's value."""

    slot: str
    expected_revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Granted:
    """Decision: the claim stands in the journal; its holder may begin."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision: the claim will never be used."""

    claim_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Occupied:
    """Decision: the journal holds another claim on the key."""

    claim_id: str
    standing: Claim


Step = ReadSlot | WriteSlot | Granted | Refused | Occupied


class SlotState(enum.Enum):
    """What the book knows of a slot."""

    UNREAD = "unread"
    READING = "reading"
    READY = "ready"
    WRITING = "writing"


@dataclass(slots=True)
class Wish:
    """A claim that waits for the journal.

    :param give_up_at: when it is refused if it has not been written.
    """

    digest: str
    claim: Claim
    give_up_at: float


@dataclass(slots=True)
class Slot:
    """The cached copy of a slot and what waits to be written to it.

    :param lazy_due_at: when outcomes and abandoned claims are written without
        waiting for a claim.
    """

    name: str
    state: SlotState = SlotState.UNREAD
    revision: int = 0
    journal: Journal = field(default_factory=Journal)
    lazy_due_at: float = 0.0
    wishes: dict[str, Wish] = field(default_factory=dict)
    outcomes: dict[str, Claim] = field(default_factory=dict)
    abandoned: dict[str, str] = field(default_factory=dict)
    written: Journal = field(default_factory=Journal)

    @property
    def has_work(self) -> bool:
        """Whether a write is needed, now or later."""
        return bool(self.wishes or self.outcomes or self.abandoned)

    @property
    def is_idle(self) -> bool:
        """Whether the cached copy may be forgotten."""
        return not self.has_work and self.state in (SlotState.READY, SlotState.UNREAD)

    def is_due(self, now: float) -> bool:
        """Tell whether a write is needed now."""
        return bool(self.wishes) or (self.has_work and self.lazy_due_at <= now)


class ClaimBook:
    """The claims of one incarnation of one agent.

    Order of processing: each public method records what happened and then
    pumps the slot, which returns at most one read or write and any decisions.

    :param agent: the agent's name.
    :param incarnation: the agent's incarnation.
    :param retention: seconds after its issue for which a key is remembered.
    :param random: the source of jitter.
    """

    def __init__(
        self, agent: str, incarnation: str, retention: float, random: Random
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._retention = retention
        self._outage = Outage(random)
        self._pace = WritePace(DEFAULT_WRITE_RATE)
        self._slots: dict[str, Slot] = {}
        self._granted: dict[str, Claim] = {}
        self._next_claim = 0

    @property
    def is_settled(self) -> bool:
        """Whether nothing waits to be written."""
        return not any(slot.has_work for slot in self._slots.values())

    def configure(self, retention: float, write_rate: float) -> None:
        """Take the agent's part of a new configuration.

        :param write_rate: journal writes a second.
        """
        self._retention = retention
        self._pace.set_rate(write_rate)

    def flush(self, now: float) -> list[Step]:
        """Write what waits for company, because the agent leaves."""
        for slot in self._slots.values():
            slot.lazy_due_at = min(slot.lazy_due_at, now)
        return self.tick(now)

    def claim(
        self,
        service: str,
        digest: str,
        issued_at: float,
        fingerprint: bytes,
        now: float,
    ) -> tuple[str, list[Step]]:
        """Wish for a key; return the claim id and what follows.

        :param issued_at: when the caller issued the key, in Unix time.
        """
        self._next_claim += 1
        claim_id = f"{self._agent}/{self._incarnation}/{self._next_claim}"
        claim = Claim(claim_id, self._agent, self._incarnation, issued_at, fingerprint)
        slot = self._slot(slot_name(service, digest))
        slot.wishes[claim_id] = Wish(digest, claim, self._outage.give_up_at(now))
        return claim_id, list(self._pump(slot, now))

    def abandon(
        self, service: str, digest: str, claim_id: str, now: float
    ) -> list[Step]:
        """Give up a claim that was not used; its entry is dropped if it stands."""
        slot = self._slot(slot_name(service, digest))
        slot.wishes.pop(claim_id, None)
        self._granted.pop(claim_id, None)
        self._put_off(slot, now)
        slot.abandoned[claim_id] = digest
        return list(self._pump(slot, now))

    def record(
        self,
        service: str,
        digest: str,
        claim_id: str,
        state: ClaimState,
        outcome: Outcome | None,
        now: float,
    ) -> list[Step]:
        """Record the outcome of a call that was begun under a claim."""
        slot = self._slot(slot_name(service, digest))
        self._put_off(slot, now)
        slot.outcomes[digest] = msgspec.structs.replace(
            self._granted[claim_id], state=state, outcome=outcome
        )
        return list(self._pump(slot, now))

    def on_read(
        self, name: str, revision: int, value: bytes | None, now: float
    ) -> list[Step]:
        """Take the answer to :class:`ReadSlot`."""
        slot = self._slot(name)
        if slot.state is not SlotState.READING:
            return []
        self._outage.on_success()
        self._adopt(slot, revision, decode_journal(value))
        return list(self._pump(slot, now))

    def on_written(self, name: str, revision: int, now: float) -> list[Step]:
        """Take the news that :class:`WriteSlot` was accepted."""
        slot = self._slot(name)
        if slot.state is not SlotState.WRITING:
            return []
        self._outage.on_success()
        self._adopt(slot, revision, slot.written)
        return list(self._pump(slot, now))

    def on_conflict(self, name: str, now: float) -> list[Step]:
        """Take the news that another writer was first."""
        self._outage.on_success()
        slot = self._slot(name)
        slot.state = SlotState.UNREAD
        return list(self._pump(slot, now))

    def on_lost(self, name: str, now: float) -> list[Step]:
        """Take a failed read, or a write that may yet take effect."""
        slot = self._slot(name)
        slot.state = SlotState.UNREAD
        self._outage.on_failure(now)
        return list(self._pump(slot, now))

    def tick(self, now: float) -> list[Step]:
        """Retry what has waited long enough and refuse what has waited too long."""
        self._forget_idle()
        return [
            step
            for slot in list(self._slots.values())
            if slot.has_work
            for step in self._pump(slot, now)
        ]

    def _slot(self, name: str) -> Slot:
        """Return a slot and note that it was the last one used."""
        slot = self._slots.pop(name, None) or Slot(name)
        self._slots[name] = slot
        return slot

    def _put_off(self, slot: Slot, now: float) -> None:
        """Give the first outcome that waits in a slot its deadline."""
        if not slot.outcomes and not slot.abandoned:
            slot.lazy_due_at = now + LAZY_DELAY

    def _forget_idle(self) -> None:
        """Forget the least recently used idle slots when the cache is full."""
        cached = sum(len(slot.journal.claims) for slot in self._slots.values())
        for name, slot in list(self._slots.items()):
            if cached <= CACHED_CLAIMS:
                return
            if slot.is_idle:
                cached -= len(slot.journal.claims)
                del self._slots[name]

    def _adopt(self, slot: Slot, revision: int, journal: Journal) -> None:
        slot.state = SlotState.READY
        slot.revision = revision
        slot.journal = journal
        for digest, claim in list(slot.outcomes.items()):
            expired = claim.issued_at < journal.horizon
            if expired or journal.claims.get(digest) == claim:
                self._granted.pop(claim.claim_id, None)
                del slot.outcomes[digest]
        standing = {claim.claim_id for claim in journal.claims.values()}
        for claim_id in list(slot.abandoned):
            if claim_id not in standing:
                del slot.abandoned[claim_id]

    def _pump(self, slot: Slot, now: float) -> Iterator[Step]:
        yield from self._refuse_overdue(slot, now)
        if slot.state is SlotState.READY:
            yield from self._decide(slot)
        is_waiting = slot.state in (SlotState.READING, SlotState.WRITING)
        if is_waiting or not slot.is_due(now) or not self._outage.may_call(now):
            return
        if slot.state is SlotState.UNREAD:
            slot.state = SlotState.READING
            yield ReadSlot(slot.name)
        elif self._pace.take(bool(slot.wishes), now):
            yield from self._write(slot, now)

    def _refuse_overdue(self, slot: Slot, now: float) -> Iterator[Step]:
        for claim_id, wish in list(slot.wishes.items()):
            if wish.give_up_at <= now:
                del slot.wishes[claim_id]
                self._put_off(slot, now)
                slot.abandoned[claim_id] = wish.digest
                yield Refused(claim_id, Reason.JOURNAL_UNAVAILABLE)

    def _decide(self, slot: Slot) -> Iterator[Step]:
        for claim_id, wish in list(slot.wishes.items()):
            standing = self._standing(slot, wish.digest)
            if standing is not None and standing.claim_id == claim_id:
                del slot.wishes[claim_id]
                self._granted[claim_id] = standing
                yield Granted(claim_id)
            elif standing is not None and not self._is_void(standing, slot):
                del slot.wishes[claim_id]
                yield Occupied(claim_id, standing)
            elif wish.claim.issued_at < slot.journal.horizon:
                del slot.wishes[claim_id]
                yield Refused(claim_id, Reason.KEY_EXPIRED)

    def _standing(self, slot: Slot, digest: str) -> Claim | None:
        return slot.outcomes.get(digest) or slot.journal.claims.get(digest)

    def _is_void(self, claim: Claim, slot: Slot) -> bool:
        """Tell whether a claim is this incarnation's own and was never used.

        A write whose answer was lost may put an abandoned claim into the journal
        long after it was given up.
        """
        if claim.claim_id in slot.abandoned:
            return True
        own = (claim.agent, claim.incarnation) == (self._agent, self._incarnation)
        is_used = claim.claim_id in self._granted or claim.claim_id in slot.wishes
        return own and claim.state is ClaimState.CLAIMED and not is_used

    def _write(self, slot: Slot, now: float) -> Iterator[Step]:
        journal = self._next_journal(slot, now)
        value = encode_journal(journal)
        if len(value) > JOURNAL_LIMIT and slot.wishes:
            for claim_id in list(slot.wishes):
                del slot.wishes[claim_id]
                yield Refused(claim_id, Reason.JOURNAL_FULL)
            return
        slot.state = SlotState.WRITING
        slot.written = journal
        yield WriteSlot(slot.name, slot.revision, value)

    def _next_journal(self, slot: Slot, now: float) -> Journal:
        horizon = max(slot.journal.horizon, now - self._retention)
        claims = {
            digest: claim
            for digest, claim in slot.journal.claims.items()
            if not self._is_void(claim, slot)
        }
        claims.update(slot.outcomes)
        for wish in slot.wishes.values():
            claims.setdefault(wish.digest, wish.claim)
        return Journal(horizon, purge(claims, horizon))
