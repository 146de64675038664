"""Tests of upstreams whose answers have heads that HTTP/1.1 doesn't permit."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon.direct import callers
from cassiashift_daemon.direct import exchange
from tests.daemon.direct import conftest as harness
from tests.net import malformed_heads

STREAM = b'id: 1\ndata: x\n\n'


def _sending(answer):
    """Return a script that sends the raw bytes of an answer."""

    async def script(head, writer):
        writer.write(answer(harness.header(head, 'X-Id')))
        await writer.drain()
        await asyncio.sleep(0.05)

    return script


def _malformed(name, body=b'done'):
    def answer(id_):
        signed = (f'X-Id: {id_}'.encode(), b'X-Stamp: s')
        return malformed_heads.answer(name, body, signed)

    return _sending(answer)


async def _ask(site, service):
    """Return the head and the body of what a caller is sent, as bytes."""
    host, _, port = site.url.removeprefix('http://').rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST /{service}/x HTTP/1.1\r\nHost: {harness.HOST}\r\n'
        'X-Id: r1\r\nAuthorization: Token secret\r\nConnection: close\r\n'
        'Content-Length: 4\r\n\r\nbody'.encode()
    )
    async with asyncio.timeout(10.0):
        received = await reader.read()
    writer.close()
    head, _, body = received.partition(b'\r\n\r\n')
    return head, body


def _assert_own_error(head, body):
    """Expect one answer of the entry's own that promises nothing."""
    assert_that(head, matchers.StartsWith(b'HTTP/1.1 502 '))
    for name in (b'X-Stamp', b'X-Id', b'Transfer-Encoding'):
        assert_that(head, matchers.Not(matchers.Contains(name)))
    length = f'Content-Length: {len(body)}'.encode()
    assert_that(head, matchers.Contains(length))


@pytest.mark.parametrize('name', malformed_heads.HEADS)
@pytest.mark.parametrize('service', ['book', 'talk'])
async def test_an_answer_with_a_malformed_head_is_not_forwarded(
    site, service, name
):
    body = STREAM if service == 'talk' else b'done'
    await site.upstream(service, _malformed(name, body))
    _assert_own_error(*await _ask(site, service))


@pytest.mark.parametrize('name', malformed_heads.HEADS)
async def test_a_malformed_head_is_retried_where_the_route_permits_it(
    site, name
):
    # The second upstream that is asked answers well.
    scripts = [_malformed(name), harness.whole]
    upstreams = [await site.upstream('read') for _ in range(2)]

    async def in_turn(head, writer):
        await scripts.pop(0)(head, writer)

    for upstream in upstreams:
        upstream.scripts = [in_turn, in_turn]
    head, body = await _ask(site, 'read')
    assert_that(head, matchers.StartsWith(b'HTTP/1.1 200 '))
    assert_that(body, matchers.Equals(b'done'))


@pytest.mark.parametrize('name', malformed_heads.HEADS)
async def test_a_stream_is_not_resumed_with_a_malformed_head(site, name):
    # Its events would be joined to those of the first upstream.
    body = b'id: 3\ndata: forged\n\n'
    scripts = [
        harness.streaming(1, 2, is_whole=False),
        _malformed(name, body),
        harness.streaming(3, 4),
    ]

    async def in_turn(head, writer):
        await scripts.pop(0)(head, writer)

    for _ in range(3):
        await site.upstream('tale', *[in_turn] * 3)
    head, body = await _ask(site, 'tale')
    assert_that(head, matchers.StartsWith(b'HTTP/1.1 200 '))
    assert_that(body, matchers.Not(matchers.Contains(b'forged')))
    assert_that(body.count(b'data: x'), matchers.Equals(4))


@pytest.mark.parametrize('name', malformed_heads.WELL_FORMED)
@pytest.mark.parametrize('service', ['read', 'book', 'talk'])
async def test_unusual_heads_that_are_permitted_are_forwarded(
    site, service, name
):
    body = STREAM if service == 'talk' else b'done'
    await site.upstream(service, _malformed(name, body))
    head, received = await _ask(site, service)
    assert_that(head, matchers.StartsWith(b'HTTP/1.1 200 '))
    assert_that(received, matchers.Contains(body))


@pytest.mark.parametrize(
    'line', [b'X-Id: r1', b'X-Stamp: s', b'X-Stamp: t', b'X-Stamp: s\xe9']
)
async def test_an_answer_is_signed_once(site, line):
    def answer(id_):
        signed = [f'X-Id: {id_}'.encode(), b'X-Stamp: s', line]
        if b'\xe9' in line:
            # It can't be passed on as it is.
            del signed[1]
        return malformed_heads.answer('plain', b'done', signed)

    await site.upstream('book', _sending(answer))
    _assert_own_error(*await _ask(site, 'book'))


@pytest.mark.parametrize('service', ['book', 'talk'])
async def test_an_answer_that_can_not_be_written_is_broken_off(
    site, service, monkeypatch
):
    # A second head, or another framing, is no answer in the protocol.
    monkeypatch.setattr(
        exchange.Answer, 'headers_for_caller', lambda self: {'X-A': 'a\x01'}
    )
    await site.upstream(service, harness.streaming(1, 2))
    received = await _ask(site, service)
    assert_that(received, matchers.Equals((b'', b'')))
    assert_that(site.ingress.in_flight, matchers.Equals(0))


async def test_a_caller_that_leaves_during_a_write_is_no_crash(
    site, monkeypatch, caplog
):
    # Otherwise operators are asked to report a fault of the program.
    async def deliver(*_):
        raise ConnectionResetError

    monkeypatch.setattr(callers.CallerWriter, 'deliver', deliver)
    await site.upstream('book')
    await _ask(site, 'book')
    assert_that(site.ingress.in_flight, matchers.Equals(0))
    assert_that(caplog.text, matchers.Contains('caller_left'))
    assert_that(caplog.text, matchers.Not(matchers.Contains('crashed')))
