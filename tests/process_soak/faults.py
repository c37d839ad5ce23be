"""The faults of a run: a seeded series that overlaps, and how each is injected."""

import asyncio
import itertools
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from random import Random

import msgspec

from process_soak.endless import SHAPES
from process_soak.engine import EngineFaults
from process_soak.link_proxy import LinkFaults
from process_soak.record import FOREVER
from process_soak.site import (
    APP,
    MAX_EXTRA_KEYS,
    MAX_EXTRA_ROUTES,
    STORE,
    Contents,
    EngineProcess,
    Process,
    Site,
)
from process_soak.slow_reading import SlowReading
from process_soak.stream_shape import StreamShape

CONTENTS: dict[str, Sequence[int]] = {
    "routes": range(MAX_EXTRA_ROUTES + 1),
    "keys": range(MAX_EXTRA_KEYS + 1),
    "max_head_bytes": (2048, 4096, 24_576),
    "max_body_bytes": (1000, 10_000, 40_000),
}
"""Between which values versions change in a storm."""

CALM_GATEWAYS = 3
"""Gateways that faults beside storms of versions leave alone, so that some are in touch
at all times."""

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
        self._contents = Contents()

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
            contents = Contents(
                random.randint(0, MAX_EXTRA_ROUTES),
                plain_timeout=self._site.shortest_timeout,
            )
            await self._site.configure(contents)
            await asyncio.sleep(random.uniform(0.0, 1.0))

    async def configure_timeouts(self, random: Random) -> None:
        """Change the timeout of the plain routes a few times."""
        for _ in range(random.randint(2, 5)):
            timeout = random.choice(self._site.bounds.plain_timeouts or (0.0,))
            await self._site.configure(Contents(plain_timeout=timeout))
            await asyncio.sleep(random.uniform(0.0, 1.5))

    async def configure_in_storm(self, random: Random) -> None:
        """Write versions one after the other; kill gateways meanwhile.

        All change the same one of the routes, keys and limits, so that requests which
        need another are allowed for long.
        """
        part = random.choice(sorted(CONTENTS))
        for _ in range(random.randint(3, 8)):
            changed = {part: random.choice(CONTENTS[part])}
            self._contents = replace(self._contents, **changed)
            await self._site.configure(self._contents)
            if random.random() < 0.35:
                self._site.send_signal(self._draw_harmed(random)[0], signal.SIGKILL)
            await asyncio.sleep(random.uniform(0.0, 0.8))

    async def freeze_some(self, random: Random) -> None:
        """Freeze a few gateways, which wake together with requests that wait."""
        gateways = self._draw_harmed(random)
        frozen = [
            (gateway, gateway.child)
            for gateway in gateways
            if self._site.send_signal(gateway, signal.SIGSTOP)
        ]
        await asyncio.sleep(random.uniform(0.5, 4.0))
        for gateway, child in frozen:
            if gateway.child is child:
                self._site.send_signal(gateway, signal.SIGCONT)

    async def stall_again(self, random: Random) -> None:
        """Freeze one, or most, gateways together a few times, for a second or more."""
        gateways = self._site.gateways
        for _ in range(random.randint(3, 5)):
            count = random.choice([1, len(gateways) - 1, len(gateways)])
            stalled = [
                (gateway, gateway.child)
                for gateway in random.sample(gateways, count)
                if self._site.send_signal(gateway, signal.SIGSTOP)
            ]
            await asyncio.sleep(random.uniform(1.2, 3.0))
            for gateway, child in stalled:
                if gateway.child is child:
                    self._site.send_signal(gateway, signal.SIGCONT)
            await asyncio.sleep(random.uniform(0.3, 1.5))

    async def stall_while_servers_fail(self, random: Random) -> None:
        failing = asyncio.create_task(self.servers_fail(random))
        await self.stall_again(random)
        await failing

    async def store_harmed_for_some(self, random: Random) -> None:
        """Let the store be away, slow or behind for a few gateways.

        One that is behind answers late, with what it held before.
        """
        faults = random.choice(
            [
                LinkFaults("drop", "drop"),
                LinkFaults(delay=random.uniform(0.1, 2.0)),
                LinkFaults("pass", "hold"),
            ]
        )
        seconds = random.uniform(1.0, 6.0)
        await self._set_links(self._draw_harmed(random), [STORE], faults, seconds)

    def _draw_harmed(self, random: Random) -> list[Process]:
        """Return one to three gateways, none of the calm ones."""
        gateways = self._site.gateways
        harmed = gateways[: max(1, len(gateways) - CALM_GATEWAYS)]
        return random.sample(harmed, min(len(harmed), random.randint(1, 3)))

    async def store_down(self, random: Random) -> None:
        began = time.monotonic()
        await self._site.set_store_faults(down=True)
        await asyncio.sleep(random.uniform(1.0, 5.0))
        await self._site.set_store_faults()
        self._record.add("store", began, until=time.monotonic())

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

    async def engines_endless(self, random: Random) -> None:
        """Up to half of the engines of a service answer with bytes without end."""
        service = random.choice(sorted({each.service for each in self._site.engines}))
        engines = [each for each in self._site.engines if each.service == service]
        faulty = random.sample(engines, random.randint(1, max(1, len(engines) // 2)))
        faults = EngineFaults(endless=random.choice(sorted(SHAPES)))
        self._record.add("endless", detail=f"{faults.endless} at {service}")
        await self._harm_all(faulty, faults, random.uniform(4, 8))

    async def engines_mixed(self, random: Random) -> None:
        faults = EngineFaults(fail=0.1, misstate=0.1, refuse=0.2, close_idle=0.2)
        await self._harm(random, faults, random.uniform(4, 10))

    async def engines_malformed(self, random: Random) -> None:
        """Most engines of a service write heads that are not HTTP."""
        faults = EngineFaults(malform=random.uniform(0.2, 0.9))
        await self._harm(random, faults, random.uniform(3, 8))

    async def engines_misstating(self, random: Random) -> None:
        """All servers of the plain service fail requests as if these had not run."""
        servers = [each for each in self._site.engines if each.service == APP]
        faults = EngineFaults(misstate=random.uniform(0.2, 0.9))
        await self._harm_all(servers, faults, random.uniform(3, 8))

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
        began = {engine.id: time.monotonic() for engine in engines}
        for engine in engines:
            await self._set_faults(engine, faults)
        await asyncio.sleep(seconds)
        for engine in engines:
            await self._set_faults(engine, EngineFaults())
        for id_, began_at in began.items():
            self._record.add(
                "harmed",
                began_at,
                process=id_,
                detail=repr(faults),
                until=time.monotonic(),
            )

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
        async with engine.replacing:
            await self._end(engine, "killed")
            await asyncio.sleep(random.uniform(0.2, 3.0))
            await site.register(engine, "")
            await site.start_engine(engine)

    async def engine_drained(self, random: Random) -> None:
        """Let an engine leave as planned, said or unsaid; it returns under another id.

        It serves for the bound of a drain and a little longer.
        """
        site = self._site
        engine = random.choice(site.engines)
        async with engine.replacing:
            await site.register(engine, random.choice(["draining", ""]))
            await asyncio.sleep(site.bounds.drain + random.uniform(0.5, 3.0))
            await self._end(engine, "ended")
            await site.register(engine, "")
            await site.start_engine(engine)

    async def _end(self, engine: EngineProcess, detail: str) -> None:
        self._record.add("harmed", process=engine.id, detail=detail, until=FOREVER)
        engine.child.kill()
        await engine.child.wait()

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
        child, id_, began = engine.child, engine.id, time.monotonic()
        if child.returncode is None:
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
        if child.returncode is None:
            child.send_signal(signal.SIGCONT)
        until = time.monotonic()
        self._record.add("harmed", began, process=id_, detail="frozen", until=until)

    async def links_delayed(self, random: Random) -> None:
        faults = LinkFaults(delay=random.uniform(0.05, 1.0))
        await self._harm_links(random, faults, random.uniform(2, 8))

    async def links_reset(self, random: Random) -> None:
        """Reset the connections of the same links a few times."""
        gateways, links = self._draw_links(random)
        for _ in range(random.randint(1, 4)):
            began = time.monotonic()
            reset = LinkFaults(reset=True)
            await self._site.set_link_faults(gateways, links, reset)
            self._add_disturbed(gateways, links, reset, began)
            await asyncio.sleep(random.uniform(0.1, 2.0))

    async def links_one_way(self, random: Random) -> None:
        """Bytes vanish in one direction, and come through in the other."""
        faults = LinkFaults(**{random.choice(["up", "down"]): "drop"})
        await self._harm_links(random, faults, random.uniform(1, 6))

    async def links_silent(self, random: Random) -> None:
        """Connections stay open and carry nothing; new ones work afterwards."""
        faults = LinkFaults(up="drop", down="drop")
        await self._harm_links(random, faults, random.uniform(0.3, 6))

    async def links_held(self, random: Random) -> None:
        """All bytes of some seconds arrive together, often in a later window."""
        held = random.choice([("hold", "pass"), ("pass", "hold"), ("hold", "hold")])
        await self._harm_links(random, LinkFaults(*held), random.uniform(1, 12))

    async def store_cut(self, random: Random) -> None:
        """Cut one to three gateways off from the store, in any direction."""
        ways = ("pass", "hold", "drop")
        up, down = random.choice(list(itertools.product(ways, ways))[1:])
        gateways = random.sample(self._site.gateways, random.randint(1, 3))
        seconds = random.uniform(1, 8)
        await self._set_links(gateways, [STORE], LinkFaults(up, down), seconds)

    def _draw_links(self, random: Random) -> tuple[list[Process], list[str]]:
        """Return one, two or all gateways, and names of engines."""
        gateways, engines = self._site.gateways, self._site.engines
        some = random.sample(gateways, random.choice([1, 2, len(gateways)]))
        links = random.sample(engines, random.randint(1, len(engines)))
        return some, [engine.name for engine in links]

    async def _harm_links(
        self, random: Random, faults: LinkFaults, seconds: float
    ) -> None:
        await self._set_links(*self._draw_links(random), faults, seconds)

    async def _set_links(
        self,
        gateways: list[Process],
        links: list[str],
        faults: LinkFaults,
        seconds: float,
    ) -> None:
        began = time.monotonic()
        try:
            await self._site.set_link_faults(gateways, links, faults)
            await asyncio.sleep(seconds)
            await self._site.set_link_faults(gateways, links, LinkFaults())
        finally:
            self._add_disturbed(gateways, links, faults, began)

    def _add_disturbed(
        self,
        gateways: list[Process],
        links: list[str],
        faults: LinkFaults,
        began: float,
    ) -> None:
        """Record that links of gateways were harmed until now."""
        for gateway in gateways:
            self._record.add(
                "disturbed",
                began,
                process=gateway.name,
                detail=f"{', '.join(links)}: {faults}",
                until=time.monotonic(),
            )


LINK_FAULTS = (
    "links_delayed",
    "links_reset",
    "links_one_way",
    "links_silent",
    "links_held",
    "store_cut",
)
"""Faults of links."""

NEED_PROXY = (*LINK_FAULTS, "store_harmed_for_some")

CONFIG_FAULTS = ("configure_in_storm", "freeze_some", "store_harmed_for_some")
"""Faults that press on requests which only some versions allow."""

COMMON_FAULTS = (
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
    "engine_drained",
    "engine_frozen",
    "server_frozen",
    "most_servers_frozen",
    "servers_frozen_then_failing",
    *LINK_FAULTS,
)
OWN_FAULTS = (
    "engines_endless",
    "engines_malformed",
    "engines_misstating",
    "configure_timeouts",
    "stall_again",
    "stall_while_servers_fail",
)
"""Faults that only the profiles below draw which name them."""

INJECTORS: dict[str, Callable[[Injector, Random], Awaitable[None]]] = {
    name: getattr(Injector, name)
    for name in (*COMMON_FAULTS, *CONFIG_FAULTS, *OWN_FAULTS)
}


class Profile(msgspec.Struct, frozen=True):
    """Which faults a run draws from.

    :param min_gap: shortest time between the starts of two faults, in seconds.
    :param max_gap: longest such time; most faults last longer, so that they overlap.
    :param has_variants: whether callers send requests that only some versions allow.
    :param plain_timeouts: see :class:`process_soak.site.Bounds`.
    :param shape: see :class:`process_soak.site.Sizes`; its seed is that of the run.
    :param slow_reading: the same.
    :param is_drawn: whether a run without a stated profile may have this one.
    """

    names: tuple[str, ...]
    min_gap: float = 0.2
    max_gap: float = 4.0
    has_variants: bool = False
    plain_timeouts: tuple[float, ...] = ()
    shape: StreamShape | None = None
    slow_reading: SlowReading | None = None
    is_drawn: bool = True


LONG_STREAMS = StreamShape(
    min_events=4,
    max_events=110,
    wait_share=0.4,
    pause_share=0.7,
    min_pause=1.0,
    max_pause=4.0,
    padding=1000,
)
"""Streams that last from less than a second to longer than the grace."""

STALLING_STREAMS = msgspec.structs.replace(
    LONG_STREAMS, min_events=50, wait_share=0.5, pause_share=0.9
)
"""Streams that last long and of which most pause and are moved to other engines."""

STOPS = ("stop_in_turn", "stop_in_turn", "stop_twice", "reload")
PLANNED = ("stop_in_turn", "stop_twice", "reload", "configure", "engine_drained")
PROFILES = {
    "all": Profile(COMMON_FAULTS),
    "planned": Profile(PLANNED),
    "stops": Profile(("stop_in_turn",), 0.5, 2.0),
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
    "links": Profile(LINK_FAULTS),
    "endless": Profile(("engines_endless",), 1.0, 5.0),
    "malformed": Profile(
        ("engines_malformed", "engines_malformed", "stop_in_turn", "kill_one", "reload")
    ),
    "misstating": Profile(
        (
            *("engines_misstating",) * 4,
            *("stop_in_turn", "kill_one", "engine_killed", "reload"),
        ),
        0.2,
        2.0,
    ),
    "timeouts": Profile(
        (
            *("configure_timeouts", "engines_slow", "engines_reset", "server_frozen"),
            *("stop_in_turn", "reload", "kill_one"),
        ),
        plain_timeouts=(0.8, 1.1),
    ),
    "config": Profile(
        ("configure_in_storm", *("freeze_some", "store_harmed_for_some") * 2),
        0.3,
        1.4,
        has_variants=True,
    ),
    "long_streams": Profile(
        STOPS,
        0.5,
        2.0,
        shape=LONG_STREAMS,
        slow_reading=SlowReading(0.2),
        is_drawn=False,
    ),
    "stalling_streams": Profile(
        STOPS,
        0.5,
        2.0,
        shape=STALLING_STREAMS,
        slow_reading=SlowReading(0.2),
        is_drawn=False,
    ),
    "long_streams_in_trouble": Profile(
        (
            *STOPS,
            *("engine_frozen", "engines_slow"),
            *("links_delayed", "links_silent", "links_held"),
        ),
        0.5,
        2.0,
        shape=LONG_STREAMS,
        slow_reading=SlowReading(0.2),
        is_drawn=False,
    ),
    "stalls": Profile(("stall_again",), 8.0, 10.0, is_drawn=False),
    "stalls_failing": Profile(
        ("stall_while_servers_fail",), 12.0, 16.0, is_drawn=False
    ),
    "stalls_kills": Profile(
        ("stall_again", "server_frozen", "kill_most"), 2.0, 5.0, is_drawn=False
    ),
}


def draw_profile(random: Random) -> str:
    """Return the name of a profile."""
    return random.choice(sorted(name for name in PROFILES if PROFILES[name].is_drawn))


def draw_faults(random: Random, profile: str, seconds: float) -> list[Fault]:
    """Return the series of faults of a run."""
    faults = []
    drawn = PROFILES[profile]
    at = random.uniform(1.0, 3.0)
    while at < seconds - CALM_END:
        faults.append(Fault(at, random.choice(drawn.names), random.getrandbits(32)))
        at += random.uniform(drawn.min_gap, drawn.max_gap)
    return faults
