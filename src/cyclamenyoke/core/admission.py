"""Admission control: which requests are sent, which are queued, which are rejected.

A request for which an endpoint has a free slot is sent. Otherwise the time until a slot
becomes free is predicted from the requests in flight and queued at all gateways. If
that time is short the request is queued; if it is long the request is rejected at once,
with the prediction as Retry-After.

Requests that can still be on time go before those that are late anyway, since a late
response is worth less to its caller and takes the same work. While slots are scarce,
the last ones are withheld from a customer whose load surges, and the prediction for
that customer counts only the part of the service that the others leave to it.
"""

from collections import Counter, deque
from collections.abc import Callable, Container, Iterator, Mapping
from dataclasses import dataclass, field

from cyclamenyoke.core.fair_share import Scarcity
from cyclamenyoke.core.invariants import Invariant, InvariantMonitor
from cyclamenyoke.core.prompt_placement import Prompt
from cyclamenyoke.core.reservations import Reservation
from cyclamenyoke.core.units import MILLISECOND, SECOND

MIN_RETRY_AFTER = 100 * MILLISECOND
"""Lower bound in seconds on Retry-After: with a shorter one callers would retry before
the load has changed."""

MAX_RETRY_AFTER = 2.5 * SECOND
"""Upper bound in seconds on Retry-After, so that callers wait for at most a third of
their timeout."""

MAX_QUEUE_SHARE = 0.5
"""Share of the caller's timeout that a request may spend in the queue; the rest is for
its response."""

DURATION_SMOOTHING = 0.1
"""Weight of the newest duration in the moving average."""

INITIAL_DURATION = 1 * SECOND
"""Duration in seconds that is assumed until a request has ended."""

MAX_DEADLINE_SAMPLES = 64
"""Maximum number of recent remaining times that are kept for each route."""


class FirstAttemptEstimator:
    """Estimates how long ago a caller made its first attempt.

    A caller's deadline counts from its first attempt, and each attempt states the time
    that remains. The longest recent remaining time of a route is therefore taken as the
    callers' full timeout, and the difference from a request's own remaining time as the
    time that has already elapsed.

    >>> estimator = FirstAttemptEstimator()
    >>> estimator.elapsed("r", 8.0)
    0.0
    >>> estimator.elapsed("r", 6.5)
    1.5
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, deque[float]] = {}

    def elapsed(self, route: str, remaining: float) -> float:
        """Return the seconds since the caller's first attempt.

        :param remaining: seconds until the caller's deadline.
        """
        recent = self._deadlines.setdefault(route, deque(maxlen=MAX_DEADLINE_SAMPLES))
        recent.append(remaining)
        return max(recent) - remaining


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """One request that needs an endpoint.

    :param priority: 0 is served first.
    :param on_time_until: latest time at which it can be sent and still be on time; may
        have passed.
    :param queue_deadline: time at which it is rejected if it is still queued.
    :param tried_endpoints: ids of endpoints that have already received it.
    :param prompt: its prompt, which is counted at the endpoint that it gets.
    """

    service: str
    customer: str
    priority: int
    arrived_at: float
    on_time_until: float
    queue_deadline: float
    tried_endpoints: frozenset[str]
    prompt: Prompt | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to an endpoint.

    :param reservation: to be released by whoever receives the decision.
    """

    reservation: Reservation


@dataclass(frozen=True, slots=True)
class Enqueued:
    """The request is in the queue."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is rejected.

    :param retry_after: predicted seconds until a slot is free, within the bounds of
        Retry-After, or until the first endpoint accepts requests again.
    """

    retry_after: float


Decision = Admitted | Enqueued | Rejected


@dataclass(slots=True)
class WaitQueue:
    """Requests of one service that are queued at this node.

    :param duration: moving average of the seconds that a request takes.
    """

    requests: list[AdmissionRequest] = field(default_factory=list)
    duration: float = INITIAL_DURATION

    def queued(self) -> Counter[str]:
        """Return how many requests of each customer are queued."""
        return Counter(request.customer for request in self.requests)


