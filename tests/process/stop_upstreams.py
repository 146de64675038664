"""Upstreams of plain and streamed answers for the soak of planned stops.

The query of a request names the work in seconds, the number of events and the
size of its answer in bytes; an answer follows from them and the request.
"""

import asyncio
import contextlib
import hashlib
import json
import time

import aiohttp
from aiohttp import web
import attrs

REQUEST_ID = 'Cassiashift-Request-Id'
STREAMS = ('stream', 'talk')
HEARTBEAT_INTERVAL_S = 0.2
# Time after which a running request notices that it was dropped.
SLICE_S = 0.05


def plain_answer(id_, body, size):
    """Return the whole body of a plain answer."""
    digest = hashlib.sha256(body).hexdigest()
    return f'{id_} {digest} '.encode().ljust(size, b'.')


def event(id_, number, events, size):
    """Return one event of a stream; the numbers start at 1."""
    text = f'id: {number}\ndata: {id_} {number} '.encode()
    return text.ljust(size // events, b'.') + b'\n\n'


@attrs.define(eq=False)
class Run:
    """One run of a request; monotonic times.

    Attributes:
        ended_at: time of its end; None while it runs.
        is_whole: the whole answer was made.
    """

    started_at: float
    ended_at: float | None = None
    is_whole: bool = False


@attrs.define(eq=False)
class Upstream:
    """An upstream that records the runs of each request.

    Attributes:
        ran: runs by request id.
        slowdown: factor by which work takes longer.
        slots: requests that it runs at once, by its heartbeats.
    """

    address: str
    service: str = 'desk'
    zone: str = 'east'
    ran: dict[str, list[Run]] = attrs.field(factory=dict)
    slowdown: float = 1.0
    slots: int = 200
    born: int = 1
    cold_ms: None = None

    async def handle(self, request):
        """Run a request and answer as its query says."""
        id_ = request.headers.get(REQUEST_ID, '')
        body = await request.read()
        run = Run(time.monotonic())
        self.ran.setdefault(id_, []).append(run)
        try:
            response = await self._answer(request, id_, body)
            run.is_whole = True
            return response
        except ConnectionError:
            return web.Response(status=500)
        finally:
            run.ended_at = time.monotonic()

    async def _answer(self, request, id_, body):
        work_s = float(request.query.get('work', 0.0))
        size = int(request.query.get('size', 0))
        headers = {REQUEST_ID: id_, 'Cassiashift-Response-Stamp': 's'}
        if request.path.split('/')[1] not in STREAMS:
            await self._work(request, work_s)
            return web.Response(
                body=plain_answer(id_, body, size), headers=headers
            )
        events = int(request.query.get('events', 1))
        first = int(request.headers.get('Last-Event-Id', 0)) + 1
        headers['Content-Type'] = 'text/event-stream'
        response = web.StreamResponse(headers=headers)
        for number in range(first, events + 1):
            await self._work(request, work_s / events)
            if not response.prepared:
                await response.prepare(request)
            await response.write(event(id_, number, events, size))
        if not response.prepared:
            await response.prepare(request)
        await response.write_eof()
        return response

    async def _work(self, request, work_s):
        while work_s > 0:
            slice_s = min(SLICE_S, work_s * self.slowdown)
            await asyncio.sleep(slice_s)
            work_s -= slice_s / self.slowdown
            if request.transport is None or request.transport.is_closing():
                raise ConnectionResetError('the request was dropped')

    async def send_heartbeats_forever(self, session, entries):
        """Send its heartbeats, to each entry in turn."""
        name = self.address.replace(':', '-')
        path = f'/cassiashift/instances/{name}/heartbeat'
        sequence = 0
        while True:
            sequence += 1
            url = entries[sequence % len(entries)].url('control', path)
            body = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'state': 'ready',
                'slots': self.slots,
                'sequence': sequence,
                'born': self.born,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.post(url, data=json.dumps(body)) as answer:
                    await answer.read()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@contextlib.asynccontextmanager
async def serve(upstreams, session, entries):
    """Serve upstreams on their addresses and send their heartbeats."""
    async with contextlib.AsyncExitStack() as stack:
        for upstream in upstreams:
            server = web.ServerRunner(web.Server(upstream.handle))
            await server.setup()
            stack.push_async_callback(server.cleanup)
            ip, _, port = upstream.address.partition(':')
            await web.TCPSite(server, ip, int(port)).start()
            heartbeats = asyncio.ensure_future(
                upstream.send_heartbeats_forever(session, entries)
            )
            stack.callback(heartbeats.cancel)
        yield
