"""Stand-in of the runners of a plain service, after PROTOCOL.md."""

import asyncio
import contextlib
import json
import time

from aiohttp import web

PORT = 18400
HEARTBEAT_S = 1.2


class Runner:
    """One runner, which announces itself and counts what it runs.

    Attributes:
        ran: number of runs by request id.
        running: requests that it runs now.
    """

    def __init__(self, id_, service, address, zone, work_s=0.0225, slots=6):
        """Describe a runner that is not started yet."""
        self.id = id_
        self.service = service
        self.address = address
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran = {}
        self.running = 0
        self._server = None
        self._beats = None

    async def start(self, deployment):
        """Listen and send heartbeats."""
        self._server = web.ServerRunner(
            web.Server(
                self._handle, access_log=None, handler_cancellation=True
            )
        )
        await self._server.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(self._server, host, int(port)).start()
        self._beats = asyncio.ensure_future(self._announce(deployment))

    async def stop(self):
        """End heartbeats and close all connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(self._server.cleanup(), 2.0)

    def abort(self):
        """Crash: reset all connections, and do not come back."""
        for conn in self._server.server.connections:
            if conn.transport is not None:
                conn.transport.abort()
        asyncio.ensure_future(self.stop())

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _announce(self, deployment):
        while True:
            body = self.heartbeat()
            for attempt in range(len(deployment.entries)):
                number = (self.sequence + attempt) % len(deployment.entries)
                entry = deployment.entries[number]
                if await send_heartbeat(deployment, entry, self.id, body):
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def health_headers(self):
        """Return the headers of an answer to a health check."""
        return {'Cassiashift-Instance-Id': self.id}

    async def _handle(self, request):
        if request.path == '/healthz':
            return web.Response(headers=self.health_headers())
        id_ = request.headers.get('Cassiashift-Request-Id', '')
        headers = {'Cassiashift-Request-Id': id_}
        await request.read()
        expected = request.headers.get('Cassiashift-Expect-Instance', self.id)
        if expected != self.id or not id_:
            headers['Cassiashift-Not-Executed'] = '1'
            return web.Response(status=421, headers=headers)
        if self.running >= self.slots:
            headers['Cassiashift-Not-Executed'] = '1'
            return web.Response(status=503, headers=headers)
        self.running += 1
        try:
            self.ran[id_] = self.ran.get(id_, 0) + 1
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers['Cassiashift-Response-Stamp'] = f's.{id_}'
        return web.Response(body=id_.encode(), headers=headers)


async def send_heartbeat(deployment, entry, id_, body):
    """Send a heartbeat to an entry; return whether it is acknowledged."""
    try:
        async with asyncio.timeout(1.0):
            async with deployment.session.post(
                entry.url(
                    'control', f'/cassiashift/instances/{id_}/heartbeat'
                ),
                data=json.dumps(body).encode(),
                headers={'Content-Type': 'application/json'},
            ) as response:
                await response.read()
                return response.status == 200
    except Exception:
        return False
