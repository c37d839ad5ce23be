"""How a gateway answers a caller."""

from abc import ABC, abstractmethod

from cyclamenyoke.core.inbound_request import Header, RejectionReason


class ResponseWriter(ABC):
    """The answer to one request."""

    @abstractmethod
    def reject(
        self, refusal: RejectionReason, retry_after: float | None = None
    ) -> None:
        """Send a refusal of our own.

        :param retry_after: seconds after which another try may succeed.
        """

    @abstractmethod
    def send(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send an endpoint's whole answer."""

    @abstractmethod
    def start(self, status: int, headers: list[Header]) -> None:
        """Begin an endpoint's answer of unknown length."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body; returns once the caller has room for more."""

    @abstractmethod
    def finish(self) -> None:
        """End the answer as whole."""

    @abstractmethod
    def abort(self) -> None:
        """End the answer so that it does not look whole."""
