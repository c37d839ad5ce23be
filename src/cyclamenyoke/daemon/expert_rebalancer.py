"""Adapts the expert maps of engine groups to the experts that requests select.

One gateway at a time does this: the holder of a lease in the store. It works only under
load, because loading experts and sending commands have a cost. Counts are read before
that, so that a plan can be made as soon as the load is sustained. All
ranks of a group must switch to a new map at the same decoding pass, in these steps:

* every rank prepares the map and reports that it has;
* one rank is commanded to hold the pass of the switch, so that no rank starts it;
* every rank is armed for that pass; the command is repeated until the rank replies;
* the held pass is released.

Once the pass is held the switch is completed, unless a rank rejects it: then all ranks
are disarmed before the pass is released. So the next lock holder can complete it from
the ranks' reports alone, and a command that is executed late finds that its pass has
already started.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.decoding import Count, Integer64, decode_json
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.expert_demand import ExpertDemand
from cyclamenyoke.core.expert_map_planner import (
    ExpertMap,
    MapPlan,
    SetPlan,
    combine_set_plans,
    initial_map,
    is_complete_map,
    plan_sets,
)
from cyclamenyoke.core.gateway_config import ExpertLayout, GatewayConfig, Service
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.task_supervisor import TaskSupervisor
from cyclamenyoke.exceptions import MalformedValue, PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine_control import (
    CommandResult,
    EngineControl,
    EngineControlError,
    RankReport,
)
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    LeaseExpired,
    RevisionConflict,
    VersionedValue,
)

LOCK_KEY = "cyclamenyoke/expert-steward"
MAP_PREFIX = "cyclamenyoke/expert-maps/"

LOCK_LIFETIME = 1.5 * SECOND
"""Lifetime of the lock's lease in seconds. If the holder freezes while a pass is held,
another node takes over within this time, before callers time out on the stalled
streams."""

LOCK_MARGIN = 0.3 * SECOND
"""Seconds before the end of the lease at which the holder stops sending commands:
longer than one call may take."""

LOCK_POLL_INTERVAL = 0.25 * SECOND
"""Seconds between two checks of a lock that another node holds. Each call to the store
has a cost, but demand changes every few seconds, and only one node waits for it."""

RENEW_INTERVAL = 0.4 * SECOND
"""Seconds between two renewals of the lease: two fit between its grant and the
margin."""

LOAD_CHECK_INTERVAL = 60 * MILLISECOND
"""Seconds between two checks of the services' load."""

SAMPLE_INTERVAL = 120 * MILLISECOND
"""Seconds between two reads of expert counts of a loaded service: one or two passes.
The selected experts may change every few seconds, and until the map follows, streams
pause for too long. A read pauses the group for some milliseconds."""

OBSERVATION_INTERVAL = 1 * SECOND
"""Seconds between two reads of expert counts of a service that is in use, but not
loaded. A read has a cost and pauses the group for some milliseconds."""

MIN_GAP_RATIO = 0.55
"""Average ratio of event gaps to the target gap from which a service counts as loaded.
It leaves time for a switch, which takes about a second: from a ratio of about 0.7,
responses are late."""

MIN_SLOT_UTILIZATION = 0.8
"""Share of a service's slots in use above which it counts as loaded, whatever the
gaps."""

SUSTAINED_LOAD_DURATION = 0.5 * SECOND
"""Seconds for which a service must be loaded before its maps are changed."""

PREPARE_TIMEOUT = 3 * SECOND
"""Seconds within which all ranks must report that they have prepared a map."""

PREPARE_POLL_INTERVAL = 50 * MILLISECOND
"""Seconds between two reads of the ranks' reports while they prepare a map: about one
pass."""

MAX_PREPARES_IN_FLIGHT = 16
"""Largest number of ranks to which a map is sent at the same time, so that callers'
responses are not delayed behind the maps of all ranks on this node's link."""

PREPARE_RESPONSE_TIME = 400 * MILLISECOND
"""Seconds within which a rank answers the first command to prepare a map, while other
maps share this node's link. Each further command gets twice the time of the one before.
A command that is lost delays the switch of the whole group."""

