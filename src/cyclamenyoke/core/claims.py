"""An agent's claims on idempotency keys, written to the journal by group commit.

The manager caches each journal slot that it uses and has at most one write per
slot in flight. Claims and outcomes that arrive meanwhile go into the next write.
Only the content of the journal decides whether a write took effect: a claim is
granted once the agent's own claim id is in the journal.

States of a slot::

    UNREAD   --read sent-->    READING
    READING  --value-->        READY     --read failed--> UNREAD, after a delay
    READY    --write sent-->   WRITING
    WRITING  --accepted-->     READY     --conflict or no reply--> UNREAD
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import msgspec

from cyclamenyoke.core.journal import (
    MAX_JOURNAL_BYTES,
    Claim,
    ClaimState,
    Journal,
    Outcome,
    decode_journal,
    drop_expired,
    encode_journal,
    slot_name,
)
from cyclamenyoke.core.journal_rate_limit import (
    DEFAULT_WRITE_RATE,
    JournalBackoff,
    WriteRateLimiter,
)
from cyclamenyoke.core.messages import Reason
from cyclamenyoke.core.units import SECOND

OUTCOME_WRITE_DELAY = 2 * SECOND
"""Seconds for which an outcome is held back to share the write of a claim."""

MAX_CACHED_CLAIMS = 20_000
"""Number of claims in all cached slots above which idle slots are evicted."""


@dataclass(frozen=True, slots=True)
class ReadSlot:
    """Effect: read the value and revision of a journal slot."""

    slot: str


@dataclass(frozen=True, slots=True)
class WriteSlot:
    """Effect: compare-and-swap the value of a journal slot."""

    slot: str
    expected_revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Granted:
    """Decision: the claim is in the journal, and its holder may start the call."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """Decision: the claim was not granted and never will be."""

    claim_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Decision: the journal already has another claim on the key."""

    claim_id: str
    existing: Claim


Step = ReadSlot | WriteSlot | Granted | Rejected | AlreadyClaimed


class SlotState(enum.Enum):
    """The state of the cached copy of a slot."""

    UNREAD = "unread"
    READING = "reading"
    READY = "ready"
    WRITING = "writing"


@dataclass(slots=True)
class PendingClaim:
    """A claim that is not in the journal yet.

    :param expires_at: Unix time at which it is rejected unless it was written.
    """

    digest: str
    claim: Claim
    expires_at: float


@dataclass(slots=True)
class Slot:
    """The cached copy of a slot and the changes that are to be written to it.

    :param flush_at: Unix time at which outcomes and abandoned claims are written
        even without a pending claim.
    :param outcomes: finished claims to write, by key digest.
    :param abandoned: key digests of claims to remove, by claim id.
    :param written: the journal of the write in flight.
    """

    name: str
    state: SlotState = SlotState.UNREAD
    revision: int = 0
    journal: Journal = field(default_factory=Journal)
    flush_at: float = 0.0
    pending_claims: dict[str, PendingClaim] = field(default_factory=dict)
    outcomes: dict[str, Claim] = field(default_factory=dict)
    abandoned: dict[str, str] = field(default_factory=dict)
    written: Journal = field(default_factory=Journal)

    @property
    def has_pending_writes(self) -> bool:
        """Whether a write is needed, at once or by ``flush_at``."""
        return bool(self.pending_claims or self.outcomes or self.abandoned)

    @property
    def is_idle(self) -> bool:
        """Whether the cached copy may be evicted."""
        return not self.has_pending_writes and self.state in (
            SlotState.READY,
            SlotState.UNREAD,
        )

    def needs_write_now(self, now: float) -> bool:
        """Return whether a write is needed at once."""
        return bool(self.pending_claims) or (
            self.has_pending_writes and self.flush_at <= now
        )


