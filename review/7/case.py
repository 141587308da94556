"""QUOTA: grants that were used are used again, after a limit was lifted and
set again while the store turned the granting machine away."""
import asyncio
import os
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
RATE, BURST = 32, 32
WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20
BOUND = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
USUAL, HOT = 20, 150
KEY = "k9tenant1secretkey00"


def configuration(version, limited, timeout_ms=4000):
    tenant = {"name": "tenant-1", "apiKeys": [KEY]}
    if limited:
        tenant.update(ratePerS=RATE, burst=BURST)
    return {"version": version,
            "routes": [{"name": "r-1", "host": "host.example", "prefix": "/find/",
                        "routeType": "idempotent", "timeoutMs": timeout_ms,
                        "targetLatencyMs": 400, "priority": 1, "service": "records",
                        "attempts": 2, "public": False}],
            "services": [{"name": "records", "healthPath": "/health", "maxConns": 400,
                          "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [tenant]}


class Load:
    """The tenant's clients: kept connections to one machine, a request each
    1/rate seconds."""

    def __init__(self, bed, port):
        self.bed, self.port = bed, port
        self.idle = []
        self.sent = {}
        self.statuses = {}
        self.count = 0
        self.tasks = set()

    async def one(self):
        client = self.idle.pop() if self.idle else beds.Client(self.port)
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
    store.put("op/config", configuration(7, True))
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
    bed.note(f"{granter} grants the quota; the tenant's clients are at {asked.name}")
    load = Load(bed, asked.front)
    await load.run(USUAL, 40)
    bed.note(f"{len(bed.runs)} requests ran in 40 s; answers {load.statuses}")

    usual = asyncio.create_task(load.run(USUAL, 18))
    if bed.trouble:
        store.reject(granter, True)
        bed.note(f"the store turns {granter} away (503)")
    store.put("op/config", configuration(9, True, 4001))
    await asyncio.sleep(0.33)
    store.put("op/config", configuration(12, False, 4002))
    await asyncio.sleep(0.33)
    store.put("op/config", configuration(13, True, 4003))
    set_again = time.monotonic()
    bed.note("configurations 9, 12 (without the limit) and 13 (with it again) acknowledged")
    await asyncio.sleep(1.2)
    store.reject(granter, False)
    bed.note("the store serves all machines again")
    await usual
    bed.note(f"answers so far {load.statuses}")

    begin = time.monotonic()
    bed.note(f"the tenant sends {HOT} requests a second for 6 s, {begin - set_again:.1f} s "
             "after the acknowledgement of version 13")
    await load.run(HOT, 6)
    await asyncio.sleep(1)
    bed.note(f"answers {load.statuses}")

    if any(machine.has_ended() for machine in bed.machines):
        raise beds.CannotRun("a machine has ended")
    # Counted are requests sent and run when the limit has bound for long.
    times = [run["at"] for run in bed.runs
             if run["at"] >= begin - WINDOW and load.sent[run["id"]] >= begin - WINDOW]
    most, at = most_in_window(times)
    bed.note(f"most requests that ran in {WINDOW:.0f} s: {most}, from {at - begin:.2f} s after "
             f"that on; allowed: ({RATE} x {WINDOW:.0f} + {BURST}) x {1 + OVERAGE} + {SLACK} "
             f"= {BOUND:.1f}")
    return most > BOUND


beds.run_case(HERE, case)
