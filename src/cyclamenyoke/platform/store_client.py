"""A client of the platform's key-value store."""

import asyncio
import base64
from collections import Counter
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from cyclamenyoke.adapters.connection_pool import ConnectionPool
from cyclamenyoke.adapters.http_connection import ConnectionFailed
from cyclamenyoke.core.decoding import Integer64, decode_json, parse_integer
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.core.units import MEBIBYTE, MILLISECOND, SECOND
from cyclamenyoke.exceptions import MalformedValue, PlatformUnavailable
from cyclamenyoke.platform.headers import STORE_ERA
from cyclamenyoke.platform.json_request import (
    IncompleteResponse,
    JsonResponse,
    request_json,
)
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import (
    KeyList,
    KeyValueStore,
    LeaseExpired,
    PrefixWatch,
    RevisionConflict,
    StoredItem,
    VersionedValue,
)

RESPONSE_TIMEOUT = 1 * SECOND
"""Seconds after which a call without a response fails; at least four times as long
as a slow store takes to respond."""

MAX_WATCH_WAIT = 30 * SECOND
"""Longest watch in seconds that the store accepts."""

MAX_RESPONSE_BYTES = 4 * MEBIBYTE
"""Largest response in bytes that is accepted. The largest value is one megabyte before
its encoding, and a page of a list can exceed one megabyte by one value."""

MAX_CONNECTIONS = 16
"""Largest number of connections to the store. Each watch occupies one of them."""

POOL_KEY = "store"

T = TypeVar("T")


class _Item(msgspec.Struct):
    key: str = ""
    # Revision of the whole store at the time of the response.
    store_revision: Integer64 = 0
    # Missing in an event that reports a deletion.
    value: str | None = None
    revision: Integer64 = 0
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    truncated: bool
    store_revision: Integer64


class _Events(msgspec.Struct):
    events: list[_Item]
    store_revision: Integer64


class _Change(msgspec.Struct):
    revision: Integer64


class _Lease(msgspec.Struct):
    lease: Integer64


def _encode_path(path: str, **query: object) -> bytes:
    return f"{path}?{urlencode(query)}".encode() if query else path.encode()


def _decode(response: JsonResponse, kind: type[T]) -> T:
    try:
        return decode_json(response.body, kind)
    except MalformedValue as error:
        raise PlatformUnavailable(
            f"cannot decode the store's response: {error}"
        ) from error


def _era(response: JsonResponse) -> int:
    """Return the store's era; 0 if the response does not state it."""
    stated = (response.head.get(STORE_ERA) or b"0").strip()
    try:
        return parse_integer(stated)
    except MalformedValue as error:
        raise PlatformUnavailable(f"store era: {error}") from error


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value or "", validate=True)
    except ValueError as error:
        raise PlatformUnavailable(
            f"key {item.key!r}: value is not valid base64"
        ) from error


