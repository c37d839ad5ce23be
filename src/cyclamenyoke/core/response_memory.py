"""Bounds the memory that responses occupy until they are complete.

The load that this answers: many endpoints that send bodies without end at the same
time. A limit for each response alone would have to be small to bound their sum.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class ResponseMemory:
    """Memory for the responses that a node holds.

    >>> memory = ResponseMemory(limit=10)
    >>> memory.reserve(8), memory.reserve(4)
    (True, False)
    >>> memory.release(8)
    >>> memory.reserve(4)
    True

    :param limit: bytes that all responses may occupy together.
    """

    limit: int
    _reserved: int = 0

    @property
    def reserved(self) -> int:
        """Bytes that are occupied now."""
        return self._reserved

    def reserve(self, size: int) -> bool:
        """Reserve a number of bytes; return false if they exceed the limit."""
        if self._reserved + size > self.limit:
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self._reserved -= size
