"""Requests that are proper in every form the standard allows, and improper ones."""

import asyncio
import itertools
import re
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from site_fixture import API_KEY, HOST, connect, running_site

PATH = "/lookup/a%2Fb/../c;d?e=%20f&g=/./h"
BODY = b"one\t\r\ntwo \t \r\n\r\nGET / HTTP/1.1\r\nHost:\t\r\n\r\n"
SEEDS = range(4)
CONNECTIONS = 12
MAX_BATCHES = 3
MAX_PIPELINED = 7

TARGETS = [
    "{path}",
    f"http://{HOST}{{path}}",
    f"HTTP://{HOST.upper()}:80{{path}}",
    f"http://{HOST}.:8080{{path}}",
    f"https://{HOST}{{path}}",
]
HOSTS = [
    f"Host: {HOST}",
    f"Host:{HOST}",
    f"Host:\t{HOST}",
    f"Host: {HOST}\t",
    f"Host: \t{HOST} \t ",
    f"Host: {HOST}:80",
    f"Host: {HOST}:",
    f"Host: {HOST}.",
    f"Host: {HOST}.:8227\t",
    f"Host: {HOST.title()}",
    f"Host: {HOST.upper()}.",
]
KEYS = [
    f"Authorization: Bearer {API_KEY}",
    f"Authorization:\tBearer {API_KEY}\t",
    f"Authorization: bearer {API_KEY} ",
    f"Authorization: BEARER   {API_KEY}",
    f"Authorization: Bearer\t{API_KEY}",
    f"Authorization: Bearer \t {API_KEY} \t",
]
DEADLINES = [
    "X-Deadline-Ms: 1500",
    "X-Deadline-Ms:\t1500\t",
    "X-Deadline-Ms: 1500.5",
    "X-Deadline-Ms: +1500",
    "X-Deadline-Ms:",
    "X-Deadline-Ms: soon",
    "X-Deadline-Ms: nan",
    "X-Deadline-Ms: 1,500",
    "X-Deadline-Ms: " + "9" * 400,
    "X-Other: 1",
]
EVENT_IDS = [
    "X-Other: 2",
    "Last-Event-Id:",
    "Last-Event-Id: \t",
    "Last-Event-Id: abc",
    "Last-Event-Id: 1.5",
    "Last-Event-Id: " + "9" * 400,
]
COUNTS = [
    "X-Token-Usage: 1460,80",
    "X-Token-Usage:\t1460 ,\t80\t",
    "X-Token-Usage:",
    "X-Token-Usage: 1460",
    "X-Token-Usage: many,few",
    "X-Token-Usage: -1,80",
    "X-Token-Usage: 1e3,80",
    "X-Token-Usage: " + "9" * 400 + ",1",
]
CONNECTION_OPTIONS = [
    "X-Other: 3",
    "Connection: keep-alive",
    "Connection:\tKeep-Alive\t",
    "Connection: X-Hop ,\tkeep-alive\t",
    "Expect: 100-continue",
    "Expect:\t100-Continue\t",
    "TE: trailers",
    "Accept:\t\t*/*",
]
FRAMINGS = [
    "Content-Length: {size}",
    "Content-Length:{size}\t",
    "Content-Length: \t{size} \t ",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: chunked\t",
    "Transfer-Encoding:\tChunked \t ",
    "Transfer-Encoding: CHUNKED  ",
]


@dataclass
class Form:
    """One way to write a request; the defaults are the plain one."""

    target: str = TARGETS[0]
    host: str = HOSTS[0]
    key: str = KEYS[0]
    deadline: str = DEADLINES[0]
    event_id: str = EVENT_IDS[0]
    counts: str = COUNTS[0]
    connection: str = CONNECTION_OPTIONS[0]
    framing: str = FRAMINGS[0]
    request_id: str = "X-Request-Id: {id}"
    more: list[str] = field(default_factory=list)

    def encode(self, id_: str, path: str = PATH, body: bytes = BODY) -> bytes:
        """Return the bytes of a request in this form."""
        lines = [
            f"PUT {self.target.format(path=path)} HTTP/1.1",
            *(self.host, self.key, self.deadline, self.event_id, self.counts),
            *(self.connection, self.framing.format(size=len(body))),
            *(self.request_id.format(id=id_), *self.more),
        ]
        head = "\r\n".join([line for line in lines if line] + ["", ""]).encode()
        if "chunked" not in self.framing.lower():
            return head + body
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
        return head + b"".join(chunks) + b"0\r\n\r\n"

    def differences(self) -> dict:
        """Return what differs from the plain form."""
        plain = vars(Form())
        return {name: each for name, each in vars(self).items() if each != plain[name]}


