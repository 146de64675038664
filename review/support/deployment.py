"""A small deployment on loopback addresses, as the platform would run it.

Only the standard library is used. The processes of the system are started
with the commands of the deploy file; runners, clients and the operator are
coroutines of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('trnava', 'nitra', 'senec')
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
FRONT, READY, CONTROL, DIRECTORY = 8227, 8220, 8229, 8224
LINKS = (7340, 7355)
RUNNER = 8080
# As in the sheet of the small deployments.
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
    """The case can't be run on this machine."""


def free_base():
    """Return the first three parts of loopback addresses that are free."""
    for _ in range(50):
        base = f'127.{random.randint(40, 250)}.{random.randint(1, 250)}'
        try:
            for port in (FRONT, READY, CONTROL, DIRECTORY, LINKS[0]):
                with socket.socket() as sock:
                    sock.bind((f'{base}.10', port))
        except OSError:
            continue
        return base
    raise CannotRunError('no free loopback addresses')


class Record:
    """The record of a case."""

    def __init__(self, path):
        """Open the file; times in it count from now."""
        self._file = path.open('w')
        self._began = time.monotonic()

    @property
    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, *words):
        """Write a line with the time."""
        line = ' '.join(str(word) for word in words)
        print(f'{self.now:8.3f} {line}', file=self._file, flush=True)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, site, name, ip, zone, role, fields):
        """Keep what the settings of the process are made of."""
        self.site, self.name, self.ip = site, name, ip
        self.role = role
        self.process = None
        self.is_first = True
        self.bootstrap = True
        self.data = site.folder / f'data-{name}'
        self.fields = {
            'nodeName': name,
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': 'zapad',
            'zones': dict.fromkeys(ZONES, 'zapad'),
            'portRange': list(LINKS),
            'seeds': [],
            'heartbeatMs': 1200,
            'discovery': 'registration',
            'entry': 'directory',
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
        } | fields

    def start(self):
        """Write the settings and start the process.

        ``bootstrap`` is true at the first start of the whole system only.
        """
        self.bootstrap = self.is_first
        path = self.write_settings()
        log = (self.site.folder / f'{self.name}.log').open('ab')
        deps = str(ROOT / 'target' / 'deps')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'cassiashift_platform.main', self.role],
                cwd=ROOT,
                env=env
                | {
                    'CASSIASHIFT_CONFIG': str(path),
                    'PYTHONPATH': deps,
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_first = False
        self.site.record.write('started', self.name, self.ip)

    def write_settings(self):
        """Write the settings file; return its path."""
        fields = self.fields | {'bootstrap': self.bootstrap}
        path = self.site.folder / f'settings-{self.name}.yaml'
        path.write_text(json.dumps(fields))
        return path

    def send(self, number):
        """Send the process a signal."""
        self.site.record.write(signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def log(self):
        """Return what the process has logged."""
        return (self.site.folder / f'{self.name}.log').read_text()


class Site:
    """Machines, and the calls of the operator and of clients."""

    def __init__(self, record, plain=2, sides=0, app_service=''):
        """Create three core machines, plain ones and ``side`` ones."""
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.base = free_base()
        self.fronts, self.sides = [], []
        for number in range(1, 4 + plain):
            self.fronts.append(self.new_front(number, number < 4))
        for number in range(sides):
            ip = f'{self.base}.{100 + number}'
            fields = {
                'machineClass': 'side',
                'serves': ['side'],
                'listen': {},
                'app': f'{ip}:{RUNNER}',
                'service': app_service,
                'faultCounted': False,
                'limits': {'memoryMb': 168, 'maxFds': 2048},
            }
            self.sides.append(
                Machine(
                    self,
                    f'side-{number}',
                    ip,
                    ZONES[number % 3],
                    'agent',
                    fields,
                )
            )
        self.set_seeds(self.machines, [item.ip for item in self.fronts[:3]])

    def new_front(self, number, has_disk):
        """Return a machine that serves callers, control and directory."""
        ip = f'{self.base}.{number}'
        fields = {
            'machineClass': 'front',
            'serves': ['front', 'control', 'directory'],
            'listen': {
                'front': f'{ip}:{FRONT}',
                'readinessAddress': f'{ip}:{READY}',
                'control': f'{ip}:{CONTROL}',
                'directory': f'{ip}:{DIRECTORY}',
            },
            'faultCounted': has_disk,
            'limits': {
                'cpuShare': 0.968,
                'cpuCores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 64,
            },
        }
        machine = Machine(
            self, f'front-{number}', ip, ZONES[number % 3], 'entry', fields
        )
        if has_disk:
            machine.fields['dataDir'] = str(machine.data)
        return machine

    def set_seeds(self, machines, ips):
        """Set the seeds in the settings of machines."""
        for machine in machines:
            machine.fields['seeds'] = [f'{ip}:{CONTROL}' for ip in ips]

    @property
    def machines(self):
        """Return all machines."""
        return [*self.fronts, *self.sides]

    def start(self):
        """Start the process of every machine."""
        for machine in self.machines:
            machine.start()

    def close(self):
        """End every process that this site has started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put(self, machine, document, patience_s=1.0):
        """Send a configuration; return the status, 0 without an answer."""
        answer = await call(
            machine.ip,
            CONTROL,
            'POST',
            '/cassiashift/config/put',
            {'Content-Type': 'application/json'},
            json.dumps(document).encode(),
            patience_s,
        )
        self.record.write(
            'operator put',
            document['version'],
            'at',
            machine.name,
            'answered',
            answer.status,
        )
        return answer.status

    async def put_until_acknowledged(self, document, until_s):
        """Send a configuration, to any node, until it is acknowledged.

        Returns:
            whether it was by ``until_s``.
        """
        number = 0
        while self.record.now < until_s:
            number += 1
            machine = self.fronts[number % len(self.fronts)]
            if await self.put(machine, document) == 200:
                return True
            await asyncio.sleep(min(0.1 * number, 1.0))
        return False

    async def wait_ready(self, until_s):
        """Wait until all fronts are ready; return whether they are."""
        while self.record.now < until_s:
            answers = await asyncio.gather(
                *(
                    call(item.ip, READY, 'GET', '/cassiashift/readyz')
                    for item in self.fronts
                )
            )
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False


class Answer:
    """An answer; the status is 0 if none came or it was incomplete."""

    def __init__(self, status=0, headers=None, body=b''):
        """Keep the parts."""
        self.status, self.headers, self.body = status, headers or {}, body


async def read_message(reader):
    """Read one HTTP/1.1 message; return first line, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


async def call(ip, port, method, path, headers=None, body=b'', patience_s=1.0):
    """Send a request on a new connection; return the answer."""
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {'Host': f'{ip}:{port}', 'Connection': 'close'}
            fields |= headers or {}
            if body or method != 'GET':
                fields['Content-Length'] = str(len(body))
            head = [f'{method} {path} HTTP/1.1']
            head += [f'{name}: {value}' for name, value in fields.items()]
            writer.write('\r\n'.join([*head, '', '']).encode() + body)
            line, got, content = await read_message(reader)
            return Answer(int(line.split()[1]), got, content)
    except (TimeoutError, OSError, EOFError, ValueError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()


async def call_stream(ip, path, headers, gap_s, patience_s):
    """Send a request to a front; return status and number of events.

    The client leaves after a gap of ``gap_s``. The number is negative if the
    stream did not end.
    """
    writer = None
    status = events = 0
    try:
        async with asyncio.timeout(patience_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, FRONT)
            fields = headers | {'Content-Length': '0'}
            head = [f'POST {path} HTTP/1.1']
            head += [f'{name}: {value}' for name, value in fields.items()]
            writer.write('\r\n'.join([*head, '', '']).encode())
            async with asyncio.timeout(gap_s):
                got = await reader.readuntil(b'\r\n\r\n')
            status = int(got.split()[1])
            if status != 200:
                return status, 0
            while True:
                async with asyncio.timeout(gap_s):
                    size = int(await reader.readline(), 16)
                    piece = await reader.readexactly(size + 2)
                if not size:
                    return status, events
                events += piece.count(b'\n\n')
    except (TimeoutError, OSError, EOFError, ValueError):
        return status, -1 - events
    finally:
        if writer is not None:
            writer.close()


class PlainRunner:
    """A runner of a plain service; keeps what it has run.

    Attributes:
        ran: for each request that ran its id, request line, headers and body.
    """

    def __init__(self, site, id_, service, ip, work_s=0.0225):
        """Keep its identity and address."""
        self.site, self.id, self.service, self.ip = site, id_, service, ip
        self.work_s = work_s
        self.ran = []
        self.born = int(time.time() * 1000)
        self._server = None
        self._beats = None

    async def start(self):
        """Serve requests and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.ip, RUNNER)
        self._beats = asyncio.ensure_future(self._beat_forever())

    async def stop(self):
        """Stop serving."""
        self._beats.cancel()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.answer(*message))
                await writer.drain()
        except (EOFError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        """Run a request and return the bytes of the answer."""
        id_ = headers.get('cassiashift-request-id', '')
        wanted = headers.get('cassiashift-expect-instance', self.id)
        if wanted != self.id:
            return encode(421, {'Cassiashift-Request-Id': id_})
        self.ran.append((id_, line, headers, body))
        self.site.record.write(
            'runner', self.id, 'runs', id_, line, len(body), 'bytes'
        )
        await asyncio.sleep(self.work_s)
        return encode(
            200,
            {
                'Cassiashift-Request-Id': id_,
                'Cassiashift-Response-Stamp': f'{self.id}.{len(self.ran)}',
            },
            f'done {id_}'.encode(),
        )

    async def _beat_forever(self):
        sequence = 0
        while True:
            sequence += 1
            beat = {
                'service': self.service,
                'address': f'{self.ip}:{RUNNER}',
                'zone': ZONES[0],
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'coldRemainingMs': 0,
                'sequence': sequence,
                'born': self.born,
            }
            fronts = self.site.fronts[:]
            random.shuffle(fronts)
            for machine in fronts:
                answer = await call(
                    machine.ip,
                    CONTROL,
                    'POST',
                    f'/cassiashift/instances/{self.id}/heartbeat',
                    {'Content-Type': 'application/json'},
                    json.dumps(beat).encode(),
                )
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(1.2)


def encode(status, headers, body=b''):
    """Return the bytes of an answer."""
    head = [f'HTTP/1.1 {status} X']
    fields = headers | {'Content-Length': str(len(body))}
    head += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join([*head, '', '']).encode() + body


def document(version, **changes):
    """Return a configuration with a safe and an unsafe route."""
    routes = [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 1000,
            'targetLatencyMs': 128,
            'priority': 2,
            'service': 'sklad',
            'attempts': attempts,
            'public': False,
            'sticky': False,
            'resumable': False,
        }
        for name, kind, attempts in (
            ('book', 'unsafe', 1),
            ('read', 'safe', 2),
        )
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'sklad',
                'healthPath': '/healthz',
                'maxConnections': 130,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    } | changes


def client_headers(id_, deadline_ms=1020):
    """Return the headers of a client's request."""
    return {
        'Host': HOST,
        'Cassiashift-Request-Id': id_,
        'Cassiashift-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {KEY}',
    }


def run(play, record, **options):
    """Run a case and exit: 1 broken, 0 held, 2 could not run.

    Every process that it has started is ended, also if it is interrupted.

    Args:
        play: coroutine function that gets the site and returns whether the
            rule held.
        record: path of the file that takes what was sent, answered and run.
    """
    site = None

    async def main():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await play(site)
        finally:
            site.close()

    try:
        site = Site(record, **options)
        held = asyncio.run(main())
        site.record.write('the rule held' if held else 'the rule was broken')
        sys.exit(0 if held else 1)
    except (Exception, asyncio.CancelledError) as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        if site is not None:
            site.record.write('could not run', repr(exc))
        sys.exit(2)
