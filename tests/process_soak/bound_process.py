"""Runs a module whose TCP connections leave from its own address.

On a real machine a gateway connects from the machine's address; on loopback all would
come from the same one. Imports little, since signals end a process that loads.

Run with ``python -m process_soak.bound_process IP MODULE ARGUMENTS``.
"""

import runpy
import socket
import sys

IP_BIND_ADDRESS_NO_PORT = 24
"""Socket option: the port is chosen with the connection. Python does not name it."""


def bind_connections(ip: str) -> None:
    """Make the TCP connections of this process leave from an address."""
    connect = socket.socket.connect

    def bind_and_connect(sock: socket.socket, address: tuple[str, int]) -> None:
        if sock.type == socket.SOCK_STREAM:
            sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((ip, 0))
        connect(sock, address)

    socket.socket.connect = bind_and_connect


if __name__ == "__main__":
    own_ip, module, *arguments = sys.argv[1:]
    sys.argv[1:] = arguments
    bind_connections(own_ip)
    runpy.run_module(module, run_name="__main__", alter_sys=True)
