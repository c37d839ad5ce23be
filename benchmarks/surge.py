"""Effects of one customer's surge on the others, by queue discipline.

Runs the core's :class:`AgentCore` with several customers. The disciplines are first
come first served, the weighted fair queue of this package with and without its limit
on the slots of one customer, and a two-stage discipline after the Coflex paper
(Wang, Ma, Li, Li, "Coflex: Navigating the Fairness-Efficiency Tradeoff for Coflow
Scheduling"): a share alpha of the fair rate is guaranteed, and the rest goes to the
smallest call first. Run with ``python benchmarks/surge.py --seed 1``.
"""

import argparse
import heapq
import itertools
from collections import Counter, defaultdict
from random import Random

from cyclamenyoke.core.agent import AgentCore
from cyclamenyoke.core.fair_queue import FairQueue
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.messages import AttemptId, Call, Chunk, Execute, NotRun
from cyclamenyoke.core.runs import Reply, StartCall

CUSTOMERS = {f"small-{n}": 1.0 for n in range(8)} | {"large-0": 4.0, "large-1": 4.0}
SURGING = ("small-0", "large-0")
SLOTS = 8
TOKEN_TIME = 0.01
"""Seconds per token."""

DURATION = 400.0
"""Simulated seconds in which calls arrive."""

LOAD = 0.6
"""Load before the surge as a fraction of the capacity."""


class FirstComeFirstServed(FairQueue):
    """Serves calls in the order of their arrival."""

    def push(self, customer, weight, cost, item) -> None:
        super().push("all", 1.0, cost, item)

    def pop(self, may_take=None):
        return super().pop() if may_take is None or may_take(None) else None

    def remove(self, customer, item) -> bool:
        return super().remove("all", item)

    def correct_cost(self, customer, extra) -> None:
        return


class FairOrderOnly(FairQueue):
    """The fair queue without a limit on the slots of one customer."""

    def pop(self, may_take=None):
        return super().pop() if may_take is None or may_take(None) else None


class TwoStage(FairQueue):
    """Guarantees a share of the fair rate; otherwise the smallest call goes first."""

    alpha = 0.5
    """Share of the fair rate that is guaranteed to each customer."""

    def __init__(self) -> None:
        super().__init__()
        self.queued: dict[str, list] = defaultdict(list)
        self.weights: dict[str, float] = {}
        self.served: dict[str, float] = defaultdict(float)
        self.order = itertools.count()

    def __len__(self) -> int:
        return sum(len(items) for items in self.queued.values())

    @property
    def cost(self) -> float:
        return sum(entry[0] for items in self.queued.values() for entry in items)

    def cost_of(self, customer) -> float:
        return sum(entry[0] for entry in self.queued.get(customer, []))

    def cost_ahead(self, customer, weight, cost) -> float:
        return self.cost

    def push(self, customer, weight, cost, item) -> None:
        backlogged = [each for each in self.queued if self.queued[each]]
        if not self.queued[customer] and backlogged:
            level = min(self.served[each] / self.weights[each] for each in backlogged)
            self.served[customer] = max(self.served[customer], level * weight)
        self.weights[customer] = weight
        heapq.heappush(self.queued[customer], (cost, next(self.order), item))

    def pop(self, may_take=None):
        backlogged = [each for each in self.queued if self.queued[each]]
        if not backlogged or not may_take(None):
            return None
        levels = {each: self.served[each] / self.weights[each] for each in backlogged}
        fair = sum(self.served[each] for each in backlogged) / sum(
            self.weights[each] for each in backlogged
        )
        most_underserved = min(levels, key=levels.__getitem__)
        if levels[most_underserved] < self.alpha * fair:
            chosen = most_underserved
        else:
            chosen = min(backlogged, key=lambda each: self.queued[each][0])
        cost, _, item = heapq.heappop(self.queued[chosen])
        self.served[chosen] += cost
        return item

    def remove(self, customer, item) -> bool:
        for entry in self.queued[customer]:
            if entry[2] is item:
                self.queued[customer].remove(entry)
                heapq.heapify(self.queued[customer])
                return True
        return False

    def correct_cost(self, customer, extra) -> None:
        self.served[customer] += extra


