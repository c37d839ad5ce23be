"""A stand-in for the platform's store, over the protocol that the platform publishes.

Faults are switched on by ``POST /v1/faults``: outage, refusals, slowness, answers that
are lost before or after a change, changes that take effect late, forgotten history and
leases that run out. The operator's and the engines' side, which the platform gives to
others, is reached by ``POST /v1/put``.
"""

import asyncio
import base64
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec
from litestar import Litestar, delete, get, post
from litestar.connection import Request
from litestar.handlers import HTTPRouteHandler
from litestar.response import Response

from cyclamenyoke.core.units import MEBIBYTE, MILLISECOND

VALUE_LIMIT = 1 * MEBIBYTE
"""Largest value in bytes."""

BODY_LIMIT = 2 * VALUE_LIMIT
"""Largest body of a call; values travel as base64."""

PAGE_ITEMS = 500
"""Most items of one page of a range."""

HANG_TIME = 30.0
"""Seconds for which a call hangs whose answer is lost."""

OUTSIDE_PREFIXES = ("op/", "servers/")
"""Keys that the system may not write."""


class Faults(msgspec.Struct):
    """The faults of the stand-in.

    :param down: every call fails at once.
    :param refusal: status of the refusal while it is down.
    :param delay: seconds added to each call.
    :param lose_before: share of changes that are dropped without an answer.
    :param lose_after: share of changes that take effect without an answer.
    :param late: share of changes without an answer that take effect later.
    :param late_by: seconds by which they are late.
    :param forget: whether the history is dropped now.
    """

    down: bool = False
    refusal: int = 503
    delay: float = 0.0
    lose_before: float = 0.0
    lose_after: float = 0.0
    late: float = 0.0
    late_by: float = 200 * MILLISECOND
    forget: bool = False


class Write(msgspec.Struct):
    """One key to write; the value as base64."""

    key: str
    value: str
    lease: int = 0


class Expected(msgspec.Struct):
    """The revision that a key must have; 0 for none."""

    key: str
    revision: int


class Transaction(msgspec.Struct):
    """A change under conditions."""

    expected: list[Expected] = []
    writes: list[Write] = []
    deletes: list[str] = []


class LeaseRequest(msgspec.Struct):
    """A new lease."""

    ttl_ms: int


@dataclass(slots=True)
class StoredValue:
    """A value with its revisions."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease, by the stand-in's steady clock."""

    lifetime: float
    ends_at: float


