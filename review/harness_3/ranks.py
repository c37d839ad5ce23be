"""The model engines of one zone: ``harness_3.ranks CONTROL RECORD ID=ADDRESS ...``.

All engines of the zone are in one process, so that they end together. Orders come as
lines over a connection to CONTROL: ``break ID`` when an engine of the group is down,
and ``open`` once the group has formed again.
"""

import argparse
import asyncio
import json
import time

from harness_3.http_io import Message, encode, read_body, read_head

STALL = 1.5
SLOTS, QUEUE = 6, 24


class Group:
    """Whether the group runs passes.

    :param missing: id of the engine that is down; empty while the group is open.
    """

    def __init__(self, is_forming: bool) -> None:
        self.missing = "forming" if is_forming else ""
        self._stalls_until = 0.0
        self._changed = asyncio.Event()
        if is_forming:
            self._changed.set()

    def break_up(self, missing: str) -> None:
        """Stop all passes; what is at work is cut off after the stall."""
        self.missing = missing
        self._stalls_until = time.monotonic() + STALL
        self._changed.set()

    def open(self) -> None:
        """Begin passes again."""
        self.missing = ""
        self._changed.clear()

    async def work(self, seconds: float) -> bool:
        """Work for some time; return false, after the stall, if the group broke."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return True
        await asyncio.sleep(max(0.0, self._stalls_until - time.monotonic()))
        return False


class Engine:
    """One engine."""

    def __init__(self, id_: str, group: Group, options: argparse.Namespace) -> None:
        self._id = id_
        self._group = group
        self._options = options
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                await self._answer(request, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        fields = [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Instance-Id", self._id),
        ]
        if request.headers.get("x-target-instance", "") != self._id:
            writer.write(encode("HTTP/1.1 421 Status", fields))
            return
        if self._held >= SLOTS + QUEUE:
            refusal = [*fields, ("X-Not-Executed", "1")]
            writer.write(encode("HTTP/1.1 503 Status", refusal))
            return
        self._held += 1
        try:
            async with self._slots:
                await self._run(request, fields, reader, writer)
        finally:
            self._held -= 1

    async def _run(
        self,
        request: Message,
        fields: list[tuple[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._group.missing and not await self._group.work(0.01):
            refusal = [("X-Not-Executed", "1"), ("At-Server", self._group.missing)]
            writer.write(encode("HTTP/1.1 503 Status", fields + refusal))
            return
        options = self._options
        fields = [*fields, ("X-Response-Signature", f"signed-{self._id}")]
        fields += [("Content-Type", "text/event-stream")]
        head = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
        head += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, options.events + 1):
            is_first = number == first
            seconds = options.prefill if is_first else options.interval
            if not await self._group.work(seconds) or reader.at_eof():
                raise ConnectionResetError
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def obey(
    group: Group, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Carry out the orders of one connection."""
    while line := (await reader.readline()).decode().split():
        if line[0] == "break":
            group.break_up(line[1])
        else:
            group.open()
        writer.write(b"done\n")


async def main() -> None:
    """Serve for ever."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("control")
    parser.add_argument("record")
    parser.add_argument("engines", nargs="+")
    parser.add_argument("--forming", action="store_true", help="not open yet")
    parser.add_argument("--events", type=int, default=28)
    parser.add_argument("--prefill", type=float, default=0.35)
    parser.add_argument("--interval", type=float, default=0.045)
    options = parser.parse_args()
    group = Group(options.forming)
    servers = []
    for entry in options.engines:
        id_, _, address = entry.partition("=")
        host, _, port = address.rpartition(":")
        engine = Engine(id_, group, options)
        servers.append(
            await asyncio.start_server(engine.serve, host, int(port), backlog=512)
        )
    host, _, port = options.control.rpartition(":")

    async def on_control(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await obey(group, reader, writer)

    servers.append(await asyncio.start_server(on_control, host, int(port)))
    with open(options.record, "a") as record:
        record.write(json.dumps({"started": options.engines}) + "\n")
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(main())
