"""Callers in one process, each with one connection that it keeps as long as it can.

Callers record each request (``sent``) and how it ended (``ended``): ``answered``, a
complete response; ``cut``, the connection ended without one; ``unconnected``, no
connection was made; ``gave_up`` at the caller's deadline; ``left``, before that;
``mixed``, something that is no answer to this request; ``disordered``, a stream with
events missing, repeated or changed. They go on using a connection to a gateway that is
no longer named, until that closes it.

Run with ``python -m process_soak.callers``.
"""

import argparse
import asyncio
import itertools
import socket
import time
import zlib
from pathlib import Path
from random import Random

import msgspec

from process_soak.engine import SIGNATURE, plain_body, stream_event
from process_soak.record import Record
from process_soak.slow_reading import PROMPT, Reading, SlowReading

HOST = "soak.example"
API_KEY = "key-of-customer"
CONNECT_TIMEOUT = 1.0
RESOLVE_INTERVAL = 1.0
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

PATIENT_SHARE = 0.1
"""Share of callers' requests that wait beyond the timeout of their route."""

PATIENCE = 1.0
"""Seconds that these wait longer."""

VARIANT_SHARE = 0.5
"""Share of the requests that are variants, where there are any."""

USUAL_HEAD_BYTES = 500
"""Bound on the size of the usual head."""

PROBE_INTERVAL = 0.4
"""Seconds between two requests of a probe."""

COMMENT = b":\n\n"
"""What a faulty engine sends between or in place of events."""

DENIALS = frozenset({401, 403, 404})
"""Statuses that say that the configuration does not allow the request."""

MAX_RETRY_SHARE = 1 / 3
"""Share of the time left that a caller waits at most when it is told to."""


class Route(msgspec.Struct, frozen=True):
    """A route of the operator's configuration, as callers use it.

    :param share: share of the requests.
    :param deadline: its timeout; seconds after which most callers give up.
    :param patience: seconds without an event after which they leave a stream.
    :param first_patience: the same before its first event, 0 for the deadline.
    """

    name: str
    kind: str
    service: str
    share: float
    deadline: float
    patience: float = 0.0
    first_patience: float = 0.0

    @property
    def method(self) -> str:
        """The method of its requests."""
        return "GET" if self.kind == "safe" else "POST"


class Variant(msgspec.Struct, frozen=True):
    """What makes a request one that only some versions of a configuration allow.

    :param key: number of its API key; see :func:`api_key`.
    :param head_bytes: bound on the size of its head, 0 for the usual one.
    :param body_bytes: size of its body, 0 for the usual one; only if it has one.
    """

    key: int = 0
    head_bytes: int = 0
    body_bytes: int = 0


USUAL = Variant()

SLOW_BUFFER_BYTES = 1024
"""Bound on the bytes that a slow caller holds unread; more than the head of a response
has."""


def api_key(number: int) -> str:
    """Return the customer's API key with a number; the first has 0."""
    return f"{API_KEY}-{number}" if number else API_KEY


class OneAddress:
    """Names one gateway only, whether it is there or not."""

    def __init__(self, address: str) -> None:
        self.addresses = [address]


class Directory:
    """The gateways' addresses, as one of the gateways names them."""

    def __init__(self, directories: list[str], random: Random) -> None:
        self._directories = directories
        self._random = random
        self.addresses: list[str] = []

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            for address in self._random.sample(
                self._directories, min(3, len(self._directories))
            ):
                addresses = await self._ask(address)
                if addresses:
                    self.addresses = addresses
                    break
            await asyncio.sleep(RESOLVE_INTERVAL)

    async def _ask(self, address: str) -> list[str]:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"
                    request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
                    writer.write(request.encode())
                    response = await read_head(reader)
                    if response.status != 200:
                        return []
                    size = int(response.headers["content-length"])
                    body = await reader.readexactly(size)
                    return list(msgspec.json.decode(body)["addresses"])
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError, ValueError):
            return []


