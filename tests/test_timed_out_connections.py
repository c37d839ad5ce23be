"""Connections that the kernel gives up, and whose server may read later what it got."""

import asyncio
import errno
import os

import pytest

from cyclamenyoke.adapters.http_connection import HttpConnection, ResponseFailed
from cyclamenyoke.adapters.read_pacer import ReadPacer
from cyclamenyoke.core.request_delivery import Attempt, AttemptOutcome


class Transport(asyncio.Transport):
    """A transport that carries nothing."""

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        pass

    def close(self):
        pass

    pause_reading = resume_reading = close


async def failure_of(error: OSError | None) -> ResponseFailed:
    """Return how a request fails whose connection is lost by an error."""
    connection = HttpConnection(lambda _: None, ReadPacer())
    connection.connection_made(Transport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n", b"GET", lambda head: True)
    connection.connection_lost(error)
    event = await connection.receive()
    assert isinstance(event, ResponseFailed)
    return event


# Guards against copies at a silent engine that the retry budget does not count.
@pytest.mark.parametrize("number", ["ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"])
async def test_connection_that_timed_out_is_not_ended_by_its_server(number):
    code = getattr(errno, number)
    event = await failure_of(OSError(code, os.strerror(code)))
    assert not event.is_closed
    attempt = Attempt("engine", 0.0, 0, outcome=AttemptOutcome.INCOMPLETE)
    attempt.is_closed_by_endpoint = event.is_closed
    assert attempt.is_unanswered


@pytest.mark.parametrize("error", [None, ConnectionResetError(errno.ECONNRESET, "")])
async def test_connection_that_is_closed_or_reset_is_ended_by_its_server(error):
    assert (await failure_of(error)).is_closed
