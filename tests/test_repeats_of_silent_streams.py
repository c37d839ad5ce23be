"""Streams at engines that are silent, break off or refuse, with callers that leave."""

import asyncio
import collections
from dataclasses import dataclass
from random import Random

import pytest

from cyclamenyoke.standins.engine import Behaviour, StandInEngine
from site_fixture import (
    caller_headers,
    configuration,
    connect,
    encode_request,
    read_response,
    running_site,
)

EVENTS = 8
REQUESTS = 24
ENGINES = 4
DEADLINE_MS = 4500

FAULTS = (Behaviour.REJECT, Behaviour.SILENT, Behaviour.BROKEN_GROUP)


@dataclass
class Run:
    """One run of a stream at an engine, by its own account."""

    began_at: float
    broke_off_at: float = 0.0


class PausingEngine(StandInEngine):
    """An engine whose streams pause, break off or end by chance."""

    random = Random(0)

    def __init__(self, id_: str) -> None:
        super().__init__(id_, True, "dc-1")
        self.at_work: collections.Counter[str] = collections.Counter()
        self.runs: dict[str, Run] = {}

    async def _respond_stream(self, request, behaviour, reader, writer):
        random, id_ = self.random, request.headers["x-request-id"]
        self.at_work[id_] += 1
        run = self.runs[id_] = Run(asyncio.get_running_loop().time())
        try:
            head = self._head(request, 200, ["Content-Type: text/event-stream"], None)
            if random.random() < 0.3:
                await asyncio.sleep(random.choice([0.3, 1.1]))
            writer.write(head)
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, EVENTS + 1):
                await self._pause(random, reader, writer)
                if random.random() < 0.04:
                    writer.transport.abort()
                    run.broke_off_at = asyncio.get_running_loop().time()
                    return
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                half = random.randrange(len(event)) if random.random() < 0.2 else 0
                if half:
                    writer.write(b"%x\r\n%b\r\n" % (half, event[:half]))
                    await self._pause(random, reader, writer)
                rest = event[half:]
                writer.write(b"%x\r\n%b\r\n" % (len(rest), rest))
            writer.write(b"0\r\n\r\n")
        finally:
            self.at_work[id_] -= 1

    async def _pause(self, random, reader, writer):
        long = random.choice([1.02, 1.1, 1.3, 2.0])
        seconds = long if random.random() < 0.15 else 0.02
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(0.02)


async def ask(settings, random, headers):
    begin = asyncio.get_running_loop().time()
    reader, writer = await connect(settings.callers)
    try:
        writer.write(encode_request("POST", "/stream/a", headers, b"{}"))
        patience = random.choice([0.1, 0.5, 1.05, 1.5, 2.5])
        async with asyncio.timeout(patience if random.random() < 0.3 else 8.0):
            response = await read_response(reader)
        response.begin, response.end = begin, asyncio.get_running_loop().time()
        return response
    except TimeoutError:
        return None
    finally:
        writer.transport.abort()


def event_numbers(response):
    return [
        int(line.removeprefix(b"id: "))
        for line in response.body.split(b"\n")
        if line.startswith(b"id: ")
    ]


def was_cut_in_vain(runs, cut_at, deadline):
    """Return whether a stream ended early though no engine had just broken off.

    :param runs: of engines that had begun on the request.
    """
    ends = [each.broke_off_at for each in runs if each.broke_off_at]
    is_explained = ends and cut_at - max(ends) < 1.0
    return bool(runs) and cut_at < deadline - 0.3 and not is_explained


# Guards against doubled, missing or mixed events, and against counts that stay.
@pytest.mark.parametrize("seed", range(6))
async def test_streams_of_pausing_engines_are_whole_and_leave_nothing(seed):
    random = PausingEngine.random = Random(seed)
    async with running_site(engines=0) as site:
        engines = [PausingEngine(f"llm-pausing-{each}") for each in range(ENGINES)]
        for engine in engines:
            await engine.start()
            site.engines[engine.id] = engine
            site.platform.put(f"servers/{engine.id}", engine.entry("llm"))
        routes = configuration(2)["routes"]
        routes[0] |= {"timeout_ms": DEADLINE_MS, "max_attempts": 2 + seed % 2}
        site.publish(configuration(2, routes=routes))
        await site.notify_watches()
        gateway, settings, _ = site.gateways[0]
        forwarder, registry = gateway._forwarder, gateway._balancer
        await asyncio.sleep(0.5)
        for engine in engines:
            engine.script.extend(
                random.choice(FAULTS) if random.random() < 0.15 else Behaviour.ANSWER
                for _ in range(3 * REQUESTS)
            )
        headers = [caller_headers(deadline=DEADLINE_MS) for _ in range(REQUESTS)]
        tasks = []
        for each in headers:
            tasks.append(asyncio.create_task(ask(settings, random, each)))
            await asyncio.sleep(random.uniform(0.0, 0.15))
        responses = await asyncio.gather(*tasks)
        for response in responses:
            if response is None or response.status != 200:
                continue
            numbers = event_numbers(response)
            assert numbers == list(range(1, len(numbers) + 1))
            assert not response.is_complete or len(numbers) == EVENTS
        in_vain = []
        for each, response in zip(headers, responses, strict=True):
            if response is None or response.status != 200 or response.is_complete:
                continue
            id_ = each["X-Request-Id"]
            runs = [engine.runs[id_] for engine in engines if id_ in engine.runs]
            deadline = response.begin + DEADLINE_MS / 1000
            if was_cut_in_vain(runs, response.end, deadline):
                in_vain.append((id_, response.begin, response.end, runs))
        arrivals = collections.Counter(
            (each.headers["x-request-id"], engine.id)
            for engine in engines
            for each in engine.state.received
        )
        assert max(arrivals.values()) == 1
        executed = collections.Counter(
            each.headers["x-request-id"]
            for engine in engines
            for each in engine.state.executed
        )
        assert max(executed.values()) <= 2 + seed % 2
        await site.wait_until(lambda: not forwarder._serving)
        await site.wait_until(
            lambda: not any(+engine.at_work for engine in engines), 2.0
        )
        assert not any(registry.own_requests.values())
        assert not any(
            count for each in registry.own_customers.values() for count in each.values()
        )
        forwarder._reservations.check(gateway._monitor)
        assert not forwarder._waiting
        pools = gateway._pool._pools.values()
        await site.wait_until(
            lambda: all(len(pool.owners) == len(pool.idle) for pool in pools), 2.0
        )
        assert not in_vain
