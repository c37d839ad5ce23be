"""The callers' HTTP API of an entry."""

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

import msgspec
from litestar import Litestar, asgi, get
from litestar.connection import Request
from litestar.response import Response

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.burn import BurnLedger
from cyclamenyoke.core.config import Customer, Service, ServiceKind
from cyclamenyoke.core.messages import Call, Reason
from cyclamenyoke.core.request import DeliverHead, Ran, Refuse, RequestState
from cyclamenyoke.core.units import MEBIBYTE, MINUTE, SECOND
from cyclamenyoke.daemon.requests import AnswerSink, CallerGone, Dispatcher, Mailbox
from cyclamenyoke.ports.clock import Clock

BODY_LIMIT = 1 * MEBIBYTE
"""Largest request body in bytes."""

ADDRESS_LIFETIME = 10 * SECOND
"""Seconds for which a caller may keep an answer about addresses."""

FUTURE_LIMIT = 5 * MINUTE
"""Seconds by which a key's issue time may lie in the future."""

START_SHARE = 0.8
"""Share of the time to the deadline within which a call must begin."""

BYTES_A_TOKEN = 4
"""Bytes of a request body that count as one token."""

DEFAULT_MAX_TOKENS = 256
"""Tokens of an answer that are assumed without ``max_tokens``."""

PROBLEM = "application/problem+json"