class ClaimManager:
    """Manages the claims of one incarnation of an agent.

    Each public method records an event and then advances the slot, which yields
    at most one read or write and any number of decisions.

    :param agent: the agent's name.
    :param incarnation: the agent's incarnation.
    :param retention: seconds after its issue for which a key is remembered.
    :param random: random number generator for jitter.
    """

    def __init__(
        self, agent: str, incarnation: str, retention: float, random: Random
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._retention = retention
        self._backoff = JournalBackoff(random)
        self._write_limiter = WriteRateLimiter(DEFAULT_WRITE_RATE)
        self._slots: dict[str, Slot] = {}
        self._granted: dict[str, Claim] = {}
        self._next_claim = 0

    @property
    def is_flushed(self) -> bool:
        """Whether every change is written."""
        return not any(slot.has_pending_writes for slot in self._slots.values())

    def configure(self, retention: float, write_rate: float) -> None:
        """Apply the agent's settings of a new configuration.

        :param write_rate: journal writes per second.
        """
        self._retention = retention
        self._write_limiter.set_rate(write_rate)

    def flush(self, now: float) -> list[Step]:
        """Write delayed outcomes at once, because the agent is draining."""
        for slot in self._slots.values():
            slot.flush_at = min(slot.flush_at, now)
        return self.tick(now)

    def claim(
        self,
        service: str,
        digest: str,
        issued_at: float,
        fingerprint: bytes,
        now: float,
    ) -> tuple[str, list[Step]]:
        """Request a claim on a key; return its claim id and the resulting steps.

        :param digest: digest of the idempotency key.
        :param issued_at: when the caller issued the key, in seconds of Unix time.
        :param fingerprint: digest of the call.
        """
        self._next_claim += 1
        claim_id = f"{self._agent}/{self._incarnation}/{self._next_claim}"
        claim = Claim(claim_id, self._agent, self._incarnation, issued_at, fingerprint)
        slot = self._slot(slot_name(service, digest))
        slot.pending_claims[claim_id] = PendingClaim(
            digest, claim, self._backoff.claim_deadline(now)
        )
        return claim_id, list(self._advance(slot, now))

    def abandon(
        self, service: str, digest: str, claim_id: str, now: float
    ) -> list[Step]:
        """Abandon an unused claim, and remove it from the journal if it is there."""
        slot = self._slot(slot_name(service, digest))
        slot.pending_claims.pop(claim_id, None)
        self._granted.pop(claim_id, None)
        self._schedule_flush(slot, now)
        slot.abandoned[claim_id] = digest
        return list(self._advance(slot, now))

    def record(
        self,
        service: str,
        digest: str,
        claim_id: str,
        state: ClaimState,
        outcome: Outcome | None,
        now: float,
    ) -> list[Step]:
        """Record the outcome of a call that was started under a granted claim."""
        slot = self._slot(slot_name(service, digest))
        self._schedule_flush(slot, now)
        slot.outcomes[digest] = msgspec.structs.replace(
            self._granted[claim_id], state=state, outcome=outcome
        )
        return list(self._advance(slot, now))

    def on_read(
        self, name: str, revision: int, value: bytes | None, now: float
    ) -> list[Step]:
        """Process the value that a :class:`ReadSlot` returned."""
        slot = self._slot(name)
        if slot.state is not SlotState.READING:
            return []
        self._backoff.on_success()
        self._adopt(slot, revision, decode_journal(value))
        return list(self._advance(slot, now))

    def on_written(self, name: str, revision: int, now: float) -> list[Step]:
        """Process the acceptance of a :class:`WriteSlot`."""
        slot = self._slot(name)
        if slot.state is not SlotState.WRITING:
            return []
        self._backoff.on_success()
        self._adopt(slot, revision, slot.written)
        return list(self._advance(slot, now))

    def on_conflict(self, name: str, now: float) -> list[Step]:
        """Read the slot again after a conflict with another writer."""
        self._backoff.on_success()
        slot = self._slot(name)
        slot.state = SlotState.UNREAD
        return list(self._advance(slot, now))

    def on_unconfirmed(self, name: str, now: float) -> list[Step]:
        """Back off after a failed read, or a write that may still take effect."""
        slot = self._slot(name)
        slot.state = SlotState.UNREAD
        self._backoff.on_failure(now)
        return list(self._advance(slot, now))

    def tick(self, now: float) -> list[Step]:
        """Evict idle slots, retry due reads and writes, and reject overdue claims."""
        self._evict_idle()
        return [
            step
            for slot in list(self._slots.values())
            if slot.has_pending_writes
            for step in self._advance(slot, now)
        ]

    def _slot(self, name: str) -> Slot:
        """Return a slot and make it the most recently used one."""
        slot = self._slots.pop(name, None) or Slot(name)
        self._slots[name] = slot
        return slot

    def _schedule_flush(self, slot: Slot, now: float) -> None:
        """Start the write delay of a slot, unless an earlier change started it."""
        if not slot.outcomes and not slot.abandoned:
            slot.flush_at = now + OUTCOME_WRITE_DELAY

    def _evict_idle(self) -> None:
        """Evict the least recently used idle slots when the cache is full."""
        cached = sum(len(slot.journal.claims) for slot in self._slots.values())
        for name, slot in list(self._slots.items()):
            if cached <= MAX_CACHED_CLAIMS:
                return
            if slot.is_idle:
                cached -= len(slot.journal.claims)
                del self._slots[name]

    def _adopt(self, slot: Slot, revision: int, journal: Journal) -> None:
        """Replace the cached copy, and discard changes that need no write any more."""
        slot.state = SlotState.READY
        slot.revision = revision
        slot.journal = journal
        for digest, claim in list(slot.outcomes.items()):
            expired = claim.issued_at < journal.horizon
            if expired or journal.claims.get(digest) == claim:
                self._granted.pop(claim.claim_id, None)
                del slot.outcomes[digest]
        existing = {claim.claim_id for claim in journal.claims.values()}
        for claim_id in list(slot.abandoned):
            if claim_id not in existing:
                del slot.abandoned[claim_id]

    def _advance(self, slot: Slot, now: float) -> Iterator[Step]:
        yield from self._reject_overdue(slot, now)
        if slot.state is SlotState.READY:
            yield from self._decide(slot)
        is_call_in_flight = slot.state in (SlotState.READING, SlotState.WRITING)
        if (
            is_call_in_flight
            or not slot.needs_write_now(now)
            or not self._backoff.can_call(now)
        ):
            return
        if slot.state is SlotState.UNREAD:
            slot.state = SlotState.READING
            yield ReadSlot(slot.name)
        elif self._write_limiter.take(bool(slot.pending_claims), now):
            yield from self._write(slot, now)

    def _reject_overdue(self, slot: Slot, now: float) -> Iterator[Step]:
        for claim_id, pending in list(slot.pending_claims.items()):
            if pending.expires_at <= now:
                del slot.pending_claims[claim_id]
                self._schedule_flush(slot, now)
                slot.abandoned[claim_id] = pending.digest
                yield Rejected(claim_id, Reason.JOURNAL_UNAVAILABLE)

    def _decide(self, slot: Slot) -> Iterator[Step]:
        for claim_id, pending in list(slot.pending_claims.items()):
            existing = self._existing_claim(slot, pending.digest)
            if existing is not None and existing.claim_id == claim_id:
                del slot.pending_claims[claim_id]
                self._granted[claim_id] = existing
                yield Granted(claim_id)
            elif existing is not None and not self._is_unused(existing, slot):
                del slot.pending_claims[claim_id]
                yield AlreadyClaimed(claim_id, existing)
            elif pending.claim.issued_at < slot.journal.horizon:
                del slot.pending_claims[claim_id]
                yield Rejected(claim_id, Reason.KEY_EXPIRED)

    def _existing_claim(self, slot: Slot, digest: str) -> Claim | None:
        return slot.outcomes.get(digest) or slot.journal.claims.get(digest)

    def _is_unused(self, claim: Claim, slot: Slot) -> bool:
        """Return whether a claim is this incarnation's own and was never used.

        A write without a reply can put a claim into the journal long after the
        claim was abandoned.
        """
        if claim.claim_id in slot.abandoned:
            return True
        own = (claim.agent, claim.incarnation) == (self._agent, self._incarnation)
        is_used = (
            claim.claim_id in self._granted or claim.claim_id in slot.pending_claims
        )
        return own and claim.state is ClaimState.CLAIMED and not is_used

    def _write(self, slot: Slot, now: float) -> Iterator[Step]:
        journal = self._next_journal(slot, now)
        value = encode_journal(journal)
        if len(value) > MAX_JOURNAL_BYTES and slot.pending_claims:
            for claim_id in list(slot.pending_claims):
                del slot.pending_claims[claim_id]
                yield Rejected(claim_id, Reason.JOURNAL_FULL)
            return
        slot.state = SlotState.WRITING
        slot.written = journal
        yield WriteSlot(slot.name, slot.revision, value)

    def _next_journal(self, slot: Slot, now: float) -> Journal:
        horizon = max(slot.journal.horizon, now - self._retention)
        claims = {
            digest: claim
            for digest, claim in slot.journal.claims.items()
            if not self._is_unused(claim, slot)
        }
        claims.update(slot.outcomes)
        for pending in slot.pending_claims.values():
            claims.setdefault(pending.digest, pending.claim)
        return Journal(horizon, drop_expired(claims, horizon))
