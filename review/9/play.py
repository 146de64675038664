"""A runner fails a part of its requests with 503 after it has run them."""

import asyncio
import pathlib
import random
import sys
import time

import aiohttp
from aiohttp import web

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support2 import deployment as deployments  # noqa: E402
from support2 import service as services  # noqa: E402

ZONES = ('trnava', 'nitra', 'senec')
# One of three runners fails this share of its requests for so long
# (sites/smotana-route.toml: srv_grey, x = 0.45, for_s = 6.5).
FAILED_SHARE = 0.45
FAILS_FOR_S = 6.5
PER_S = 20.0
DEADLINE_S = 1.021
# Answers by which an entry states that a request has not run.
PROMISES = (408, 421, 429, 503)

DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'r-fi6y7z5',
            'host': deployments.HOST,
            'pathPrefix': '/pufi791/',
            'kind': 'unsafe',
            'timeoutMs': 1000,
            'targetLatencyMs': 128,
            'priority': 2,
            'service': 'sklad',
            'attempts': 2,
            'public': False,
        }
    ],
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
    'tenants': [
        {'name': 'hule930', 'apiKeys': [deployments.KEY], 'priority': 1}
    ],
}


class FailingRunner(services.Runner):
    """A runner that fails a share of what it has run.

    Attributes:
        fails_until: monotonic time at which it is sound again.
        bookings: runs by the number of the booking.
    """

    def __init__(self, *values, record, bookings):
        """Describe a runner that counts bookings together with others."""
        super().__init__(*values)
        self.record = record
        self.bookings = bookings
        self.fails_until = 0.0
        self.rng = random.Random(1)

    async def _handle(self, request):
        body = await request.read()
        response = await super()._handle(request)
        if response.status != 200 or not body:
            return response
        number = int(body)
        self.bookings[number] = self.bookings.get(number, 0) + 1
        id_ = request.headers['Cassiashift-Request-Id']
        is_failing = (
            time.monotonic() < self.fails_until
            and self.rng.random() < FAILED_SHARE
        )
        self.record.write(
            f'{self.id} has run {id_}' + ', answers 503' * is_failing
        )
        if not is_failing:
            return response
        # No Cassiashift-Not-Executed: it does not say that it has not run.
        return web.Response(status=503, headers=response.headers, body=b'fail')


async def book(deployment, record, number, promised):
    """Book once, and again after a promise, as clients do."""
    ends_at = time.monotonic() + DEADLINE_S
    for attempt in range(2):
        left_s = ends_at - time.monotonic()
        if left_s <= 0:
            return
        id_ = f'{number:04d}-{attempt}'
        entry = deployment.entries[(number + attempt) % 3]
        status, retry_after = 0, 0.0
        try:
            async with deployment.session.post(
                entry.url('front', '/pufi791/2f'),
                headers={
                    'Host': deployments.HOST,
                    'Cassiashift-Request-Id': id_,
                    'Cassiashift-Deadline-Ms': f'{1000 * left_s:.0f}',
                    'Authorization': f'Token {deployments.KEY}',
                },
                data=str(number).encode(),
                timeout=aiohttp.ClientTimeout(total=left_s + 0.1),
            ) as response:
                await response.read()
                status = response.status
                retry_after = float(response.headers.get('Retry-After', 0))
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        record.write(f'{id_} by {entry.name}: {status}')
        if status not in PROMISES:
            return
        promised.append(id_)
        left_s = ends_at - time.monotonic()
        await asyncio.sleep(max(0.0, min(retry_after, left_s / 3)))


async def run(deployment, trouble, record):
    """Send bookings while one runner fails a part of them."""
    deployment.add_entries(3, ZONES)
    bookings = {}
    runners = [
        FailingRunner(
            f'i-sklad-{number}',
            'sklad',
            f'{deployment.base}.{50 + number}:{services.PORT}',
            ZONES[number],
            record=record,
            bookings=bookings,
        )
        for number in range(3)
    ]
    promised, tasks = [], []
    try:
        async with deployment.running():
            for runner in runners:
                await runner.start(deployment)
            await deployment.put_until_acknowledged(DOCUMENT)
            await deployment.wait_ready()
            await asyncio.sleep(4.0)
            for number in range(1, int(14 * PER_S)):
                if number == int(3 * PER_S) and trouble:
                    runners[0].fails_until = time.monotonic() + FAILS_FOR_S
                    record.write(f'{runners[0].id} fails from now on')
                tasks.append(
                    asyncio.ensure_future(
                        book(deployment, record, number, promised)
                    )
                )
                await asyncio.sleep(1 / PER_S)
            await asyncio.gather(*tasks)
    finally:
        for runner in runners:
            await runner.stop()
    ran = {id_ for runner in runners for id_ in runner.ran}
    if len(bookings) < len(tasks) / 2:
        raise deployments.CannotRunError('the bookings were not served')
    broken = [id_ for id_ in promised if id_ in ran]
    twice = [number for number, count in bookings.items() if count > 1]
    if broken:
        return (
            f'REFUSED: {len(broken)} requests have run and were answered as '
            f'not run, the first {broken[0]}; {len(twice)} bookings were '
            f'made twice'
        )
    return None


if __name__ == '__main__':
    sys.exit(deployments.play(FOLDER, run))
