"""After a restart, a daemon goes on using a backend that is draining, because the
pages of its list were of different ages."""
import asyncio
import pathlib
import signal
import time

from standins.backend import Backend
from standins.bed import (BOUNDS, TROUBLE, CannotRun, Node, configuration,
                          exchange, free_ports, play, route, wait_until)
from standins.store import Store

ZONES = ("zone-a", "zone-b", "zone-c")
FOLDER = pathlib.Path(__file__).parent
PAGE = 50
# The lag of each of the store's replicas.
LAGS = (0.0, 2.5, 2.0)
# How long the leaving backend serves after the store accepted its report.
LEAVING_S = 12.0
SHARDS = [f"catalogue-{number}" for number in range(20)]
LATER = [f"ledger-{number}" for number in range(30)]


async def case(record, files, nodes):
    ports = free_ports(1 + 3 * len(ZONES) + 110)
    store = Store(page=PAGE, lags=LAGS)
    store_port = ports.pop()
    await store.start(store_port)
    store.put("op/config", configuration(
        5, [route("orders", service="orders", routeType="non_idempotent"),
            route("browse", gather=SHARDS, topK=5, minCoverage=0.89)],
        ["orders", *SHARDS, *LATER]))
    backends = []
    for name in [s for s in SHARDS + LATER for _ in range(2)] + ["orders"] * 5:
        number = len(backends)
        # The backends of "orders" come last by their ids.
        instance = f"i-{number:03d}" if name != "orders" else f"i-f{number}"
        backends.append(Backend(
            record, store, name, instance, ZONES[number % 2], ports.pop(),
            slots=6, work=lambda request: 0.1))
        await backends[-1].start()
    # All replicas know all backends before the daemons start.
    await asyncio.sleep(max(LAGS) + 0.5)
    for zone in ZONES:
        nodes.append(Node(record, files, f"front-{zone}-1", zone, store_port,
                          [ports.pop() for _ in range(3)]))
        nodes[-1].start()
    for node in nodes:
        await wait_until(node.is_ready, 10, f"{node.name} is ready")
    await asyncio.sleep(5)

    victim, leaving = nodes[0], backends[-1]
    statuses = {}

    async def send(request_id):
        record("sent", request_id, f"to={victim.name}", "POST")
        try:
            answer = await exchange(
                victim.front, "POST", "/orders/x",
                [("Host", "shop.example"),
                 ("Wasabispread-Request-Id", request_id),
                 ("Wasabispread-Request-Deadline-Ms", "4000")],
                b"twelve tins", 5)
            status = answer.status if answer else "closed"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = "no answer"
        record("answer", request_id, status)
        statuses[request_id] = status

    await asyncio.gather(*[send(f"k{number:02d}") for number in range(60)])
    if not leaving.runs or set(statuses.values()) != {200}:
        raise CannotRun(f"before the report: {len(leaving.runs)} runs there")
    leaving.drain()
    accepted = time.monotonic()
    record("drain-accepted", leaving.instance)
    await asyncio.sleep(0.5)
    if TROUBLE:
        victim.signal(signal.SIGKILL)
        await asyncio.sleep(0.6)
        await wait_until(victim.is_ready, 5, "the killed node is ready again")
    ready = time.monotonic()
    record("ready-again", victim.name)
    in_touch = ready + BOUNDS["stableWindowMs"] / 1000
    tasks, number = [], 0
    has_left = False
    while time.monotonic() < accepted + LEAVING_S + 2:
        tasks.append(asyncio.create_task(send(f"r{number:04d}")))
        number += 1
        if not has_left and time.monotonic() >= accepted + LEAVING_S:
            has_left = True
            leaving.end()
            store.remove(leaving.key)
        await asyncio.sleep(0.04)
    await asyncio.gather(*tasks)
    # Requests that were sent, and reached the backend, while the machine was in
    # touch and after the bound.
    due = max(accepted + BOUNDS["drainMs"] / 1000, in_touch)
    late = [run for run in leaving.runs if run["start"] > due]
    cut = [run["id"] for run in leaving.runs
           if run["end"] is None and statuses.get(run["id"]) != 200]
    record("late", len(late), "requests reached", leaving.instance, "later than",
           f"{due - accepted:.2f} s after its report was accepted; cut:", cut)
    for run in late[:5] + late[-5:]:
        record("late-request", run["id"],
               f"{run['start'] - accepted:.3f} s after the acknowledgement")
    if late:
        return (f"{len(late)} requests reached a draining backend later than "
                f"drainMs, the last one {late[-1]['start'] - accepted:.1f} s "
                f"after the acknowledgement; {len(cut)} lost at its end")
    return None


play(case, FOLDER)
