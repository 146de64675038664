"""Measures short streams through an entry, in a process of its own.

The process serves the upstream of these streams as well. In the process of a
test, five hundred slow callers and their upstream would delay the events of
fast callers, and their arrival, by up to 80 ms more than the entry does.

    python -m tests.process.fast_streams PLAN

PLAN is a ``Plan`` in JSON. The process prints ``loaded`` at first, ``served``
after a first stream, starts its callers after a line on standard input, and
prints their results.
"""

import asyncio
import contextlib
import json
import sys
import time

import aiohttp
from aiohttp import web
import attrs

EVENTS = 20
EVENT_INTERVAL_S = 0.02
CALL_INTERVAL_S = 0.6
HEARTBEAT_INTERVAL_S = 0.2
SLOTS = 1000


@attrs.frozen
class Plan:
    """What the process does.

    Attributes:
        ip: address of its upstream.
        heartbeats_to: URLs for the heartbeats of its upstream.
        url: URL of the entry for its callers.
        headers: of each request, beside its id.
        callers: number of callers.
        seconds: for which they send requests.
    """

    ip: str
    port: int
    service: str
    heartbeats_to: list[str]
    url: str
    headers: dict[str, str]
    callers: int
    seconds: float


async def _answer(request):
    response = web.StreamResponse(
        headers={
            'Cassiashift-Request-Id': request.headers.get(
                'Cassiashift-Request-Id', ''
            ),
            'Cassiashift-Response-Stamp': 's',
        }
    )
    await response.prepare(request)
    for number in range(EVENTS):
        await response.write(f'id: {number}\ndata: x\n\n'.encode())
        await asyncio.sleep(EVENT_INTERVAL_S)
    return response


async def _send_heartbeats(plan, session):
    sequence = 0
    while True:
        sequence += 1
        body = {
            'service': plan.service,
            'address': f'{plan.ip}:{plan.port}',
            'zone': 'east',
            'state': 'ready',
            'slots': SLOTS,
            'sequence': sequence,
            'born': 1,
        }
        url = plan.heartbeats_to[sequence % len(plan.heartbeats_to)]
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, data=json.dumps(body)) as response:
                await response.read()
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _stream(plan, session, id_):
    """Return time to the first event and longest pause; None if it failed."""
    started = time.monotonic()
    times = []
    headers = plan.headers | {'Cassiashift-Request-Id': id_}
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.post(plan.url, headers=headers) as response:
            async for _ in response.content.iter_any():
                times.append(time.monotonic())
            if response.status == 200:
                pauses = [
                    b - a for a, b in zip(times, times[1:], strict=False)
                ]
                return times[0] - started, max(pauses)
    return None


async def _call_repeatedly(plan, session, number, results):
    ends_at = time.monotonic() + plan.seconds
    await asyncio.sleep(number / plan.callers)
    while time.monotonic() < ends_at:
        id_ = f'f{number}-{len(results)}'
        results.append(await _stream(plan, session, id_))
        await asyncio.sleep(CALL_INTERVAL_S)


async def run(plan):
    """Serve the upstream; run the callers once told to."""
    print('loaded', flush=True)
    server = web.ServerRunner(web.Server(_answer))
    await server.setup()
    await web.TCPSite(server, plan.ip, plan.port).start()
    timeout = aiohttp.ClientTimeout(total=3.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        heartbeats = asyncio.ensure_future(_send_heartbeats(plan, session))
        while await _stream(plan, session, 'first') is None:
            await asyncio.sleep(0.05)
        print('served', flush=True)
        await asyncio.to_thread(sys.stdin.readline)
        results = []
        await asyncio.gather(
            *(
                _call_repeatedly(plan, session, number, results)
                for number in range(plan.callers)
            )
        )
        print(json.dumps(results), flush=True)
        heartbeats.cancel()
    await server.cleanup()


if __name__ == '__main__':
    asyncio.run(run(Plan(**json.loads(sys.argv[1]))))
