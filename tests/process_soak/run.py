"""One run: starts the processes, plays the faults, and checks what was seen."""

import asyncio
import shutil
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from process_soak.faults import (
    NEED_PROXY,
    PROFILES,
    Fault,
    Injector,
    draw_faults,
    draw_profile,
)
from process_soak.networks import hold
from process_soak.observations import Observations
from process_soak.record import read_events
from process_soak.rules import check, summary
from process_soak.site import PORTS, Bounds, Site, Sizes

END_TIMEOUT = 15.0
"""Seconds in which callers end after their last request."""


@dataclass(frozen=True, slots=True)
class Options:
    """What is played.

    :param profile: kinds of faults; drawn from the seed if empty.
    :param source: tree of the gateways that run.
    :param gateway: module that is run as a gateway, and its arguments.
    :param network: first two numbers of the gateways' addresses, 127.1 to 127.254; runs
        beside each other need different ones.
    :param directory: gets a directory of records for each run.
    """

    seed: int
    seconds: float
    profile: str
    gateways: int
    callers: int
    rate: float
    work: float
    events: int
    grace: float
    slack: float
    busy: int
    source: Path
    gateway: str
    network: str
    directory: Path


@dataclass(slots=True)
class Report:
    """The outcome of a run.

    :param answered: requests that were answered with success.
    """

    findings: list[str]
    text: str
    answered: int


def play(options: Options) -> Report:
    """Play one run. The records of a run with findings are kept.

    :raises NetworkInUse: when another run has the network.
    """
    with hold(options.network, options.gateways, PORTS.values()):
        return _play_alone(options)


def _play_alone(options: Options) -> Report:
    random = Random(options.seed)
    profile = options.profile or draw_profile(random)
    directory = options.directory.absolute() / f"{options.seed}-{profile}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    sizes = Sizes(
        gateways=options.gateways,
        callers=options.callers,
        rate=options.rate,
        work=options.work,
        events=options.events,
        busy=options.busy,
    )
    bounds = Bounds(
        grace=options.grace,
        retry_slack=options.slack,
        plain_timeouts=PROFILES[profile].plain_timeouts,
    )
    faults = draw_faults(random, profile, options.seconds)
    site = Site(
        directory,
        sizes,
        bounds,
        random,
        options.source.absolute(),
        options.gateway,
        options.network,
        any(fault.name in NEED_PROXY for fault in faults),
        PROFILES[profile].has_variants,
    )
    began = asyncio.run(_play(site, faults, options.seconds))
    names = {f"{each.ip}:{PORTS['front']}": each.name for each in site.gateways}
    seen = Observations(read_events(directory), bounds, names)
    findings = check(seen)
    played = ", ".join(f"{fault.name} {fault.at:.1f}" for fault in faults)
    head = f"seed {options.seed} {profile}: {len(findings)} findings; {summary(seen)}"
    text = "\n".join(
        [head, f"  {played}; began at {began:.2f}", *(f"  {each}" for each in findings)]
    )
    (directory / "report.txt").write_text(text)
    if not findings:
        shutil.rmtree(directory)
    answered = sum(
        each.ended is not None and each.ended.status == 200
        for each in seen.requests.values()
    )
    return Report(findings, text, answered)


async def _play(site: Site, faults: list[Fault], seconds: float) -> float:
    """Play the faults; return when the callers started."""
    injector = Injector(site)
    try:
        await site.start()
        began = time.monotonic()
        await site.start_callers(began + seconds)
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
                group.create_task(injector.inject(fault))
        async with asyncio.timeout(seconds + END_TIMEOUT):
            codes = [await callers.wait() for callers in site.callers]
        if any(codes):
            raise RuntimeError(f"callers ended with {codes}")
        return began
    finally:
        await site.close()
