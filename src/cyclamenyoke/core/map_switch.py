"""Switches a group of lock-step ranks from one expert map to another.

The protocol is a two-phase commit among the ranks of the group. A group makes no
progress without all its ranks anyway, so a coordinator may require all of them, and no
external store is needed.

The rank itself keeps a :class:`RankState`: the map that it uses, its barrier step, and
the last committed switch. Its agent keeps the promised epoch in memory, so a restart
loses it. Messages name the agent's incarnation, so that a message to an earlier
incarnation is rejected. States of a switch at a rank::

    IDLE  --Arm-->            ARMED    the rank does not enter step S
    ARMED --Decide commit-->  IDLE     the new map is used from step S on
    ARMED --Decide abort-->   IDLE     the old map stays in use

Only the coordinator in whose epoch all ranks are armed can decide to commit. A
successor first collects every rank's promise to accept no earlier epoch. If any rank
then knows of a commit, the successor completes it; otherwise no earlier coordinator can
commit any more, and the successor aborts.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cyclamenyoke.core.invariants import Invariant, InvariantMonitor

NO_BARRIER = 2**62
"""Barrier step of a rank without a barrier."""


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies an attempt of a coordinator, and orders the attempts of all.

    No two coordinators have the same epoch.
    """

    number: int
    coordinator: str


class Switch(msgspec.Struct, frozen=True, array_like=True):
    """Switch to a map version at the beginning of a step."""

    version: int
    step: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a rank to promise to accept no earlier epoch, and for the rank's state."""

    epoch: Epoch


