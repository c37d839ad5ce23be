"""An entry of another writer with a number of 128 bits, beside the engines' entries.

Streams run over kept connections through three gateways. After four seconds another
writer puts one entry below ``servers/`` and nothing else happens.
"""

import asyncio
import json
import uuid

from deployment import SHORT_STREAM, Site, StreamLoad, configuration, run_case

GATEWAYS = 3
ENGINES = 8
CLIENTS_PER_GATEWAY = 12
DURATION_S = 22.0
WRITTEN_AFTER_S = 4.0
MAX_LOST = 3


def foreign_entry() -> bytes:
    """Return an entry whose writer keeps an id of its own in ``born``."""
    entry = {
        "service": "draft-llm",
        "address": "127.0.0.1:9",
        "zone": "bkk-north",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": uuid.UUID("c9b1d2a0-7c55-4f0e-9f3e-0d3b7b0a6f11").int,
    }
    return json.dumps(entry).encode()


async def body(site: Site, has_trouble: bool) -> bool:
    for number in range(ENGINES):
        await site.add_engine(f"i-draft-{number}", "draft-llm", SHORT_STREAM)
    await site.start(GATEWAYS, configuration())
    load = StreamLoad(site, CLIENTS_PER_GATEWAY, DURATION_S)
    await asyncio.sleep(WRITTEN_AFTER_S)
    if has_trouble:
        await site.store.put("servers/i-0f3e7a11", foreign_entry())
        site.record.add("foreign entry written", key="servers/i-0f3e7a11")
    await load.wait()
    return load.record_lost() > MAX_LOST


run_case(body)
