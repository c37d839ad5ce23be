"""A simulated engine group, and rebalancers that share an in-memory store."""

import asyncio
from collections import deque
from dataclasses import replace
from random import Random

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.balancer import Balancer
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import EngineLimits
from cyclamenyoke.core.expert_map_planner import initial_map
from cyclamenyoke.core.gateway_config import (
    CallerLimits,
    ExpertLayout,
    GatewayConfig,
    Service,
)
from cyclamenyoke.core.rank_group import RankReport
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.expert_rebalancer import ExpertRebalancer
from cyclamenyoke.daemon.task_supervisor import TaskSupervisor
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.engine_control import (
    CommandResult,
    EngineControl,
    EngineControlError,
    ExpertCounts,
)
from cyclamenyoke.ports.key_value_store import (
    KeyValueStore,
    LeaseExpired,
    RevisionConflict,
    VersionedValue,
)

RANKS = 4
LAYOUT = ExpertLayout(
    sets=2, experts=16, slots_per_rank=6, max_loads_per_rank=2, load_time=0.02
)
PASS_TIME = 0.06
"""Seconds of one forward pass of the group."""

REPORT_LAG = 0.2
"""Seconds by which the reports of the ranks lag behind the passes."""

GAP_LIFETIME = 4.0
"""Seconds after which gateways forget the gaps between events that they saw."""

CUT_TIMEOUT = 0.12
"""Seconds after which a call to a rank that is cut off is given up."""


class LoopClock(Clock):
    """Virtual time of the event loop, which tests run faster than real time."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()


class MemoryStore(KeyValueStore):
    """An in-memory store with leases."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[int, bytes, int]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 0
        self._lease_eras: dict[int, int] = {}
        self.era = 1
        self.era_seen_at = -100.0

    def era_age(self, era: int) -> float:
        """Return the seconds for which a node that reads lists has known an era."""
        return LoopClock().now() - self.era_seen_at if era == self.era else 0.0

    def restore(self) -> None:
        """Lose everything, and begin a new era that nodes see at once."""
        self._values.clear()
        self._leases.clear()
        self._revision = 0
        self.era += 1
        self.era_seen_at = LoopClock().now()

    def _expire(self) -> None:
        now = LoopClock().now()
        for lease, (ends_at, _) in list(self._leases.items()):
            if ends_at <= now:
                del self._leases[lease]
        for key, (_, _, lease) in list(self._values.items()):
            if lease and lease not in self._leases:
                del self._values[key]

    async def get(self, key):
        self._expire()
        revision, value, _ = self._values.get(key, (0, None, 0))
        return VersionedValue(revision, value, self.era)

    async def compare_and_swap(self, key, expected_revision, value, lease=0):
        self._expire()
        if self._values.get(key, (0,))[0] != expected_revision:
            raise RevisionConflict(key)
        if lease and not self._is_current(lease):
            raise LeaseExpired(key)
        self._revision += 1
        self._values[key] = self._revision, value, lease
        return self._revision

    async def watch(self, key, after, deadline):
        raise NotImplementedError

    async def watch_prefix(self, prefix, after, deadline):
        raise NotImplementedError

    async def list(self, prefix):
        raise NotImplementedError

    async def grant_lease(self, lifetime):
        self._revision += 1
        self._leases[self._revision] = LoopClock().now() + lifetime, lifetime
        self._lease_eras[self._revision] = self.era
        return self._revision

    def _is_current(self, lease: int) -> bool:
        return lease in self._leases and self._lease_eras[lease] == self.era

    async def renew_lease(self, lease):
        self._expire()
        if not self._is_current(lease):
            raise LeaseExpired(str(lease))
        lifetime = self._leases[lease][1]
        self._leases[lease] = LoopClock().now() + lifetime, lifetime

    async def revoke_lease(self, lease):
        self._leases.pop(lease, None)
        self._expire()

    async def close(self):
        pass


class Rank:
    """The maps of one rank, and the commands that it has carried out."""

    def __init__(self) -> None:
        self.map_version = 0
        self.maps = {0: initial_map(LAYOUT, RANKS)}
        self.prepared: int | None = None
        self.highest_version = 0
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None