class Arm(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks a rank not to enter the switch's step until the switch is decided."""

    epoch: Epoch
    incarnation: str
    switch: Switch


class Decide(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Announces the decision.

    :param switch: the committed switch, or ``None`` for an abort.
    """

    epoch: Epoch
    incarnation: str
    switch: Switch | None


class Promised(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Promise of a rank to accept no earlier epoch, with the rank's state.

    :param committed: the last switch that the rank knows to be committed.
    :param next_step: the step that the rank enters next.
    :param barrier_step: the step that the rank must not enter.
    """

    rank: str
    incarnation: str
    epoch: Epoch
    committed: Switch
    next_step: int
    barrier_step: int


class Armed(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The rank will not enter the switch's step until the switch is decided."""

    rank: str
    incarnation: str
    epoch: Epoch
    switch: Switch


class MessageRejected(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The rank rejects a message of any phase.

    :param promised: the epoch that the rank has promised; it rejects lower ones.
    """

    rank: str
    epoch: Epoch
    promised: Epoch


class Done(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The rank has applied the decision."""

    rank: str
    incarnation: str
    epoch: Epoch


ToRank = Prepare | Arm | Decide
FromRank = Promised | Armed | MessageRejected | Done


@dataclass(slots=True)
class RankState:
    """State that the rank itself keeps, so that it survives restarts of its agent.

    :param next_step: the step that the rank enters next.
    :param committed: the last committed switch; its version is used from its step on.
    :param previous_version: the version that is used before that step.
    :param barrier_step: the step that the rank must not enter.
    """

    next_step: int = 0
    committed: Switch = field(default_factory=lambda: Switch(0, 0))
    previous_version: int = 0
    barrier_step: int = NO_BARRIER

    def can_step(self) -> bool:
        """Return whether the rank may enter its next step."""
        return self.next_step < self.barrier_step

    def version_for(self, step: int) -> int:
        """Return the map version that the rank uses in a step."""
        is_new = step >= self.committed.step
        return self.committed.version if is_new else self.previous_version


class RankAgent:
    """Participant of the protocol: the agent of one rank.

    :param incarnation: unique for each start of the agent.
    :param state: the rank's own state, which survives restarts of the agent.
    """

    def __init__(
        self, rank: str, incarnation: str, state: RankState, monitor: InvariantMonitor
    ) -> None:
        self._rank = rank
        self._incarnation = incarnation
        self._state = state
        self._monitor = monitor
        self._promised = Epoch(-1, "")
        self._armed: Switch | None = None

    @property
    def incarnation(self) -> str:
        """Unique id of this start of the agent."""
        return self._incarnation

    def on_prepare(self, message: Prepare) -> FromRank:
        """Promise to accept no earlier epoch."""
        if message.epoch < self._promised:
            return MessageRejected(self._rank, message.epoch, self._promised)
        self._promised = message.epoch
        return Promised(
            self._rank,
            self._incarnation,
            message.epoch,
            self._state.committed,
            self._state.next_step,
            self._state.barrier_step,
        )

    def on_arm(self, message: Arm) -> FromRank:
        """Set the rank's barrier to the switch's step.

        Rejects the switch if the rank is past that step or another switch is pending.
        """
        switch = message.switch
        if not self._accepts(message.epoch, message.incarnation):
            return MessageRejected(self._rank, message.epoch, self._promised)
        if self._state.next_step > switch.step or self._has_pending_switch(switch):
            return MessageRejected(self._rank, message.epoch, self._promised)
        self._armed = switch
        self._state.barrier_step = switch.step
        return Armed(self._rank, self._incarnation, message.epoch, switch)

    def on_decide(self, message: Decide) -> FromRank:
        """Apply the decision and remove the rank's barrier."""
        if not self._accepts(message.epoch, message.incarnation):
            return MessageRejected(self._rank, message.epoch, self._promised)
        state = self._state
        switch = message.switch
        if switch is not None and switch.version > state.committed.version:
            self._monitor.check(
                Invariant.ONE_EXPERT_MAP_PER_STEP,
                state.next_step <= switch.step,
                f"rank {self._rank} is at step {state.next_step}, past the switch at"
                f" step {switch.step}",
            )
            state.previous_version = state.committed.version
            state.committed = switch
        self._armed = None
        state.barrier_step = NO_BARRIER
        return Done(self._rank, self._incarnation, message.epoch)

    def _accepts(self, epoch: Epoch, incarnation: str) -> bool:
        return epoch == self._promised and incarnation == self._incarnation

    def _has_pending_switch(self, switch: Switch) -> bool:
        """Return whether another switch is still undecided or has not taken effect."""
        barrier = self._state.barrier_step
        if self._armed is not None:
            return self._armed != switch
        return (
            barrier != NO_BARRIER or self._state.committed.step > self._state.next_step
        )


class Phase(enum.Enum):
    """Phase of a coordinator."""

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
    """One attempt of one coordinator to switch a group to a new map.

    It first collects the promises of all ranks. If an earlier switch is still undecided
    it decides that one; otherwise it arms the new switch at all ranks and commits it.
    :meth:`resend` repeats the messages that have no reply yet.

    :param epoch: higher than any epoch that this coordinator has seen.
    :param version: version of the new map; ``None`` to only decide a switch that is
        still undecided.
    :param lead_steps: number of steps between the most advanced rank and the switch.
    """

    def __init__(
        self, epoch: Epoch, ranks: Iterable[str], version: int | None, lead_steps: int
    ) -> None:
        self._epoch = epoch
        self._ranks = sorted(ranks)
        self._version = version
        self._lead_steps = lead_steps
        self._phase = Phase.PREPARING
        self._promises: dict[str, Promised] = {}
        self._armed: set[str] = set()
        self._done: set[str] = set()
        self._switch: Switch | None = None
        self._decision: Switch | None = None

    @property
    def phase(self) -> Phase:
        """The phase of this attempt."""
        return self._phase

    @property
    def decision(self) -> Switch | None:
        """The committed switch; ``None`` before the decision or after an abort."""
        return self._decision

    def resend(self) -> list[ToRankMessage]:
        """Return the messages of the current phase that have no reply yet."""
        if self._phase is Phase.PREPARING:
            message = Prepare(self._epoch)
            unanswered = [rank for rank in self._ranks if rank not in self._promises]
            return [ToRankMessage(rank, message) for rank in unanswered]
        if self._phase is Phase.ARMING:
            unanswered = [rank for rank in self._ranks if rank not in self._armed]
            return [ToRankMessage(rank, self._arm(rank)) for rank in unanswered]
        if self._phase is Phase.DECIDING:
            unanswered = [rank for rank in self._ranks if rank not in self._done]
            return [ToRankMessage(rank, self._decide(rank)) for rank in unanswered]
        return []

    def on_promised(self, message: Promised) -> list[ToRankMessage]:
        """Record a promise; once all ranks have promised, start the next phase."""
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
        return self._on_all_promised()

    def on_armed(self, message: Armed) -> list[ToRankMessage]:
        """Record an armed rank; once all are armed, decide to commit."""
        if self._phase is not Phase.ARMING or message.epoch != self._epoch:
            return []
        if message.incarnation != self._promises[message.rank].incarnation:
            return []
        self._armed.add(message.rank)
        if len(self._armed) < len(self._ranks):
            return []
        return self._enter_deciding(self._switch)

    def on_rejected(self, message: MessageRejected) -> list[ToRankMessage]:
        """Handle a rejection: before the decision it aborts the switch.

        A rejection because of a higher epoch, or after the decision, deposes this
        coordinator.
        """
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
        """Record that a rank has applied the decision."""
        if self._phase is Phase.DECIDING and message.epoch == self._epoch:
            self._done.add(message.rank)
            if len(self._done) == len(self._ranks):
                self._phase = Phase.DONE
        return []

    def _on_all_promised(self) -> list[ToRankMessage]:
        last_committed = max(
            (promise.committed for promise in self._promises.values()),
            key=lambda switch: switch.version,
        )
        armed = [p for p in self._promises.values() if p.barrier_step != NO_BARRIER]
        uninformed = [
            p for p in self._promises.values() if p.committed != last_committed
        ]
        if uninformed:
            return self._enter_deciding(last_committed)
        if armed or self._version is None:
            return self._enter_deciding(None)
        last_step = max(promise.next_step for promise in self._promises.values())
        switch_step = max(last_step, last_committed.step) + self._lead_steps
        self._switch = Switch(
            max(self._version, last_committed.version + 1), switch_step
        )
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
