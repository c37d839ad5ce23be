"""Serves an ASGI application with uvicorn inside a running event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from cyclamenyoke.core.units import MILLISECOND

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted."""

START_POLL_INTERVAL = 5 * MILLISECOND
"""Seconds between two checks whether the server has started."""


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to the daemon."""
        yield


class HttpServer:
    """A listening socket and the ASGI application that serves it.

    :param app: the ASGI application.
    :param port: 0 for any free port.
    """

    def __init__(self, app: Any, ip: str, port: int) -> None:
        config = uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            backlog=LISTEN_BACKLOG,
            http="httptools",
            ws="none",
            server_header=False,
            # Seconds after which an idle connection is closed.
            timeout_keep_alive=30,
        )
        self._server = _Server(config)
        self._socket = _listen(ip, port)
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return int(self._socket.getsockname()[1])

    async def start(self) -> None:
        """Start serving; returns once requests are accepted."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(START_POLL_INTERVAL)
        if self._task.done():
            self._task.result()

    async def stop(self) -> None:
        """Stop accepting connections and wait for the requests in progress."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        self._socket.close()


def _listen(ip: str, port: int) -> socket.socket:
    """Return a listening socket.

    asyncio disables Nagle's algorithm only on sockets created with the protocol
    ``IPPROTO_TCP``, which ``socket.create_server`` does not set. With the algorithm, a
    response sent in two writes waits 40 ms for the peer's delayed acknowledgement.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((ip, port))
    listening.listen(LISTEN_BACKLOG)
    return listening
