"""A version of the configuration adds a route and a tenant whose name has a
space."""
import asyncio
import os
import signal
import sys
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from fleet import Fleet, field, read_response  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 5.0  # configApplyMs of swapnet-tz-grown
WATCHED_S = 20.0
NAME = "Kilimo Swapnet" if TROUBLE else "Kilimo-Swapnet"


def route(name):
    return {"name": name, "host": "a.example", "prefix": f"/{name}/",
            "routeType": "idempotent", "service": "one", "attempts": 2,
            "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
            "public": False}


def tenant(name, key):
    return {"name": name, "apiKeys": [key], "ratePerS": 0, "burst": 0}


SERVICES = [{"name": "one", "healthPath": "/health", "maxConns": 100}]
LINES = []
START = time.monotonic()


def note(text):
    LINES.append(f"{time.monotonic() - START:8.3f} s  {text}")


async def ask(fleet, vm, path, key, number):
    request = f"r{number:06d}"
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.vms[vm]["ports"][0])
        writer.write((f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
                      f"Authorization: Bearer {key}\r\n"
                      f"Wasabispread-Request-Id: {request}\r\n"
                      "Wasabispread-Request-Deadline-Ms: 2000\r\n\r\n").encode())
        status, headers, _ = await asyncio.wait_for(read_response(reader), 4)
        stamp = field(headers, "Wasabispread-Server-Stamp")
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status, stamp = repr(error), None
    note(f"request {request} {path} with the key {key} to vm-{vm} answered "
         f"{status} stamp {stamp}")
    return status


async def main():
    fleet = Fleet(("z1", "z1"))
    await fleet.start()
    for number in (0, 1):
        await fleet.add_target("one", f"i-{number}")
    await fleet.configure([route("first")], SERVICES,
                          tenants=[tenant("plain", "key-1")])
    for vm in (0, 1):
        fleet.start_vm(vm)
    try:
        if not (await fleet.ready(0) and await fleet.ready(1)):
            return 2
        await asyncio.sleep(5)
        await fleet.configure([route("first"), route("added")], SERVICES,
                              tenants=[tenant("plain", "key-1"),
                                       tenant(NAME, "key-2")])
        acknowledged = time.monotonic()
        note(f"the store accepts version {fleet.version}: a route /added/ and "
             f"the tenant \"{NAME}\" with the key key-2")
        number = 0
        counts = {"first": 0, "asked": 0, "served": 0, "as older": 0}
        while time.monotonic() < acknowledged + WATCHED_S:
            late = time.monotonic() > acknowledged + APPLY_S
            for vm in (0, 1):
                for path, key in (("/first/x", "key-1"), ("/added/x", "key-1"),
                                  ("/first/y", "key-2")):
                    number += 1
                    status = await ask(fleet, vm, path, key, number)
                    if (path, key) == ("/first/x", "key-1"):
                        counts["first"] += status == 200
                    elif late:
                        counts["asked"] += 1
                        counts["served"] += status == 200
                        counts["as older"] += status in (401, 403, 404)
            await asyncio.sleep(0.2)
        print(f"later than {APPLY_S} s after the acknowledgement: {counts}")
        note(f"{counts}")
        if counts["first"] == 0 or counts["asked"] == 0:
            return 2
        return 1 if counts["as older"] else 0
    finally:
        fleet.kill_all()
        with open(os.path.join(HERE, "record.txt"), "w") as record:
            record.write(f"TROUBLE={int(TROUBLE)}\n" + "\n".join(LINES) + "\n")


def run():
    # So that an end by the time limit also ends the daemons.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


sys.exit(run())
