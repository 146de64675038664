"""Tests of the drain of cassiashiftd's entry with answers under way."""

import asyncio
import socket
import ssl
import types

from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers
import trustme

from cassiashift_daemon import callers
from cassiashift_daemon import entry
from cassiashift_daemon import voter
from cassiashift_daemon import webserver

NOT_READ_S = 9.0


def _process(listener, api, log_voter=None):
    """Return the parts of an entry that its drain uses."""
    return types.SimpleNamespace(
        cfg=types.SimpleNamespace(host='h'),
        leaving=False,
        presence=types.SimpleNamespace(handle=lambda event: None),
        voter=log_voter,
        directory=types.SimpleNamespace(
            cfg=types.SimpleNamespace(max_ttl_s=0.01)
        ),
        listener=listener,
        callers=api,
    )


@pytest.fixture
def tls():
    """Return the contexts of a server and of a client that trusts it."""
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    authority = trustme.CA()
    authority.issue_cert('127.0.0.1').configure_cert(server)
    authority.configure_trust(client)
    return server, client


def _leaving_api():
    names = ('cfg', 'holder', 'directory', 'runner', 'once', 'record')
    return callers.CallerApi(
        **dict.fromkeys(names),
        metrics=types.SimpleNamespace(timing=lambda name, seconds: None),
        record_demand=None,
        is_ready=lambda: True,
        is_leaving=lambda: True,
    )


async def test_pipelined_calls_are_answered_before_the_connection_closes():
    """Guards against a close behind which calls that were read remain."""

    async def answer(req, row):
        await asyncio.sleep(0.1)
        return web.Response(text='x')

    routes = [web.get('/', _leaving_api().wrap_handler(answer))]
    listener = await webserver.serve('127.0.0.1:0', routes, 1024, None)
    reader, writer = await asyncio.open_connection(
        *listener.sock.getsockname()
    )
    writer.write(3 * b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    received = await reader.read(-1)
    writer.close()
    await listener.close()
    assert_that(received.count(b' 200 OK'), matchers.Equals(3))
    assert_that(received.count(b'Connection: close'), matchers.Equals(1))


@pytest.mark.parametrize(
    ('has_tls', 'size'),
    [
        (False, 8 * 1024 * 1024),
        (True, 100 * 1024),
    ],
)
async def test_an_answer_that_is_read_slowly_outlasts_a_drain(
    has_tls, size, tls
):
    """Guards against an end of the entry with unsent bytes of answers."""
    server_tls, client_tls = tls if has_tls else (None, None)
    api = _leaving_api()

    async def answer(req, row):
        return web.Response(body=b'x' * size)

    routes = [web.get('/', api.wrap_handler(answer))]
    listener = await webserver.serve('127.0.0.1:0', routes, 1024, server_tls)
    listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    process = _process(listener, api)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, listener.sock.getsockname())
    reader, writer = await asyncio.open_connection(
        sock=sock,
        ssl=client_tls,
        server_hostname='127.0.0.1' if has_tls else None,
    )
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    writer.transport.pause_reading()

    (conn,) = listener.runner.server.connections
    transport = conn.transport

    async def stop():
        await entry.EntryProcess.drain(process)
        await entry.EntryProcess.end_requests(process)
        # The loop ends soon after this.
        return transport.get_write_buffer_size()

    stopping = asyncio.ensure_future(stop())
    await asyncio.sleep(NOT_READ_S)
    assert_that(stopping.done(), matchers.Is(False))
    writer.transport.resume_reading()
    body = await reader.read(-1)
    assert_that(len(body), matchers.Equals(size))
    assert_that(await stopping, matchers.Equals(0))


class _BrokenReplica:
    """A replica that fails at each event."""

    def handle(self, event, now):
        """Fail."""
        raise RuntimeError('the log has a gap')


async def test_a_voter_that_fails_as_a_stop_begins_does_not_end_the_drain():
    """Guards against requests that a failed hand-over cuts off."""
    failures = []
    log_voter = voter.Voter(
        replica=_BrokenReplica(),
        store=None,
        machine=None,
        links=None,
        addresses={},
        on_event=None,
        on_failed=failures.append,
    )
    draining = asyncio.ensure_future(
        entry.EntryProcess.drain(_process(None, None, log_voter))
    )
    await asyncio.wait([draining], timeout=0.02)
    is_ended = draining.done()
    draining.cancel()
    await asyncio.wait([draining])
    assert_that(failures, matchers.HasLength(1))
    assert_that(is_ended, matchers.Is(False))
