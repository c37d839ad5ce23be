"""What was seen of a run, by request, gateway and engine."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import inf

from process_soak.record import FOREVER, Event
from process_soak.site import EXTRA_ROUTE, TIMEOUTS, Bounds

Findings = Iterator[str]

LATE = 0.5
"""Seconds by which something must be late to count."""

KILL_TOLERANCE = 0.1
"""Seconds by which the kill at the end of a grace may seem too early."""

END_DURING_DISRUPTION = 1.0
"""Seconds after a disruption in which the end of a process is put down to it."""


@dataclass(slots=True)
class Request:
    """One request with all that was seen of it."""

    sent: Event
    ended: Event | None = None
    arrivals: list[Event] = field(default_factory=list)
    runs: list[Event] = field(default_factory=list)
    first_events: list[Event] = field(default_factory=list)
    ends: list[Event] = field(default_factory=list)
    plain_timeouts: tuple[float, ...] = ()

    @property
    def times_out_at(self) -> float:
        """When the shortest timeout is reached that its route may have."""
        return self.sent.at + min(self._timeouts)

    @property
    def must_end_at(self) -> float:
        """When the longest timeout is reached that its route may have."""
        return self.sent.at + max(self._timeouts)

    @property
    def _timeouts(self) -> tuple[float, ...]:
        is_plain = self.sent.kind != "streaming"
        drawn = self.plain_timeouts if is_plain else ()
        return drawn or (TIMEOUTS[self.sent.kind],)

    @property
    def is_probe(self) -> bool:
        """Whether it needs a route, a key or a size that not all versions allow."""
        sent = self.sent
        is_large = sent.head_bytes > 0 or sent.body_bytes > 0
        return sent.detail.startswith(EXTRA_ROUTE) or sent.key > 0 or is_large

    def end_at_engine(self, arrival: Event) -> Event | None:
        """Return how an engine's work ended on one of the arrivals."""
        ends = (
            end
            for end in self.ends
            if end.process == arrival.process and end.at >= arrival.at
        )
        return next(ends, None)

    def begin_at_engine(self, arrival: Event) -> Event | None:
        """Return how an engine began to work on one of the arrivals.

        Work on a stream begins with its first event.
        """
        is_stream = self.sent.kind == "streaming"
        begins = (
            begin
            for begin in (self.first_events if is_stream else self.runs)
            if begin.process == arrival.process and begin.at >= arrival.at
        )
        return next(begins, None)


@dataclass(slots=True)
class Stop:
    """A planned stop of a gateway, from its SIGTERM."""

    gateway: str
    incarnation: int
    at: float


@dataclass(slots=True)
class Disruption:
    """A time in which a gateway did not run as usual."""

    since: float
    until: float
    is_planned: bool


@dataclass(slots=True)
class Version:
    """A version of the configuration.

    :param acknowledged_at: when the store had accepted it.
    :param extra_routes: number of routes that only probes use.
    :param extra_keys: number of keys that only some versions have.
    """

    sent_at: float
    acknowledged_at: float
    extra_routes: int
    extra_keys: int = 0
    max_head_bytes: int = 0
    max_body_bytes: int = 0

    def has_route(self, name: str) -> bool:
        """Return whether it has a route."""
        number = name.removeprefix(EXTRA_ROUTE)
        return number == name or int(number) < self.extra_routes

    def knows(self, sent: Event) -> bool:
        """Return whether it has the route and the key of a request."""
        return self.has_route(sent.detail) and sent.key <= self.extra_keys

    def allows(self, sent: Event) -> bool:
        """Return whether it allows a request, with the size of that."""
        is_small = (
            sent.head_bytes <= self.max_head_bytes
            and sent.body_bytes <= self.max_body_bytes
        )
        return self.knows(sent) and is_small


