"""Values from other writers and faulty engines, which must not end a gateway."""

import asyncio
import json

import pytest

from site_fixture import running_site

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
