"""Stand-ins for model runners that crash on a part of a prompt.

The upstreams form groups: while one of a group is down, the others cut the
answers they were writing and refuse new requests, naming the one at fault.
"""

import asyncio
import contextlib
import json
import random
import time

import aiohttp
from aiohttp import web
import attrs

from tests.process import platform_site

SERVICE = 'model'
PORT = 18301
FIRST_PART = 'aa'
CRASHING_PART = 'bad0'
BEGIN_S = 0.05
EVENTS = 12
EVENT_S = 0.03
STALL_S = 0.5
BACK_S = 1.5
HEARTBEAT_S = 0.2


def route_of_drafts(config):
    """Return a configuration with a resumable streaming route added."""
    route = {
        'name': 'draft',
        'host': platform_site.HOST,
        'pathPrefix': '/draft/',
        'kind': 'streaming',
        'timeoutMs': 4000,
        'targetLatencyMs': 400,
        'attempts': 2,
        'service': SERVICE,
        'resumable': True,
    }
    services = [*config['services'], {'name': SERVICE}]
    return config | {
        'routes': [*config['routes'], route],
        'services': services,
    }


@attrs.define(eq=False)
class CrashingUpstream:
    """One model runner; each start is a new incarnation.

    Attributes:
        number: the last part of its address.
        peers: the upstreams of its group.
        arrivals: time and request id of each request with the crashing part.
        crashes: times of crashes on that part.
    """

    service = SERVICE
    base: str
    number: int
    entries: list
    session: aiohttp.ClientSession
    arrivals: list
    crashes: list
    begun: set
    peers: list = attrs.field(factory=list)
    incarnation: int = 0
    is_up: bool = False
    sequence: int = 0
    _runner: web.ServerRunner | None = None
    _stalled_by: str = ''

    @property
    def id(self):
        """Return the id of this incarnation."""
        return f'u{self.number}-{self.incarnation}'

    @property
    def ip(self):
        """Return its loopback address."""
        return f'{self.base}.{self.number}'

    async def start(self):
        """Listen as a new incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.ip, PORT, reuse_address=True)
        await site.start()
        self.is_up = True

    def crash(self):
        """Reset every connection and listen no more until it is back."""
        if not self.is_up:
            return
        self.is_up = False
        for handler in list(self._runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()
        asyncio.ensure_future(self._come_back(self._runner))

    async def run_heartbeats(self):
        """Send heartbeats to the entries in turn while it is up."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_up:
                continue
            self.sequence += 1
            entry = self.entries[self.sequence % len(self.entries)]
            body = {
                'service': self.service,
                'address': f'{self.ip}:{PORT}',
                'zone': 'east',
                'state': 'ready',
                'slots': 6,
                'sequence': self.sequence,
                'born': self.incarnation,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    entry.url(
                        'control',
                        f'/cassiashift/instances/{self.id}/heartbeat',
                    ),
                    data=json.dumps(body),
                ) as response:
                    await response.read()

    async def _come_back(self, runner):
        for site in list(runner.sites):
            await site.stop()
        for peer in self.peers:
            peer._stalled_by = self.id
        await asyncio.sleep(BACK_S)
        await runner.cleanup()
        await self.start()
        for peer in self.peers:
            peer._stalled_by = ''

    async def _handle(self, request):
        id_ = request.headers['Cassiashift-Request-Id']
        parts = request.headers['Cassiashift-Prefix-Hash'].split(',')
        crashes = any(part.startswith(CRASHING_PART) for part in parts)
        if crashes:
            self.arrivals.append((time.monotonic(), id_))
        headers = {'Cassiashift-Request-Id': id_}
        if self._stalled_by:
            await asyncio.sleep(STALL_S)
            headers['Cassiashift-Not-Executed'] = '1'
            headers['At-Server'] = self._stalled_by
            return web.Response(status=503, headers=headers)
        await asyncio.sleep(BEGIN_S)
        if crashes and self.is_up:
            self.crashes.append(time.monotonic())
            self.crash()
        if not self.is_up:
            return web.Response(status=500)
        self.begun.add(id_)
        headers['Cassiashift-Response-Stamp'] = 's'
        headers['Content-Type'] = 'text/event-stream'
        return await self._stream(request, headers)

    async def _stream(self, request, headers):
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, EVENTS + 1):
            if self._stalled_by:
                await asyncio.sleep(STALL_S)
                if request.transport is not None:
                    request.transport.abort()
                return response
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(EVENT_S)
        await response.write_eof()
        return response


