"""Kept connections to endpoints, within what each endpoint accepts."""

from dataclasses import dataclass, field

from cyclamenyoke.adapters.http_connection import (
    ConnectionFailed,
    HttpConnection,
    connect,
)
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.ports.clock import Clock

CONNECT_TIME = 400 * MILLISECOND
"""Longest time for a new connection in seconds: some hundred round trips in a region,
and less than one retransmission of a lost first packet."""

UNSTATED_IDLE = 0.5 * SECOND
"""Seconds for which a connection is kept whose server states no idle timeout."""

IDLE_MARGIN = 0.75 * SECOND
"""Seconds before the server's idle timeout at which a connection is given up: the
server counts from when it wrote, and a request takes time to arrive."""


@dataclass(slots=True)
class HostPool:
    """The connections to one address.

    :param idle: free ones with the time until which they may be used.
    :param total: open ones, idle or not.
    """

    idle: list[tuple[HttpConnection, float]] = field(default_factory=list)
    total: int = 0


class ConnectionPool:
    """Connections by address and endpoint.

    :param clock: one that goes on while the VM is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools: dict[tuple[str, str], HostPool] = {}
        self.opened_count = 0

    async def acquire(
        self, address: str, endpoint: str, most: int, within: float
    ) -> tuple[HttpConnection, bool]:
        """Return a connection and whether it is a kept one.

        :param most: connections that this node may hold to the endpoint.
        :param within: seconds that a new connection may take.
        :raises ConnectionFailed: when there is none; nothing was sent.
        """
        pool = self._pools.setdefault((address, endpoint), HostPool())
        kept = self._take_idle(pool)
        if kept is not None:
            return kept, True
        if pool.total >= most:
            raise ConnectionFailed(f"{address}: all {most} connections are in use")
        host, _, port = address.rpartition(":")
        pool.total += 1

        def forget(connection: HttpConnection) -> None:
            pool.total -= 1
            pool.idle = [entry for entry in pool.idle if entry[0] is not connection]

        self.opened_count += 1
        try:
            connection = await connect(
                host, int(port), min(within, CONNECT_TIME), forget
            )
        except BaseException:
            pool.total -= 1
            raise
        return connection, False

    def release(
        self,
        connection: HttpConnection,
        address: str,
        endpoint: str,
        idle_timeout: float | None,
    ) -> None:
        """Keep a connection for the next request, or close it.

        :param idle_timeout: seconds that the server stated; ``None`` for none.
        """
        pool = self._pools.get((address, endpoint))
        keep = UNSTATED_IDLE
        if idle_timeout is not None:
            keep = max(idle_timeout - IDLE_MARGIN, idle_timeout / 2)
        if pool is None or keep <= 0 or not connection.is_reusable:
            connection.close()
            return
        pool.idle.append((connection, self._clock.now() + keep))

    def drop(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for key in [key for key in self._pools if key[1] == endpoint]:
            for connection, _ in self._pools.pop(key).idle:
                connection.close()

    def close_expired(self) -> None:
        """Close idle connections that are past their time."""
        now = self._clock.now()
        for pool in self._pools.values():
            expired = [entry for entry in pool.idle if entry[1] <= now]
            pool.idle = [entry for entry in pool.idle if entry[1] > now]
            for connection, _ in expired:
                connection.close()

    def _take_idle(self, pool: HostPool) -> HttpConnection | None:
        now = self._clock.now()
        while pool.idle:
            connection, keep_until = pool.idle.pop()
            if connection.is_reusable and now < keep_until:
                return connection
            connection.close()
        return None
