"""Tests of the limits on heads and connections of an HTTP listener."""

import asyncio

from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import heads
from cassiashift_daemon import webserver

HEAD_BYTES = 4096
LIMITS = heads.HeadLimits(
    head_bytes=HEAD_BYTES, head_s=2.0, open_bytes=3 * HEAD_BYTES, connections=5
)
START = b'POST / HTTP/1.1\r\nHost: x\r\n'
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
TIMEOUT_S = 20.0
BODY = bytes(range(256)) * 4096


def head(size, start=GET[:-2]):
    """Return a head of a size, with its end."""
    filler = size - len(start) - len(b'X: \r\n\r\n')
    return start + b'X: ' + b'a' * filler + b'\r\n\r\n'


@pytest.fixture
async def listener():
    """Return a listener that answers with the size of the body."""

    async def answer(request):
        # The connection is paused meanwhile if the body is large.
        await asyncio.sleep(0.05)
        return web.Response(body=b'%d' % len(await request.read()))

    serving = await webserver.serve(
        '127.0.0.1:0',
        [web.route('*', '/', answer)],
        len(BODY) + 1,
        None,
        lambda: LIMITS,
    )
    yield serving
    await serving.close()


@pytest.fixture
async def connect(listener):
    """Return a function that opens a connection and sends pieces."""
    writers = []

    async def opened(*pieces, pause_s=0.0):
        reader, writer = await asyncio.open_connection(
            *listener.sock.getsockname()
        )
        writers.append(writer)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)
        return reader

    yield opened
    for writer in writers:
        writer.transport.abort()


async def statuses(reader, count):
    """Return the statuses of the next answers."""
    found = []
    async with asyncio.timeout(TIMEOUT_S):
        while len(found) < count:
            line = await reader.readuntil(b'\r\n')
            # The body before has no end of line.
            _, is_status, rest = line.partition(b'HTTP/1.1 ')
            if is_status:
                found.append(int(rest.split()[0]))
    return found


def chunked(size):
    """Return the body as chunks of a size, with the end."""
    pieces = (BODY[i : i + size] for i in range(0, 40_000, size))
    return b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in pieces) + (
        b'0\r\n\r\n'
    )


LENGTH = START + b'Content-Length: %d\r\n\r\n' % len(BODY)
WITHIN = {
    'a head of the limit': ([head(HEAD_BYTES)], 1),
    'a head after blank lines': ([b'\r\n' * 8 + head(HEAD_BYTES - 16)], 1),
    'many heads at once': ([head(1000) * 40], 40),
    'heads in odd pieces': ([b'', GET[:9], GET[9:] + GET[:5], GET[5:]], 2),
    'a large body and a request': ([LENGTH + BODY, head(HEAD_BYTES)], 2),
    'a body in chunks of one byte': (
        [START + b'Transfer-Encoding: chunked\r\n\r\n' + chunked(1) + GET],
        2,
    ),
    'a body in chunks': (
        [START + b'Transfer-Encoding: chunked\r\n\r\n', chunked(999), GET],
        2,
    ),
}


@pytest.mark.parametrize('name', WITHIN)
async def test_requests_within_the_limits_are_served(connect, name):
    pieces, count = WITHIN[name]
    reader = await connect(*pieces)
    expected = matchers.Equals([200] * count)
    assert_that(await statuses(reader, count), expected)


async def test_a_slow_head_within_its_time_is_served(connect):
    reader = await connect(GET[:5], GET[5:9], GET[9:], pause_s=0.4)
    assert_that(await statuses(reader, 1), matchers.Equals([200]))


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (head(HEAD_BYTES + 2)[:-1], 431),
        (b'\r\n' * HEAD_BYTES, 431),
        (GET[:9], 408),
    ],
)
async def test_a_head_beyond_the_limits_is_refused(connect, sent, status):
    reader = await connect(sent)
    assert_that(await statuses(reader, 1), matchers.Equals([status]))
    async with asyncio.timeout(TIMEOUT_S):
        await reader.read()


async def test_the_largest_heads_of_a_crowd_end_first(connect):
    small = await connect(GET[:-2])
    crowd = [await connect(head(HEAD_BYTES)[:-4]) for _ in range(4)]
    async with asyncio.timeout(TIMEOUT_S):
        ended = asyncio.FIRST_COMPLETED
        tasks = [asyncio.ensure_future(reader.read(1)) for reader in crowd]
        await asyncio.wait(tasks, return_when=ended)
    assert_that(small.at_eof(), matchers.Is(False))


async def test_the_oldest_connection_without_a_request_makes_room(
    listener, connect
):
    served = await connect(GET)
    assert_that(await statuses(served, 1), matchers.Equals([200]))
    silent = [await connect() for _ in range(LIMITS.connections)]
    new = await connect(GET)
    assert_that(await statuses(new, 1), matchers.Equals([200]))
    async with asyncio.timeout(TIMEOUT_S):
        for reader in silent[:2]:
            await reader.read()
    assert_that(served.at_eof(), matchers.Is(False))
    assert_that(
        listener.guard.connections, matchers.Equals(LIMITS.connections)
    )


@pytest.mark.parametrize(
    ('sizes', 'open_bytes', 'now', 'expected'),
    [
        ([], 0, 0.0, []),
        ([10, 20], 30, 2.9, []),
        ([10, 20, 15], 30, 2.9, [(1, heads.Excess.CROWD)]),
        (
            [10, 20, 15],
            20,
            2.9,
            [(1, heads.Excess.CROWD), (2, heads.Excess.CROWD)],
        ),
        ([10, 20], 30, 3.1, [(0, heads.Excess.SLOW)]),
        ([30, 20], 20, 3.1, [(0, heads.Excess.SLOW)]),
    ],
)
def test_slow_and_large_heads_are_found(sizes, open_bytes, now, expected):
    """Head N began at N / 2 s."""
    open_heads = heads.OpenHeads()
    for key, size in enumerate(sizes):
        open_heads.record(key, size, key / 2)
    limits = heads.HeadLimits(head_s=2.0, open_bytes=open_bytes)
    assert_that(open_heads.find_excess(limits, now), matchers.Equals(expected))
