"""A stand-in for the platform's key-value store, with the platform's HTTP protocol.

``POST /v1/faults`` injects faults: outages, rejections, delays, responses lost before
or after a change, changes applied late, a compacted history, and a restore from an
older copy. Leases that are not renewed expire. ``POST /v1/put`` writes the keys that
belong to the platform's operator and the engines.
"""

import asyncio
import base64
import copy
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

MAX_VALUE_BYTES = 1 * MEBIBYTE
"""Maximum size of a value, in bytes."""

MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
"""Maximum size of a request body, in bytes; values are encoded as base64."""

MAX_PAGE_ITEMS = 500
"""Maximum number of items in one page of a range."""

HANG_DURATION = 30.0
"""Seconds for which a call hangs when its response is lost."""

READ_ONLY_PREFIXES = ("op/", "servers/")
"""Prefixes of keys that transactions may not write."""


class Faults(msgspec.Struct):
    """The faults to inject.

    :param down: whether every call fails at once.
    :param refusal: HTTP status of each response while the store is down.
    :param delay: seconds added to each call.
    :param lose_before: share of transactions that hang before they are applied.
    :param lose_after: share of transactions that hang after they are applied.
    :param late: share of transactions that are applied late, while the call hangs.
    :param late_by: seconds until a late transaction is applied.
    :param forget: whether to compact the whole history now.
    :param back_up: whether to make a copy of the contents now.
    :param restore: whether to go back to the last copy now.
    """

    down: bool = False
    refusal: int = 503
    delay: float = 0.0
    lose_before: float = 0.0
    lose_after: float = 0.0
    late: float = 0.0
    late_by: float = 200 * MILLISECOND
    forget: bool = False
    back_up: bool = False
    restore: bool = False


class Write(msgspec.Struct):
    """One key to write; the value is encoded as base64."""

    key: str
    value: str
    lease: int = 0


class Expected(msgspec.Struct):
    """The revision that a key must have; 0 when it must not exist."""

    key: str
    revision: int


class Transaction(msgspec.Struct):
    """Writes and deletes, applied only if all expected revisions match."""

    expected: list[Expected] = []
    writes: list[Write] = []
    deletes: list[str] = []


class LeaseRequest(msgspec.Struct):
    """A request for a new lease.

    :param ttl_ms: lifetime of the lease in milliseconds.
    """

    ttl_ms: int


@dataclass(slots=True)
class StoredValue:
    """A value with the revisions of its last write and its creation."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease on keys.

    :param lifetime: lifetime in seconds from the last renewal.
    :param ends_at: when it expires, by the monotonic clock.
    """

    lifetime: float
    ends_at: float


