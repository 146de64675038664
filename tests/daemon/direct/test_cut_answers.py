"""Tests of answers that end early, at each byte of their head and body."""

import asyncio
import socket
import struct
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import probing
from tests.daemon.direct import conftest as harness

EVENTS = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
# Statuses that promise that a request has not run.
NOT_RUN = (b'408', b'421', b'429', b'503')
# Closing such a socket resets its connection.
RESETS = struct.pack('ii', 1, 0)
# Seconds in which a request is sent and answered, whatever its upstreams do.
ANSWERED_S = 2.0
TURN_S = 0.01
LONGEST_TURN_S = 0.05
FRAMINGS = {
    'length': (b'Content-Length: %d\r\n' % len(EVENTS), EVENTS),
    'chunks': (
        b'Transfer-Encoding: chunked\r\n',
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(EVENTS), EVENTS),
    ),
    'none': (b'Connection: close\r\n', EVENTS),
}


@attrs.define
class TurnClock:
    """A clock that goes while the loop turns, not while a host is busy."""

    now: float = 0.0

    async def run(self):
        """Add the time of each turn, up to ``LONGEST_TURN_S``."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(TURN_S)
            self.now += min(LONGEST_TURN_S, time.monotonic() - began_at)


@pytest.fixture
async def clock():
    """Return a running clock."""
    clock = TurnClock()
    task = asyncio.ensure_future(clock.run())
    yield clock
    task.cancel()


def _answer(framing):
    """Return the head and the body of a whole answer."""
    header, body = FRAMINGS[framing]
    head = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s\r\n' + header
    return head + b'\r\n', body


def _cut(data, is_reset):
    """Return a script that sends these bytes and ends the connection."""

    async def script(head, writer):
        writer.write(data)
        await writer.drain()
        if is_reset:
            # Otherwise the reset may overtake the bytes.
            await asyncio.sleep(0.002)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESETS
            )

    return script


async def _exchange(site, service):
    """Return the bytes that a caller receives up to the end."""
    host, port = site.url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST /{service}/x HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Id: r1\r\n'
        'Authorization: Token secret\r\nContent-Length: 4\r\n'
        'Connection: close\r\n\r\nbody'.encode()
    )
    received = await reader.read(-1)
    writer.close()
    return received


def _is_whole(received):
    """Return whether an answer looks complete to its caller."""
    head, end, body = received.partition(b'\r\n\r\n')
    if not end:
        return False
    fields = dict(
        line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:]
    )
    if b'content-length' in fields:
        return len(body) == int(fields[b'content-length'])
    if b'transfer-encoding' in fields:
        return body.endswith(b'0\r\n\r\n')
    return True


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('service', ['read', 'book', 'talk', 'draft'])
async def test_an_answer_that_is_cut_off_never_looks_whole(
    patient_site, ticking, clock, monkeypatch, service, framing, is_reset
):
    # Each send would wait for the end of the upstream's process.
    monkeypatch.setattr(probing, 'PROBE_DELAYS_S', (0.0,))
    head, body = _answer(framing)
    whole = head + body
    for length in range(len(whole) + 1):
        cut = _cut(whole[:length], is_reset)
        upstreams = [
            await patient_site.upstream(service, cut, cut) for _ in range(2)
        ]
        began_at = clock.now
        received = await _exchange(patient_site, service)
        spent_s = clock.now - began_at
        status = received.split(b' ', 2)[1] if received else b''
        is_sent = any(upstream.heads for upstream in upstreams)
        point = (length - len(head), received)
        assert_that(is_sent, matchers.Equals(True), str(point))
        # Only the end of the connection ends a body without a length.
        is_body_over = length == len(whole) or (
            framing == 'none' and not is_reset and length >= len(head)
        )
        if not is_body_over:
            is_success = status == b'200' and _is_whole(received)
            assert_that(is_success, matchers.Equals(False), str(point))
        assert_that(spent_s, matchers.LessThan(ANSWERED_S), str(point))
        assert_that(NOT_RUN, matchers.Not(matchers.Contains(status)))
        patient_site.remove_upstreams()


async def _read_until_reset(reader):
    """Return what a connection brings, and whether it was reset."""
    received = b''
    try:
        while data := await reader.read(1024):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


@pytest.mark.parametrize('ends_by', ['upstream', 'stop'])
async def test_a_cut_stream_never_looks_whole_to_a_caller_without_chunks(
    site, ends_by
):
    """Guards against an orderly close, which ends an answer of HTTP/1.0."""
    events = 2 if ends_by == 'upstream' else 100
    await site.upstream(
        'talk', harness.streaming(1, events, is_whole=False, pause_s=0.02)
    )
    host, port = site.url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST /talk/x HTTP/1.0\r\nHost: {harness.HOST}\r\nX-Id: r1\r\n'
        'Authorization: Token secret\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    received = await reader.readuntil(b'id: 1\n')
    if ends_by == 'stop':
        await site.ingress.end_all(1.0)
    more, is_reset = await _read_until_reset(reader)
    writer.close()
    assert_that(received, matchers.StartsWith(b'HTTP/1.0 200'))
    assert_that(received, matchers.Not(matchers.Contains(b'chunked')))
    assert_that(is_reset, matchers.Is(True), str(more))
