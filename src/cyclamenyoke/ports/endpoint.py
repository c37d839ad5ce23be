"""How an agent calls the one endpoint behind it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from cyclamenyoke.core.messages import Call
from cyclamenyoke.exceptions import CyclamenyokeError


@dataclass(frozen=True, slots=True)
class EndpointResponseHead:
    """The status and content type of the endpoint's response."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class EndpointResponseData:
    """A part of the body of the endpoint's response."""

    data: bytes


EndpointEvent = EndpointResponseHead | EndpointResponseData


class EndpointError(CyclamenyokeError):
    """The endpoint did not return a complete response.

    :param may_have_started: whether the endpoint may have started the call.
    """

    def __init__(self, message: str, may_have_started: bool) -> None:
        super().__init__(message)
        self.may_have_started = may_have_started


class EndpointClient(ABC):
    """Runs calls on an endpoint."""

    @abstractmethod
    def run(self, call: Call, priority: int) -> AsyncIterator[EndpointEvent]:
        """Run a call; the iterator ends when the response is complete.

        Cancelling the iteration cancels the call at the endpoint.

        :param priority: 0 is the highest; see :mod:`cyclamenyoke.core.slot_shares`.
        :raises EndpointError: when the response is incomplete.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