STATUS_OF_REASON = {
    Reason.LEAVING: 503,
    Reason.DEADLINE: 504,
    Reason.QUEUE_FULL: 429,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_REUSED: 422,
    Reason.HOLDER_LOST: 409,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_UNREACHABLE: 503,
    Reason.LINK_LOST: 502,
    Reason.WRONG_ANSWER: 502,
}
"""The HTTP status of a refusal; 503 for every other reason."""

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a refusal, as RFC 9457 has it.

    :param ran: ``no`` when the request started nothing and never will;
        ``unknown`` when it may have run.
    :param earlier: for a call with an idempotency key, whether an earlier request
        with the key may have run.
    :param retry_after: seconds after which the caller may come back.
    :param entries: other entries to use.
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
    """A call that is refused before any agent is asked.

    :param reason: a short machine-readable word.
    """

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry that callers may use."""

    name: str
    address: str
    data_centre: str


class EntryAddresses(msgspec.Struct, frozen=True):
    """The answer to a caller that asks which entry to use.

    :param expires_at: until when the answer may be kept, in Unix time.
    """

    entries: list[EntryAddress]
    expires_at: float


class CallersApi:
    """Takes calls over HTTP and carries them to agents.

    :param services: returns the services in force.
    :param entries: returns the usable entries, best first for this one's place.
    :param is_leaving: tells whether this entry takes no new calls.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        services: Callable[[], dict[str, Service]],
        entries: Callable[[], list[EntryAddress]],
        is_leaving: Callable[[], bool],
        burn: BurnLedger,
        clock: Clock,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._dispatcher = dispatcher
        self._services = services
        self._entries = entries
        self._is_leaving = is_leaving
        self._burn = burn
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def application(self) -> Litestar:
        """Return the ASGI application."""

        @get("/v1/entry-vms", sync_to_thread=False)
        def entry_vms() -> Response[bytes]:
            return self._answer_addresses()

        @get("/v1/models", sync_to_thread=False)
        def models(request: Request[Any, Any, Any]) -> Response[bytes]:
            return self._answer_models(request.headers.get("authorization", ""))

        @asgi("/v1/chat/completions", copy_scope=False)
        async def chat(scope: Any, receive: Any, send: Any) -> None:
            await self._handle(scope, receive, send, self._prepare_chat)

        @asgi("/services", is_mount=True, copy_scope=False)
        async def plain(scope: Any, receive: Any, send: Any) -> None:
            await self._handle(scope, receive, send, self._prepare_plain)

        return Litestar(
            [entry_vms, models, chat, plain], openapi_config=None, logging_config=None
        )

    def _answer_addresses(self) -> Response[bytes]:
        expires_at = self._clock.now() + ADDRESS_LIFETIME
        answer = EntryAddresses(self._entries(), expires_at)
        return Response(msgspec.json.encode(answer), media_type="application/json")

    def _answer_models(self, authorization: str) -> Response[bytes]:
        names = [
            model
            for service in self._services().values()
            if _customer_of(service, authorization) is not None
            for model in service.models
        ]
        listing = [{"id": name, "object": "model"} for name in sorted(names)]
        body = msgspec.json.encode({"object": "list", "data": listing})
        return Response(body, media_type="application/json")

    async def _handle(
        self,
        scope: Scope,
        receive: Receive,
        send: SendEvent,
        prepare: "Callable[[CallRequest], PreparedCall]",
    ) -> None:
        request_id = uuid.uuid4().hex
        received_at = self._clock.now()
        sink = HttpSink(send, request_id, received_at, self._clock)
        try:
            if self._is_leaving():
                await sink.refuse_leaving([each.address for each in self._entries()])
                return
            if not self._services():
                detail = "this entry has no configuration yet"
                raise RejectedCall(503, "starting", detail)
            body = await _read_body(receive)
            request = CallRequest(scope, body, request_id, received_at)
            prepared = prepare(request)
        except RejectedCall as rejected:
            self._metrics.count("rejected", reason=rejected.reason)
            await sink.reject(rejected)
            return
        sink.keyed = prepared.call.at_most_once
        await self._carry(prepared, receive, sink)

    async def _carry(
        self, prepared: "PreparedCall", receive: Receive, sink: "HttpSink"
    ) -> None:
        mailbox: Mailbox = asyncio.Queue()
        call = prepared.call
        watcher = asyncio.create_task(_watch_caller(receive, mailbox))
        try:
            core = await self._dispatcher.carry(call, prepared.streaming, sink, mailbox)
        finally:
            watcher.cancel()
        self._observe(prepared, core.state, sink)
        self._log.info(
            "request ended",
            request=call.request_id,
            attempts=[f"{each.entry}#{each.number}" for each in core.attempts],
            customer=call.customer,
            service=call.service,
            state=core.state.value,
            seconds=round(self._clock.now() - sink.received_at, 6),
        )
        if not sink.is_ended:
            raise ConnectionAbortedError("caller is gone or reads too slowly")

    def _observe(
        self, prepared: "PreparedCall", state: RequestState, sink: "HttpSink"
    ) -> None:
        call = prepared.call
        now = self._clock.now()
        levels = prepared.service.service_levels
        whole = state is RequestState.ANSWERED
        good = (
            whole
            and sink.first_part_after <= levels.first_token
            and sink.longest_gap <= levels.between_tokens
        )
        self._burn.record(call.service, call.customer, good, levels.objective, now)
        elapsed = now - sink.received_at
        self._metrics.observe("request", elapsed, service=call.service)
        if whole:
            first = sink.first_part_after
            self._metrics.observe("first_token", first, service=call.service)
            self._metrics.observe(
                "between_tokens", sink.longest_gap, service=call.service
            )

    def _prepare_chat(self, request: "CallRequest") -> "PreparedCall":
        if request.method != "POST":
            raise RejectedCall(405, "method", "use POST")
        chat = _decode_chat(request.body)
        service = next(
            (each for each in self._services().values() if chat.model in each.models),
            None,
        )
        customer = _require_customer(service, request.authorization)
        assert service is not None
        cost = len(request.body) / BYTES_A_TOKEN + chat.max_tokens
        return request.prepare(service, customer, "/v1/chat/completions", cost)

    def _prepare_plain(self, request: "CallRequest") -> "PreparedCall":
        name, _, path = request.path.removeprefix("/services/").partition("/")
        service = self._services().get(name)
        if service is not None and service.kind is not ServiceKind.PLAIN:
            service = None
        customer = _require_customer(service, request.authorization)
        assert service is not None
        return request.prepare(service, customer, f"/{path}", 1.0)


class ChatBody(msgspec.Struct):
    """What an entry reads of a chat request; the rest passes through."""

    model: str
    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS


class PreparedCall(msgspec.Struct, frozen=True):
    """A checked call."""

    call: Call
    service: Service
    streaming: bool


