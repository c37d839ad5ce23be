"""Runs a module whose TCP connections leave from its own address.

On a real machine a gateway connects from the machine's address; on loopback all would
come from the same one.

Run with ``python -m process_soak.bound_process IP MODULE ARGUMENTS``.
"""

import asyncio
import runpy
import socket
import sys
from typing import Any

IP_BIND_ADDRESS_NO_PORT = 24
"""Socket option: the port is chosen with the connection. Python does not name it."""


class BoundEventLoop(asyncio.SelectorEventLoop):
    """Connects from one address."""

    ip = ""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect a socket."""
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((self.ip, 0))
        await super().sock_connect(sock, address)


class BoundPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes such loops."""

    _loop_factory = BoundEventLoop


if __name__ == "__main__":
    BoundEventLoop.ip, module, *arguments = sys.argv[1:]
    sys.argv[1:] = arguments
    asyncio.set_event_loop_policy(BoundPolicy())
    runpy.run_module(module, run_name="__main__", alter_sys=True)