class StoreClient(KeyValueStore):
    """Client of the store over HTTP.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._pool = ConnectionPool(clock)
        self._call_counts: Counter[str] = Counter()
        # By key: the position of the key's last change, and the store revision of the
        # same era through which the key is known to be unchanged.
        self._unchanged_through: dict[str, tuple[StorePosition, int]] = {}
        # The newest era that any response stated; 0 before the first one.
        self._era = 0
        # By lease id: the era in which the lease was granted.
        self._lease_eras: dict[int, int] = {}

    @property
    def call_counts(self) -> Counter[str]:
        """Number of calls so far, by method and path, such as ``GET kv-key``."""
        return self._call_counts

    async def close(self) -> None:
        self._pool.close_endpoint(POOL_KEY)

    async def get(self, key: str) -> VersionedValue:
        response = await self._call("GET", "/v1/kv-key", {"key": key})
        era = _era(response)
        if response.status == HTTPStatus.NOT_FOUND:
            return self._record_unchanged(
                key, VersionedValue(0, None, era), _decode(response, _Item)
            )
        self._require_ok(response, f"get {key!r}")
        item = _decode(response, _Item)
        return self._record_unchanged(
            key, VersionedValue(item.revision, _decode_value(item), era), item
        )

    async def list(self, prefix: str) -> KeyList:
        items: list[StoredItem] = []
        # Pages are not a consistent snapshot, so the first page sets the position.
        position: StorePosition | None = None
        query = {"prefix": prefix}
        while True:
            response = await self._call("GET", "/v1/kv-range", query)
            self._require_ok(response, f"list {prefix!r}")
            page = _decode(response, _Range)
            era = _era(response)
            position = position or StorePosition(era, page.store_revision)
            if era != position.era:
                raise PlatformUnavailable(f"list {prefix!r}: store was restored")
            items += [
                StoredItem(item.key, _decode_value(item), item.revision)
                for item in page.items
            ]
            if not page.truncated or not page.items:
                return KeyList(items, position.revision, position.era)
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def watch(
        self, key: str, after: StorePosition, deadline: float
    ) -> VersionedValue:
        while True:
            if self._era > after.era:
                return await self.get(key)
            response = await self._watch(key, self._watch_start(key, after), deadline)
            if self._era > after.era:
                continue
            if response.status == HTTPStatus.GONE:
                current = await self.get(key)
                if current.position != after:
                    return current
                continue
            self._require_ok(response, f"watch {key!r}")
            page = _decode(response, _Events)
            # The prefix also matches longer keys, whose events are skipped.
            matching = [item for item in page.events if item.key == key]
            if matching:
                newest = matching[-1]
                value = None if newest.deleted else _decode_value(newest)
                return VersionedValue(newest.revision, value, after.era)
            self._unchanged_through[key] = after, page.store_revision
            if not page.events:
                return VersionedValue(after.revision, None, after.era)

    async def watch_prefix(
        self, prefix: str, after: StorePosition, deadline: float
    ) -> PrefixWatch:
        unknown = PrefixWatch(True, after)
        if self._era > after.era:
            return unknown
        response = await self._watch(prefix, after.revision, deadline)
        if self._era > after.era or response.status == HTTPStatus.GONE:
            return unknown
        self._require_ok(response, f"watch {prefix!r}")
        page = _decode(response, _Events)
        if not page.events:
            revision = max(after.revision, page.store_revision)
            return PrefixWatch(False, StorePosition(after.era, revision))
        newest = {item.key: item for item in page.events}
        deleted = frozenset(key for key, item in newest.items() if item.deleted)
        position = StorePosition(after.era, page.events[-1].revision)
        return PrefixWatch(True, position, frozenset(newest) - deleted, deleted)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease: int = 0
    ) -> int:
        text = base64.b64encode(value).decode()
        change = {
            "expected": [{"key": key, "revision": expected_revision}],
            "writes": [{"key": key, "value": text, "lease": lease}],
            "deletes": [],
        }
        response = await self._call("POST", "/v1/kv-txn", content=change)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise RevisionConflict(
                f"key {key!r} is not at revision {expected_revision}"
            )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpired(f"key {key!r}: lease {lease} has ended")
        self._require_ok(response, f"write {key!r}")
        revision = _decode(response, _Change).revision
        if lease and self._lease_eras.get(lease) != _era(response):
            # After a restore the id may belong to another node's lease, which would
            # keep the key for as long as that node lives.
            await self._delete(key, revision)
            raise LeaseExpired(f"key {key!r}: lease {lease} is of an earlier era")
        return revision

    async def grant_lease(self, lifetime: float) -> int:
        content = {"ttl_ms": int(lifetime / MILLISECOND)}
        response = await self._call("POST", "/v1/kv-lease", content=content)
        self._require_ok(response, "grant lease")
        lease = _decode(response, _Lease).lease
        self._lease_eras[lease] = _era(response)
        return lease

    async def renew_lease(self, lease: int) -> None:
        response = await self._call("POST", f"/v1/kv-keep/{lease}")
        if response.status == HTTPStatus.NOT_FOUND:
            self._lease_eras.pop(lease, None)
            raise LeaseExpired(f"lease {lease} has ended")
        self._require_ok(response, f"renew lease {lease}")
        if self._lease_eras.get(lease) != _era(response):
            self._lease_eras.pop(lease, None)
            raise LeaseExpired(f"lease {lease} is of an earlier era")

    async def revoke_lease(self, lease: int) -> None:
        self._lease_eras.pop(lease, None)
        response = await self._call("DELETE", f"/v1/kv-lease-end/{lease}")
        if response.status != HTTPStatus.NOT_FOUND:
            self._require_ok(response, f"revoke lease {lease}")

    async def _watch(self, prefix: str, after: int, deadline: float) -> JsonResponse:
        """Wait for events of a prefix after a revision, at most until a deadline."""
        wait = min(MAX_WATCH_WAIT, max(0.0, deadline - self._clock.now()))
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait / MILLISECOND)),
        }
        return await self._call("GET", "/v1/kv-watch", query, wait=wait)

    async def _delete(self, key: str, revision: int) -> None:
        """Delete a key if it is at a revision."""
        change = {
            "expected": [{"key": key, "revision": revision}],
            "writes": [],
            "deletes": [key],
        }
        await self._call("POST", "/v1/kv-txn", content=change)

    def _record_unchanged(
        self, key: str, value: VersionedValue, item: _Item
    ) -> VersionedValue:
        """Record that a key was unchanged through the response's store revision.

        :returns: the given value.
        """
        self._unchanged_through[key] = value.position, item.store_revision
        return value

    def _watch_start(self, key: str, after: StorePosition) -> int:
        """Return the store revision from which a watch continues.

        The store compacts its history, so it would reject a watch from the revision of
        a key that rarely changes.
        """
        known, unchanged_through = self._unchanged_through.get(key, (None, 0))
        return (
            max(after.revision, unchanged_through) if known == after else after.revision
        )

    @staticmethod
    def _require_ok(response: JsonResponse, operation: str) -> None:
        if response.status != HTTPStatus.OK:
            raise PlatformUnavailable(
                f"{operation}: unexpected status {response.status}"
            )

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        content: object = None,
        wait: float = 0.0,
    ) -> JsonResponse:
        """Send a request and return the response.

        :param wait: seconds for which the store may block the call, on top of
            ``RESPONSE_TIMEOUT``.
        :raises PlatformUnavailable: when there is no complete response in time.
        """
        self._call_counts[f"{method} {path.split('/')[2]}"] += 1
        target = _encode_path(path, **query or {})
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT + wait):
                response = await request_json(
                    self._pool,
                    self._address,
                    POOL_KEY,
                    MAX_CONNECTIONS,
                    method,
                    target,
                    [],
                    MAX_RESPONSE_BYTES,
                    content,
                )
        except (ConnectionFailed, IncompleteResponse, TimeoutError) as error:
            kind = str(error) or type(error).__name__
            raise PlatformUnavailable(f"{method} {path}: {kind}") from error
        self._era = max(self._era, _era(response))
        return response
