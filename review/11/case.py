"""A server answers a long upload before it has read it, without a length, and resets the connection
in the middle of its answer. The client must not get that part as a complete success."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from harness3 import Entry, Fleet, Server, http, reset, run_case  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
UPLOADS = 6
# Below maxBodyBytes (64 MB); more than the socket buffers of a loopback connection hold, so that the
# upload is still being written when the connection is reset.
LONG_BYTES = 12 << 20
SHORT_BYTES = 60000
SENT_BYTES = 1000


def whole_body(request):
    return (('receipt %s ' % request.id) * 200).encode()


async def answer_early(server, request, reader, writer):
    """Answers a long upload early; a short one like any server."""
    if int(request.headers.get('content-length', 0)) < LONG_BYTES:
        return False
    server.run(request)
    body = whole_body(request)
    writer.write(server.head(request, 200, None))
    if TROUBLE:
        writer.write(body[:SENT_BYTES])
        await writer.drain()
        await asyncio.sleep(0.1)
        server.fleet.record('server=%s id=%s sent %d of %d bytes of its answer, resets' % (
            server.id, request.id, SENT_BYTES, len(body)))
        reset(writer)
        raise ConnectionError
    writer.write(body)
    await writer.drain()
    writer.write_eof()
    while await reader.read(1 << 16):
        pass
    raise ConnectionError

answer_early.early = True


async def play(fleet, record):
    fleet.start_store()
    for i in range(4):
        await Server(fleet, 's%d' % i, 'photos', 'west-a', work=0.02, behave=answer_early).start()
    await fleet.configure({'upload': {'prefix': '/up/', 'kind': 'upload', 'service': 'photos',
                                      'timeoutMs': 5000}}, ['photos'])
    entry = Entry(fleet, 'front-west-a-1', 'west-a', '127.61.0.1')
    entry.start()
    if not await entry.ready():
        return 2
    broken = answered = 0
    for i in range(UPLOADS):
        # Short uploads keep connections to the servers open, as other callers do.
        for k in range(8):
            id = fleet.new_id()
            r = await http(entry.address, entry.ports['front'], 'POST', '/up/%d' % k,
                           {'Request-Id': id, 'Deadline-Ms': '5000'}, b'u' * SHORT_BYTES)
            record('short upload id=%s status=%d' % (id, r.status))
        id = fleet.new_id()
        r = await http(entry.address, entry.ports['front'], 'POST', '/up/long',
                       {'Request-Id': id, 'Deadline-Ms': '5000'}, b'u' * LONG_BYTES, timeout=20)
        whole = (('receipt %s ' % id) * 200).encode()
        record('long upload id=%s status=%d stamp=%s body=%d of %d bytes content-length=%s' % (
            id, r.status, r.stamp, len(r.body), len(whole), r.headers.get('content-length')))
        answered += r.status == 200 and r.body == whole
        if 200 <= r.status < 300 and r.body != whole:
            broken += 1
    record('MIXED: %d of %d long uploads got a part as a complete success; %d got it whole' % (
        broken, UPLOADS, answered))
    if not TROUBLE and answered == 0:
        return 2
    return 1 if broken else 0


run_case(play)
