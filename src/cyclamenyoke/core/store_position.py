"""Positions in the history of the platform's store."""

from typing import NamedTuple

from cyclamenyoke.core.decoding import Integer64


class StorePosition(NamedTuple):
    """A point in the store's history; later points compare greater.

    A store that is restored from an older copy assigns revisions a second time, so a
    revision alone does not order two states.

    >>> StorePosition(1, 90) < StorePosition(2, 40) < StorePosition(2, 41)
    True

    :param era: increases each time the store is restored from an older copy; 0 if the
        store does not state it.
    :param revision: the store's revision within that era.
    """

    era: Integer64 = 0
    revision: Integer64 = 0


START = StorePosition()
"""The position before the first change."""
