"""A small deployment on loopback for the scripts of the second review.

A store, backends and clients that speak the platform's pages, and the
project's own daemons as separate processes. Everything runs in one asyncio
loop. Sound by default; faults are set by the scripts.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "wasabispreadd")
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not run: exit code 2."""


GIVEN_PORTS = set()
# Each request that a client sent: id, port, when sent, status or None, when
# answered or given up.
SENT = []


def free_port():
    """A port that is free now, below those that connections get."""
    for port in range(20000 + (os.getpid() * 37) % 9000, 32000):
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads a request or response with a length or in chunks; None at the end."""
    head = b""
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            if head:
                break
            continue
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    """The bytes of a response."""
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


class Store:
    """The platform's store, with one port for each machine, so that it can
    reject one of them."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.compacted = 0
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.rejecting = {}
        self.servers = []
        self.log = []

    async def open_port(self, machine):
        """Opens the port of one machine and returns its address."""
        self.rejecting[machine] = False

        async def serve(reader, writer):
            try:
                while True:
                    message = await read_message(reader)
                    if message is None:
                        break
                    status, body = await self.handle(machine, message)
                    writer.write(response(status, json.dumps(body).encode(),
                                          [("Content-Type", "application/json")]))
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, puts, deletes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["createRevision"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision,
                    "createRevision": created, "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, {
                    "key": key, "revision": self.revision, "deleted": True}))
        self.wake()
        return self.revision

    def put(self, key, value):
        """Writes as operators and backends do."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        return self.write([(key, base64.b64encode(value).decode(), 0)], [])

    def expire(self):
        now = time.monotonic()
        for lease in [name for name, (_, ends) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write([], keys)

    async def run(self):
        """Ends leases in time."""
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, machine, message):
        line, _, body = message
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if self.rejecting[machine]:
            self.log.append((time.monotonic(), machine, "503", method + " " + path))
            return 503, {"error": "busy"}
        self.expire()
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", ""))
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, asOf=self.revision)) if item else (404, {})
        if path == "/-/kv-watch":
            return await self.watch(machine, query)
        fields = json.loads(body) if body else {}
        if path == "/-/kv-txn":
            return self.transact(fields)
        if path == "/-/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            ttl = max(1000, min(600000, int(fields["ttlMs"])))
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, machine, query):
        after = int(query.get("after", "0"))
        prefix = query.get("prefix", "")
        ends = time.monotonic() + min(30000, int(query.get("waitMs", "0"))) / 1000
        while True:
            if self.rejecting[machine]:
                return 503, {"error": "busy"}
            if after < self.compacted:
                return 410, {}
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def reject(self, machine, rejects):
        """Begins or ends to answer one machine with 503."""
        self.rejecting[machine] = rejects
        self.wake()

    def transact(self, fields):
        for row in fields.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in fields["expect"] if r["key"] in self.items]
                return 412, {"items": rows}
        puts = [(p["key"], p["value"], p.get("lease", 0)) for p in fields.get("puts", [])]
        for key, _, lease in puts:
            if key.startswith(("op/", "servers/")):
                return 403, {}
            if lease and lease not in self.leases:
                return 404, {}
        return 200, {"revision": self.write(puts, fields.get("deletes", []))}

    def value(self, key):
        """The JSON value of a key; None if it is absent."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None


class Backend:
    """A sound backend: runs each request for work_s and answers it whole."""

    def __init__(self, name, service, zone, runs, work_s=0.01, slots=64):
        self.name, self.service, self.zone = name, service, zone
        self.runs, self.work_s, self.slots = runs, work_s, slots
        self.running = 0
        self.seq = 0
        self.server = None
        self.address = None
        self.answer = self.usual_answer

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def register(self, store, state="ready"):
        self.seq += 1
        store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "warmupLeftMs": 0,
            "seq": self.seq, "born": 1700000000000})

    def usual_answer(self, request_id, body):
        """The status, headers and body of the answer to a run."""
        return 200, [("Wasabispread-Request-Id", request_id),
                     ("Wasabispread-Server-Stamp", f"stamp.{self.name}.{request_id}")], \
            f"body of {request_id}".encode()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                arrived = time.monotonic()
                request_id = headers.get("wasabispread-request-id", "")
                expected = headers.get("wasabispread-expect-instance", self.name)
                if line.split(" ")[1] == "/health":
                    writer.write(response(200, b"", [("Wasabispread-Instance-Id", self.name)]))
                elif expected != self.name:
                    writer.write(response(421, b"", [("Wasabispread-Instance-Id", self.name)]))
                elif self.running >= self.slots:
                    writer.write(response(503, b"", [("Wasabispread-Not-Executed", "1")]))
                else:
                    self.running += 1
                    self.runs.append({"at": arrived, "id": request_id, "backend": self.name,
                                      "line": line, "body": body,
                                      "tenant": headers.get("wasabispread-tenant", "")})
                    try:
                        await asyncio.sleep(self.work_s)
                    finally:
                        self.running -= 1
                    writer.write(response(*self.rearranged(request_id, body)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def rearranged(self, request_id, body):
        status, headers, text = self.answer(request_id, body)
        return status, text, headers


class Machine:
    """One machine of the system: the daemon with the deploy file's command."""

    def __init__(self, name, zone, zones, store_address, folder, extra):
        self.name, self.zone = name, zone
        self.folder = folder
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        # The template deploy/settings.toml, filled in.
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'name = "{name}"\nzone = "{zone}"\nstore = "{store_address}"\n'
                       f"processor_share = 0.25\nstop_grace_seconds = 6\n\n[listen]\n"
                       f'callers = "127.0.0.1:{self.front}"\n'
                       f'readiness = "127.0.0.1:{self.ready}"\n'
                       f'peers = "127.0.0.1:{self.control}"\n\n'
                       f"[repeats]\nshare = 0.2\nfixed = 54\nwindow_seconds = 10\n")
        self.env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": folder,
                    "LANG": "C.UTF-8",
                    # The deploy file's variable, filled in.
                    "WASABISPREAD_EXTRA_SETTINGS": extra + "[regions]\n" + "".join(
                        f'{name} = "region-1"\n' for name in zones)}
        self.process = None

    def start(self):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/wasabispreadd is not built")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON, "--forward", "--settings", self.settings], cwd=ROOT,
                env=self.env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None

    def records(self, event):
        """The log lines of one kind."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line for line in log if event in line]

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(ask_once(self.ready, "/-/ready"), 1)
            return status == 200
        except (ConnectionError, OSError, asyncio.TimeoutError, TypeError):
            return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def ask_once(port, path):
    """One GET on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line, headers, body = await read_message(reader)
        return int(line.split(" ")[1]), headers, body
    finally:
        writer.close()


