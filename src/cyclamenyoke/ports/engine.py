"""How a gateway sends requests to engines and plain services."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.inbound_request import Header, InboundRequest
from cyclamenyoke.exceptions import CyclamenyokeError


class EngineUnreachable(CyclamenyokeError):
    """No connection could be opened; no byte of the request was sent."""


@dataclass(frozen=True, slots=True)
class EngineNotice:
    """What a response states about the endpoint rather than about the request.

    :param is_leaving: whether the endpoint is leaving and is to get no new requests.
    :param pause: seconds for which the endpoint wants no requests from this node.
    :param rate_limit: requests a second that the endpoint takes from all nodes;
        ``None`` for no limit.
    """

    is_leaving: bool = False
    pause: float = 0.0
    rate_limit: float | None = None


NO_NOTICE = EngineNotice()
"""The notice of a response that does not come from the endpoint itself. Any other one
without a limit means that the endpoint has none."""


@dataclass(frozen=True, slots=True)
class EngineResponseHead:
    """The status and headers of the endpoint's response.

    :param headers: the end-to-end headers, which are forwarded to the caller.
    :param is_success: whether the status is a success; such a response is signed.
    :param is_signed: whether it has an engine's signature.
    :param implies_not_run: whether callers take the status as a confirmation that the
        request has not run, which the endpoint has not given.
    """

    status: int
    headers: list[Header]
    is_success: bool
    is_event_stream: bool
    notice: EngineNotice = NO_NOTICE
    is_signed: bool = False
    implies_not_run: bool = False


@dataclass(frozen=True, slots=True)
class EngineResponseData:
    """A part of the response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class EngineResponseEnd:
    """The response is complete.

    :param is_at_close: whether only the end of the connection delimited it.
    """

    is_at_close: bool = False


@dataclass(frozen=True, slots=True)
class EngineResponseFailed:
    """The response was truncated or cannot be trusted; the request may have run.

    :param is_closed: whether the endpoint's end of the connection is the reason.
    :param status: the status of a response that can't be trusted; ``None`` for one that
        was truncated or did not arrive.
    :param is_signed: whether it has an engine's signature.
    """

    reason: str
    notice: EngineNotice = NO_NOTICE
    is_closed: bool = False
    status: int | None = None
    is_signed: bool = False


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The endpoint confirms that the request has not run.

    :param is_misdirected: whether another endpoint responded at the address.
    :param is_group_broken: whether another rank of the endpoint's group has failed,
        so that the endpoint runs no requests until the group recovers.
    :param is_signed: whether the response has an engine's signature.
    """

    status: int
    is_misdirected: bool
    is_group_broken: bool
    notice: EngineNotice = NO_NOTICE
    is_signed: bool = False


EngineEvent = (
    EngineResponseHead
    | EngineResponseData
    | EngineResponseEnd
    | EngineResponseFailed
    | NotExecuted
)


class EngineCall(ABC):
    """One request sent to one endpoint."""

    @property
    @abstractmethod
    def has_event(self) -> bool:
        """Whether :meth:`receive` returns at once."""

    @abstractmethod
    async def wait(self) -> None:
        """Wait until there is an event. Nothing is lost if this is cancelled."""

    @abstractmethod
    async def receive(self) -> EngineEvent:
        """Return the next event of the response."""

    @abstractmethod
    def release(self) -> None:
        """Release the connection; closes it if the response is incomplete."""


class EngineClient(ABC):
    """Sends requests to endpoints."""

    @abstractmethod
    async def send(
        self,
        endpoint: Endpoint,
        request: InboundRequest,
        customer: str | None,
        last_event_id: int | None,
        deadline: float,
        max_connections: int,
    ) -> EngineCall:
        """Send a request.

        :param customer: name of the customer; ``None`` to send none.
        :param last_event_id: the event after which a stream resumes; ``None`` to
            start from the first event.
        :param deadline: when the endpoint stops working on the request, by the client's
            clock.
        :param max_connections: limit of this node's open connections to the endpoint.
        :raises EngineUnreachable: when nothing was sent.
        """

    @abstractmethod
    async def has_ended(self, endpoint: Endpoint, max_connections: int) -> bool:
        """Return whether an endpoint that closed a connection has ended.

        Without an answer in a short time it counts as running.

        :param max_connections: limit of this node's open connections to the endpoint.
        """
