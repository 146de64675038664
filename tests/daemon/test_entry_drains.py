"""Tests of the drain of cassiashiftd's entry with answers under way."""

import asyncio
import socket
import types

from aiohttp import web
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import callers
from cassiashift_daemon import entry
from cassiashift_daemon import webserver

BODY_BYTES = 8 * 1024 * 1024
NOT_READ_S = 9.0


def _process(listener, api):
    """Return the parts of an entry that its drain uses."""
    return types.SimpleNamespace(
        cfg=types.SimpleNamespace(host='h'),
        leaving=False,
        presence=types.SimpleNamespace(handle=lambda event: None),
        voter=None,
        directory=types.SimpleNamespace(
            cfg=types.SimpleNamespace(max_ttl_s=0.01)
        ),
        listener=listener,
        callers=api,
    )


async def test_an_answer_that_is_read_slowly_outlasts_a_drain():
    """Guards against an end of the entry with unsent bytes of answers."""
    names = ('cfg', 'holder', 'directory', 'runner', 'once', 'record')
    api = callers.CallerApi(
        **dict.fromkeys(names),
        metrics=types.SimpleNamespace(timing=lambda name, seconds: None),
        record_demand=None,
        is_ready=lambda: True,
        is_leaving=lambda: True,
    )

    async def answer(req, row):
        return web.Response(body=b'x' * BODY_BYTES)

    routes = [web.get('/', api.wrap_handler(answer))]
    listener = await webserver.serve('127.0.0.1:0', routes, 1024, None)
    process = _process(listener, api)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, listener.sock.getsockname())
    reader, writer = await asyncio.open_connection(sock=sock)
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
    writer.transport.resume_reading()
    body = await reader.read(-1)
    assert_that(len(body), matchers.Equals(BODY_BYTES))
    assert_that(await stopping, matchers.Equals(0))
