"""Starts a small deployment of anvil-relay on loopback addresses for the cases of the review.

The entries (target/bin/anvil-relay) and the store (target/bin/anvil-store) are processes of this
project. Servers and callers are stand-ins of this file; they run in the process of the case.
Only the standard library of Python 3 is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
RELAY = os.path.join(ROOT, "target", "bin", "anvil-relay")
STORE = os.path.join(ROOT, "target", "bin", "anvil-store")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "jepu9.example"
GRACE_S = 6
HEARTBEAT_S = 1.5

ZONES = {"zapad-a": "zapad", "stred-a": "stred", "vychod-a": "vychod",
         "zapad-b": "zapad", "stred-b": "stred", "vychod-b": "vychod"}
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2500, "graceS": GRACE_S, "lossSlackMs": 200, "configApplyMs": 2500,
          "rollbackSlackMs": 250, "maxStretchMs": 6000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retryBudgetExtra": 56, "coldLoadFactor": 1.5, "coldSlack": 5,
          "evacuateMs": 5000, "recoveryS": 15, "ttl_max_s": 5, "maxShift": 0.15}


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


class Response:
    """A response as a caller has read it; complete is False if it broke off or never came."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete

    @property
    def closes(self):
        return self.headers.get("connection", "").lower() == "close"

    def __str__(self):
        return str(self.status) if self.complete else "no complete answer"


