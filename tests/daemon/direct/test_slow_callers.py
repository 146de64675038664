"""Tests of callers that read slowly or not at all, with an ingress."""

import asyncio
import contextlib

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import buffers
from cassiashift_core.buffers import ledger
from cassiashift_core.buffers import limits
from tests.daemon.direct import conftest as harness

BODY = bytes(range(256)) * 4096
EVENT = b'id: 1\ndata: ' + b'x' * 2000 + b'\n\n'


@pytest.fixture
def counts(site):
    """Return the ledger of a site whose settings state its memory."""
    counts = site.ingress.exchange.ledger
    counts.limits = buffers.BufferLimits.from_memory(200)
    return counts


def _endless_stream(blocked):
    """Return a script that streams until it can't write for a moment."""

    async def script(head, writer):
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Id: {harness.header(head, "X-Id")}\r\n'
            f'X-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n'.encode()
        )
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(f'{len(EVENT):x}\r\n'.encode() + EVENT + b'\r\n')
                try:
                    async with asyncio.timeout(0.3):
                        await writer.drain()
                except TimeoutError:
                    blocked.set()
                    await writer.drain()

    return script


@contextlib.asynccontextmanager
async def _unread_stream(site):
    """Send a request for a stream without reading the answer."""
    address = site.url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(*address, limit=1024)
    writer.write(
        f'POST /talk/x HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Id: r1\r\n'
        'X-Deadline: 30000\r\nAuthorization: Token secret\r\n\r\n'.encode()
    )
    yield reader
    writer.close()


async def test_an_upstream_is_not_read_while_its_caller_does_not_read(
    site, monkeypatch
):
    """Guards against a stream that is read into memory without bound."""
    blocked = asyncio.Event()
    upstream = await site.upstream('talk', _endless_stream(blocked))
    async with _unread_stream(site):
        async with asyncio.timeout(1.8):
            await blocked.wait()
        counts = site.ingress.exchange.ledger
        assert_that(counts.unread_count, matchers.Equals(1))
    await upstream.ended.wait()
    assert_that(counts.buffered_bytes, matchers.Equals(0))


async def test_a_caller_that_does_not_read_gets_an_incomplete_answer(
    site, counts, ticking, monkeypatch
):
    """Guards against streams that hold memory and slots until a deadline."""
    monkeypatch.setattr(ledger, 'UNREAD_S', 0.6)
    blocked = asyncio.Event()
    upstream = await site.upstream('talk', _endless_stream(blocked))
    async with _unread_stream(site) as reader:
        async with asyncio.timeout(1.9):
            await upstream.ended.wait()
        answer = b''
        with contextlib.suppress(ConnectionError):
            answer = await reader.read(-1)
    assert_that(answer, matchers.Contains(b'data: x'))
    assert_that(answer.endswith(b'0\r\n\r\n'), matchers.Is(False))
    assert_that(counts.buffered_bytes, matchers.Equals(0))
    condition = site.condition('talk-1')
    assert_that(condition.in_flight, matchers.Equals(0))


@pytest.mark.parametrize('service', ['read', 'talk'])
async def test_large_answers_are_written_whole(site, service):
    """Guards the pieces in which answers over the buffer are written."""
    status = '200 OK' if service == 'read' else '400 Bad'
    script = harness.answering(status, BODY, Content_Type='x/y')
    await site.upstream(service, script)
    async with site.request(service) as response:
        assert_that(await response.read(), matchers.Equals(BODY))
        assert_that(response.headers['X-Stamp'], matchers.Equals('s'))
        assert_that(
            response.headers['Content-Length'], matchers.Equals(str(len(BODY)))
        )
        assert_that(response.headers['Content-Type'], matchers.Equals('x/y'))
    ledger_ = site.ingress.exchange.ledger
    assert_that(ledger_.buffered_bytes, matchers.Equals(0))


async def test_large_work_is_refused_as_not_run_near_the_limit(site, counts):
    """Guards the entry's memory, and small requests beside large ones."""
    upstream = await site.upstream('book')
    counts.hold(counts.limits.large_work_bytes)
    headers = {'Host': harness.HOST, 'Authorization': 'Token secret'}
    async with site.session.post(
        f'{site.url}/book/x', headers=headers | {'X-Id': 'r2'}, data=BODY
    ) as response:
        assert_that(response.status, matchers.Equals(503))
        answer = await response.json()
    assert_that(answer['verdict'], matchers.Equals('not_run'))
    assert_that(upstream.heads, matchers.Equals([]))
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(200))
    counts.hold(limits.MEGABYTE * 200)
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(503))
        assert_that(response.headers, matchers.Contains('Retry-After'))


async def test_a_refused_body_stays_counted(site, counts):
    """Guards against bodies that are held for ever after a bad request.

    An entry would refuse all work for want of memory that it has.
    """
    async with site.session.post(
        f'{site.url}/book/x',
        headers={
            'Host': harness.HOST,
            'X-Id': 'r1',
            'X-Deadline': 'soon',
            'Authorization': 'Token secret',
        },
        data=BODY,
    ) as response:
        assert_that(response.status, matchers.Equals(400))
    assert_that(counts.held_bytes, matchers.Equals(0))


async def test_a_failed_answer_is_held_uncounted_during_a_retry(site, counts):
    """Guards memory against large errors of upstreams while others work."""
    held = []

    async def script(head, writer):
        held.append(counts.held_bytes)
        first = harness.answering('500 Failed', BODY)
        await (first if len(held) == 1 else harness.whole)(head, writer)

    for _ in range(2):
        await site.upstream('read', script)
    async with site.request('read') as response:
        assert_that(response.status, matchers.Equals(200))
    body, both = held
    assert_that(both - body, matchers.Equals(len(BODY)))
    assert_that(counts.held_bytes, matchers.Equals(0))
