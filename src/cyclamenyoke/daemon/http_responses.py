"""HTTP responses to callers: forwarded responses, rejections and failures."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cyclamenyoke.core.messages import Reason
from cyclamenyoke.core.request_state import DeliverHead, ExecutionStatus, RejectRequest
from cyclamenyoke.daemon.dispatcher import ResponseSink
from cyclamenyoke.ports.clock import Clock

PROBLEM_CONTENT_TYPE = "application/problem+json"

HTTP_STATUS_OF_REASON = {
    Reason.DRAINING: 503,
    Reason.DEADLINE: 504,
    Reason.QUEUE_FULL: 429,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_REUSED: 422,
    Reason.CLAIM_HOLDER_LOST: 409,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_UNREACHABLE: 503,
    Reason.CONNECTION_LOST: 502,
    Reason.WRONG_RESPONSE: 502,
}
"""The HTTP status of a rejection; 503 for every other reason."""

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a rejection in the problem format of RFC 9457.

    :param ran: ``no`` if the request has not run and never will; ``unknown`` if it may
        have run.
    :param reason: a short machine-readable code.
    :param earlier: ``unknown`` for a valid call with an idempotency key, as an earlier
        request with the key may have run; otherwise empty.
    :param retry_after: seconds after which the caller may retry.
    :param entries: addresses of other entries to use.
    """

    title: str
    status: int
    ran: str
    reason: str
    request_id: str
    detail: str = ""
    earlier: str = ""
    retry_after: float = 0.0
    entries: list[str] = []


class RejectedCall(Exception):
    """A call that is rejected before it is sent to an agent.

    :param reason: a short machine-readable code.
    """

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class HttpResponseSink(ResponseSink):
    """Sends one request's response to its caller over ASGI.

    Measures ``time_to_first_part`` and ``longest_gap`` in seconds.

    :param received_at: when the request was received, in Unix time.
    """

    def __init__(
        self, send: AsgiSend, request_id: str, received_at: float, clock: Clock
    ) -> None:
        self._send = send
        self._request_id = request_id
        self._clock = clock
        self._received_at = received_at
        self._last_part_at = 0.0
        self._is_event_stream = False
        self.has_idempotency_key = False
        self.is_ended = False
        self.time_to_first_part = 0.0
        self.longest_gap = 0.0

    @property
    def received_at(self) -> float:
        """When the request was received, in Unix time."""
        return self._received_at

    async def head(self, effect: DeliverHead) -> None:
        self._is_event_stream = effect.content_type.startswith("text/event-stream")
        headers = {"content-type": effect.content_type}
        if effect.replayed:
            headers["idempotent-replayed"] = "true"
        await self._start(effect.status, headers)

    async def part(self, data: bytes) -> None:
        now = self._clock.now()
        if self._last_part_at:
            self.longest_gap = max(self.longest_gap, now - self._last_part_at)
        else:
            self.time_to_first_part = now - self._received_at
        self._last_part_at = now
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        self.is_ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def reject(self, effect: RejectRequest) -> None:
        status = HTTP_STATUS_OF_REASON.get(effect.reason, 503)
        problem = Problem(
            "request refused"
            if effect.execution_status is ExecutionStatus.NOT_EXECUTED
            else "outcome unknown",
            status,
            effect.execution_status.value,
            effect.reason.value,
            self._request_id,
            earlier="unknown" if self.has_idempotency_key else "",
            retry_after=round(effect.retry_after, 3),
        )
        self.is_ended = True
        if effect.is_response_started:
            await self._mark_failed(problem)
        else:
            await self._send_problem(problem)

    async def reject_invalid(self, rejection: RejectedCall) -> None:
        """Reject a call that was not sent to any agent."""
        problem = Problem(
            "request rejected",
            rejection.status,
            ExecutionStatus.NOT_EXECUTED.value,
            rejection.reason,
            self._request_id,
            rejection.detail,
        )
        await self._send_problem(problem)

    async def reject_draining(self, entries: list[str]) -> None:
        """Reject a call because this entry is draining, and name other entries."""
        problem = Problem(
            "this entry is leaving",
            503,
            ExecutionStatus.NOT_EXECUTED.value,
            Reason.DRAINING.value,
            self._request_id,
            entries=entries,
        )
        await self._send_problem(problem, {"connection": "close"})

    async def _send_problem(
        self, problem: Problem, extra_headers: dict[str, str] | None = None
    ) -> None:
        headers = {"content-type": PROBLEM_CONTENT_TYPE, **(extra_headers or {})}
        if problem.retry_after:
            headers["retry-after"] = str(max(1, round(problem.retry_after)))
        await self._start(problem.status, headers)
        await self._send(
            {"type": "http.response.body", "body": msgspec.json.encode(problem)}
        )

    async def _mark_failed(self, problem: Problem) -> None:
        """Mark a response as failed after a part of it was sent.

        An event stream gets an error event in place of its final event. Any other
        response is aborted, which the caller sees by the missing last chunk.
        """
        if self._is_event_stream:
            event = b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
            await self._send(
                {"type": "http.response.body", "body": event, "more_body": False}
            )
            return
        raise ConnectionAbortedError(
            "response aborted: the request failed after a part was sent"
        )

    async def _start(self, status: int, headers: dict[str, str]) -> None:
        fields = {**headers, "x-request-id": self._request_id}
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(k.encode(), v.encode()) for k, v in fields.items()],
            }
        )
