"""Randomised simulation of expert map switches in a lock-step group of ranks.

Ranks stall, agents restart, coordinators die, several coordinators work at once, and
messages are lost, duplicated and delayed. Whenever a rank enters a step, the group
checks that it uses the same expert map as the other ranks in that step.
"""

import heapq
import itertools
from collections import Counter
from random import Random

from cyclamenyoke.core.invariants import Invariant, RaisingMonitor
from cyclamenyoke.core.map_switch import (
    NO_BARRIER,
    Arm,
    Armed,
    Coordinator,
    Decide,
    Done,
    Epoch,
    MessageRejected,
    Phase,
    Prepare,
    Promised,
    RankAgent,
    RankState,
)


class Group:
    """Ranks that run in lock-step, and their agents."""

    def __init__(self, rank_count: int, monitor: RaisingMonitor) -> None:
        self.monitor = monitor
        self.version_by_step: dict[int, int] = {}
        self.rank_states = {f"rank-{n}": RankState() for n in range(rank_count)}
        self.start_counts: Counter = Counter()
        self.agents: dict[str, RankAgent] = {}
        for rank in self.rank_states:
            self.restart(rank)

    def restart(self, rank: str) -> None:
        """Replace a rank's agent by a new incarnation; the rank keeps its state."""
        self.start_counts[rank] += 1
        incarnation = f"{rank}@{self.start_counts[rank]}"
        self.agents[rank] = RankAgent(
            rank, incarnation, self.rank_states[rank], self.monitor
        )

    def enter_step(self, rank: str) -> None:
        """Let a rank enter its next step unless a barrier or a slower rank stops it."""
        state = self.rank_states[rank]
        slowest = min(each.next_step for each in self.rank_states.values())
        if state.can_step() and state.next_step == slowest:
            step = state.next_step
            version = self.version_by_step.setdefault(step, state.version_for(step))
            self.monitor.check(
                Invariant.ONE_EXPERT_MAP_PER_STEP,
                version == state.version_for(step),
                f"step {step} uses {version} and {state.version_for(step)}",
            )
            state.next_step += 1

    def handle(self, rank: str, message):
        agent = self.agents[rank]
        handlers = {
            Prepare: agent.on_prepare,
            Arm: agent.on_arm,
            Decide: agent.on_decide,
        }
        return handlers[type(message)](message)


def handle_reply(coordinator: Coordinator, message):
    """Pass a rank's reply to a coordinator and return the messages that follow."""
    handlers = {
        Promised: coordinator.on_promised,
        Armed: coordinator.on_armed,
        MessageRejected: coordinator.on_rejected,
        Done: coordinator.on_done,
    }
    return handlers[type(message)](message)


class MapSoak:
    """One simulation.

    :param seed: of the random source.
    :param rank_count: ranks in the group.
    :param fault_rate: multiplies the probability of every fault; 0 means no faults.
    """

    def __init__(self, seed: int, rank_count: int = 5, fault_rate: float = 1.0) -> None:
        self.random = Random(seed)
        self.fault_rate = fault_rate
        self.monitor = RaisingMonitor()
        self.group = Group(rank_count, self.monitor)
        self.now = 0.0
        self.queue: list = []
        self.sequence = itertools.count()
        self.epochs = itertools.count()
        self.versions = itertools.count(1)
        self.coordinators: dict[str, Coordinator] = {}
        self.stalled_until: dict[str, float] = {}
        self.outcomes: Counter = Counter()
        self.blocked_count = 0
        for rank in self.group.rank_states:
            self.call_later(0.01, lambda r=rank: self.advance_rank(r))
        self.call_later(0.5, self.start_coordinator)
        self.call_later(0.1, self.resend)
        self.call_later(0.2, self.inject_faults)

    def call_later(self, delay: float, action) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), action))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def advance_rank(self, rank: str) -> None:
        self.call_later(
            self.random.uniform(0.005, 0.015), lambda: self.advance_rank(rank)
        )
        if self.stalled_until.get(rank, 0.0) > self.now:
            return
        self.blocked_count += not self.group.rank_states[rank].can_step()
        self.group.enter_step(rank)

    def start_coordinator(self) -> None:
        self.call_later(self.random.expovariate(0.5), self.start_coordinator)
        name = f"c{self.random.randrange(2)}"
        previous = self.coordinators.get(name)
        if previous is not None:
            self.outcomes[previous.phase.value] += 1
        epoch = Epoch(next(self.epochs), name)
        version = next(self.versions) if self.random.random() < 0.8 else None
        coordinator = Coordinator(epoch, self.group.rank_states, version, lead_steps=20)
        self.coordinators[name] = coordinator
        self.send(coordinator, coordinator.resend())

    def resend(self) -> None:
        self.call_later(0.1, self.resend)
        for coordinator in self.coordinators.values():
            self.send(coordinator, coordinator.resend())

    def send(self, coordinator: Coordinator, effects) -> None:
        for effect in effects:
            self.transmit(
                lambda e=effect: self.deliver_to_rank(coordinator, e.rank, e.message)
            )

    def deliver_to_rank(self, coordinator: Coordinator, rank: str, message) -> None:
        reply = self.group.handle(rank, message)
        self.transmit(lambda: self.send(coordinator, handle_reply(coordinator, reply)))

    def transmit(self, deliver) -> None:
        random = self.random
        if random.random() < 0.03 * self.fault_rate:
            return
        delay = random.uniform(0.0005, 0.003)
        if random.random() < 0.05 * self.fault_rate:
            delay = random.uniform(0.01, 5.0)
        self.call_later(delay, deliver)
        if random.random() < 0.05 * self.fault_rate:
            self.call_later(delay + random.uniform(0.0, 5.0), deliver)

    def inject_faults(self) -> None:
        self.call_later(0.2, self.inject_faults)
        random = self.random
        if random.random() < 0.05 * self.fault_rate:
            self.group.restart(random.choice(list(self.group.rank_states)))
        if random.random() < 0.05 * self.fault_rate:
            rank = random.choice(list(self.group.rank_states))
            self.stalled_until[rank] = self.now + random.uniform(0.05, 2.0)
        if random.random() < 0.05 * self.fault_rate and self.coordinators:
            self.coordinators.pop(random.choice(list(self.coordinators)))

    def check_recovery(self) -> None:
        """Stop all faults and check that a last coordinator releases every rank."""
        self.fault_rate = 0.0
        self.coordinators.clear()
        self.start_coordinator = lambda: None  # type: ignore[method-assign]
        epoch = Epoch(next(self.epochs), "last")
        last = Coordinator(epoch, self.group.rank_states, None, lead_steps=20)
        self.coordinators["last"] = last
        self.send(last, last.resend())
        self.run(3000)
        assert last.phase is Phase.DONE
        assert all(
            state.barrier_step == NO_BARRIER
            for state in self.group.rank_states.values()
        )