class CallRequest:
    """One HTTP request of a caller."""

    def __init__(
        self, scope: Scope, body: bytes, request_id: str, received_at: float
    ) -> None:
        self._headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        raw_path = scope.get("raw_path") or scope["path"].encode()
        self._query = scope.get("query_string", b"").decode("latin-1")
        self.method: str = scope["method"]
        self.path = unquote(str(raw_path, "latin-1"))
        self.body = body
        self._request_id = request_id
        self._received_at = received_at

    @property
    def authorization(self) -> str:
        """The value of the header of that name."""
        return self._headers.get("authorization", "")

    def prepare(
        self, service: Service, customer: Customer, path: str, cost: float
    ) -> PreparedCall:
        """Check the call against its service.

        :param path: the path at the endpoint.
        :param cost: estimated work in tokens.
        :raises RejectedCall: when it may not be carried.
        """
        deadline = self._deadline(service)
        repeatable = service.may_repeat(self.method, path)
        key, issued_at = ("", 0.0) if repeatable else self._idempotency_key()
        target = f"{path}?{self._query}" if self._query else path
        digest = hashlib.blake2b(
            f"{self.method} {target}\n".encode() + self.body, digest_size=12
        )
        call = Call(
            self._request_id,
            service.service,
            customer.name,
            self.method,
            target,
            self._headers.get("content-type", ""),
            self.body,
            deadline,
            self._received_at + START_SHARE * (deadline - self._received_at),
            customer.share,
            cost,
            key,
            issued_at,
            digest.digest(),
        )
        streaming = service.kind is ServiceKind.MODEL and _decode_chat(self.body).stream
        return PreparedCall(call, service, streaming)

    def _deadline(self, service: Service) -> float:
        text = self._headers.get("x-request-timeout")
        if text is None:
            return self._received_at + service.deadlines.default
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= service.deadlines.maximum:
            limit = service.deadlines.maximum
            detail = (
                f"X-Request-Timeout {text!r} is not between 0 and {limit:g} seconds"
            )
            raise RejectedCall(400, "bad_timeout", detail)
        return self._received_at + seconds

    def _idempotency_key(self) -> tuple[str, float]:
        key = self._headers.get("idempotency-key", "")
        if not key or len(key) > 255:
            detail = "this call may not be repeated and needs an Idempotency-Key"
            raise RejectedCall(400, "key_missing", detail)
        issued_at = self._issue_time(key)
        if issued_at > self._received_at + FUTURE_LIMIT:
            raise RejectedCall(400, "key_from_future", "issue time lies in the future")
        return key, issued_at

    def _issue_time(self, key: str) -> float:
        """Return when a key was issued: from its header, or from a UUIDv7."""
        header = self._headers.get("idempotency-key-issued-at")
        try:
            if header is not None:
                return float(header)
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = None
        if parsed is None or parsed.version != 7:
            detail = (
                "Idempotency-Key is no UUIDv7 and Idempotency-Key-Issued-At, in"
                " seconds of Unix time, is missing or wrong"
            )
            raise RejectedCall(400, "key_without_issue_time", detail)
        return (parsed.int >> 80) / 1000


