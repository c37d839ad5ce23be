"""Decoders of values from outside: a value in range or the documented error."""

import asyncio
import json
import math
import time
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cyclamenyoke.adapters.http_connection import ResponseHead
from cyclamenyoke.adapters.http_ingress import HttpRequest
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.peer_transport import (
    FORMAT_VERSION,
    MessageAuthenticator,
    Snapshot,
    _mac,
)
from cyclamenyoke.core.decoding import decode_json, decode_msgpack
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.inbound_request import InboundRequest
from cyclamenyoke.core.peers import PeerUpdate
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.expert_map_store import StoredMaps
from cyclamenyoke.daemon.quarantine_api import LiftRequest, QuarantineHandler
from cyclamenyoke.daemon.quarantine_store import QuarantineStore, StoredQuarantine
from cyclamenyoke.exceptions import (
    AuthenticationError,
    FindingsError,
    MalformedValue,
    PlatformUnavailable,
)
from cyclamenyoke.platform.caller_handlers import decode_request
from cyclamenyoke.platform.documents import decode_config, decode_endpoints
from cyclamenyoke.platform.engine_control import HttpEngineControl
from cyclamenyoke.platform.json_request import JsonResponse
from cyclamenyoke.platform.settings import load_settings
from cyclamenyoke.platform.store_client import StoreClient
from cyclamenyoke.ports.engine_control import EngineControlError
from cyclamenyoke.ports.key_value_store import LeaseExpired, RevisionConflict
from site_fixture import caller_headers, configuration

MAX_INTEGER = 2**64 - 1
EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)

EXTREME_INTEGERS = [2**31, 2**53 + 1, 2**63, 2**64, 2**70, 2**128, 10**400, 10**4000]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([sign * each for each in EXTREME_INTEGERS for sign in (1, -1)]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([1e308, -1e308, 1e-308]),
    st.text(max_size=20),
    st.sampled_from(["\x00", "a\r\nb", "x" * 5000, "\U0010ffff", "é" * 300]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)
DEEP = [b"[" * 3000, b'{"a":' * 3000, b"\x91" * 3000, b"\x81\xa1a" * 3000]
RAW = st.one_of(st.binary(max_size=60), st.sampled_from(range(4)).map(DEEP.__getitem__))


def places(value, path=()):
    """Yield the path of each value in a document."""
    yield path
    if isinstance(value, dict):
        for key, each in value.items():
            yield from places(each, (*path, key))
    if isinstance(value, list):
        for number, each in enumerate(value):
            yield from places(each, (*path, number))


def with_value(document, path, value):
    """Return a document with the value at one place replaced."""
    if not path:
        return value
    head, *rest = path
    copy = document.copy()
    copy[head] = with_value(document[head], rest, value)
    return copy


def encode_json(value) -> bytes:
    return json.dumps(value).encode()


def json_documents(*valid):
    """Return a strategy of malformed and extreme variants of valid documents."""
    variants = st.sampled_from(valid).flatmap(
        lambda document: st.builds(
            with_value,
            st.just(document),
            st.sampled_from(list(places(document))),
            VALUES,
        )
    )
    return st.one_of(
        RAW,
        variants.map(encode_json),
        # A field that the decoder skips is decoded as well.
        RAW.map(lambda raw: b'{"unknown":' + raw),
        st.builds(
            lambda text, at: text[: at % (len(text) + 1)],
            variants.map(encode_json),
            st.integers(0, 5000),
        ),
    )


def assert_in_range(value) -> None:
    """Check that all later steps can carry a decoded value."""
    match value:
        case bool() | None | bytes():
            return
        case int():
            assert -(2**63) <= value <= MAX_INTEGER
        case float():
            assert math.isfinite(value) and abs(value) < 1e300
        case str():
            value.encode()
        case dict():
            for key, each in value.items():
                assert_in_range(key)
                assert_in_range(each)
        case list() | tuple() | frozenset():
            for each in value:
                assert_in_range(each)
        case _:
            assert_in_range(msgspec.to_builtins(value))


ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "slots": 6,
    "born": 5,
    "cold_remaining_ms": 7.5,
}
ENGINE = {
    "step_ms": 5.8,
    "per_seq_ms": 0.3,
    "context_per_k": 0.04,
    "read_per_s": 61200,
    "chunk": 512,
    "stride": 5,
    "kv_capacity_tokens": 186000,
    "usual": {"prompt": 800, "answer": 140},
    "link_mbps": 92000,
    "sets": 6,
    "experts": 64,
    "placements": 11,
    "spare": 4,
    "expert_mb": 580,
}
CONFIG = configuration(
    7, services=[{"name": "llm", "max_connections": 9, "engine": ENGINE}]
)


@EXAMPLES
@given(json_documents(ENTRY), st.text(max_size=12))
def test_entry_is_an_endpoint_in_range_or_invalid(value, id_):
    endpoints, errors = decode_endpoints([(f"servers/{id_}", value)])
    assert len(endpoints) + len(errors) == 1
    for endpoint in endpoints:
        assert_in_range(endpoint)
        msgspec.msgpack.encode(endpoint)
        assert b"\n" not in endpoint.id.encode() + endpoint.address.encode()


