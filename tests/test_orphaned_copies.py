"""Copies that ended nodes left at frozen engines, in the budget of all nodes."""

import pytest

from cyclamenyoke.core.orphaned_copies import (
    COPY_LIFETIME_WINDOWS,
    MAX_NOTICES,
    MAX_ORPHANS,
    OrphanedCopies,
    OrphanNotice,
)
from cyclamenyoke.core.retry_budget import WindowedRetryBudget

WINDOW = 10.0
RATIO, FIXED = 0.2, 40.0
NODES = 8
RATE = 60
FROZEN_AT, WOKEN_AT = 12.0, 25.5
KILLED_AT = (20.5, 23.1, 26.0, 28.6)
ENGINE = "i-1"
COPIES = {"app": {ENGINE: 5}}


class Node:
    """One start of a node: its budget, and what it knows of others."""

    def __init__(self, number, incarnation, now):
        self.ip = f"10.0.0.{number}"
        self.incarnation = incarnation
        self.started_at = now
        self.budget = WindowedRetryBudget(RATIO, FIXED, WINDOW, now)
        self.orphans = OrphanedCopies(lambda: WINDOW)

    def retry(self, now, is_frozen):
        part = self.orphans.count("app", now) / NODES
        # As for parts of the fixed number in Peers.budget_part.
        has_part = not self.started_at or now >= self.started_at + WINDOW
        if not self.budget.take(now, NODES, has_part, part):
            return False
        if is_frozen:
            self.budget.on_repeated(ENGINE, now - 0.25, now)
        return True

    def hear(self, now):
        self.budget.on_heard(ENGINE, now, now)
        self.orphans.on_heard("app", ENGINE, now)


def kill_all(nodes, incarnation, now):
    nodes[:] = [Node(number, incarnation, now) for number in range(NODES)]


def kill_all_but_one(nodes, incarnation, now, is_told):
    survivor = nodes[0]
    for number in range(1, NODES):
        killed = nodes[number]
        if is_told:
            told = {"app": killed.budget.copies(now)}
            survivor.orphans.adopt(killed.ip, killed.incarnation, told, now)
        nodes[number] = Node(number, incarnation, now)
    running = {each.ip: each.incarnation for each in nodes}
    for node in nodes[1:]:
        node.orphans.merge(survivor.orphans.notices(now), running, now)


def most_arrivals_beyond_the_first(
    is_told, killed_at=KILLED_AT, has_survivor=True, used_after_kills=NODES
):
    """Return the most of them in a window, while each retry that is allowed is sent.

    Copies that a frozen engine holds arrive once it runs again.

    :param used_after_kills: number of nodes that callers use after the last kill.
    """
    nodes = [Node(number, 0, 0.0) for number in range(NODES)]
    kills, arrivals = list(killed_at), []
    for number in range(int(45 * RATE)):
        now = number / RATE
        if kills and now >= kills[0]:
            killed, incarnation = kills.pop(0), len(arrivals) + 1
            if has_survivor:
                kill_all_but_one(nodes, incarnation, killed, is_told)
            else:
                kill_all(nodes, incarnation, killed)
        is_frozen = FROZEN_AT <= now < WOKEN_AT
        node = nodes[number % (NODES if kills else used_after_kills)]
        node.budget.on_first_attempt(now)
        if not is_frozen:
            node.hear(now)
        while node.retry(now, is_frozen):
            arrivals.append(WOKEN_AT if is_frozen else now)
    return max(sum(at - WINDOW < each <= at for each in arrivals) for at in arrivals)


ALLOWED = RATIO * RATE * WINDOW + FIXED


# Guards against starts that spend what their killed predecessors left at an engine.
def test_copies_that_killed_nodes_left_at_a_frozen_engine_keep_the_budget():
    assert most_arrivals_beyond_the_first(is_told=True) <= ALLOWED


def test_run_detects_starts_that_do_not_know_of_such_copies():
    assert most_arrivals_beyond_the_first(is_told=False) > ALLOWED