class HttpSink(AnswerSink):
    """Gives one request's answer to its caller.

    :param received_at: when the request came, in Unix time.
    """

    def __init__(
        self, send: SendEvent, request_id: str, received_at: float, clock: Clock
    ) -> None:
        self._send = send
        self._request_id = request_id
        self._clock = clock
        self._received_at = received_at
        self._last_part_at = 0.0
        self._event_stream = False
        self.keyed = False
        self.is_ended = False
        self.first_part_after = 0.0
        self.longest_gap = 0.0

    @property
    def received_at(self) -> float:
        """When the request came, in Unix time."""
        return self._received_at

    async def head(self, effect: DeliverHead) -> None:
        self._event_stream = effect.content_type.startswith("text/event-stream")
        headers = {"content-type": effect.content_type}
        if effect.replayed:
            headers["idempotent-replayed"] = "true"
        await self._start(effect.status, headers)

    async def part(self, data: bytes) -> None:
        now = self._clock.now()
        if self._last_part_at:
            self.longest_gap = max(self.longest_gap, now - self._last_part_at)
        else:
            self.first_part_after = now - self._received_at
        self._last_part_at = now
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        self.is_ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def refuse(self, effect: Refuse) -> None:
        status = STATUS_OF_REASON.get(effect.reason, 503)
        problem = Problem(
            "request refused" if effect.ran is Ran.NO else "outcome unknown",
            status,
            effect.ran.value,
            effect.reason.value,
            self._request_id,
            earlier="unknown" if self.keyed else "",
            retry_after=round(effect.retry_after, 3),
        )
        self.is_ended = True
        if effect.delivered:
            await self._mark_failed(problem)
        else:
            await self._problem(problem)

    async def reject(self, rejected: RejectedCall) -> None:
        """Refuse a call that no agent was asked to run."""
        problem = Problem(
            "request rejected",
            rejected.status,
            Ran.NO.value,
            rejected.reason,
            self._request_id,
            rejected.detail,
        )
        await self._problem(problem)

    async def refuse_leaving(self, entries: list[str]) -> None:
        """Send a caller to other entries."""
        problem = Problem(
            "this entry is leaving",
            503,
            Ran.NO.value,
            Reason.LEAVING.value,
            self._request_id,
            entries=entries,
        )
        await self._problem(problem, {"connection": "close"})

    async def _problem(
        self, problem: Problem, more_headers: dict[str, str] | None = None
    ) -> None:
        headers = {"content-type": PROBLEM, **(more_headers or {})}
        if problem.retry_after:
            headers["retry-after"] = str(max(1, round(problem.retry_after)))
        await self._start(problem.status, headers)
        await self._send(
            {"type": "http.response.body", "body": msgspec.json.encode(problem)}
        )

    async def _mark_failed(self, problem: Problem) -> None:
        """Mark an answer as failed whose beginning has gone out.

        An event stream gets an error event and no last event. Any other answer
        is cut, which HTTP shows by the missing last chunk.
        """
        if self._event_stream:
            event = b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
            await self._send(
                {"type": "http.response.body", "body": event, "more_body": False}
            )
            return
        raise ConnectionAbortedError("answer is not whole")

    async def _start(self, status: int, headers: dict[str, str]) -> None:
        fields = {**headers, "x-request-id": self._request_id}
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(k.encode(), v.encode()) for k, v in fields.items()],
            }
        )


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise RejectedCall(400, "caller_gone", "caller disconnected")
        part = event.get("body", b"")
        size += len(part)
        if size > BODY_LIMIT:
            detail = f"body is larger than {BODY_LIMIT} bytes"
            raise RejectedCall(413, "body_too_large", detail)
        parts.append(part)
        if not event.get("more_body", False):
            return b"".join(parts)


async def _watch_caller(receive: Receive, mailbox: Mailbox) -> None:
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            mailbox.put_nowait(CallerGone())
            return


def _decode_chat(body: bytes) -> ChatBody:
    try:
        return msgspec.json.decode(body, type=ChatBody)
    except msgspec.DecodeError as error:
        raise RejectedCall(400, "bad_body", str(error)) from error


def _customer_of(service: Service | None, authorization: str) -> Customer | None:
    """Return the customer whose key a caller gave.

    Only digests are compared, so the time tells nothing about a key.
    """
    if service is None:
        return None
    key = authorization.removeprefix("Bearer ")
    digest = hashlib.sha256(key.encode()).hexdigest()
    for customer in service.customers:
        if customer.api_key_sha256 == digest:
            return customer
    return None


def _require_customer(service: Service | None, authorization: str) -> Customer:
    """Return the caller's customer.

    A service that is not there and one that the caller may not use look alike.
    """
    if not authorization.startswith("Bearer "):
        raise RejectedCall(401, "no_key", "Authorization: Bearer KEY is missing")
    customer = _customer_of(service, authorization)
    if customer is None:
        detail = "no such service or model for this key"
        raise RejectedCall(404, "no_service", detail)
    return customer