async def read_head(reader):
    """Reads a start line and headers; returns (start line, headers) or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_response(reader):
    head = await read_head(reader)
    if head is None:
        return Response()
    status = int(head[0].split(" ")[1])
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, head[1])
    return Response(status, head[1], body, True)


def request_bytes(method, path, request_id, deadline_ms, body=b"", host=HOST, key=None):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "Request-Id: " + request_id,
             "Deadline-Ms: %d" % deadline_ms]
    if key is not None:
        lines.append("Affinity-Key: " + key)
    if method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server as PROTOCOL.md describes it: slots and a queue, one request at a time on a
    connection, registration and heartbeats in the store. A request's work in milliseconds stands
    at the end of its path, "/prefix/work-MS"."""

    def __init__(self, deployment, name, service, zone, slots=3, queue=9):
        self.deployment = deployment
        self.id = name
        self.service = service
        self.zone = zone
        self.queue = queue
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = 0
        self.born = int(time.time() * 1000)
        self.cold_until = 0         # on the clock of the record
        self.sequence = 0
        self.arrivals = []          # (time, request id)
        self.runs = []              # (time, request id)
        self.finished = {}          # request id: (time, status)
        self.listener = None
        self.port = None
        self.heartbeat = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.ensure_future(self.report())

    def cold_ms(self):
        return max(int((self.cold_until - self.deployment.record.now()) * 1000), 0)

    def row(self):
        self.sequence += 1
        return {"address": "127.0.0.1:%d" % self.port, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": "ready", "sequence": self.sequence, "coldRemainingMs": self.cold_ms()}}

    async def report(self):
        while True:
            await self.deployment.put("servers", self.id, self.row())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        path = head[0].split(" ")[1]
        headers = head[1]
        request_id = headers.get("request-id", "")
        if int(headers.get("content-length", "0")) > 0:
            await reader.readexactly(int(headers["content-length"]))
        record = self.deployment.record
        self.arrivals.append((record.now(), request_id))
        record.write("server %s gets %s" % (self.id, request_id))
        if headers.get("expect-instance", self.id) != self.id:
            return await self.answer(writer, request_id, 421, "Instance-Id: %s\r\n" % self.id)
        if self.running >= self.slots and self.waiting >= self.queue:
            return await self.answer(writer, request_id, 503, "Not-Run: 1\r\n")
        self.waiting += 1
        # A caller that closes its connection drops its request.
        gone = asyncio.ensure_future(self.wait_for_close(reader))
        try:
            slot = asyncio.ensure_future(self.free_slots.acquire())
            await asyncio.wait({slot, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiting -= 1
        if not slot.done():
            slot.cancel()
            record.write("server %s: caller of %s has closed while it waited" % (self.id, request_id))
            return False
        self.running += 1
        self.runs.append((record.now(), request_id))
        record.write("server %s runs %s" % (self.id, request_id))
        try:
            await asyncio.wait({gone}, timeout=self.work_s(path))
        finally:
            self.running -= 1
            self.free_slots.release()
        if gone.done():
            record.write("server %s: caller of %s has closed while it ran" % (self.id, request_id))
            return False
        gone.cancel()
        self.finished[request_id] = (record.now(), 200)
        record.write("server %s ends %s, 200" % (self.id, request_id))
        return await self.answer(writer, request_id, 200,
                                 "Server-Stamp: %s.%s\r\n" % (self.id, request_id),
                                 b"body of %s" % request_id.encode())

    @staticmethod
    async def wait_for_close(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    @staticmethod
    def work_s(path):
        return int(path.rsplit("-", 1)[1]) / 1000.0

    async def answer(self, writer, request_id, status, more, body=b""):
        head = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\nServer-Load: %d,%d,%d\r\n\r\n"
        writer.write((head % (status, request_id, more, len(body), self.running, self.waiting,
                              self.slots)).encode() + body)
        await writer.drain()
        return True

    async def stop(self):
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class StorePath:
    """An entry's way to the store. While it is turned away, its connections are reset and its calls
    get 503; the store serves all others."""

    def __init__(self, target):
        self.target = target
        self.turned_away = False
        self.listener = None
        self.port = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def turn_away(self, on):
        self.turned_away = on
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.turned_away:
                await self.refuse(reader, writer)
            else:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
                await asyncio.gather(self.pipe(reader, far_writer), self.pipe(far_reader, writer))
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def refuse(reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            await reader.readexactly(int(head[1].get("content-length", "0")))
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()

    @staticmethod
    async def pipe(reader, writer):
        try:
            while True:
                piece = await reader.read(65536)
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Entry:
    """A process of anvil-relay."""

    def __init__(self, deployment, name, zone, ports):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.front, self.ready, self.control, self.directory, self.internal = ports
        self.path = os.path.join(deployment.folder, name + ".json")
        self.store_path = None      # a StorePath, if the entry doesn't call the store itself
        self.process = None

    def write_settings(self, seeds):
        address = "127.0.0.1:%d"
        store_port = self.store_path.port if self.store_path else self.deployment.store_port
        settings = {
            "nodeName": self.name, "role": "entry", "machineClass": "front",
            "serves": ["front", "control", "directory"], "ip": "127.0.0.1", "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES,
            "listen": {"front": address % self.front, "ready": address % self.ready,
                       "control": address % self.control, "directory": address % self.directory},
            "internalPorts": [self.internal, self.internal], "seeds": seeds, "bootstrap": True,
            "inFaultBudget": False,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory",
            "heartbeatMs": int(HEARTBEAT_S * 1000), "contracts": [], "bounds": self.deployment.bounds,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 1},
            "platform": {"address": address % store_port, "form": "table",
                         "writesPerS": 400, "readsPerS": 2000, "txMs": 8.0,
                         "partitionWritesS": 150, "rowBytes": 65536, "across": False,
                         "historyS": 20},
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([RELAY, "--settings", self.path], cwd=ROOT, stdout=log,
                                        stderr=log)
        self.deployment.record.write("entry %s starts" % self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.write("entry %s gets %s" % (self.name,
                                                           signal.Signals(number).name))

    async def holds(self, service):
        """Whether this entry grants the slots of a service, by its metrics."""
        response = await self.deployment.call(self.internal, "GET", "/metrics")
        return 'anvil_held_upstreams{service="%s"}' % service in response.body.decode()

    async def is_ready(self):
        try:
            response = await self.deployment.call(self.ready, "GET", "/-/ready")
        except OSError:
            return False
        return response.status == 200


class Deployment:
    def __init__(self, folder_of_case):
        self.bounds = dict(BOUNDS)
        self.folder = tempfile.mkdtemp(prefix="anvil-review-")
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.entries = []
        self.servers = []
        self.callers = []
        self.store = None
        self.store_port = None
        self.version = 0
        self.held_ports = set()

    def free_port(self):
        """A port below those that the system gives to outgoing connections."""
        while True:
            port = random.randrange(15000, 32000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in self.held_ports:
                self.held_ports.add(port)
                return port

    def start_store(self):
        self.store_port = self.free_port()
        self.store = subprocess.Popen([STORE, "--listen", "127.0.0.1:%d" % self.store_port],
                                      cwd=ROOT, stdout=subprocess.DEVNULL,
                                      stderr=subprocess.DEVNULL)

    async def call(self, port, method, path, body=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                          "Content-Length: %d\r\n\r\n" % (method, path, len(body))).encode() + body)
            return await asyncio.wait_for(read_response(reader), 2)
        finally:
            writer.close()

    async def transact(self, call):
        try:
            return (await self.call(self.store_port, "POST", "/-/rows-tx",
                                    json.dumps(call).encode())).status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def put(self, table, key, value):
        row = {"table": table, "part": "", "key": key,
               "value": base64.b64encode(json.dumps(value).encode()).decode()}
        return await self.transact({"expect": [], "writes": [row], "remove": []})

    async def remove(self, table, key):
        return await self.transact({"expect": [], "writes": [],
                                    "remove": [{"table": table, "part": "", "key": key}]})

    async def configure(self, routes, services):
        self.version += 3
        resources = [{"resourceKind": "routes", "metadata": {"name": name},
                      "spec": dict({"host": HOST, "priority": 1, "sticky": False,
                                    "allowedRegions": []}, **spec)}
                     for name, spec in routes.items()]
        resources += [{"resourceKind": "services", "metadata": {"name": name},
                       "spec": {"healthPath": "/health", "maxConnections": 330, "protocol": "h1",
                                "tls": False, "coldStartS": 3.0, "coldPerS": 2.5}}
                      for name in services]
        resources.append({"resourceKind": "limits", "metadata": {},
                          "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        return await self.put("op", "config", {"version": self.version, "resources": resources})

    async def add_server(self, name, service, zone="zapad-a", **options):
        server = Server(self, name, service, zone, **options)
        self.servers.append(server)
        await server.start()
        return server

    def add_entry(self, name, zone="zapad-a"):
        entry = Entry(self, name, zone, [self.free_port() for _ in range(5)])
        self.entries.append(entry)
        return entry

    async def start_entries(self, pause_s=0):
        seeds = ["127.0.0.1:%d" % entry.control for entry in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(seeds)
            entry.start()
            await asyncio.sleep(pause_s)
        for entry in self.entries:
            await self.wait_ready(entry)
        # The entries find each other, and agree on who grants the slots.
        await asyncio.sleep(2)

    async def restart_entries(self):
        for entry in self.entries:
            entry.start()

    async def wait_ready(self, entry):
        for _ in range(200):
            if await entry.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("entry %s was never ready" % entry.name)

    async def close(self):
        for process in [entry.process for entry in self.entries] + [self.store]:
            if process is not None and process.poll() is None:
                process.kill()
            if process is not None:
                process.wait()
        for caller in self.callers:
            caller.drop()
        for server in self.servers:
            await server.stop()
        for entry in self.entries:
            if entry.store_path is not None:
                entry.store_path.listener.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.05)
        if os.environ.get("KEEP_LOGS"):
            self.record.write("logs of the entries: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A caller's connection to an entry. Requests may be sent before earlier ones are answered;
    answers come in the order of the requests."""

    def __init__(self, deployment, entry, name):
        self.deployment = deployment
        self.entry = entry
        self.name = name
        deployment.callers.append(self)
        self.reader = self.writer = self.task = None
        self.sent = []
        self.answers = {}
        self.closed_at = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.entry.front)
        self.task = asyncio.ensure_future(self.read())

    def send(self, method, path, request_id, deadline_ms, body=b"", key=None):
        self.sent.append(request_id)
        self.deployment.record.write("caller %s sends %s %s %s" % (self.name, request_id, method,
                                                                   path))
        self.writer.write(request_bytes(method, path, request_id, deadline_ms, body, key=key))

    async def read(self):
        while True:
            response = await read_response(self.reader)
            if not response.complete:
                break
            request_id = self.sent[len(self.answers)] if len(self.answers) < len(self.sent) else "-"
            self.answers[request_id] = response
            self.deployment.record.write("caller %s gets %s%s to %s" % (
                self.name, response, " with Connection: close" if response.closes else "",
                request_id))
            if response.closes:
                break
        self.closed_at = self.deployment.record.now()
        self.deployment.record.write("caller %s: the connection has ended" % self.name)
        self.writer.close()

    def leave(self):
        """The caller gives up and closes its connection."""
        self.deployment.record.write("caller %s leaves" % self.name)
        self.task.cancel()
        self.writer.close()

    def drop(self):
        """Frees the connection at the end of the case."""
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None and self.writer.transport is not None:
            self.writer.transport.abort()


def run(folder, case):
    """Runs a case, an async function of a deployment and of whether the disruption is on; it
    returns the list of broken promises."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = Deployment(folder)
        try:
            deployment.start_store()
            await asyncio.sleep(0.3)
            broken = await asyncio.wait_for(case(deployment, trouble), 110)
            for line in broken:
                deployment.record.write("BROKEN: " + line)
            deployment.record.write("%d broken, disruption %s" % (len(broken),
                                                                  "on" if trouble else "off"))
            print("%d broken, disruption %s" % (len(broken), "on" if trouble else "off"))
            return BROKEN if broken else HELD
        finally:
            await deployment.close()
            deployment.record.close()

    for program in (RELAY, STORE):
        if not os.path.exists(program):
            print("%s is missing: run the deploy file's build and review/build.sh" % program)
            sys.exit(COULD_NOT_RUN)
    try:
        status = asyncio.run(play())
    except Exception as error:  # an error of the case says nothing about the rule
        print("the case could not run: %r" % error)
        status = COULD_NOT_RUN
    sys.exit(status)
