"""Claims in the journal: limits, and regressions that the simulation found."""

from random import Random

import pytest

from cyclamenyoke.core import claims
from cyclamenyoke.core.claims import (
    AlreadyClaimed,
    ClaimManager,
    Granted,
    ReadSlot,
    Rejected,
    WriteSlot,
)
from cyclamenyoke.core.journal import ClaimState, decode_journal, key_digest
from cyclamenyoke.core.journal_rate_limit import BURST_DURATION
from cyclamenyoke.core.messages import Reason

NOW = 1000.0
DIGEST = key_digest("orders", "customer", "key")


@pytest.fixture
def manager() -> ClaimManager:
    return ClaimManager("agent", "agent@1", 60.0, Random(1))


def prepare_claim(manager: ClaimManager, now: float = NOW) -> tuple[str, WriteSlot]:
    """Claim a key in an empty journal; return the claim id and the pending write."""
    claim_id, steps = manager.claim("orders", DIGEST, now, b"f", now)
    read = steps[0]
    assert isinstance(read, ReadSlot)
    write = manager.on_read(read.slot, 0, None, now)[0]
    assert isinstance(write, WriteSlot)
    return claim_id, write


def test_claim_is_granted_once_its_write_is_accepted(manager):
    claim_id, write = prepare_claim(manager)
    assert manager.on_written(write.slot, 1, NOW) == [Granted(claim_id)]


def test_unconfirmed_write_is_resolved_by_reading_back(manager):
    claim_id, write = prepare_claim(manager)
    assert manager.on_unconfirmed(write.slot, NOW) == []
    read = manager.tick(NOW + 1.0)[0]
    assert isinstance(read, ReadSlot)
    assert manager.on_read(write.slot, 1, write.value, NOW + 1.0) == [Granted(claim_id)]


def test_claim_of_another_agent_is_kept(manager):
    other = ClaimManager("other", "other@1", 60.0, Random(1))
    _, write = prepare_claim(other)
    claim_id, own_write = prepare_claim(manager)
    steps = manager.on_conflict(own_write.slot, NOW)
    assert steps == [ReadSlot(own_write.slot)]
    decision = manager.on_read(own_write.slot, 1, write.value, NOW)[0]
    assert isinstance(decision, AlreadyClaimed)
    assert decision.claim_id == claim_id
    assert decision.existing.agent == "other"


def test_stale_read_does_not_lose_an_outcome(manager):
    claim_id, write = prepare_claim(manager)
    manager.on_written(write.slot, 1, NOW)
    manager.record("orders", DIGEST, claim_id, ClaimState.DONE, None, NOW)
    outcome_write = manager.tick(NOW + 3.0)[0]
    manager.on_conflict(outcome_write.slot, NOW + 3.0)
    steps = manager.on_read(outcome_write.slot, 0, None, NOW + 3.0)
    stored = decode_journal(steps[0].value)
    assert stored.claims[DIGEST].state is ClaimState.DONE


def test_key_below_the_horizon_is_rejected(manager):
    claim_id, steps = manager.claim("orders", DIGEST, NOW - 100.0, b"f", NOW)
    write = manager.on_read(steps[0].slot, 0, None, NOW)[0]
    assert decode_journal(write.value).horizon == NOW - 60.0
    decisions = manager.on_written(write.slot, 1, NOW)
    assert decisions == [Rejected(claim_id, Reason.KEY_EXPIRED)]


def test_full_slot_rejects_claims(manager, monkeypatch):
    monkeypatch.setattr(claims, "MAX_JOURNAL_BYTES", 10)
    claim_id, steps = manager.claim("orders", DIGEST, NOW, b"f", NOW)
    assert manager.on_read(steps[0].slot, 0, None, NOW) == [
        Rejected(claim_id, Reason.JOURNAL_FULL)
    ]


def test_outage_rejects_claims_and_limits_probes(manager):
    _, write = prepare_claim(manager)
    call_count = 0
    now = NOW
    manager.on_unconfirmed(write.slot, now)
    while now < NOW + 30.0:
        now += 0.1
        for step in manager.tick(now):
            if isinstance(step, ReadSlot | WriteSlot):
                call_count += 1
                manager.on_unconfirmed(step.slot, now)
    assert call_count < 40
    claim_id, _ = manager.claim("orders", DIGEST, now, b"f", now)
    assert Rejected(claim_id, Reason.JOURNAL_UNAVAILABLE) in manager.tick(now + 0.11)


def test_writes_respect_the_rate_limit_and_are_batched(manager):
    manager.configure(60.0, write_rate=2.0)
    write_count = 0
    granted = []
    values: dict[str, tuple[int, bytes | None]] = {}
    for number in range(200):
        now = NOW + number / 20
        _, steps = manager.claim(
            "orders", key_digest("orders", "c", f"{number}"), now, b"f", now
        )
        steps += manager.tick(now)
        while steps:
            step = steps.pop(0)
            if isinstance(step, ReadSlot):
                steps += manager.on_read(
                    step.slot, *values.get(step.slot, (0, None)), now
                )
            elif isinstance(step, WriteSlot):
                write_count += 1
                values[step.slot] = (step.expected_revision + 1, step.value)
                steps += manager.on_written(step.slot, step.expected_revision + 1, now)
            elif isinstance(step, Granted):
                granted.append(step)
    assert write_count <= 2.0 * (10 + BURST_DURATION)
    assert granted


def test_cache_evicts_idle_slots(manager, monkeypatch):
    monkeypatch.setattr(claims, "MAX_CACHED_CLAIMS", 0)
    claim_id, write = prepare_claim(manager)
    manager.on_written(write.slot, 1, NOW)
    manager.record("orders", DIGEST, claim_id, ClaimState.DONE, None, NOW)
    outcome_write = next(
        s for s in manager.flush(NOW + 3.0) if isinstance(s, WriteSlot)
    )
    manager.on_written(outcome_write.slot, 2, NOW + 3.0)
    manager.tick(NOW + 4.0)
    _, steps = manager.claim("orders", DIGEST, NOW, b"f", NOW + 4.0)
    assert steps == [ReadSlot(write.slot)]