class Disruptions:
    """The disruptions of one gateway, from its signals, starts and ends in order.

    Others, such as those of its links, are added to these.
    """

    def __init__(self, grace: float) -> None:
        self.all: list[Disruption] = []
        self.stops: list[Stop] = []
        self._grace = grace
        self._frozen: Disruption | None = None
        self._down: Disruption | None = None

    def on_signal(self, event: Event) -> None:
        """Apply a signal that the gateway was sent."""
        handlers = {
            "SIGTERM": self._on_stop,
            "SIGKILL": self._on_kill,
            "SIGSTOP": self._on_freeze,
            "SIGCONT": self._on_thaw,
        }
        if event.result in handlers:
            handlers[event.result](event)

    def add(self, since: float, until: float, is_planned: bool) -> Disruption:
        """Add a disruption."""
        disruption = Disruption(since, until, is_planned)
        self.all.append(disruption)
        return disruption

    def _on_stop(self, event: Event) -> None:
        self.add(event.at, event.at, True)
        if not self._stop_of(event):
            self.stops.append(Stop(event.process, event.incarnation, event.at))

    def _stop_of(self, event: Event) -> Stop | None:
        """Return the stop of the start that an event is about."""
        stop = self.stops[-1] if self.stops else None
        is_same = stop is not None and stop.incarnation == event.incarnation
        return stop if is_same else None

    def _on_kill(self, event: Event) -> None:
        # The kill at the end of a grace belongs to the stop.
        stop = self._stop_of(event)
        ends_at = inf if stop is None else stop.at + self._grace - KILL_TOLERANCE
        self._down = self.add(event.at, inf, event.at >= ends_at)

    def _on_freeze(self, event: Event) -> None:
        self._frozen = self._frozen or self.add(event.at, inf, False)

    def _on_thaw(self, event: Event) -> None:
        if self._frozen is not None:
            self._frozen.until = event.at
            self._frozen = None

    def on_exited(self, event: Event) -> None:
        """Apply the end of the process."""
        latest = max((each.until for each in self.all), default=-inf)
        is_disturbed = event.at <= latest + END_DURING_DISRUPTION
        self._on_thaw(event)
        if self._down is not None:
            return
        if self._stop_of(event):
            self._down = self.add(event.at, inf, True)
        elif is_disturbed:
            # One that ends by itself at another time counts as running.
            self._down = self.add(event.at, inf, False)

    def on_started(self, event: Event) -> None:
        """Apply a start of the process."""
        if event.incarnation == 1:
            self.add(event.at, event.at, True)
        if self._down is not None:
            self._down.until = event.at
            self._down = None


