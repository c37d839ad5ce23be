"""The faults of a run: a seeded series that overlaps, and how each is injected."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random

import msgspec

from process_soak.engine import EngineFaults
from process_soak.site import APP, EngineProcess, Process, Site

CALM_END = 4.0
"""Seconds without new faults before the callers stop."""


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param at: seconds after the callers have started.
    :param seed: of its own random choices.
    """

    at: float
    name: str
    seed: int


class Injector:
    """Injects faults into a site."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._record = site.record

    async def inject(self, fault: Fault) -> None:
        """Carry out one fault; return once it is over."""
        self._record.add("fault", result=fault.name)
        await INJECTORS[fault.name](self, Random(fault.seed))

    async def kill_most(self, random: Random) -> None:
        """Kill all gateways but one at the same moment."""
        gateways = self._site.gateways
        for gateway in random.sample(gateways, len(gateways) - 1):
            self._site.send_signal(gateway, signal.SIGKILL)

    async def kill_while_servers_fail(self, random: Random) -> None:
        """Kill all gateways but one four times within a window of the budget."""
        failing = asyncio.create_task(self.servers_fail(random))
        for _ in range(4):
            await asyncio.sleep(random.uniform(2.2, 3.0))
            await self.kill_most(random)
        await failing

    async def kill_one(self, random: Random) -> None:
        self._site.send_signal(random.choice(self._site.gateways), signal.SIGKILL)

    async def stop_in_turn(self, random: Random) -> None:
        """Stop half of the gateways one after the other."""
        gateways = self._site.gateways
        stops = []
        for gateway in random.sample(gateways, max(1, len(gateways) // 2)):
            stops.append(asyncio.create_task(self._site.stop_gateway(gateway)))
            await asyncio.sleep(random.uniform(0.2, 2.0))
        await asyncio.gather(*stops)

    async def stop_twice(self, random: Random) -> None:
        """Stop a gateway, and send further signals while it stops."""
        gateway = random.choice(self._site.gateways)
        stop = asyncio.create_task(self._site.stop_gateway(gateway))
        for _ in range(3):
            await asyncio.sleep(random.uniform(0.05, 1.5))
            if stop.done():
                break
            number = random.choice([signal.SIGTERM, signal.SIGHUP])
            self._site.send_signal(gateway, number)
        await stop

    async def reload(self, random: Random) -> None:
        """Change the settings of gateways and send one to three SIGHUPs to each."""
        for gateway in random.sample(self._site.gateways, 2):
            self._site.write_settings(gateway)
            for _ in range(random.randint(1, 3)):
                self._site.send_signal(gateway, signal.SIGHUP)
                await asyncio.sleep(random.uniform(0.0, 0.5))

    async def signal_at_start(self, random: Random) -> None:
        """Kill a gateway and send a signal just after it was started again."""
        gateway = random.choice(self._site.gateways)
        before = gateway.incarnation
        if not self._site.send_signal(gateway, signal.SIGKILL):
            return
        async with asyncio.timeout(5):
            while gateway.incarnation == before or gateway.child.returncode is not None:
                await asyncio.sleep(0.005)
        await asyncio.sleep(random.uniform(0.0, 0.5))
        if random.random() < 0.5:
            self._site.send_signal(gateway, signal.SIGHUP)
            return
        await self._site.stop_gateway(gateway)

    async def freeze(self, random: Random) -> None:
        await self._pause(random.choice(self._site.gateways), random)

    async def stop_frozen(self, random: Random) -> None:
        """Stop a gateway and freeze it meanwhile."""
        gateway = random.choice(self._site.gateways)
        stop = asyncio.create_task(self._site.stop_gateway(gateway))
        await asyncio.sleep(random.uniform(0.0, 2.0))
        await self._pause(gateway, random)
        await stop

    async def _pause(self, gateway: Process, random: Random) -> None:
        child = gateway.child
        if not self._site.send_signal(gateway, signal.SIGSTOP):
            return
        await asyncio.sleep(random.uniform(0.3, 5.0))
        if gateway.child is child:
            self._site.send_signal(gateway, signal.SIGCONT)

    async def configure(self, random: Random) -> None:
        """Write one to three versions of the configuration."""
        for _ in range(random.randint(1, 3)):
            await self._site.configure(random.randint(0, 30))
            await asyncio.sleep(random.uniform(0.0, 1.0))

    async def store_down(self, random: Random) -> None:
        seconds = random.uniform(1.0, 5.0)
        self._record.add("store", until=time.monotonic() + seconds)
        await self._site.set_store_faults(down=True)
        await asyncio.sleep(seconds)
        await self._site.set_store_faults()

    async def engines_reset(self, random: Random) -> None:
        """Most servers reset or close after a request has come, with good health."""
        half = random.uniform(0.15, 0.4)
        await self._harm(
            random,
            EngineFaults(reset=half, close=half),
            random.uniform(4, 10),
        )

    async def servers_fail(self, random: Random) -> None:
        """Most servers of the plain service reset nine in ten requests for long."""
        servers = [each for each in self._site.engines if each.service == APP]
        await self._harm_all(servers, EngineFaults(reset=0.9), random.uniform(12, 16))

    async def engines_slow(self, random: Random) -> None:
        """All servers of a service are slow alike."""
        await self._harm(
            random,
            EngineFaults(slowness=random.uniform(4, 20)),
            random.uniform(4, 10),
            everywhere=True,
        )

    async def engines_mixed(self, random: Random) -> None:
        faults = EngineFaults(fail=0.1, refuse=0.2, close_idle=0.2)
        await self._harm(random, faults, random.uniform(4, 10))

    async def _harm(
        self,
        random: Random,
        faults: EngineFaults,
        seconds: float,
        everywhere: bool = False,
    ) -> None:
        site = self._site
        service = random.choice([APP, *(engine.service for engine in site.engines)])
        engines = [engine for engine in site.engines if engine.service == service]
        if not everywhere:
            engines = random.sample(engines, max(1, len(engines) * 4 // 5))
        await self._harm_all(engines, faults, seconds)

    async def _harm_all(
        self, engines: list[EngineProcess], faults: EngineFaults, seconds: float
    ) -> None:
        for engine in engines:
            self._record.add(
                "harmed",
                process=engine.id,
                detail=repr(faults),
                until=time.monotonic() + seconds,
            )
            await self._set_faults(engine, faults)
        await asyncio.sleep(seconds)
        for engine in engines:
            await self._set_faults(engine, EngineFaults())

    async def _set_faults(self, engine: EngineProcess, faults: EngineFaults) -> None:
        try:
            await self._site.set_engine_faults(engine, faults)
        except (OSError, TimeoutError):
            # Killed or frozen meanwhile; a new start has no faults.
            self._record.add("unreached", process=engine.id)

    async def engine_killed(self, random: Random) -> None:
        """Kill an engine; it returns under another id."""
        site = self._site
        engine = random.choice(site.engines)
        child, id_ = engine.child, engine.id
        self._record.add("harmed", process=id_, detail="killed", until=float("inf"))
        child.kill()
        await child.wait()
        await asyncio.sleep(random.uniform(0.2, 3.0))
        await site.register(engine, "")
        if engine.child is child:
            await site.start_engine(engine)

    async def engine_frozen(self, random: Random) -> None:
        engine = random.choice(self._site.engines)
        await self._freeze_engine(engine, random.uniform(0.5, 6.0))

    async def server_frozen(self, random: Random) -> None:
        """Freeze one server of the plain service."""
        servers = [each for each in self._site.engines if each.service == APP]
        await self._freeze_engine(random.choice(servers), random.uniform(3.0, 6.0))

    async def most_servers_frozen(self, random: Random) -> None:
        """Freeze all servers of the plain service but one, longer than a window."""
        servers = [each for each in self._site.engines if each.service == APP]
        seconds = random.uniform(12.0, 14.0)
        async with asyncio.TaskGroup() as group:
            for server in random.sample(servers, len(servers) - 1):
                group.create_task(self._freeze_engine(server, seconds))

    async def servers_frozen_then_failing(self, random: Random) -> None:
        """Freeze most servers; all reset most requests once these run again."""
        await self.most_servers_frozen(random)
        await self.servers_fail(random)

    async def _freeze_engine(self, engine: EngineProcess, seconds: float) -> None:
        self._record.add(
            "harmed",
            process=engine.id,
            detail="frozen",
            until=time.monotonic() + seconds,
        )
        child = engine.child
        if child.returncode is None:
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
        if child.returncode is None:
            child.send_signal(signal.SIGCONT)


INJECTORS: dict[str, Callable[[Injector, Random], Awaitable[None]]] = {
    name: getattr(Injector, name)
    for name in (
        "kill_most",
        "kill_while_servers_fail",
        "kill_one",
        "stop_in_turn",
        "stop_twice",
        "reload",
        "signal_at_start",
        "freeze",
        "stop_frozen",
        "configure",
        "store_down",
        "engines_reset",
        "servers_fail",
        "engines_slow",
        "engines_mixed",
        "engine_killed",
        "engine_frozen",
        "server_frozen",
        "most_servers_frozen",
        "servers_frozen_then_failing",
    )
}


class Profile(msgspec.Struct, frozen=True):
    """Which faults a run draws from.

    :param min_gap: shortest time between the starts of two faults, in seconds.
    :param max_gap: longest such time; most faults last longer, so that they overlap.
    """

    names: tuple[str, ...]
    min_gap: float = 0.2
    max_gap: float = 4.0


PLANNED = ("stop_in_turn", "stop_twice", "reload", "configure")
PROFILES = {
    "all": Profile(tuple(INJECTORS)),
    "planned": Profile(PLANNED),
    "planned_early": Profile((*PLANNED, "signal_at_start")),
    "restarts": Profile(("kill_most", "engines_reset", "kill_most")),
    "budget": Profile(("kill_while_servers_fail",), 12.0, 16.0),
    "kills": Profile(("kill_most",), 3.0, 6.0),
    "dark": Profile(("server_frozen",), 6.0, 9.0),
    "dark_kills": Profile(("server_frozen", "kill_most"), 2.0, 5.0),
    "frozen": Profile(("servers_frozen_then_failing",), 30.0, 30.0),
    "slow": Profile(("kill_most", "engines_slow", "stop_in_turn")),
    "signals": Profile((*PLANNED, "kill_one", "kill_most", "freeze", "stop_frozen")),
    "engines": Profile(
        (
            *("engines_reset", "engines_slow", "engines_mixed"),
            *("engine_killed", "engine_frozen"),
        )
    ),
}


def draw_faults(random: Random, profile: str, seconds: float) -> list[Fault]:
    """Return the series of faults of a run."""
    faults = []
    drawn = PROFILES[profile]
    at = random.uniform(1.0, 3.0)
    while at < seconds - CALM_END:
        faults.append(Fault(at, random.choice(drawn.names), random.getrandbits(32)))
        at += random.uniform(drawn.min_gap, drawn.max_gap)
    return faults
