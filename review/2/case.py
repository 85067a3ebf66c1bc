"""All entries are killed and restart while a service's servers are cold: what a cold server gets."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness  # noqa: E402

# Figures of the site labka-hosting-grown.
COLD_PER_S = 2.5
COLD_S = 3.0
BOUND = COLD_PER_S * 1.5 + 8
ENTRIES = 28
SERVERS = 30
PER_S = 250
DOWN_S = 2.0
# A caller that can't connect tries again so often, after this time.
TRIES = 5
RETRY_S = 0.1


async def call(deployment, entry, number, sent_at):
    caller = harness.Caller(deployment, entry, "c%d" % number)
    for _ in range(TRIES):
        try:
            await caller.open()
            break
        except OSError:
            await asyncio.sleep(RETRY_S)
    else:
        return
    sent_at["r%d" % number] = deployment.record.now()
    caller.send("GET", "/fiti/work-200", "r%d" % number, 4000)
    await asyncio.wait({caller.task}, timeout=4)
    caller.leave()


async def traffic(deployment, chance, until, sent_at):
    """Callers come one by one, at random times, to a random entry."""
    number = 0
    calls = set()
    while deployment.record.now() < until:
        entry = chance.choice(deployment.entries)
        calls.add(asyncio.ensure_future(call(deployment, entry, number, sent_at)))
        number += 1
        await asyncio.sleep(chance.expovariate(PER_S))
    await asyncio.wait(calls, timeout=5)


async def case(deployment, trouble):
    chance = random.Random(1)
    zones = list(harness.ZONES)
    deployment.bounds.update({"coldSlack": 8, "drainMs": 3000, "configApplyMs": 3000,
                              "retryBudgetExtra": 186})
    await deployment.configure({"r-view": {"prefix": "/fiti/", "kind": "safe", "timeoutMs": 2000,
                                           "targetLatencyMs": 600, "service": "nahravanie",
                                           "maxAttempts": 2}}, ["nahravanie"])
    for i in range(ENTRIES):
        deployment.add_entry("front-%02d" % i, zones[i % len(zones)])
    await deployment.start_entries()
    sent_at = {}
    load = asyncio.ensure_future(traffic(deployment, chance, deployment.record.now() + 9, sent_at))
    await asyncio.sleep(1)
    if trouble:
        for entry in deployment.entries:
            entry.signal(signal.SIGKILL)
        for entry in deployment.entries:
            entry.process.wait()
    await asyncio.sleep(DOWN_S)
    # The servers of the zone come back together, cold.
    servers = []
    for i in range(SERVERS):
        server = harness.Server(deployment, "i-%02d" % i, "nahravanie", "zapad-a")
        server.cold_until = deployment.record.now() + COLD_S
        deployment.servers.append(server)
        servers.append(server.start())
    await asyncio.gather(*servers)
    await asyncio.sleep(0.2)
    if trouble:
        await deployment.restart_entries()
    await load
    broken = []
    for server in deployment.servers:
        # Requests that were sent and arrived inside one second.
        spans = [(sent_at[request_id], at) for at, request_id in server.arrivals
                 if at < server.cold_until]
        most = max([sum(1 for sent, at in spans if start <= sent and at < start + 1)
                    for start, _ in spans] or [0])
        deployment.record.write("server %s got at most %d requests in one second while cold" % (
            server.id, most))
        if most > BOUND:
            broken.append("FAILBACK: server %s got %d requests in one second while it was cold; "
                          "%.2f are allowed" % (server.id, most, BOUND))
    return broken


harness.run(os.path.dirname(os.path.abspath(__file__)), case)
