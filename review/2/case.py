"""An entry of another writer whose bytes can't be read, beside the engines' entries.

Streams run over kept connections through three gateways. After four seconds another
writer puts one entry below ``servers/`` and nothing else happens.
"""

import asyncio

from deployment import SHORT_STREAM, Site, StreamLoad, configuration, run_case

GATEWAYS = 3
ENGINES = 8
CLIENTS_PER_GATEWAY = 12
DURATION_S = 22.0
WRITTEN_AFTER_S = 4.0
MAX_LOST = 3
# Lists in lists, never closed: not JSON, and 2,008 bytes long.
UNREADABLE_ENTRY = b'{"tags":' + b"[" * 2000


async def body(site: Site, has_trouble: bool) -> bool:
    for number in range(ENGINES):
        await site.add_engine(f"i-draft-{number}", "draft-llm", SHORT_STREAM)
    await site.start(GATEWAYS, configuration())
    load = StreamLoad(site, CLIENTS_PER_GATEWAY, DURATION_S)
    await asyncio.sleep(WRITTEN_AFTER_S)
    if has_trouble:
        await site.store.put("servers/i-0f3e7a11", UNREADABLE_ENTRY)
        site.record.add("unreadable entry written", key="servers/i-0f3e7a11")
    await load.wait()
    return load.record_lost() > MAX_LOST


run_case(body)
