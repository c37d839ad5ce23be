"""Runs one stand-in as a process: ``python -m cyclamenyoke.standins``."""

import asyncio
import signal
from random import Random
from typing import Any

from cyclopts import App

from cyclamenyoke.adapters.http_server import HttpServer
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.standins.deployment import LOOPBACK
from cyclamenyoke.standins.endpoint import StandInEndpoint
from cyclamenyoke.standins.platform import StandInPlatform

app = App(name="python -m cyclamenyoke.standins", help="Runs one stand-in.")


@app.command
def platform(port: int, *, host: str = LOOPBACK, seed: int = 1) -> None:
    """Run a stand-in for the platform's key-value store.

    :param host: address at which it listens.
    :param seed: the random seed of its faults.
    """
    asyncio.run(_serve(StandInPlatform(Random(seed)).application(), host, port))


@app.command
def endpoint(port: int, *, token_time: float = 5 * MILLISECOND) -> None:
    """Run a stand-in for a model engine and a plain service.

    :param token_time: seconds between two tokens.
    """
    asyncio.run(_serve(StandInEndpoint(token_time), LOOPBACK, port))


async def _serve(application: Any, host: str, port: int) -> None:
    server = HttpServer(application, host, port)
    await server.start()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await server.stop()


if __name__ == "__main__":
    app()
