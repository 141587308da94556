"""A stand-in of one backend, written from PROTOCOL.md."""
import asyncio
import hashlib
import json
import time

from standins.http import format_message, read_message


class Backend:
    """Serves `slots` requests at once, queues `queue` more, and writes its entry
    to the store. It checks the expected instance, echoes the id of a request
    and drops a request whose connection closes."""

    def __init__(self, record, store, service, instance, zone, port, slots=2,
                 queue=12, work=lambda request: 0.01, body=None,
                 extra=lambda backend, request: None):
        self.record, self.store = record, store
        self.service, self.instance, self.zone = service, instance, zone
        self.port, self.slots, self.queue = port, slots, queue
        self.work, self.body = work, body or self._plain_body
        # Bytes that follow a complete response, and their delay in seconds.
        self.extra = extra
        self.address = f"127.0.0.1:{port}"
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.busy, self.runs, self.writers = 0, [], set()
        self.slot = asyncio.Semaphore(slots)
        self.server = None

    @property
    def key(self):
        return f"servers/{self.instance}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=256)
        self.register()

    def register(self):
        self.seq += 1
        self.store.put(self.key, json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmupLeftMs": 0, "seq": self.seq,
            "born": self.born}).encode())
        self.record("entry", self.key, self.state, f"seq={self.seq}",
                    f"born={self.born}", f"address={self.address}")

    def drain(self):
        self.state = "draining"
        self.register()

    def end(self):
        """Ends the process: closes the port and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record("backend-ended", self.instance,
                    f"in-work={sum(1 for r in self.runs if r['end'] is None)}")

    @staticmethod
    def _plain_body(backend, request_id):
        return f"{backend.instance} answers {request_id}".encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = asyncio.create_task(self._answer(message))
                # One more byte, or the end of the connection.
                more = asyncio.create_task(reader.read(1))
                done, _ = await asyncio.wait(
                    (answer, more), return_when=asyncio.FIRST_COMPLETED)
                if answer not in done:
                    answer.cancel()
                    return
                status, fields, body = answer.result()
                if self.state == "draining":
                    fields.append(("Connection", "close"))
                more.cancel()
                try:
                    await more
                except asyncio.CancelledError:
                    pass
                writer.write(format_message(
                    f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
                extra = self.extra(
                    self, message.fields.get("wasabispread-request-id"))
                if extra:
                    asyncio.create_task(self._send_late(writer, *extra))
                if self.state == "draining":
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _send_late(self, writer, delay, data):
        await asyncio.sleep(delay)
        if not writer.is_closing():
            writer.write(data)

    async def _answer(self, message):
        arrived = time.monotonic()
        request_id = message.fields.get("wasabispread-request-id", "")
        expected = message.fields.get("wasabispread-expect-instance")
        echo = [("Wasabispread-Request-Id", request_id)]
        if message.start.split(" ")[1] == "/health":
            return (200 if self.state == "ready" else 503,
                    [("Wasabispread-Instance-Id", self.instance)], b"")
        if expected not in (None, self.instance):
            return 421, echo + [
                ("Wasabispread-Instance-Id", self.instance)], b""
        not_run = echo + [("Wasabispread-Not-Executed", "1")]
        if not request_id:
            return 400, [("Wasabispread-Not-Executed", "1")], b""
        if self.busy >= self.slots + self.queue:
            return 503, not_run, b""
        limit = int(message.fields.get(
            "wasabispread-request-deadline-ms", "60000")) / 1000
        self.busy += 1
        try:
            async with self.slot:
                if time.monotonic() - arrived >= limit:
                    return 503, not_run, b""
                return await self._run(message, request_id, echo,
                                       limit - (time.monotonic() - arrived))
        finally:
            self.busy -= 1

    async def _run(self, message, request_id, echo, left):
        method, target, _ = message.start.split(" ")
        run = {"id": request_id, "start": time.monotonic(), "end": None,
               "instance": self.instance, "body": message.body}
        self.runs.append(run)
        self.record("run", request_id, f"at={self.instance}",
                    f"service={self.service}", f"state={self.state}",
                    method, target)
        stamp = hashlib.sha256(
            f"{self.instance} {request_id}".encode()).hexdigest()[:16]
        stamped = echo + [("Wasabispread-Server-Stamp", stamp)]
        work = self.work(request_id)
        await asyncio.sleep(min(work, left))
        run["end"] = time.monotonic()
        if work > left:
            return 504, stamped, b""
        return 200, stamped, self.body(self, request_id)
