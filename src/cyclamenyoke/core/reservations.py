"""Reservations: what a request occupies at an endpoint, with one owner for all of it.

The load that this handles: callers that disconnect by the dozen in one iteration of the
event loop, so that a decision may reach a request that no longer waits for it. Counts
that each step of a request adjusts by itself are then wrong until a restart.
"""

from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, replace
from types import TracebackType
from typing import TypeVar
from weakref import WeakSet

from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.circuit_breaker import Probe
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.prompt_placement import Prompt

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True, eq=False, weakref_slot=True)
class Reservation:
    """The slot, customer's count, circuit's probe and prompt that one request holds.

    Whoever holds the reservation releases it. As a context manager it is released at
    the end of the block; it may be released earlier within.

    :param customer: empty for a request without one.
    :param probe: ``None`` unless the request probes a half-open circuit.
    :param prompt: ``None`` for a request whose prompt is not counted.
    """

    endpoint: Endpoint
    service: str
    customer: str
    probe: Probe | None
    prompt: Prompt | None
    _reservations: "Reservations"

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def release(self) -> None:
        """Give everything back. Only the first call has an effect."""
        self._reservations.release(self)

    def hand_over(self) -> "Reservation":
        """Return a reservation that takes the place of this one.

        The prompt is not counted any more: the endpoint has read it.
        """
        return self._reservations.hand_over(self)


class Reservations:
    """The reservations of one node that have not been released.

    :param balancer: counts what is reserved.
    """

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        # Weak references, so that a reservation that was lost without a release is
        # missing here while it is still counted.
        self._live: WeakSet[Reservation] = WeakSet()

    def acquire(
        self,
        endpoint: Endpoint,
        service: str,
        customer: str,
        prompt: Prompt | None = None,
    ) -> Reservation:
        """Count a request at an endpoint and return its reservation.

        :param customer: empty for a request without one.
        :param prompt: counted at the endpoint as well; ``None`` for none.
        """
        probe = self._balancer.on_sent(endpoint.id)
        self._balancer.count_customer(service, customer, 1)
        if prompt is not None:
            prompt.place(endpoint.id)
        reservation = Reservation(endpoint, service, customer, probe, prompt, self)
        self._live.add(reservation)
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Undo :meth:`acquire`, unless that has been done."""
        if reservation not in self._live:
            return
        self._live.discard(reservation)
        if reservation.prompt is not None:
            reservation.prompt.release()
        self._balancer.on_completed(reservation.endpoint.id, reservation.probe)
        self._balancer.count_customer(reservation.service, reservation.customer, -1)

    def hand_over(self, reservation: Reservation) -> Reservation:
        """Let a new reservation hold what another one does, without its prompt."""
        if reservation.prompt is not None:
            reservation.prompt.release()
        successor = replace(reservation, prompt=None)
        self._live.discard(reservation)
        self._live.add(successor)
        return successor

    def check(self, monitor: InvariantMonitor) -> None:
        """Check that the balancer counts exactly the live reservations."""
        live = list(self._live)
        requests = Counter(each.endpoint.id for each in live)
        customers = Counter((each.service, each.customer) for each in live)
        counted_customers = {
            (service, customer): count
            for service, counts in self._balancer.own_customers.items()
            for customer, count in counts.items()
        }
        endpoint_errors = _differences(self._balancer.own_requests, requests)
        customer_errors = _differences(counted_customers, customers)
        lost_probes = self._balancer.pending_probes - {each.probe for each in live}
        monitor.check(
            Invariant.COUNTS_EQUAL_OWNERS,
            not (endpoint_errors or customer_errors or lost_probes),
            f"counted without an owner: endpoints {endpoint_errors}, "
            f"customers {customer_errors}, probes {len(lost_probes)}",
        )


def _differences(
    counted: Mapping[Key, int], owned: Mapping[Key, int]
) -> dict[Key, int]:
    """Return by how much counts exceed what is owned, where they differ."""
    keys = {*counted, *owned}
    surplus = {key: counted.get(key, 0) - owned.get(key, 0) for key in keys}
    return {key: count for key, count in surplus.items() if count}