@dataclass(slots=True)
class PlatformState:
    """The contents of the store.

    :param history: one event per change, oldest first.
    :param compacted_revision: the revision up to which events were dropped.
    :param calls: number of calls, by kind; a watch counts as one.
    :param era: increases with each restore; every response states it.
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    era: int = 1


@dataclass(frozen=True, slots=True)
class Backup:
    """A copy of the contents, without the history."""

    values: dict[str, StoredValue]
    leases: dict[int, Lease]
    revision: int


def _json(content: object, status: int = 200) -> Response[bytes]:
    body = msgspec.json.encode(content)
    return Response(body, media_type="application/json", status_code=status)


class StandInPlatform:
    """The platform's store as an ASGI application.

    :param random: decides which transactions are affected by a fault.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._state = PlatformState()
        self._backup = Backup({}, {}, 0)
        self._changed = asyncio.Condition()

    @property
    def state(self) -> PlatformState:
        """The contents of the store."""
        return self._state

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally, as the operator and the engines do.

        :returns: the new revision.
        """
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

    def back_up(self) -> None:
        """Copy the contents, for a later restore."""
        state = self._state
        self._backup = Backup(
            dict(state.values), copy.deepcopy(state.leases), state.revision
        )

    def restore(self) -> None:
        """Go back to the last copy, and begin a new era.

        Revisions that were assigned since the copy are assigned again.
        """
        state, backup = self._state, self._backup
        state.values = dict(backup.values)
        state.leases = copy.deepcopy(backup.leases)
        state.revision = state.compacted_revision = backup.revision
        state.history.clear()
        state.era += 1

    def application(self) -> Litestar:
        """Return the ASGI application."""
        return Litestar(
            [*self._read_routes(), *self._lease_routes(), *self._write_routes()],
            after_request=self._state_era,
            openapi_config=None,
            logging_config=None,
            request_max_body_size=MAX_BODY_BYTES,
        )

    def _state_era(self, response: Response[Any]) -> Response[Any]:
        response.headers["Store-Era"] = str(self._state.era)
        return response

    def _read_routes(self) -> list[HTTPRouteHandler]:
        @get("/v1/kv-key")
        async def read(key: str) -> Response[bytes]:
            if not await self._admit("read"):
                return self._rejection()
            stored = self._state.values.get(key)
            if stored is None:
                return _json({"store_revision": self._state.revision}, 404)
            item = self._item(key, stored)
            return _json({**item, "store_revision": self._state.revision})

        @get("/v1/kv-range")
        async def read_range(prefix: str, after: str = "") -> Response[bytes]:
            if not await self._admit("range"):
                return self._rejection()
            return _json(self._page(prefix, after))

        @get("/v1/kv-watch")
        async def watch(prefix: str, after: int, wait_ms: int) -> Response[bytes]:
            if not await self._admit("watch"):
                return self._rejection()
            return await self._watch(prefix, after, wait_ms * MILLISECOND)

        return [read, read_range, watch]

    def _lease_routes(self) -> list[HTTPRouteHandler]:
        @post("/v1/kv-lease", status_code=200)
        async def grant(request: Request[Any, Any, Any]) -> Response[bytes]:
            if not await self._admit("lease"):
                return self._rejection()
            lease_request = msgspec.json.decode(await request.body(), type=LeaseRequest)
            self._state.revision += 1
            lifetime = lease_request.ttl_ms * MILLISECOND
            lease = Lease(lifetime, time.monotonic() + lifetime)
            self._state.leases[self._state.revision] = lease
            return _json(
                {"lease": self._state.revision, "ttl_ms": lease_request.ttl_ms}
            )

        @post("/v1/kv-keep/{lease:int}", status_code=200)
        async def renew(lease: int) -> Response[bytes]:
            if not await self._admit("keep"):
                return self._rejection()
            held = self._state.leases.get(lease)
            if held is None:
                return Response(b"", status_code=404)
            held.ends_at = time.monotonic() + held.lifetime
            return _json({"ttl_ms": int(held.lifetime / MILLISECOND)})

        @delete("/v1/kv-lease-end/{lease:int}", status_code=200)
        async def end(lease: int) -> Response[bytes]:
            if not await self._admit("lease"):
                return self._rejection()
            if lease not in self._state.leases:
                return Response(b"", status_code=404)
            self._end_leases([lease])
            await self._notify()
            return _json({})

        return [grant, renew, end]

    def _write_routes(self) -> list[HTTPRouteHandler]:
        @post("/v1/kv-txn", status_code=200)
        async def transact(request: Request[Any, Any, Any]) -> Response[bytes]:
            if not await self._admit("write"):
                return self._rejection()
            change = msgspec.json.decode(await request.body(), type=Transaction)
            return await self._transact(change)

        @get("/v1/calls")
        async def calls() -> Response[bytes]:
            return _json(self._state.calls)

        @post("/v1/faults", status_code=200)
        async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
            faults = msgspec.json.decode(await request.body(), type=Faults)
            await self._inject(faults)
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

    async def _inject(self, faults: Faults) -> None:
        """Put faults into effect; those that happen at once happen here."""
        self._state.faults = faults
        if faults.back_up:
            self.back_up()
        if faults.restore:
            self.restore()
        if faults.forget:
            self._state.history.clear()
            self._state.compacted_revision = self._state.revision
        await self._notify()

    async def _admit(self, kind: str) -> bool:
        """Count a call and apply the faults; return whether the call may proceed."""
        calls = self._state.calls
        calls[kind] = calls.get(kind, 0) + 1
        if self._state.faults.delay:
            await asyncio.sleep(self._state.faults.delay)
        now = time.monotonic()
        expired = [
            id_ for id_, held in self._state.leases.items() if held.ends_at <= now
        ]
        if expired and not self._state.faults.down:
            self._end_leases(expired)
            await self._notify()
        return not self._state.faults.down

    def _rejection(self) -> Response[bytes]:
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
        items = [
            self._item(key, self._state.values[key]) for key in keys[:MAX_PAGE_ITEMS]
        ]
        return {
            "items": items,
            "truncated": len(keys) > MAX_PAGE_ITEMS,
            "store_revision": self._state.revision,
        }

    async def _transact(self, change: Transaction) -> Response[bytes]:
        if any(write.key.startswith(READ_ONLY_PREFIXES) for write in change.writes):
            return Response(b"", status_code=403)
        faults = self._state.faults
        draw = self._random.random()
        if draw < faults.lose_before:
            await asyncio.sleep(HANG_DURATION)
        elif draw < faults.lose_before + faults.late:
            asyncio.get_running_loop().call_later(faults.late_by, self._apply, change)
            await asyncio.sleep(HANG_DURATION)
            return self._rejection()
        response = self._apply(change)
        await self._notify()
        if draw >= 1 - faults.lose_after:
            await asyncio.sleep(HANG_DURATION)
        return response

    def _apply(self, change: Transaction) -> Response[bytes]:
        values = self._state.values
        for condition in change.expected:
            stored = values.get(condition.key)
            if condition.revision != (stored.revision if stored else 0):
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

        def can_respond() -> bool:
            return bool(events()) or self._state.faults.down or is_unavailable()

        def is_unavailable() -> bool:
            """Whether the store has no history from that revision."""
            return not (self._state.compacted_revision <= after <= self._state.revision)

        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(can_respond)
        except TimeoutError:
            pass
        if self._state.faults.down:
            return self._rejection()
        if is_unavailable():
            return Response(b"", status_code=410)
        return _json({"events": events(), "store_revision": self._state.revision})
