"""Runs entries of the users' platform as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
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
TIMEOUT_S = 20.0
# How long a process loads depends on the host; only a hang takes longer.
LOAD_TIMEOUT_S = 120.0
MODULE = 'cassiashift_platform.main'
HOST = 'a.example'


def document(version, *routes, **fields):
    """Return a configuration with the routes read, book and ``routes``."""
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
        base: the first three parts of its address.
        seeds: addresses of hosts to contact first.
        is_first: it has never been started.
        settings: fields of the settings file beside the usual ones.
        module: the module that is run.
        started_at: time of its newest start.
    """

    folder: pathlib.Path
    number: int
    base: str
    has_disk: bool
    seeds: list[str]
    is_first: bool = True
    process: subprocess.Popen | None = None
    settings: dict = attrs.field(factory=dict)
    module: str = MODULE
    started_at: float = 0.0
    _log_length: int = 0
    _has_loaded: bool = False

    @property
    def ip(self):
        """Return its loopback address."""
        return f'{self.base}.{self.number}'

    @property
    def data_dir(self):
        """Return the path of its data folder."""
        return self.folder / f'data-{self.number}'

    @property
    def log_path(self):
        """Return the path of the log of all starts."""
        return self.folder / f'entry-{self.number}.log'

    def url(self, name, path):
        """Return the URL of a path at the listener of a name."""
        return f'http://{self.ip}:{PORTS[name]}{path}'

    def start(self):
        """Write the settings file and start the process."""
        settings = {
            'nodeName': f'entry-{self.number}',
            'ip': self.ip,
            'zone': 'east',
            'region': 'r',
            'zones': {'east': 'r', 'west': 'r'},
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
        } | self.settings
        path = self.folder / f'settings-{self.number}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self._log_length = 0 if self.is_first else len(self.log())
        self._has_loaded = False
        self.started_at = time.monotonic()
        log = self.log_path.open('ab')
        with log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', self.module, 'entry'],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {'CASSIASHIFT_CONFIG': str(path)},
            )
        self.is_first = False

    def is_loading(self):
        """Return whether its process runs but doesn't listen yet."""
        if self._has_loaded or self.process.poll() is not None:
            return False
        self._has_loaded = ' event=started ' in self.log()[self._log_length :]
        is_hung = time.monotonic() > self.started_at + LOAD_TIMEOUT_S
        return not self._has_loaded and not is_hung

    def describe(self):
        """Return the state of its process and the end of its log."""
        state = 'loading' if self.is_loading() else 'running'
        if self.process.poll() is not None:
            state = f'ended with {self.process.returncode}'
        lines = self.log()[self._log_length :].splitlines()[-3:]
        return '\n'.join([f'entry {self.number} is {state}', *lines])

    def signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    async def handles_signal(self, number):
        """Return whether the process ignores or catches a signal."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        masks = dict(line.split(':\t') for line in status.splitlines())
        handled = int(masks['SigIgn'], 16) | int(masks['SigCgt'], 16)
        return bool(handled >> (number - 1) & 1)

    def waited_s(self):
        """Return how long its main thread has waited for a processor."""
        try:
            path = pathlib.Path(f'/proc/{self.process.pid}/schedstat')
            return int(path.read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    def kill(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def end(self):
        """Kill the process if it runs, also if it is suspended."""
        if self.process.poll() is None:
            self.kill()

    def wipe(self):
        """Delete the data folder."""
        shutil.rmtree(self.data_dir)

    def log(self):
        """Return the log of all starts of the process so far."""
        return self.log_path.read_text()


@attrs.define(eq=False)
class CountingUpstream:
    """An upstream that counts how often each request ran.

    Attributes:
        ran: number of runs by request id.
        work_s: time that a request takes.
        pause_ends_at: time until which it refuses requests and asks for a
            pause to that time.
        refused_at: times of these refusals.
        limit_per_s: requests a second that its answers name as its limit;
            None while they name none.
        arrived_at: times of all requests.
        arrived_ids: ids of these requests.
        is_leaving: its answers say that it leaves; its heartbeats don't.
        cold_until: time until which its heartbeats and answers state that it
            is cold; None if they state nothing.
        cold_arrived_at: times of the requests that arrived while it was cold.
        born: number of its start.
        slots: requests that it runs at once.
    """

    address: str
    ran: dict[str, int] = attrs.field(factory=dict)
    work_s: float = 0.01
    pause_ends_at: float = 0.0
    refused_at: list[float] = attrs.field(factory=list)
    limit_per_s: float | None = None
    arrived_at: list[float] = attrs.field(factory=list)
    arrived_ids: list[str] = attrs.field(factory=list)
    is_leaving: bool = False
    cold_until: float | None = None
    cold_arrived_at: list[float] = attrs.field(factory=list)
    born: int = 1
    slots: int = 20

    def become_cold(self, for_s):
        """Become cold for some seconds."""
        self.cold_until = time.monotonic() + for_s

    @property
    def cold_ms(self):
        """Return the milliseconds for which it stays cold, or None."""
        if self.cold_until is None:
            return None
        return max(0.0, 1000 * (self.cold_until - time.monotonic()))

    async def handle(self, request):
        """Run a request and answer with its id."""
        id_ = request.headers['Cassiashift-Request-Id']
        now = time.monotonic()
        self.arrived_at.append(now)
        self.arrived_ids.append(id_)
        headers = {'Cassiashift-Request-Id': id_}
        if self.cold_ms is not None:
            headers['Cassiashift-Cold-Ms'] = f'{self.cold_ms:.0f}'
        if self.cold_ms:
            self.cold_arrived_at.append(now)
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        if self.limit_per_s is not None:
            headers['Server-Limit'] = f'{self.limit_per_s:g}'
        if now < self.pause_ends_at:
            self.refused_at.append(now)
            headers['Cassiashift-Not-Executed'] = '1'
            headers['Retry-After'] = f'{self.pause_ends_at - now:.3f}'
            return web.Response(status=503, headers=headers)
        self.ran[id_] = self.ran.get(id_, 0) + 1
        await asyncio.sleep(self.work_s)
        headers['Cassiashift-Response-Stamp'] = 's'
        return web.Response(body=id_.encode(), headers=headers)


@attrs.define(eq=False)
class Site:
    """Running entries, one upstream and an HTTP client."""

    entries: list[Entry]
    upstream: CountingUpstream
    session: aiohttp.ClientSession
    sequence: int = 0

    async def put(self, entry, config):
        """Send a configuration; return the status, 0 without an answer."""
        content = json.dumps(config).encode()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.post(
                entry.url('control', '/cassiashift/config/put'), data=content
            ) as response:
                return response.status
        return 0

    async def get(self, entry):
        """Return the version of the newest configuration; None on errors."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(
                entry.url('control', '/cassiashift/config/get')
            ) as response:
                if response.status == 200:
                    return (await response.json())['version']
        return None

    async def evacuate(self, entry, name, action, body=None):
        """Order an evacuation; return the status, 0 without an answer."""
        path = f'/cassiashift/evacuations/{name}/{action}'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.post(
                entry.url('control', path), data=body
            ) as response:
                return response.status
        return 0

    async def evacuate_until_acknowledged(self, entry, name, action):
        """Order an evacuation until the order is acknowledged."""

        async def is_acknowledged():
            return await self.evacuate(entry, name, action) == 200

        await self.wait_until(is_acknowledged)

    async def call(self, entry, route, id_):
        """Send a request; return status and body, 0 without an answer."""
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
        """Return whether an entry is ready; False without an answer."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(
                entry.url('readinessAddress', '/cassiashift/readyz')
            ) as response:
                return response.status == 200
        return False

    async def send_heartbeats_forever(self):
        """Send the upstream's heartbeats, to each entry in turn."""
        while True:
            self.sequence += 1
            entry = self.entries[self.sequence % len(self.entries)]
            body = {
                'service': 'desk',
                'address': self.upstream.address,
                'zone': 'east',
                'state': 'ready',
                'slots': self.upstream.slots,
                'sequence': self.sequence,
                'born': self.upstream.born,
            }
            if self.upstream.cold_ms is not None:
                body['coldRemainingMs'] = self.upstream.cold_ms
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    entry.url('control', '/cassiashift/instances/d/heartbeat'),
                    data=json.dumps(body),
                ) as response:
                    await response.read()
            await asyncio.sleep(0.2)

    async def wait_until(self, check, *args, timeout_s=TIMEOUT_S):
        """Call a coroutine function until its result is true; return it.

        Fails ``timeout_s`` after all processes have loaded.
        """
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            result = await check(*args)
            if result:
                return result
            await asyncio.sleep(0.05)
            if any([entry.is_loading() for entry in self.entries]):
                ends_at = time.monotonic() + timeout_s
        states = '\n'.join(entry.describe() for entry in self.entries)
        raise AssertionError(f'{check.__name__} stayed false\n{states}')

    async def put_until_acknowledged(self, entry, config):
        """Send a configuration until it is acknowledged."""

        async def is_acknowledged():
            return await self.put(entry, config) == 200

        await self.wait_until(is_acknowledged)

    async def require_version_read(self, entry, version):
        """Read at an entry until it answers; fail on an older version."""
        read_version = await self.wait_until(self.get, entry)
        if read_version < version:
            raise AssertionError(f'{read_version} was read after {version}')


@contextlib.asynccontextmanager
async def site(
    folder,
    base,
    with_disk=3,
    without=2,
    settings=None,
    upstream_class=CountingUpstream,
    module=MODULE,
):
    """Run entries with and without a disk, and one upstream."""
    numbers = range(1, 1 + with_disk + without)
    seeds = [f'{base}.{number}' for number in list(numbers)[:3]]
    entries = [
        Entry(
            folder,
            number,
            base,
            number <= with_disk,
            seeds,
            settings=settings or {},
            module=module,
        )
        for number in numbers
    ]
    upstream = upstream_class(f'{base}.99:18300')
    server = web.ServerRunner(web.Server(upstream.handle))
    await server.setup()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.cleanup)
        await web.TCPSite(server, f'{base}.99', 18300).start()
        timeout = aiohttp.ClientTimeout(total=3.0)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        running = Site(entries, upstream, session)
        heartbeats = asyncio.ensure_future(running.send_heartbeats_forever())
        stack.callback(heartbeats.cancel)
        for entry in entries:
            entry.start()
            stack.callback(entry.end)
        yield running
