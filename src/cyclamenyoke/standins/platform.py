"""A stand-in for the platform: a key-value service and a VM list over HTTP.

Faults are switched on by ``POST /v1/faults``: outage, slowness, answers that are
lost before or after a change, and changes that take effect late.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec
from litestar import Litestar, get, post, put
from litestar.connection import Request
from litestar.response import Response

from cyclamenyoke.core.units import MEBIBYTE, MILLISECOND

VALUE_LIMIT = 1 * MEBIBYTE
"""Largest value in bytes."""

HANG_TIME = 30.0
"""Seconds for which a call hangs whose answer is lost."""


class Faults(msgspec.Struct):
    """The faults of the stand-in.

    :param down: every call fails at once.
    :param delay: seconds added to each call.
    :param lose_before: share of changes that are dropped without an answer.
    :param lose_after: share of changes that take effect without an answer.
    :param late: share of changes without an answer that take effect later.
    :param late_by: seconds by which they are late.
    """

    down: bool = False
    delay: float = 0.0
    lose_before: float = 0.0
    lose_after: float = 0.0
    late: float = 0.0
    late_by: float = 200 * MILLISECOND


@dataclass(slots=True)
class StoredValue:
    """A value and its revision."""

    revision: int
    value: bytes


@dataclass(slots=True)
class PlatformState:
    """What the platform holds.

    :param calls: calls answered, by method; a watch counts as one.
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    vms: list[dict[str, Any]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    revision: int = 0


class StandInPlatform:
    """The platform's service as an ASGI application.

    :param random: the source of faults.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._state = PlatformState()
        self._changed = asyncio.Condition()

    @property
    def state(self) -> PlatformState:
        """What the platform holds."""
        return self._state

    def application(self) -> Litestar:
        """Return the ASGI application."""

        @get("/v1/kv/{key:path}")
        async def read(key: str) -> Response[bytes]:
            if not await self._pass("read"):
                return Response(b"", status_code=503)
            return self._answer(key.lstrip("/"))

        @put("/v1/kv/{key:path}")
        async def write(key: str, request: Request[Any, Any, Any]) -> Response[bytes]:
            if not await self._pass("write"):
                return Response(b"", status_code=503)
            return await self._write(key.lstrip("/"), request)

        @get("/v1/watch/{key:path}")
        async def watch(key: str, after: int, seconds: float) -> Response[bytes]:
            if not await self._pass("watch"):
                return Response(b"", status_code=503)
            return await self._watch(key.lstrip("/"), after, seconds)

        @get("/v1/vms")
        async def vms() -> Response[bytes]:
            body = msgspec.json.encode(self._state.vms)
            return Response(body, media_type="application/json")

        @get("/v1/calls")
        async def calls() -> Response[bytes]:
            body = msgspec.json.encode(self._state.calls)
            return Response(body, media_type="application/json")

        @post("/v1/faults")
        async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
            body = await request.body()
            self._state.faults = msgspec.json.decode(body, type=Faults)
            async with self._changed:
                self._changed.notify_all()
            return Response(b"", status_code=200)

        return Litestar(
            [read, write, watch, vms, calls, set_faults],
            openapi_config=None,
            logging_config=None,
            request_max_body_size=VALUE_LIMIT,
        )

    async def _pass(self, kind: str) -> bool:
        """Count a call and apply the faults; tell whether it goes through."""
        calls = self._state.calls
        calls[kind] = calls.get(kind, 0) + 1
        if self._state.faults.delay:
            await asyncio.sleep(self._state.faults.delay)
        return not self._state.faults.down

    def _answer(self, key: str) -> Response[bytes]:
        stored = self._state.values.get(key)
        if stored is None:
            return Response(b"", status_code=404)
        headers = {"ETag": f'"{stored.revision}"'}
        return Response(
            stored.value, headers=headers, media_type="application/octet-stream"
        )

    async def _write(
        self, key: str, request: Request[Any, Any, Any]
    ) -> Response[bytes]:
        value = await request.body()
        expected = int(request.headers.get("if-match", "0").strip('"'))
        faults = self._state.faults
        roll = self._random.random()
        if roll < faults.lose_before:
            await asyncio.sleep(HANG_TIME)
        elif roll < faults.lose_before + faults.late:
            asyncio.get_running_loop().call_later(
                faults.late_by, self._apply, key, expected, value
            )
            await asyncio.sleep(HANG_TIME)
        applied = self._apply(key, expected, value)
        if applied:
            async with self._changed:
                self._changed.notify_all()
        if roll >= 1 - faults.lose_after:
            await asyncio.sleep(HANG_TIME)
        return self._answer(key) if applied else Response(b"", status_code=412)

    def _apply(self, key: str, expected: int, value: bytes) -> bool:
        stored = self._state.values.get(key)
        if expected != (stored.revision if stored else 0):
            return False
        self._state.revision += 1
        self._state.values[key] = StoredValue(self._state.revision, value)
        return True

    async def _watch(self, key: str, after: int, seconds: float) -> Response[bytes]:
        def is_due() -> bool:
            stored = self._state.values.get(key)
            is_newer = stored is not None and stored.revision > after
            return is_newer or self._state.faults.down

        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(is_due)
        except TimeoutError:
            pass
        if self._state.faults.down:
            return Response(b"", status_code=503)
        return self._answer(key)
