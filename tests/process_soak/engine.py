"""One engine, or one server of a plain service, as a process.

It records each request that arrives (``arrived``, with ``result`` ``run`` or
``refused``), when it begins to work on it (``began``), when it writes the first event
of a stream (``wrote``), and how that ends (``left``):
``answered``; ``failed``, an answer with status 500; ``misstated_503`` and the like, one
with a status that callers take as "not run"; ``malformed``, an answer whose head
is not HTTP; ``reset``, the engine itself broke off; ``dropped``, the gateway closed the
connection; ``expired`` at the deadline.

Run with ``python -m process_soak.engine``. ``POST /faults`` sets :class:`EngineFaults`.
"""

import argparse
import asyncio
import socket
import struct
import time
import zlib
from http import HTTPStatus
from pathlib import Path
from random import Random

import msgspec

from process_soak.endless import SHAPES
from process_soak.record import FOREVER, Record
from process_soak.stream_shape import StreamCourse, StreamShape

MAX_QUEUED_PER_SLOT = 4
"""Requests per slot that wait for one; more are refused."""

SIGNATURE = "X-Response-Signature"
FAULTS_PATH = "/faults"
MISSTATING_STATUSES = (408, 429, 503)


class EngineFaults(msgspec.Struct):
    """What an engine does wrong.

    :param reset: share of requests whose connection is reset before the answer.
    :param close: share of requests whose connection is closed before the answer.
    :param close_idle: share of answers after which the connection is closed.
    :param fail: share of requests that are run and answered with status 500.
    :param misstate: share of requests that are run and answered with a status that
        callers take as "not run".
    :param refuse: share of requests that are refused as not run.
    :param malform: share of requests that are run and answered with a malformed head.
    :param slowness: factor on the time of each request.
    :param endless: shape of the responses if they never end; see
        :mod:`process_soak.endless`.
    """

    reset: float = 0.0
    close: float = 0.0
    close_idle: float = 0.0
    fail: float = 0.0
    misstate: float = 0.0
    refuse: float = 0.0
    malform: float = 0.0
    slowness: float = 1.0
    endless: str = ""


MALFORMED_HEADS = (
    (b"HTTP/1.1 200 ", b"HTTP/1.1 000 "),
    (b"HTTP/1.1 200 ", b"HTTP/1.1 099 "),
    (b"HTTP/1.1 200 ", b"HTTP/1.1 600 "),
    (b"HTTP/1.1 200 ", b"HTTP/2.0 200 "),
    (b"\r\n", b"\r\nX Field: v\r\n"),
    (b"\r\n", b"\r\nX\x01Field: v\r\n"),
    (b"\r\n", b"\r\nX-Field: a\x00b\r\n"),
    (b"\r\n", b"\r\nTransfer-Encoding: gzip\r\n"),
)
"""What is replaced in a proper head, by what."""


class Broken(Exception):
    """The engine breaks the connection off."""


