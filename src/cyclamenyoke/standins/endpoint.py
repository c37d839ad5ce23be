"""Stand-ins for a model engine and for a plain service, as one ASGI application.

The model engine streams numbered tokens at a set pace. The plain service records
clearance orders. Both keep the list of calls that they began, so that a test can
tell whether one ran, and how often.
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
    """What the stand-in reads of a chat request."""

    model: str
    stream: bool = False
    max_tokens: int = 16


class EndpointFaults(msgspec.Struct):
    """The faults of the stand-in.

    :param delay: seconds before the first byte of each answer.
    :param cut_after: tokens after which an answer is cut; negative for never.
    """

    delay: float = 0.0
    cut_after: int = -1


@dataclass(frozen=True, slots=True)
class BegunCall:
    """One call that the endpoint began.

    :param begun_at: in seconds of Unix time.
    """

    request_id: str
    customer: str
    key: str
    method: str
    path: str
    begun_at: float


@dataclass(slots=True)
class EndpointState:
    """What the endpoint has done.

    :param begun: every call, in order.
    :param orders: the clearance orders that were recorded.
    """

    begun: list[BegunCall] = field(default_factory=list)
    orders: list[Any] = field(default_factory=list)
    cancelled: int = 0
    faults: EndpointFaults = field(default_factory=EndpointFaults)


class StandInEndpoint:
    """An endpoint on one port.

    :param token_time: seconds between two tokens.
    """

    def __init__(self, token_time: float = 5 * MILLISECOND) -> None:
        self._token_time = token_time
        self._state = EndpointState()

    @property
    def state(self) -> EndpointState:
        """What the endpoint has done."""
        return self._state

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await _read(receive)
        path: str = scope["path"]
        if path == "/stand-in/begun":
            await _answer(send, self._state.begun)
            return
        if path == "/stand-in/faults":
            self._state.faults = msgspec.json.decode(body, type=EndpointFaults)
            await _answer(send, [])
            return
        self._note(scope, path)
        if self._state.faults.delay:
            await asyncio.sleep(self._state.faults.delay)
        if path == "/v1/chat/completions":
            await self._chat(body, receive, send)
        else:
            await self._plain(scope["method"], body, send)

    def _note(self, scope: Scope, path: str) -> None:
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        self._state.begun.append(
            BegunCall(
                headers.get("x-request-id", ""),
                headers.get("x-customer", ""),
                headers.get("idempotency-key", ""),
                scope["method"],
                path,
                time.time(),
            )
        )

    async def _chat(self, body: bytes, receive: Receive, send: Send) -> None:
        chat = msgspec.json.decode(body, type=ChatRequest)
        if not chat.stream:
            await asyncio.sleep(self._token_time * chat.max_tokens)
            content = " ".join(f"t{n}" for n in range(chat.max_tokens))
            choice = {"index": 0, "message": {"role": "assistant", "content": content}}
            await _answer(send, {"object": "chat.completion", "choices": [choice]})
            return
        gone = asyncio.create_task(_disconnected(receive))
        await _start(send, "text/event-stream")
        for number in range(chat.max_tokens):
            if number == self._state.faults.cut_after:
                gone.cancel()
                raise ConnectionAbortedError("answer is cut on purpose")
            await asyncio.sleep(self._token_time)
            if gone.done():
                self._state.cancelled += 1
                return
            delta = {"index": 0, "delta": {"content": f"t{number} "}}
            data = msgspec.json.encode({"choices": [delta]})
            await _part(send, b"data: " + data + b"\n\n")
        gone.cancel()
        await _part(send, b"data: [DONE]\n\n")
        await _part(send, b"", more=False)

    async def _plain(self, method: str, body: bytes, send: Send) -> None:
        if method == "POST":
            self._state.orders.append(msgspec.json.decode(body) if body else None)
            number = len(self._state.orders)
            await _answer(send, {"order": number}, status=201)
            return
        await _answer(send, {"orders": self._state.orders})


async def _read(receive: Receive) -> bytes:
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _start(send: Send, content_type: str, status: int = 200) -> None:
    headers = [(b"content-type", content_type.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _part(send: Send, data: bytes, more: bool = True) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def _answer(send: Send, value: object, status: int = 200) -> None:
    await _start(send, "application/json", status)
    await _part(send, msgspec.json.encode(value), more=False)
