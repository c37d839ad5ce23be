"""Mutants of the production code that the randomised simulations must detect.

Each mutant replaces one method or function. ``PYTHONPATH=tests python -m mutants``
prints for each of them the seed and step at which it is detected, and the invariant
that is violated or the type of the error that is raised.
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
"""Greatest number of steps per seed."""

SEEDS = range(1, 6)

FREQUENT_FAULTS = Faults(kill=0.003, break_link=0.01, delayed=0.05, drain=0.002)
"""Faults several times as frequent as the defaults of :class:`Faults`."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """One deliberate defect.

    :param invariant: the invariant that it violates.
    :param target: the class or module whose attribute is replaced.
    :param make_soak: creates the simulation for a seed.
    """

    name: str
    invariant: Invariant
    target: object
    attribute: str
    value: object
    make_soak: Callable[[int], Soak | ConfigSoak] = lambda seed: Soak(
        seed, FREQUENT_FAULTS
    )


@dataclass(frozen=True, slots=True)
class Detection:
    """Where a simulation detected a mutant.

    :param invariant: the violated invariant, or what a check of the simulation itself
        found.
    """

    seed: int
    step: int
    invariant: str


def _start_without_claim(self: AgentCore, run: Run, now: float):
    return self._start(run, now)


def _treat_unconfirmed_as_written(self: ClaimManager, name: str, now: float):
    slot = self._slot(name)
    if slot.state is SlotState.WRITING:
        return self.on_written(name, slot.revision + 1, now)
    slot.state = SlotState.UNREAD
    return list(self._advance(slot, now))


def _grant_before_write(self: ClaimManager, slot) -> Iterator:
    for claim_id, pending in list(slot.pending_claims.items()):
        if self._existing_claim(slot, pending.digest) is None:
            self._granted[claim_id] = pending.claim
            yield Granted(claim_id)
    yield from _DECIDE(self, slot)


def _treat_other_incarnations_as_unused(self: ClaimManager, claim, slot) -> bool:
    if claim.claim_id in slot.abandoned:
        return True
    unused = claim.claim_id not in self._granted.keys() | slot.pending_claims.keys()
    return claim.agent == self._agent and claim.state.value == 0 and unused


def _purge_without_horizon(self: ClaimManager, slot, now: float) -> Journal:
    journal = _NEXT_JOURNAL(self, slot, now)
    pending_claims = {
        pending.digest: pending.claim for pending in slot.pending_claims.values()
    }
    return Journal(0.0, {**pending_claims, **journal.claims})


def _reject_without_record(self: AgentCore, attempt: AttemptId, *reason):
    return [self._rejection(attempt, *(reason or [agent.Reason.NEVER_RECEIVED]))]


def _reject_as_not_run(self: RequestCore):
    for attempt in self._attempts.values():
        attempt.state = AttemptState.NOT_RUN
    return _REJECT(self)


def _settle_without_confirmation(self: RequestCore) -> bool:
    for attempt in self._attempts.values():
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.NOT_RUN
    return False


def _accept_chunk_of_any_attempt(self: RequestCore, attempt, message, now):
    self._response.add(message.sequence, message.data)
    return self._deliver(attempt)


def _add_unordered(self: ResponseBuffer, sequence: int, data: bytes) -> None:
    self.ready.append(data)
    self.next_sequence += 1


def _keep_queue_when_draining(self: AgentCore, now: float):
    self._draining = True
    return []


def _revoke_running(self: AgentCore, message, now):
    run = self._attempts.get(message.attempt.entry, message.attempt.number)
    if run is not None and run.state is agent.RunState.RUNNING:
        run.state = agent.RunState.QUEUED
        return self._drop(run, agent.Reason.REVOKED, now)
    return _ON_REVOKE(self, message, now)


def _accept_any_index(self: ConfigStore, index) -> bool:
    self._pending_index = index
    return self._advance()


def _accept_without_read_back(self: ConfigSoak, publish) -> None:
    self.record_accepted(publish, self.index[1])


def _merge_dropping_others(index, edits, publish_id, author, now) -> MergeResult:
    changed = {edit.service: edit.digest for edit in edits}
    services = index.with_services(changed, publish_id, author, now)
    return MergeResult(msgspec.structs.replace(services, services={}), [])


# The original methods, which the mutants call.
_DECIDE = ClaimManager._decide
_NEXT_JOURNAL = ClaimManager._next_journal
_REJECT = RequestCore._reject
_ON_REVOKE = AgentCore.on_revoke

AT_MOST_ONCE = Invariant.AT_MOST_ONCE
TRUTHFUL_REJECTION = Invariant.TRUTHFUL_REJECTION
OWN_COMPLETE_RESPONSE = Invariant.OWN_COMPLETE_RESPONSE

MUTANTS = [
    Mutant(
        "run without a claim", AT_MOST_ONCE, AgentCore, "_claim", _start_without_claim
    ),
    Mutant(
        "treat an unconfirmed write as written",
        AT_MOST_ONCE,
        ClaimManager,
        "on_unconfirmed",
        _treat_unconfirmed_as_written,
    ),
    Mutant(
        "start before the write",
        AT_MOST_ONCE,
        ClaimManager,
        "_decide",
        _grant_before_write,
    ),
    Mutant(
        "take over an earlier incarnation's claim",
        *(
            AT_MOST_ONCE,
            ClaimManager,
            "_is_unused",
            _treat_other_incarnations_as_unused,
        ),
    ),
    Mutant(
        "purge without a horizon",
        *(AT_MOST_ONCE, ClaimManager, "_next_journal", _purge_without_horizon),
    ),
    Mutant(
        "forget a confirmed rejection",
        TRUTHFUL_REJECTION,
        AgentCore,
        "_reject_unseen",
        _reject_without_record,
    ),
    Mutant(
        "reject as not run after sending",
        *(TRUTHFUL_REJECTION, RequestCore, "_reject", _reject_as_not_run),
    ),
    Mutant(
        "do not wait for confirmation",
        TRUTHFUL_REJECTION,
        RequestCore,
        "_can_prove_not_run",
        _settle_without_confirmation,
    ),
    Mutant(
        "revoke a running call",
        TRUTHFUL_REJECTION,
        AgentCore,
        "on_revoke",
        _revoke_running,
    ),
    Mutant(
        "forget received attempts",
        *(TRUTHFUL_REJECTION, AttemptTable, "get", lambda self, entry, number: None),
    ),
    Mutant(
        "accept an old attempt's chunk",
        OWN_COMPLETE_RESPONSE,
        RequestCore,
        "_on_chunk",
        _accept_chunk_of_any_attempt,
    ),
    Mutant(
        "parts out of order",
        OWN_COMPLETE_RESPONSE,
        ResponseBuffer,
        "add",
        _add_unordered,
    ),
    Mutant(
        "end before the last part",
        *(
            OWN_COMPLETE_RESPONSE,
            ResponseBuffer,
            "is_complete",
            property(lambda self: self.total is not None),
        ),
    ),
    Mutant(
        "start calls while draining",
        *(
            Invariant.NO_NEW_WORK_WHILE_DRAINING,
            AgentCore,
            "drain",
            _keep_queue_when_draining,
        ),
    ),
    Mutant(
        "accept any index",
        *(
            Invariant.CONFIG_NEVER_REVERTS,
            ConfigStore,
            "offer_index",
            _accept_any_index,
        ),
        ConfigSoak,
    ),
    Mutant(
        "accept without reading back",
        *(
            Invariant.CONFIG_NEVER_REVERTS,
            ConfigSoak,
            "retry",
            _accept_without_read_back,
        ),
        ConfigSoak,
    ),
    Mutant(
        "drop others' services",
        *(Invariant.CONFIG_NEVER_REVERTS, soak_config, "merge", _merge_dropping_others),
        ConfigSoak,
    ),
]


@contextmanager
def apply_mutant(mutant: Mutant) -> Iterator[None]:
    """Apply a mutant's patch within the context."""
    with patch.object(mutant.target, mutant.attribute, mutant.value):
        yield


def detect(mutant: Mutant) -> Detection | None:
    """Return where a simulation first detects a mutant, or ``None``."""
    for seed in SEEDS:
        with apply_mutant(mutant):
            soak = mutant.make_soak(seed)
            for step in range(STEPS):
                try:
                    soak.run(1)
                except InvariantViolation as violation:
                    return Detection(seed, step, violation.invariant)
                except AssertionError as error:
                    return Detection(seed, step, str(error))
    return None


def main() -> None:
    for mutant in MUTANTS:
        print(f"{mutant.name}: {detect(mutant)}", flush=True)


if __name__ == "__main__":
    main()


__all__ = ["MUTANTS", "detect"]
