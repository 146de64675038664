"""Measures the memory of an exchange during answers without end.

Usage: tools/run python -m tools.bench_answers

An upstream on loopback, in a thread of its own, sends the bodies of all
answers without end. The exchange must give up each of them, and its memory
must stay bounded.
"""

import asyncio
import contextlib
import threading
import time

import multidict
import psutil

from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import exchange
from cassiashift_platform import names

ANSWERS = 100
DEADLINE_S = 30.0
SAMPLE_INTERVAL_S = 0.005
BYTES_PER_MB = 1024 * 1024


async def _send_without_end(reader, writer) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    id_ = head.partition('Request-Id: ')[2].partition('\r\n')[0]
    writer.write(
        'HTTP/1.1 200 OK\r\n'
        f'{names.HEADERS.request_id}: {id_}\r\n'
        f'{names.HEADERS.stamp}: s\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(b'x' * 65536)
            await writer.drain()


def _serve(loop: asyncio.AbstractEventLoop, ports: list[int]) -> None:
    asyncio.set_event_loop(loop)
    server = loop.run_until_complete(
        asyncio.start_server(_send_without_end, '127.0.0.1', 0)
    )
    ports.append(server.sockets[0].getsockname()[1])
    loop.run_forever()


def _call(number: int) -> calls.Call:
    now = time.monotonic()
    route = routes.Route(
        'r', 'h', '/', routes.Kind.SAFE, (), timeout_s=DEADLINE_S
    )
    return calls.Call(
        id=f'c{number}',
        method='GET',
        path='/',
        headers=multidict.CIMultiDictProxy(
            multidict.CIMultiDict({names.HEADERS.request_id: f'c{number}'})
        ),
        body=b'',
        route=route,
        workspace=None,
        service='s',
        arrived_at=now,
        deadline_at=now + DEADLINE_S,
        ends_at=now + DEADLINE_S,
    )


async def _measure(port: int) -> tuple[float, float, float, int]:
    """Return resident MB before, at most and after, and failed answers."""
    process = psutil.Process()

    def resident_mb() -> float:
        return process.memory_info().rss / BYTES_PER_MB

    sender = exchange.Exchange.from_config(names.HEADERS)
    upstream = fleet.Upstream('u', 's', f'127.0.0.1:{port}', 'd')
    before = most = resident_mb()
    fetches = asyncio.gather(
        *(sender.fetch(_call(number), upstream) for number in range(ANSWERS)),
        return_exceptions=True,
    )
    while not fetches.done():
        most = max(most, resident_mb())
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    results = await fetches
    await sender.close()
    failed = sum(
        isinstance(item, exchange.SendFailedError) for item in results
    )
    return before, most, resident_mb(), failed


def main() -> None:
    """Run the measurement and print one row."""
    loop = asyncio.new_event_loop()
    ports: list[int] = []
    threading.Thread(target=_serve, args=(loop, ports), daemon=True).start()
    while not ports:
        time.sleep(SAMPLE_INTERVAL_S)
    before, most, after, failed = asyncio.run(_measure(ports[0]))
    print(
        f'{ANSWERS} answers without end in parallel: {failed} given up; '
        f'resident {before:.0f} MB before, {most:.0f} at most, '
        f'{after:.0f} after'
    )


if __name__ == '__main__':
    main()
