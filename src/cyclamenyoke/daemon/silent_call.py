"""A stream whose engine is silent, kept while its request is repeated elsewhere.

The load that this answers: engines that are silent for longer than callers like, and go
on. A repeat may be refused, find no room, or wait as long itself; without the first
response its caller would then have none.
"""

import asyncio

from cyclamenyoke.adapters.event_stream import StreamEvent
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.request_delivery import Attempt
from cyclamenyoke.core.reservations import Reservation
from cyclamenyoke.core.units import KIBIBYTE
from cyclamenyoke.daemon.partial_response import PartialResponse
from cyclamenyoke.ports.engine import (
    EngineCall,
    EngineResponseData,
    EngineResponseEnd,
)

SLICE_BYTES = 4 * KIBIBYTE
"""Bytes of a stream that are split into events without letting others run."""


class SilentCall:
    """One response that has begun, from the moment its engine counts as silent.

    :param reservation: what the request holds at the engine; released with the call.
    :param response: its part so far.
    """

    def __init__(
        self,
        attempt: Attempt,
        reservation: Reservation,
        call: EngineCall,
        response: PartialResponse,
    ) -> None:
        self._attempt = attempt
        self._reservation = reservation
        self._call = call
        self._response = response
        self._events: list[StreamEvent] = []
        self._end: EngineResponseEnd | None = None
        self._is_released = False

    @property
    def attempt(self) -> Attempt:
        """The attempt that the response belongs to."""
        return self._attempt

    @property
    def reservation(self) -> Reservation:
        """What the request holds at the engine."""
        return self._reservation

    @property
    def endpoint(self) -> Endpoint:
        """The engine."""
        return self._reservation.endpoint

    @property
    def call(self) -> EngineCall:
        """The rest of the response."""
        return self._call

    @property
    def response(self) -> PartialResponse:
        """The part of the response that was received."""
        return self._response

    @property
    def end(self) -> EngineResponseEnd | None:
        """The proper end of the response if it came since; ``None`` before."""
        return self._end

    @property
    def has_resumed(self) -> bool:
        """Whether the engine goes on."""
        return bool(self._events) or self._end is not None

    @property
    def is_released(self) -> bool:
        """Whether nothing is to be expected of it any more."""
        return self._is_released

    async def read(self) -> None:
        """Read what has arrived. Comments are dropped, since they bring nothing."""
        while self._call.has_event and not self._end and not self._is_released:
            event = await self._call.receive()
            match event:
                case EngineResponseData(data=data):
                    await self._split(data)
                case EngineResponseEnd():
                    self._end = event
                case _:
                    self.release()

    def take_events(self) -> list[StreamEvent]:
        """Return the events that came since the engine was silent, once."""
        events, self._events = self._events, []
        return events

    def release(self) -> None:
        """Close the connection, and give the reservation back."""
        if self._is_released:
            return
        self._is_released = True
        self._call.release()
        self._reservation.release()

    async def _split(self, data: bytes) -> None:
        splitter = self._response.splitter
        for start in range(0, len(data), SLICE_BYTES):
            if start:
                await asyncio.sleep(0)
            found = splitter.feed(data[start : start + SLICE_BYTES])
            self._events += [each for each in found if not each.is_comment]
        if splitter.is_event_too_long:
            self.release()


async def wait_for_event(call: EngineCall, silent: SilentCall | None) -> None:
    """Wait until a call has an event, or the silent one beside it."""
    if silent is None:
        await call.wait()
        return
    waiting = [asyncio.ensure_future(each.wait()) for each in (call, silent.call)]
    try:
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for each in waiting:
            each.cancel()
