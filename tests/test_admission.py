"""Queueing, refusing and placing, played on a model of the engines."""

import heapq
from collections import Counter
from random import Random

import pytest

from cyclamenyoke.core.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Enqueued,
    FirstAttemptEstimator,
    Rejected,
)
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.fair_share import NOT_SCARCE, Scarcity, is_scarce, scarcity_of
from cyclamenyoke.core.gateway_config import EngineModel
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.pass_model import PassModel
from cyclamenyoke.core.retry_budget import SHARED_BUDGET_FRACTION, WindowedRetryBudget

NOW = 100.0
MODEL = EngineModel(
    step=0.006,
    per_sequence=0.0007,
    per_context_token=0.0,
    prefill_rate=60_000,
    prefill_chunk=512,
    steps_per_pass=5,
    report_lag=0.2,
    mean_prompt_tokens=800,
    mean_output_tokens=140,
    kv_capacity_tokens=100_000,
)
ENDPOINT = Endpoint("e", "llm", "127.0.0.1:1", "dc", 6, False, 1)


def ticket(
    arrived_at: float = NOW,
    priority: int = 1,
    on_time: float = 0.3,
    customer: str = "c",
) -> AdmissionRequest:
    return AdmissionRequest(
        "llm",
        customer,
        priority,
        arrived_at,
        arrived_at + on_time,
        arrived_at + 1.0,
        frozenset(),
    )


