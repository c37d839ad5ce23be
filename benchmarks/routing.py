"""Routing with delayed load reports: first-token time and prefix cache hits.

Compares the core's :class:`Router` with baselines. Several entries and simulated model
engines run in one process. Load reports are late, one engine is slow, prompts share
prefixes, and each engine caches a bounded number of prefixes. Run with
``python benchmarks/routing.py --seed 1``.
"""

import argparse
import heapq
import itertools
from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from random import Random

from cyclamenyoke.core.config import Endpoint
from cyclamenyoke.core.messages import Call, Load
from cyclamenyoke.core.routing import Router

ENGINES = 16
ENTRIES = 13
SLOTS = 8
"""Calls that an engine runs at a time."""

PREFIXES = 240
CACHED_PREFIXES = 24
"""Prefixes that an engine caches."""

REPORT_LAG = 2.0
"""Seconds by which load reports are late."""

MAX_BUSY = 2
"""Rejections after which one last engine is asked before the call has to queue."""

PREFILL_MISS = 0.16
PREFILL_HIT = 0.04
"""Seconds of a prefill without load, without and with a cached prefix."""

DECODE_MEAN = 1.2
"""Mean seconds from the first to the last token."""

SLOW_FACTOR = 3.0
"""Factor by which the slow engine takes longer than the others."""

DURATION = 240.0
"""Simulated seconds in which calls arrive."""

WARM_UP = 40.0
"""Seconds at the start; calls that arrive in them are not counted."""


class Engine:
    """A simulated engine with continuous batching and a bounded prefix cache."""

    def __init__(self, factor: float) -> None:
        self.factor = factor
        self.running = 0
        self.queue: deque = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.reports: deque = deque([(-REPORT_LAG, 0)])

    def look_up(self, prefix: int) -> bool:
        """Return whether a prefix is cached, and cache it."""
        found = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        while len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return found

    def report(self, now: float) -> int:
        """Return the load as it was :data:`REPORT_LAG` seconds ago."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_LAG:
            self.reports.popleft()
        return self.reports[0][1]

    def record_load(self, now: float) -> None:
        """Record the current load for later reports."""
        self.reports.append((now, self.running + len(self.queue)))


class Policy(ABC):
    """Chooses an engine; each entry has its own instance."""

    def __init__(self, engines: list[Engine], random: Random) -> None:
        self.engines = engines
        self.random = random

    @abstractmethod
    def choose(self, prefix: int, now: float) -> int:
        """Return the number of the chosen engine."""

    def first_token(self, engine: int, seconds: float, now: float) -> None:
        """Handle the first token of a call.

        :param seconds: time since the call arrived.
        """
        return

    def finished(self, engine: int, now: float) -> None:
        """Handle the end of a call."""
        return

    def reported(self, now: float) -> None:
        """Handle the agents' load reports, which come once a second."""
        return


class RandomChoice(Policy):
    def choose(self, prefix: int, now: float) -> int:
        return self.random.randrange(ENGINES)


class RoundRobin(Policy):
    def __init__(self, engines: list[Engine], random: Random) -> None:
        super().__init__(engines, random)
        self.next = random.randrange(ENGINES)

    def choose(self, prefix: int, now: float) -> int:
        self.next = (self.next + 1) % ENGINES
        return self.next


class LeastReported(Policy):
    def choose(self, prefix: int, now: float) -> int:
        return min(
            range(ENGINES),
            key=lambda n: (self.engines[n].report(now), self.random.random()),
        )


class TwoChoices(Policy):
    def choose(self, prefix: int, now: float) -> int:
        pair = self.random.sample(range(ENGINES), 2)
        return min(pair, key=lambda n: self.engines[n].report(now))


class PrefixOnly(Policy):
    """Always chooses the same engine for a prefix: the upper bound of cache hits."""

    def choose(self, prefix: int, now: float) -> int:
        return prefix % ENGINES


class Oracle(Policy):
    """Knows the current caches and loads of all engines."""

    def choose(self, prefix: int, now: float) -> int:
        def rank(number: int) -> tuple[bool, bool, float]:
            engine = self.engines[number]
            load = engine.running + len(engine.queue)
            is_cold = prefix not in engine.cache
            return load >= SLOTS or engine.factor > 1, is_cold, load

        return min(range(ENGINES), key=rank)


class CoreRouter(Policy):
    """The router of this package."""

    def __init__(self, engines: list[Engine], random: Random) -> None:
        super().__init__(engines, random)
        self.router = Router("dc-0", random)
        endpoints = [Endpoint(f"{n}", "", f"dc-{n % 3}", SLOTS) for n in range(ENGINES)]
        self.router.configure({"s": endpoints})
        for endpoint in endpoints:
            self.router.on_link_up(endpoint.name, "x", False, Load())

    def choose(self, prefix: int, now: float) -> int:
        body = f"{prefix:08d}".encode() * 128
        call = Call("r", "s", "c", "POST", "/", "", body, now + 30, now + 30)
        agent = self.pick(call, now)
        self.router.on_sent(agent)
        return int(agent)

    def pick(self, call: Call, now: float) -> str:
        agent = self.router.choose(call, (), now)
        assert agent is not None
        return agent

    def first_token(self, engine: int, seconds: float, now: float) -> None:
        self.router.on_latency(str(engine), seconds, now)

    def finished(self, engine: int, now: float) -> None:
        self.router.on_settled(str(engine))

    def reported(self, now: float) -> None:
        for number, engine in enumerate(self.engines):
            load = Load(engine.report(now))
            self.router.on_load_report(str(number), load)


