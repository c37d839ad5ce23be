"""The loopback networks from which gateways of a run get their addresses.

Networks 127.1 to 127.254 can be used; the store, engines and links listen there as
well. A run holds its network alone, until its process ends.
"""

import itertools
import re
import socket
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, closing, contextmanager

LOCK_PORT = 8200
"""Port of the first address that a run binds; gateways use others."""

FIRST_SERVICE_PORT = 20_000
"""First port of the store, engines and links, which get one each; the system gives none
of these to outgoing connections."""

FIRST, LAST = 1, 254
"""Second numbers of the networks."""


class InvalidNetwork(ValueError):
    """The text names no network that a run can use."""

    def __init__(self, text: str) -> None:
        super().__init__(
            f"network {text!r}: expected 127.N with N from {FIRST} to {LAST}, "
            f"such as 127.20"
        )


class NetworkInUse(Exception):
    """Another process has an address of the network.

    :param network: first two numbers of its addresses.
    :param address: the address that is taken.
    """

    def __init__(self, network: str, address: str) -> None:
        super().__init__(
            f"network {network} is in use: {address} is taken, by another run or by a "
            f"gateway that one has left; choose another with --network"
        )


def parse_network(text: str) -> str:
    """Return a network as the first two numbers of its addresses.

    :raises InvalidNetwork: when it is none, or none that gateways can have.
    """
    match = re.fullmatch(r"127\.([1-9]\d{0,2})", text, re.ASCII)
    if match is None or not FIRST <= int(match[1]) <= LAST:
        raise InvalidNetwork(text)
    return text


def gateway_ip(network: str, number: int) -> str:
    """Return the address of a gateway by its number, from 0."""
    return f"{network}.{number // 200}.{number % 200 + 1}"


def service_addresses(network: str) -> Iterator[str]:
    """Return addresses for the store, engines and links, each of them once."""
    for port in itertools.count(FIRST_SERVICE_PORT):
        yield f"{network}.255.1:{port}"


@contextmanager
def hold(network: str, gateways: int, ports: Iterable[int]) -> Iterator[None]:
    """Hold a network alone. The system ends that when this process dies.

    :param gateways: number of gateways whose ports must be free.
    :param ports: TCP ports on which each of them listens.
    :raises InvalidNetwork: when it is none.
    :raises NetworkInUse: when another run holds it, or something listens there.
    """
    parse_network(network)
    first = gateway_ip(network, 0)
    with ExitStack() as stack:
        lock = stack.enter_context(closing(socket.socket()))
        _bind(lock, network, first, LOCK_PORT)
        for port in ports:
            for number in range(gateways):
                _check_free(network, gateway_ip(network, number), port)
        yield


def free_network(numbers: Iterable[int]) -> str:
    """Return the first network that no run holds.

    :raises NetworkInUse: the error of the last one, when all are held.
    """
    error: NetworkInUse | None = None
    for number in numbers:
        network = f"127.{number}"
        try:
            with hold(network, 0, ()):
                return network
        except NetworkInUse as caught:
            error = caught
    raise error or InvalidNetwork("")


def _check_free(network: str, ip: str, port: int) -> None:
    with closing(socket.socket()) as probe:
        # Closed connections of the run before don't take the address.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _bind(probe, network, ip, port)


def _bind(sock: socket.socket, network: str, ip: str, port: int) -> None:
    try:
        sock.bind((ip, port))
    except OSError as error:
        raise NetworkInUse(network, f"{ip}:{port}") from error
