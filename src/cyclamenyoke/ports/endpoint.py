"""How an agent speaks with the one endpoint behind it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from cyclamenyoke.core.messages import Call
from cyclamenyoke.exceptions import CyclamenyokeError


@dataclass(frozen=True, slots=True)
class EndpointResponseHead:
    """The status of the endpoint's answer."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class EndpointResponseData:
    """A part of the endpoint's answer."""

    data: bytes


EndpointEvent = EndpointResponseHead | EndpointResponseData


class EndpointError(CyclamenyokeError):
    """The endpoint gave no whole answer.

    :param may_have_started: whether it may have begun the call.
    """

    def __init__(self, message: str, may_have_started: bool) -> None:
        super().__init__(message)
        self.may_have_started = may_have_started


class EndpointClient(ABC):
    """Runs calls on an endpoint."""

    @abstractmethod
    def run(self, call: Call, priority: int) -> AsyncIterator[EndpointEvent]:
        """Run a call; the iterator ends when the answer is whole.

        Cancelling the iteration cancels the endpoint's work.

        :raises EndpointError: when the answer is not whole.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""