VARIANTS = {
    "target": TARGETS,
    "host": HOSTS,
    "key": KEYS,
    "deadline": DEADLINES,
    "event_id": EVENT_IDS,
    "counts": COUNTS,
    "connection": CONNECTION_OPTIONS,
    "framing": FRAMINGS,
    "request_id": [
        "X-Request-Id: {id}",
        "X-Request-Id:\t{id} \t",
        "x-request-id:{id}",
        "X-REQUEST-ID: {id}\t",
    ],
}
SINGLE_FORMS = [
    Form(**{name: each}) for name, variants in VARIANTS.items() for each in variants
] + [
    Form(target=f"http://{HOST}{{path}}", host="Host: other.example"),
    Form(target=f"http://{HOST}:81{{path}}", host="Host:"),
    Form(more=["X-A: \t", "X-B:", "x-DEADLINE-ms: 9"], deadline=""),
]
NUMBERS = itertools.count(1)


def new_id() -> str:
    return f"{next(NUMBERS):016x}"


def executed(site) -> dict:
    """Return the requests that engines executed, by id."""
    return {
        each.headers["x-request-id"]: each
        for engine in site.engines.values()
        for each in engine.state.executed
    }


async def read_status(reader) -> int:
    """Read one final response and return its status."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        if status < 200:
            continue
        length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        await reader.readexactly(int(length[1]))
        return status


@asynccontextmanager
async def open_connection(site):
    """Connect to the site's gateway."""
    reader, writer = await connect(site.gateways[0][1].callers)
    try:
        async with asyncio.timeout(20):
            yield reader, writer
    finally:
        writer.close()


async def write_in_segments(writer, data: bytes, random: Random) -> None:
    """Write data cut at random places, each part on its own."""
    cuts = random.choices(range(len(data)), k=random.choice([0, 1, 3, 12]))
    for start, end in itertools.pairwise([0, *sorted(cuts), len(data)]):
        writer.write(data[start:end])
        await asyncio.sleep(0.001)


def assert_same_request(request, path: str, body: bytes) -> None:
    """Check that an engine saw what the caller meant."""
    assert (request.method, request.target, request.body) == ("PUT", path, body)
    assert request.headers["host"].lower().startswith(HOST)
    assert "authorization" not in request.headers
    assert "transfer-encoding" not in request.headers
    assert not any(value != value.strip() for value in request.headers.values())


# Guards against refusals of what the standard calls the same request.
async def test_proper_request_is_served_in_every_single_form():
    async with running_site() as site:
        statuses = {}
        for form in SINGLE_FORMS:
            id_ = new_id()
            async with open_connection(site) as (reader, writer):
                writer.write(form.encode(id_))
                statuses[id_] = form, await read_status(reader)
        refused = [
            (form.differences(), status)
            for form, status in statuses.values()
            if status != 200
        ]
        assert refused == []
        for id_ in statuses:
            assert_same_request(executed(site)[id_], PATH, BODY)


def random_form(random: Random) -> Form:
    return Form(**{name: random.choice(each) for name, each in VARIANTS.items()})


# Guards against refusals that need two forms, a segment's end or an earlier request.
@pytest.mark.parametrize("seed", SEEDS)
async def test_combined_forms_in_segments_and_pipelines_are_never_refused(seed):
    random = Random(seed)
    async with running_site() as site:
        sent = {}
        for _ in range(CONNECTIONS):
            async with open_connection(site) as (reader, writer):
                for _ in range(random.randint(1, MAX_BATCHES)):
                    forms = [
                        random_form(random)
                        for _ in range(random.randint(1, MAX_PIPELINED))
                    ]
                    data = b""
                    ids = []
                    for form in forms:
                        id_, path = new_id(), f"/lookup/{random.random()}?q=%20"
                        body = random.choice([b"", b"{}", BODY, BODY * 9])
                        data += form.encode(id_, path, body)
                        ids.append(id_)
                        sent[id_] = path, body
                    await write_in_segments(writer, data, random)
                    statuses = [await read_status(reader) for _ in ids]
                    assert set(statuses) == {200}, forms
        assert len(sent) > 75
        for id_, (path, body) in sent.items():
            assert_same_request(executed(site)[id_], path, body)


