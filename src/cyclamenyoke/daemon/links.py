"""The entry's connections to agents, one task each.

A link connects, authenticates with the shared key, forwards messages, and reconnects
with a jittered backoff. It informs its listener when the connection is established and
when it is lost.
"""

import asyncio
from abc import ABC, abstractmethod
from random import Random

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.message_stream import MessageStream, connect_to_agent
from cyclamenyoke.core.config import Endpoint
from cyclamenyoke.core.messages import FromAgent, Load, ToAgent
from cyclamenyoke.core.units import MILLISECOND, SECOND
from cyclamenyoke.exceptions import AuthenticationError, ProtocolError

INITIAL_RECONNECT_DELAY = 50 * MILLISECOND
"""First delay in seconds before a link reconnects; doubled at each failure."""

MAX_RECONNECT_DELAY = 2 * SECOND
"""Upper bound in seconds of the reconnect delay, before a jitter of ±50 %."""


class LinkListener(ABC):
    """Receives the events of links."""

    @abstractmethod
    def on_link_up(
        self, agent: str, incarnation: str, is_draining: bool, load: Load
    ) -> None:
        """An agent is connected."""

    @abstractmethod
    def on_link_down(self, agent: str) -> None:
        """The connection to an agent was lost."""

    @abstractmethod
    def on_messages(self, agent: str, messages: list[FromAgent]) -> None:
        """Messages were received from an agent."""


class Links:
    """The links of one entry, one for each endpoint.

    ``endpoint.agent`` is the address of an agent. Elsewhere, ``agent`` is its name, the
    same as the endpoint's.

    :param entry_incarnation: unique to this start of the entry.
    """

    def __init__(
        self,
        entry_incarnation: str,
        shared_key: bytes,
        listener: LinkListener,
        random: Random,
        log: Log,
    ) -> None:
        self._entry_incarnation = entry_incarnation
        self._shared_key = shared_key
        self._listener = listener
        self._random = random
        self._log = log
        self._endpoints: dict[str, Endpoint] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._streams: dict[str, MessageStream[FromAgent]] = {}

    def configure(self, endpoints: dict[str, Endpoint]) -> None:
        """Connect to new endpoints; disconnect from removed and moved ones."""
        for name, endpoint in list(self._endpoints.items()):
            if endpoints.get(name) is None or endpoints[name].agent != endpoint.agent:
                self._tasks.pop(name).cancel()
                del self._endpoints[name]
        for name, endpoint in endpoints.items():
            if name not in self._endpoints:
                self._tasks[name] = asyncio.create_task(self._maintain_link(endpoint))
            self._endpoints[name] = endpoint

    def send(self, agent: str, message: ToAgent) -> None:
        """Send a message; it is dropped if the agent is not connected."""
        stream = self._streams.get(agent)
        if stream is not None:
            stream.send(message)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()

    async def _maintain_link(self, endpoint: Endpoint) -> None:
        delay = INITIAL_RECONNECT_DELAY
        while True:
            try:
                await self._run_link(endpoint)
                delay = INITIAL_RECONNECT_DELAY
            except (OSError, TimeoutError, ProtocolError) as error:
                self._log.debug(
                    "connection to agent failed; retrying",
                    agent=endpoint.name,
                    error=str(error),
                )
            except AuthenticationError as error:
                self._log.error(
                    "agent authentication failed; retrying",
                    agent=endpoint.name,
                    error=str(error),
                )
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.5))
            delay = min(MAX_RECONNECT_DELAY, delay * 2)

    async def _run_link(self, endpoint: Endpoint) -> None:
        stream, challenge, welcome = await connect_to_agent(
            endpoint.agent, self._entry_incarnation, self._shared_key
        )
        name = endpoint.name
        if challenge.agent != name:
            stream.abort()
            raise ProtocolError(
                f"agent {challenge.agent!r} answered at the address of {name!r}"
            )
        self._streams[name] = stream
        self._log.info("link up", agent=name, incarnation=challenge.incarnation)
        self._listener.on_link_up(
            name, challenge.incarnation, welcome.is_draining, welcome.load
        )
        try:
            while True:
                self._listener.on_messages(name, await stream.receive())
        except (OSError, ProtocolError) as error:
            self._log.info("link down", agent=name, error=str(error))
        finally:
            stream.abort()
            del self._streams[name]
            self._listener.on_link_down(name)