@dataclass(slots=True)
class PlatformState:
    """What the platform holds.

    :param history: one event a change, oldest first.
    :param forgotten: the revision up to which events are gone.
    :param calls: calls answered, by kind; a watch counts as one.
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    revision: int = 0


def _json(content: object, status: int = 200) -> Response[bytes]:
    body = msgspec.json.encode(content)
    return Response(body, media_type="application/json", status_code=status)


class StandInPlatform:
    """The platform's store as an ASGI application.

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

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key without a condition, as the operator and engines do."""
        self._state.revision += 1
        before = self._state.values.get(key)
        created = before.created if before else self._state.revision
        stored = StoredValue(value, self._state.revision, created, lease)
        self._state.values[key] = stored
        self._state.history.append(self._item(key, stored))
        return self._state.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._state.values.pop(key, None) is not None:
            self._state.revision += 1
            event = {"key": key, "revision": self._state.revision, "deleted": True}
            self._state.history.append(event)

    def application(self) -> Litestar:
        """Return the ASGI application."""
        return Litestar(
            [*self._reads(), *self._leases(), *self._controls()],
            openapi_config=None,
            logging_config=None,
            request_max_body_size=BODY_LIMIT,
        )

    def _reads(self) -> list[HTTPRouteHandler]:
        @get("/v1/kv-key")
        async def read(key: str) -> Response[bytes]:
            if not await self._pass("read"):
                return self._refusal()
            stored = self._state.values.get(key)
            if stored is None:
                return _json({"store_revision": self._state.revision}, 404)
            item = self._item(key, stored)
            return _json({**item, "store_revision": self._state.revision})

        @get("/v1/kv-range")
        async def read_range(prefix: str, after: str = "") -> Response[bytes]:
            if not await self._pass("range"):
                return self._refusal()
            return _json(self._page(prefix, after))

        @get("/v1/kv-watch")
        async def watch(prefix: str, after: int, wait_ms: int) -> Response[bytes]:
            if not await self._pass("watch"):
                return self._refusal()
            return await self._watch(prefix, after, wait_ms * MILLISECOND)

        return [read, read_range, watch]

    def _leases(self) -> list[HTTPRouteHandler]:
        @post("/v1/kv-lease", status_code=200)
        async def grant(request: Request[Any, Any, Any]) -> Response[bytes]:
            if not await self._pass("lease"):
                return self._refusal()
            wanted = msgspec.json.decode(await request.body(), type=LeaseRequest)
            self._state.revision += 1
            lifetime = wanted.ttl_ms * MILLISECOND
            lease = Lease(lifetime, time.monotonic() + lifetime)
            self._state.leases[self._state.revision] = lease
            return _json({"lease": self._state.revision, "ttl_ms": wanted.ttl_ms})

        @post("/v1/kv-keep/{lease:int}", status_code=200)
        async def renew(lease: int) -> Response[bytes]:
            if not await self._pass("keep"):
                return self._refusal()
            held = self._state.leases.get(lease)
            if held is None:
                return Response(b"", status_code=404)
            held.ends_at = time.monotonic() + held.lifetime
            return _json({"ttl_ms": int(held.lifetime / MILLISECOND)})

        @delete("/v1/kv-lease-end/{lease:int}", status_code=200)
        async def end(lease: int) -> Response[bytes]:
            if not await self._pass("lease"):
                return self._refusal()
            if lease not in self._state.leases:
                return Response(b"", status_code=404)
            self._end_leases([lease])
            await self._notify()
            return _json({})

        return [grant, renew, end]

    def _controls(self) -> list[HTTPRouteHandler]:
        @post("/v1/kv-txn", status_code=200)
        async def transact(request: Request[Any, Any, Any]) -> Response[bytes]:
            if not await self._pass("write"):
                return self._refusal()
            change = msgspec.json.decode(await request.body(), type=Transaction)
            return await self._transact(change)

        @get("/v1/calls")
        async def calls() -> Response[bytes]:
            return _json(self._state.calls)

        @post("/v1/faults", status_code=200)
        async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
            self._state.faults = msgspec.json.decode(await request.body(), type=Faults)
            if self._state.faults.forget:
                self._state.history.clear()
                self._state.compacted_revision = self._state.revision
            await self._notify()
            return _json({})

        @post("/v1/put", status_code=200)
        async def put(request: Request[Any, Any, Any]) -> Response[bytes]:
            body = await request.body()
            for write in msgspec.json.decode(body, type=list[Write]):
                if write.value:
                    self.put(write.key, base64.b64decode(write.value))
                else:
                    self.remove(write.key)
            await self._notify()
            return _json({"revision": self._state.revision})

        return [transact, calls, set_faults, put]

    async def _pass(self, kind: str) -> bool:
        """Count a call and apply the faults; tell whether it goes through."""
        calls = self._state.calls
        calls[kind] = calls.get(kind, 0) + 1
        if self._state.faults.delay:
            await asyncio.sleep(self._state.faults.delay)
        now = time.monotonic()
        ended = [id_ for id_, each in self._state.leases.items() if each.ends_at <= now]
        if ended and not self._state.faults.down:
            self._end_leases(ended)
            await self._notify()
        return not self._state.faults.down

    def _refusal(self) -> Response[bytes]:
        return Response(b"", status_code=self._state.faults.refusal)

    def _end_leases(self, ids: Iterable[int]) -> None:
        for id_ in ids:
            del self._state.leases[id_]
            keys = [key for key, v in self._state.values.items() if v.lease == id_]
            for key in keys:
                self.remove(key)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _item(self, key: str, stored: StoredValue) -> dict[str, Any]:
        return {
            "key": key,
            "value": base64.b64encode(stored.value).decode(),
            "revision": stored.revision,
            "created": stored.created,
            "lease": stored.lease,
        }

    def _page(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self._state.values if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        items = [self._item(key, self._state.values[key]) for key in keys[:PAGE_ITEMS]]
        return {
            "items": items,
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": self._state.revision,
        }

    async def _transact(self, change: Transaction) -> Response[bytes]:
        if any(write.key.startswith(OUTSIDE_PREFIXES) for write in change.writes):
            return Response(b"", status_code=403)
        faults = self._state.faults
        roll = self._random.random()
        if roll < faults.lose_before:
            await asyncio.sleep(HANG_TIME)
        elif roll < faults.lose_before + faults.late:
            asyncio.get_running_loop().call_later(faults.late_by, self._apply, change)
            await asyncio.sleep(HANG_TIME)
        answer = self._apply(change)
        await self._notify()
        if roll >= 1 - faults.lose_after:
            await asyncio.sleep(HANG_TIME)
        return answer

    def _apply(self, change: Transaction) -> Response[bytes]:
        values = self._state.values
        for row in change.expected:
            stored = values.get(row.key)
            if row.revision != (stored.revision if stored else 0):
                keys = [each.key for each in change.expected]
                items = [self._item(key, values[key]) for key in keys if key in values]
                return _json({"items": items}, 412)
        for write in change.writes:
            if write.lease and write.lease not in self._state.leases:
                return Response(b"", status_code=404)
        for write in change.writes:
            self.put(write.key, base64.b64decode(write.value), write.lease)
        for key in change.deletes:
            self.remove(key)
        return _json({"revision": self._state.revision})

    async def _watch(self, prefix: str, after: int, wait: float) -> Response[bytes]:
        def events() -> list[dict[str, Any]]:
            return [
                event
                for event in self._state.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        def is_due() -> bool:
            is_lost = after < self._state.compacted_revision
            return bool(events()) or self._state.faults.down or is_lost

        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(is_due)
        except TimeoutError:
            pass
        if self._state.faults.down:
            return self._refusal()
        if after < self._state.compacted_revision:
            return Response(b"", status_code=410)
        return _json({"events": events(), "store_revision": self._state.revision})
