"""An entry whose process stands still while messages of its agents arrive."""

import asyncio
import socket
import time
from random import Random

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.config import Endpoint
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.messages import Call, Execute, Load, Started
from cyclamenyoke.core.request import AGENT_RESPONSE_TIMEOUT
from cyclamenyoke.core.request_state import AttemptIdAllocator
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import Router
from cyclamenyoke.daemon.dispatcher import (
    CallerDisconnected,
    Dispatcher,
    Mailbox,
    ResponseSink,
)


class NoSink(ResponseSink):
    async def head(self, effect):
        pass

    async def part(self, data):
        pass

    async def end(self):
        pass

    async def reject(self, effect):
        pass


# Guards against an entry that takes its own pause for the silence of its agents.
async def test_agent_that_responds_while_the_entry_stands_still_is_not_unresponsive():
    clock, router, sent = BootClock(), Router("dc", Random(1)), []
    dispatcher = Dispatcher(
        router,
        AttemptIdAllocator("entry@1"),
        RetryBudget(clock.now()),
        RaisingMonitor(),
        clock,
        Metrics(),
    )
    dispatcher.connect(lambda agent, message: sent.append((agent, message)))
    router.configure({"s": [Endpoint("e0", "", "dc"), Endpoint("e1", "", "dc")]})
    for name in ("e0", "e1"):
        router.on_link_up(name, "first", False, Load())
    own_end, agents_end = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=own_end)

    async def read_link():
        await reader.readexactly(1)
        agent, message = sent[0]
        dispatcher.on_messages(agent, [Started(message.attempt)])

    link = asyncio.create_task(read_link())
    deadline = clock.now() + 10
    call = Call("r1", "s", "c", "POST", "/", "", b"", deadline, deadline - 1)
    mailbox = Mailbox()
    request = asyncio.create_task(dispatcher.dispatch(call, True, NoSink(), mailbox))
    while not sent:
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    agents_end.send(b".")
    time.sleep(2 * AGENT_RESPONSE_TIMEOUT)
    await link
    await asyncio.sleep(0.1)
    executed = [agent for agent, each in sent if isinstance(each, Execute)]
    mailbox.put_nowait(CallerDisconnected())
    await request
    writer.close()
    agents_end.close()
    assert len(executed) == 1
