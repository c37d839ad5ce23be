"""A stand-in for the platform's store: ``python -m harness_3.store HOST:PORT``.

It has the calls that a gateway uses. ``POST /put`` writes a key as the operator and the
engines do, ``DELETE /put`` removes one; ``key`` is in the query.
"""

import asyncio
import base64
import json
import sys
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from harness_3.http_io import Message, encode, read_body, read_head

READ_ONLY = ("op/", "servers/")
PAGE_ITEMS = 500


@dataclass
class Item:
    """The value of a key."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Store:
    """The contents; leases are by id: lifetime in seconds, and when each ends."""

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, list[float]] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def show(self, key: str) -> dict:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append(self.show(key))

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(event)

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return True

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()


class Calls:
    """The calls of the store's protocol."""

    def __init__(self) -> None:
        self.store = Store()

    async def answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = request.body
        routes = {
            ("GET", "/v1/kv-key"): lambda: self.get(query),
            ("GET", "/v1/kv-range"): lambda: self.range(query),
            ("GET", "/v1/kv-watch"): lambda: self.watch(query),
            ("POST", "/v1/kv-txn"): lambda: self.transact(json.loads(body)),
            ("POST", "/v1/kv-lease"): lambda: self.grant(json.loads(body)),
            ("POST", "/put"): lambda: self.put(query, body),
            ("DELETE", "/put"): lambda: self.delete(query),
        }
        method = request.first[0]
        if url.path.startswith("/v1/kv-keep/"):
            return await self.keep(int(url.path.rpartition("/")[2]))
        if url.path.startswith("/v1/kv-lease-end/"):
            return await self.end(int(url.path.rpartition("/")[2]))
        if (method, url.path) not in routes:
            return 404, {}
        return await routes[method, url.path]()

    async def get(self, query: dict[str, str]) -> tuple[int, dict]:
        store, key = self.store, query["key"]
        if key not in store.items:
            return 404, {"store_revision": store.revision}
        return 200, {**store.show(key), "store_revision": store.revision}

    async def range(self, query: dict[str, str]) -> tuple[int, dict]:
        store, after = self.store, query.get("after", "")
        keys = sorted(key for key in store.items if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > after]
        return 200, {
            "items": [store.show(key) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": store.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        store, after = self.store, int(query["after"])
        prefix = query["prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in store.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": store.revision}
            async with store.changed:
                try:
                    await asyncio.wait_for(store.changed.wait(), left)
                except TimeoutError:
                    continue

    async def transact(self, change: dict) -> tuple[int, dict]:
        store = self.store
        for row in change.get("expected", ()):
            item = store.items.get(row["key"])
            if row["revision"] != (item.revision if item else 0):
                keys = [each["key"] for each in change["expected"]]
                found = [store.show(key) for key in keys if key in store.items]
                return 412, {"items": found}
        writes = change.get("writes", ())
        if any(write["key"].startswith(READ_ONLY) for write in writes):
            return 403, {}
        leases = {write.get("lease", 0) for write in writes} - {0}
        if leases - store.leases.keys():
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            store.put(write["key"], value, write.get("lease", 0))
        for key in change.get("deletes", ()):
            store.remove(key)
        await store.notify()
        return 200, {"revision": store.revision}

    async def grant(self, content: dict) -> tuple[int, dict]:
        self.store.revision += 1
        lease, lifetime = self.store.revision, content["ttl_ms"] / 1000
        self.store.leases[lease] = [lifetime, time.monotonic() + lifetime]
        return 200, {"lease": lease, "ttl_ms": content["ttl_ms"]}

    async def keep(self, lease: int) -> tuple[int, dict]:
        held = self.store.leases.get(lease)
        if held is None:
            return 404, {}
        held[1] = time.monotonic() + held[0]
        return 200, {"ttl_ms": int(held[0] * 1000)}

    async def end(self, lease: int) -> tuple[int, dict]:
        is_ended = self.store.end_lease(lease)
        await self.store.notify()
        return (200 if is_ended else 404), {}

    async def put(self, query: dict[str, str], value: bytes) -> tuple[int, dict]:
        self.store.put(query["key"], value)
        await self.store.notify()
        return 200, {"revision": self.store.revision}

    async def delete(self, query: dict[str, str]) -> tuple[int, dict]:
        self.store.remove(query["key"])
        await self.store.notify()
        return 200, {"revision": self.store.revision}

    async def expire_leases(self) -> None:
        """End the leases that were not renewed in time, for ever."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            leases = self.store.leases.items()
            for lease in [id_ for id_, held in leases if held[1] <= now]:
                self.store.end_lease(lease)
                await self.store.notify()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                status, content = await self.answer(request)
                fields = [("Content-Type", "application/json"), ("Store-Era", "1")]
                body = json.dumps(content).encode()
                writer.write(encode(f"HTTP/1.1 {status} Status", fields, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()


async def main(address: str) -> None:
    """Serve for ever."""
    calls = Calls()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(calls.serve, host, int(port), backlog=512)
    async with server:
        await asyncio.gather(server.serve_forever(), calls.expire_leases())


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
