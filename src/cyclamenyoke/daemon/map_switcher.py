"""Switches one engine group to another expert map, with commands to its ranks.

All ranks of a group must switch to a new map at the same decoding pass, in these steps:

* every rank prepares the map and reports that it has;
* one rank is commanded to hold the pass of the switch, so that no rank starts it;
* every rank is armed for that pass; the command is repeated until the rank replies;
* the held pass is released.

Once the pass is held the switch is completed, unless a rank rejects it. Then it is
cancelled: every rank prepares the map in force once more, as a version of its own,
before the pass is released. A rank that accepts a version is not armed, and rejects a
command of the switch that is executed late.
"""

import asyncio
from collections.abc import Sequence

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.expert_map_planner import ExpertMap, MapPlan
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.open_switches import OpenSwitches
from cyclamenyoke.core.rank_group import FIRST_RANK, RankGroup
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.daemon.rank_reports import RankReports
from cyclamenyoke.daemon.rebalancer_lock import RENEW_INTERVAL, RebalancerLock
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine_control import CommandResult, EngineControl

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

MAX_REPORT_ATTEMPTS = 3
"""Largest number of times that a rank is asked for the report without which no pass is
held; an answer may be lost."""

COMPLETION_TIMEOUT = 2.5 * SECOND
"""Seconds for which the lock holder tries to complete a switch before it releases
the lock to another node."""

COMMAND_RETRY_INTERVAL = 20 * MILLISECOND
"""Seconds between two attempts of a command."""


