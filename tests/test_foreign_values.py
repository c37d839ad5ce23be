"""Values from other writers and faulty engines, which must not end a gateway."""

import asyncio
import errno
import json

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.event_stream import EventSplitter
from cyclamenyoke.adapters.http_ingress import IngressConnection, IngressServer
from site_fixture import caller_headers, running_site, send_request
from test_gateway_lifecycle import restore_store

FOREIGN_KEY = "servers/i-foreign"


def foreign_entry(**changes) -> bytes:
    """Return the entry of an engine at which nothing listens."""
    entry = {
        "service": "app",
        "address": "127.0.0.1:9",
        "zone": "dc-2",
        "slots": 6,
        "state": "ready",
        "born": 1,
    }
    return json.dumps({**entry, **changes}).encode()


async def assert_all_gateways_serve(site):
    """Check that no gateway has ended and that each one serves a request."""
    for gateway, settings, task in site.gateways:
        assert not task.done(), f"{gateway} ended: {task.exception()!r}"
        assert (await site.get(settings, "/lookup/a")).status == 200


# Guards against a number that can't be sent to peers ending all gateways.
@pytest.mark.parametrize("change", [{"born": 2**128}, {"slots": 2**70}])
async def test_entry_with_number_over_64_bits_ends_no_gateway(change):
    async with running_site(gateways=2) as site:
        site.platform.put(FOREIGN_KEY, foreign_entry(**change))
        await site.notify_watches()
        await asyncio.sleep(1.5)
        await assert_all_gateways_serve(site)


# Guards against a value that is nested too deeply for the decoder ending all gateways.
@pytest.mark.parametrize("value", [b'{"tags":' + b"[" * 2000, b'{"a":' * 3000])
async def test_entry_that_is_nested_too_deeply_ends_no_gateway(value):
    async with running_site(gateways=2) as site:
        site.platform.put(FOREIGN_KEY, value)
        await site.notify_watches()
        await asyncio.sleep(1.5)
        await assert_all_gateways_serve(site)


ODD_VALUES = {
    "port of 0": foreign_entry(address="127.0.0.1:0"),
    "negative port": foreign_entry(address="127.0.0.1:-1"),
    "port beyond 16 bits": foreign_entry(address="127.0.0.1:70000"),
    "number over 64 bits": foreign_entry(born=2**70),
    "negative number": foreign_entry(slots=-1),
    "nested too deeply": b'{"tags":' + b"[" * 5000,
}


async def send_streams(site):
    """Start two streams at each gateway, slow enough to see changes of the list."""
    for engine in site.engines_of("llm"):
        engine.event_interval = 0.2
    streams = [
        asyncio.create_task(site.get(settings, "/stream/a", deadline=5000))
        for _, settings, _ in site.gateways
        for _ in range(2)
    ]
    await asyncio.sleep(0.15)
    return streams


async def wait_until_used(site, engine):
    """Wait until an engine gets requests of all gateways again."""
    received = len(engine.state.received)

    async def is_used():
        await assert_all_gateways_serve(site)
        return len(engine.state.received) > received + len(site.gateways)

    await site.wait_until(is_used, 3.0)


# Guards against a list that is no longer followed, or requests that are cut off, when
# another writer replaces the entry of an engine that is in use.
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
async def test_entry_that_becomes_odd_cuts_nothing_and_is_used_again(value):
    async with running_site(gateways=2) as site:
        streams = await send_streams(site)
        engine = site.engines["i-app-0"]
        for id_ in ("i-llm-0", "i-app-0"):
            site.platform.put(f"servers/{id_}", value)
        await site.notify_watches()
        responses = await asyncio.gather(*streams)
        assert all(each.is_complete and each.status == 200 for each in responses)
        await asyncio.sleep(1.0)
        await assert_all_gateways_serve(site)
        site.platform.put("servers/i-app-0", engine.entry("app"))
        await site.notify_watches()
        await wait_until_used(site, engine)


# Guards against several odd entries in one read that hide the sound ones beside them.
async def test_sound_entry_beside_all_kinds_of_odd_ones_is_used():
    async with running_site(gateways=2, engines=1) as site:
        for number, value in enumerate(ODD_VALUES.values()):
            site.platform.put(f"servers/i-foreign-{number}", value)
        added = await site.add_engine("app", "i-app-added")
        await site.notify_watches()
        await wait_until_used(site, added)


