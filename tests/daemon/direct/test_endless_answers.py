"""Tests of upstreams that send bytes without end."""

import asyncio
import contextlib
import pathlib
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon.direct import exchange
from tests.daemon.direct import conftest as harness

# An answer is bounded by 16 MiB; the kernel holds some megabytes more.
MOST_BYTES = 64 * 1024 * 1024
SOON_S = 1.5


@attrs.define
class Written:
    """The most bytes that upstreams have written to one connection."""

    most: int = 0


WRITTEN = Written()


async def _call(site, service):
    async with site.request(service) as response:
        await response.read()
        return response.status


async def _write_forever(writer, data):
    """Write until the connection ends or was read for much too long."""
    written = 0
    with contextlib.suppress(ConnectionError):
        while written < MOST_BYTES:
            writer.write(data)
            written += len(data)
            WRITTEN.most = max(WRITTEN.most, written)
            await writer.drain()


def _endless_head(data):
    async def script(head, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n')
        await _write_forever(writer, data)

    return script


def _endless_framing(data):
    """Write a head of an answer in chunks, and then data without end."""

    async def script(head, writer):
        id_ = harness.header(head, 'X-Id')
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Id: {id_}\r\nX-Stamp: s\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        await _write_forever(writer, data)

    return script


def _endless_before_head(data):
    async def script(head, writer):
        await _write_forever(writer, data)

    return script


def _endless_body(framing):
    async def script(head, writer):
        id_ = harness.header(head, 'X-Id')
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Id: {id_}\r\nX-Stamp: s\r\n'
            f'{framing}\r\n'.encode()
        )
        await _write_forever(writer, b'x' * 65536)

    return script


async def _endless_noise(head, writer):
    await _write_forever(writer, b'\x00noise' * 1000)


def _waited_s():
    """Return how long this thread has waited for a processor so far."""
    path = pathlib.Path('/proc/thread-self/schedstat')
    # Without these figures the host's part counts as the entry's.
    return int(path.read_text().split()[1]) / 1e9 if path.exists() else 0.0


@pytest.mark.parametrize('service', ['book', 'talk'])
@pytest.mark.parametrize(
    'script',
    [
        _endless_noise,
        _endless_head(b'x' * 65536),
        _endless_head(b'X-More: x\r\n' * 4096),
        _endless_body('Connection: close\r\n'),
        _endless_body(f'Content-Length: {2**40}\r\n'),
        _endless_before_head(b'HTTP/1.1 100 Continue\r\n\r\n' * 2048),
        _endless_before_head(b'\r\n' * 32768),
        _endless_framing(b'0' * 65536),
        _endless_framing(b'5;' + b'x' * 65536),
        _endless_framing(b'0\r\n' + b'X-More: x\r\n' * 4096),
    ],
)
async def test_bytes_without_end_fail_the_request_soon(
    patient_site, service, script
):
    upstream = await patient_site.upstream(service, script)
    WRITTEN.most = 0
    began_at = time.monotonic() - _waited_s()
    status = await _call(patient_site, service)
    assert_that(status, matchers.Equals(502))
    await upstream.ended.wait()
    spent_s = time.monotonic() - _waited_s() - began_at
    assert_that(spent_s, matchers.LessThan(SOON_S))
    assert_that(WRITTEN.most, matchers.LessThan(MOST_BYTES))


async def test_answers_without_end_share_a_bounded_memory(site):
    scripts = [_endless_body('Connection: close\r\n')] * 20
    for _ in range(10):
        await site.upstream('book', *scripts)
    tasks = [asyncio.ensure_future(_call(site, 'book')) for _ in range(20)]
    most = 0
    while not all(task.done() for task in tasks):
        most = max(most, site.ingress.exchange.buffered_bytes)
        await asyncio.sleep(0.001)
    assert_that(most, matchers.LessThan(exchange.MAX_BUFFERED_BYTES * 1.1))
    assert_that(site.ingress.exchange.buffered_bytes, matchers.Equals(0))
