"""An entry of another writer whose bytes can't be read, beside the engines' entries.

Streams run over kept connections through three gateways. After two seconds another
writer puts one entry below ``servers/`` and nothing else happens.
"""

import asyncio
import time

from deployment import Answer, Client, Site, configuration, run_case
from standins import EngineWork

GATEWAYS = 3
CLIENTS_PER_GATEWAY = 4
DURATION_S = 20.0
MAX_LOST = 3
# Lists in lists, never closed: not JSON, and 2,008 bytes long.
UNREADABLE_ENTRY = b'{"tags":' + b"[" * 2000


async def use(client: Client, address: str, until: float) -> None:
    """Send streams one after the other on a kept connection."""
    while time.monotonic() < until:
        answer = await client.send(address, "/draft/2f", 8000, X_Model="m")
        if not answer.is_whole or answer.status != 200:
            await asyncio.sleep(0.2)


def is_lost(answer: Answer, runs: dict[str, list]) -> bool:
    """Return whether a kept connection closed on a request that an engine ran."""
    was_closed = not answer.is_whole and answer.error != "TimeoutError"
    return answer.is_reused and was_closed and answer.request_id in runs


async def body(site: Site, has_trouble: bool) -> bool:
    for number in range(4):
        work = EngineWork(events=28, gap_s=0.05)
        await site.add_engine(f"i-draft-{number}", "draft-llm", work)
    await site.start(GATEWAYS, configuration())
    until = time.monotonic() + DURATION_S
    clients, tasks = [], []
    for gateway in site.gateways:
        for _ in range(CLIENTS_PER_GATEWAY):
            clients.append(Client(site.record))
            work = use(clients[-1], gateway.front, until)
            tasks.append(site.run(work))
    await asyncio.sleep(2)
    if has_trouble:
        await site.store.put("servers/i-0f3e7a11", UNREADABLE_ENTRY)
        site.record.add("unreadable entry written", key="servers/i-0f3e7a11")
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    runs = site.runs()
    answers = [answer for client in clients for answer in client.answers]
    lost = [answer for answer in answers if is_lost(answer, runs)]
    site.record.add(
        "count",
        requests=len(answers),
        whole=sum(answer.is_whole and answer.status == 200 for answer in answers),
        lost_on_kept_connections=len(lost),
        own_ends={each.node: len(each.own_ends) for each in site.gateways},
    )
    return len(lost) > MAX_LOST


run_case(body)
