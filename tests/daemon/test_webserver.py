"""Tests of the HTTP server of an entry."""

import asyncio

from aiohttp import web
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import webserver

SIZE = 50_000_000


async def test_connections_and_unsent_bytes_are_counted():
    async def answer(request):
        return web.Response(body=bytes(SIZE))

    listener = await webserver.serve(
        '127.0.0.1:0', [web.get('/', answer)], 1024, None
    )
    assert_that(listener.connection_count, matchers.Equals(0))
    # This caller never reads, so the kernel takes a part only.
    reader, writer = await asyncio.open_connection(
        *listener.sock.getsockname(), limit=1024
    )
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    async with asyncio.timeout(10.0):
        while not listener.unsent_bytes:
            await asyncio.sleep(0.001)
    assert_that(listener.connection_count, matchers.Equals(1))
    assert_that(listener.unsent_bytes, matchers.LessThan(SIZE + 1000))
    writer.transport.abort()
    await listener.close()