# Guards against copies that nobody counts since all who knew of them have ended.
@pytest.mark.parametrize("killed_at", [20.5, 25.0, 25.4])
def test_copies_of_nodes_that_all_end_at_once_keep_the_budget(killed_at):
    most = most_arrivals_beyond_the_first(False, [killed_at], has_survivor=False)
    assert most <= ALLOWED


# Guards against parts of such copies that are counted by nodes without callers.
@pytest.mark.parametrize("used", [1, 2, NODES])
def test_copies_keep_the_budget_whichever_nodes_callers_use(used):
    most = most_arrivals_beyond_the_first(True, [25.4], used_after_kills=used)
    assert most <= ALLOWED


def test_copies_count_for_a_window_after_their_engine_was_heard_of():
    orphans = OrphanedCopies(lambda: WINDOW)
    orphans.adopt("10.0.0.2", 1, COPIES, heard_at=0.0)
    orphans.on_heard("app", "another", 5.0)
    orphans.on_heard("other", ENGINE, 5.0)
    assert orphans.count("app", 29.9) == 5
    orphans.on_heard("app", ENGINE, 15.0)
    assert orphans.count("app", 24.9) == 5
    assert orphans.count("app", 25.0) == 0


def test_copies_at_an_engine_that_stays_silent_are_forgotten():
    orphans = OrphanedCopies(lambda: WINDOW)
    orphans.adopt("10.0.0.2", 1, COPIES, heard_at=1.0)
    lifetime = COPY_LIFETIME_WINDOWS * WINDOW
    assert orphans.count("app", 0.9 + lifetime) == 5
    assert orphans.count("app", 1.0 + lifetime) == 0
    # A node that is silent for long is seen again and again.
    orphans.adopt("10.0.0.2", 1, COPIES, heard_at=1.0)
    assert orphans.count("app", 1.0 + lifetime) == 0


def test_copies_that_several_nodes_know_of_count_once():
    here, there = OrphanedCopies(lambda: WINDOW), OrphanedCopies(lambda: WINDOW)
    here.adopt("10.0.0.2", 1, COPIES, heard_at=0.0)
    there.adopt("10.0.0.2", 1, {"app": {ENGINE: 4}}, heard_at=0.0)
    for _ in range(3):
        here.merge(there.notices(1.0), {}, 1.0)
        there.merge(here.notices(1.0), {}, 1.0)
    assert here.count("app", 1.0) == there.count("app", 1.0) == 5


def test_node_that_runs_counts_its_copies_itself():
    orphans = OrphanedCopies(lambda: WINDOW)
    orphans.adopt("10.0.0.2", 1, COPIES, heard_at=0.0)
    orphans.disown("10.0.0.2", 1)
    assert orphans.count("app", 1.0) == 0
    notice = OrphanNotice("10.0.0.2", 1, "app", ENGINE, 5, 20.0)
    orphans.merge([notice], {"10.0.0.2": 1}, 1.0)
    assert orphans.count("app", 1.0) == 0
    # Its start before has ended.
    orphans.merge([notice], {"10.0.0.2": 2}, 1.0)
    assert orphans.count("app", 1.0) == 5


def test_notices_and_what_is_remembered_are_bounded():
    orphans = OrphanedCopies(lambda: WINDOW)
    for number in range(MAX_ORPHANS + 10):
        copies = {"app": {f"i-{number}": 1 + number}}
        orphans.adopt("10.0.0.2", 1, copies, heard_at=0.0)
    notices = orphans.notices(1.0)
    assert len(notices) == MAX_NOTICES
    assert notices[0].count == MAX_ORPHANS
    notice = OrphanNotice("10.0.0.9", 1, "app", ENGINE, 7, 1e9)
    empty = OrphanedCopies(lambda: WINDOW)
    empty.merge([notice], {}, 1.0)
    assert empty.count("app", 1.0 + COPY_LIFETIME_WINDOWS * WINDOW) == 0
