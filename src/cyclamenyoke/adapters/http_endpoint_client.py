"""Runs calls on an endpoint over its HTTP API."""

import asyncio
from collections.abc import AsyncIterator

import httpx

from cyclamenyoke.adapters.event_stream import EVENT_END, MAX_EVENT_BYTES, EventSplitter
from cyclamenyoke.adapters.head_check import MalformedHead, check_head
from cyclamenyoke.core.messages import Call
from cyclamenyoke.core.units import KIBIBYTE, SECOND
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.endpoint import (
    EndpointClient,
    EndpointError,
    EndpointEvent,
    EndpointResponseData,
    EndpointResponseHead,
)

CONNECT_TIMEOUT = 1 * SECOND
"""Seconds in which a connection to the endpoint must be established."""

CHUNK_BYTES = 64 * KIBIBYTE
"""Size in bytes of the parts in which a response is forwarded, unless it is an event
stream."""

EVENT_STREAM = "text/event-stream"
LAST_EVENT = b"data: [DONE]"

PARTS_PER_TURN = 64
"""Parts of an event stream after which other tasks get their turn."""

# Errors that occur before any byte of the request is sent.
_ERRORS_BEFORE_SENDING = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpEndpointClient(EndpointClient):
    """A client of one endpoint.

    :param url: base URL of the endpoint.
    """

    def __init__(self, url: str, clock: Clock) -> None:
        self._clock = clock
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
        self._client = httpx.AsyncClient(base_url=url, limits=limits)

    async def close(self) -> None:
        await self._client.aclose()

    async def run(self, call: Call, priority: int) -> AsyncIterator[EndpointEvent]:
        remaining = max(0.001, call.deadline - self._clock.now())
        timeout = httpx.Timeout(remaining, connect=min(CONNECT_TIMEOUT, remaining))
        headers = {"X-Request-Id": call.request_id, "X-Customer": call.customer}
        headers["X-Priority"] = str(priority)
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.key:
            headers["Idempotency-Key"] = call.key
        try:
            async with self._client.stream(
                call.method,
                call.path,
                content=call.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                check_head(
                    response.status_code, response.http_version, response.headers.raw
                )
                content_type = response.headers.get("Content-Type", "")
                yield EndpointResponseHead(response.status_code, content_type)
                if content_type.startswith(EVENT_STREAM):
                    parts = _events(response)
                else:
                    parts = response.aiter_bytes(CHUNK_BYTES)
                async for data in parts:
                    yield EndpointResponseData(data)
        except (httpx.HTTPError, MalformedHead) as error:
            may_have_started = not isinstance(error, _ERRORS_BEFORE_SENDING)
            raise EndpointError(
                f"{type(error).__name__}: {error}", may_have_started
            ) from error


async def _events(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield server-sent events one by one.

    :raises EndpointError: when the stream does not end with ``LAST_EVENT``, or an event
        is longer than ``MAX_EVENT_BYTES``.
    """
    splitter = EventSplitter()
    last, parts = b"", 0
    async for data in response.aiter_raw():
        for event in splitter.feed(data):
            last = event.data
            yield last
        if splitter.is_event_too_long:
            raise EndpointError(
                f"event is longer than {MAX_EVENT_BYTES} bytes", may_have_started=True
            )
        parts += 1
        if parts % PARTS_PER_TURN == 0:
            await asyncio.sleep(0)
    if splitter.pending.strip() or last != LAST_EVENT + EVENT_END:
        raise EndpointError(
            "event stream ended before 'data: [DONE]'", may_have_started=True
        )