class Slots:
    """A service with some slots at one node."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.used = 0
        self.customers: Counter[str] = Counter()
        self.elsewhere = 0
        self.admission = Admission(
            self._find,
            lambda service: self.used,
            lambda service: {"c": self.elsewhere},
            self._scarcity,
            RaisingMonitor(),
        )

    def _scarcity(self, service: str) -> Scarcity:
        if not is_scarce(self.slots - self.used, self.slots):
            return NOT_SCARCE
        queued = Counter(self.admission.queued.get(service, {}))
        return scarcity_of(self.customers, queued)

    def _find(self, ticket: AdmissionRequest, now: float) -> Endpoint | None:
        if self.used >= self.slots:
            return None
        self.used += 1
        self.customers[ticket.customer] += 1
        return ENDPOINT


def test_room_is_used_at_once_then_requests_wait():
    slots = Slots(2)
    first, second, third = (slots.admission.decide(ticket(), NOW) for _ in range(3))
    assert isinstance(first, Admitted) and isinstance(second, Admitted)
    assert isinstance(third, Enqueued)


def test_room_that_comes_up_goes_to_as_many_as_fit():
    slots = Slots(1)
    slots.admission.on_duration("llm", 0.1)
    queued = [ticket(NOW + n / 100) for n in range(3)]
    slots.admission.decide(ticket(), NOW)
    for each in queued:
        slots.admission.decide(each, NOW)
    slots.used = 0
    assert [t for t, _ in slots.admission.dispatch(NOW + 0.1)] == queued[:1]


def test_wait_that_is_too_long_is_refused_at_once_with_the_predicted_time():
    slots = Slots(1)
    slots.admission.decide(ticket(), NOW)
    slots.elsewhere = 4
    decision = slots.admission.decide(ticket(), NOW)
    assert isinstance(decision, Rejected)
    assert decision.retry_after == pytest.approx(2.5)


def test_those_on_time_go_before_those_that_are_late_anyway():
    slots = Slots(1)
    slots.admission.decide(ticket(), NOW)
    late = ticket(NOW, on_time=0.05)
    fresh = ticket(NOW + 0.1)
    slots.admission.decide(late, NOW)
    slots.admission._queue("llm").requests.append(fresh)
    slots.used = 0
    [(served, _)] = list(slots.admission.dispatch(NOW + 0.2))
    assert served is fresh


def test_waiting_ends_when_it_has_become_pointless():
    slots = Slots(1)
    slots.admission.decide(ticket(), NOW)
    waits = ticket()
    slots.admission.decide(waits, NOW)
    [(ended, decision)] = list(slots.admission.dispatch(NOW + 1.0))
    assert ended is waits
    assert isinstance(decision, Rejected)


def test_pass_model_fits_fewer_requests_into_slower_engines():
    passes = PassModel(MODEL)
    assert passes.max_requests("e", 6, 0.12, NOW) == 6
    for _ in range(100):
        passes.on_gap("e", 2.2 * passes.balanced_pass(4), 4, NOW)
    limit = passes.max_requests("e", 6, 0.12, NOW)
    assert 1 < limit < 6
    assert 2.2 * passes.balanced_pass(limit) <= 0.12


def test_pass_model_uses_all_slots_where_all_are_late_anyway():
    passes = PassModel(MODEL)
    for _ in range(100):
        passes.on_gap("e", 1.0, 4, NOW)
    assert passes.max_requests("e", 6, 0.12, NOW) == 6


def test_pass_model_forgets_what_it_has_not_seen_for_long():
    passes = PassModel(MODEL)
    passes.on_gap("e", 1.0, 4, NOW)
    assert passes.slowdown("e", NOW + 60) == 1.0


SECONDS = 30.0
SLOTS = 20


def play(load: float, seconds: float = SECONDS, slots: int = SLOTS) -> dict[str, int]:
    """Play requests of one second each; return what callers got.

    :param load: of the slots' capacity.
    """
    random = Random(7)
    site = Slots(slots)
    counts = {"on_time": 0, "late": 0, "refused": 0, "asked": 0}
    ends: list[float] = []
    now, end_at = NOW, NOW + seconds

    def served(each: AdmissionRequest, at: float) -> None:
        counts["on_time" if at <= each.on_time_until else "late"] += 1
        heapq.heappush(ends, at + random.uniform(0.5, 1.5))

    def finish(until: float) -> None:
        while ends and ends[0] <= until:
            at = heapq.heappop(ends)
            site.used -= 1
            site.admission.on_duration("llm", 1.0)
            for each, decision in site.admission.dispatch(at):
                if isinstance(decision, Admitted):
                    served(each, at)
                else:
                    counts["refused"] += 1

    while now < end_at:
        now += random.expovariate(load * slots)
        finish(now)
        counts["asked"] += 1
        each = ticket(now)
        decision = site.admission.decide(each, now)
        if isinstance(decision, Admitted):
            served(each, now)
        if isinstance(decision, Rejected):
            counts["refused"] += 1
    return counts


def test_below_capacity_nearly_all_are_served_on_time():
    counts = play(0.8)
    assert counts["on_time"] >= 0.97 * counts["asked"]


@pytest.mark.parametrize("load", [1.3, 1.7, 3.0])
def test_beyond_capacity_the_slots_stay_full_and_most_served_are_on_time(load):
    counts = play(load)
    served = counts["on_time"] + counts["late"]
    assert served >= 0.95 * SLOTS * SECONDS
    assert counts["on_time"] >= 0.7 * served


def test_retry_budget_of_all_nodes_together_keeps_the_bound():
    nodes = 13
    budgets = [WindowedRetryBudget(0.2, 191, 10) for _ in range(nodes)]
    requests = retries = 0
    for budget in budgets:
        for number in range(200):
            now = NOW + number / 20
            budget.on_first_attempt(now)
            requests += 1
            while budget.take(now, nodes):
                retries += 1
    assert retries <= SHARED_BUDGET_FRACTION * (0.2 * requests + 191) + nodes


def test_later_tries_leave_the_last_slots_to_first_tries():
    freshness = FirstAttemptEstimator()
    assert freshness.elapsed("r", 8.05) == 0.0
    assert freshness.elapsed("r", 6.0) == pytest.approx(2.05)
    assert freshness.elapsed("other", 6.0) == 0.0


def test_first_tries_after_an_outage_are_on_time_while_later_ones_wait():
    """Callers that lost their answers all come back at once, with new ones behind."""
    slots = Slots(4)
    slots.admission.on_duration("llm", 1.0)
    later = [ticket(NOW, on_time=-1.0) for _ in range(3)]
    decisions = [slots.admission.decide(ticket(), NOW) for _ in range(4)]
    assert all(isinstance(decision, Admitted) for decision in decisions)
    for each in later:
        slots.admission.decide(each, NOW)
    first = ticket(NOW + 0.05)
    assert isinstance(slots.admission.decide(first, NOW + 0.05), Enqueued)
    slots.used = 3
    assert [t for t, _ in slots.admission.dispatch(NOW + 0.1)] == [first]


def learn_duration(slots: Slots, seconds: float) -> None:
    """Let a node see many requests that take some time."""
    for _ in range(100):
        slots.admission.on_duration("llm", seconds)


def surged_site() -> Slots:
    """Return a full service of which one customer of five holds most."""
    slots = Slots(20)
    learn_duration(slots, 0.5)
    slots.used = 20
    slots.customers = Counter({"big": 16, "a": 1, "b": 1, "c": 1, "d": 1})
    return slots


def test_last_slots_are_kept_from_a_surge():
    slots = surged_site()
    for number in range(4):
        each = ticket(NOW + number / 1000, customer="big")
        assert isinstance(slots.admission.decide(each, NOW), Enqueued)
    small = ticket(NOW + 0.1, customer="a")
    assert isinstance(slots.admission.decide(small, NOW + 0.1), Enqueued)
    slots.used = 19
    assert [t for t, _ in slots.admission.dispatch(NOW + 0.1)] == [small]
    slots.used = 19
    # The last slot stays for the others.
    assert list(slots.admission.dispatch(NOW + 0.1)) == []
    slots.used = 18
    [(served, _)] = list(slots.admission.dispatch(NOW + 0.1))
    assert served.customer == "big"


def test_wait_is_predicted_without_the_surge_for_others_and_with_its_part_for_it():
    slots = surged_site()
    for number in range(4):
        slots.admission.decide(ticket(NOW + number / 1000, customer="big"), NOW)
    others = slots.admission.predicted_wait("llm", "a")
    own = slots.admission.predicted_wait("llm", "big")
    assert others == pytest.approx(0.5 / 20, rel=0.01)
    assert own == pytest.approx(5 * 0.5 / 16, rel=0.01)


def test_urgent_requests_go_first():
    slots = Slots(1)
    learn_duration(slots, 0.1)
    slots.admission.decide(ticket(customer="a"), NOW)
    usual = ticket(customer="b")
    urgent = ticket(NOW + 0.01, priority=0, customer="c")
    for each in (usual, urgent):
        slots.admission.decide(each, NOW + 0.01)
    slots.used = 0
    slots.customers.clear()
    assert [t for t, _ in slots.admission.dispatch(NOW + 0.02)] == [urgent]


CUSTOMERS = 10
SHARE = 0.06
"""Load of one customer, in parts of all slots; 0.6 by all."""

USUAL_TIME = 5.0
"""Seconds before the surge begins."""

FIRST_EVENT = 0.18
"""Seconds from sending to the first event at engines with usual load."""


def play_surge(factor: float) -> tuple[list[float], int, int]:
    """Play ten customers, one of which sends a multiple of its share after a while.

    :return: seconds to the first event of the others, sorted, how many of them were
        refused, and how many asked.
    """
    random = Random(11)
    site = Slots(80)
    firsts: list[float] = []
    refused = asked = 0
    ends: list[tuple[float, str]] = []
    now = NOW

    def served(each: AdmissionRequest, at: float) -> None:
        if each.customer != "0" and each.arrived_at >= NOW + USUAL_TIME:
            firsts.append(at - each.arrived_at + FIRST_EVENT)
        heapq.heappush(ends, (at + random.uniform(0.5, 1.5), each.customer))

    while now < NOW + SECONDS:
        present = factor if now >= NOW + USUAL_TIME else 1.0
        now += random.expovariate(80 * SHARE * (CUSTOMERS - 1 + present))
        while ends and ends[0][0] <= now:
            at, ended = heapq.heappop(ends)
            site.used -= 1
            site.customers -= Counter([ended])
            site.admission.on_duration("llm", 1.0)
            for each, decision in site.admission.dispatch(at):
                if isinstance(decision, Admitted):
                    served(each, at)
                else:
                    refused += each.customer != "0"
        weights = [present, *[1.0] * (CUSTOMERS - 1)]
        customer = str(random.choices(range(CUSTOMERS), weights)[0])
        asked += customer != "0"
        each = ticket(now, customer=customer)
        decision = site.admission.decide(each, now)
        if isinstance(decision, Admitted):
            served(each, now)
        refused += isinstance(decision, Rejected) and customer != "0"
    return sorted(firsts), refused, asked


def test_surge_of_one_customer_leaves_the_others_first_events_alone():
    usual, _, _ = play_surge(1.0)
    others, refused, asked = play_surge(10.0)
    p95 = int(0.95 * len(others))
    assert others[p95] <= 1.2 * usual[int(0.95 * len(usual))]
    assert refused <= 0.01 * asked
