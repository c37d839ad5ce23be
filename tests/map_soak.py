"""A stand-in group in lock-step, and coordinators that switch its expert map.

Ranks stall, agents and coordinators die and pause, several coordinators work at
once, messages are lost, doubled and late. At every step the group checks that all
ranks use one map.
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
    Phase,
    Prepare,
    PrepareRejected,
    Promised,
    RankAgent,
    RankState,
)


class Group:
    """Ranks that enter each step together, and their agents."""

    def __init__(self, size: int, monitor: RaisingMonitor) -> None:
        self.monitor = monitor
        self.used: dict[int, int] = {}
        self.facts = {f"rank-{n}": RankState() for n in range(size)}
        self.starts: Counter = Counter()
        self.agents: dict[str, RankAgent] = {}
        for rank in self.facts:
            self.restart(rank)

    def restart(self, rank: str) -> None:
        """Start an agent anew; the rank keeps its facts."""
        self.starts[rank] += 1
        incarnation = f"{rank}@{self.starts[rank]}"
        self.agents[rank] = RankAgent(rank, incarnation, self.facts[rank], self.monitor)

    def enter_alone(self, rank: str) -> None:
        """Let one rank enter its step ahead of the others, as lock-step allows."""
        facts = self.facts[rank]
        slowest = min(each.next_step for each in self.facts.values())
        if facts.can_step() and facts.next_step == slowest:
            step = facts.next_step
            used = self.used.setdefault(step, facts.version_for(step))
            self.monitor.check(
                Invariant.ONE_EXPERT_MAP_PER_STEP,
                used == facts.version_for(step),
                f"step {step} uses {used} and {facts.version_for(step)}",
            )
            facts.next_step += 1

    def answer(self, rank: str, message):
        agent = self.agents[rank]
        handlers = {
            Prepare: agent.on_prepare,
            Arm: agent.on_arm,
            Decide: agent.on_decide,
        }
        return handlers[type(message)](message)


def tell(coordinator: Coordinator, message):
    """Give a rank's answer to a coordinator."""
    handlers = {
        Promised: coordinator.on_promised,
        Armed: coordinator.on_armed,
        PrepareRejected: coordinator.on_rejected,
        Done: coordinator.on_done,
    }
    return handlers[type(message)](message)


class MapSoak:
    """The randomised run."""

    def __init__(self, seed: int, size: int = 5, faults: float = 1.0) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.monitor = RaisingMonitor()
        self.group = Group(size, self.monitor)
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.epochs = itertools.count()
        self.versions = itertools.count(1)
        self.coordinators: dict[str, Coordinator] = {}
        self.stalled_until: dict[str, float] = {}
        self.outcomes: Counter = Counter()
        self.held = 0
        for rank in self.group.facts:
            self.at(0.01, lambda r=rank: self.enter(r))
        self.at(0.5, self.coordinate)
        self.at(0.1, self.resend)
        self.at(0.2, self.strike)

    def at(self, delay: float, action) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def enter(self, rank: str) -> None:
        self.at(self.random.uniform(0.005, 0.015), lambda: self.enter(rank))
        if self.stalled_until.get(rank, 0.0) > self.now:
            return
        self.held += not self.group.facts[rank].can_step()
        self.group.enter_alone(rank)

    def coordinate(self) -> None:
        self.at(self.random.expovariate(0.5), self.coordinate)
        name = f"c{self.random.randrange(2)}"
        old = self.coordinators.get(name)
        if old is not None:
            self.outcomes[old.phase.value] += 1
        epoch = Epoch(next(self.epochs), name)
        version = next(self.versions) if self.random.random() < 0.8 else None
        coordinator = Coordinator(epoch, self.group.facts, version, lead_steps=20)
        self.coordinators[name] = coordinator
        self.send(coordinator, coordinator.resend())

    def resend(self) -> None:
        self.at(0.1, self.resend)
        for coordinator in self.coordinators.values():
            self.send(coordinator, coordinator.resend())

    def send(self, coordinator: Coordinator, effects) -> None:
        for effect in effects:
            self.transmit(lambda e=effect: self.on_rank(coordinator, e.rank, e.message))

    def on_rank(self, coordinator: Coordinator, rank: str, message) -> None:
        answer = self.group.answer(rank, message)
        self.transmit(lambda: self.send(coordinator, tell(coordinator, answer)))

    def transmit(self, arrive) -> None:
        random = self.random
        if random.random() < 0.03 * self.faults:
            return
        delay = random.uniform(0.0005, 0.003)
        if random.random() < 0.05 * self.faults:
            delay = random.uniform(0.01, 5.0)
        self.at(delay, arrive)
        if random.random() < 0.05 * self.faults:
            self.at(delay + random.uniform(0.0, 5.0), arrive)

    def strike(self) -> None:
        self.at(0.2, self.strike)
        random = self.random
        if random.random() < 0.05 * self.faults:
            self.group.restart(random.choice(list(self.group.facts)))
        if random.random() < 0.05 * self.faults:
            rank = random.choice(list(self.group.facts))
            self.stalled_until[rank] = self.now + random.uniform(0.05, 2.0)
        if random.random() < 0.05 * self.faults and self.coordinators:
            self.coordinators.pop(random.choice(list(self.coordinators)))

    def settle(self) -> None:
        """End all faults; one more coordinator must free the group."""
        self.faults = 0.0
        self.coordinators.clear()
        self.coordinate = lambda: None  # type: ignore[method-assign]
        epoch = Epoch(next(self.epochs), "last")
        last = Coordinator(epoch, self.group.facts, None, lead_steps=20)
        self.coordinators["last"] = last
        self.send(last, last.resend())
        self.run(3000)
        assert last.phase is Phase.DONE
        assert all(f.barrier_step == NO_BARRIER for f in self.group.facts.values())
