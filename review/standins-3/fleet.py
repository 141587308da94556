"""Small stand-ins of the platform's store and of backends, written from
PROTOCOL.md, and a runner of forwarding daemons with the command and the settings
of deploy/. Standard library only."""
import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import time
import urllib.parse


def free_ports(count):
    """Ports below the range from which outgoing connections take theirs."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, fields):
    length = int(field(fields, "Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


async def read_response(reader):
    """The status, the fields and the body of the final response."""
    while True:
        line, fields = await read_head(reader)
        status = int(line.split(" ")[1])
        if status >= 200:
            return status, fields, await read_body(reader, fields)


class Store:
    """A key-value store with revisions, watches, transactions and leases."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() > end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items()
                    if item["lease"] == lease]:
            self.delete(key)
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        self.revision += 1
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createRevision":
                    known["createRevision"] if known else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append((self.revision, item))

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.events.append((self.revision,
                                {"key": key, "revision": self.revision,
                                 "deleted": True}))

    async def write(self, key, value):
        """Writes as the operator and backends do."""
        self.put(key, value)
        await self.notify()

    async def remove(self, key):
        self.delete(key)
        await self.notify()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handle(method, target, body)
                await asyncio.sleep(0.002)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\n"
                             "Content-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode()
                             + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query,
                                            keep_blank_values=True))
        path = parts.path
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, asOf=self.revision)) if item else (404, {})
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for revision, event in self.events
                      if revision > after
                      and event["key"].startswith(query.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        for row in call["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]]
                                       for r in call["expect"]
                                       if r["key"] in self.items]}
        for row in call["puts"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in call["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in call["deletes"]:
            self.delete(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Target:
    """One backend."""

    def __init__(self, fleet, service, instance, zone):
        self.fleet = fleet
        self.service = service
        self.id = instance
        self.zone = zone
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.work = 0.003
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": state,
                "warmupLeftMs": 0, "seq": self.seq, "born": self.born}

    async def register(self, state="ready"):
        await self.fleet.store.write("servers/" + self.id, self.entry(state))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                await read_body(reader, fields)
                await self.answer(fields, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, fields, writer):
        request = field(fields, "Wasabispread-Request-Id")
        expected = field(fields, "Wasabispread-Expect-Instance")
        head = f"Wasabispread-Request-Id: {request}\r\n"
        if expected not in (None, self.id):
            writer.write(("HTTP/1.1 421 Misdirected Request\r\n" + head
                          + "Wasabispread-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        self.fleet.runs.append({"rid": request, "id": self.id,
                                "time": time.monotonic()})
        await asyncio.sleep(self.work)
        body = f"answer of {self.service} to {request}".encode()
        digest = hashlib.md5((self.service + request).encode()).hexdigest()[:8]
        writer.write((f"HTTP/1.1 200 OK\r\n{head}"
                      f"Wasabispread-Server-Stamp: {self.id}.{digest}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


class Fleet:
    """A store, backends and daemons on loopback."""

    def __init__(self, zones):
        self.zones = zones
        self.runs = []
        self.vms = []
        self.version = 1
        self.folder = tempfile.mkdtemp(prefix="wasabispread-review-")

    async def start(self):
        self.store = Store()
        await self.store.start()

    async def add_target(self, service, instance, zone="z1"):
        target = Target(self, service, instance, zone)
        await target.start()
        await target.register()
        return target

    async def configure(self, routes, services, **more):
        self.version += 3
        await self.store.write("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            **more})

    def start_vm(self, number):
        """Starts a daemon as deploy/system.toml does."""
        ports = free_ports(3)
        name = f"vm-{number}"
        file = os.path.join(self.folder, name + ".toml")
        with open(file, "w") as settings:
            settings.write(
                f'name = "{name}"\nzone = "{self.zones[number]}"\n'
                f'store = "127.0.0.1:{self.store.port}"\n'
                "processor_share = 0.25\nstop_grace_seconds = 6\n\n[listen]\n"
                f'callers = "127.0.0.1:{ports[0]}"\n'
                f'readiness = "127.0.0.1:{ports[1]}"\n'
                f'peers = "127.0.0.1:{ports[2]}"\n\n[repeats]\n'
                "share = 0.2\nfixed = 54\nwindow_seconds = 10\n")
        regions = "".join(f'{zone} = "r"\n' for zone in sorted(set(self.zones)))
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(
                ["target/wasabispreadd", "--forward", "--settings", file],
                stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "WASABISPREAD_EXTRA_SETTINGS":
                         "memory_megabytes = 260\n[regions]\n" + regions})
        self.vms.append({"ports": ports, "process": process})

    async def ready(self, number, wait=15):
        end = time.monotonic() + wait
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.vms[number]["ports"][1])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b" 200" in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def kill_all(self):
        for vm in self.vms:
            vm["process"].kill()
            vm["process"].wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
