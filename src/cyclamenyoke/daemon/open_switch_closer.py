"""Looks for open map switches and has them closed, whatever the load of their groups.

A group whose pass is held sends no events and loses its callers, so that nothing of its
load shows that it needs help; only the reports of its ranks do.
"""

from collections.abc import Sequence

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.open_switches import Closing, OpenSwitches
from cyclamenyoke.core.rank_group import FIRST_RANK, RankGroup
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.expert_map_store import ExpertMapStore
from cyclamenyoke.daemon.map_switcher import MapSwitcher
from cyclamenyoke.daemon.rank_reports import RankReports
from cyclamenyoke.daemon.rebalancer_lock import RebalancerLock
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import LeaseExpired, RevisionConflict

LOOK_INTERVAL = 1 * SECOND
"""Seconds between two looks at the first rank of each group: callers give a stream up
that is silent for two seconds."""

LOOK_AT_ALL_INTERVAL = 30 * SECOND
"""Seconds between two looks at all ranks of a service, which tell which ranks are the
first ones of their groups."""

OPEN_LOOK_INTERVAL = 250 * MILLISECOND
"""Seconds between two looks at a service with a switch that is known to be open."""


class OpenSwitchCloser:
    """Closes the open switches of services whose maps this node may change."""

    def __init__(
        self,
        reports: RankReports,
        switcher: MapSwitcher,
        switches: OpenSwitches,
        maps: ExpertMapStore,
        lock: RebalancerLock,
        clock: Clock,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._reports = reports
        self._switcher = switcher
        self._switches = switches
        self._maps = maps
        self._lock = lock
        self._clock = clock
        self._metrics = metrics
        self._log = log
        # By service: when the last look began, and when all ranks are looked at next.
        self._looked_at: dict[str, float] = {}
        self._look_at_all_at: dict[str, float] = {}
        self._first_ranks: dict[str, list[Endpoint]] = {}

    async def look(self, service: str, layout: ExpertLayout) -> None:
        """Close the open switches of a service, if a look is due."""
        now = self._clock.now()
        is_open = self._switches.is_any_open(service)
        interval = OPEN_LOOK_INTERVAL if is_open else LOOK_INTERVAL
        if now < self._looked_at.get(service, -LOOK_INTERVAL) + interval:
            return
        self._looked_at[service] = now
        try:
            if is_open or await self._is_pass_held(service):
                await self.close_all(service, layout)
        except (PlatformUnavailable, RevisionConflict, LeaseExpired) as error:
            self._log.info("open switches are not closed", error=str(error))

    def on_groups(self, service: str, groups: Sequence[RankGroup]) -> None:
        """Take note of reports that were read for another reason."""
        now = self._clock.now()
        for group in groups:
            self._switches.on_reports(group, now)
        if not self._switches.is_any_open(service):
            self._looked_at[service] = now

    async def _is_pass_held(self, service: str) -> bool:
        """Return whether a first rank reports a held pass, as only first ranks do."""
        now = self._clock.now()
        if now < self._look_at_all_at.get(service, 0.0):
            found = await self._reports.read_ranks(self._first_ranks[service])
            reports = [report for _, report in found]
            if not all(report and report.rank == FIRST_RANK for report in reports):
                # Groups may have formed anew, with other ranks.
                self._look_at_all_at[service] = 0.0
        else:
            found = await self._reports.read_service(service)
            self._look_at_all_at[service] = now + LOOK_AT_ALL_INTERVAL
            self._first_ranks[service] = [
                endpoint
                for endpoint, report in found
                if report is not None and report.rank == FIRST_RANK
            ]
        return any(report and report.held_step is not None for _, report in found)

    async def close_all(self, service: str, layout: ExpertLayout) -> None:
        """Close the open switches of the groups of which every rank reports.

        :raises PlatformUnavailable: when the lock can't be acquired, or a map not read.
        """
        groups = await self._reports.groups(service)
        self.on_groups(service, groups)
        now = self._clock.now()
        if all(self._switches.decide(each, now) is Closing.WAIT for each in groups):
            return
        if await self._lock.acquire():
            # The reports are older than the last commands of the holder before.
            groups = await self._reports.groups(service)
        for group in groups:
            if self._lock.is_held:
                await self._close(group, layout)

    async def _close(self, group: RankGroup, layout: ExpertLayout) -> None:
        """Complete or cancel the switch of a group, unless it has to wait."""
        closing = self._switches.decide(group, self._clock.now())
        if closing is Closing.WAIT or group.held_pass is None:
            return
        step = group.held_pass[1]
        self._metrics.count("open_expert_switches", closing=closing.value)
        self._log.warning(
            "held pass found",
            group=group.name,
            step=step,
            closing=closing.value,
            prepared=[report.prepared_version for report in group.reports],
        )
        if closing is Closing.CANCEL:
            experts = None
            if self._switches.on_cancel(group):
                experts = await self._maps.current(group, layout)
            await self._switcher.cancel(group, step, None, experts)
            return
        version = group.reports[FIRST_RANK].prepared_version
        if version is not None:
            await self._switcher.complete(group, version, step)
