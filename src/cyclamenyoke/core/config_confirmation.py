"""How recently a node knew that no newer configuration than its own exists.

A denial is final for the caller, so it takes a configuration that is known to be the
newest one; a request that is allowed does not. The nodes that read the store number
what they learn, and all nodes pass the latest of it on with its age. A node takes each
number over once: if it took the age again from every message, the transit times of
messages between two nodes would add up, and the knowledge would never grow old.
"""

from math import inf
from typing import NamedTuple

from cyclamenyoke.core.decoding import Integer64
from cyclamenyoke.core.units import MILLISECOND, SECOND

MAX_TICK_GAP = 300 * MILLISECOND
"""Seconds between two ticks above which messages may have waited to be read."""

CATCH_UP_TIME = 500 * MILLISECOND
"""Seconds after such a gap within which messages that waited may still be read."""

NUMBER_LIFETIME = 30 * SECOND
"""Seconds for which the numbers of a node only rise. A VM that is started anew begins
with lower ones."""

MICROSECONDS_PER_SECOND = 1_000_000


class Evidence(NamedTuple):
    """That a node found no newer configuration in the store.

    :param node: IP address of the node that read the store; empty for no evidence.
    :param number: increases with each read of that node.
    """

    node: str = ""
    number: Integer64 = 0


NO_EVIDENCE = Evidence()


class ConfigConfirmation:
    """When there was no newer configuration than the node's, as far as it knows.

    :param node: IP address of this node.
    :param now: the time by the node's clock, as in all methods.
    """

    __slots__ = (
        "_caught_up_at",
        "_confirmed_at",
        "_evidence",
        "_node",
        "_seen",
        "_ticked_at",
    )

    def __init__(self, node: str, now: float) -> None:
        self._node = node
        self._evidence = NO_EVIDENCE
        self._confirmed_at = -inf
        self._ticked_at = now
        self._caught_up_at = now
        # By node: the last number, and until when it excludes lower ones.
        self._seen: dict[str, tuple[int, float]] = {}

    @property
    def evidence(self) -> Evidence:
        """The latest evidence."""
        return self._evidence

    @property
    def confirmed_at(self) -> float:
        """When there was no newer configuration; ``-inf`` if that is not known."""
        return self._confirmed_at

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation; -1 without one."""
        return -1.0 if self._confirmed_at == -inf else now - self._confirmed_at

    def tick(self, now: float) -> None:
        """Note that the process runs; call this at least every ``MAX_TICK_GAP``."""
        if now - self._ticked_at > MAX_TICK_GAP:
            self._caught_up_at = now + CATCH_UP_TIME
        self._ticked_at = now

    def on_store_read(self, asked_at: float) -> None:
        """Note that the store had no newer configuration when it was asked."""
        number = int(asked_at * MICROSECONDS_PER_SECOND)
        self._confirm(Evidence(self._node, number), asked_at)

    def on_snapshot(self, evidence: Evidence, age: float, asked_at: float) -> None:
        """Apply what a peer has responded to a request.

        :param age: the peer's seconds since its confirmation; negative without one.
        :param asked_at: when the peer was asked.
        """
        if age >= 0:
            self._confirm(evidence, asked_at - age)

    def on_peer_message(self, evidence: Evidence, age: float, now: float) -> None:
        """Apply what a peer states of a version that is not newer than this node's.

        Messages that may have waited while this process did not run state nothing,
        since the time that they waited is not known.

        :param age: as in :meth:`on_snapshot`.
        """
        if age < 0 or evidence.node in ("", self._node):
            return
        if now < self._caught_up_at or now - self._ticked_at > MAX_TICK_GAP:
            return
        last_number, until = self._seen.get(evidence.node, (0, -inf))
        if evidence.number <= last_number and now < until:
            return
        self._seen[evidence.node] = evidence.number, now + NUMBER_LIFETIME
        # The message may have arrived at any time since the last tick.
        self._confirm(evidence, min(now, self._ticked_at) - age)

    def _confirm(self, evidence: Evidence, at: float) -> None:
        if at > self._confirmed_at:
            self._evidence, self._confirmed_at = evidence, at
