"""Stand-in of the model runners of one group, after PROTOCOL.md.

All ranks run in this process, each at an address of its own, and execute each
pass together. Orders are carried out at once and answered, unless a case
leaves one unanswered and carries it out late.
"""

import asyncio
import contextlib
import json
import time

from aiohttp import web

SERVICE = 'pisar'
PORT = 18400
STRIDE = 5
STEP_S = 0.00585
PER_SEQ_S = 0.00071
EXPERT_SHARE = 0.85
SETS = 6
EXPERTS = 64
PLACEMENTS = 11
SPARE = 4
SLOTS = 6
# 580 MB over 92,000 Mbit/s.
COPY_S = 0.05
TOKENS_A_PASS = 40
HEARTBEAT_S = 1.2
# Stated age of the state in a report to another machine.
REPORT_LAG_S = 0.2


def engine_document():
    """Return the ``engine`` of the service in a configuration."""
    return {
        'slots': SLOTS,
        'kvCapacityTokens': 186000,
        'kvTokenBytes': 192512,
        'linkMbps': 92000.0,
        'stride': STRIDE,
        'models': [{'name': 'm'}],
        'step_ms': 1000 * STEP_S,
        'per_seq_ms': 1000 * PER_SEQ_S,
        'context_per_k': 0.072,
        'read_per_s': 61200.0,
        'pairs_per_m': 0.325,
        'chunk': 512,
        'report_lag_ms': 1000 * REPORT_LAG_S,
        'loadsPerS': 0.0,
        'loads_at_once': 8,
        'delays': [],
        'usual': {'prompt': 835, 'answer': 138},
        'sets': SETS,
        'experts': EXPERTS,
        'placements': PLACEMENTS,
        'spare': SPARE,
        'expertMb': 580.0,
        'expertShare': EXPERT_SHARE,
        'form_ms': 600.0,
    }


class Rank:
    """State of one rank."""

    def __init__(self, number, size, address):
        """Start on map 0 with nothing prepared, armed or held."""
        self.number = number
        self.id = f'i-rank-{number}'
        self.address = address
        self.map_version = 0
        self.experts = tuple(
            tuple(range(number, EXPERTS, size)) for _ in range(SETS)
        )
        self.prepared = None
        self.highest = 0
        self.armed = None
        self.held = None
        self.running = 0
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)


