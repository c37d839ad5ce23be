"""Expert map switches: all ranks of a group use one expert map in each step.

Covered by the randomised simulation, an exhaustive search of a small switch, and
mutants that the simulation must detect.
"""

from unittest.mock import patch

import pytest

from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.map_switch import (
    Coordinator,
    Done,
    Epoch,
    MessageRejected,
    Phase,
    RankAgent,
    Switch,
)
from cyclamenyoke.exceptions import InvariantViolation
from map_soak import Group, MapSoak, handle_reply

DEPTH = 6
"""Greatest number of events in an explored order."""

RANKS = 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_all_ranks_use_one_map_under_all_faults(seed):
    soak = MapSoak(seed)
    soak.run(60_000)
    soak.check_recovery()
    assert soak.outcomes["done"] > 20


def test_no_rank_is_blocked_without_faults():
    soak = MapSoak(1, fault_rate=0.0)
    soak.start_coordinator = lambda: None  # type: ignore[method-assign]
    for number in range(20):
        epoch = Epoch(number, "c")
        coordinator = Coordinator(
            epoch, soak.group.rank_states, number + 1, lead_steps=20
        )
        soak.coordinators["c"] = coordinator
        soak.send(coordinator, coordinator.resend())
        soak.run(2000)
        assert coordinator.phase is Phase.DONE
        assert coordinator.decision is not None
    assert soak.blocked_count == 0


class Explorer:
    """Explores every order of messages, steps and one agent restart.

    An order has at most :data:`DEPTH` events.
    """

    def __init__(self) -> None:
        self.paths = 0

    def explore(self, path: tuple[int, ...]) -> None:
        choices = self.replay(path)
        self.paths += 1
        if len(path) == DEPTH:
            return
        for choice in range(choices):
            self.explore((*path, choice))

    def replay(self, path: tuple[int, ...]) -> int:
        """Replay a path of choices and return how many choices there are after it."""
        group = Group(RANKS, RaisingMonitor())
        first = Coordinator(Epoch(0, "a"), group.rank_states, 1, lead_steps=1)
        pending = [(first, effect) for effect in first.resend()]
        has_failed = False
        for choice in path:
            if choice < len(pending):
                coordinator, effect = pending.pop(choice)
                reply = group.handle(effect.rank, effect.message)
                pending += [(coordinator, e) for e in handle_reply(coordinator, reply)]
                continue
            choice -= len(pending)
            if choice < RANKS:
                group.enter_step(f"rank-{choice}")
            elif not has_failed:
                has_failed = True
                group.restart("rank-1")
                second = Coordinator(
                    Epoch(1, "b"), group.rank_states, None, lead_steps=1
                )
                pending += [(second, effect) for effect in second.resend()]
        return len(pending) + RANKS + (not has_failed)


def test_every_interleaving_of_a_small_switch_with_one_restart():
    explorer = Explorer()
    explorer.explore(())
    assert explorer.paths > 20_000


def _accept_any_epoch(self, epoch, incarnation) -> bool:
    return True


def _commit_on_first_armed(self, message):
    return self._enter_deciding(self._switch) if self._switch else []


def _do_not_hold(self, message):
    reply = _ON_ARM(self, message)
    self._state.barrier_step = 2**62
    return reply


def _abort_when_successor(self):
    if self._version is None:
        return self._enter_deciding(None)
    return _ON_ALL_PROMISED(self)


# The original methods, which the mutants call.
_ON_ARM = RankAgent.on_arm
_ON_ALL_PROMISED = Coordinator._on_all_promised


@pytest.mark.parametrize(
    ("target", "attribute", "value"),
    [
        (RankAgent, "_accepts", _accept_any_epoch),
        (Coordinator, "on_armed", _commit_on_first_armed),
        (RankAgent, "on_arm", _do_not_hold),
        (Coordinator, "_on_all_promised", _abort_when_successor),
    ],
    ids=[
        "any epoch is obeyed",
        "commit on first Armed",
        "rank does not hold",
        "successor aborts",
    ],
)
def test_run_detects_mutant(target, attribute, value):
    def run_soaks() -> None:
        for seed in range(1, 6):
            MapSoak(seed).run(60_000)

    with patch.object(target, attribute, value), pytest.raises(InvariantViolation):
        run_soaks()


def test_restarted_agent_rejects_messages_to_its_earlier_incarnation():
    group = Group(RANKS, RaisingMonitor())
    coordinator = Coordinator(Epoch(0, "a"), group.rank_states, 1, lead_steps=5)
    arms = []
    for effect in coordinator.resend():
        arms += handle_reply(coordinator, group.handle(effect.rank, effect.message))
    group.restart("rank-0")
    reply = group.handle("rank-0", arms[0].message)
    assert isinstance(reply, MessageRejected)


def test_successor_completes_a_commit_that_one_rank_knows():
    group = Group(RANKS, RaisingMonitor())
    first = Coordinator(Epoch(0, "a"), group.rank_states, 1, lead_steps=5)
    arms, decides = [], []
    for effect in first.resend():
        arms += handle_reply(first, group.handle(effect.rank, effect.message))
    for effect in arms:
        decides += handle_reply(first, group.handle(effect.rank, effect.message))
    group.handle(decides[0].rank, decides[0].message)
    second = Coordinator(Epoch(1, "b"), group.rank_states, None, lead_steps=5)
    effects = second.resend()
    while effects:
        effect = effects.pop(0)
        reply = group.handle(effect.rank, effect.message)
        assert not isinstance(reply, MessageRejected)
        effects += handle_reply(second, reply)
    assert second.phase is Phase.DONE
    assert second.decision == Switch(1, 5)
    assert isinstance(reply, Done)
    assert {state.version_for(5) for state in group.rank_states.values()} == {1}
