"""The journal of calls that may run at most once.

Keys hash to slots. Each slot is one value in the platform's key-value service,
changed by compare-and-swap only. A call may begin only after its claim stands in
the journal. The value carries a horizon: keys issued before it are refused, so an
expired claim can be dropped without the key ever running again.
"""

import enum
import hashlib

import msgspec

JOURNAL_SLOTS = 1024
"""Slots of each service. Fixed: another number would lose claims."""

MAX_JOURNAL_BYTES = 900 * 1024
"""Largest encoded journal value in bytes; the platform holds up to a megabyte."""

MAX_RECORDED_BODY_BYTES = 1024
"""Largest answer body in bytes that the journal keeps for a repeat."""


class ClaimState(enum.Enum):
    """What the journal knows of a claim."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """A recorded answer.

    :param body: the whole body, or ``None`` if it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One key's entry in the journal.

    :param claim_id: unique to one wish of one agent to run one key.
    :param agent: the agent that alone may begin the call.
    :param incarnation: the incarnation of that agent.
    :param issued_at: when the caller issued the key, in seconds of Unix time.
    :param fingerprint: digest of the call; another call may not use the key.
    """

    claim_id: str
    agent: str
    incarnation: str
    issued_at: float
    fingerprint: bytes
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None


class Journal(msgspec.Struct, frozen=True, array_like=True):
    """The value of one slot.

    :param horizon: keys issued before it are refused; never falls.
    :param claims: by key digest.
    """

    horizon: float = 0.0
    claims: dict[str, Claim] = {}


def key_digest(service: str, customer: str, key: str) -> str:
    """Return the name of a key in the journal.

    The customer is part of it, so that one customer's key tells nothing about
    another's.

    >>> key_digest("s", "a", "k") == key_digest("s", "b", "k")
    False
    """
    parts = msgspec.msgpack.encode((service, customer, key))
    return hashlib.blake2b(parts, digest_size=12).hexdigest()


def slot_of(digest: str) -> int:
    """Return the slot of a key digest."""
    return int(digest[:8], 16) % JOURNAL_SLOTS


def slot_name(service: str, digest: str) -> str:
    """Return the key-value key of the slot that answers for a key digest."""
    return f"journal/{service}/{slot_of(digest)}"


def encode_journal(journal: Journal) -> bytes:
    """Return the stored form of a slot."""
    return msgspec.msgpack.encode(journal)


def decode_journal(value: bytes | None) -> Journal:
    """Return a slot from its stored form; an absent value is an empty slot."""
    if value is None:
        return Journal()
    return msgspec.msgpack.decode(value, type=Journal)


def drop_expired(claims: dict[str, Claim], horizon: float) -> dict[str, Claim]:
    """Return the claims whose keys were issued at the horizon or after it."""
    return {
        digest: claim for digest, claim in claims.items() if claim.issued_at >= horizon
    }
