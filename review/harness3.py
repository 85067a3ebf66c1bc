"""Stand-ins of a small deployment for the scripts of cases 11 to 14: servers, clients, a store and
entries as processes, all on loopback addresses. Standard library only."""

import asyncio
import base64
import hashlib
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
BIN = os.environ.get('REVIEW_BIN', os.path.join(ROOT, 'target/bin'))
HOST = 'shop.example'
CASE_TIMEOUT_S = 100


def free_port(address):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


class Record:
    """record.txt of a case: one line an event, with the time since its start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write('%9.3f %s\n' % (time.monotonic() - self.start, text))
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = headers.get('request-id', '')


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        body += data
        if size == 0:
            return body


class Server:
    """A server of a service: slots, run counts, and a behaviour for each request."""

    def __init__(self, fleet, id, service, zone, address='127.0.0.1', slots=3, work=0.05,
                 behave=None):
        self.fleet, self.id, self.service, self.zone = fleet, id, service, zone
        self.address, self.slots, self.work, self.behave = address, slots, work, behave
        self.state, self.sequence, self.cold_ms = 'ready', 0, 0
        self.born = int(time.time() * 1000)
        self.extra_headers = {}
        self.running = 0
        self.writers = set()
        self.registered = True

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.address, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.fleet.servers.append(self)
        await self.register()
        self.beat = asyncio.ensure_future(self.heartbeat())
        return self

    def row(self):
        return {'address': '%s:%d' % (self.address, self.port), 'born': self.born,
                'info': {'service': self.service, 'version': 'v1', 'zone': self.zone,
                         'slots': self.slots},
                'status': {'state': self.state, 'sequence': self.sequence,
                           'coldRemainingMs': self.cold_ms}}

    async def register(self):
        self.sequence += 1
        try:
            await self.fleet.store_write('servers', self.id, self.row())
        except OSError:
            pass

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.5)
            if self.registered:
                await self.register()

    async def stop(self):
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def head(self, request, status, length, headers=None, stamp=True):
        lines = ['HTTP/1.1 %d X' % status]
        if request.id:
            lines.append('Request-Id: ' + request.id)
        if stamp:
            lines.append('Server-Stamp: %s.%s' % (self.id, request.id))
        lines.append('Server-Load: %d,0,%d' % (self.running, self.slots))
        for name, value in {**self.extra_headers, **(headers or {})}.items():
            lines.append('%s: %s' % (name, value))
        if length is not None:
            lines.append('Content-Length: %d' % length)
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    def body_of(self, request):
        return ('%s %s %s %s\n' % (self.id, request.method, request.target, request.id)).encode() \
            + hashlib.sha256(request.body).hexdigest().encode()

    def refusal(self, request, status=503, headers=None):
        return self.head(request, status, 0, {'Not-Run': '1', **(headers or {})}, stamp=False)

    async def answer(self, request, writer):
        body = self.body_of(request)
        writer.write(self.head(request, 200, len(body)) + (b'' if request.method == 'HEAD' else body))
        await writer.drain()

    def run(self, request):
        self.fleet.runs.append((time.monotonic(), self.id, request))
        self.fleet.record('run server=%s id=%s %s %s' % (self.id, request.id, request.method,
                                                        request.target))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ', 2)
                request = Request(method, target, headers, b'')
                if headers.get('expect-instance', self.id) != self.id:
                    if 'content-length' in headers:
                        await reader.readexactly(int(headers['content-length']))
                    writer.write(self.head(request, 421, 0, {'Instance-Id': self.id}, stamp=False))
                    continue
                if self.behave is not None and getattr(self.behave, 'early', False):
                    if await self.behave(self, request, reader, writer):
                        continue
                if 'content-length' in headers:
                    request.body = await reader.readexactly(int(headers['content-length']))
                elif headers.get('transfer-encoding') == 'chunked':
                    request.body = await read_chunked(reader)
                if (self.behave is not None and not getattr(self.behave, 'early', False)
                        and await self.behave(self, request, reader, writer)):
                    continue
                self.run(request)
                self.running += 1
                try:
                    await asyncio.sleep(self.work)
                finally:
                    self.running -= 1
                await self.answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    writer.transport.abort()


class Entry:
    """A process of anvil-relay with its settings file."""

    def __init__(self, fleet, name, zone, address, memory_mb=260, fds=4100, bounds=None):
        self.fleet, self.name, self.zone, self.address = fleet, name, zone, address
        self.ports = {n: free_port(address)
                      for n in ('front', 'ready', 'control', 'directory', 'metrics')}
        self.memory_mb, self.fds, self.bounds = memory_mb, fds, bounds or {}
        self.process = None
        fleet.entries.append(self)

    def settings(self):
        f = self.fleet
        listen = {n: '%s:%d' % (self.address, self.ports[n])
                  for n in ('front', 'ready', 'control', 'directory')}
        bounds = {'seedLagS': 3, 'addrReuseS': 2, 'stableWindowMs': 4000, 'ackMs': 4000,
                  'catchUpS': 4, 'drainMs': 2500, 'graceS': 6, 'lossSlackMs': 200,
                  'configApplyMs': 2500, 'rollbackSlackMs': 250, 'maxStretchMs': 6000,
                  'retryBudgetRatio': 0.2, 'budgetWindowS': 10, 'retryBudgetExtra': 56,
                  'coldLoadFactor': 1.5, 'coldSlack': 5, 'evacuateMs': 5000, 'recoveryS': 15,
                  'ttl_max_s': 5, 'maxShift': 0.15}
        bounds.update(f.bounds)
        bounds.update(self.bounds)
        return {'nodeName': self.name, 'role': 'entry', 'machineClass': 'front',
                'serves': ['front', 'control', 'directory'], 'ip': self.address,
                'zone': self.zone, 'region': f.zones[self.zone], 'zones': f.zones,
                'listen': listen, 'internalPorts': [self.ports['metrics'], self.ports['metrics']],
                'seeds': ['%s:%d' % (e.address, e.ports['control']) for e in f.entries[:3]],
                'bootstrap': False, 'inFaultBudget': False,
                'limits': {'cpuShare': 0.4, 'cores': 1, 'memoryMb': self.memory_mb,
                           'maxFds': self.fds, 'linkMbps': 1000.0, 'diskMb': 0},
                'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
                'heartbeatMs': 1500, 'bounds': bounds,
                'platform': {'address': '%s:%d' % f.store_address, 'form': 'table',
                             'writesPerS': 400, 'readsPerS': 2000, 'txMs': 8.0}}

    def start(self):
        path = os.path.join(self.fleet.directory, self.name + '.json')
        with open(path, 'w') as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.fleet.directory, self.name + '.log'), 'ab')
        self.process = subprocess.Popen([os.path.join(BIN, 'anvil-relay'), '--settings', path],
                                        stdout=log, stderr=log, cwd=ROOT, start_new_session=True)
        log.close()
        self.fleet.processes.append(self.process)
        self.fleet.record('start %s pid=%d' % (self.name, self.process.pid))

    def signal(self, number):
        self.fleet.record('signal %s %s' % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def exited(self, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end and self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                r = await http(self.address, self.ports['ready'], 'GET', '/-/ready', timeout=1)
                if r.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False


class Response:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    @property
    def stamp(self):
        return self.headers.get('server-stamp')


async def read_response(reader, method='GET'):
    line, headers = await read_head(reader)
    status = int(line.split(' ')[1])
    body, complete = b'', True
    if method == 'HEAD' or status in (204, 304):
        pass
    elif headers.get('transfer-encoding') == 'chunked':
        body = await read_chunked(reader)
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    else:
        body = await reader.read()
    return Response(status, headers, body, complete)


def request_bytes(method, target, headers, body=None, host=HOST):
    lines = ['%s %s HTTP/1.1' % (method, target), 'Host: ' + host]
    lines += ['%s: %s' % item for item in headers.items()]
    if body is not None:
        lines.append('Content-Length: %d' % len(body))
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + (body or b'')


async def http(address, port, method, target, headers=None, body=None, timeout=10):
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port, limit=1 << 24)
        try:
            writer.write(request_bytes(method, target, headers or {}, body))
            return await read_response(reader, method)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Fleet:
    def __init__(self, record, zones=None, bounds=None):
        self.record = record
        self.zones = zones or {'west-a': 'west', 'west-b': 'west'}
        self.bounds = bounds or {}
        self.directory = tempfile.mkdtemp(prefix='anvil-review-')
        self.servers, self.entries, self.processes, self.runs = [], [], [], []
        self.version = 0
        self.numbers = 0

    def new_id(self):
        self.numbers += 1
        return '%04x%012x' % (self.numbers, random.getrandbits(48))

    def start_store(self, era=0):
        self.store_address = ('127.0.0.1', free_port('127.0.0.1'))
        log = open(os.path.join(self.directory, 'store.log'), 'ab')
        self.store = subprocess.Popen([os.path.join(BIN, 'anvil-store'), '--listen=%s:%d'
                                       % self.store_address, '--era=%d' % era], stdout=log,
                                      stderr=log, cwd=ROOT, start_new_session=True)
        log.close()
        self.processes.append(self.store)
        for _ in range(100):
            try:
                socket.create_connection(self.store_address, 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError('store does not start')

    async def store_call(self, method, target, body=None):
        return await http(self.store_address[0], self.store_address[1], method, target,
                          {'Content-Type': 'application/json', 'Connection': 'close'}, body, 5)

    async def transact(self, writes=(), remove=()):
        body = json.dumps({'expect': [], 'writes': list(writes), 'remove': list(remove)}).encode()
        return (await self.store_call('POST', '/-/rows-tx', body)).status

    async def store_write(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.transact([{'table': table, 'part': '', 'key': key,
                                     'value': base64.b64encode(text).decode()}])

    async def store_remove(self, table, key):
        return await self.transact((), [{'table': table, 'part': '', 'key': key}])

    async def store_fault(self, **query):
        self.record('store fault %s' % query)
        return await self.store_call('POST', '/fault?' + '&'.join('%s=%s' % i
                                                                  for i in query.items()), b'')

    async def configure(self, routes, services, tenants=None, limits=None):
        self.version += random.randrange(1, 4)
        resources = []
        for name, spec in routes.items():
            spec = {'host': HOST, 'timeoutMs': 3000, 'targetLatencyMs': 600, 'priority': 1,
                    'maxAttempts': 2, 'sticky': False, 'allowedRegions': [], **spec}
            resources.append({'resourceKind': 'routes', 'metadata': {'name': name}, 'spec': spec})
        for name in services:
            resources.append({'resourceKind': 'services', 'metadata': {'name': name},
                              'spec': {'healthPath': '/health', 'maxConnections': 330,
                                       'coldStartS': 3.0, 'coldPerS': 2.5}})
        for name, spec in (tenants or {}).items():
            resources.append({'resourceKind': 'tenants', 'metadata': {'name': name},
                              'spec': {'priority': 1, 'allowedRegions': [], **spec}})
        resources.append({'resourceKind': 'limits', 'metadata': {},
                          'spec': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
                                   **(limits or {})}})
        status = await self.store_write('op', 'config', {'version': self.version,
                                                         'resources': resources})
        self.record('configuration version=%d confirmed status=%d' % (self.version, status))
        return status

    def run_counts(self):
        counts = {}
        for _, _, request in self.runs:
            counts[request.id] = counts.get(request.id, 0) + 1
        return counts

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
            process.wait()
        if os.environ.get('REVIEW_KEEP'):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(play, bounds=None):
    """Runs a case in the working directory and exits with its status: 1 broken, 0 held, 2 not run."""
    async def run():
        # Connections that are still open at the end are closed without a report of each.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(fleet, record), CASE_TIMEOUT_S)

    record = Record('record.txt')
    fleet = Fleet(record, bounds=bounds)
    try:
        status = asyncio.run(run())
    except Exception as error:  # pylint: disable=broad-except
        record('could not run: %r' % error)
        status = 2
    finally:
        fleet.close()
    record('exit %d' % status)
    sys.exit(status)
