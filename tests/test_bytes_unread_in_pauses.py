"""What has arrived while the process stood still, and is not read as its timers end."""

import asyncio
import collections
import contextlib
import socket
import time
from dataclasses import replace

from cyclamenyoke.adapters.http_connection import connect
from cyclamenyoke.adapters.read_pacer import ReadPacer
from cyclamenyoke.core.graceful_shutdown import MIN_DRAIN_DURATION
from site_fixture import SITE_BOUNDS, caller_headers, encode_request, running_site

PAUSE = 1.8
CROWD = 300


# Guards against engines that are ejected since this process could not see the answer.
async def test_connection_that_is_made_while_the_process_stands_still_is_no_failure():
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    opening = asyncio.create_task(
        connect("127.0.0.1", port, 0.4, lambda closed: None, ReadPacer())
    )
    await asyncio.sleep(0)
    time.sleep(0.8)
    connection = await opening
    connection.close()
    listener.close()


def await_outcome(sock):
    """Return how a connection ended on which one request was sent."""
    sock.settimeout(0.05)
    with sock, contextlib.suppress(ConnectionError, TimeoutError):
        if sock.recv(65536).startswith(b"HTTP/1.1 "):
            return "answered"
        return "closed"
    return "reset or silent"


# Guards against requests that are reset since more callers came than one pass reads.
async def test_all_requests_that_come_while_a_stopping_gateway_stands_still_are_read():
    async with running_site(bounds=replace(SITE_BOUNDS, grace=4.0)) as site:
        gateway, settings, task = site.gateways[0]
        host, _, port = settings.callers.rpartition(":")
        gateway.stop()
        await asyncio.sleep(MIN_DRAIN_DURATION - 0.2)
        sockets = []
        for _ in range(CROWD):
            sock = socket.create_connection((host, int(port)), 5)
            sock.sendall(encode_request("GET", "/lookup/a", caller_headers()))
            sockets.append(sock)
        time.sleep(PAUSE)
        await asyncio.wait_for(task, 5)
        # The transports of the gateway close in the same event loop.
        await asyncio.sleep(0.5)
        outcomes = collections.Counter(await_outcome(sock) for sock in sockets)
        assert outcomes["answered"] == CROWD, outcomes