LEAD_PASSES = range(2, 10)
"""Passes between the last reported one and the switch, in the order in which they are
tried. A rank rejects a pass that has already started, as some have when a report
arrives; each attempt takes a few milliseconds, a pass some tens."""

ARM_RETRY_TIME = 300 * MILLISECOND
"""Seconds for which a rank that rejects a switch is asked again, since it may still be
loading the map."""

MAX_COMMAND_ATTEMPTS = 4
"""Largest number of attempts of a command while no rank is armed yet."""

COMPLETION_TIMEOUT = 2.5 * SECOND
"""Seconds for which the lock holder tries to complete a switch before it releases
the lock to another node."""

COMMAND_RETRY_INTERVAL = 20 * MILLISECOND
"""Seconds between two attempts of a command."""

OPEN_SWITCH_LOG_INTERVAL = 1 * SECOND
"""Seconds between two log lines about a switch that was left open."""

ERROR_PAUSE = 1 * SECOND
"""Seconds for which a service is left alone after an unexpected error."""

VERSIONS_PER_LOCK = 1000
"""Map versions that one lock holder can assign. They start at the number of the lock,
which increases with its position in the store, times this number, so those of a later
holder are higher."""

REVISIONS_PER_ERA = 2**24
"""More revisions than the store loses when it is restored from an older copy."""


@dataclass(slots=True)
class RankGroup:
    """The ranks of one engine group in one epoch, in the order of their numbers.

    :param reports: the last report of each rank, in the same order.
    """

    name: str
    epoch: int
    ranks: list[Endpoint]
    reports: list[RankReport]

    @property
    def step(self) -> int:
        """The latest pass that any rank has reported."""
        return max(report.step for report in self.reports)

    @property
    def held_pass(self) -> tuple[Endpoint, int] | None:
        """The rank that holds a pass, with the number of the pass."""
        for endpoint, report in zip(self.ranks, self.reports, strict=True):
            if report.held_step is not None:
                return endpoint, report.held_step
        return None

    def common_value(self, value_of: Callable[[RankReport], int | None]) -> int | None:
        """Return the value that all ranks report, or ``None`` if they differ."""
        values = {value_of(report) for report in self.reports}
        return values.pop() if len(values) == 1 else None


@dataclass(slots=True)
class StoredMaps:
    """Maps of a group as they are kept in the store.

    :param by_version: the map in force and the one that the group may switch to.
    """

    epoch: Integer64
    by_version: dict[Integer64, list[list[list[Count]]]]


@dataclass(frozen=True, slots=True)
class ReleasedSwitch:
    """A switch that every rank of a group makes at the start of a pass."""

    epoch: int
    version: int
    step: int

    def is_reported(self, group: RankGroup) -> bool:
        """Return whether the ranks report the map, or have formed a new group."""
        if group.epoch != self.epoch:
            return True
        return all(report.map_version >= self.version for report in group.reports)


@dataclass(slots=True)
class DemandSample:
    """The demand for a service's experts, and when its counts were last read."""

    demand: ExpertDemand = field(default_factory=ExpertDemand)
    read_at: float = 0.0


