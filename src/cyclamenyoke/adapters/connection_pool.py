"""Keep-alive connections to endpoints, limited per endpoint."""

from dataclasses import dataclass, field

from cyclamenyoke.adapters.http_connection import (
    ConnectionFailed,
    ConnectionRefused,
    HttpConnection,
    connect,
)
from cyclamenyoke.adapters.read_pacer import ReadPacer
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.ports.clock import Clock

CONNECT_TIMEOUT = 400 * MILLISECOND
"""Seconds in which a new connection must be established: about a hundred round trips
in a region, and less than the retransmission timeout of a lost SYN packet."""

DEFAULT_IDLE_LIFETIME = 0.5 * SECOND
"""Seconds for which an idle connection is kept if the server sent no idle timeout."""

IDLE_TIMEOUT_MARGIN = 0.75 * SECOND
"""Seconds before the server's idle timeout at which an idle connection is closed; at
most half of that timeout. The server's timeout starts at its last write, and a request
needs time to reach the server."""


@dataclass(slots=True)
class EndpointPool:
    """The connections to one endpoint at one address.

    :param idle: idle connections with the time at which each expires.
    :param owners: one object for each connection that is being opened, idle or in use.
    """

    idle: list[tuple[HttpConnection, float]] = field(default_factory=list)
    owners: set[object] = field(default_factory=set)

    @property
    def total(self) -> int:
        """Number of connections that are being opened, idle or in use."""
        return len(self.owners)


def _split(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises ConnectionFailed: when the address has no port.
    """
    host, _, port = address.rpartition(":")
    try:
        return host, int(port)
    except ValueError as error:
        raise ConnectionFailed(f"{address!r} is not HOST:PORT") from error


class ConnectionPool:
    """Pools connections by address and endpoint.

    :param clock: must advance while the VM is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools: dict[tuple[str, str], EndpointPool] = {}
        self._pacer = ReadPacer()
        # Attempts to open a connection, including those that failed.
        self.opened_count = 0

    async def acquire(
        self,
        address: str,
        endpoint: str,
        max_connections: int,
        timeout: float,
        request_id: str | None = None,
    ) -> tuple[HttpConnection, bool]:
        """Return an idle or new connection, and whether it was used before.

        :param request_id: id of the request that is to be sent; a connection over which
            one of the same id was refused is not used.
        :param max_connections: limit of this node's connections to the endpoint.
        :param timeout: seconds in which a new connection must be established;
            ``CONNECT_TIMEOUT`` is the upper bound.
        :raises ConnectionFailed: when all connections are in use or a new one could
            not be established; nothing was sent.
        """
        pool = self._pools.setdefault((address, endpoint), EndpointPool())
        reused = self._take_idle(pool, request_id)
        if reused is not None:
            return reused, True
        if pool.total >= max_connections:
            raise ConnectionFailed(
                f"{address}: all {max_connections} connections are in use"
            )
        return await self._open(pool, address, timeout), False

    async def is_refused(
        self, address: str, endpoint: str, max_connections: int, timeout: float
    ) -> bool:
        """Return whether an endpoint refuses a new connection.

        One that it accepts is kept for later requests. Without an answer, or at the
        limit of connections, nothing is known, and the result is false.

        :param timeout: seconds to wait for the answer.
        """
        pool = self._pools.setdefault((address, endpoint), EndpointPool())
        if pool.total >= max_connections:
            return False
        try:
            connection = await self._open(pool, address, timeout)
        except ConnectionRefused:
            return True
        except ConnectionFailed:
            return False
        self.release(connection, address, endpoint, None)
        return False

    async def _open(
        self, pool: EndpointPool, address: str, timeout: float
    ) -> HttpConnection:
        host, port = _split(address)
        owner = object()
        pool.owners.add(owner)

        def remove(connection: HttpConnection) -> None:
            pool.owners.discard(owner)
            pool.idle = [entry for entry in pool.idle if entry[0] is not connection]

        self.opened_count += 1
        try:
            connection = await connect(
                host, port, min(timeout, CONNECT_TIMEOUT), remove, self._pacer
            )
        except BaseException:
            # A connection that was made just before the cancellation also calls remove.
            pool.owners.discard(owner)
            raise
        return connection

    def release(
        self,
        connection: HttpConnection,
        address: str,
        endpoint: str,
        idle_timeout: float | None,
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused.

        :param idle_timeout: seconds announced by the server; ``None`` if it sent none.
        """
        pool = self._pools.get((address, endpoint))
        lifetime = DEFAULT_IDLE_LIFETIME
        if idle_timeout is not None:
            lifetime = max(idle_timeout - IDLE_TIMEOUT_MARGIN, idle_timeout / 2)
        if pool is None or lifetime <= 0 or not connection.is_reusable:
            connection.close()
            return
        pool.idle.append((connection, self._clock.now() + lifetime))

    def close_endpoint(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that no longer exists."""
        for key in [key for key in self._pools if key[1] == endpoint]:
            for connection, _ in self._pools.pop(key).idle:
                connection.close()

    def close_expired(self) -> None:
        """Close idle connections that have expired."""
        now = self._clock.now()
        for pool in self._pools.values():
            expired = [entry for entry in pool.idle if entry[1] <= now]
            pool.idle = [entry for entry in pool.idle if entry[1] > now]
            for connection, _ in expired:
                connection.close()

    def _take_idle(
        self, pool: EndpointPool, request_id: str | None
    ) -> HttpConnection | None:
        now = self._clock.now()
        avoided: list[tuple[HttpConnection, float]] = []
        found: HttpConnection | None = None
        while pool.idle and found is None:
            connection, expires_at = pool.idle.pop()
            if not connection.is_reusable or now >= expires_at:
                connection.close()
            elif request_id is not None and connection.has_refused(request_id):
                avoided.append((connection, expires_at))
            else:
                found = connection
        pool.idle += avoided
        return found