class Request(msgspec.Struct):
    """One request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("x-request-id", "")


def plain_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return f"answer to {request_id} ".encode() * 16


def stream_event(request_id: str, number: int, last: int, padding: int = 0) -> bytes:
    """Return one event of a stream.

    :param padding: bytes by which it is longer.
    """
    text = request_id + "." * padding
    return f"id: {number}\ndata: {text} {number}/{last}\n\n".encode()


class Engine:
    """An engine that runs as many requests at once as it has slots.

    :param work: seconds that a plain request takes, or a stream until its first event.
    :param events: events of a stream; 0 for a plain service.
    :param interval: seconds between two events.
    :param shape: what streams are drawn from; all alike without it.
    """

    def __init__(
        self,
        id_: str,
        service: str,
        slots: int,
        work: float,
        events: int,
        interval: float,
        record: Record,
        random: Random,
        shape: StreamShape | None = None,
    ) -> None:
        self._id = id_
        self._service = service
        self._slots = asyncio.Semaphore(slots)
        self._max_waiting = slots * MAX_QUEUED_PER_SLOT
        self._waiting = 0
        self._work = work
        self._events = events
        self._interval = interval
        self._shape = shape
        self._record = record
        self._random = random
        self._faults = EngineFaults()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one connection."""
        requests: asyncio.Queue[Request | None] = asyncio.Queue()
        reading = asyncio.create_task(self._read(reader, requests))
        try:
            while (request := await requests.get()) is not None:
                await self._handle(request, reading, writer)
        except (Broken, ConnectionError):
            pass
        finally:
            reading.cancel()
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, requests: asyncio.Queue[Request | None]
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").strip().split("\r\n")
                pairs = (line.partition(": ") for line in lines)
                headers = {name.lower(): value for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = first.split()
                requests.put_nowait(
                    Request(method, path, headers, body, time.monotonic())
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            requests.put_nowait(None)

    async def _handle(
        self,
        request: Request,
        reading: asyncio.Task[None],
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.path == FAULTS_PATH:
            self._faults = msgspec.json.decode(request.body, type=EngineFaults)
            self._write(writer, request, 200, [], b"")
            return
        is_full = self._waiting >= self._max_waiting
        is_other = request.headers.get("x-target-instance", self._id) != self._id
        if is_full or is_other or self._random.random() < self._faults.refuse:
            status = 421 if is_other else 503
            self._add("arrived", request, "refused", status)
            fields = ["X-Not-Executed: 1", f"X-Instance-Id: {self._id}"]
            self._write(writer, request, status, fields, b"")
            return
        self._add("arrived", request, "run")
        run = self._write_endlessly if self._faults.endless else self._run
        work = asyncio.create_task(run(request, writer))
        try:
            await asyncio.wait({work, reading}, return_when="FIRST_COMPLETED")
            if not work.done():
                # Also while it waits for a slot.
                self._add("left", request, "dropped")
                raise Broken
            self._add("left", request, await work)
        except ConnectionError as error:
            self._add("left", request, "dropped")
            raise Broken from error
        finally:
            work.cancel()
        if self._random.random() < self._faults.close_idle:
            raise Broken

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> str:
        """Work on a request; return how it ended."""
        deadline = int(request.headers.get("x-deadline-ms", 60_000)) / 1000
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + deadline):
                self._waiting += 1
                try:
                    await self._slots.acquire()
                finally:
                    self._waiting -= 1
                try:
                    return await self._answer(request, writer)
                finally:
                    self._slots.release()
        except TimeoutError:
            self._write(writer, request, 504, [f"{SIGNATURE}: {self._id}.0"], b"")
            return "expired"

    async def _write_endlessly(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> str:
        """Write a response that does not end, until the connection does."""
        shape = SHAPES[self._faults.endless]
        if shape.status == HTTPStatus.OK:
            self._add("began", request, "", until=FOREVER)
        writer.write(shape.start(request.id, self._id))
        block = shape.block()
        while True:
            writer.write(block)
            await writer.drain()
            # A peer that reads as fast as this writes must not keep the others waiting.
            await asyncio.sleep(0)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> str:
        faults, draw = self._faults, self._random.random()
        work = self._work * faults.slowness * self._random.uniform(0.7, 1.3)
        first = int(request.headers.get("last-event-id", 0)) + 1
        course = self._draw_course(request, first)
        rest = course.wait + course.pause
        rest += max(0, course.events - first) * self._interval * faults.slowness
        self._add("began", request, "", until=time.monotonic() + work + rest)
        if draw < faults.reset + faults.close:
            self._add("left", request, "reset")
            if draw < faults.reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            raise Broken
        await asyncio.sleep(work + course.wait)
        if self._random.random() < faults.fail:
            self._write(writer, request, 500, [f"{SIGNATURE}: {self._id}.0"], b"")
            return "failed"
        if faults.misstate > 0 and self._random.random() < faults.misstate:
            status = self._random.choice(MISSTATING_STATUSES)
            fields = [f"{SIGNATURE}: {self._id}.0", "Retry-After: 0.1"]
            self._write(writer, request, status, fields, b"")
            return f"misstated_{status}"
        is_malformed = faults.malform > 0 and self._random.random() < faults.malform
        if not self._events:
            body = plain_body(request.id)
            fields = [f"{SIGNATURE}: {self._id}.{zlib.crc32(body)}"]
            self._write(writer, request, 200, fields, body, is_malformed)
            return "malformed" if is_malformed else "answered"
        fields = [f"{SIGNATURE}: {self._id}.0", "Content-Type: text/event-stream"]
        self._write(writer, request, 200, fields, None, is_malformed)
        if is_malformed:
            return "malformed"
        padding = self._shape.padding if self._shape else 0
        for number in range(first, course.events + 1):
            event = stream_event(request.id, number, course.events, padding)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            if number == first:
                self._add("wrote", request, "")
            await writer.drain()
            if number < course.events:
                interval = self._interval * faults.slowness
                await asyncio.sleep(interval + course.rest_after(number))
        writer.write(b"0\r\n\r\n")
        return "answered"

    def _draw_course(self, request: Request, first: int) -> StreamCourse:
        """Return how a stream is written, from its first event that is missing."""
        if self._shape is None:
            return StreamCourse(self._events)
        return self._shape.draw(request.id, self._id, first)

    def _write(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        fields: list[str],
        body: bytes | None,
        is_malformed: bool = False,
    ) -> None:
        """Write a response; without a body the caller writes chunks."""
        length = "Transfer-Encoding: chunked"
        if body is not None:
            length = f"Content-Length: {len(body)}"
        lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {request.id}", length]
        head = "\r\n".join([*lines, *fields, "", ""]).encode()
        if is_malformed:
            head = head.replace(*self._random.choice(MALFORMED_HEADS), 1)
        writer.write(head + (body or b""))

    def _add(
        self,
        what: str,
        request: Request,
        result: str,
        status: int = 0,
        until: float = 0.0,
    ) -> None:
        stated = request.headers.get("x-deadline-ms")
        deadline = request.arrived_at + int(stated) / 1000 if stated else 0.0
        self._record.add(
            what,
            request.arrived_at if what == "arrived" else None,
            process=self._id,
            service=self._service,
            request=request.id,
            result=result,
            status=status,
            deadline=deadline,
            until=until,
            detail=request.headers.get("last-event-id", ""),
        )


async def _main(options: argparse.Namespace) -> None:
    record = Record(options.record)
    random = Random(options.seed)
    sizes = options.slots, options.work, options.events, options.interval
    shape = options.shape and msgspec.json.decode(options.shape, type=StreamShape)
    engine = Engine(options.id, options.service, *sizes, record, random, shape)
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(engine.serve, host, int(port), backlog=512)
    record.add("started", process=options.id)
    await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Runs one engine of the soak.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--record", type=Path, required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--work", type=float, required=True)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--interval", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shape", help="StreamShape as JSON")
    asyncio.run(_main(parser.parse_args()))