class Observations:
    """The events of a run, by what the checks need."""

    def __init__(self, events: Sequence[Event], bounds: Bounds, ips: dict[str, str]):
        """:param ips: names of gateways by their callers' address."""
        self.events = events
        self.bounds = bounds
        self.requests: dict[str, Request] = {}
        self.strangers: list[Event] = []
        self.gateways: dict[str, Disruptions] = defaultdict(
            lambda: Disruptions(bounds.grace)
        )
        self.reloads: dict[str, list[float]] = defaultdict(list)
        self.exits: list[Event] = []
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.versions: list[Version] = []
        self.signals: list[Event] = []
        self.leaving_at: dict[str, float] = {}
        self.readiness: dict[str, list[Event]] = defaultdict(list)
        self._names = ips
        self.harmed: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._ended_at: dict[str, float] = {}
        self._core: list[tuple[float, float]] = []
        readers = {
            "ended": self._on_ended,
            "arrived": self._on_arrived,
            "began": self._on_began,
            "wrote": self._on_wrote,
            "left": self._on_left,
            "signal": self._on_signal,
            "started": self._on_started,
            "exited": self._on_exited,
            "configured": self._on_configured,
            "harmed": self._on_harmed,
            "disturbed": self._on_disturbed,
            "leaving": self._on_leaving,
            "store": self._on_store,
            "asked": self._on_asked,
        }
        for event in events:
            if event.what == "sent":
                self._on_sent(event)
        for event in events:
            if event.what in readers:
                readers[event.what](event)

    def _on_sent(self, event: Event) -> None:
        event.gateway = self._names.get(event.gateway, event.gateway)
        timeouts = self.bounds.plain_timeouts
        self.requests[event.request] = Request(event, plain_timeouts=timeouts)

    def _on_ended(self, event: Event) -> None:
        if event.request in self.requests:
            self.requests[event.request].ended = event

    def _on_arrived(self, event: Event) -> None:
        request = self.requests.get(event.request)
        if request is None:
            self.strangers.append(event)
            return
        request.arrivals.append(event)

    def _on_began(self, event: Event) -> None:
        if event.request in self.requests:
            self.requests[event.request].runs.append(event)

    def _on_wrote(self, event: Event) -> None:
        if event.request in self.requests:
            self.requests[event.request].first_events.append(event)

    def _on_left(self, event: Event) -> None:
        if event.request in self.requests:
            self.requests[event.request].ends.append(event)

    def _on_signal(self, event: Event) -> None:
        self.signals.append(event)
        if event.result == "SIGHUP":
            self.reloads[event.process].append(event.at)
        self.gateways[event.process].on_signal(event)

    def _on_started(self, event: Event) -> None:
        # Engines record their starts too, without a number.
        if event.incarnation:
            self.starts[event.process].append(event.at)
            self.gateways[event.process].on_started(event)

    def _on_exited(self, event: Event) -> None:
        self.exits.append(event)
        self.gateways[event.process].on_exited(event)

    def _on_configured(self, event: Event) -> None:
        self.versions.append(
            Version(
                event.at,
                event.until,
                event.use,
                event.key,
                event.head_bytes,
                event.body_bytes,
            )
        )

    def _on_harmed(self, event: Event) -> None:
        self.harmed[event.process].append((event.at, event.until))
        if event.until == FOREVER:
            self._ended_at[event.process] = event.at

    def _on_disturbed(self, event: Event) -> None:
        self.gateways[event.process].add(event.at, event.until, False)

    def _on_leaving(self, event: Event) -> None:
        self.leaving_at.setdefault(event.process, event.at)

    def _on_store(self, event: Event) -> None:
        self._core.append((event.at, event.until))

    def _on_asked(self, event: Event) -> None:
        self.readiness[event.process].append(event)

    @property
    def services(self) -> list[str]:
        """The services that requests were for."""
        return sorted({each.sent.service for each in self.requests.values()})

    def versions_in_force(self, request: Request, apply: float) -> list[Version]:
        """Return the versions that may decide about a request; none if too early.

        :param apply: seconds after its acknowledgement in which a version need not be
            in force.
        """
        applied = [
            number
            for number, version in enumerate(self.versions)
            if version.acknowledged_at + apply < request.sent.at
        ]
        if not applied:
            return []
        later = self.versions[applied[-1] :]
        return [each for each in later if each.sent_at <= request.ended.at]

    def stop_before(self, gateway: str, at: float) -> Stop | None:
        """Return the last stop of a gateway that began before a time."""
        stops = [stop for stop in self.gateways[gateway].stops if stop.at <= at]
        return stops[-1] if stops else None

    def stop_of(self, request: Request) -> Stop | None:
        """Return the stop in which a request ended, of the start that it was sent to.

        A caller may see the end after the gateway has started again.
        """
        gateway, sent_at = request.sent.gateway, request.sent.at
        restarts = [at for at in self.starts[gateway] if at > sent_at]
        return self.stop_before(gateway, min([request.ended.at, *restarts]))

    def is_undisturbed(self, gateway: str, since: float, until: float) -> bool:
        """Return whether nothing unplanned disturbed a gateway over a time.

        The ``stability`` bound before it belongs to it.
        """
        begin = since - self.bounds.stability
        return not any(
            each.since <= until and each.until >= begin
            for each in self.gateways[gateway].all
            if not each.is_planned
        )

    def is_running(self, gateway: str, since: float, until: float) -> bool:
        """Return whether nothing disturbed a gateway, planned or not.

        The ``stability`` bound before the time belongs to it.
        """
        begin = since - self.bounds.stability
        return not any(
            each.since <= until and each.until >= begin
            for each in self.gateways[gateway].all
        )

    def has_started(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway was started again over a time."""
        return any(since <= at <= until for at in self.starts[gateway])

    def is_core_stable(self, since: float, until: float) -> bool:
        """Return whether the store was stable over a time."""
        begin = since - self.bounds.stability
        return not any(start <= until and end >= begin for start, end in self._core)

    def is_in_touch(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway was in touch over a time."""
        return self.is_running(gateway, since, until) and self.is_core_stable(
            since, until
        )

    def is_sound(self, engine: str, since: float, until: float) -> bool:
        """Return whether an engine had no fault over a time."""
        return not any(
            start <= until and end >= since for start, end in self.harmed[engine]
        )

    def has_ended(self, engine: str, until: float) -> bool:
        """Return whether an engine had ended at a time."""
        return self._ended_at.get(engine, inf) <= until
