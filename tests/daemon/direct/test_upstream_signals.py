"""Tests of what upstreams say of themselves in their answers."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from tests.daemon.direct import conftest as harness

READY = fleet.UpstreamState.READY


async def _call(site, service, **headers):
    async with site.request(service, **headers) as response:
        return response.status, await response.read(), response.headers


def _leaving_head(head, body):
    return (
        f'HTTP/1.1 200 OK\r\nX-Id: {harness.header(head, "X-Id")}\r\n'
        f'X-Stamp: s\r\nX-Leaving: 1\r\nConnection: close\r\n\r\n{body}'
    ).encode()


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        ('200 OK', {}),
        ('500 Error', {}),
        ('503 Full', {'X_Not_Run': '1'}),
        ('421 Misdirected', {}),
    ],
)
async def test_an_upstream_that_says_it_leaves_gets_nothing_new(
    site, status, headers
):
    leaving = await site.upstream(
        'read', harness.answering(status, X_Leaving='1', **headers)
    )
    await _call(site, 'read')
    other = await site.upstream('read')
    for _ in range(5):
        await _call(site, 'read')
    assert_that(len(leaving.heads), matchers.Equals(1))
    assert_that(len(other.heads), matchers.Equals(5))


async def test_the_head_of_a_stream_tells_that_its_upstream_leaves(site):
    async def script(head, writer):
        writer.write(_leaving_head(head, 'id: 1\ndata: x\n\n'))
        await writer.drain()
        await asyncio.sleep(0.3)

    leaving = await site.upstream('draft', script)
    stream = asyncio.ensure_future(_call(site, 'draft'))
    await asyncio.sleep(0.1)
    await site.upstream('draft', harness.streaming(1, 2))
    await _call(site, 'draft')
    status, body, _ = await stream
    assert_that(status, matchers.Equals(200))
    assert_that(body, matchers.Equals(b'id: 1\ndata: x\n\n'))
    assert_that(len(leaving.heads), matchers.Equals(1))


async def test_an_upstream_that_backs_off_gets_nothing_for_so_long(site):
    refusal = harness.answering(
        '503 Full', X_Not_Run='1', **{'Retry-After': '0.6'}
    )
    upstream = await site.upstream('book', refusal)
    other = await site.upstream('book', harness.whole, harness.whole)
    for _ in range(3):
        await _call(site, 'book')
    assert_that(len(upstream.heads), matchers.LessThan(2))
    assert_that(len(other.heads), matchers.GreaterThan(1))
    await asyncio.sleep(0.7)
    for _ in range(6):
        await _call(site, 'book')
    assert_that(len(upstream.heads), matchers.GreaterThan(1))


async def test_callers_learn_when_all_upstreams_have_backed_off(site):
    refusal = harness.answering(
        '503 Full', X_Not_Run='1', **{'Retry-After': '30'}
    )
    upstream = await site.upstream('book', refusal)
    await _call(site, 'book')
    async with asyncio.timeout(0.3):
        status, body, headers = await _call(site, 'book')
    assert_that(status, matchers.Equals(503))
    assert_that(body, matchers.Contains(b'all upstreams back off'))
    assert_that(float(headers['Retry-After']), matchers.GreaterThan(29.0))
    assert_that(len(upstream.heads), matchers.Equals(1))


@pytest.mark.parametrize('value', ['-1', 'soon', 'nan', 'inf', '0', ''])
async def test_a_meaningless_pause_is_ignored(site, value):
    refusal = harness.answering(
        '503 Full', X_Not_Run='1', **{'Retry-After': value}
    )
    upstream = await site.upstream('read', refusal)
    await _call(site, 'read')
    await asyncio.sleep(0.2)
    status, _, _ = await _call(site, 'read')
    assert_that(status, matchers.Equals(200))
    assert_that(len(upstream.heads), matchers.GreaterThan(1))


async def test_an_unframed_stream_that_ends_inside_an_event_is_resumed(site):
    async def script(head, writer):
        id_ = harness.header(head, 'X-Id')
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Id: {id_}\r\nX-Stamp: s\r\n'
            'Connection: close\r\n\r\n'
            'id: 1\ndata: x\n\nid: 2\nda'.encode()
        )
        await writer.drain()

    broken = await site.upstream('draft', script)
    whole = await site.upstream('draft', harness.streaming(2, 3))
    broken.scripts, whole.scripts = [script], [harness.streaming(2, 3)]
    site.runner.upstreams.mark_leaving('draft-2', 0)
    task = asyncio.ensure_future(_call(site, 'draft'))
    await asyncio.sleep(0)
    site.runner.upstreams.apply(
        fleet.Upstream(
            'draft-2', 'draft', whole.address, 'east', READY, 2, born_ms=5
        ),
        0.0,
    )
    status, body, _ = await task
    assert_that(status, matchers.Equals(200))
    expected = b''.join(
        f'id: {number}\ndata: x\n\n'.encode() for number in (1, 2, 3)
    )
    assert_that(body, matchers.Equals(expected))