class Client:
    """A client connection that is kept for many requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None
        self.used = 0.0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, host, path, request_id, deadline_ms, key=None, method="GET", body=b"",
                  wait_s=None):
        """Sends one request; returns the status, headers and body, or None when
        the connection ended, or the deadline or wait_s passed."""
        row = [request_id, self.port, time.monotonic(), None, None]
        SENT.append(row)
        answer = await self.exchange(host, path, request_id, deadline_ms, key, method, body,
                                     wait_s or deadline_ms / 1000)
        row[3], row[4] = answer[0] if answer else None, time.monotonic()
        return answer

    async def exchange(self, host, path, request_id, deadline_ms, key, method, body, wait_s):
        """As ask(), but keeps no record."""
        try:
            # Reused within four fifths of the idle limit, which is 15 s.
            if time.monotonic() - self.used > 11:
                self.close()
            self.used = time.monotonic()
            if self.writer is None:
                await asyncio.wait_for(self.connect(), 1)
            text = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Wasabispread-Request-Id: {request_id}\r\n"
                    f"Wasabispread-Request-Deadline-Ms: {deadline_ms}\r\n")
            if key:
                text += f"Authorization: Bearer {key}\r\n"
            if method != "GET":
                text += f"Content-Length: {len(body)}\r\n"
            self.writer.write(text.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(self.reader), wait_s)
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if message is None:
            self.close()
            return None
        line, headers, answer = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, answer


class Bed:
    """Starts and ends a deployment, and keeps the record."""

    def __init__(self, case_folder):
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store()
        self.machines = []
        self.backends = []
        self.runs = []
        self.began = time.monotonic()
        self.lines = []
        self.tasks = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def note(self, text):
        line = f"{time.monotonic() - self.began:9.3f} s  {text}"
        self.lines.append(line)
        print(line, flush=True)

    async def add_machine(self, name, zone, zones, extra):
        address = await self.store.open_port(name)
        self.machines.append(Machine(name, zone, zones, address, self.folder, extra))

    async def add_backend(self, *args, **kwargs):
        backend = Backend(*args, runs=self.runs, **kwargs)
        await backend.open()
        backend.register(self.store)
        self.backends.append(backend)
        return backend

    async def start(self, limit_s=15):
        self.tasks.append(asyncio.create_task(self.store.run()))
        for machine in self.machines:
            machine.start()
        ends = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.is_ready():
                if machine.has_ended() or time.monotonic() > ends:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("all machines are ready")

    def write_requests(self, record):
        """Writes what was sent, answered and run. Of a search, with many runs,
        the first run is named."""
        names = {machine.front: machine.name for machine in self.machines}
        runs = {}
        for run in self.runs:
            runs.setdefault(run["id"], []).append(run)
        record.write("\nEach request: id, machine, seconds sent and answered, status ('-': no "
                     "answer),\nthe number of its runs, and of the first one when and where\n")
        for request_id, port, sent, status, answered in SENT:
            text = f"{request_id} {names.get(port, port)} {sent - self.began:.3f} "
            text += f"{answered - self.began:.3f}" if answered else "-"
            text += f" {status or '-'} {len(runs.get(request_id, []))}"
            for run in runs.get(request_id, [])[:1]:
                text += f" {run['at'] - self.began:.3f} {run['backend']}"
            record.write(text + "\n")

    def end(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        with open(os.path.join(self.case_folder, "record.txt"), "w", encoding="utf-8") as record:
            record.write("\n".join(self.lines) + "\n")
            self.write_requests(record)
        keep = os.environ.get("KEEP_LOGS")
        if not keep:
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)
        else:
            print("logs in", self.folder)


def run_case(case_folder, case, limit_s=110):
    """Runs case(bed), which returns whether the rule was broken; exits with 1
    if it was, 0 if it held, 2 if the case could not run."""

    async def run():
        bed = Bed(case_folder)
        try:
            broken = await asyncio.wait_for(case(bed), limit_s)
            bed.note("the rule was BROKEN" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as problem:  # pylint: disable=broad-except
            bed.note(f"could not run: {problem!r}")
            return 2
        finally:
            bed.end()

    # Ends at once: what still waits on connections needs no tidy end.
    code = 2
    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except Exception as problem:  # pylint: disable=broad-except
        print(f"could not run: {problem!r}")
    sys.stdout.flush()
    os._exit(code)