class Head(msgspec.Struct):
    """The head of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]


class Mixed(Exception):
    """The response is none to this request, or is damaged."""


class Disordered(Exception):
    """The events of a stream are not those of the engine, in their order."""


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a response.

    :raises EOFError: when the connection ends before it is complete.
    :raises Mixed: when it is none.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError as error:
        raise Mixed("endless head") from error
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    version, _, status = first.partition(" ")
    if version != "HTTP/1.1" or not status[:3].isdecimal():
        raise Mixed(first[:80])
    pairs = (line.partition(": ") for line in lines)
    return Head(int(status[:3]), {name.lower(): value for name, _, value in pairs})


class Caller:
    """One caller with one connection at a time."""

    def __init__(
        self,
        name: str,
        routes: list[Route],
        think_time: float,
        leave_share: float,
        directory: Directory | OneAddress,
        record: Record,
        random: Random,
        connections: itertools.count,
        variants: list[Variant],
        padding: int = 0,
        slow_reading: SlowReading | None = None,
    ) -> None:
        self._name = name
        self._padding = padding
        is_slow = slow_reading is not None and slow_reading.is_slow(name)
        self._slow_reading = slow_reading if is_slow else None
        self._variants = variants
        self._variant = USUAL
        self._routes = routes
        self._think_time = think_time
        self._leave_share = leave_share
        self._directory = directory
        self._record = record
        self._random = random
        self._connections = connections
        self._numbers = itertools.count(1)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._gateway = ""
        self._connection = 0
        self._uses = 0

    async def run(self, until: float) -> None:
        """Send requests until a time by the monotonic clock."""
        shares = [route.share for route in self._routes]
        while time.monotonic() < until:
            think_time = self._random.expovariate(1 / self._think_time)
            if time.monotonic() + think_time >= until:
                break
            await asyncio.sleep(think_time)
            if not self._directory.addresses:
                continue
            route = self._random.choices(self._routes, shares)[0]
            deadline = time.monotonic() + route.deadline
            if self._random.random() < PATIENT_SHARE:
                deadline += PATIENCE
            retry_after = await self._request(route, deadline)
            if retry_after is not None:
                await asyncio.sleep(retry_after)
                self._close()
                await self._request(route, deadline)
        self._close()

    async def _request(self, route: Route, deadline: float) -> float | None:
        """Send one request; return the seconds after which it may be sent once more."""
        request_id = f"{self._name}-{next(self._numbers)}"
        self._variant = self._draw_variant(route)
        try:
            await self._connect()
        except (OSError, TimeoutError) as error:
            self._close()
            self._add("ended", route, request_id, deadline, "unconnected", 0, error)
            return 0.0
        self._add("sent", route, request_id, deadline, detail=route.name)
        self._uses += 1
        left = max(0.0, deadline - time.monotonic())
        is_leaving = self._random.random() < self._leave_share
        timeout = left * self._random.uniform(0.0, 0.5) if is_leaving else left
        result, status, detail, headers = "answered", 0, "", {}
        signer = ""
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(self._encode(route, request_id, left))
                await self._writer.drain()
                async with asyncio.timeout(route.first_patience or None):
                    head = await read_head(self._reader)
                status, headers = head.status, head.headers
                signer = headers.get(SIGNATURE.lower(), "").rpartition(".")[0]
                await self._read_body(route, request_id, head)
        except TimeoutError:
            result = "left" if is_leaving else "gave_up"
        except (Mixed, ValueError) as error:
            result, detail = "mixed", str(error)
        except Disordered as error:
            result, detail = "disordered", str(error)
        except (OSError, EOFError) as error:
            result, detail = "cut", repr(error)
        self._add("ended", route, request_id, deadline, result, status, detail, signer)
        if result != "answered" or headers.get("connection") == "close":
            self._close()
        return self._retry_after(route, result, status, headers, deadline)

    def _draw_variant(self, route: Route) -> Variant:
        if not self._variants or self._random.random() >= VARIANT_SHARE:
            return USUAL
        has_body = route.method != "GET"
        variants = [each for each in self._variants if has_body or not each.body_bytes]
        return self._random.choice(variants)

    def _retry_after(
        self,
        route: Route,
        result: str,
        status: int,
        headers: dict[str, str],
        deadline: float,
    ) -> float | None:
        left = deadline - time.monotonic()
        if status in PROMISES:
            stated = float(headers.get("retry-after", 0))
            return min(stated, MAX_RETRY_SHARE * max(0.0, left))
        is_failed = result == "cut" or status >= 500
        return 0.0 if route.kind == "safe" and is_failed and left > 0 else None

    async def _connect(self) -> None:
        if self._writer is not None and not self._reader.at_eof():
            return
        self._close()
        self._gateway = self._random.choice(self._directory.addresses)
        host, _, port = self._gateway.rpartition(":")
        self._connection, self._uses = next(self._connections), 0
        async with asyncio.timeout(CONNECT_TIMEOUT):
            opened = await self._open(host, int(port))
        self._reader, self._writer = opened

    async def _open(
        self, host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._slow_reading is None:
            return await asyncio.open_connection(host, port)
        sock = socket.socket()
        try:
            # Only before it connects does the size bound the window.
            size = self._slow_reading.receive_bytes
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
            return await asyncio.open_connection(sock=sock, limit=SLOW_BUFFER_BYTES)
        except BaseException:
            sock.close()
            raise

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    def _encode(self, route: Route, request_id: str, left: float) -> bytes:
        body = b"" if route.method == "GET" else b'{"duct":"%b"}' % request_id.encode()
        variant = self._variant
        body = body.ljust(variant.body_bytes)
        lines = [
            f"{route.method} /{route.name}/x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(1000 * left)}",
            f"Authorization: Bearer {api_key(variant.key)}",
            f"Content-Length: {len(body)}",
        ]
        if variant.head_bytes:
            lines.append(f"X-Padding: {'x' * (variant.head_bytes - USUAL_HEAD_BYTES)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _read_body(self, route: Route, request_id: str, head: Head) -> None:
        """Read a body and check that it is the whole answer to the request."""
        stated_id = head.headers.get("x-request-id", request_id)
        if stated_id != request_id:
            raise Mixed(f"answer of {stated_id}")
        if "content-length" in head.headers:
            body = await self._reader.readexactly(int(head.headers["content-length"]))
            if head.status // 100 == 2 and body != plain_body(request_id):
                raise Mixed(f"body {body[:80]!r}")
            signature = head.headers.get(SIGNATURE.lower(), "")
            is_signed = signature.endswith(f".{zlib.crc32(body)}")
            if head.status // 100 == 2 and not is_signed:
                raise Mixed(f"signature {signature}")
            return
        await self._read_stream(route, request_id)

    async def _read_stream(self, route: Route, request_id: str) -> None:
        body = b""
        reading = self._draw_reading(request_id)
        times_out_at = time.monotonic() + route.deadline
        for piece in itertools.count(1):
            async with asyncio.timeout(route.patience):
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
            if not size:
                break
            left = max(0.0, times_out_at - time.monotonic())
            await asyncio.sleep(min(left, reading.rest_after(piece)))
            # Comments are whole events, and gateways forward whole events only.
            body += chunk[:-2].replace(COMMENT, b"")
            self._check_events(request_id, body)
        if not self._check_events(request_id, body):
            raise Disordered(f"complete after {body[-80:]!r}")

    def _draw_reading(self, request_id: str) -> Reading:
        if self._slow_reading is None:
            return PROMPT
        return self._slow_reading.draw(request_id)

    def _check_events(self, request_id: str, body: bytes) -> bool:
        """Check what has come of a stream; return whether all of it has."""
        first, is_whole, _ = body.partition(b"\n\n")
        if not is_whole:
            return False
        last = int(first.rpartition(b"/")[2])
        events = [
            stream_event(request_id, n, last, self._padding) for n in range(1, last + 1)
        ]
        expected = b"".join(events)
        if not expected.startswith(body):
            raise Disordered(f"events up to {body[-80:]!r}")
        return body == expected

    def _add(
        self,
        what: str,
        route: Route,
        request_id: str,
        deadline: float,
        result: str = "",
        status: int = 0,
        detail: object = "",
        signer: str = "",
    ) -> None:
        self._record.add(
            what,
            process=self._name,
            request=request_id,
            service=route.service,
            kind=route.kind,
            gateway=self._gateway,
            connection=self._connection,
            use=self._uses,
            deadline=deadline,
            result=result,
            status=status,
            signer=signer,
            detail=str(detail),
            key=self._variant.key,
            head_bytes=self._variant.head_bytes,
            body_bytes=self._variant.body_bytes,
        )


class Plan(msgspec.Struct):
    """What the callers of one process do.

    :param name: begins the ids of their requests.
    :param rate: requests a second of all of them together.
    :param leave_share: share of requests that are left before they are answered.
    :param until: when they stop, by the monotonic clock.
    :param probed: gateways to which requests on the routes in ``probe_routes`` are sent
        by a caller of their own each, whether callers are told to use them or not.
    :param variants: what a share of the requests is drawn from.
    :param padding: bytes by which events of streams are longer.
    """

    name: str
    seed: int
    callers: int
    rate: float
    leave_share: float
    until: float
    directories: list[str]
    routes: list[Route]
    probed: list[str] = []
    probe_routes: list[Route] = []
    variants: list[Variant] = []
    padding: int = 0
    slow_reading: SlowReading | None = None


async def _main(plan: Plan, record: Record) -> None:
    random = Random(plan.seed)
    directory = Directory(plan.directories, random)
    asking = asyncio.create_task(directory.run())
    connections = itertools.count(1)
    think_time = plan.callers / plan.rate
    callers = [
        Caller(
            f"{plan.name}-{number}",
            plan.routes,
            think_time,
            plan.leave_share,
            directory,
            record,
            Random(random.random()),
            connections,
            plan.variants,
            plan.padding,
            plan.slow_reading,
        )
        for number in range(plan.callers)
    ]
    callers += [
        Caller(
            f"{plan.name}-probe-{number}",
            plan.probe_routes,
            PROBE_INTERVAL,
            0.0,
            OneAddress(address),
            record,
            Random(random.random()),
            connections,
            plan.variants,
        )
        for number, address in enumerate(plan.probed)
    ]
    await asyncio.gather(*(caller.run(plan.until) for caller in callers))
    asking.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Runs the callers of the soak.")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--record", type=Path, required=True)
    options = parser.parse_args()
    asyncio.run(
        _main(
            msgspec.json.decode(options.plan.read_bytes(), type=Plan),
            Record(options.record),
        )
    )