class ExpertRebalancer:
    """Rebalances the experts of all engine groups while this node holds the lock.

    :param config: returns the configuration in force.
    :param era_age: returns for how many seconds this node has known a store's era.
    :param may_hold_lock: returns whether this node may hold the lock, given whether it
        holds it now.
    :param queued: returns a service's requests that are queued at any node.
    :param gap_ratio: returns the average ratio of a service's event gaps to the target
        gap.
    """

    def __init__(
        self,
        store: KeyValueStore,
        control: EngineControl,
        registry: EndpointRegistry,
        balancer: Balancer,
        config: Callable[[], GatewayConfig | None],
        era_age: Callable[[int], float],
        may_hold_lock: Callable[[bool], bool],
        queued: Callable[[str], int],
        gap_ratio: Callable[[str], float],
        node: str,
        clock: Clock,
        supervisor: TaskSupervisor,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._store = store
        self._control = control
        self._registry = registry
        self._balancer = balancer
        self._config = config
        self._era_age = era_age
        self._may_hold_lock = may_hold_lock
        self._queued = queued
        self._gap_ratio = gap_ratio
        self._node = node
        self._clock = clock
        self._supervisor = supervisor
        self._metrics = metrics
        self._log = log
        self._lease = 0
        # The store's era in which the maps of this node were last written.
        self._maps_era = 0
        self._locked_until = 0.0
        self._renew_lock_at = 0.0
        self._next_lock_check = 0.0
        self._next_version = 0
        self._loaded_since: dict[str, float] = {}
        # By service: when it is handled again after an unexpected error.
        self._paused_until: dict[str, float] = {}
        self._samples: dict[str, DemandSample] = {}
        self._maps: dict[str, StoredMaps] = {}
        # By group: the last problem of its stored maps that was logged.
        self._reported_maps: dict[str, str] = {}
        self._released_steps: dict[str, int] = {}
        self._released_switches: dict[str, ReleasedSwitch] = {}
        # By group: the service and the held pass of a switch that was left open.
        self._open_switches: dict[str, tuple[str, int]] = {}
        self._log_open_switches_at = 0.0

    @property
    def holds_lock(self) -> bool:
        """Whether this node holds the lock and may send commands."""
        return self._clock.now() < self._locked_until

    async def run(self) -> None:
        """Watch the load and rebalance loaded services until cancelled."""
        while True:
            await asyncio.sleep(LOAD_CHECK_INTERVAL)
            config = self._config()
            if config is None:
                continue
            # Every node tracks the load, so that the next lock holder need not wait
            # until it has been sustained.
            services = [
                (service, service.layout, self._is_loaded(service.name))
                for service in config.services.values()
                if service.layout is not None
            ]
            self._log_open_switches({each.name: loaded for each, _, loaded in services})
            if not self._may_hold_lock(self.holds_lock):
                await self._release_lock()
                await self._restore_maps()
                continue
            for service, layout, is_loaded in services:
                if self._clock.now() >= self._paused_until.get(service.name, 0.0):
                    await self._handle_service(service, layout, is_loaded)

    def _log_open_switches(self, is_loaded: Mapping[str, bool]) -> None:
        """Log what the closing of the open switches that this node knows depends on."""
        now = self._clock.now()
        if not self._open_switches or now < self._log_open_switches_at:
            return
        self._log_open_switches_at = now + OPEN_SWITCH_LOG_INTERVAL
        for group, (service, step) in self._open_switches.items():
            load, slots = self._balancer.service_load(service)
            self._log.warning(
                "switch is open",
                group=group,
                step=step,
                loaded=is_loaded.get(service, False),
                load=load,
                slots=slots,
                queued=self._queued(service),
                gap_ratio=round(self._gap_ratio(service), 2),
                holds_lock=self.holds_lock,
                may_hold_lock=self._may_hold_lock(self.holds_lock),
            )

    async def _handle_service(
        self, service: Service, layout: ExpertLayout, is_loaded: bool
    ) -> None:
        """Observe and rebalance one service; an error does not affect the others."""
        try:
            await self._observe(service.name, layout, is_loaded)
            if is_loaded:
                await self._rebalance_service(service, layout)
        except Exception as error:
            self._supervisor.report("experts", error, service=service.name)
            self._paused_until[service.name] = self._clock.now() + ERROR_PAUSE
            # Whoever acquires the lock completes the switches that are not complete.
            await self._release_lock()

    def _is_loaded(self, service: str) -> bool:
        """Return whether a service has been loaded for a sustained time."""
        now = self._clock.now()
        load, slots = self._balancer.service_load(service)
        is_full = load > MIN_SLOT_UTILIZATION * slots or self._queued(service) > 0
        if not is_full and self._gap_ratio(service) < MIN_GAP_RATIO:
            self._loaded_since.pop(service, None)
            return False
        return (
            now - self._loaded_since.setdefault(service, now) >= SUSTAINED_LOAD_DURATION
        )

    async def _rebalance_service(self, service: Service, layout: ExpertLayout) -> None:
        try:
            if await self._hold_lock():
                await self._finish_pending_switches(service.name)
            if self._clock.now() >= self._locked_until:
                return
            await self._rebalance(service.name, layout)
        except (PlatformUnavailable, RevisionConflict, LeaseExpired) as error:
            self._log.info("experts are not looked after", error=str(error))

    async def _observe(
        self, service: str, layout: ExpertLayout, is_loaded: bool
    ) -> None:
        """Sample the selected experts of a service that is in use."""
        if not is_loaded and not self._gap_ratio(service):
            return
        try:
            interval = SAMPLE_INTERVAL if is_loaded else OBSERVATION_INTERVAL
            await self._sample(service, layout, interval)
        except EngineControlError as error:
            self._metrics.count("expert_counts_not_read", service=service)
            self._log.info("expert counts not read", error=str(error))

    async def _hold_lock(self) -> bool:
        """Acquire or renew the lock; return whether it was newly acquired."""
        now = self._clock.now()
        if self._lease and now < self._renew_lock_at:
            return False
        if self._lease and await self._renew_lock():
            return False
        if now < self._next_lock_check:
            return False
        if not self._is_free(await self._store.get(LOCK_KEY)):
            self._next_lock_check = now + LOCK_POLL_INTERVAL
            return False
        lease = await self._store.grant_lease(LOCK_LIFETIME)
        # Read again, so that the era is that of the lease.
        found = await self._store.get(LOCK_KEY)
        if not self._is_free(found):
            await self._store.revoke_lease(lease)
            return False
        value = self._node.encode()
        revision = await self._store.compare_and_swap(LOCK_KEY, 0, value, lease)
        self._lease = lease
        number = found.era * REVISIONS_PER_ERA + revision
        self._next_version = number * VERSIONS_PER_LOCK
        await self._restore_maps()
        self._locked_until = now + LOCK_LIFETIME - LOCK_MARGIN
        self._renew_lock_at = now + RENEW_INTERVAL
        self._log.info("expert lock acquired", era=found.era, revision=revision)
        return True

    def _is_free(self, lock: VersionedValue) -> bool:
        """Return whether the lock may be acquired.

        A store that was restored has lost the lock of a holder that may not know yet.
        Its lock counts until the lease would have expired.
        """
        return lock.value is None and self._era_age(lock.era) >= LOCK_LIFETIME

    async def _rebalance(self, service: str, layout: ExpertLayout) -> None:
        """Switch the groups that gain enough for the experts that were sampled last."""
        sample = self._samples.get(service)
        selections = sample.demand.take_fresh() if sample is not None else []
        if [len(row) for row in selections] != [layout.experts] * layout.sets:
            return
        switches: list[tuple[RankGroup, MapPlan]] = []
        plans: list[tuple[ExpertMap, MapPlan]] = []
        for group in await self._groups(service):
            current = await self._map_to_change(group, layout)
            if current is None:
                continue
            # Groups of a service mostly have the same map, and so the same plan.
            plan = next((plan for before, plan in plans if before == current), None)
            if plan is None:
                plan = await self._plan(current, selections, layout)
                plans.append((current, plan))
            self._metrics.gauge("expert_skew", plan.skew_before, group=group.name)
            if plan.is_worthwhile and self._clock.now() < self._locked_until:
                switches.append((group, plan))
        switching = (self._switch(group, plan, layout) for group, plan in switches)
        for failure in await asyncio.gather(*switching, return_exceptions=True):
            if failure is not None:
                raise failure

    async def _map_to_change(
        self, group: RankGroup, layout: ExpertLayout
    ) -> ExpertMap | None:
        """Return a group's map; ``None`` if it is unknown or about to change."""
        if group.held_pass is not None:
            await self._finish_switch(group)
            return None
        if any(report.is_armed for report in group.reports):
            return None
        released = self._released_switches.get(group.name)
        if released is not None and not released.is_reported(group):
            return None
        return await self._current_map(group, layout)

    async def _plan(
        self,
        current: ExpertMap,
        selections: Sequence[Sequence[float]],
        layout: ExpertLayout,
    ) -> MapPlan:
        plans: list[SetPlan] = []
        for plan in plan_sets(current, selections, layout):
            plans.append(plan)
            # Lets this node serve requests between the plans of two sets.
            await asyncio.sleep(0)
        return combine_set_plans(plans)

    async def _sample(
        self, service: str, layout: ExpertLayout, interval: float
    ) -> None:
        """Read one rank's counts if they are due.

        One rank is enough, because the selections are alike on all ranks.
        """
        sample = self._samples.setdefault(service, DemandSample())
        now = self._clock.now()
        if now < sample.read_at + interval:
            return
        endpoints = self._registry.usable(service)
        candidates = [each for each in endpoints if each.id == sample.demand.rank]
        if not candidates:
            candidates = sorted(endpoints, key=self._balancer.load, reverse=True)
        if not candidates:
            return
        sample.read_at = now
        rank = candidates[0]
        counts = await self._control.expert_counts(rank, layout)
        sample.demand.add(rank.id, counts.epoch, counts.counts, self._clock.now())

    async def _groups(self, service: str) -> list[RankGroup]:
        """Return the groups of which every rank reports and serves."""
        endpoints = [
            each
            for each in self._registry.endpoints.values()
            if each.service == service
        ]
        found = await asyncio.gather(*(self._report(each) for each in endpoints))
        silent = [
            each.id
            for each, report in zip(endpoints, found, strict=True)
            if report is None
        ]
        if silent and self._open_switches:
            self._log.warning("ranks sent no report", service=service, ranks=silent)
        by_group: dict[tuple[str, int], list[tuple[RankReport, Endpoint]]] = {}
        for endpoint, report in zip(endpoints, found, strict=True):
            if report is not None and report.is_serving:
                key = report.group, report.epoch
                by_group.setdefault(key, []).append((report, endpoint))
        groups = []
        for (name, epoch), members in by_group.items():
            members.sort(key=lambda member: member[0].rank)
            numbers = [report.rank for report, _ in members]
            # Ranks may report any size, so no list of that size is made.
            is_complete = len(members) == members[0][0].size
            if is_complete and numbers == list(range(len(members))):
                ranks = [endpoint for _, endpoint in members]
                groups.append(RankGroup(name, epoch, ranks, [r for r, _ in members]))
        return groups

    async def _report(self, endpoint: Endpoint) -> RankReport | None:
        try:
            return await self._control.report(endpoint)
        except EngineControlError as error:
            self._log.debug(
                "rank sent no report", endpoint=endpoint.id, error=str(error)
            )
            return None

    async def _current_map(
        self, group: RankGroup, layout: ExpertLayout
    ) -> ExpertMap | None:
        """Return the map in force, or ``None`` if it is unknown."""
        version = group.common_value(lambda report: report.map_version)
        if version is None:
            return None
        if version == 0:
            # The group has not switched its map since it was formed.
            return initial_map(layout, len(group.ranks))
        maps = self._maps.get(group.name)
        if maps is None or version not in maps.by_version:
            stored = await self._store.get(MAP_PREFIX + group.name)
            if stored.value is None:
                return None
            maps = self._decode_maps(group.name, stored.value)
            if maps is None:
                return None
            self._maps[group.name] = maps
        current = maps.by_version.get(version) if maps.epoch == group.epoch else None
        if current is not None and not is_complete_map(
            current, layout, len(group.ranks)
        ):
            self._report_invalid_maps(group.name, "experts are missing or unknown")
            return None
        return current

    def _decode_maps(self, group: str, value: bytes) -> StoredMaps | None:
        """Decode a group's stored maps; ``None`` and a log line if they are invalid."""
        try:
            return decode_json(value, StoredMaps)
        except MalformedValue as error:
            self._report_invalid_maps(group, str(error))
            return None

    def _report_invalid_maps(self, group: str, problem: str) -> None:
        """Count an invalid map; log it unless that is the group's last problem."""
        self._metrics.count("invalid_expert_maps", group=group)
        if self._reported_maps.get(group) != problem:
            self._reported_maps[group] = problem
            self._log.warning("stored map is invalid", group=group, error=problem)

    async def _switch(
        self, group: RankGroup, plan: MapPlan, layout: ExpertLayout
    ) -> None:
        """Switch a group to a new map."""
        self._next_version += 1
        version = self._next_version
        self._log.info(
            "expert map planned",
            group=group.name,
            epoch=group.epoch,
            version=version,
            skew_before=round(plan.skew_before, 2),
            skew_after=round(plan.skew_after, 2),
            moves=plan.total_loads,
        )
        if not await self._prepare(group, version, plan, layout):
            self._log.info("expert map not prepared", group=group.name, version=version)
            return
        await self._store_maps(group, version, plan.expert_map)
        if self._clock.now() >= self._locked_until:
            return
        step = await self._hold_pass(group)
        if step is None:
            return
        self._open_switches[group.name] = group.ranks[0].service, step
        await self._complete(group, version, step)

    async def _prepare(
        self, group: RankGroup, version: int, plan: MapPlan, layout: ExpertLayout
    ) -> bool:
        """Make all ranks load the map; return whether they have, as far as known.

        Reports are late, so they are read only if a rank may not have the map.
        """
        results = await self._send_map(group, version, plan.expert_map)
        if CommandResult.REJECTED in results:
            return False
        await asyncio.sleep(plan.max_loads * layout.load_time)
        if CommandResult.UNKNOWN in results:
            return await self._await_prepared(group, version)
        return await self._refresh(group, [0])

    async def _send_map(
        self, group: RankGroup, version: int, experts: ExpertMap
    ) -> list[CommandResult]:
        """Send a map to all ranks, and keep the lock meanwhile.

        :returns: for each rank whether it has accepted the map.
        """
        free_link = asyncio.Semaphore(MAX_PREPARES_IN_FLIGHT)

        async def prepare_rank(rank: Endpoint) -> CommandResult:
            may_be_accepted = False
            for attempt in range(MAX_COMMAND_ATTEMPTS):
                timeout = PREPARE_RESPONSE_TIME * 2**attempt
                async with free_link:
                    result = await self._prepare_rank(
                        rank, version, group.epoch, experts, timeout
                    )
                if result is CommandResult.REJECTED and may_be_accepted:
                    # A rank rejects a version that it has already accepted.
                    return CommandResult.UNKNOWN
                if result is not CommandResult.UNKNOWN:
                    return result
                may_be_accepted = True
                await asyncio.sleep(COMMAND_RETRY_INTERVAL)
            return CommandResult.REJECTED

        sending = asyncio.gather(*(prepare_rank(rank) for rank in group.ranks))
        while not sending.done():
            await asyncio.wait([sending], timeout=RENEW_INTERVAL)
            await self._keep_lock()
        return sending.result()

    async def _prepare_rank(
        self,
        rank: Endpoint,
        version: int,
        epoch: int,
        experts: ExpertMap,
        timeout: float,
    ) -> CommandResult:
        """Send a map to a rank; the result is unknown if it does not answer in time."""
        try:
            async with asyncio.timeout(timeout):
                return await self._control.prepare(rank, version, epoch, experts)
        except TimeoutError:
            return CommandResult.UNKNOWN

    async def _await_prepared(self, group: RankGroup, version: int) -> bool:
        """Return whether all ranks report in time that they have prepared a map."""
        deadline = self._clock.now() + PREPARE_TIMEOUT
        pending = list(range(len(group.ranks)))
        while self._clock.now() < deadline:
            await self._keep_lock()
            if not await self._refresh(group, pending):
                return False
            pending = [
                number
                for number in pending
                if group.reports[number].prepared_version != version
            ]
            if not pending:
                return True
            await asyncio.sleep(PREPARE_POLL_INTERVAL)
        return False

    async def _renew_lock(self) -> bool:
        """Renew the lease of the lock; return whether the lock is still held."""
        now = self._clock.now()
        # Set first, since commands to many ranks renew the lease on their way.
        self._renew_lock_at = now + RENEW_INTERVAL
        try:
            await self._store.renew_lease(self._lease)
        except LeaseExpired:
            self._lease = 0
            self._locked_until = 0.0
            return False
        self._locked_until = now + LOCK_LIFETIME - LOCK_MARGIN
        return True

    async def _keep_lock(self) -> None:
        """Renew the lock if that is due; without a reply it is held until its end."""
        if self._clock.now() < self._renew_lock_at or not self._lease:
            return
        try:
            await self._renew_lock()
        except PlatformUnavailable as error:
            self._log.info("expert lock not renewed", error=str(error))

    async def _refresh(self, group: RankGroup, numbers: Sequence[int]) -> bool:
        """Read the reports of some ranks.

        A rank that does not reply keeps its last report.

        :returns: whether the group still serves in its epoch, as far as known.
        """
        found = await asyncio.gather(
            *(self._report(group.ranks[number]) for number in numbers)
        )
        for number, report in zip(numbers, found, strict=True):
            if report is not None:
                group.reports[number] = report
        return all(
            each.epoch == group.epoch and each.is_serving for each in group.reports
        )

    async def _store_maps(
        self, group: RankGroup, version: int, experts: ExpertMap
    ) -> None:
        """Store a map beside the one in force, for the next lock holder."""
        key = MAP_PREFIX + group.name
        stored = await self._store.get(key)
        in_force = group.common_value(lambda report: report.map_version)
        before = self._maps.get(group.name)
        maps = {version: experts}
        if before is not None and before.epoch == group.epoch and in_force is not None:
            maps |= {
                number: each
                for number, each in before.by_version.items()
                if number == in_force
            }
        updated = StoredMaps(group.epoch, maps)
        value = msgspec.json.encode(updated)
        await self._store.compare_and_swap(key, stored.revision, value)
        self._maps[group.name] = updated

    async def _restore_maps(self) -> None:
        """Write the maps that this node knows to a store that may have lost them."""
        era = self._registry.position.era
        if era == self._maps_era:
            return
        try:
            for name, known in self._maps.items():
                await self._restore_map(name, known)
        except (PlatformUnavailable, RevisionConflict) as error:
            self._log.info("expert maps not restored; retrying", error=str(error))
            return
        self._maps_era = era

    async def _restore_map(self, name: str, known: StoredMaps) -> None:
        key = MAP_PREFIX + name
        stored = await self._store.get(key)
        if stored.value is not None:
            maps = self._decode_maps(name, stored.value)
            versions = maps.by_version if maps is not None else {}
            if max(versions, default=0) >= max(known.by_version, default=0):
                return
        value = msgspec.json.encode(known)
        await self._store.compare_and_swap(key, stored.revision, value)

    async def _hold_pass(self, group: RankGroup) -> int | None:
        """Hold a future pass at the first rank; return its number."""
        holding_rank = group.ranks[0]
        for lead in LEAD_PASSES:
            step = group.step + lead
            result = await self._control.hold(holding_rank, group.epoch, step)
            if result is CommandResult.DONE:
                return step
            if result is CommandResult.UNKNOWN:
                # The pass may be held. No rank is armed, so releasing it is safe.
                await self._release_pass(group, holding_rank, step)
                return None
        return None

    async def _complete(self, group: RankGroup, version: int, step: int) -> None:
        """Arm all ranks for a held pass, then release it."""
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        results = await asyncio.gather(
            *(self._arm(rank, version, group, step, deadline) for rank in group.ranks)
        )
        if CommandResult.UNKNOWN in results:
            # Only a node that reaches all ranks may release the pass.
            self._log.warning(
                "switch left to the next lock holder", group=group.name, step=step
            )
            await self._revoke_lock()
            return
        if CommandResult.REJECTED in results:
            await self._abandon(group, version, step, results)
            return
        await self._release_pass(group, group.ranks[0], step)
        switch = ReleasedSwitch(group.epoch, version, step)
        self._released_switches[group.name] = switch
        self._metrics.count("expert_switches")
        self._log.info("expert map armed", group=group.name, version=version, step=step)

    async def _arm(
        self,
        rank: Endpoint,
        version: int,
        group: RankGroup,
        step: int,
        deadline: float,
    ) -> CommandResult:
        rejected_until = self._clock.now() + ARM_RETRY_TIME
        while self._clock.now() < deadline:
            await self._keep_lock()
            if self._clock.now() >= self._locked_until:
                break
            result = await self._control.arm(rank, version, group.epoch, step)
            is_loading = (
                result is CommandResult.REJECTED and self._clock.now() < rejected_until
            )
            if result is not CommandResult.UNKNOWN and not is_loading:
                return result
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
        return CommandResult.UNKNOWN

    async def _abandon(
        self,
        group: RankGroup,
        version: int,
        step: int,
        results: Iterable[CommandResult],
    ) -> None:
        """Cancel a switch that a rank rejected, usually because its epoch ended."""
        rejected = sum(result is CommandResult.REJECTED for result in results)
        self._log.warning(
            "expert map refused", group=group.name, version=version, ranks=rejected
        )
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        disarmed = await asyncio.gather(
            *(self._disarm(rank, version, group, deadline) for rank in group.ranks)
        )
        if CommandResult.UNKNOWN in disarmed:
            # A rank may still be armed, so the pass must not start.
            self._log.warning(
                "switch left to the next lock holder", group=group.name, step=step
            )
            await self._revoke_lock()
            return
        await self._release_pass(group, group.ranks[0], step)

    async def _disarm(
        self, rank: Endpoint, version: int, group: RankGroup, deadline: float
    ) -> CommandResult:
        while self._clock.now() < deadline:
            await self._keep_lock()
            if self._clock.now() >= self._locked_until:
                break
            result = await self._control.disarm(rank, version, group.epoch)
            if result is not CommandResult.UNKNOWN:
                return result
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
        return CommandResult.UNKNOWN

    async def _release_pass(
        self, group: RankGroup, holding_rank: Endpoint, step: int
    ) -> None:
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        while self._clock.now() < deadline:
            result = await self._control.release_hold(holding_rank, group.epoch, step)
            if result is not CommandResult.UNKNOWN:
                self._released_steps[group.name] = step
                self._open_switches.pop(group.name, None)
                return
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
        self._log.warning(
            "held pass not released; releasing lock", group=group.name, step=step
        )
        await self._revoke_lock()

    async def _release_lock(self) -> None:
        """Release the lock, so that another node can acquire it at once."""
        if not self._lease:
            return
        try:
            await self._revoke_lock()
        except (PlatformUnavailable, LeaseExpired) as error:
            self._log.info("expert lock not released", error=str(error))

    async def _revoke_lock(self) -> None:
        lease, self._lease = self._lease, 0
        self._locked_until = 0.0
        if lease:
            await self._store.revoke_lease(lease)

    async def _finish_pending_switches(self, service: str) -> None:
        """Complete the switches that an earlier lock holder left unfinished."""
        for group in await self._groups(service):
            if group.held_pass is not None:
                await self._finish_switch(group)

    async def _finish_switch(self, group: RankGroup) -> None:
        """Complete the switch of a held pass, or release it if no map is prepared."""
        held_pass = group.held_pass
        if held_pass is not None:
            self._open_switches[group.name] = group.ranks[0].service, held_pass[1]
        if held_pass is not None and held_pass[1] <= self._released_steps.get(
            group.name, -1
        ):
            # The report is older than the command to release the pass.
            return
        version = group.common_value(lambda report: report.prepared_version)
        if held_pass is None:
            return
        holding_rank, step = held_pass
        self._log.warning(
            "held pass found; finishing", group=group.name, step=step, prepared=version
        )
        if version is not None and version > 0:
            await self._complete(group, version, step)
        else:
            await self._release_pass(group, holding_rank, step)
