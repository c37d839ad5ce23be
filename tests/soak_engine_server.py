"""Serves an engine of the soak inside a test's own event loop."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def serving(engine):
    """Serve at an address, until all connections have ended."""
    connections = set()

    async def serve(reader, writer):
        connections.add(asyncio.current_task())
        await engine.serve(reader, writer)
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    server = await asyncio.start_server(serve, "127.0.0.1")
    async with server:
        yield server.sockets[0].getsockname()
        await asyncio.gather(*connections)