@attrs.define(eq=False)
class CrashingDay:
    """Sound and crashing requests at several entries, beside other crashes.

    Attributes:
        sound: time, and whether it began at its first send, of each sound
            request.
    """

    site: platform_site.Site
    rng: random.Random
    arrivals: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    begun: set = attrs.field(factory=set)
    sound: list = attrs.field(factory=list)
    upstreams: list = attrs.field(factory=list)
    _numbers: int = 0
    _tasks: list = attrs.field(factory=list)

    async def start(self, base, groups=2, size=3):
        """Start the upstreams and wait until every entry serves drafts."""
        for group in range(groups):
            members = [
                CrashingUpstream(
                    base,
                    100 + group * size + rank,
                    self.site.entries,
                    self.site.session,
                    self.arrivals,
                    self.crashes,
                    self.begun,
                )
                for rank in range(size)
            ]
            for member in members:
                member.peers = [item for item in members if item is not member]
                await member.start()
                self._spawn(member.run_heartbeats())
            self.upstreams += members
        for entry in self.site.entries:
            await self.site.wait_until(self._is_served, entry)

    async def stop(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self, seconds, *, crashing_per_s, other_crashes=()):
        """Send requests for some seconds.

        Args:
            crashing_per_s: requests with the crashing part a second.
            other_crashes: seconds at which an upstream crashes without cause.
        """
        ends_at = time.monotonic() + seconds
        tasks = [self._send_sound_until(ends_at) for _ in range(8)]
        if crashing_per_s:
            tasks.append(self._send_crashing_until(ends_at, crashing_per_s))
        tasks += [self._crash_after(at) for at in other_crashes]
        await asyncio.gather(*tasks)

    def share_begun(self, since, until):
        """Return the share of sound requests begun at their first send."""
        chosen = [begun for at, begun in self.sound if since <= at < until]
        return sum(chosen) / len(chosen) if chosen else None

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    def _parts(self, *middle):
        self._numbers += 1
        parts = [FIRST_PART, *middle, f'{self._numbers:x}ff']
        return ','.join(f'{part}:40' for part in parts)

    async def _is_served(self, entry):
        return await self._send(entry, self._parts('c0')) == 200

    async def _send_sound_until(self, ends_at):
        while time.monotonic() < ends_at:
            entry = self.rng.choice(self.site.entries)
            at = time.monotonic()
            parts = self._parts(f'c{self.rng.randrange(12):x}')
            id_ = f'sound{self._numbers}'
            await self._send(entry, parts, id_)
            self.sound.append((at, id_ in self.begun))
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))

    async def _send_crashing_until(self, ends_at, per_s):
        while time.monotonic() < ends_at:
            entry = self.rng.choice(self.site.entries)
            subject = f'c{self.rng.randrange(12):x}'
            middle = self.rng.choice(
                [(CRASHING_PART,), (subject, CRASHING_PART)]
            )
            parts = self._parts(*middle)
            self._spawn(self._send_twice(entry, parts))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / per_s)

    async def _send_twice(self, entry, parts):
        for attempt in range(2):
            id_ = f'crash{self._numbers}-{attempt}-{self.rng.random():.6f}'
            if await self._send(entry, parts, id_) == 200:
                return

    async def _crash_after(self, seconds):
        await asyncio.sleep(seconds)
        self.rng.choice(self.upstreams).crash()

    async def _send(self, entry, parts, id_='first'):
        """Send a request; return its status, 0 without a whole answer."""
        headers = {
            'Host': platform_site.HOST,
            'Cassiashift-Request-Id': id_,
            'Cassiashift-Deadline-Ms': '4000',
            'Cassiashift-Prefix-Hash': parts,
            'Authorization': 'Token secret',
        }
        try:
            async with self.site.session.post(
                entry.url('front', '/draft/x'), headers=headers
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0
