"""CONFIG: after the open connections between machines went silent, the
machines refuse a tenant's requests for good, though new connections work."""
import asyncio
import base64
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import bed as beds

ZONES = ["zone-a", "zone-b", "zone-c"]
MACHINES = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c",
            "zone-c"]
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
KEY = "k9tenant1secretkey00"
RATE, BURST, SENT = 40, 40, 18


def configuration(version, with_later):
    def route(name, public):
        return {"name": "r-" + name, "host": "host.example", "prefix": f"/{name}/",
                "routeType": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400,
                "priority": 1, "service": "records", "attempts": 2, "public": public}

    return {"version": version,
            "routes": [route("first", True)] + ([route("later", False)] if with_later else []),
            "services": [{"name": "records", "healthPath": "/health", "maxConns": 400,
                          "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "ratePerS": RATE,
                         "burst": BURST}]}


# Never set. Whoever waits for it is kept, and so are its connections.
NEVER = asyncio.Event()


class Link:
    """The way to one machine's port for the other machines. When it goes
    silent, what is open carries nothing any more, in either direction, and is
    not closed; new connections work."""

    def __init__(self, port):
        self.port = port
        self.flows = []
        self.opened = 0
        self.address = None

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.opened += 1
        flow = {"silent": False}
        self.flows.append(flow)
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, other_writer, flow),
                             self.copy(other_reader, writer, flow))

    @staticmethod
    async def copy(reader, writer, flow):
        try:
            while True:
                data = await reader.read(65536)
                if flow["silent"]:
                    # Neither bytes nor the end get through.
                    await NEVER.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not flow["silent"]:
            writer.close()

    def silence(self):
        """Silences what is open; returns how many connections that are."""
        for flow in self.flows:
            flow["silent"] = True
        count = len(self.flows)
        self.flows = []
        return count


def use_links(store, links):
    """The machines' entries and claims name their ports; the others reach them
    over the links."""
    real = {f"127.0.0.1:{link.port}": link.address for link in links}
    write = store.write

    def write_with_links(puts, deletes):
        rows = []
        for key, value, lease in puts:
            if key.startswith(("vms/", "quota/")):
                fields = json.loads(base64.b64decode(value))
                fields["peers"] = real.get(fields["peers"], fields["peers"])
                value = base64.b64encode(json.dumps(fields).encode()).decode()
            rows.append((key, value, lease))
        return write(rows, deletes)

    store.write = write_with_links


class Load:
    """Clients: each request goes to the next machine."""

    def __init__(self, bed):
        self.bed = bed
        self.answers = []
        self.idle = {machine.name: [] for machine in bed.machines}
        self.count = 0

    async def one(self, kind):
        self.count += 1
        machine = self.bed.machines[self.count % len(self.bed.machines)]
        idle = self.idle[machine.name]
        client = idle.pop() if idle else beds.Client(machine.front)
        sent = time.monotonic()
        answer = await client.ask("host.example", f"/{kind}/x", f"q{self.count:06d}", 2000,
                                  key=KEY if kind == "later" else None)
        self.answers.append((sent, kind, machine.name, answer[0] if answer else None))
        idle.append(client)

    async def run(self):
        begin, number = time.monotonic(), 0
        while True:
            number += 1
            asyncio.create_task(self.one("later" if number % 2 else "first"))
            await asyncio.sleep(max(0, begin + number / (2 * SENT) - time.monotonic()))

    def count_between(self, kind, since, until):
        """How many were sent, how many served, and the latter by machine."""
        rows = [(name, status) for sent, of, name, status in self.answers
                if of == kind and since <= sent < until]
        served = {}
        for name, status in rows:
            served[name] = served.get(name, 0) + (status == 200)
        return len(rows), sum(served.values()), served


async def case(bed):
    store = bed.store
    store.put("op/config", configuration(7, False))
    for number, zone in enumerate(ZONES):
        await bed.add_backend(f"i-{number}", "records", zone)
    for number, zone in enumerate(MACHINES):
        await bed.add_machine(f"front-{zone}-{number}", zone, ZONES, EXTRA)
    links = [Link(machine.control) for machine in bed.machines]
    for link in links:
        await link.open()
    use_links(store, links)
    await bed.start()
    store.put("op/config", configuration(9, True))
    bed.note("configuration 9 adds a route that needs a key; the first route is public")
    await asyncio.sleep(8)
    load = Load(bed)
    bed.tasks.append(asyncio.create_task(load.run()))
    begin = time.monotonic()
    await asyncio.sleep(8)
    bed.note("before: later " + str(load.count_between("later", begin, time.monotonic())))
    if bed.trouble:
        counts = [link.silence() for link in links]
        bed.note(f"the open connections between machines go silent: {sum(counts)}")
    await asyncio.sleep(25)
    begin = time.monotonic()
    bed.note("25 s later; now 20 s are judged")
    await asyncio.sleep(20)
    until = time.monotonic() - 2.5
    first, first_served, _ = load.count_between("first", begin, until)
    later, later_served, by_machine = load.count_between("later", begin, until)
    if any(machine.has_ended() for machine in bed.machines):
        raise beds.CannotRun("a machine has ended")
    granters = {store.value(key)["vm"] for key in store.items if key.startswith("quota/")}
    bed.note(f"the quota is granted by {granters}; served on the later route: {by_machine}; "
             f"connections opened over the links: {[link.opened for link in links]}")
    bed.note(f"on the route added later {later_served} of {later} served, on the first route "
             f"{first_served} of {first}")
    return later >= 20 and later_served / later < 0.25 * first_served / first


beds.run_case(HERE, case)