class Admission:
    """Admission control of one node, with a queue for each service.

    :param reserve: reserves a free slot of an endpoint; returns ``None`` without one.
    :param load: returns how many requests from all nodes a service has in flight.
    :param queued_at_peers: returns how many requests for a service are queued at other
        nodes, by customer.
    :param pause: returns for how many seconds none of a request's endpoints accepts
        requests, because all of them asked for a pause; 0 if one does.
    :param limit_wait: returns the seconds until limits of the endpoints let a request
        through, by its place among those of its service that wait at this node.
    :param scarcity: returns whether a service's slots are scarce, and which customers
        surge.
    """

    def __init__(
        self,
        reserve: Callable[[AdmissionRequest, float], Reservation | None],
        load: Callable[[str], int],
        queued_at_peers: Callable[[str], Mapping[str, int]],
        pause: Callable[[AdmissionRequest, float], float],
        limit_wait: Callable[[AdmissionRequest, int], float],
        scarcity: Callable[[str], Scarcity],
        monitor: InvariantMonitor,
    ) -> None:
        self._reserve = reserve
        self._load = load
        self._queued_at_peers = queued_at_peers
        self._pause = pause
        self._limit_wait = limit_wait
        self._scarcity = scarcity
        self._monitor = monitor
        self._queues: dict[str, WaitQueue] = {}

    @property
    def queued(self) -> dict[str, dict[str, int]]:
        """Number of requests queued at this node, by service and customer."""
        return {
            service: dict(queue.queued())
            for service, queue in self._queues.items()
            if queue.requests
        }

    def on_duration(self, service: str, seconds: float) -> None:
        """Update the average duration of a service's requests."""
        queue = self._queue(service)
        queue.duration += DURATION_SMOOTHING * (seconds - queue.duration)

    def duration(self, service: str) -> float:
        """Return the average seconds that a service's requests take."""
        return self._queue(service).duration

    def predicted_wait(self, service: str, customer: str) -> float:
        """Return the seconds until a customer's next request would get a slot."""
        queue = self._queue(service)
        queued = queue.queued()
        queued.update(self._queued_at_peers(service))
        scarcity = self._scarcity(service)
        in_flight = max(1.0, self._load(service))
        if customer in scarcity.surging:
            in_flight = max(1.0, in_flight * scarcity.share)
        else:
            for each in scarcity.surging:
                queued.pop(each, None)
        return (queued.total() + 1) * queue.duration / in_flight

    def _predicted_wait_of(self, request: AdmissionRequest) -> float:
        """Return the seconds until a request gets a slot that limits let it use."""
        position = len(self._queue(request.service).requests) + 1
        return max(
            self.predicted_wait(request.service, request.customer),
            self._limit_wait(request, position),
        )

    def decide(self, request: AdmissionRequest, now: float) -> Decision:
        """Admit, enqueue or reject a new request."""
        pause = self._pause(request, now)
        if pause:
            return Rejected(max(MIN_RETRY_AFTER, pause))
        queue = self._queue(request.service)
        scarcity = self._scarcity(request.service)
        may_dispatch = request.customer not in scarcity.surging
        if may_dispatch and all(
            each.customer in scarcity.surging for each in queue.requests
        ):
            reservation = self._reserve(request, now)
            if reservation is not None:
                return Admitted(reservation)
        wait = self._predicted_wait_of(request)
        if now + wait > request.queue_deadline:
            return _reject(wait)
        queue.requests.append(request)
        return Enqueued()

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a request from its queue if it is there."""
        queue = self._queue(request.service)
        if request in queue.requests:
            queue.requests.remove(request)

    def check_owners(self, owners: Container[AdmissionRequest]) -> None:
        """Check that each queued request has an owner, which will remove it.

        :param owners: the requests that are waited for.
        """
        lost = Counter(
            (request.service, request.customer)
            for queue in self._queues.values()
            for request in queue.requests
            if request not in owners
        )
        self._monitor.check(
            Invariant.COUNTS_EQUAL_OWNERS,
            not lost,
            f"queued without an owner: {dict(lost)}",
        )

    def dispatch(
        self, now: float
    ) -> Iterator[tuple[AdmissionRequest, Admitted | Rejected]]:
        """Remove requests that can be sent or have expired, and yield them."""
        for service, queue in self._queues.items():
            while queue.requests:
                scarcity = self._scarcity(service)
                request = self._next(queue, scarcity, now)
                if request is None:
                    break
                pause = self._pause(request, now)
                if pause:
                    queue.requests.remove(request)
                    yield request, Rejected(max(MIN_RETRY_AFTER, pause))
                    continue
                if now >= request.queue_deadline:
                    queue.requests.remove(request)
                    yield request, _reject(self._predicted_wait_of(request))
                    continue
                reservation = self._reserve(request, now)
                if reservation is None:
                    break
                self._monitor.check(
                    Invariant.CUSTOMER_ISOLATION,
                    request.customer not in scarcity.surging,
                    f"reserved slot given to surging customer {request.customer}",
                )
                queue.requests.remove(request)
                yield request, Admitted(reservation)

    def _next(
        self, queue: WaitQueue, scarcity: Scarcity, now: float
    ) -> AdmissionRequest | None:
        """Return the request to dispatch or to reject next, or ``None``.

        Expired requests come first; the others are ordered by priority, then those that
        can still be on time before late ones, then by age. Requests of a surging
        customer are not dispatched.
        """

        def rank(request: AdmissionRequest) -> tuple[bool, int, bool, float]:
            has_expired = now >= request.queue_deadline
            is_late = now >= request.on_time_until
            return not has_expired, request.priority, is_late, request.arrived_at

        eligible = (
            request
            for request in queue.requests
            if request.customer not in scarcity.surging or now >= request.queue_deadline
        )
        return min(eligible, key=rank, default=None)

    def _queue(self, service: str) -> WaitQueue:
        return self._queues.setdefault(service, WaitQueue())


def _reject(wait: float) -> Rejected:
    """Return a rejection with a predicted wait as Retry-After, within its bounds."""
    return Rejected(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)))
