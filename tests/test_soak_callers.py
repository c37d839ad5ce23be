"""Callers of the soak: when they end."""

import asyncio
import itertools
import time
from random import Random

from process_soak.callers import Caller, OneAddress, Route
from process_soak.record import Record

ROUTE = Route("draft", "streaming", "llm", 1.0, 8.0)


def make_caller(record, address, think_time):
    return Caller(
        "c",
        [ROUTE],
        think_time,
        0.0,
        OneAddress(address),
        record,
        Random(1),
        itertools.count(1),
        [],
    )


def test_caller_does_not_begin_to_wait_beyond_the_end_of_its_run(tmp_path):
    caller = make_caller(Record(tmp_path / "caller.jsonl"), "127.0.0.1:1", 1e6)

    async def play():
        async with asyncio.timeout(5.0):
            await caller.run(time.monotonic() + 0.5)

    asyncio.run(play())
