"""A stand-in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from standins_2.wire import Call, Connection, Server, answer

PAGE_ITEMS = 500
READ_ONLY = ("op/", "servers/")


@dataclass
class Item:
    """One key."""

    value: str
    revision: int
    created: int
    lease: int


@dataclass
class Lease:
    """A lease, which runs from the arrival of the last call."""

    ttl: float
    ends_at: float


@dataclass
class Store:
    """The store's contents and its HTTP interface."""

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    events: list[dict[str, object]] = field(default_factory=list)
    revision: int = 1
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self, host: str) -> str:
        """Serve; return the address."""
        self.server = Server(self._handle)
        return f"{host}:{await self.server.start(host)}"

    async def put(self, key: str, value: object) -> None:
        """Write a key for the operator or an engine; ``None`` deletes it."""
        if value is None:
            self._delete(key)
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self._write(key, text, 0)
        await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.events.append(self._row(key))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            row = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append(row)

    def _row(self, key: str) -> dict[str, object]:
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for id_, lease in list(self.leases.items()):
            if lease.ends_at <= now:
                self._end_lease(id_)

    def _end_lease(self, id_: int) -> None:
        del self.leases[id_]
        for key in [key for key, item in self.items.items() if item.lease == id_]:
            self._delete(key)

    async def _handle(self, call: Call, connection: Connection) -> bytes:
        before = self.revision
        self._expire()
        name = call.path.split("/")[2]
        handlers = {
            "kv-key": self._get,
            "kv-range": self._range,
            "kv-txn": self._transact,
            "kv-lease": self._grant,
            "kv-keep": self._keep,
            "kv-lease-end": self._end,
        }
        if name == "kv-watch":
            data = await self._watch(call)
        else:
            data = handlers[name](call)
        if self.revision != before:
            await self._notify()
        return data

    def _get(self, call: Call) -> bytes:
        key = call.query["key"]
        if key not in self.items:
            return answer(404, {"store_revision": self.revision})
        return answer(200, {**self._row(key), "store_revision": self.revision})

    def _range(self, call: Call) -> bytes:
        prefix, after = call.query["prefix"], call.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = {
            "items": [self._row(key) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }
        return answer(200, page)

    async def _watch(self, call: Call) -> bytes:
        prefix, after = call.query["prefix"], int(call.query["after"])

        def find() -> list[dict[str, object]]:
            return [
                event
                for event in self.events
                if int(str(event["revision"])) > after
                and str(event["key"]).startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(call.query["wait_ms"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(find)
        except TimeoutError:
            pass
        return answer(200, {"events": find(), "store_revision": self.revision})

    def _transact(self, call: Call) -> bytes:
        change = json.loads(call.body)
        for row in change.get("expected", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item.revision if item else 0):
                keys = [each["key"] for each in change["expected"]]
                rows = [self._row(key) for key in keys if key in self.items]
                return answer(412, {"items": rows})
        writes = change.get("writes", [])
        if any(write["key"].startswith(READ_ONLY) for write in writes):
            return answer(403)
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return answer(404)
        for write in writes:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in change.get("deletes", []):
            self._delete(key)
        return answer(200, {"revision": self.revision})

    def _grant(self, call: Call) -> bytes:
        ttl_ms = json.loads(call.body)["ttl_ms"]
        self.revision += 1
        lease = Lease(ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
        self.leases[self.revision] = lease
        return answer(200, {"lease": self.revision, "ttl_ms": ttl_ms})

    def _keep(self, call: Call) -> bytes:
        lease = self.leases.get(int(call.path.rsplit("/", 1)[1]))
        if lease is None:
            return answer(404)
        lease.ends_at = time.monotonic() + lease.ttl
        return answer(200, {"ttl_ms": int(lease.ttl * 1000)})

    def _end(self, call: Call) -> bytes:
        id_ = int(call.path.rsplit("/", 1)[1])
        if id_ not in self.leases:
            return answer(404)
        self._end_lease(id_)
        return answer(200, {})
