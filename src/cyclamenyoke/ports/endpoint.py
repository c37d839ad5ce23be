"""How an agent speaks with the one endpoint behind it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from cyclamenyoke.core.messages import Call
from cyclamenyoke.exceptions import CyclamenyokeError


@dataclass(frozen=True, slots=True)
class EndpointHead:
    """The status of the endpoint's answer."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class EndpointData:
    """A part of the endpoint's answer."""

    data: bytes


EndpointEvent = EndpointHead | EndpointData


class EndpointError(CyclamenyokeError):
    """The endpoint gave no whole answer.

    :param began: whether it may have begun the call.
    """

    def __init__(self, message: str, began: bool) -> None:
        super().__init__(message)
        self.began = began


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
