"""CONFIG: after a machine stood still for 1.5 s it refuses each search on the
routes that were added later, for the rest of its life."""
import asyncio
import hashlib
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import bed as beds

ZONES = ["zone-a", "zone-b", "zone-c"]
SHARDS = [f"shard-{number}" for number in range(10)]
EXTRA = "memory_megabytes = 260\n"
SEARCHES, LOOKUPS = 50, 3
STILL_S, SLOW_S, WORK_S, FACTOR = 1.5, 4.0, 0.015, 12
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def configuration(version, with_search):
    routes = [{"name": "r-lookup", "host": "host.example", "prefix": "/lookup/",
               "routeType": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 400,
               "priority": 2, "service": "records", "attempts": 2, "public": False}]
    if with_search:
        routes.append({"name": "r-search", "host": "host.example", "prefix": "/search/",
                       "routeType": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 120,
                       "priority": 1, "gather": SHARDS, "topK": 5, "minCoverage": 0.75,
                       "attempts": 2, "public": False})
    services = [{"name": name, "healthPath": "/health", "maxConns": 200, "protocol": "h1",
                 "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}
                for name in ["records"] + SHARDS]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def records_of(backend):
    """The answers of one shard's backend: ten records of 16 bytes."""

    def answer(request_id, _):
        text = b"".join(hashlib.md5(f"{backend.service} {request_id} {number}".encode()).digest()
                        for number in range(10))
        return 200, [("Wasabispread-Request-Id", request_id),
                     ("Wasabispread-Server-Stamp", f"stamp.{backend.name}.{request_id}")], text

    return answer


class Load:
    """The clients of one machine."""

    def __init__(self, bed, machine):
        self.bed, self.machine = bed, machine
        self.answers = []
        self.idle = []
        self.count = 0

    async def one(self, kind, deadline_ms):
        client = self.idle.pop() if self.idle else beds.Client(self.machine.front)
        self.count += 1
        sent = time.monotonic()
        answer = await client.ask("host.example", f"/{kind}/x",
                                  f"{self.machine.name}-{self.count}", deadline_ms)
        self.answers.append((sent, kind, answer[0] if answer else None))
        self.idle.append(client)

    async def run(self):
        begin, number = time.monotonic(), 0
        while True:
            number += 1
            if number % (SEARCHES // LOOKUPS) == 0:
                asyncio.create_task(self.one("lookup", 4000))
            asyncio.create_task(self.one("search", 1000))
            await asyncio.sleep(max(0, begin + number / SEARCHES - time.monotonic()))

    def count_since(self, kind, since, until):
        """How many requests were sent in that time, and how many served."""
        statuses = [status for sent, of, status in self.answers
                    if of == kind and since <= sent < until]
        return len(statuses), statuses.count(200)


def slow(backends, is_slow):
    """The backends turn slow, or are fast again."""
    for backend in backends:
        backend.work_s = WORK_S * (FACTOR if is_slow else 1)


async def case(bed):
    store = bed.store
    store.put("op/config", configuration(7, False))
    for number, zone in enumerate(ZONES):
        await bed.add_backend(f"i-records-{number}", "records", zone, work_s=0.05)
        await bed.add_machine(f"front-{zone}-1", zone, ZONES, EXTRA)
    for shard in SHARDS:
        for name, zone in (("a", "zone-a"), ("b", "zone-b"), ("c", "zone-c")):
            backend = await bed.add_backend(f"i-{shard}-{name}", shard, zone, work_s=WORK_S)
            backend.answer = records_of(backend)
    await bed.start()
    store.put("op/config", configuration(9, True))
    bed.note("configuration 9 adds the route of the searches")
    await asyncio.sleep(5)
    loads = [Load(bed, machine) for machine in bed.machines]
    bed.tasks.extend(asyncio.create_task(load.run()) for load in loads)
    bed.note(f"{SEARCHES} searches and {LOOKUPS} lookups a second to each machine")
    await asyncio.sleep(5)
    shards = [backend for backend in bed.backends if backend.service in SHARDS[:2]]
    for machine in bed.machines:
        if bed.trouble:
            slow(shards, True)
            await asyncio.sleep(1)
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(STILL_S)
            machine.signal(signal.SIGCONT)
            bed.note(f"{machine.name} stood still for {STILL_S} s, while the backends of "
                     f"{SHARDS[0]} and {SHARDS[1]} were slow")
            await asyncio.sleep(SLOW_S - 1 - STILL_S)
            slow(shards, False)
            await asyncio.sleep(4)
        else:
            await asyncio.sleep(SLOW_S + 4)
    await asyncio.sleep(8)
    begin = time.monotonic()
    bed.note("8 s and more after the last disruption; now 10 s are judged")
    await asyncio.sleep(10)
    until = time.monotonic() - 1.5
    counts = {}
    for kind in ("lookup", "search"):
        rows = [load.count_since(kind, begin, until) for load in loads]
        counts[kind] = [sum(column) for column in zip(*rows)]
        bed.note(f"{kind}: (sent, served) of each machine: {rows}")
    if any(machine.has_ended() for machine in bed.machines):
        raise beds.CannotRun("a machine has ended")
    for machine in bed.machines:
        last = machine.records('"request-answered"')[-1:]
        bed.note(f"{machine.name} is ready: {await machine.is_ready()}; its last record of "
                 f"an answer: {''.join(last).strip()[:420]}")
    (first, first_served), (later, later_served) = counts["lookup"], counts["search"]
    bed.note(f"on the route added later {later_served} of {later} served, on the first route "
             f"{first_served} of {first}")
    return later >= 20 and later_served / later < 0.25 * first_served / first


beds.run_case(HERE, case)
