"""Bounds the connections of callers, and chooses which one is closed for a new one.

Load: callers that open many connections and leave them idle, beside callers that send
requests. Connections to endpoints, the store and peers share the process's file
descriptors with them.
"""

import enum
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)

RESERVED_FILES = 200
"""File descriptors that are reserved for files."""

INTERNAL_SHARE = 1 / 16
"""Share of the sockets for the store, peers, listening, and connections that have been
accepted but not yet counted."""

DIRECTORY_SHARE = 1 / 8
"""Share of the sockets for connections to the directory; callers may keep them."""

MONITORING_SHARE = 1 / 32
"""Share of the sockets for connections to each of the addresses for readiness and
operators."""

MONITORING_ADDRESSES = 2
"""Addresses for readiness and operators."""


@dataclass(frozen=True, slots=True)
class ConnectionShares:
    """Largest numbers of connections from callers.

    :param callers: at the address that serves callers' requests.
    :param directory: at the address of the directory.
    :param monitoring: at each of the addresses for readiness and operators.
    """

    callers: int
    directory: int
    monitoring: int


def share_descriptors(file_descriptors: int) -> ConnectionShares:
    """Divide the process's file descriptors.

    Each request of a caller may occupy a connection to an endpoint, so callers get half
    of what internal connections and the other addresses leave.

    >>> share_descriptors(1570)
    ConnectionShares(callers=515, directory=171, monitoring=42)
    """
    sockets = max(file_descriptors - RESERVED_FILES, file_descriptors // 2)
    directory = max(1, int(sockets * DIRECTORY_SHARE))
    monitoring = max(1, int(sockets * MONITORING_SHARE))
    internal = int(sockets * INTERNAL_SHARE)
    rest = sockets - internal - directory - MONITORING_ADDRESSES * monitoring
    return ConnectionShares(max(1, rest // 2), directory, monitoring)


class ConnectionUse(enum.Enum):
    """What a connection is used for."""

    NEW = enum.auto()
    """No request has been received as a whole."""
    KEPT = enum.auto()
    """Idle after a response."""
    RECEIVING = enum.auto()
    """The body of a request is being received."""
    HANDLING = enum.auto()
    """A request has been received as a whole and has no complete response."""


CLOSING_ORDER = (ConnectionUse.NEW, ConnectionUse.KEPT, ConnectionUse.RECEIVING)
"""Uses whose connections may be closed for a new one; those of the first go first."""


class ConnectionLimit(Generic[Connection]):
    """Limits the connections of one address.

    :param max_connections: the largest number; ``None`` without a limit.
    """

    def __init__(self, max_connections: int | None = None) -> None:
        self._max_connections = max_connections
        # By use, each in the order in which its connections came to that use.
        self._connections: dict[ConnectionUse, dict[Connection, None]] = {
            use: {} for use in ConnectionUse
        }
        self._uses: dict[Connection, ConnectionUse] = {}
        self._closed_count = 0
        self._refused_count = 0

    @property
    def closed_count(self) -> int:
        """Number of connections that were closed for a new one."""
        return self._closed_count

    @property
    def refused_count(self) -> int:
        """Number of new connections that found no room."""
        return self._refused_count

    @property
    def is_reached(self) -> bool:
        """Whether there is no room for a new connection."""
        limit = self._max_connections
        return limit is not None and len(self._uses) >= limit

    def add(self, connection: Connection) -> None:
        """Count a new connection."""
        self._uses[connection] = ConnectionUse.NEW
        self._connections[ConnectionUse.NEW][connection] = None

    def update(self, connection: Connection, use: ConnectionUse) -> None:
        """Note the use of a connection; one that is not counted is ignored."""
        before = self._uses.get(connection)
        if before is None or before is use:
            return
        del self._connections[before][connection]
        self._connections[use][connection] = None
        self._uses[connection] = use

    def remove(self, connection: Connection) -> None:
        """Stop counting a connection, if it is counted."""
        use = self._uses.pop(connection, None)
        if use is not None:
            del self._connections[use][connection]

    def make_room(self, has_unsent: Callable[[Connection], bool]) -> Connection | None:
        """Return the connection to close for a new one, which is no longer counted.

        It is the one that has been in its use for longest.

        :param has_unsent: returns whether a part of a response is still unsent; such a
            connection stays open.
        :returns: ``None`` if all are in use, so that the new one is refused.
        """
        for use in CLOSING_ORDER:
            for connection in self._connections[use]:
                if not has_unsent(connection):
                    self.remove(connection)
                    self._closed_count += 1
                    return connection
        self._refused_count += 1
        return None
