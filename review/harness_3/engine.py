"""A stand-in for engines: ``python -m harness_3.engine HOST:PORT ID KIND RECORD ...``.

KIND is ``stream`` for a model engine, which sends ``--events`` events ``--interval``
seconds apart, or ``plain`` for a service, which works for ``--work`` seconds. Each line
of the file RECORD tells of one request: when it arrived, began and ended, and how.
"""

import argparse
import asyncio
import json
import time
from random import Random

from harness_3.http_io import Message, encode, read_body, read_head

FAIL_PATH = "/test/fail"


class Engine:
    """Runs each request that names it; never refuses one that does."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._record = open(options.record, "a", buffering=1)  # noqa: SIM115
        self._random = Random(options.id)
        self._fails_until = 0.0

    def _note(self, request: Message, event: str) -> None:
        line = {
            "at": round(time.monotonic(), 4),
            "engine": self._options.id,
            "request": request.headers.get("x-request-id", ""),
            "event": event,
            "last_event_id": request.headers.get("last-event-id"),
        }
        self._record.write(json.dumps(line) + "\n")

    def _choose_status(self) -> int:
        """Return 503 for the stated share of the requests while the engine fails."""
        options = self._options
        is_failing = time.monotonic() < self._fails_until
        is_failure = is_failing and self._random.random() < options.failing_share
        return 503 if is_failure else 200

    async def _fail_for(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Fail for the seconds that the body states; only the test asks for that."""
        self._fails_until = time.monotonic() + float(request.body)
        writer.write(encode("HTTP/1.1 200 OK", []))

    def _fields(self, request: Message) -> list[tuple[str, str]]:
        return [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Instance-Id", self._options.id),
            ("Keep-Alive", "timeout=20"),
        ]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if request.first[1] == FAIL_PATH:
            await self._fail_for(request, writer)
            return
        fields = self._fields(request)
        if request.headers.get("x-target-instance", "") != self._options.id:
            self._note(request, "misdirected")
            writer.write(encode("HTTP/1.1 421 Status", fields))
            return
        if not request.headers.get("x-request-id"):
            writer.write(encode("HTTP/1.1 400 Status", [("X-Not-Executed", "1")]))
            return
        self._note(request, "begun")
        fields.append(("X-Response-Signature", f"signed-{self._options.id}"))
        try:
            if self._options.kind == "stream":
                await self._stream(request, fields, writer)
            else:
                await asyncio.sleep(self._options.work)
                status = self._choose_status()
                self._note(request, f"answered {status}")
                body = f"answer to {request.headers['x-request-id']}".encode()
                writer.write(encode(f"HTTP/1.1 {status} Status", fields, body))
                await writer.drain()
        except OSError:
            self._note(request, "left")
            raise
        self._note(request, "ended")

    async def _stream(
        self,
        request: Message,
        fields: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> None:
        head = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self._options.events + 1):
            await asyncio.sleep(self._options.interval)
            if writer.transport.is_closing():
                raise ConnectionResetError
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main() -> None:
    """Serve for ever."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("id")
    parser.add_argument("kind", choices=("stream", "plain"))
    parser.add_argument("record")
    parser.add_argument("--events", type=int, default=28)
    parser.add_argument("--interval", type=float, default=0.07)
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--failing-share", type=float, default=0.0)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(
        Engine(options).serve, host, int(port), backlog=512
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