@EXAMPLES
@given(json_documents(CONFIG))
def test_configuration_is_in_range_or_invalid(value):
    try:
        config = decode_config(value)
    except MalformedValue:
        return
    assert_in_range(config.version)
    for route in config.routes:
        assert route.pick_service(TakesFirst()) in {s.service for s in route.shares}
        assert_in_range([route.timeout, route.target_latency, route.target_gap])
    for service in config.services.values():
        assert service.layout is None or math.isfinite(service.layout.load_time)
    config.find_route("h", "/")


class TakesFirst:
    """Chooses as Random.choices does, by cumulative weights."""

    def choices(self, population, weights):
        assert sum(weights) > 0 and min(weights) >= 0
        return [population[0]]


@EXAMPLES
@given(st.data())
def test_settings_are_in_range_or_findings(tmp_path_factory, data):
    base = {
        "node": '"n"',
        "ip": '"10.1.0.40"',
        "zone": '"z"',
        "region": '"r"',
        "internal_ports": "[7340, 7355]",
        "seeds": '["10.1.0.41:8229"]',
        "listen": '{front = "10.1.0.40:8227"}',
        "platform": '{address = "10.200.1.7:8223"}',
        "bounds": "{drain_ms = 2000, grace_s = 8, config_apply_ms = 2000,"
        " retry_budget_ratio = 0.2, retry_budget_slack = 191, budget_window_s = 10}",
    }
    key = data.draw(st.sampled_from(sorted(base)))
    extreme = ["nan", "inf", "-1", str(2**70), '"' + "x" * 300 + '"', "[" * 3000, "{}"]
    text = data.draw(st.sampled_from(extreme))
    if data.draw(st.booleans()) and key == "bounds":
        text = base[key].replace("2000", text).replace(" 8,", f" {text},")
    lines = [f"{name} = {value}" for name, value in {**base, key: text}.items()]
    path = tmp_path_factory.mktemp("settings") / "node.toml"
    path.write_text("\n".join(lines))
    try:
        loaded = load_settings(path)
    except FindingsError:
        return
    bounds = loaded.bounds
    assert_in_range([bounds.drain, bounds.grace, bounds.config_apply])


LAYOUT = ExpertLayout(2, 3, 3, 1, 0.0)
REPORT = {
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 8,
    "step": 5,
    "map": 1,
    "prepared": 2,
    "armed": {"step": 7},
    "held": 3,
}
COUNTS = {"epoch": 1, "counts": [1, 2, 3, 4, 5, 6]}
RANK = Endpoint("r0", "llm", "127.0.0.1:1", "dc", 6, False, 1)


