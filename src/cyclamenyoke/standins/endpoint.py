"""Stand-ins for a model engine and for a plain service, as one ASGI application.

The model engine streams numbered tokens at a fixed rate. The plain service records
clearance orders. Both record every call that they start, so that a test can check
whether and how often a call ran.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cyclamenyoke.core.units import MILLISECOND

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class ChatRequest(msgspec.Struct):
    """The fields of a chat request that the stand-in uses."""

    model: str
    stream: bool = False
    max_tokens: int = 16


class EndpointFaults(msgspec.Struct):
    """The faults to inject.

    :param delay: seconds before the first byte of each response.
    :param cut_after: number of tokens after which a stream is aborted; negative to
        disable.
    """

    delay: float = 0.0
    cut_after: int = -1


@dataclass(frozen=True, slots=True)
class StartedCall:
    """One call that the endpoint started to run.

    :param key: the idempotency key, or an empty string.
    :param begun_at: Unix time in seconds.
    """

    request_id: str
    customer: str
    key: str
    method: str
    path: str
    begun_at: float


@dataclass(slots=True)
class EndpointState:
    """The calls and orders that the endpoint has recorded.

    :param started_calls: every call that started, in order.
    :param orders: the bodies of all clearance orders.
    :param cancelled_streams: streams that ended because the caller disconnected.
    """

    started_calls: list[StartedCall] = field(default_factory=list)
    orders: list[Any] = field(default_factory=list)
    cancelled_streams: int = 0
    faults: EndpointFaults = field(default_factory=EndpointFaults)


class StandInEndpoint:
    """The ASGI application of the endpoint.

    :param token_time: seconds between two tokens.
    """

    def __init__(self, token_time: float = 5 * MILLISECOND) -> None:
        self._token_time = token_time
        self._state = EndpointState()

    @property
    def state(self) -> EndpointState:
        """The calls and orders recorded so far."""
        return self._state

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        path: str = scope["path"]
        if path == "/stand-in/begun":
            await _send_json(send, self._state.started_calls)
            return
        if path == "/stand-in/faults":
            self._state.faults = msgspec.json.decode(body, type=EndpointFaults)
            await _send_json(send, [])
            return
        self._record_call(scope, path)
        if self._state.faults.delay:
            await asyncio.sleep(self._state.faults.delay)
        if path == "/v1/chat/completions":
            await self._respond_chat(body, receive, send)
        else:
            await self._respond_plain(scope["method"], body, send)

    def _record_call(self, scope: Scope, path: str) -> None:
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        self._state.started_calls.append(
            StartedCall(
                headers.get("x-request-id", ""),
                headers.get("x-customer", ""),
                headers.get("idempotency-key", ""),
                scope["method"],
                path,
                time.time(),
            )
        )

    async def _respond_chat(self, body: bytes, receive: Receive, send: Send) -> None:
        chat = msgspec.json.decode(body, type=ChatRequest)
        if not chat.stream:
            await asyncio.sleep(self._token_time * chat.max_tokens)
            content = " ".join(f"t{n}" for n in range(chat.max_tokens))
            choice = {"index": 0, "message": {"role": "assistant", "content": content}}
            await _send_json(send, {"object": "chat.completion", "choices": [choice]})
            return
        disconnected = asyncio.create_task(_wait_for_disconnect(receive))
        await _send_head(send, "text/event-stream")
        for number in range(chat.max_tokens):
            if number == self._state.faults.cut_after:
                disconnected.cancel()
                raise ConnectionAbortedError("injected fault: stream aborted")
            await asyncio.sleep(self._token_time)
            if disconnected.done():
                self._state.cancelled_streams += 1
                return
            delta = {"index": 0, "delta": {"content": f"t{number} "}}
            data = msgspec.json.encode({"choices": [delta]})
            await _send_body(send, b"data: " + data + b"\n\n")
        disconnected.cancel()
        await _send_body(send, b"data: [DONE]\n\n")
        await _send_body(send, b"", more=False)

    async def _respond_plain(self, method: str, body: bytes, send: Send) -> None:
        if method == "POST":
            self._state.orders.append(msgspec.json.decode(body) if body else None)
            number = len(self._state.orders)
            await _send_json(send, {"order": number}, status=201)
            return
        await _send_json(send, {"orders": self._state.orders})


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_head(send: Send, content_type: str, status: int = 200) -> None:
    headers = [(b"content-type", content_type.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _send_body(send: Send, data: bytes, more: bool = True) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def _send_json(send: Send, value: object, status: int = 200) -> None:
    await _send_head(send, "application/json", status)
    await _send_body(send, msgspec.json.encode(value), more=False)