class CoreRouterWithRefusals(CoreRouter):
    """The router of this package, with agents that reject calls while full."""

    def pick(self, call: Call, now: float) -> str:
        tried: dict[str, int] = {}  # Queue lengths of the busy engines.
        while len(tried) < MAX_BUSY + 1:
            agent = self.router.choose(call, tried, now)
            assert agent is not None
            engine = self.engines[int(agent)]
            if engine.running < SLOTS:
                return agent
            tried[agent] = len(engine.queue)
        return min(tried, key=tried.__getitem__)


POLICIES = [
    RandomChoice,
    RoundRobin,
    LeastReported,
    TwoChoices,
    PrefixOnly,
    Oracle,
    CoreRouter,
    CoreRouterWithRefusals,
]


def simulate(  # noqa: C901
    policy_class: type[Policy], rate: float, seed: int
) -> tuple[float, float, float]:
    """Return p50 and p95 of the first-token time in seconds, and the hit rate."""
    random = Random(seed)
    arrivals = Random(seed + 1)
    engines = [Engine(SLOW_FACTOR if n == 0 else 1.0) for n in range(ENGINES)]
    entries = [policy_class(engines, Random(seed + 2 + n)) for n in range(ENTRIES)]
    events: list = []
    order = itertools.count()
    first_token_times: list[float] = []
    hits = calls = 0
    weights = [1 / (n + 1) ** 0.7 for n in range(PREFIXES)]

    def at(when: float, action) -> None:
        heapq.heappush(events, (when, next(order), action))

    def start(number: int, now: float) -> None:
        nonlocal hits, calls
        engine = engines[number]
        while engine.queue and engine.running < SLOTS:
            arrived, prefix, decode, entry = engine.queue.popleft()
            engine.running += 1
            hit = engine.look_up(prefix)
            if arrived >= WARM_UP:
                hits += hit
                calls += 1
            busy = 1 + engine.running / SLOTS
            prefill = (PREFILL_HIT if hit else PREFILL_MISS) * engine.factor * busy
            first_at = now + prefill

            def first(arrived=arrived, first_at=first_at, entry=entry) -> None:
                if arrived >= WARM_UP:
                    first_token_times.append(first_at - arrived)
                entry.first_token(number, first_at - arrived, first_at)

            def done(entry=entry, done_at=first_at + decode * engine.factor) -> None:
                engine.running -= 1
                engine.record_load(done_at)
                entry.finished(number, done_at)
                start(number, done_at)

            at(first_at, first)
            at(first_at + decode * engine.factor, done)
        engine.record_load(now)

    def arrive(now: float) -> None:
        entry = arrivals.choice(entries)
        prefix = arrivals.choices(range(PREFIXES), weights)[0]
        decode = arrivals.expovariate(1 / DECODE_MEAN)
        number = entry.choose(prefix, now)
        engines[number].queue.append((now, prefix, decode, entry))
        start(number, now)
        following = now + arrivals.expovariate(rate)
        if following < DURATION:
            at(following, lambda: arrive(following))

    def report(now: float) -> None:
        for entry in entries:
            entry.reported(now)
        if now < DURATION:
            at(now + 1.0, lambda: report(now + 1.0))

    at(0.0, lambda: arrive(0.0))
    at(0.0, lambda: report(0.0))
    while events:
        _, _, action = heapq.heappop(events)
        action()
    first_token_times.sort()
    del random
    p50, p95 = (
        first_token_times[int(share * len(first_token_times))] for share in (0.5, 0.95)
    )
    return p50, p95, hits / calls


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.65)
    options = parser.parse_args()
    capacity = (ENGINES - 1 + 1 / SLOW_FACTOR) * SLOTS / (DECODE_MEAN + 0.2)
    rate = options.load * capacity
    print(f"seed {options.seed}, {rate:.0f} requests/s, {options.load:.0%} of capacity")
    results = {
        policy_class.__name__: simulate(policy_class, rate, options.seed)
        for policy_class in POLICIES
    }
    ours = results["CoreRouterWithRefusals"]
    for name, (p50, p95, hits) in results.items():
        print(
            f"{name:22} first token p50 {p50 * 1000:7.0f} ms  p95 {p95 * 1000:7.0f} ms"
            f"  hits {hits:.1%}  ours/this p95 {ours[1] / p95:.2f}"
        )
    print(f"hits of ours against the oracle: {ours[2] / results['Oracle'][2]:.2f}")


if __name__ == "__main__":
    main()
