"""A daemon that was told to stop accepts orders that it then cuts off."""
import asyncio
import pathlib
import signal
import time

from standins.backend import Backend
from standins.bed import (BOUNDS, TROUBLE, CannotRun, Node, configuration,
                          free_ports, play, route, wait_until)
from standins.http import format_message, read_message
from standins.store import Store

ZONES = ("zone-a", "zone-b", "zone-c")
FOLDER = pathlib.Path(__file__).parent
# How long the backends work on an order, in seconds.
WORK_S = 2.6
# When the clients send, in seconds after SIGTERM.
SENT_S = (1.0, 2.0, 3.1, 3.2, 3.3, 3.4)


async def case(record, files, nodes):
    ports = free_ports(1 + 3 * len(ZONES) + 5)
    store = Store()
    store_port = ports.pop()
    await store.start(store_port)
    store.put("op/config", configuration(
        5, [route("orders", service="orders", routeType="non_idempotent")],
        ["orders"]))
    backends = []
    for number in range(5):
        backends.append(Backend(
            record, store, "orders", f"i-{number}a7c", ZONES[number % 3],
            ports.pop(), slots=6,
            work=lambda request: WORK_S if request[0] == "r" else 0.05))
        await backends[-1].start()
    for zone in ZONES:
        nodes.append(Node(record, files, f"front-{zone}-1", zone, store_port,
                          [ports.pop() for _ in range(3)]))
        nodes[-1].start()
    for node in nodes:
        await wait_until(node.is_ready, 10, f"{node.name} is ready")
    await asyncio.sleep(5)
    node = nodes[0]

    async def send(stream, request_id):
        reader, writer = stream
        writer.write(format_message(
            "POST /orders/x HTTP/1.1",
            [("Host", "shop.example"),
             ("Wasabispread-Request-Id", request_id),
             ("Wasabispread-Request-Deadline-Ms", "4000")], b"twelve tins"))
        await writer.drain()
        record("sent", request_id, f"to={node.name}", "POST")
        try:
            answer = await asyncio.wait_for(read_message(reader), 5)
            status = answer.status if answer else "closed"
        except (OSError, asyncio.IncompleteReadError):
            status = "closed"
        except asyncio.TimeoutError:
            status = "no answer"
        record("answer", request_id, status)
        return status

    # Each client keeps a connection from an earlier request.
    streams = [await asyncio.open_connection("127.0.0.1", node.front)
               for _ in SENT_S]
    for number, stream in enumerate(streams):
        if await send(stream, f"k{number}") != 200:
            raise CannotRun("the first request on a connection failed")
    await asyncio.sleep(1)
    term = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
    statuses = {}

    async def later(number, at):
        await asyncio.sleep(term + at - time.monotonic())
        try:
            statuses[number] = await send(streams[number], f"r{number}")
        except OSError:
            statuses[number] = "closed before it was sent"

    await asyncio.gather(*[later(n, at) for n, at in enumerate(SENT_S)])
    await asyncio.sleep(3)
    lost = []
    for number, at in enumerate(SENT_S):
        runs = [run for backend in backends for run in backend.runs
                if run["id"] == f"r{number}"]
        record("summary", f"r{number}", f"sent={at} s after SIGTERM",
               f"runs={len(runs)}", f"answer={statuses[number]}")
        # Sent later than 3 s after SIGTERM, so that the rule excuses nothing.
        if runs and statuses[number] == "closed" and at > 3:
            lost.append(f"r{number}")
    if lost:
        return (f"{', '.join(lost)} were passed on to sound backends and cut "
                f"off within graceS ({BOUNDS['graceS']} s) of SIGTERM")
    return None


play(case, FOLDER)
