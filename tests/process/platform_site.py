"""Entries of the users' platform as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import aiohttp
from aiohttp import web
import attrs
import yaml

PORTS = {
    'front': 18227,
    'readinessAddress': 18220,
    'control': 18229,
    'directory': 18224,
}
LINK_PORTS = [17340, 17355]
PATIENCE_S = 20.0
HOST = 'a.example'


def document(version, *routes, **fields):
    """Return a configuration with a safe, an unsafe and more routes."""
    rows = [('read', 'safe'), ('book', 'unsafe'), *routes]
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 2000,
                'targetLatencyMs': 200,
                'attempts': 2 if kind == 'safe' else 1,
                'service': 'desk',
            }
            for name, kind in rows
        ],
        'services': [{'name': 'desk', 'healthPath': '/healthz'}],
        'tenants': [{'name': 'acme', 'apiKeys': ['secret']}],
    } | fields


@attrs.define(eq=False)
class Entry:
    """One entry's process.

    Attributes:
        number: the last part of its address.
    """

    folder: pathlib.Path
    number: int
    base: str
    has_disk: bool
    seeds: list[str]
    is_first: bool = True
    process: subprocess.Popen | None = None

    @property
    def ip(self):
        """Return its address."""
        return f'{self.base}.{self.number}'

    @property
    def data_dir(self):
        """Return its data folder."""
        return self.folder / f'data-{self.number}'

    def url(self, name, path):
        """Return the URL of a path at a listener."""
        return f'http://{self.ip}:{PORTS[name]}{path}'

    def start(self):
        """Start the process with fresh settings."""
        settings = {
            'nodeName': f'entry-{self.number}',
            'ip': self.ip,
            'zone': 'east',
            'region': 'r',
            'listen': {
                name: f'{self.ip}:{port}' for name, port in PORTS.items()
            },
            'portRange': LINK_PORTS,
            'seeds': [f'{seed}:{PORTS["control"]}' for seed in self.seeds],
            'bootstrap': self.is_first,
            'dataDir': str(self.data_dir) if self.has_disk else None,
            'heartbeatMs': 500,
            'faultTolerance': {'machines': 1},
            'bounds': {'gracePeriodS': 8, 'retryBudgetSlack': 50},
        }
        path = self.folder / f'settings-{self.number}.yaml'
        path.write_text(yaml.safe_dump(settings))
        log = (self.folder / f'entry-{self.number}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'cassiashift_platform.main', 'entry'],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {'CASSIASHIFT_CONFIG': str(path)},
            )
        self.is_first = False

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    async def handles(self, number):
        """Tell whether the process ignores or catches a signal."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        masks = dict(line.split(':\t') for line in status.splitlines())
        handled = int(masks['SigIgn'], 16) | int(masks['SigCgt'], 16)
        return bool(handled >> (number - 1) & 1)

    def kill(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def wipe(self):
        """Empty the data folder."""
        shutil.rmtree(self.data_dir)

    def log(self):
        """Return what the process has written."""
        return (self.folder / f'entry-{self.number}.log').read_text()


@attrs.define(eq=False)
class Desk:
    """A plain upstream that counts how often each request ran."""

    address: str
    ran: dict[str, int] = attrs.field(factory=dict)
    work_s: float = 0.01

    async def handle(self, request):
        """Run a request."""
        id_ = request.headers['Cassiashift-Request-Id']
        self.ran[id_] = self.ran.get(id_, 0) + 1
        await asyncio.sleep(self.work_s)
        return web.Response(
            body=id_.encode(),
            headers={
                'Cassiashift-Request-Id': id_,
                'Cassiashift-Response-Stamp': 's',
            },
        )


@attrs.define(eq=False)
class Site:
    """Entries, an upstream and a client."""

    entries: list[Entry]
    desk: Desk
    session: aiohttp.ClientSession
    sequence: int = 0

    async def put(self, entry, config):
        """Send a configuration; return the status."""
        content = json.dumps(config).encode()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.post(
                entry.url('control', '/cassiashift/config/put'), data=content
            ) as response:
                return response.status
        return 0

    async def get(self, entry):
        """Read the configuration; return its version, or None."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(
                entry.url('control', '/cassiashift/config/get')
            ) as response:
                if response.status == 200:
                    return (await response.json())['version']
        return None

    async def call(self, entry, route, id_):
        """Send a request; return status and body."""
        headers = {
            'Host': HOST,
            'Cassiashift-Request-Id': id_,
            'Cassiashift-Deadline-Ms': '2000',
            'Authorization': 'Token secret',
        }
        try:
            async with self.session.post(
                entry.url('front', f'/{route}/x'), headers=headers
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b''

    async def is_ready(self, entry):
        """Tell whether an entry is ready."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(
                entry.url('readinessAddress', '/cassiashift/readyz')
            ) as response:
                return response.status == 200
        return False

    async def beat_forever(self):
        """Announce the upstream to one entry after the other."""
        while True:
            self.sequence += 1
            entry = self.entries[self.sequence % len(self.entries)]
            body = {
                'service': 'desk',
                'address': self.desk.address,
                'zone': 'east',
                'state': 'ready',
                'slots': 20,
                'sequence': self.sequence,
                'born': 1,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    entry.url('control', '/cassiashift/instances/d/heartbeat'),
                    data=json.dumps(body),
                ) as response:
                    await response.read()
            await asyncio.sleep(0.2)

    async def until(self, check, *args, patience_s=PATIENCE_S):
        """Repeat a coroutine function until its result is true."""
        ends_at = time.monotonic() + patience_s
        while time.monotonic() < ends_at:
            found = await check(*args)
            if found:
                return found
            await asyncio.sleep(0.05)
        raise AssertionError(f'{check.__name__}{args} stayed false')

    async def until_put(self, entry, config):
        """Put a configuration until it is acknowledged."""

        async def is_acknowledged():
            return await self.put(entry, config) == 200

        await self.until(is_acknowledged)

    async def until_read(self, entry, version):
        """Read at an entry until it answers; tell what it answered."""
        found = await self.until(self.get, entry)
        if found < version:
            raise AssertionError(f'{found} was read after {version}')


@contextlib.asynccontextmanager
async def site(folder, base, with_disk=3, without=2):
    """Run entries, of which some have a disk, and one upstream."""
    numbers = range(1, 1 + with_disk + without)
    seeds = [f'{base}.{number}' for number in list(numbers)[:3]]
    entries = [
        Entry(folder, number, base, number <= with_disk, seeds)
        for number in numbers
    ]
    desk = Desk(f'{base}.99:18300')
    server = web.ServerRunner(web.Server(desk.handle))
    await server.setup()
    await web.TCPSite(server, f'{base}.99', 18300).start()
    timeout = aiohttp.ClientTimeout(total=3.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = Site(entries, desk, session)
        beating = asyncio.ensure_future(found.beat_forever())
        for entry in entries:
            entry.start()
        try:
            yield found
        finally:
            beating.cancel()
            for entry in entries:
                if entry.process.poll() is None:
                    entry.signal(signal.SIGCONT)
                    entry.kill()
    await server.cleanup()
