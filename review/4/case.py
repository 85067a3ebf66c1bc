"""A zone is evacuated while the store turns one entry away, and servers join in that zone."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness  # noqa: E402

EVACUATE_S = 5.0
TURNED_AWAY_S = 9.0
ZONE = "stred-b"
SERVERS = 33
JOINING = 10
JOIN_GAP_S = 0.33
PER_S = 85


async def call(deployment, entry, number):
    """A safe request; its id begins with the name of the entry that takes it."""
    caller = harness.Caller(deployment, entry, "c%d" % number)
    await caller.open()
    caller.send("GET", "/lepu/work-1300", "%s-r%d" % (entry.name, number), 4000)
    await asyncio.wait({caller.task}, timeout=4)
    caller.leave()


async def traffic(deployment, chance, until):
    number = 0
    calls = set()
    while deployment.record.now() < until:
        calls.add(asyncio.ensure_future(call(deployment, chance.choice(deployment.entries), number)))
        number += 1
        await asyncio.sleep(chance.expovariate(PER_S))
    await asyncio.wait(calls, timeout=5)


async def case(deployment, trouble):
    chance = random.Random(1)
    record = deployment.record
    zones = [zone for zone in harness.ZONES if zone != ZONE]
    for i in range(SERVERS):
        await deployment.add_server("i-%02d" % i, "galeria", zones[i % len(zones)])
    await deployment.configure({"r-view": {"prefix": "/lepu/", "kind": "safe", "timeoutMs": 4000,
                                           "targetLatencyMs": 3000, "service": "galeria",
                                           "maxAttempts": 2}}, ["galeria"])
    for i, zone in enumerate(harness.ZONES):
        entry = deployment.add_entry("front-%d" % i, zone)
        entry.store_path = harness.StorePath(deployment.store_port)
        await entry.store_path.start()
    # As after restarts in turn: entries read the store once a second, each at its own time.
    await deployment.start_entries(pause_s=1.35)
    await asyncio.sleep(4)
    holder = None
    for entry in deployment.entries:
        if await entry.holds("galeria"):
            holder = entry
    assert holder is not None, "no entry holds the service"
    record.write("%s in %s grants the slots" % (holder.name, holder.zone))

    load = asyncio.ensure_future(traffic(deployment, chance, record.now() + 1 + TURNED_AWAY_S))
    await asyncio.sleep(1)
    if trouble:
        record.write("the store turns %s away" % holder.name)
        holder.store_path.turn_away(True)
    await asyncio.sleep(0.3)
    assert await deployment.put("op", "evacuate/" + ZONE, {})
    evacuated_at = record.now()
    record.write("the evacuation of %s is acknowledged" % ZONE)
    await asyncio.sleep(EVACUATE_S + 0.2)
    for i in range(JOINING):
        server = harness.Server(deployment, "n-%02d" % i, "galeria", ZONE)
        server.cold_until = record.now() + 3
        deployment.servers.append(server)
        await server.start()
        record.write("server %s joins in %s" % (server.id, ZONE))
        await asyncio.sleep(JOIN_GAP_S)
    await load
    holder.store_path.turn_away(False)

    broken = []
    for server in deployment.servers:
        for at, request_id in server.arrivals:
            if (server.zone == ZONE and at > evacuated_at + EVACUATE_S
                    and not request_id.startswith(holder.name)):
                broken.append("EVAC: %s reached server %s in %s %.1f s after its evacuation was"
                              " acknowledged" % (request_id, server.id, ZONE, at - evacuated_at))
    return broken


harness.run(os.path.dirname(os.path.abspath(__file__)), case)
