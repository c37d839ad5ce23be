"""Fair queueing of calls, and the shares of customers with queued calls."""

from cyclamenyoke.core.fair_queue import FairQueue
from cyclamenyoke.core.slot_shares import ACTIVE_DURATION, SlotShares


def test_item_removed_unserved_does_not_count_against_its_customer():
    queue = FairQueue()
    for item in ("a1", "a2", "a3"):
        queue.push("a", 1.0, 10.0, item)
    for item in ("a1", "a2"):
        assert queue.remove("a", item)
    queue.push("b", 1.0, 10.0, "b1")
    queue.push("a", 1.0, 10.0, "a4")
    queue.push("b", 1.0, 10.0, "b2")
    assert [queue.pop() for _ in range(5)] == ["a3", "b1", "a4", "b2", None]


def test_customer_whose_items_were_removed_starts_afresh():
    queue = FairQueue()
    for number in range(5):
        queue.push("a", 1.0, 100.0, number)
        queue.remove("a", number)
    queue.push("b", 1.0, 10.0, "b1")
    queue.push("a", 1.0, 10.0, "a1")
    queue.push("b", 1.0, 10.0, "b2")
    assert [queue.pop() for _ in range(3)] == ["a1", "b1", "b2"]


def test_idle_customer_with_a_queued_call_keeps_its_share():
    queue, shares = FairQueue(), SlotShares()
    shares.record_call("a", 1.0, 0.0)
    queue.push("a", 1.0, 10.0, "a1")
    shares.remove_idle(2 * ACTIVE_DURATION, queue.customers)
    assert queue.pop(lambda customer: shares.can_acquire(customer, 4)) == "a1"
    assert shares.acquire("a", 4) == 0