class Group:
    """The ranks of a group, in lock-step.

    Attributes:
        late: called with rank and order; returns whether the order gets no
            answer and is carried out later, by ``carry_out``.
        popular: the rank whose experts on map 0 are in demand.
        popular_share: share of the choices that these get.
        mixed: descriptions of passes that began on more than one map.
    """

    def __init__(self, base, size, record, late=lambda rank, order: False):
        """Create ranks at addresses of their own."""
        self.size = size
        self.record = record
        self.late = late
        self.popular = 0
        self.popular_share = 0.8
        self.epoch = 1
        self.step = 0
        self.ranks = [
            Rank(number, size, f'{base}.{50 + number}:{PORT}')
            for number in range(size)
        ]
        self.mixed = []
        self.mixed_steps = 0
        self.ran = {}
        self.orders = 0
        self.late_orders = 0
        self.born = int(time.time() * 1000)
        self._passed = asyncio.Event()
        self._runners = []
        self._tasks = []

    async def start(self):
        """Listen at all addresses and run passes."""
        for rank in self.ranks:
            app = web.Application()
            app.add_routes(
                [
                    web.get('/cassiashift/report', self._bind(rank, 'report')),
                    web.get('/cassiashift/picked', self._bind(rank, 'picked')),
                    web.post('/cassiashift/order', self._bind(rank, 'order')),
                    web.get('/healthz', self._bind(rank, 'health')),
                    web.route('*', '/{path:.*}', self._bind(rank, 'stream')),
                ]
            )
            runner = web.AppRunner(
                app, access_log=None, handler_cancellation=True
            )
            await runner.setup()
            host, _, port = rank.address.rpartition(':')
            await web.TCPSite(runner, host, int(port)).start()
            self._runners.append(runner)
        self._tasks.append(asyncio.ensure_future(self._pass_forever()))

    async def stop(self):
        """End passes and close all connections."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(runner.cleanup(), 2.0)

    def send_heartbeats(self, deployment, zones):
        """Announce the ranks until ``stop``."""
        for rank in self.ranks:
            zone = zones[rank.number % len(zones)]
            self._tasks.append(
                asyncio.ensure_future(
                    self._announce_forever(rank, deployment, zone)
                )
            )

    async def _announce_forever(self, rank, deployment, zone):
        sequence = 0
        while True:
            sequence += 1
            body = {
                'service': SERVICE,
                'address': rank.address,
                'zone': zone,
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': sequence,
                'born': self.born,
                'group': self._group_fields(rank),
                'size': self.size,
            }
            entries = deployment.entries
            for attempt in range(len(entries)):
                entry = entries[
                    (rank.number + sequence + attempt) % len(entries)
                ]
                try:
                    async with asyncio.timeout(1.0):
                        async with deployment.session.post(
                            entry.url(
                                'control',
                                f'/cassiashift/instances/{rank.id}/heartbeat',
                            ),
                            data=json.dumps(body).encode(),
                            headers={'Content-Type': 'application/json'},
                        ) as response:
                            if response.status == 200:
                                break
                except Exception:
                    continue
            await asyncio.sleep(HEARTBEAT_S)

    # Passes.

    async def _pass_forever(self):
        while True:
            if not any(rank.running for rank in self.ranks):
                await asyncio.sleep(0.002)
                continue
            following = self.step + 1
            if any(rank.held == following for rank in self.ranks):
                await asyncio.sleep(0.002)
                continue
            self._begin(following)
            await asyncio.sleep(self._pass_s())
            passed, self._passed = self._passed, asyncio.Event()
            passed.set()

    def _begin(self, step):
        self.step = step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] <= step:
                rank.map_version, rank.experts = rank.prepared
                rank.prepared = rank.armed = None
        versions = {rank.map_version for rank in self.ranks}
        if len(versions) > 1:
            self.mixed_steps += 1
            line = f'pass {step} begins with maps ' + ', '.join(
                f'rank {rank.number}: {rank.map_version}'
                for rank in self.ranks
            )
            if len(self.mixed) < 3:
                self.mixed.append(line)
                self.record.write(line)
        for rank in self.ranks:
            if rank.running:
                self._choose(rank)

    def _choose(self, rank):
        """Count the experts that the requests of a rank chose."""
        tokens = TOKENS_A_PASS * rank.running
        hot = range(self.popular, EXPERTS, self.size)
        for number in range(SETS):
            start = number * EXPERTS
            for expert in hot:
                rank.counts[start + expert] += int(
                    tokens * 8 * self.popular_share / len(hot)
                )
            for expert in range(EXPERTS):
                rank.counts[start + expert] += int(
                    tokens * 8 * (1 - self.popular_share) / EXPERTS
                )

    def _pass_s(self):
        running = sum(rank.running for rank in self.ranks) / self.size
        hot = set(range(self.popular, EXPERTS, self.size))
        holders = {}
        for rank in self.ranks:
            for expert in rank.experts[0]:
                holders[expert] = holders.get(expert, 0) + 1
        loads = []
        for rank in self.ranks:
            load = 0.0
            for expert in rank.experts[0]:
                share = (1 - self.popular_share) / EXPERTS
                if expert in hot:
                    share += self.popular_share / len(hot)
                load += share / holders[expert]
            loads.append(load * self.size)
        skew = max(loads)
        step_s = STEP_S + PER_SEQ_S * running
        return STRIDE * step_s * (1 - EXPERT_SHARE + EXPERT_SHARE * skew)

    # Calls.

    def _bind(self, rank, name):
        method = getattr(self, f'_handle_{name}')

        async def handle(request):
            return await method(rank, request)

        return handle

    def _group_fields(self, rank):
        return {
            'name': 'g0',
            'epoch': self.epoch,
            'rank': rank.number,
            'state': 'open',
        }

    async def _handle_health(self, rank, request):
        return web.Response(headers={'Cassiashift-Instance-Id': rank.id})

    async def _handle_report(self, rank, request):
        # Fresh for other machines as well, which only helps them.
        return web.json_response(self._report(rank))

    def _report(self, rank):
        armed = rank.armed
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': rank.sequence,
            'queued': 0,
            'running': rank.running,
            'kvUsed': 1000 * rank.running,
            'kvTotal': 186000,
            'handles': 0,
            'pace': 1.0,
            'group': self._group_fields(rank),
            'size': self.size,
            'step': self.step,
            'expertMap': rank.map_version,
            'prepared': rank.prepared[0] if rank.prepared else None,
            'armed': armed and {'version': armed[0], 'step': armed[1]},
            'held': rank.held,
        }

    async def _handle_picked(self, rank, request):
        body = {'step': self.step, 'epoch': self.epoch}
        if 'lists' in request.query:
            body['expertMap'] = {
                'version': rank.map_version,
                'experts': rank.experts,
            }
            body['prepared'] = rank.prepared and {
                'version': rank.prepared[0],
                'experts': rank.prepared[1],
            }
        else:
            body['counts'] = rank.counts
        return web.json_response(body)

    async def _handle_order(self, rank, request):
        order = json.loads(await request.read())
        self.orders += 1
        if self.late(rank, order):
            self.late_orders += 1
            self.record.write(
                f'rank {rank.number}: no answer to {describe(order)}'
            )
            # No answer: the caller gives up.
            await asyncio.sleep(15.0)
            return web.Response(status=503)
        status = self.carry_out(rank, order)
        return web.Response(status=status)

    def carry_out(self, rank, order, how=''):
        """Carry an order out; return the status of its answer."""
        status = self._status_of(rank, order)
        if status == 202:
            rank.sequence += 1
        self.record.write(
            f'rank {rank.number}: {describe(order)} -> {status}{how}'
        )
        return status

    def _status_of(self, rank, order):
        if order.get('epoch', self.epoch) != self.epoch:
            return 409
        version, step = order.get('version', 0), order.get('step', 0)
        match order['op']:
            case 'prepare':
                return self._prepare(rank, version, order['expertMap'])
            case 'arm':
                return self._arm(rank, version, step)
            case 'disarm':
                return self._disarm(rank, version)
            case 'hold':
                return self._hold(rank, step)
            case 'go':
                return self._go(rank, step)
        return 400

    def _arm(self, rank, version, step):
        if rank.armed == (version, step):
            return 200
        if rank.prepared is None or rank.prepared[0] != version:
            return 409
        if step <= self.step:
            return 409
        rank.armed = (version, step)
        return 202

    def _disarm(self, rank, version):
        if version == rank.map_version:
            return 409
        if rank.armed is None or rank.armed[0] != version:
            return 200
        rank.armed = None
        return 202

    def _hold(self, rank, step):
        if rank.held == step:
            return 200
        if step <= self.step or rank.held is not None:
            return 409
        rank.held = step
        return 202

    def _go(self, rank, step):
        if rank.held != step:
            return 200
        rank.held = None
        return 202

    def _prepare(self, rank, version, lists):
        if rank.prepared is not None and rank.prepared[0] == version:
            return 200
        if rank.highest == version:
            return 200
        if version <= rank.highest or rank.armed is not None:
            return 409
        experts = tuple(tuple(row[rank.number]) for row in lists)
        new = [
            len(set(row) - set(old))
            for row, old in zip(experts, rank.experts, strict=True)
        ]
        if max(new) > SPARE:
            return 409
        rank.highest = version
        asyncio.get_running_loop().call_later(
            COPY_S * sum(new), self._complete, rank, version, experts
        )
        return 202

    def _complete(self, rank, version, experts):
        if rank.highest == version and rank.armed is None:
            rank.prepared = (version, experts)

    async def _handle_stream(self, rank, request):
        id_ = request.headers.get('Cassiashift-Request-Id', '')
        expected = request.headers.get('Cassiashift-Expect-Instance', rank.id)
        await request.read()
        headers = {'Cassiashift-Request-Id': id_}
        if expected != rank.id or not id_:
            return web.Response(
                status=421,
                headers=headers | {'Cassiashift-Not-Executed': '1'},
            )
        if rank.running >= SLOTS:
            return web.Response(
                status=503,
                headers=headers | {'Cassiashift-Not-Executed': '1'},
            )
        first = int(request.headers.get('Last-Event-Id', 0)) + 1
        last = int(request.query.get('events', 8))
        rank.running += 1
        response = None
        try:
            for number in range(first, last + 1):
                await self._passed.wait()
                if response is None:
                    self.ran[id_] = self.ran.get(id_, 0) + 1
                    response = web.StreamResponse(
                        headers=headers
                        | {
                            'Content-Type': 'text/event-stream',
                            'Cassiashift-Response-Stamp': f's.{id_}',
                            'Cassiashift-Weight-Versions': '1',
                        }
                    )
                    await response.prepare(request)
                await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await response.write_eof()
            return response
        finally:
            rank.running -= 1


def describe(order):
    """Return an order as text, without its map."""
    fields = {
        name: value for name, value in order.items() if name != 'expertMap'
    }
    return ' '.join(f'{name}={value}' for name, value in fields.items())
