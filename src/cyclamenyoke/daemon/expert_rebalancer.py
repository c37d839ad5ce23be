"""Adapts the expert maps of engine groups to the experts that requests select.

One gateway at a time does this: the holder of a lock. It works only under load, because
loading experts and sending commands have a cost. Counts are read before that, so that a
plan can be made as soon as the load is sustained.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.expert_demand import ExpertDemand
from cyclamenyoke.core.expert_map_planner import (
    ExpertMap,
    MapPlan,
    SetPlan,
    combine_set_plans,
    plan_sets,
)
from cyclamenyoke.core.gateway_config import ExpertLayout, GatewayConfig, Service
from cyclamenyoke.core.open_switches import OpenSwitches
from cyclamenyoke.core.rank_group import FIRST_RANK, RankGroup
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.expert_map_store import ExpertMapStore
from cyclamenyoke.daemon.map_switcher import MapSwitcher
from cyclamenyoke.daemon.open_switch_closer import OpenSwitchCloser
from cyclamenyoke.daemon.rank_reports import RankReports
from cyclamenyoke.daemon.rebalancer_lock import RebalancerLock
from cyclamenyoke.daemon.task_supervisor import TaskSupervisor
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine_control import (
    CommandResult,
    EngineControl,
    EngineControlError,
)
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    LeaseExpired,
    RevisionConflict,
)

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

OPEN_SWITCH_LOG_INTERVAL = 1 * SECOND
"""Seconds between two log lines about a switch that was left open."""

ERROR_PAUSE = 1 * SECOND
"""Seconds for which a service is left alone after an unexpected error."""


@dataclass(frozen=True, slots=True)
class ReleasedSwitch:
    """A switch that every rank of a group makes at the start of a pass."""

    epoch: int
    version: int

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
        self._control = control
        self._registry = registry
        self._balancer = balancer
        self._config = config
        self._may_hold_lock = may_hold_lock
        self._queued = queued
        self._gap_ratio = gap_ratio
        self._clock = clock
        self._supervisor = supervisor
        self._metrics = metrics
        self._log = log
        self._reports = RankReports(control, registry, log)
        self._maps = ExpertMapStore(store, registry, metrics, log)
        self._lock = RebalancerLock(store, node, era_age, clock, log)
        self._switches = OpenSwitches()
        self._switcher = MapSwitcher(
            control, self._reports, self._switches, self._lock, clock, log
        )
        self._closer = OpenSwitchCloser(
            self._reports,
            self._switcher,
            self._switches,
            self._maps,
            self._lock,
            clock,
            metrics,
            log,
        )
        self._loaded_since: dict[str, float] = {}
        # By service: when it is handled again after an unexpected error.
        self._paused_until: dict[str, float] = {}
        self._samples: dict[str, DemandSample] = {}
        self._released_switches: dict[str, ReleasedSwitch] = {}
        self._holding = asyncio.Lock()
        self._log_open_switches_at = 0.0

    @property
    def holds_lock(self) -> bool:
        """Whether this node holds the lock and may send commands."""
        return self._lock.is_held

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
            await self._maps.restore()
            if not self._may_hold_lock(self.holds_lock):
                await self._lock.release()
                continue
            for service, layout, is_loaded in services:
                if self._clock.now() >= self._paused_until.get(service.name, 0.0):
                    await self._handle_service(service, layout, is_loaded)

    def _log_open_switches(self, is_loaded: Mapping[str, bool]) -> None:
        """Log what the closing of the open switches that this node knows depends on."""
        now = self._clock.now()
        if now < self._log_open_switches_at:
            return
        for each in self._switches:
            self._log_open_switches_at = now + OPEN_SWITCH_LOG_INTERVAL
            load, slots = self._balancer.service_load(each.service)
            self._log.warning(
                "switch is open",
                group=each.group,
                step=each.step,
                open_for=round(now - each.seen_at, 3),
                loaded=is_loaded.get(each.service, False),
                load=load,
                slots=slots,
                queued=self._queued(each.service),
                gap_ratio=round(self._gap_ratio(each.service), 2),
                holds_lock=self.holds_lock,
                may_hold_lock=self._may_hold_lock(self.holds_lock),
            )

    async def _handle_service(
        self, service: Service, layout: ExpertLayout, is_loaded: bool
    ) -> None:
        """Observe and rebalance one service; an error does not affect the others."""
        try:
            await self._closer.look(service.name, layout)
            await self._observe(service.name, layout, is_loaded)
            if is_loaded:
                await self._rebalance_service(service, layout)
        except Exception as error:
            self._supervisor.report("experts", error, service=service.name)
            self._paused_until[service.name] = self._clock.now() + ERROR_PAUSE
            # Whoever acquires the lock completes the switches that are not complete.
            await self._lock.release()

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
            if await self._lock.acquire():
                # The holder before may have left a pass held.
                await self._closer.close_all(service.name, layout)
            if not self._lock.is_held:
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

    async def _rebalance(self, service: str, layout: ExpertLayout) -> None:
        """Switch the groups that gain enough for the experts that were sampled last."""
        sample = self._samples.get(service)
        selections = sample.demand.take_fresh() if sample is not None else []
        if [len(row) for row in selections] != [layout.experts] * layout.sets:
            return
        switches: list[tuple[RankGroup, ExpertMap, MapPlan]] = []
        plans: list[tuple[ExpertMap, MapPlan]] = []
        groups = await self._reports.groups(service)
        self._closer.on_groups(service, groups)
        for group in groups:
            current = await self._map_to_change(group, layout)
            if current is None:
                continue
            # Groups of a service mostly have the same map, and so the same plan.
            plan = next((plan for before, plan in plans if before == current), None)
            if plan is None:
                plan = await self._plan(current, selections, layout)
                plans.append((current, plan))
            self._metrics.gauge("expert_skew", plan.skew_before, group=group.name)
            if plan.is_worthwhile and self._lock.is_held:
                switches.append((group, current, plan))
        switching = (self._switch(*switch, layout) for switch in switches)
        for failure in await asyncio.gather(*switching, return_exceptions=True):
            if failure is not None:
                raise failure

    async def _map_to_change(
        self, group: RankGroup, layout: ExpertLayout
    ) -> ExpertMap | None:
        """Return a group's map; ``None`` if it is unknown or about to change."""
        if group.held_pass is not None:
            return None
        if any(report.is_armed for report in group.reports):
            return None
        released = self._released_switches.get(group.name)
        if released is not None and not released.is_reported(group):
            return None
        return await self._maps.current(group, layout)

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

    async def _switch(
        self,
        group: RankGroup,
        current: ExpertMap,
        plan: MapPlan,
        layout: ExpertLayout,
    ) -> None:
        """Switch a group from its current map to a new one."""
        version = self._lock.assign_version()
        self._log.info(
            "expert map planned",
            group=group.name,
            epoch=group.epoch,
            version=version,
            skew_before=round(plan.skew_before, 2),
            skew_after=round(plan.skew_after, 2),
            moves=plan.total_loads,
        )
        if not await self._switcher.prepare(group, version, plan, layout):
            self._log.info("expert map not prepared", group=group.name, version=version)
            return
        await self._maps.store(group, version, plan.expert_map)
        # One group at a time, so that a fault that keeps a pass held leaves the others.
        async with self._holding:
            if not self._switches.is_any_open(group.ranks[FIRST_RANK].service):
                await self._switch_prepared(group, current, version)

    async def _switch_prepared(
        self, group: RankGroup, current: ExpertMap, version: int
    ) -> None:
        """Switch a group to a map that all its ranks have prepared."""
        if not await self._switcher.is_reachable(group) or not self._lock.is_held:
            return
        step = await self._switcher.hold_pass(group)
        if step is None:
            return
        result = await self._switcher.complete(group, version, step)
        if result is CommandResult.REJECTED:
            await self._switcher.cancel(group, step, version, current)
        if result is not CommandResult.DONE:
            return
        self._released_switches[group.name] = ReleasedSwitch(group.epoch, version)
        self._metrics.count("expert_switches")
        self._log.info("expert map armed", group=group.name, version=version, step=step)