def discipline(name: str) -> FairQueue:
    """Return the queue of a discipline as :func:`main` names it."""
    if name.startswith("two-stage"):
        queue = TwoStage()
        queue.alpha = float(name.split()[1])
        return queue
    if name == "first come":
        return FirstComeFirstServed()
    return FairQueue() if name.startswith("fair, pri") else FairOrderOnly()


class Engine:
    """Runs calls in a fixed number of slots; a lower priority number goes first.

    A preempted call keeps its progress and resumes later.
    """

    def __init__(self) -> None:
        # Increased with each scheduled wakeup, so that earlier ones are ignored.
        self.version = 0
        self.now = 0.0
        # Priority, run id, seconds of progress, tokens, and whether the first token
        # was produced.
        self.runs: dict[int, list] = {}

    def start(self, now: float, run_id: int, tokens: int, priority: int) -> None:
        self._add_progress(now)
        self.runs[run_id] = [priority, run_id, 0.0, tokens, False]

    def next_event(self) -> float | None:
        """Return when a running call next produces its first token or finishes.

        The first token comes after a fifth of the call's work.
        """
        times = [
            (0.2 * tokens if not first else tokens) * TOKEN_TIME - done
            for _, _, done, tokens, first in self._active()
        ]
        return self.now + max(0.0, min(times)) if times else None

    def advance(self, now: float) -> list[tuple[int, str, int]]:
        """Return the calls that have produced their first token or finished.

        Each is given as run id, ``"first"`` or ``"last"``, and number of tokens.
        """
        self._add_progress(now)
        events = []
        for run in self._active():
            _, run_id, done, tokens, first = run
            if not first and done >= 0.2 * tokens * TOKEN_TIME - 1e-9:
                run[4] = True
                events.append((run_id, "first", tokens))
            elif first and done >= tokens * TOKEN_TIME - 1e-9:
                del self.runs[run_id]
                events.append((run_id, "last", tokens))
        return events

    def _add_progress(self, now: float) -> None:
        for run in self._active():
            run[2] += now - self.now
        self.now = now

    def _active(self) -> list[list]:
        return sorted(self.runs.values())[:SLOTS]


class Result:
    """First-token times in seconds, and rejections, by customer."""

    def __init__(self, surging: str) -> None:
        self.surging = surging
        self.first_token_times: dict[str, list[float]] = defaultdict(list)
        self.rejected: Counter = Counter()

    def p95_of_others(self) -> float:
        times = sorted(
            seconds
            for customer, first_token_times in self.first_token_times.items()
            if customer != self.surging
            for seconds in first_token_times
        )
        return times[int(0.95 * len(times))]

    def mean_of_others(self) -> float:
        times = [
            seconds
            for customer, first_token_times in self.first_token_times.items()
            if customer != self.surging
            for seconds in first_token_times
        ]
        return sum(times) / len(times)

    def rejected_others(self) -> int:
        return sum(
            n for customer, n in self.rejected.items() if customer != self.surging
        )


