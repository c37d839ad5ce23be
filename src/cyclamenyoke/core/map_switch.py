"""The switch of a group of lock-step ranks from one expert map to another.

A two-phase commit among the group's own ranks. A group without all its ranks makes
no progress anyway, so a coordinator may need all of them; no other store is needed.

The rank itself keeps :class:`RankFacts`: which map it uses, the step before which
it must hold, and a switch that is decided. Its agent keeps the promises, and loses
them when it dies; messages name the agent's incarnation, so that none of an earlier
time is obeyed. States of a switch at a rank::

    IDLE  --Arm-->            ARMED    the rank holds before step S
    ARMED --Decide commit-->  IDLE     the new map counts from step S on
    ARMED --Decide abort-->   IDLE     the old map stays

A commit is decided only by the coordinator whose epoch every rank has armed. A
successor first gets every rank's promise to obey no earlier epoch. If any rank then
knows a commit, the successor commits; otherwise nobody can commit any more, and it
aborts.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor

NO_BARRIER = 2**62
"""The step before which a rank that need not hold has to hold."""


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders coordinators; two never have the same epoch."""

    number: int
    coordinator: str


class Switch(msgspec.Struct, frozen=True, array_like=True):
    """Use a map version from a step on."""

    version: int
    step: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for the promise to obey no earlier epoch, and for the rank's facts."""

    epoch: Epoch


