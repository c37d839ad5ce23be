import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressConnection, IngressServer
from cyclamenyoke.core.units import KIBIBYTE


async def handle(request, responder):
    responder.respond(200)


def head(length: int, *lines: bytes) -> bytes:
    """Return the head of a POST request with a body of the length."""
    fields = [b"Host: a", b"Content-Length: %d" % length, *lines]
    return b"\r\n".join([b"POST /a HTTP/1.1", *fields, b"", b""])


@pytest.fixture
def server():
    return IngressServer(handle, BootClock(), lambda refusal: None, print)


def test_bytes_of_an_incomplete_body_are_counted_as_held(server):
    connection = IngressConnection(server)
    connection.data_received(head(8 * KIBIBYTE) + bytes(4 * KIBIBYTE))
    assert 4 * KIBIBYTE <= connection.held_bytes < 5 * KIBIBYTE