class SimulatedRanks(EngineControl):
    """A group that runs passes, and loses commands or carries them out late.

    :param unanswered_ratio: share of the commands that get no reply.
    """

    def __init__(
        self, random: Random, unanswered_ratio: float, name: str = "g"
    ) -> None:
        self.name = name
        self.random = random
        self.unanswered_ratio = unanswered_ratio
        self.step = 0
        self.ranks = [Rank() for _ in range(RANKS)]
        # Numbers of the ranks that gateways can't reach.
        self.cut: set[int] = set()
        self.commands: list[tuple[float, str, int, CommandResult]] = []
        # Whether all of a report is late, not only its pass.
        self.lags_whole_reports = False
        self._reports = [deque[tuple[float, RankReport]]() for _ in range(RANKS)]
        self.switches = 0
        self.pass_intervals: list[float] = []
        self._last_pass_at = 0.0

    async def run_passes(self) -> None:
        clock = LoopClock()
        self._last_pass_at = clock.now()
        while True:
            await asyncio.sleep(PASS_TIME)
            if any(rank.held == self.step + 1 for rank in self.ranks):
                continue
            self.pass_intervals.append(clock.now() - self._last_pass_at)
            self._last_pass_at = clock.now()
            self.step += 1
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == self.step:
                    rank.map_version = rank.armed[0]
                    rank.armed = rank.prepared = None
                    self.switches += 1
            self._note_reports()
            versions = {rank.map_version for rank in self.ranks}
            contents = {str(rank.maps[rank.map_version]) for rank in self.ranks}
            assert len(versions) == len(contents) == 1, f"mixed pass {self.step}"

    def _rank_number(self, endpoint: Endpoint) -> int:
        return int(endpoint.id[1:])

    @property
    def rested_for(self) -> float:
        """Seconds since the last pass began."""
        return asyncio.get_running_loop().time() - self._last_pass_at

    @property
    def held_passes(self) -> list[int]:
        """The passes that are held now."""
        return [rank.held for rank in self.ranks if rank.held is not None]

    async def report(self, endpoint):
        number = self._rank_number(endpoint)
        if number in self.cut:
            await asyncio.sleep(CUT_TIMEOUT)
            raise EngineControlError(f"{endpoint.id} is cut off")
        report = self._current_report(number)
        if self.lags_whole_reports:
            history = self._reports[number]
            seen_until = asyncio.get_running_loop().time() - REPORT_LAG
            while len(history) > 1 and history[1][0] <= seen_until:
                history.popleft()
            report = history[0][1] if history else report
        else:
            lag = int(REPORT_LAG / PASS_TIME)
            report = replace(report, step=max(0, self.step - lag))
        await asyncio.sleep(0.002)
        return report

    def _current_report(self, number: int) -> RankReport:
        rank = self.ranks[number]
        return RankReport(
            self.name,
            1,
            number,
            RANKS,
            True,
            self.step,
            rank.map_version,
            rank.prepared,
            rank.armed is not None,
            rank.held,
        )

    def _note_reports(self) -> None:
        now = asyncio.get_running_loop().time()
        for number in range(RANKS):
            self._reports[number].append((now, self._current_report(number)))

    async def expert_counts(self, endpoint, layout):
        hot_expert = (self.step // 60) % LAYOUT.experts
        row = [100 * self.step] * layout.experts
        hot_expert %= layout.experts
        row[hot_expert] += 2000 * (self.step % 60)
        rows = [list(row) for _ in range(layout.sets)]
        return ExpertCounts(1, rows)

    async def _run_command(self, name, endpoint, execute) -> CommandResult:
        number = self._rank_number(endpoint)
        if number in self.cut:
            await asyncio.sleep(CUT_TIMEOUT)
            result = CommandResult.UNKNOWN
        else:
            result = await self._run_at_rank(execute)
        now = asyncio.get_running_loop().time()
        self.commands.append((now, name, number, result))
        return result

    async def _run_at_rank(self, run) -> CommandResult:
        def execute() -> bool:
            is_done = run()
            self._note_reports()
            return is_done

        await asyncio.sleep(0.002)
        if self.random.random() < self.unanswered_ratio:
            delay = self.random.choice([0.0, 0.0, self.random.uniform(2, 12)])
            asyncio.get_running_loop().call_later(delay, execute)
            await asyncio.sleep(0.25)
            return CommandResult.UNKNOWN
        return CommandResult.DONE if execute() else CommandResult.REJECTED

    async def prepare(self, endpoint, version, epoch, experts):
        rank = self.ranks[self._rank_number(endpoint)]

        def execute() -> bool:
            if version == rank.prepared and rank.maps[version] == experts:
                return True
            if version <= rank.highest_version or rank.armed is not None:
                return False
            rank.highest_version = version
            rank.maps[version] = experts
            rank.prepared = version
            return True

        return await self._run_command("prepare", endpoint, execute)

    async def arm(self, endpoint, version, epoch, step):
        rank = self.ranks[self._rank_number(endpoint)]

        def execute() -> bool:
            if rank.armed == (version, step):
                return True
            if rank.prepared != version or self.step >= step:
                return False
            rank.armed = version, step
            return True

        return await self._run_command("arm", endpoint, execute)

    async def disarm(self, endpoint, version, epoch):
        rank = self.ranks[self._rank_number(endpoint)]

        def execute() -> bool:
            if rank.map_version == version:
                return False
            if rank.armed is not None and rank.armed[0] == version:
                rank.armed = None
            return True

        return await self._run_command("disarm", endpoint, execute)

    async def hold(self, endpoint, epoch, step):
        rank = self.ranks[self._rank_number(endpoint)]

        def execute() -> bool:
            if rank.held == step:
                return True
            if rank.held is not None or self.step >= step:
                return False
            rank.held = step
            return True

        return await self._run_command("hold", endpoint, execute)

    async def release_hold(self, endpoint, epoch, step):
        rank = self.ranks[self._rank_number(endpoint)]

        def execute() -> bool:
            if rank.held == step:
                rank.held = None
            return True

        return await self._run_command("go", endpoint, execute)


class SimulatedGroups(EngineControl):
    """Groups of a service; the first letter of a rank's id names its group."""

    def __init__(self, groups: dict[str, SimulatedRanks]) -> None:
        self._groups = groups

    async def report(self, endpoint):
        return await self._groups[endpoint.id[0]].report(endpoint)

    async def expert_counts(self, endpoint, layout):
        return await self._groups[endpoint.id[0]].expert_counts(endpoint, layout)

    async def prepare(self, endpoint, *args):
        return await self._groups[endpoint.id[0]].prepare(endpoint, *args)

    async def arm(self, endpoint, *args):
        return await self._groups[endpoint.id[0]].arm(endpoint, *args)

    async def disarm(self, endpoint, *args):
        return await self._groups[endpoint.id[0]].disarm(endpoint, *args)

    async def hold(self, endpoint, *args):
        return await self._groups[endpoint.id[0]].hold(endpoint, *args)

    async def release_hold(self, endpoint, *args):
        return await self._groups[endpoint.id[0]].release_hold(endpoint, *args)


class StrictSupervisor(TaskSupervisor):
    """Raises the errors that a gateway only reports."""

    def report(self, task: str, error: BaseException, **fields: object) -> None:
        raise error


class Cluster:
    """Loaded groups, and the store that their rebalancers share.

    :param names: names of the groups, of one letter each.
    """

    def __init__(self, seed: int, unanswered_ratio: float, names: str = "r") -> None:
        self.random = Random(seed)
        self.groups = {
            name: SimulatedRanks(self.random, unanswered_ratio, name) for name in names
        }
        self.ranks = self.groups[names[0]]
        self.store = MemoryStore()
        # Names of the nodes that may hold the lock, of one letter each.
        self.preferred_nodes = ""
        self.gap_ratio = 0.7
        # Whether the gap ratio is 0 while the group begins no passes.
        self.is_load_lost_in_standstill = False
        self.registry = EndpointRegistry()
        self.endpoints = [
            Endpoint(f"{name}{n}", "llm", "127.0.0.1:1", "dc", 6, False, 1)
            for name in names
            for n in range(RANKS)
        ]
        self.registry.apply_list(self.endpoints, StorePosition(1, 1), 1.0, 1.0)
        service = Service("llm", "/", 10, None, LAYOUT)
        self.config = GatewayConfig(1, (), {"llm": service}, CallerLimits(), {}, False)

    def _current_gap_ratio(self) -> float:
        if self.is_load_lost_in_standstill and self.ranks.rested_for >= GAP_LIFETIME:
            return 0.0
        return self.gap_ratio

    def rebalancer(self, name: str, requests: int = 5) -> ExpertRebalancer:
        limits = EngineLimits("10.0.0.1", lambda now: (), self.registry.usable)
        balancer = Balancer(self.registry, "dc", self.random, limits)
        for endpoint in self.endpoints:
            for _ in range(requests):
                balancer.on_sent(endpoint.id)
        return ExpertRebalancer(
            self.store,
            self.ranks if len(self.groups) == 1 else SimulatedGroups(self.groups),
            self.registry,
            balancer,
            lambda: self.config,
            self.store.era_age,
            lambda holds_lock: name in self.preferred_nodes,
            lambda service: 0,
            lambda service: self._current_gap_ratio(),
            name,
            LoopClock(),
            StrictSupervisor(LoopClock(), Metrics(), Log("test")),
            Metrics(),
            Log("test"),
        )