IMPROPER = {
    "no id": {"request_id": "X-Other: 9"},
    "empty id": {"request_id": "X-Request-Id: \t"},
    "no host": {"host": ""},
    "no host beside an absolute target": {"host": "", "target": TARGETS[1]},
    "empty host": {"host": "Host: \t"},
    "two hosts": {"more": [f"Host: {HOST}"]},
    "asterisk": {"target": "*"},
    "target of another scheme": {"target": f"ftp://{HOST}{{path}}"},
    "target with user": {"target": f"http://user@{HOST}{{path}}"},
    "target without host": {"target": "http://{path}"},
    "two dots after the host": {"host": f"Host: {HOST}.."},
    "other host": {"target": "http://other.example{path}"},
    "host with no port": {"host": f"Host: {HOST}:80a"},
    "list of codings": {"framing": "Transfer-Encoding: chunked, chunked"},
    "list with tabs": {"framing": "Transfer-Encoding: chunked\t,\t"},
    "coding not implemented": {"framing": "Transfer-Encoding: gzip,\tchunked\t"},
    "control character": {"framing": "Transfer-Encoding: chunked\x0b"},
    "word after coding": {"framing": "Transfer-Encoding: chunked\tx"},
    "length after coding": {
        "framing": "Transfer-Encoding: chunked\t",
        "more": ["Content-Length: 3\t"],
    },
    "length before coding": {
        "connection": "Content-Length: 3\t",
        "framing": "Transfer-Encoding: chunked\t",
    },
    "two lengths": {"more": ["Content-Length: 3"]},
    "same length twice": {"more": [f"Content-Length: {len(BODY)}"]},
    "two numbers as length": {"framing": "Content-Length: 3\t3"},
    "signed length": {"framing": "Content-Length: +3"},
    "empty length": {"framing": "Content-Length: \t"},
    "space before colon": {"more": ["X-A\t: b"]},
    "folded line": {"more": ["X-A: b", "\tc"]},
    "folded blank line": {"more": ["X-A: b\t", "\t"]},
    "null in value": {"more": ["X-A: b\x00"]},
    "line feed in value": {"more": ["X-A: b\nX-C: d"]},
    "carriage return in value": {"more": ["X-A: b\rX-C: d"]},
    "line feed after tab": {"more": ["X-A: b\t\nX-C: d"]},
}

UNREADABLE = {400, 501}
UNROUTED = {404}
UNROUTED_NAMES = {"two dots after the host", "other host", "host with no port"}


# Guards against reading an improper request as a proper one, above all its framing.
@pytest.mark.parametrize("seed", SEEDS)
async def test_improper_requests_stay_refused_in_any_form(seed):
    random = Random(seed)
    async with running_site() as site:
        for name, changes in IMPROPER.items():
            form = replace(random_form(random), **changes)
            # A target in absolute form replaces the header.
            if "host" in name and "target" not in changes:
                form.target = TARGETS[0]
            form.connection = changes.get("connection", CONNECTION_OPTIONS[0])
            async with open_connection(site) as (reader, writer):
                data = form.encode(new_id())
                await write_in_segments(writer, data, random)
                expected = UNROUTED if name in UNROUTED_NAMES else UNREADABLE
                assert await read_status(reader) in expected, (name, form)
        assert executed(site) == {}


# Guards against a request line whose version is followed by something.
@pytest.mark.parametrize("end", [b"\t", b" ", b" \t "])
async def test_white_space_after_the_version_stays_refused(end):
    async with running_site() as site, open_connection(site) as (reader, writer):
        data = Form().encode(new_id())
        writer.write(data.replace(b"HTTP/1.1\r\n", b"HTTP/1.1" + end + b"\r\n", 1))
        assert await read_status(reader) == 400
        assert executed(site) == {}
