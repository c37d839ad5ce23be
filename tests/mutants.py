"""Faults made on purpose, one small patch each, that the randomised run must catch.

Run with ``python -m mutants`` for the table of seed, step and promise.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from unittest.mock import patch

import msgspec

import soak_config
from cyclamenyoke.core import agent
from cyclamenyoke.core.agent import AgentCore
from cyclamenyoke.core.attempts import AttemptTable
from cyclamenyoke.core.claims import ClaimManager, Granted, SlotState
from cyclamenyoke.core.config import ConfigStore
from cyclamenyoke.core.invariants import Invariant
from cyclamenyoke.core.journal import Journal
from cyclamenyoke.core.messages import AttemptId
from cyclamenyoke.core.publishing import MergeResult
from cyclamenyoke.core.request import RequestCore
from cyclamenyoke.core.request_state import AttemptState, ResponseBuffer
from cyclamenyoke.core.runs import Run
from cyclamenyoke.exceptions import InvariantViolation
from soak import Faults, Soak
from soak_config import ConfigSoak

STEPS = 150_000
SEEDS = range(1, 6)


DENSE = Faults(kill=0.003, break_link=0.01, late=0.05, drain=0.002)
"""Faults that strike several times as often as in the ordinary run."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """One fault made on purpose.

    :param invariant: the promise that it breaks.
    """

    name: str
    invariant: Invariant
    target: object
    attribute: str
    value: object
    make: Callable[[int], Soak | ConfigSoak] = lambda seed: Soak(seed, DENSE)


@dataclass(frozen=True, slots=True)
class Catch:
    """Where the run caught a mutant."""

    seed: int
    step: int
    invariant: str


def _claim_without_journal(self: AgentCore, run: Run, now: float):
    return self._start(run, now)


def _trust_lost_write(self: ClaimManager, name: str, now: float):
    slot = self._slot(name)
    if slot.state is SlotState.WRITING:
        return self.on_written(name, slot.revision + 1, now)
    slot.state = SlotState.UNREAD
    return list(self._advance(slot, now))


def _grant_before_write(self: ClaimManager, slot) -> Iterator:
    for claim_id, wish in list(slot.pending_claims.items()):
        if self._existing_claim(slot, wish.digest) is None:
            self._granted[claim_id] = wish.claim
            yield Granted(claim_id)
    yield from _DECIDE(self, slot)


def _void_of_same_agent(self: ClaimManager, claim, slot) -> bool:
    if claim.claim_id in slot.abandoned:
        return True
    unused = claim.claim_id not in self._granted.keys() | slot.pending_claims.keys()
    return claim.agent == self._agent and claim.state.value == 0 and unused


def _purge_without_horizon(self: ClaimManager, slot, now: float) -> Journal:
    journal = _NEXT_JOURNAL(self, slot, now)
    pending_claims = {wish.digest: wish.claim for wish in slot.pending_claims.values()}
    return Journal(0.0, {**pending_claims, **journal.claims})


def _forget_revoked(self: AgentCore, attempt: AttemptId, *reason):
    return [self._rejection(attempt, *(reason or [agent.Reason.NEVER_RECEIVED]))]


def _always_not_run(self: RequestCore):
    for attempt in self._attempts.values():
        attempt.state = AttemptState.NOT_RUN
    return _FINISH_REFUSAL(self)


def _no_promise_awaited(self: RequestCore) -> bool:
    for attempt in self._attempts.values():
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.NOT_RUN
    return False


def _any_attempts_chunk(self: RequestCore, attempt, message, now):
    self._response.add(message.sequence, message.data)
    return self._deliver(attempt)


def _add_unordered(self: ResponseBuffer, sequence: int, data: bytes) -> None:
    self.ready.append(data)
    self.next_sequence += 1


def _keep_what_waits(self: AgentCore, now: float):
    self._draining = True
    return []


def _drop_running(self: AgentCore, message, now):
    run = self._attempts.get(message.attempt.entry, message.attempt.number)
    if run is not None and run.state is agent.RunState.RUNNING:
        run.state = agent.RunState.QUEUED
        return self._drop(run, agent.Reason.REVOKED, now)
    return _ON_REVOKE(self, message, now)


def _take_any_index(self: ConfigStore, index) -> bool:
    self._pending_index = index
    return self._advance()


def _without_read_back(self: ConfigSoak, publish) -> None:
    self.accept(publish, self.index[1])


def _merge_over_others(index, edits, publish_id, author, now) -> MergeResult:
    changed = {edit.service: edit.digest for edit in edits}
    services = index.with_services(changed, publish_id, author, now)
    return MergeResult(msgspec.structs.replace(services, services={}), [])


_DECIDE = ClaimManager._decide
_NEXT_JOURNAL = ClaimManager._next_journal
_FINISH_REFUSAL = RequestCore._reject
_ON_REVOKE = AgentCore.on_revoke

ONCE = Invariant.AT_MOST_ONCE
TRUTH = Invariant.TRUTHFUL_REJECTION
WHOLE = Invariant.OWN_COMPLETE_RESPONSE

MUTANTS = [
    Mutant("run without a claim", ONCE, AgentCore, "_claim", _claim_without_journal),
    Mutant(
        "trust a lost write", ONCE, ClaimManager, "on_unconfirmed", _trust_lost_write
    ),
    Mutant(
        "begin before the write", ONCE, ClaimManager, "_decide", _grant_before_write
    ),
    Mutant(
        "take over an earlier start's claim",
        *(ONCE, ClaimManager, "_is_unused", _void_of_same_agent),
    ),
    Mutant(
        "purge without a horizon",
        *(ONCE, ClaimManager, "_next_journal", _purge_without_horizon),
    ),
    Mutant("forget a promise", TRUTH, AgentCore, "_reject_unseen", _forget_revoked),
    Mutant(
        "refuse after hand-over",
        *(TRUTH, RequestCore, "_reject", _always_not_run),
    ),
    Mutant(
        "await no promise",
        TRUTH,
        RequestCore,
        "_is_settlement_possible",
        _no_promise_awaited,
    ),
    Mutant("revoke what runs", TRUTH, AgentCore, "on_revoke", _drop_running),
    Mutant(
        "forget attempts seen",
        *(TRUTH, AttemptTable, "get", lambda self, entry, number: None),
    ),
    Mutant("old attempt's chunk", WHOLE, RequestCore, "_on_chunk", _any_attempts_chunk),
    Mutant("parts out of order", WHOLE, ResponseBuffer, "add", _add_unordered),
    Mutant(
        "end before the last part",
        *(
            WHOLE,
            ResponseBuffer,
            "is_whole",
            property(lambda self: self.total is not None),
        ),
    ),
    Mutant(
        "begin while leaving",
        *(Invariant.NO_WORK_WHILE_DRAINING, AgentCore, "drain", _keep_what_waits),
    ),
    Mutant(
        "take any index",
        *(Invariant.CONFIG_NEVER_REVERTS, ConfigStore, "offer_index", _take_any_index),
        ConfigSoak,
    ),
    Mutant(
        "accept without reading back",
        *(Invariant.CONFIG_NEVER_REVERTS, ConfigSoak, "retry", _without_read_back),
        ConfigSoak,
    ),
    Mutant(
        "drop others' services",
        *(Invariant.CONFIG_NEVER_REVERTS, soak_config, "merge", _merge_over_others),
        ConfigSoak,
    ),
]


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Apply a mutant's patch."""
    with patch.object(mutant.target, mutant.attribute, mutant.value):
        yield


def hunt(mutant: Mutant) -> Catch | None:
    """Return where the run catches a mutant first, or ``None``."""
    for seed in SEEDS:
        with applied(mutant):
            soak = mutant.make(seed)
            for step in range(STEPS):
                try:
                    soak.run(1)
                except InvariantViolation as violation:
                    return Catch(seed, step, violation.invariant)
                except (AssertionError, KeyError, AttributeError) as error:
                    return Catch(seed, step, type(error).__name__)
    return None


def main() -> None:
    for mutant in MUTANTS:
        print(f"{mutant.name}: {hunt(mutant)}", flush=True)


if __name__ == "__main__":
    main()


__all__ = ["MUTANTS", "hunt"]
