"""An entry of another writer, whose address can't be read, ends the daemons."""
import asyncio
import json
import pathlib

from standins.backend import Backend
from standins.bed import (TROUBLE, CannotRun, Node, configuration, exchange,
                          free_ports, play, route, wait_until)
from standins.store import Store

ZONES = ("zone-a", "zone-b", "zone-c")
FOLDER = pathlib.Path(__file__).parent


async def case(record, files, nodes):
    ports = free_ports(1 + 3 * len(ZONES) + 4)
    store = Store()
    store_port = ports.pop()
    await store.start(store_port)
    store.put("op/config", configuration(
        5, [route("orders", service="orders")], ["orders"]))
    backends = []
    for number in range(3):
        backend = Backend(record, store, "orders", f"i-{number}a7c",
                          ZONES[number], ports.pop())
        await backend.start()
        backends.append(backend)
    for number, zone in enumerate(ZONES):
        node = Node(record, files, f"front-{zone}-1", zone, store_port,
                    [ports.pop() for _ in range(3)])
        nodes.append(node)
        node.start()
    for node in nodes:
        await wait_until(node.is_ready, 10, f"{node.name} is ready")
    await asyncio.sleep(5)
    if any(node.ends_of_its_own for node in nodes):
        raise CannotRun("a daemon ended before the entry was written")
    if TROUBLE:
        key, port = "servers/i-77d0", ports.pop()
        entry = {"service": "orders", "address": f"127.0.0:{port}",
                 "zone": "zone-a", "version": "v1", "slots": 2,
                 "state": "ready", "warmupLeftMs": 0, "seq": 1,
                 "born": backends[0].born}
        store.put(key, json.dumps(entry).encode())
        record("other-writer", key, json.dumps(entry))
    counts = {"sent": 0, "answered": 0, "refused": 0, "nothing": 0}
    for number in range(150):
        node = nodes[number % len(nodes)]
        request_id = f"r{number:04d}"
        record("sent", request_id, f"to={node.name}")
        counts["sent"] += 1
        try:
            answer = await exchange(
                node.front, "GET", "/orders/x",
                [("Host", "shop.example"),
                 ("Wasabispread-Request-Id", request_id),
                 ("Wasabispread-Request-Deadline-Ms", "4000")], b"", 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = answer.status if answer else None
        record("answer", request_id, status or "no connection or no answer")
        counts["answered" if status == 200 else
               "refused" if status else "nothing"] += 1
        await asyncio.sleep(0.1)
    ends = {node.name: node.ends_of_its_own for node in nodes}
    record("ends", ends, counts)
    often = [name for name, count in ends.items() if count >= 3]
    if len(often) >= 2:
        return f"processes ended by themselves: {ends}; requests: {counts}"
    return None


play(case, FOLDER)
