"""The ``cyclamenyoked`` command, which runs one daemon or the demo."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from cyclamenyoke import __version__
from cyclamenyoke.adapters.clock import SystemClock
from cyclamenyoke.adapters.gossip_transport import limit_pynng_threads
from cyclamenyoke.adapters.logs import install_logs
from cyclamenyoke.daemon.node import Node
from cyclamenyoke.daemon.settings import Settings, load_settings
from cyclamenyoke.exceptions import CyclamenyokeError

app = App(
    name="cyclamenyoked",
    version=__version__,
    help="Balances load for groups of expert-parallel model engines.",
)


@app.command(name="run")
def run_daemon(
    settings: Path,
    *,
    check: Annotated[bool, Parameter(negative="")] = False,
) -> int:
    """Run one daemon until it receives SIGTERM or SIGINT.

    :param settings: the YAML settings file.
    :param check: validate the settings file and exit.
    """
    loaded = load_settings(settings)
    loaded.read_shared_key()
    if check:
        print(f"{settings}: settings are valid")
        return 0
    install_logs(loaded.log_level)
    limit_pynng_threads()
    asyncio.run(_serve(loaded))
    return 0


@app.command
def demo() -> int:
    """Run a demo session on loopback: platform, engines, entries and agents."""
    from cyclamenyoke.daemon.demo import run_demo

    return asyncio.run(run_demo())


async def _serve(settings: Settings) -> None:
    node = Node(settings, SystemClock())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.stop)
    await node.run()


def run() -> None:
    """Run the command and exit with its code."""
    try:
        sys.exit(app())
    except CyclamenyokeError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    run()
