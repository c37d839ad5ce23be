"""One map a step: the randomised run, small exhaustive ones, and faults on purpose."""

from unittest.mock import patch

import pytest

from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.map_switch import (
    Coordinator,
    Done,
    Epoch,
    Phase,
    PrepareRejected,
    RankAgent,
    Switch,
)
from cyclamenyoke.exceptions import InvariantViolation
from map_soak import Group, MapSoak, tell

DEPTH = 6
RANKS = 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_all_ranks_use_one_map_under_all_faults(seed):
    soak = MapSoak(seed)
    soak.run(60_000)
    soak.settle()
    assert soak.outcomes["done"] > 20


def test_no_rank_holds_when_nothing_fails():
    soak = MapSoak(1, faults=0.0)
    soak.coordinate = lambda: None  # type: ignore[method-assign]
    for number in range(20):
        epoch = Epoch(number, "c")
        coordinator = Coordinator(epoch, soak.group.facts, number + 1, lead_steps=20)
        soak.coordinators["c"] = coordinator
        soak.send(coordinator, coordinator.resend())
        soak.run(2000)
        assert coordinator.phase is Phase.DONE
        assert coordinator.decision is not None
    assert soak.held == 0


class Explorer:
    """Tries every order of messages, steps and one death, to a depth."""

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
        """Replay a path and return how many ways lead on."""
        group = Group(RANKS, RaisingMonitor())
        first = Coordinator(Epoch(0, "a"), group.facts, 1, lead_steps=1)
        pending = [(first, effect) for effect in first.resend()]
        has_failed = False
        for choice in path:
            if choice < len(pending):
                coordinator, effect = pending.pop(choice)
                answer = group.answer(effect.rank, effect.message)
                pending += [(coordinator, e) for e in tell(coordinator, answer)]
                continue
            choice -= len(pending)
            if choice < RANKS:
                group.enter_alone(f"rank-{choice}")
            elif not has_failed:
                has_failed = True
                group.restart("rank-1")
                second = Coordinator(Epoch(1, "b"), group.facts, None, lead_steps=1)
                pending += [(second, effect) for effect in second.resend()]
        return len(pending) + RANKS + (not has_failed)


def test_every_order_of_a_small_switch_with_one_death():
    explorer = Explorer()
    explorer.explore(())
    assert explorer.paths > 20_000


def _obey_any_epoch(self, epoch, incarnation) -> bool:
    return True


def _commit_on_first(self, message):
    return self._enter_deciding(self._switch) if self._switch else []


def _do_not_hold(self, message):
    answer = _ON_ARM(self, message)
    self._state.barrier_step = 2**62
    return answer


def _abort_for_successors(self):
    if self._version is None:
        return self._enter_deciding(None)
    return _ON_ALL_PROMISED(self)


_ON_ARM = RankAgent.on_arm
_ON_ALL_PROMISED = Coordinator._on_all_promised


@pytest.mark.parametrize(
    ("target", "attribute", "value"),
    [
        (RankAgent, "_accepts", _obey_any_epoch),
        (Coordinator, "on_armed", _commit_on_first),
        (RankAgent, "on_arm", _do_not_hold),
        (Coordinator, "_on_all_promised", _abort_for_successors),
    ],
    ids=["any epoch", "commit on the first", "do not hold", "successor aborts"],
)
def test_run_catches_a_fault_made_on_purpose(target, attribute, value):
    def hunt() -> None:
        for seed in range(1, 6):
            MapSoak(seed).run(60_000)

    with patch.object(target, attribute, value), pytest.raises(InvariantViolation):
        hunt()


def test_restarted_agent_obeys_no_message_of_an_earlier_time():
    group = Group(RANKS, RaisingMonitor())
    coordinator = Coordinator(Epoch(0, "a"), group.facts, 1, lead_steps=5)
    arms = []
    for effect in coordinator.resend():
        arms += tell(coordinator, group.answer(effect.rank, effect.message))
    group.restart("rank-0")
    answer = group.answer("rank-0", arms[0].message)
    assert isinstance(answer, PrepareRejected)


def test_successor_ends_a_commit_that_one_rank_knows():
    group = Group(RANKS, RaisingMonitor())
    first = Coordinator(Epoch(0, "a"), group.facts, 1, lead_steps=5)
    arms, decides = [], []
    for effect in first.resend():
        arms += tell(first, group.answer(effect.rank, effect.message))
    for effect in arms:
        decides += tell(first, group.answer(effect.rank, effect.message))
    group.answer(decides[0].rank, decides[0].message)
    second = Coordinator(Epoch(1, "b"), group.facts, None, lead_steps=5)
    effects = second.resend()
    while effects:
        effect = effects.pop(0)
        answer = group.answer(effect.rank, effect.message)
        assert not isinstance(answer, PrepareRejected)
        effects += tell(second, answer)
    assert second.phase is Phase.DONE
    assert second.decision == Switch(1, 5)
    assert isinstance(answer, Done)
    assert {f.version_for(5) for f in group.facts.values()} == {1}