# Guards against odd entries that a restored store brings back.
async def test_odd_entries_of_a_restored_store_end_no_gateway():
    async with running_site(gateways=2) as site:
        engine = site.engines["i-app-0"]
        for number, value in enumerate(ODD_VALUES.values()):
            site.platform.put(f"servers/i-foreign-{number}", value)
        site.platform.put("servers/i-app-0", ODD_VALUES["port of 0"])
        site.platform.back_up()
        site.platform.put("servers/i-app-0", engine.entry("app"))
        await site.notify_watches()
        await wait_until_used(site, engine)
        await restore_store(site)
        await asyncio.sleep(1.5)
        await assert_all_gateways_serve(site)
        site.platform.put("servers/i-app-0", engine.entry("app"))
        await site.notify_watches()
        await wait_until_used(site, engine)


# Guards against the same in the other documents that gateways read.
@pytest.mark.parametrize(
    "key",
    ["op/config", "cyclamenyoke/quarantine", "cyclamenyoke/nodes/127.0.9.9"],
)
@pytest.mark.parametrize("value", [b'{"x":' + b"[" * 3000, b"\xff\xfe"])
async def test_unreadable_document_ends_no_gateway(key, value):
    async with running_site(gateways=1) as site:
        site.platform.put(key, value)
        await site.notify_watches()
        await site.add_gateway(wait_until_ready=False)
        await asyncio.sleep(1.0)
        for _, _, task in site.gateways:
            assert not task.done(), repr(task.exception())
        assert (await site.get(site.gateways[0][1], "/lookup/a")).status == 200


# Guards against a number in a header that no message to peers or log line can carry.
@pytest.mark.parametrize(
    "header,statuses",
    [
        ("X-Token-Usage", {200}),
        ("Last-Event-Id", {200}),
        ("Content-Length", {400, 413}),
    ],
)
@pytest.mark.parametrize("value", [str(2**70), "9" * 1900])
async def test_header_with_number_out_of_range_ends_no_gateway(header, statuses, value):
    async with running_site(gateways=2) as site:
        for engine in site.engines.values():
            engine.answer_delay = 0.5
        address = site.gateways[0][1].callers
        text = f"{value},{value}" if header == "X-Token-Usage" else value
        headers = {**caller_headers(), header: text}
        response = await send_request(address, "GET", "/stream/a", headers)
        await assert_all_gateways_serve(site)
        assert response.status in statuses


# Guards against a deadline that no float can carry resetting the caller's connection.
@pytest.mark.parametrize("value", [str(2**70), "9" * 2000])
async def test_deadline_in_the_distant_future_leaves_the_timeout_of_the_route(value):
    async with running_site(gateways=1) as site:
        address = site.gateways[0][1].callers
        headers = {**caller_headers(), "X-Deadline-Ms": value}
        response = await send_request(address, "GET", "/lookup/a", headers)
        assert response.status == 200


# Guards against an event id that the interpreter can't convert resetting the caller's
# connection.
def test_event_id_of_thousands_of_digits_is_no_numeric_id():
    [event] = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\n\n")
    assert event.id is None


# Guards against a registration that is no address ending the exchange with all peers.
async def test_registration_that_is_no_ip_address_leaves_the_exchange_running():
    async with running_site(gateways=2) as site:
        for name in ("a\x00b", "x" * 70, "..", "not an address"):
            site.platform.put(f"cyclamenyoke/nodes/{name}", b"dc-1")
        await site.add_gateway()
        await asyncio.sleep(1.5)
        now = site.gateways[2][0]._clock.now()
        assert len(site.gateways[2][0]._peers.live(now)) == 2


# Guards against one connection's error ending the check of all connections' deadlines.
async def test_half_close_of_a_connection_that_was_reset_is_no_error():
    class ResetTransport:
        is_aborted = False

        def can_write_eof(self):
            return True

        def get_write_buffer_size(self):
            return 0

        def write_eof(self):
            raise OSError(errno.ENOTCONN, "not connected")

        def abort(self):
            self.is_aborted = True

    server = IngressServer(None, BootClock(), lambda status: None, lambda error: None)
    connection = IngressConnection(server)
    connection._transport = transport = ResetTransport()
    connection.close_gracefully()
    assert transport.is_aborted
