"""Late orders in a group that is idle between two bursts of requests."""

import asyncio
import pathlib
import sys
import time

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support2 import deployment as deployments  # noqa: E402
from support2 import runners  # noqa: E402

ZONES = ('trnava', 'nitra', 'senec')
SIZE = 8
# The longest time of late orders, their largest share and their shortest
# delay (sites/smotana-route.toml and the kinds of the bench).
LATE_FOR_S = 5.5
LATE_SHARE = 0.35
LATE_AFTER_S = 2.0
LATE_BEFORE_S = 12.0
LATE_RANK = 3
BUSY_S = 6.0
ROUNDS = 5


class LateOrders:
    """Which orders the runners leave unanswered and carry out late."""

    def __init__(self, record):
        """Leave no order unanswered yet."""
        self.record = record
        self.group = None
        self.until = 0.0
        self.orders = 0
        self.late = 0
        self.released = None
        self.is_due = asyncio.Event()

    def begin(self):
        """Begin a time with late orders."""
        self.until = time.monotonic() + LATE_FOR_S
        self.orders = self.late = 0
        self.released = None
        self.is_due.clear()
        self.record.write('orders are left unanswered from now on')

    def is_late(self, rank, order):
        """Return whether an order gets no answer.

        These are the orders to arm one rank, and the first order to release
        a pass while no request runs.
        """
        now = time.monotonic()
        if now > self.until:
            return False
        self.orders += 1
        if (self.late + 1) > LATE_SHARE * self.orders:
            return False
        is_late = False
        if order['op'] == 'arm' and rank.number == LATE_RANK:
            is_late = True
            delay = LATE_BEFORE_S - 1
            asyncio.get_running_loop().call_later(
                delay, self.group.carry_out, rank, order, ' (late)'
            )
        elif (
            order['op'] == 'go'
            and self.released is None
            and not any(item.running for item in self.group.ranks)
        ):
            is_late = True
            self.released = (now, rank, order)
            asyncio.ensure_future(self._release_late(now, rank, order))
        self.late += is_late
        return is_late

    async def _release_late(self, sent_at, rank, order):
        """Carry the order to release out 2 to 12 s after it was sent."""
        while time.monotonic() - sent_at < LATE_BEFORE_S - 0.5:
            await asyncio.sleep(0.005)
            if time.monotonic() - sent_at < LATE_AFTER_S:
                continue
            armed = sum(item.armed is not None for item in self.group.ranks)
            if rank.held == order['step'] and SIZE / 2 <= armed < SIZE:
                break
        delay = time.monotonic() - sent_at
        self.group.carry_out(rank, order, f' (late, after {delay:.1f} s)')
        self.is_due.set()


async def send_stream(deployment, record, number, events):
    """Send one stream through an entry; return its status."""
    entry = deployment.entries[number % len(deployment.entries)]
    id_ = f'r{number:06d}'
    headers = {
        'Host': deployments.HOST,
        'Cassiashift-Request-Id': id_,
        'Cassiashift-Deadline-Ms': '8050',
        'Cassiashift-Model': 'm',
        'Cassiashift-Token-Usage': '700,40',
        'Cassiashift-Prefix-Hash': f'5c1e07a2:40,{number:08x}:660',
        'Authorization': f'Token {deployments.KEY}',
    }
    status, body = 0, b''
    try:
        async with deployment.session.post(
            entry.url('front', f'/lohu930/2f?events={events}'),
            headers=headers,
            data=b'prompt',
            timeout=aiohttp.ClientTimeout(total=8.0),
        ) as response:
            status = response.status
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        record.write(f'{id_}: {exc!r}')
    record.write(f'{id_} by {entry.name}: {status}, {len(body)} bytes')
    return status


async def run(deployment, trouble, record):
    """Play bursts of requests with idle times between them."""
    deployment.add_entries(3, ZONES)
    late = LateOrders(record)
    group = runners.Group(deployment.base, SIZE, record, late.is_late)
    late.group = group
    for rank in group.ranks:
        ip = rank.address.rpartition(':')[0]
        zone = ZONES[rank.number % len(ZONES)]
        deployment.add_agent(ip, runners.SERVICE, rank.address, zone, ZONES)
    document = {
        'version': 7,
        'routes': [
            {
                'name': 'r-2yhvz3p',
                'host': deployments.HOST,
                'pathPrefix': '/lohu930/',
                'kind': 'streaming',
                'timeoutMs': 8000,
                'targetLatencyMs': 402,
                'priority': 1,
                'service': runners.SERVICE,
                'attempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
                'targetGapMs': 120,
            }
        ],
        'services': [
            {
                'name': runners.SERVICE,
                'healthPath': '/healthz',
                'maxConnections': 438,
                'protocol': 'h1',
                'tls': False,
                'engine': runners.engine_document(),
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': 'hule930', 'apiKeys': [deployments.KEY], 'priority': 1}
        ],
    }
    await group.start()
    numbers = iter(range(1, 1_000_000))
    answered = []

    async def client(ends_at):
        while time.monotonic() < ends_at:
            answered.append(
                await send_stream(deployment, record, next(numbers), 8)
            )

    try:
        async with deployment.running():
            group.send_heartbeats(deployment, ZONES)
            await deployment.put_until_acknowledged(document)
            await deployment.wait_ready()
            await asyncio.sleep(5.0)
            for number in range(ROUNDS):
                ends_at = time.monotonic() + BUSY_S
                clients = [client(ends_at) for _ in range(16)]
                busy = asyncio.gather(*clients)
                # What the requests are about changes before they end.
                await asyncio.sleep(BUSY_S - 0.4)
                group.popular = (group.popular + 3) % SIZE
                record.write(f'experts of rank {group.popular} in demand')
                if trouble:
                    late.begin()
                await busy
                record.write('no more requests: the group is idle')
                try:
                    async with asyncio.timeout(LATE_FOR_S + 1.0):
                        await late.is_due.wait()
                except TimeoutError:
                    record.write('no late release met a held pass')
                await asyncio.gather(
                    *(
                        send_stream(deployment, record, next(numbers), 8)
                        for _ in range(4)
                    )
                )
                record.write(
                    f'round {number}: {late.late} of {late.orders} orders late'
                )
                if group.mixed:
                    break
                await asyncio.sleep(2.0)
    finally:
        await group.stop()
    if answered.count(200) < len(answered) / 2 or not answered:
        raise deployments.CannotRunError('the requests were not served')
    if group.mixed:
        return f'MAP: {group.mixed[0]} ({group.mixed_steps} such passes)'
    return None


if __name__ == '__main__':
    sys.exit(deployments.play(FOLDER, run))
