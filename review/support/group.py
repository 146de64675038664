"""A group of model runners in lock-step, with expert maps.

Each rank serves reports, counts and orders at its own address, as the pages
say. The passes of all ranks are made by one loop, which notes a pass that
begins while two ranks have different maps.
"""

import asyncio
import collections
import functools
import json
import random
import time

import deployment

SETS, EXPERTS, PLACEMENTS, SPARE = 6, 64, 11, 4
SLOTS = 6
PASS_S = 0.03
COPY_S = 0.05
SHIFT_S = 2.5
# Age of the state in a report to another machine, as `report_lag_ms`.
REPORT_LAG_S = 0.2
# Port that runners announce; on their own machine they serve another one.
ANNOUNCED = 8081
# Events of a stream.
EVENTS = 28


class Stream:
    """A request at a rank; it runs from its first event on."""

    def __init__(self, id_, events, writer):
        """Keep the connection that its events are written to."""
        self.id, self.left, self.writer = id_, events, writer
        self.sent = 0
        self.is_over = asyncio.Event()

    def write(self, data):
        """Write a chunk of the answer."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))


class Rank:
    """The state of one rank.

    Attributes:
        queued: requests without an event yet.
        running: requests that have an event and go on.
    """

    def __init__(self, number, size):
        """Start on map 0."""
        self.number = number
        self.version = 0
        self.experts = [list(range(number, EXPERTS, size))] * SETS
        self.map_id = 0
        self.prepared = None
        self.highest = 0
        self.armed = None
        self.held = None
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.queued = []
        self.running = []

    def drop(self, stream):
        """Drop a request whose connection has ended."""
        for streams in (self.queued, self.running):
            if stream in streams:
                streams.remove(stream)
        stream.is_over.set()


class Group:
    """A group of ranks that begin each pass together.

    Attributes:
        mixed: passes that began on different maps.
        switched: versions that came into use.
        on_order: called with the rank and the order before it is carried
            out; returns the seconds by which the order is carried out late,
            without an answer, or None.
        after_order: called with the rank, the order and its status.
        on_wait: called with a pass that is held once the one before it has
            begun.
    """

    def __init__(self, site, size, service='pisar', load=None):
        """Create the ranks, one beside each ``side`` machine.

        Args:
            load: requests that run at each rank all the time, from callers
                that are not part of the case; None if there are none.
        """
        self.site, self.size, self.service = site, size, service
        self.load = load
        self.ranks = [Rank(number, size) for number in range(size)]
        self.step = 0
        self.mixed = []
        self.switched = []
        self.on_order = lambda rank, order: None
        self.after_order = lambda rank, order, status: None
        self.on_wait = lambda step: None
        self.history = collections.deque(maxlen=100)
        self.orders = 0
        self.late_orders = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        """Serve all ranks, send their heartbeats and make passes."""
        for rank in self.ranks:
            ip = self.site.sides[rank.number].ip
            for port in (deployment.RUNNER, ANNOUNCED):
                await asyncio.start_server(
                    functools.partial(self._serve, rank, port == ANNOUNCED),
                    ip,
                    port,
                )
            asyncio.ensure_future(self._beat_forever(rank, ip))
        asyncio.ensure_future(self._pass_forever())

    async def _pass_forever(self):
        while True:
            await asyncio.sleep(PASS_S)
            reports = [self._report(rank) for rank in self.ranks]
            self.history.append((time.monotonic(), reports))
            next_step = self.step + 1
            if any(rank.held == next_step for rank in self.ranks):
                continue
            if not self.load and not any(
                rank.queued or rank.running for rank in self.ranks
            ):
                continue
            self.step = next_step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= next_step:
                    rank.version, rank.map_id, rank.experts = rank.prepared
                    rank.prepared = rank.armed = None
                    self.switched.append(rank.version)
                self._advance(rank)
                self._count(rank)
            if any(rank.held == next_step + 1 for rank in self.ranks):
                self.on_wait(next_step + 1)
            maps = [(rank.version, rank.map_id) for rank in self.ranks]
            if len(set(maps)) != 1:
                self.mixed.append((next_step, maps))
                self.site.record.write(
                    'pass',
                    next_step,
                    'begins on versions',
                    [version for version, _ in maps],
                )

    def _count(self, rank):
        """Count the experts that the requests of a rank choose."""
        hot = int(self.site.record.now / SHIFT_S) % 8
        requests = self.load or len(rank.running)
        for index in range(SETS * EXPERTS):
            rank.counts[index] += requests * (6 if index % 8 == hot else 1)

    def _advance(self, rank):
        """Admit requests, and write one event of each that runs."""
        while rank.queued and len(rank.running) < SLOTS:
            rank.running.append(rank.queued.pop(0))
        for stream in list(rank.running):
            stream.sent += 1
            event = f'id: {stream.sent}\ndata: {stream.id}\n\n'
            stream.write(event.encode())
            if stream.sent == stream.left:
                stream.writer.write(b'0\r\n\r\n')
                rank.drop(stream)

    async def _serve(self, rank, is_remote, reader, writer):
        try:
            while True:
                line, headers, body = await deployment.read_message(reader)
                method, path, _ = line.split()
                if not path.startswith('/cassiashift/'):
                    await self._run(rank, headers, reader, writer)
                    return
                if method == 'GET':
                    status, content = 200, self._read(rank, path, is_remote)
                else:
                    status, content = await self._order(rank, body)
                if status is None:
                    # The order gets no answer.
                    await reader.read()
                    return
                writer.write(
                    deployment.encode(
                        status,
                        {'Content-Type': 'application/json'},
                        json.dumps(content).encode(),
                    )
                )
                await writer.drain()
        except (EOFError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _run(self, rank, headers, reader, writer):
        """Serve a request as a stream of events, one a pass."""
        id_ = headers.get('cassiashift-request-id', '')
        names = {'Cassiashift-Request-Id': id_}
        own = f'i-{rank.number}'
        if headers.get('cassiashift-expect-instance', own) != own:
            writer.write(deployment.encode(421, names))
            return
        names |= {
            'Cassiashift-Response-Stamp': f'{own}.{id_}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'Connection': 'close',
        }
        head = ['HTTP/1.1 200 OK', *(f'{k}: {v}' for k, v in names.items())]
        writer.write('\r\n'.join([*head, '', '']).encode())
        stream = Stream(id_, EVENTS, writer)
        rank.queued.append(stream)
        ended = asyncio.ensure_future(reader.read())
        over = asyncio.ensure_future(stream.is_over.wait())
        await asyncio.wait([ended, over], return_when='FIRST_COMPLETED')
        rank.drop(stream)
        ended.cancel()
        self.site.record.write(
            'runner', own, 'ends', id_, f'{stream.sent}/{EVENTS} events'
        )

    def _report(self, rank):
        """Return the report of a rank."""
        armed = rank.armed
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': rank.sequence,
            'queued': len(rank.queued),
            'running': self.load or len(rank.running),
            'kvUsed': 41000,
            'kvTotal': 186000,
            'handles': 0,
            'born': self.born,
            'group': {
                'name': 'g-1',
                'epoch': 1,
                'rank': rank.number,
                'state': 'open',
            },
            'size': self.size,
            'step': self.step,
            'expertMap': rank.version,
            'prepared': rank.prepared and rank.prepared[0],
            'armed': armed and {'version': armed[0], 'step': armed[1]},
            'held': rank.held,
            'pace': 1.0,
        }

    def _read(self, rank, path, is_remote):
        """Return the content of an answer to a GET."""
        if path.startswith('/cassiashift/report'):
            latest = time.monotonic() - REPORT_LAG_S
            if is_remote:
                for at, reports in reversed(self.history):
                    if at <= latest:
                        return reports[rank.number]
            return self._report(rank)
        if 'lists' in path:
            return {
                'step': self.step,
                'epoch': 1,
                'expertMap': {
                    'version': rank.version,
                    'experts': rank.experts,
                },
                'prepared': None,
            }
        return {'step': self.step, 'epoch': 1, 'counts': rank.counts}

    async def _order(self, rank, body):
        order = json.loads(body)
        self.orders += 1
        late_s = self.on_order(rank, order)
        if late_s is not None:
            self.late_orders += 1
            self._note(rank, order, f'no answer, late by {late_s} s')
            asyncio.get_running_loop().call_later(
                late_s, self._carry_out, rank, order, True
            )
            return None, {}
        status = self._carry_out(rank, order)
        self.after_order(rank, order, status)
        return status, {}

    def _note(self, rank, order, outcome):
        words = [
            f'{name}={order[name]}'
            for name in ('version', 'step')
            if name in order
        ]
        self.site.record.write(
            'order',
            order['op'],
            'rank',
            rank.number,
            *words,
            outcome,
            f'(last pass {self.step})',
        )

    def _carry_out(self, rank, order, is_late=False):
        if order.get('epoch', 1) != 1:
            status = 409
        else:
            status = getattr(self, f'_{order["op"]}')(rank, order)
        if status == 202:
            rank.sequence += 1
        if order['op'] != 'prepare' or status != 409:
            self._note(rank, order, f'{"late " if is_late else ""}{status}')
        return status

    def _prepare(self, rank, order):
        version = order['version']
        if rank.prepared and rank.prepared[0] == version:
            return 200
        if version <= max(rank.highest, rank.version) or rank.armed:
            return 409
        lists = order['expertMap']
        rows = [row[rank.number] for row in lists]
        new = [
            len(set(row) - set(old))
            for row, old in zip(rows, rank.experts, strict=True)
        ]
        if max(new) > SPARE or max(map(len, rows)) > PLACEMENTS:
            return 409
        rank.highest = version
        prepared = version, hash(json.dumps(lists)), rows
        if not sum(new):
            rank.prepared = prepared
            return 202

        def complete():
            if rank.highest == version and rank.armed is None:
                rank.prepared = prepared

        delay_s = COPY_S * sum(new)
        asyncio.get_running_loop().call_later(delay_s, complete)
        return 202

    def _arm(self, rank, order):
        wanted = order['version'], order['step']
        if rank.armed == wanted:
            return 200
        is_prepared = rank.prepared and rank.prepared[0] == wanted[0]
        if not is_prepared or wanted[1] <= self.step:
            return 409
        rank.armed = wanted
        return 202

    def _disarm(self, rank, order):
        if rank.version == order['version']:
            return 409
        if rank.armed and rank.armed[0] == order['version']:
            rank.armed = None
            return 202
        return 200

    def _hold(self, rank, order):
        if rank.held == order['step']:
            return 200
        if rank.held is not None or order['step'] <= self.step:
            return 409
        rank.held = order['step']
        if rank.held == self.step + 1:
            self.on_wait(rank.held)
        return 202

    def _go(self, rank, order):
        if rank.held == order['step']:
            rank.held = None
            return 202
        return 200

    async def _beat_forever(self, rank, ip):
        sequence = 0
        while True:
            sequence += 1
            beat = {
                'service': self.service,
                'address': f'{ip}:{ANNOUNCED}',
                'zone': deployment.ZONES[rank.number % 3],
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': sequence,
                'born': self.born,
            }
            fronts = self.site.fronts[:]
            random.shuffle(fronts)
            for machine in fronts:
                answer = await deployment.call(
                    machine.ip,
                    deployment.CONTROL,
                    'POST',
                    f'/cassiashift/instances/i-{rank.number}/heartbeat',
                    {'Content-Type': 'application/json'},
                    json.dumps(beat).encode(),
                )
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(1.2)


def document(version):
    """Return a configuration with one service of model runners."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'quote',
                'host': deployment.HOST,
                'pathPrefix': '/quote/',
                'kind': 'streaming',
                'timeoutMs': 8000,
                'targetLatencyMs': 402,
                'priority': 1,
                'service': 'pisar',
                'attempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
                'targetGapMs': 120,
            }
        ],
        'services': [
            {
                'name': 'pisar',
                'healthPath': '/healthz',
                'maxConnections': 438,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': SLOTS,
                    'kvCapacityTokens': 186000,
                    'kvTokenBytes': 192512,
                    'linkMbps': 92000.0,
                    'stride': 5,
                    'models': [{'name': 'm'}],
                    'step_ms': 5.85,
                    'per_seq_ms': 0.71,
                    'context_per_k': 0.072,
                    'read_per_s': 61200.0,
                    'pairs_per_m': 0.325,
                    'chunk': 512,
                    'report_lag_ms': 200.0,
                    'loadsPerS': 0.0,
                    'loads_at_once': 8,
                    'delays': [],
                    'usual': {'prompt': 835, 'answer': 138},
                    'sets': SETS,
                    'experts': EXPERTS,
                    'placements': PLACEMENTS,
                    'spare': SPARE,
                    'expertMb': 580.0,
                    'expertShare': 0.85,
                    'form_ms': 600.0,
                },
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': deployment.TENANT,
                'apiKeys': [deployment.KEY],
                'priority': 1,
            }
        ],
    }
