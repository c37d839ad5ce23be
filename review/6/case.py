"""A group of engines stalls for good after one rank was cut off from the gateways."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.callers import Callers, check_served  # noqa: E402
from standins_2.deployment import Record, main  # noqa: E402
from standins_2.drafts import RANKS, Site, run_site  # noqa: E402
from standins_2.ranks import Trouble  # noqa: E402

RATE = 8.0
SECONDS = 108.0
CUTS = 11
CUT_SECONDS = 5.5
"""``for_s`` of ``node_cut`` among the troubles of sdsc-duct."""

REST_SECONDS = (1.0, 3.0)


async def cut_ranks(site: Site, record: Record) -> float:
    """Cut one rank off at a time; return the seconds that this took."""
    started_at = asyncio.get_running_loop().time()
    for _ in range(CUTS):
        await site.watch(random.uniform(*REST_SECONDS))
        rank = site.groups[0].ranks[random.randrange(RANKS)]
        assert rank.server is not None
        record.add("cut", rank=rank.id, step=site.groups[0].step)
        rank.server.cut()
        await site.watch(CUT_SECONDS)
        rank.server.heal()
        record.add("cut ended", rank=rank.id, step=site.groups[0].step)
    return asyncio.get_running_loop().time() - started_at


async def work(record: Record, directory: Path, has_trouble: bool) -> list[str]:
    """Play the case; return the broken rules."""
    async with run_site(record, directory, 1, Trouble()) as site:
        callers = Callers(site, record, RATE)
        site.tasks.append(asyncio.create_task(callers.run()))
        taken = await cut_ranks(site, record) if has_trouble else 0.0
        await site.watch(SECONDS - taken)
        record.add("run ended", step=site.groups[0].step)
        results = callers.stop()
    held = [rank.held for rank in site.groups[0].ranks]
    return check_served(results, record, held)


if __name__ == "__main__":
    main(work, FOLDER)
