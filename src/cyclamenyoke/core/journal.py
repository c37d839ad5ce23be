"""The journal of calls that may run at most once.

Keys hash to slots. Each slot is one value in the platform's key-value service and
is changed only by compare-and-swap. A call may start only after its claim is in
the journal. The value carries a horizon: keys issued before it are rejected, so
that an expired claim can be dropped without its key ever running again.
"""

import enum
import hashlib

import msgspec

JOURNAL_SLOTS = 1024
"""Slots per service. Must not change: keys would hash to other slots, and their
claims would be lost."""

MAX_JOURNAL_BYTES = 900 * 1024
"""Maximum size of an encoded slot; the platform stores values of up to a megabyte."""

MAX_RECORDED_BODY_BYTES = 1024
"""Maximum size of a response body that the journal keeps for repeated calls."""


class ClaimState(enum.Enum):
    """The progress of the call that a claim is for."""

    CLAIMED = 0
    DONE = 1
    FAILED = 2


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """A recorded response.

    :param body: the complete body, or ``None`` if it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One key's entry in the journal.

    :param claim_id: unique to one request for a claim by one incarnation of an agent.
    :param agent: the only agent that may start the call.
    :param incarnation: the incarnation of that agent.
    :param issued_at: when the caller issued the key, in seconds of Unix time.
    :param fingerprint: digest of the call; a different call with the same key is
        rejected.
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

    :param horizon: Unix time before which issued keys are rejected; never decreases.
    :param claims: by key digest.
    """

    horizon: float = 0.0
    claims: dict[str, Claim] = {}


def key_digest(service: str, customer: str, key: str) -> str:
    """Return the digest under which the journal stores a key.

    It covers the customer, so that equal keys of two customers don't collide and
    reveal nothing about each other.

    >>> key_digest("s", "a", "k") == key_digest("s", "b", "k")
    False
    """
    parts = msgspec.msgpack.encode((service, customer, key))
    return hashlib.blake2b(parts, digest_size=12).hexdigest()


def slot_of(digest: str) -> int:
    """Return the number of the slot that a key digest belongs to."""
    return int(digest[:8], 16) % JOURNAL_SLOTS


def slot_name(service: str, digest: str) -> str:
    """Return the key-value service's key of the slot that a digest belongs to."""
    return f"journal/{service}/{slot_of(digest)}"


def encode_journal(journal: Journal) -> bytes:
    """Encode a slot as it is stored."""
    return msgspec.msgpack.encode(journal)


def decode_journal(value: bytes | None) -> Journal:
    """Decode a stored slot; a missing value is an empty slot."""
    if value is None:
        return Journal()
    return msgspec.msgpack.decode(value, type=Journal)


def drop_expired(claims: dict[str, Claim], horizon: float) -> dict[str, Claim]:
    """Return the claims whose keys were issued at the horizon or after it."""
    return {
        digest: claim for digest, claim in claims.items() if claim.issued_at >= horizon
    }
