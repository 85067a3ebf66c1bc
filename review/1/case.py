"""A planned stop of an entry while callers send safe requests one behind the other."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness  # noqa: E402

CALLERS = 10
DEADLINE_MS = 4000


async def open_caller(deployment, entry, number):
    """Opens a connection, and sends a long request and a short one behind it."""
    caller = harness.Caller(deployment, entry, "c%d" % number)
    await caller.open()
    caller.send("GET", "/lepu/work-1200", "r%d-long" % number, DEADLINE_MS)
    caller.send("GET", "/lepu/work-300", "r%d-short" % number, DEADLINE_MS)
    return caller


async def case(deployment, trouble):
    for i in range(10):
        await deployment.add_server("i-%02d" % i, "galeria", ["zapad-a", "zapad-b"][i % 2])
    await deployment.configure({"r-view": {"prefix": "/lepu/", "kind": "safe", "timeoutMs": 2000,
                                           "targetLatencyMs": 1500, "service": "galeria",
                                           "maxAttempts": 2}}, ["galeria"])
    entries = [deployment.add_entry("front-%d" % i, ["zapad-a", "zapad-b"][i]) for i in range(2)]
    await deployment.start_entries()
    # Until no start lies within stableWindowMs.
    await asyncio.sleep(4)

    callers = [await open_caller(deployment, entries[0], i) for i in range(CALLERS)]
    await asyncio.sleep(0.1)
    if trouble:
        entries[0].signal(signal.SIGTERM)
    # The short requests have run by now, their answers wait for those of the long ones. No caller
    # can know that the entry is stopping.
    await asyncio.sleep(0.5)
    for i, caller in enumerate(callers):
        caller.send("GET", "/lepu/work-300", "r%d-third" % i, DEADLINE_MS)
    await asyncio.wait({caller.task for caller in callers}, timeout=4)

    broken = []
    arrived = {request_id for server in deployment.servers for _, request_id in server.arrivals}
    for caller in callers:
        for request_id in caller.sent:
            if request_id in arrived and request_id not in caller.answers:
                broken.append("LOST: %s was passed on to a server, and its connection ended without"
                              " an answer to it" % request_id)
    return broken


harness.run(os.path.dirname(os.path.abspath(__file__)), case)