class MapSwitcher:
    """Sends the commands of map switches while this node holds the lock."""

    def __init__(
        self,
        control: EngineControl,
        reports: RankReports,
        switches: OpenSwitches,
        lock: RebalancerLock,
        clock: Clock,
        log: Log,
    ) -> None:
        self._control = control
        self._reports = reports
        self._switches = switches
        self._lock = lock
        self._clock = clock
        self._log = log

    async def prepare(
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
        return True

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
            await self._lock.keep()
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
            await self._lock.keep()
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

    async def _refresh(self, group: RankGroup, numbers: Sequence[int]) -> bool:
        """Read the reports of some ranks.

        A rank that does not reply keeps its last report.

        :returns: whether the group still serves in its epoch, as far as known.
        """
        found = await asyncio.gather(
            *(self._reports.read(group.ranks[number]) for number in numbers)
        )
        for number, report in zip(numbers, found, strict=True):
            if report is not None:
                group.reports[number] = report
        return group.is_serving

    async def is_reachable(self, group: RankGroup) -> bool:
        """Return whether every rank answers now, and serves in the group's epoch.

        A pass that is held waits for each rank, so it must not be held before.
        """
        silent = dict(enumerate(group.ranks))
        for _ in range(MAX_REPORT_ATTEMPTS):
            found = await self._reports.read_ranks(list(silent.values()))
            for number, (_, report) in zip(list(silent), found, strict=True):
                if report is not None:
                    group.reports[number] = report
                    del silent[number]
            if not silent:
                return group.is_serving
        ranks = [rank.id for rank in silent.values()]
        self._log.info("ranks sent no report", group=group.name, ranks=ranks)
        return False

    async def hold_pass(self, group: RankGroup) -> int | None:
        """Hold a future pass at the first rank; return its number."""
        holding_rank = group.ranks[FIRST_RANK]
        for lead in LEAD_PASSES:
            step = group.step + lead
            result = await self._control.hold(holding_rank, group.epoch, step)
            if result is CommandResult.DONE:
                self._switches.on_held(group, step, self._clock.now())
                return step
            if result is CommandResult.UNKNOWN:
                # The pass may be held. No rank is armed, so releasing it is safe.
                self._switches.on_held(group, step, self._clock.now())
                await self.release_pass(group, step)
                return None
        return None

    async def complete(
        self, group: RankGroup, version: int, step: int
    ) -> CommandResult:
        """Arm all ranks for a held pass, then release it.

        :returns: whether all ranks switch at that pass. Unless they do, the pass is
            still held.
        """
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        results = await asyncio.gather(
            *(self._arm(rank, version, group, step, deadline) for rank in group.ranks)
        )
        if CommandResult.UNKNOWN in results:
            # Only a node that reaches all ranks may release the pass.
            await self._leave(group, step)
            return CommandResult.UNKNOWN
        rejected = results.count(CommandResult.REJECTED)
        self._switches.on_completion(group, is_rejected=rejected > 0)
        if rejected:
            self._log.warning(
                "expert map refused", group=group.name, version=version, ranks=rejected
            )
            return CommandResult.REJECTED
        await self.release_pass(group, step)
        return CommandResult.DONE

    async def _leave(self, group: RankGroup, step: int) -> None:
        """Leave a switch open, and the lock to a node that reaches all ranks."""
        self._log.warning(
            "switch left to the next lock holder", group=group.name, step=step
        )
        await self._lock.revoke()

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
            await self._lock.keep()
            if not self._lock.is_held:
                break
            result = await self._control.arm(rank, version, group.epoch, step)
            is_loading = (
                result is CommandResult.REJECTED and self._clock.now() < rejected_until
            )
            if result is not CommandResult.UNKNOWN and not is_loading:
                return result
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
        return CommandResult.UNKNOWN

    async def cancel(
        self,
        group: RankGroup,
        step: int,
        version: int | None,
        experts: ExpertMap | None,
    ) -> None:
        """Make sure that no rank switches at a held pass, then release it.

        :param version: the version that ranks may be armed for, if it is known beside
            those that they report as prepared.
        :param experts: the map in force; ``None`` if it is unknown, or ranks don't take
            it. Then a command to arm a rank could still be executed late.
        """
        self._log.warning(
            "switch is cancelled",
            group=group.name,
            step=step,
            armed=sum(report.is_armed for report in group.reports),
            supersedes=experts is not None,
        )
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        if experts is None:
            everyone = range(len(group.ranks))
            is_cancelled = await self._disarm(group, everyone, version, deadline)
        else:
            is_cancelled = await self._supersede(group, version, experts, deadline)
        if is_cancelled:
            await self.release_pass(group, step)

    async def _supersede(
        self,
        group: RankGroup,
        version: int | None,
        experts: ExpertMap,
        deadline: float,
    ) -> bool:
        """Make each rank prepare a map that no rank is armed for.

        :returns: whether no rank is armed, nor can be by commands sent before.
        """
        numbers: Sequence[int] = range(len(group.ranks))
        armed = await self._prepare_unarmed(group, numbers, experts, deadline)
        if len(armed) == len(numbers):
            # They can complete the switch. A command to disarm one could be executed
            # late, after another node has armed it for the same pass again.
            self._switches.on_completion(group, is_rejected=False)
            return False
        while armed and self._clock.now() < deadline and self._lock.is_held:
            await self._disarm(group, armed, version, deadline)
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
            if not await self._refresh(group, armed):
                # The group has formed anew, and holds no pass.
                return False
            armed = await self._prepare_unarmed(group, armed, experts, deadline)
        return not armed

    async def _prepare_unarmed(
        self,
        group: RankGroup,
        numbers: Sequence[int],
        experts: ExpertMap,
        deadline: float,
    ) -> list[int]:
        """Make ranks prepare a map, each as another version, so that none is common.

        :returns: numbers of the ranks that have not accepted it, as armed ones do not.
        """

        async def prepare(number: int) -> bool:
            while self._clock.now() < deadline and self._lock.is_held:
                result = await self._prepare_rank(
                    group.ranks[number],
                    self._lock.assign_version(),
                    group.epoch,
                    experts,
                    PREPARE_RESPONSE_TIME,
                )
                if result is not CommandResult.UNKNOWN:
                    return result is CommandResult.DONE
                await asyncio.sleep(COMMAND_RETRY_INTERVAL)
                await self._lock.keep()
            return False

        accepted = await asyncio.gather(*(prepare(number) for number in numbers))
        return [
            number
            for number, is_accepted in zip(numbers, accepted, strict=True)
            if not is_accepted
        ]

    async def _disarm(
        self,
        group: RankGroup,
        numbers: Sequence[int],
        version: int | None,
        deadline: float,
    ) -> bool:
        """Disarm ranks for all maps that are prepared; return whether all answered."""
        versions = {report.prepared_version for report in group.reports} | {version}

        async def disarm(rank: Endpoint, armed_for: int) -> bool:
            while self._clock.now() < deadline and self._lock.is_held:
                result = await self._control.disarm(rank, armed_for, group.epoch)
                if result is not CommandResult.UNKNOWN:
                    return True
                await asyncio.sleep(COMMAND_RETRY_INTERVAL)
                await self._lock.keep()
            return False

        answered = await asyncio.gather(
            *(
                disarm(group.ranks[number], armed_for)
                for number in numbers
                for armed_for in versions
                if armed_for is not None
            )
        )
        return all(answered)

    async def release_pass(self, group: RankGroup, step: int) -> None:
        """Let the group start a held pass; on failure it is left to the next holder."""
        deadline = self._clock.now() + COMPLETION_TIMEOUT
        holding_rank = group.ranks[FIRST_RANK]
        if group.held_pass is not None and group.held_pass[1] == step:
            holding_rank = group.held_pass[0]
        # A former holder's command could come while the next one arms ranks.
        while self._clock.now() < deadline and self._lock.is_held:
            result = await self._control.release_hold(holding_rank, group.epoch, step)
            if result is not CommandResult.UNKNOWN:
                self._switches.on_released(group, step, self._clock.now())
                return
            await asyncio.sleep(COMMAND_RETRY_INTERVAL)
            await self._lock.keep()
        await self._leave(group, step)
