"""The directory names machines that have been gone for long beside a running one.

Five gateways run; three of them are switched off for good at the same moment. A client
asks the directory of one that remains twice a second.
"""

import asyncio
import signal
import time

from deployment import GatewayProcess, Site, configuration, run_case
from standins import EngineWork

GATEWAYS = 5
SWITCHED_OFF = 3
OFF_AFTER_S = 4.0
STABILITY_S = 4.0
# A machine that is gone may be named until then.
EXCUSED_S = STABILITY_S + 3.0
ASKED_FOR_S = 14.0
ASK_GAP_S = 0.5
MAX_ANSWERS = 3
BOUNDS = "evacuation_ms = 5000\ncold_overage = 1.5\ncold_slack = 5"


async def ask(site: Site, gateway: GatewayProcess, gone: set[str]) -> bool:
    """Return whether the directory names a running machine and one that is gone."""
    addresses, lifetime = await gateway.resolve()
    named = {each.node for each in site.gateways if each.front in addresses}
    site.record.add("directory", at_node=gateway.node, ttl_s=lifetime, named=named)
    return bool(named & gone) and bool(named - gone)


async def body(site: Site, has_trouble: bool) -> bool:
    await site.add_engine("i-app-0", "field-app", EngineWork())
    await site.start(GATEWAYS, configuration())
    await asyncio.sleep(OFF_AFTER_S)
    gone = site.gateways[-SWITCHED_OFF:] if has_trouble else []
    for gateway in gone:
        gateway.signal(signal.SIGKILL)
    off_at = time.monotonic()
    running = site.gateways[0]
    wrong = asked = 0
    while time.monotonic() < off_at + EXCUSED_S + ASKED_FOR_S:
        is_wrong = await ask(site, running, {each.node for each in gone})
        if time.monotonic() > off_at + EXCUSED_S:
            asked += 1
            wrong += is_wrong
        await asyncio.sleep(ASK_GAP_S)
    site.record.add(
        "count",
        answers_after_the_excused_time=asked,
        naming_a_machine_that_is_gone=wrong,
        ready=[each.node for each in site.gateways if await each.is_ready()],
    )
    return wrong > MAX_ANSWERS


run_case(body, more_bounds=BOUNDS)