class Arm(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks a rank to hold before a step until the switch is decided."""

    epoch: Epoch
    incarnation: str
    switch: Switch


class Decide(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells the decision.

    :param switch: what is committed, or ``None`` for an abort.
    """

    epoch: Epoch
    incarnation: str
    switch: Switch | None


class Promised(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A rank's promise, with its facts.

    :param committed: the last switch that the rank knows to be committed.
    :param next_step: the step that the rank enters next.
    """

    rank: str
    incarnation: str
    epoch: Epoch
    committed: Switch
    next_step: int
    barrier_step: int


class Armed(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The rank holds before the switch's step."""

    rank: str
    incarnation: str
    epoch: Epoch
    switch: Switch


class PrepareRejected(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The rank does not obey.

    :param promised: the epoch that the rank has promised to obey.
    """

    rank: str
    epoch: Epoch
    promised: Epoch


class Done(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The rank knows the decision."""

    rank: str
    incarnation: str
    epoch: Epoch


ToRank = Prepare | Arm | Decide
FromRank = Promised | Armed | PrepareRejected | Done


@dataclass(slots=True)
class RankState:
    """What the rank itself keeps, whatever happens to its agent.

    :param committed: the last committed switch; its version is used from its step.
    :param previous_version: the version used before that step.
    :param holds_before: the step that the rank must not enter.
    """

    next_step: int = 0
    committed: Switch = field(default_factory=lambda: Switch(0, 0))
    previous_version: int = 0
    barrier_step: int = NO_BARRIER

    def can_step(self) -> bool:
        """Tell whether the rank may enter its next step."""
        return self.next_step < self.barrier_step

    def version_for(self, step: int) -> int:
        """Return the map version that the rank uses in a step."""
        is_new = step >= self.committed.step
        return self.committed.version if is_new else self.previous_version


class RankAgent:
    """An agent's part in switches of its rank.

    :param facts: the rank's own state, which outlives this agent.
    """

    def __init__(
        self, rank: str, incarnation: str, facts: RankState, monitor: InvariantMonitor
    ) -> None:
        self._rank = rank
        self._incarnation = incarnation
        self._facts = facts
        self._monitor = monitor
        self._promised = Epoch(-1, "")
        self._armed: Switch | None = None

    @property
    def incarnation(self) -> str:
        """The name of this start of the agent."""
        return self._incarnation

    def on_prepare(self, message: Prepare) -> FromRank:
        """Promise to obey no earlier epoch."""
        if message.epoch < self._promised:
            return PrepareRejected(self._rank, message.epoch, self._promised)
        self._promised = message.epoch
        return Promised(
            self._rank,
            self._incarnation,
            message.epoch,
            self._facts.committed,
            self._facts.next_step,
            self._facts.barrier_step,
        )

    def on_arm(self, message: Arm) -> FromRank:
        """Hold the rank before the switch's step, if it is not past it."""
        switch = message.switch
        if not self._obeys(message.epoch, message.incarnation):
            return PrepareRejected(self._rank, message.epoch, self._promised)
        if self._facts.next_step > switch.step or self._is_bound(switch):
            return PrepareRejected(self._rank, message.epoch, self._promised)
        self._armed = switch
        self._facts.barrier_step = switch.step
        return Armed(self._rank, self._incarnation, message.epoch, switch)

    def on_decide(self, message: Decide) -> FromRank:
        """Take the decision and let the rank go on."""
        if not self._obeys(message.epoch, message.incarnation):
            return PrepareRejected(self._rank, message.epoch, self._promised)
        facts = self._facts
        switch = message.switch
        if switch is not None and switch.version > facts.committed.version:
            self._monitor.check(
                Invariant.ONE_EXPERT_MAP_PER_STEP,
                facts.next_step <= switch.step,
                f"rank {self._rank} is at step {facts.next_step}, switch at"
                f" {switch.step}",
            )
            facts.previous_version = facts.committed.version
            facts.committed = switch
        self._armed = None
        facts.barrier_step = NO_BARRIER
        return Done(self._rank, self._incarnation, message.epoch)

    def _obeys(self, epoch: Epoch, incarnation: str) -> bool:
        return epoch == self._promised and incarnation == self._incarnation

    def _is_bound(self, switch: Switch) -> bool:
        """Tell whether another switch at this rank is not decided yet."""
        held = self._facts.barrier_step
        if self._armed is not None:
            return self._armed != switch
        return held != NO_BARRIER or self._facts.committed.step > self._facts.next_step


class Phase(enum.Enum):
    """Where a coordinator is."""

    PREPARING = "preparing"
    ARMING = "arming"
    DECIDING = "deciding"
    DONE = "done"
    DEPOSED = "deposed"


@dataclass(frozen=True, slots=True)
class ToRankMessage:
    """Effect: send a message to a rank's agent."""

    rank: str
    message: ToRank


class Coordinator:
    """One try of one coordinator to bring a group to a new map.

    Order: promises of all ranks; then, if a switch was left undecided, its end;
    otherwise the new switch is armed at all ranks and committed. :meth:`resend`
    repeats what has no answer yet.

    :param epoch: higher than any epoch that this coordinator has seen.
    :param version: of the new map, or ``None`` to end what was left undecided.
    :param lead: steps between the furthest rank and the switch.
    """

    def __init__(
        self, epoch: Epoch, ranks: Iterable[str], version: int | None, lead_steps: int
    ) -> None:
        self._epoch = epoch
        self._ranks = sorted(ranks)
        self._version = version
        self._lead = lead_steps
        self._phase = Phase.PREPARING
        self._promises: dict[str, Promised] = {}
        self._armed: set[str] = set()
        self._done: set[str] = set()
        self._switch: Switch | None = None
        self._decision: Switch | None = None

    @property
    def phase(self) -> Phase:
        """Where the coordinator is."""
        return self._phase

    @property
    def decision(self) -> Switch | None:
        """The switch that was committed, or ``None``."""
        return self._decision

    def resend(self) -> list[ToRankMessage]:
        """Send what the present phase needs and has no answer yet."""
        if self._phase is Phase.PREPARING:
            message = Prepare(self._epoch)
            waiting = [rank for rank in self._ranks if rank not in self._promises]
            return [ToRankMessage(rank, message) for rank in waiting]
        if self._phase is Phase.ARMING:
            waiting = [rank for rank in self._ranks if rank not in self._armed]
            return [ToRankMessage(rank, self._arm(rank)) for rank in waiting]
        if self._phase is Phase.DECIDING:
            waiting = [rank for rank in self._ranks if rank not in self._done]
            return [ToRankMessage(rank, self._decide(rank)) for rank in waiting]
        return []

    def on_promised(self, message: Promised) -> list[ToRankMessage]:
        """Take a promise; the last one begins the next phase."""
        if message.epoch != self._epoch:
            return []
        known = self._promises.get(message.rank)
        if known is not None and known.incarnation != message.incarnation:
            self._phase = Phase.DEPOSED
            return []
        if self._phase is not Phase.PREPARING:
            return []
        self._promises[message.rank] = message
        if len(self._promises) < len(self._ranks):
            return []
        return self._begin()

    def on_armed(self, message: Armed) -> list[ToRankMessage]:
        """Take an armed rank; the last one decides the commit."""
        if self._phase is not Phase.ARMING or message.epoch != self._epoch:
            return []
        if message.incarnation != self._promises[message.rank].incarnation:
            return []
        self._armed.add(message.rank)
        if len(self._armed) < len(self._ranks):
            return []
        return self._enter_deciding(self._switch)

    def on_rejected(self, message: PrepareRejected) -> list[ToRankMessage]:
        """Take a refusal; before the decision it ends the switch."""
        if message.epoch != self._epoch:
            return []
        if message.promised > self._epoch:
            self._phase = Phase.DEPOSED
            return []
        if self._phase is Phase.ARMING:
            return self._enter_deciding(None)
        if self._phase is Phase.DECIDING:
            self._phase = Phase.DEPOSED
        return []

    def on_done(self, message: Done) -> list[ToRankMessage]:
        """Take the news that a rank knows the decision."""
        if self._phase is Phase.DECIDING and message.epoch == self._epoch:
            self._done.add(message.rank)
            if len(self._done) == len(self._ranks):
                self._phase = Phase.DONE
        return []

    def _begin(self) -> list[ToRankMessage]:
        newest = max(
            (promise.committed for promise in self._promises.values()),
            key=lambda switch: switch.version,
        )
        held = [p for p in self._promises.values() if p.barrier_step != NO_BARRIER]
        behind = [p for p in self._promises.values() if p.committed != newest]
        if behind:
            return self._enter_deciding(newest)
        if held or self._version is None:
            return self._enter_deciding(None)
        furthest = max(promise.next_step for promise in self._promises.values())
        first = max(furthest, newest.step) + self._lead
        self._switch = Switch(max(self._version, newest.version + 1), first)
        self._phase = Phase.ARMING
        return self.resend()

    def _enter_deciding(self, decision: Switch | None) -> list[ToRankMessage]:
        self._decision = decision
        self._phase = Phase.DECIDING
        return self.resend()

    def _arm(self, rank: str) -> Arm:
        assert self._switch is not None
        return Arm(self._epoch, self._promises[rank].incarnation, self._switch)

    def _decide(self, rank: str) -> Decide:
        incarnation = self._promises[rank].incarnation
        return Decide(self._epoch, incarnation, self._decision)