class FixedResponse(HttpEngineControl):
    """Reads one response, whatever is asked."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def _query(self, endpoint, path, timeout=0.0):
        return self._body


@EXAMPLES
@given(json_documents(REPORT))
def test_report_of_a_rank_is_in_range_or_unusable(body):
    try:
        report = asyncio.run(FixedResponse(body).report(RANK))
    except EngineControlError:
        return
    assert_in_range([report.epoch, report.rank, report.size, report.step])
    assert_in_range([report.map_version, report.prepared_version, report.held_step])


@EXAMPLES
@given(json_documents(COUNTS))
def test_counts_of_a_rank_fit_the_layout_or_are_unusable(body):
    try:
        counts = asyncio.run(FixedResponse(body).expert_counts(RANK, LAYOUT))
    except EngineControlError:
        return
    assert [len(row) for row in counts.counts] == [3, 3]
    assert_in_range(counts.counts)


class FixedStore(StoreClient):
    """A client to which the store gives one response, whatever the call is."""

    def __init__(self, body: bytes, era: bytes, status: int) -> None:
        super().__init__("127.0.0.1:1", SteppingClock())
        head = ResponseHead(status, [(b"Store-Era", era)])
        self.responses = [JsonResponse(head, body)] * 3

    async def _call(self, *arguments, **options):
        if not self.responses:
            raise PlatformUnavailable("no response")
        return self.responses.pop()


class SteppingClock:
    def now(self) -> float:
        return time.monotonic()


ITEM = {"key": "k", "value": "eA==", "revision": 4, "store_revision": 9}
RANGE = {"items": [ITEM], "truncated": False, "store_revision": 9}
EVENTS = {"events": [ITEM, {"key": "k", "revision": 8, "deleted": True}]}
ERAS = st.one_of(
    st.sampled_from([b"1", b"", b"-1", b"9" * 30, b"9" * 5000, b"x", b"\xb2"]),
    st.binary(max_size=5),
)


@EXAMPLES
@given(
    json_documents(
        ITEM, RANGE, {**EVENTS, "store_revision": 9}, {"lease": 5}, {"revision": 3}
    ),
    ERAS,
    st.sampled_from([200, 200, 200, 404, 410, 412, 503]),
)
def test_response_of_the_store_is_in_range_or_unavailable(body, era, status):
    async def call_all():
        start, later = StorePosition(1, 1), time.monotonic() + 0.01
        calls = (
            lambda store: store.get("k"),
            lambda store: store.list("p/"),
            lambda store: store.watch("k", start, later),
            lambda store: store.watch_prefix("p/", start, later),
            lambda store: store.compare_and_swap("k", 0, b"v", 5),
            lambda store: store.grant_lease(20.0),
        )
        for call in calls:
            try:
                result = await call(FixedStore(body, era, status))
            except (PlatformUnavailable, RevisionConflict, LeaseExpired):
                continue
            position = getattr(result, "position", None)
            assert_in_range(position if position is not None else result)

    asyncio.run(call_all())


KEY = b"k" * 32
POSITION = StorePosition(1, 5)
UPDATE = PeerUpdate(
    ip="10.0.0.1", incarnation=5, sequence=6, data_centre="dc", caller_address="a:1",
    is_ready=True, is_draining=False, reads_store=True, config_version=7, list_age=0.5,
    list_position=POSITION, is_list_read_directly=True, list_digest=b"d" * 8,
    changes=(), requests={"e": 1}, customers={"s": {"c": 1}}, queued={"s": {"c": 2}},
    suspects=("e",), broken=("e",), leaving=(("e", 5),), evidence=(), limits=(),
    evacuated=("dc",), evacuation_position=POSITION, unread_tokens={"e": 9},
    evacuations_kept={"dc": 3.5},
)  # fmt: skip
SNAPSHOT = Snapshot(b"{}", POSITION, 0.5, POSITION, [RANK], ["dc"], POSITION, {"dc": 1})
PACKED_SCALARS = st.one_of(
    st.integers(-(2**63), 2**64 - 1), st.floats(), st.text(max_size=9), st.none()
)


@EXAMPLES
@given(
    st.sampled_from([(UPDATE, PeerUpdate), (SNAPSHOT, Snapshot)]),
    st.data(),
)
def test_message_of_a_peer_is_in_range_or_refused(case, data):
    message, kind = case
    plain = msgspec.to_builtins(message, builtin_types=(bytes,))
    path = data.draw(st.sampled_from(list(places(plain))))
    body = msgspec.msgpack.encode(with_value(plain, path, data.draw(PACKED_SCALARS)))
    body = [body, body[:-3], *DEEP][data.draw(st.integers(0, 5))]
    signed = FORMAT_VERSION + _mac(body, KEY) + body
    try:
        decoded = MessageAuthenticator(KEY).verify(signed, kind)
    except AuthenticationError:
        return
    assert_in_range(msgspec.to_builtins(decoded, builtin_types=(bytes,)))


EVIDENCE = {"saved_at": 5.5, "evidence": [["s", "t", {"e": 1.5, "f": 2}, -1.0]]}


@EXAMPLES
@given(json_documents(EVIDENCE, {"epoch": 1, "by_version": {"5": [[[0, 1], [1]]]}}))
def test_document_of_this_project_is_in_range_or_malformed(value):
    for kind in (StoredQuarantine, StoredMaps, LiftRequest):
        try:
            assert_in_range(msgspec.to_builtins(decode_json(value, kind)))
        except MalformedValue:
            continue


@EXAMPLES
@given(json_documents(EVIDENCE))
def test_stored_quarantine_is_merged_or_ignored(value):
    quarantine = RequestQuarantine(lambda: 1.5)
    store = QuarantineStore(
        None, quarantine, lambda: True, lambda: 0, SteppingClock(), None, Log("test")
    )
    store._merge(value)
    list(quarantine.evidence_to_store(time.monotonic()))
    QuarantineHandler(quarantine, SteppingClock(), Log("test"))._lift(value)


HEADER_TEXT = st.one_of(
    st.binary(max_size=30),
    st.sampled_from([b"9" * 30, b"9" * 400, b"9" * 5000, b"-1", b"1_0", b"\xb2", b","]),
)


@EXAMPLES
@given(
    st.dictionaries(st.sampled_from(sorted(caller_headers())), HEADER_TEXT), HEADER_TEXT
)
def test_request_of_a_caller_is_in_range_or_malformed(changes, target):
    headers = {name: value.encode() for name, value in caller_headers().items()}
    headers |= {"X-Token-Usage": b"1,2", "Last-Event-Id": b"1"} | changes
    fields = [(name.encode(), value) for name, value in headers.items()]
    request = HttpRequest(b"GET", b"/" + target, fields, b"", 1.0, True, False)
    decoded = decode_request(request)
    if isinstance(decoded, InboundRequest) and decoded.deadline is not None:
        assert_in_range(decoded.deadline)


@pytest.mark.parametrize("value", DEEP)
def test_value_that_is_nested_too_deeply_is_malformed(value):
    with pytest.raises(MalformedValue):
        decode_json(value, Any)
    with pytest.raises(MalformedValue):
        decode_msgpack(value, Any)
