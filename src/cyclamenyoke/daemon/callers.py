"""The callers' HTTP API of an entry."""

import asyncio
import hashlib
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from litestar import Litestar, asgi, get
from litestar.connection import Request
from litestar.response import Response

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.burn_rate import BurnRateTracker
from cyclamenyoke.core.config import Customer, Service, ServiceKind
from cyclamenyoke.core.request_state import RequestState
from cyclamenyoke.core.units import MEBIBYTE, SECOND
from cyclamenyoke.daemon.call_validation import (
    CallRequest,
    PreparedCall,
    Scope,
    decode_chat,
)
from cyclamenyoke.daemon.dispatcher import CallerDisconnected, Dispatcher, Mailbox
from cyclamenyoke.daemon.http_responses import AsgiSend, HttpResponseSink, RejectedCall
from cyclamenyoke.ports.clock import Clock

MAX_BODY_BYTES = 1 * MEBIBYTE
"""Largest accepted request body in bytes."""

ADDRESS_LIFETIME = 10 * SECOND
"""Seconds for which a caller may cache the list of entries."""

BYTES_PER_TOKEN = 4
"""Bytes of a request body that are estimated as one token."""

Receive = Callable[[], Awaitable[dict[str, Any]]]


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry that takes calls.

    :param address: ``IP:PORT`` of its callers' API.
    """

    name: str
    address: str
    data_centre: str


class EntryAddresses(msgspec.Struct, frozen=True):
    """The response to a caller that asks which entries it may use.

    :param expires_at: until when the response may be cached, in Unix time.
    """

    entries: list[EntryAddress]
    expires_at: float


class CallersApi:
    """Accepts calls over HTTP and dispatches them to agents.

    :param services: returns the services in force.
    :param entries: returns the entries that take calls, nearest first.
    :param is_draining: returns whether this entry is draining and takes no new calls.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        services: Callable[[], dict[str, Service]],
        entries: Callable[[], list[EntryAddress]],
        is_draining: Callable[[], bool],
        burn_rates: BurnRateTracker,
        clock: Clock,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._dispatcher = dispatcher
        self._services = services
        self._entries = entries
        self._is_draining = is_draining
        self._burn_rates = burn_rates
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def application(self) -> Litestar:
        """Return the ASGI application."""

        @get("/v1/entry-vms", sync_to_thread=False)
        def entry_vms() -> Response[bytes]:
            return self._list_entries()

        @get("/v1/models", sync_to_thread=False)
        def models(request: Request[Any, Any, Any]) -> Response[bytes]:
            return self._list_models(request.headers.get("authorization", ""))

        @asgi("/v1/chat/completions", copy_scope=False)
        async def chat(scope: Any, receive: Any, send: Any) -> None:
            await self._handle(scope, receive, send, self._prepare_chat)

        @asgi("/services", is_mount=True, copy_scope=False)
        async def plain(scope: Any, receive: Any, send: Any) -> None:
            await self._handle(scope, receive, send, self._prepare_plain)

        return Litestar(
            [entry_vms, models, chat, plain], openapi_config=None, logging_config=None
        )

    def _list_entries(self) -> Response[bytes]:
        expires_at = self._clock.now() + ADDRESS_LIFETIME
        addresses = EntryAddresses(self._entries(), expires_at)
        return Response(msgspec.json.encode(addresses), media_type="application/json")

    def _list_models(self, authorization: str) -> Response[bytes]:
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
        send: AsgiSend,
        prepare: "Callable[[CallRequest], PreparedCall]",
    ) -> None:
        request_id = uuid.uuid4().hex
        received_at = self._clock.now()
        sink = HttpResponseSink(send, request_id, received_at, self._clock)
        try:
            if self._is_draining():
                await sink.reject_draining([each.address for each in self._entries()])
                return
            if not self._services():
                detail = "this entry has no configuration yet"
                raise RejectedCall(503, "starting", detail)
            body = await _read_body(receive)
            request = CallRequest(scope, body, request_id, received_at)
            prepared = prepare(request)
        except RejectedCall as rejection:
            self._metrics.count("rejected", reason=rejection.reason)
            await sink.reject_invalid(rejection)
            return
        sink.has_idempotency_key = prepared.call.at_most_once
        await self._dispatch(prepared, receive, sink)

    async def _dispatch(
        self, prepared: "PreparedCall", receive: Receive, sink: "HttpResponseSink"
    ) -> None:
        mailbox: Mailbox = asyncio.Queue()
        call = prepared.call
        watcher = asyncio.create_task(_watch_caller(receive, mailbox))
        try:
            core = await self._dispatcher.dispatch(
                call, prepared.streaming, sink, mailbox
            )
        finally:
            watcher.cancel()
        self._record_metrics(prepared, core.state, sink)
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
            raise ConnectionAbortedError("caller disconnected or reads too slowly")

    def _record_metrics(
        self, prepared: "PreparedCall", state: RequestState, sink: "HttpResponseSink"
    ) -> None:
        call = prepared.call
        now = self._clock.now()
        levels = prepared.service.service_levels
        is_complete = state is RequestState.ANSWERED
        is_good = (
            is_complete
            and sink.time_to_first_part <= levels.first_token
            and sink.longest_gap <= levels.between_tokens
        )
        self._burn_rates.record(
            call.service, call.customer, is_good, levels.objective, now
        )
        elapsed = now - sink.received_at
        self._metrics.observe("request", elapsed, service=call.service)
        if is_complete:
            first = sink.time_to_first_part
            self._metrics.observe("first_token", first, service=call.service)
            self._metrics.observe(
                "between_tokens", sink.longest_gap, service=call.service
            )

    def _prepare_chat(self, request: "CallRequest") -> "PreparedCall":
        if request.method != "POST":
            raise RejectedCall(405, "method", "use POST")
        chat = decode_chat(request.body)
        service = next(
            (each for each in self._services().values() if chat.model in each.models),
            None,
        )
        customer = _require_customer(service, request.authorization)
        assert service is not None
        cost = len(request.body) / BYTES_PER_TOKEN + chat.max_tokens
        return request.prepare(service, customer, "/v1/chat/completions", cost)

    def _prepare_plain(self, request: "CallRequest") -> "PreparedCall":
        name, _, path = request.path.removeprefix("/services/").partition("/")
        service = self._services().get(name)
        if service is not None and service.kind is not ServiceKind.PLAIN:
            service = None
        customer = _require_customer(service, request.authorization)
        assert service is not None
        return request.prepare(service, customer, f"/{path}", 1.0)


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise RejectedCall(400, "caller_gone", "caller disconnected")
        part = event.get("body", b"")
        size += len(part)
        if size > MAX_BODY_BYTES:
            detail = f"body is larger than {MAX_BODY_BYTES} bytes"
            raise RejectedCall(413, "body_too_large", detail)
        parts.append(part)
        if not event.get("more_body", False):
            return b"".join(parts)


async def _watch_caller(receive: Receive, mailbox: Mailbox) -> None:
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            mailbox.put_nowait(CallerDisconnected())
            return


def _customer_of(service: Service | None, authorization: str) -> Customer | None:
    """Return the customer whose key a caller sent.

    Only digests are compared, so that the time taken reveals nothing about a key.
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

    A service that does not exist and one that the caller may not use give the same
    error.
    """
    if not authorization.startswith("Bearer "):
        raise RejectedCall(401, "no_key", "Authorization: Bearer KEY is missing")
    customer = _customer_of(service, authorization)
    if customer is None:
        detail = "no such service or model for this key"
        raise RejectedCall(404, "no_service", detail)
    return customer