def simulate(  # noqa: C901
    name: str, surge: float, seed: int, surging: str, large_prompts: bool
) -> Result:
    """Simulate one agent.

    :param name: name of the queue discipline.
    :param surge: load of the surging customer, as a multiple of the capacity that its
        weight entitles it to; 0 for its normal load.
    :param large_prompts: whether the surge consists of fewer, ten times larger calls.
    """
    random = {each: Random(f"{seed}/{each}") for each in CUSTOMERS}
    core = AgentCore("e", "e@1", SLOTS, 60.0, RaisingMonitor(), Random(seed))
    core.configure(SLOTS, 60.0, 50.0, True, 0.0)
    core._queue = discipline(name)
    if not name.startswith("fair, pri"):
        core._can_start = lambda customer: core._shares.held < SLOTS
    core._token_rate = SLOTS / TOKEN_TIME
    result = Result(surging)
    engine = Engine()
    events: list = []
    order = itertools.count()
    numbers = itertools.count()
    arrived: dict[int, tuple[str, float]] = {}
    mean_tokens = 120.0
    capacity = SLOTS / (mean_tokens * TOKEN_TIME)
    total_weight = sum(CUSTOMERS.values())

    def at(when: float, action) -> None:
        heapq.heappush(events, (when, next(order), action))

    def apply_effects(effects, now: float) -> None:
        for effect in effects:
            if isinstance(effect, StartCall):
                run(effect, now)
            elif isinstance(effect, Reply):
                handle_reply(effect.message, now)

    def handle_reply(message, now: float) -> None:
        if isinstance(message, Chunk) and message.sequence == 1:
            customer, since = arrived[message.attempt.number]
            result.first_token_times[customer].append(now - since)
        elif isinstance(message, NotRun):
            customer, _ = arrived[message.attempt.number]
            result.rejected[customer] += 1

    def run(effect: StartCall, now: float) -> None:
        run_id, tokens = effect.run_id, int(effect.call.cost)
        preempts = name.startswith("fair, pri")
        engine.start(now, run_id, tokens, effect.priority if preempts else 0)
        schedule_wakeup(now)

    def schedule_wakeup(now: float) -> None:
        """Schedule the engine's next event; an event scheduled earlier is ignored."""
        engine.version += 1
        due = engine.next_event()
        if due is not None:
            at(
                due,
                lambda version=engine.version: advance(version, due),
            )

    def advance(version: int, now: float) -> None:
        if version != engine.version:
            return
        for run_id, what, tokens in engine.advance(now):
            if what == "first":
                apply_effects(core.on_data(run_id, b"t"), now)
            else:
                core._runs[run_id].chunks = [b"t"] * tokens
                apply_effects(core.on_finished(run_id, now), now)
        schedule_wakeup(now)

    def arrive(customer: str, now: float) -> None:
        own = random[customer]
        is_surging = customer == surging and surge > 0
        factor = surge if is_surging else LOAD
        size = 10.0 if large_prompts and is_surging else 1.0
        rate = capacity * CUSTOMERS[customer] / total_weight * factor / size
        at_next = now + own.expovariate(rate)
        tokens = max(5, int(own.lognormvariate(4.4, 0.9) * size))
        number = next(numbers)
        arrived[number] = (customer, now)
        call = Call(
            f"r{number}", "s", customer, "POST", "/", "", b"", now + 60, now + 30,
            CUSTOMERS[customer], float(tokens),
        )  # fmt: skip
        execute = Execute(AttemptId("entry@1", number), 0, "e@1", call)
        apply_effects(core.on_execute(execute, now), now)
        if at_next < DURATION:
            at(at_next, lambda: arrive(customer, at_next))

    for customer in CUSTOMERS:
        at(random[customer].random(), lambda c=customer: arrive(c, 0.0))
    while events:
        now, _, action = heapq.heappop(events)
        action()
    return result


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"seed {options.seed}, load {LOAD:.0%} before the surge, surge 10x")
    names = [
        "first come",
        "fair order",
        "fair, priorities",
        *(f"two-stage {a}" for a in (0.2, 0.5, 0.8, 1.0)),
    ]
    for surging, large in itertools.product(SURGING, (False, True)):
        print(f"{surging} sends " + ("huge prompts" if large else "many calls"))
        for name in names:
            normal = simulate(name, 0.0, options.seed, surging, large)
            surge = simulate(name, 10.0, options.seed, surging, large)
            ratio = surge.p95_of_others() / normal.p95_of_others()
            print(
                f"  {name:16} others' first token p95 {normal.p95_of_others():.2f} s ->"
                f" {surge.p95_of_others():.2f} s, ratio {ratio:.2f};"
                f" mean {surge.mean_of_others():.2f} s;"
                f" others refused {surge.rejected_others()},"
                f" surging customer refused {surge.rejected[surging]}"
            )


if __name__ == "__main__":
    main()
