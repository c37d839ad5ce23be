"""Weighted fair queueing of calls by estimated tokens.

Start-time fair queueing: each call gets a start tag, and the queue serves the
smallest one. A customer's next start tag advances by cost divided by weight, so
backlogged customers are served in proportion to their weights, whatever the number
or size of their calls. Each endpoint has its own queue, so nodes need no coordination.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


def _any_customer(customer: str) -> bool:
    return True


@dataclass(slots=True)
class QueuedItem(Generic[T]):
    """One queued item.

    :param cost: estimated tokens.
    :param start_tag: position in virtual time; the smallest one is served first.
    """

    item: T
    cost: float
    start_tag: float


@dataclass(slots=True)
class Backlog(Generic[T]):
    """One customer's queue.

    :param next_tag: lower bound of the start tag of the customer's next item.
    :param cost: estimated tokens of all its items.
    """

    weight: float
    next_tag: float
    cost: float = 0.0
    items: deque[QueuedItem[T]] = field(default_factory=deque)


class FairQueue(Generic[T]):
    """A queue that serves customers in proportion to their weights.

    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "a3"):
    ...     queue.push("a", 1.0, 10.0, item)
    >>> queue.push("b", 1.0, 10.0, "b1")
    >>> [queue.pop() for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._backlogs: dict[str, Backlog[T]] = {}
        self._heads: list[tuple[float, str]] = []
        self._length = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return self._length

    @property
    def cost(self) -> float:
        """Estimated tokens of all queued items."""
        return self._cost

    @property
    def customers(self) -> set[str]:
        """The customers with queued items."""
        return {name for name, backlog in self._backlogs.items() if backlog.items}

    def cost_of(self, customer: str) -> float:
        """Return the estimated tokens of a customer's queued items."""
        backlog = self._backlogs.get(customer)
        return backlog.cost if backlog else 0.0

    def cost_ahead(self, customer: str, weight: float, cost: float) -> float:
        """Return the estimated tokens that would be served before a new item.

        This is the customer's own queue plus, for each other customer, the queued
        tokens that its weight entitles it to until the new item has been served.
        """
        own = self.cost_of(customer)
        others = sum(
            min(backlog.cost, (own + cost) * backlog.weight / weight)
            for name, backlog in self._backlogs.items()
            if name != customer
        )
        return own + others

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Append an item to its customer's queue.

        :param weight: the customer's weight from now on; items that are already queued
            keep their start tags.
        :param cost: estimated tokens.
        """
        backlog = self._backlogs.get(customer)
        if backlog is None:
            backlog = Backlog(weight, self._virtual_time)
            self._backlogs[customer] = backlog
        backlog.weight = weight
        start_tag = max(self._virtual_time, backlog.next_tag)
        backlog.next_tag = start_tag + cost / weight
        backlog.items.append(QueuedItem(item, cost, start_tag))
        backlog.cost += cost
        self._cost += cost
        self._length += 1
        if len(backlog.items) == 1:
            heapq.heappush(self._heads, (start_tag, customer))

    def pop(self, may_take: Callable[[str], bool] = _any_customer) -> T | None:
        """Remove and return the next item in fair order, or ``None``.

        :param may_take: returns whether an item of a customer may be taken now;
            customers for whom it returns false are skipped.
        """
        skipped: list[tuple[float, str]] = []
        item: T | None = None
        while self._heads and item is None:
            start_tag, customer = heapq.heappop(self._heads)
            backlog = self._backlogs.get(customer)
            if backlog is None or not backlog.items:
                continue
            queued_item = backlog.items[0]
            if queued_item.start_tag != start_tag:
                continue
            if not may_take(customer):
                skipped.append((start_tag, customer))
                continue
            self._virtual_time = max(self._virtual_time, start_tag)
            self._take(customer, backlog, queued_item)
            item = queued_item.item
        for head in skipped:
            heapq.heappush(self._heads, head)
        self._remove_idle()
        return item

    def remove(self, customer: str, item: T) -> bool:
        """Remove an item that was not served; return whether it was queued.

        The customer's later items move up, as if the item had never been queued.
        """
        backlog = self._backlogs.get(customer)
        if backlog is None:
            return False
        for position, queued_item in enumerate(backlog.items):
            if queued_item.item is item:
                unused = queued_item.cost / backlog.weight
                for later in itertools.islice(backlog.items, position + 1, None):
                    later.start_tag -= unused
                backlog.next_tag -= unused
                self._take(customer, backlog, queued_item)
                return True
        return False

    def correct_cost(self, customer: str, difference: float) -> None:
        """Adjust the start tag of a customer's next item to the cost of a served one.

        Has no effect once the customer's idle queue has been removed.

        :param difference: actual minus estimated tokens; may be negative.
        """
        backlog = self._backlogs.get(customer)
        if backlog is not None:
            backlog.next_tag += difference / backlog.weight

    def clear(self) -> list[T]:
        """Remove and return all items."""
        items = [
            queued_item.item
            for backlog in self._backlogs.values()
            for queued_item in backlog.items
        ]
        self._backlogs.clear()
        self._heads.clear()
        self._length = 0
        self._cost = 0.0
        return items

    def _take(
        self, customer: str, backlog: Backlog[T], queued_item: QueuedItem[T]
    ) -> None:
        was_head = backlog.items[0] is queued_item
        backlog.items.remove(queued_item)
        backlog.cost -= queued_item.cost
        self._cost -= queued_item.cost
        self._length -= 1
        if was_head and backlog.items:
            heapq.heappush(self._heads, (backlog.items[0].start_tag, customer))

    def _remove_idle(self) -> None:
        idle = [
            name
            for name, backlog in self._backlogs.items()
            if not backlog.items and backlog.next_tag <= self._virtual_time
        ]
        for name in idle:
            del self._backlogs[name]
