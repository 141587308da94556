"""QUOTA: grants that ended while a machine stood still are used when it goes
on, besides those that were granted in their place."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import bed as beds

ZONES = ["zone-a", "zone-b", "zone-c"]
EXTRA = """memory_megabytes = 260
[keys]
strict = true
withdrawal_milliseconds = 5000
[quota]
window_seconds = 5
overage = 0.1
slack = 20
[cold_targets]
overage = 1.5
slack = 5
"""
RATE, BURST = 8, 8
WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20
BOUND = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
USUAL, HOT = 5, 37.5
STILL_S, EARLY_S, HOT_S, CYCLES = 3.4, 0.9, 6.4, 5
KEY, OTHER_KEY = "k9tenant1secretkey00", "k9tenant2secretkey00"
OTHER_CLIENTS = 200

CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "host.example", "prefix": "/find/",
                "routeType": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 400,
                "priority": 1, "service": "records", "attempts": 2, "public": False}],
    "services": [{"name": "records", "healthPath": "/health", "maxConns": 400,
                  "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST},
                {"name": "tenant-2", "apiKeys": [OTHER_KEY]}]}


class Load:
    """The tenant's clients: kept connections to one machine."""

    def __init__(self, port, clients):
        self.idle = [beds.Client(port) for _ in range(clients)]
        self.sent = {}
        self.statuses = {}
        self.count = 0
        self.tasks = set()

    async def one(self):
        client = self.idle.pop(0)
        self.count += 1
        request_id = f"q{self.count:06d}"
        self.sent[request_id] = time.monotonic()
        answer = await client.ask("host.example", "/find/x", request_id, 4000, key=KEY)
        status = answer[0] if answer else "none"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.idle.append(client)

    async def run(self, rate, for_s):
        begin = time.monotonic()
        number = 0
        while time.monotonic() - begin < for_s:
            due = begin + number / rate
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1


def most_in_window(times):
    """The most of the times in any window, and when that window begins."""
    times = sorted(times)
    best, at, first = 0, 0.0, 0
    for last, moment in enumerate(times):
        while moment - times[first] > WINDOW:
            first += 1
        if last - first + 1 > best:
            best, at = last - first + 1, times[first]
    return best, at


async def case(bed):
    store = bed.store
    store.put("op/config", CONFIGURATION)
    for number, zone in enumerate(ZONES):
        await bed.add_backend(f"i-{number}", "records", zone)
        await bed.add_machine(f"front-{zone}-1", zone, ZONES, EXTRA)
    await bed.start()
    granter = None
    for _ in range(100):
        claims = {store.value(key)["vm"] for key in store.items if key.startswith("quota/")}
        if len(claims) == 1:
            granter = claims.pop()
            break
        await asyncio.sleep(0.1)
    if granter is None:
        raise beds.CannotRun("no machine grants the quota")
    asked = next(m for m in bed.machines if m.name != granter)
    bed.note(f"{granter} grants the quota; the tenant's clients are at {asked.name}; "
             f"allowed in {WINDOW:.0f} s: ({RATE} x {WINDOW:.0f} + {BURST}) x {1 + OVERAGE} "
             f"+ {SLACK} = {BOUND:.1f}")
    load = Load(asked.front, 60)
    bed.tasks.extend(asyncio.create_task(other_client(asked.front, number))
                     for number in range(OTHER_CLIENTS))
    is_broken = False
    for cycle in range(CYCLES):
        # Different lengths, so that the cycles do not fall on the same moments of
        # the machine's own rounds.
        await load.run(USUAL, 8 + 0.37 * cycle)
        if bed.trouble:
            asked.signal(signal.SIGSTOP)
        begin = time.monotonic()
        await load_after(load, begin)
        if bed.trouble:
            asked.signal(signal.SIGCONT)
        await asyncio.sleep(HOT_S - EARLY_S)
        for task in list(load.tasks):
            await task
        if any(machine.has_ended() for machine in bed.machines):
            raise beds.CannotRun("a machine has ended")
        # Both sent and run in the window.
        times = [run["at"] for run in bed.runs
                 if run["id"] in load.sent and run["at"] >= begin
                 and load.sent[run["id"]] >= begin]
        most, at = most_in_window(times)
        is_broken = is_broken or most > BOUND
        bed.note(f"{cycle + 1}: {'stood still for' if bed.trouble else 'ran on for'} {STILL_S} s, "
                 f"{HOT} requests a second from {EARLY_S} s before its end for {HOT_S} s: most "
                 f"that ran in {WINDOW:.0f} s: {most}, from {at - begin:.2f} s on; "
                 f"answers so far {load.statuses}")
        if is_broken:
            break
    return is_broken


async def other_client(port, number):
    """A client of the tenant without a limit: a request each second; it gives
    up one that is not answered within a second."""
    client = beds.Client(port)
    await asyncio.sleep(number / OTHER_CLIENTS)
    count = 0
    while True:
        count += 1
        began = time.monotonic()
        await client.ask("host.example", "/find/x", f"o{number}-{count}", 4000, key=OTHER_KEY,
                         wait_s=1)
        await asyncio.sleep(max(0, began + 1 - time.monotonic()))


async def load_after(load, begin):
    """Waits until the machine goes on; the tenant's clients begin earlier."""
    await asyncio.sleep(STILL_S - EARLY_S)
    load.tasks.add(asyncio.create_task(load.run(HOT, HOT_S)))
    await asyncio.sleep(max(0, begin + STILL_S - time.monotonic()))


beds.run_case(HERE, case)
