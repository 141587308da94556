"""A stand-in of the platform's metadata store, written from PROTOCOL.md."""
import asyncio
import base64
import collections
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import format_message, read_message

Item = collections.namedtuple("Item", "value revision created lease")


class Store:
    """Keys, revisions, watches, transactions and leases.

    Reads with `serializable` = 1 are served by replicas in turn, beginning with
    the first one on each connection. Each replica has its own lag in seconds,
    and `asOf` is the revision of the content that it has. All other responses
    are linearizable."""

    def __init__(self, page=500, lags=(0.0,)):
        self.page = page
        self.lags = lags
        self.items = {}
        self.revision = 7
        self.history = []
        self.snapshots = [(0.0, self.revision, {})]
        self.leases = {}
        self.changed = asyncio.Event()

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self._record(self._describe(key, item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record(
                {"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event):
        self.history.append(event)
        self.snapshots.append(
            (time.monotonic(), self.revision, dict(self.items)))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _describe(key, item):
        return {"key": key, "value": base64.b64encode(item.value).decode(),
                "revision": item.revision, "createRevision": item.created,
                "lease": item.lease}

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, ends) in list(self.leases.items()):
                if ends < time.monotonic():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        found = self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)
        return found is not None

    async def _serve(self, reader, writer):
        stale_reads = 0
        try:
            while message := await read_message(reader):
                _, target, _ = message.start.split(" ")
                await asyncio.sleep(0.004)
                lag = self.lags[stale_reads % len(self.lags)]
                stale_reads += "serializable=1" in target
                status, body = await self._answer(target, message.body, lag)
                writer.write(format_message(
                    f"HTTP/1.1 {status} X",
                    [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body, lag):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        call = url.path.split("/")[2:]
        data = json.loads(body) if body else {}
        if call[0] == "kv-range":
            return self._range(query, lag)
        if call[0] == "kv-key":
            key = unquote(query.get("key", ""))
            if key not in self.items:
                return 404, {}
            return 200, {**self._describe(key, self.items[key]),
                         "asOf": self.revision}
        if call[0] == "kv-watch":
            return await self._watch(query)
        if call[0] == "kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            life = data["ttlMs"] / 1000
            self.leases[lease] = (life, time.monotonic() + life)
            return 200, {"lease": lease, "ttlMs": data["ttlMs"]}
        if call[0] == "kv-keep":
            lease = int(call[1])
            if lease not in self.leases:
                return 404, {}
            life = self.leases[lease][0]
            self.leases[lease] = (life, time.monotonic() + life)
            return 200, {"ttlMs": int(life * 1000)}
        if call[0] == "kv-lease-end":
            return (200, {}) if self._end_lease(int(call[1])) else (404, {})
        if call[0] == "kv-txn":
            return self._transact(data)
        return 404, {}

    def _range(self, query, lag):
        items, revision = self.items, self.revision
        if query.get("serializable") == "1":
            at = time.monotonic() - lag
            for moment, known, content in reversed(self.snapshots):
                if moment <= at:
                    items, revision = content, known
                    break
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self._describe(k, items[k]) for k in keys[:self.page]],
            "hasMore": len(keys) > self.page, "asOf": revision}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, data):
        for row in data.get("expect", []):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in data.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease", 0) not in (0, *self.leases):
                return 404, {}
        for put in data.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        for key in data.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}
