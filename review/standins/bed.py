"""Starts the project's daemon as the deploy file says, sends requests to it,
and writes the record of a case."""
import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standins.http import format_message, read_message

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the small sites' settings.
BOUNDS = {"stableWindowMs": 4000, "drainMs": 3000, "graceS": 6,
          "configApplyMs": 3000, "lossSlackMs": 200, "recoverS": 12,
          "retryBudgetRatio": 0.2, "budgetSlack": 58, "budgetWindowS": 10}


class CannotRun(Exception):
    """The case could not be played; nothing is known of the rule."""


class Record:
    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(folder / "record.txt", "w")

    def __call__(self, event, *words):
        line = f"{time.monotonic() - self.start:8.3f} {event:16s}"
        print(" ".join([line, *map(str, words)]).rstrip(),
              file=self.file, flush=True)


def free_ports(count):
    """Ports that nothing listens on, below the range of outgoing ones."""
    ports = []
    port = 10000 + os.getpid() * 37 % 20000
    while len(ports) < count:
        port = port + 1 if port < 32000 else 10000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
    return ports


class Node:
    """One machine: starts the daemon, and again after each end."""

    def __init__(self, record, folder, name, zone, store_port, ports):
        self.record, self.name, self.zone = record, name, zone
        self.front, self.ready, self.control = ports
        self.ends_of_its_own = 0
        self.is_stopping = self.is_closed = False
        self.process = None
        self.log = open(folder / f"{name}.log", "ab")
        self.settings = folder / f"{name}.toml"
        values = {
            "node": name, "zone": zone,
            "platform.address": f"127.0.0.1:{store_port}",
            "limits.cpuShare": "0.25",
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "listen.control": f"127.0.0.1:{self.control}",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()}}
        template = (ROOT / "deploy/settings.toml").read_text()
        self.settings.write_text(re.sub(
            r"\{\{([^}]*)\}\}", lambda found: values[found[1]], template))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = [
            str(self.settings) if word == "/etc/wasabispread/node.toml"
            else word
            for word in deploy["roles"]["forwarder"]["run"].split(" ")]

    async def run(self):
        """Starts the daemon; after it ends, again half a second later."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["WASABISPREAD_BOOT"] = str(self.settings)
        while not self.is_closed:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
                stderr=self.log)
            self.record("node-started", self.name)
            code = await self.process.wait()
            if self.is_closed:
                return
            if not self.is_stopping:
                self.ends_of_its_own += 1
            self.record("node-ended", self.name, f"code={code}",
                        "stopped" if self.is_stopping else "of its own")
            self.is_stopping = False
            await asyncio.sleep(0.5)

    def start(self):
        self.task = asyncio.create_task(self.run())

    def signal(self, number):
        self.is_stopping = number in (signal.SIGTERM, signal.SIGKILL)
        self.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await exchange(
                self.ready, "GET", "/-/ready", [("Host", "ready")], b"", 1)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def close(self):
        self.is_closed = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.task.cancel()
        self.log.close()


async def exchange(port, method, target, fields, body, timeout):
    """One request on a new connection; None when it closes unanswered."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(format_message(
                f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


async def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not within {seconds} s: {what}")


def route(name, **fields):
    return {"name": name, "host": "shop.example", "prefix": f"/{name}/",
            "routeType": "idempotent", "timeoutMs": 4000,
            "targetLatencyMs": 600, "attempts": 2, "priority": 1, **fields}


def configuration(version, routes, services, connections=52):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/health",
                      "maxConns": connections, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}).encode()


def play(case, folder, limit_s=110):
    """Runs `case(record, folder for files, nodes)`, which returns a text that
    states how the rule was broken, or None. Ends all processes, and exits."""
    record = Record(folder)
    files = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def run():
        nodes = []
        try:
            return await asyncio.wait_for(
                case(record, files, nodes), limit_s)
        finally:
            for node in nodes:
                await node.close()

    try:
        broken = asyncio.run(run())
        text = f"broken: {broken}" if broken else "the rule held"
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        text, code = f"could not run: {error!r}", 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(files, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(files, ignore_errors=True)
    record("result", f"TROUBLE={1 if TROUBLE else 0}", text)
    print(text)
    sys.exit(code)
