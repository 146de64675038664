"""Runs the programs of the deploy file as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import aiohttp
import yaml

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {
    'front': 18227,
    'readinessAddress': 18220,
    'control': 18229,
    'directory': 18224,
}
LINK_PORTS = [17340, 17355]
METRICS_PORT = 9464
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
# The bounds of sites/smotana-route.toml, as its settings files hold them.
BOUNDS = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'contactMs': 3000,
    'ackTimeoutMs': 4000,
    'catchUpS': 4,
    'drainTimeoutMs': 2000,
    'gracePeriodS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'regressionSlackMs': 250,
    'maxSkewMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 98,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'stall_ms': 1500,
    'requireFence': False,
    'ttl_max_s': 5,
}


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


def free_base():
    """Return the first three numbers of loopback addresses with free ports."""
    rng = random.SystemRandom()
    ports = [*PORTS.values(), LINK_PORTS[0], METRICS_PORT, 18400]
    for _ in range(50):
        base = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        try:
            for port in ports:
                with socket.socket() as sock:
                    sock.bind((f'{base}.1', port))
        except OSError:
            continue
        return base
    raise CannotRunError('no free loopback addresses')


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, folder):
        """Begin an empty record in a case's folder."""
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def write(self, text):
        """Add a line with the time since the start, in seconds."""
        now = time.monotonic() - self._started
        self._file.write(f'{now:8.3f} {text}\n')
        self._file.flush()


class Process:
    """One process of the system.

    Attributes:
        name: name of its files.
        role: ``entry`` or ``agent``.
    """

    def __init__(self, folder, name, role, settings):
        """Describe a process that is not started yet."""
        self.name = name
        self.role = role
        self.settings = settings
        self.ip = settings['ip']
        self.process = None
        self._path = folder / f'{name}.yaml'
        self.log_path = folder / f'{name}.log'

    def start(self):
        """Write the settings file and start the process."""
        self._path.write_text(yaml.safe_dump(self.settings))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['CASSIASHIFT_CONFIG'] = str(self._path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'cassiashift_platform.main', self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        # The whole system starts for the first time only once.
        self.settings = self.settings | {'bootstrap': False}

    def signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def url(self, listener, path):
        """Return the URL of a path at one of an entry's listeners."""
        return f'http://{self.ip}:{PORTS[listener]}{path}'


class Deployment:
    """Entries with disks and agents, started as the platform does."""

    def __init__(self, base, folder, record):
        """Create a deployment without processes."""
        self.base = base
        self.folder = folder
        self.record = record
        self.entries = []
        self.agents = []
        self.session = None

    def add_entries(self, count, zones=('trnava', 'nitra', 'senec')):
        """Add entries with a disk, one zone after the other."""
        seeds = [
            f'{self.base}.{n}:{PORTS["control"]}'
            for n in range(1, min(count, 3) + 1)
        ]
        for number in range(1, count + 1):
            ip = f'{self.base}.{number}'
            data = self.folder / f'data-{number}'
            self.entries.append(
                Process(
                    self.folder,
                    f'entry-{number}',
                    'entry',
                    self._common(ip, zones[(number - 1) % len(zones)], zones)
                    | {
                        'role': 'entry',
                        'machineClass': 'front',
                        'serves': ['front', 'control', 'directory'],
                        'listen': {
                            name: f'{ip}:{port}'
                            for name, port in PORTS.items()
                        },
                        'seeds': seeds,
                        'faultCounted': True,
                        'dataDir': str(data),
                        'limits': {
                            'cpuShare': 0.968,
                            'cpuCores': 2,
                            'memoryMb': 300,
                            'maxFds': 4100,
                            'linkMbps': 1000.0,
                            'diskMb': 64,
                        },
                    },
                )
            )

    def add_agent(self, ip, service, app, zone, zones):
        """Add the agent beside a model runner."""
        self.agents.append(
            Process(
                self.folder,
                f'agent-{len(self.agents)}',
                'agent',
                self._common(ip, zone, zones)
                | {
                    'role': 'agent',
                    'machineClass': 'side',
                    'serves': ['side'],
                    'seeds': [
                        f'{item.ip}:{PORTS["control"]}'
                        for item in self.entries[:3]
                    ],
                    'service': service,
                    'app': app,
                    'limits': {
                        'cpuShare': 0.645,
                        'cpuCores': 1,
                        'memoryMb': 168,
                        'maxFds': 2048,
                        'linkMbps': 10.0,
                    },
                },
            )
        )

    def _common(self, ip, zone, zones):
        return {
            'nodeName': f'node-{ip.rpartition(".")[2]}',
            'ip': ip,
            'zone': zone,
            'region': 'zapad',
            'zones': dict.fromkeys(zones, 'zapad'),
            'portRange': LINK_PORTS,
            'bootstrap': True,
            'discovery': 'registration',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'engine',
                'stream',
                'tenants',
                'experts',
            ],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'configMode': 'highest',
        }

    async def put(self, entry, document):
        """Send a configuration; return the status, 0 without an answer."""
        try:
            async with self.session.post(
                entry.url('control', '/cassiashift/config/put'),
                data=json.dumps(document).encode(),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=2.0),
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def put_until_acknowledged(self, document, timeout_s=40.0):
        """Send a configuration to one entry after the other until a 200."""
        ends_at = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < ends_at:
            entry = self.entries[number % len(self.entries)]
            number += 1
            status = await self.put(entry, document)
            if status == 200:
                self.record.write(
                    f'configuration {document["version"]} acknowledged'
                    f' by {entry.name}'
                )
                return
            await asyncio.sleep(0.2)
        raise CannotRunError('the configuration was not acknowledged')

    async def wait_ready(self, timeout_s=40.0):
        """Wait until all entries say that they are ready."""
        ends_at = time.monotonic() + timeout_s
        for entry in self.entries:
            while not await self._is_ready(entry):
                if time.monotonic() > ends_at:
                    raise CannotRunError(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)

    async def _is_ready(self, entry):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.get(
                entry.url('readinessAddress', '/cassiashift/readyz'),
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        return False

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all processes; end them on leaving."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as self.session:
            try:
                for process in (*self.entries, *self.agents):
                    process.start()
                yield self
            finally:
                for process in (*self.entries, *self.agents):
                    process.end()


def play(folder, run):
    """Play a case in a temporary folder; return the status to exit with.

    Args:
        folder: the case's folder.
        run: coroutine function of a deployment, whether there is trouble,
            and the record; returns a line on how the rule was broken, or
            None.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.write(f'trouble={trouble}')
    temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    # An interrupt ends the processes as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        deployment = Deployment(free_base(), temporary, record)
        broken = asyncio.run(run(deployment, trouble, record))
    except CannotRunError as exc:
        record.write(f'not played: {exc}')
        print(f'not played: {exc}')
        return 2
    finally:
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                temporary, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(temporary, ignore_errors=True)
    line = f'BROKEN: {broken}' if broken else 'the rule held'
    record.write(line)
    print(line)
    return 1 if broken else 0
