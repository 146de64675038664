"""Tests of the HTTP clients of an agent."""

import asyncio

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import attempts

METHODS = ('GET', 'PUT', 'DELETE', 'POST')


@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('kind', ['fresh', 'pooled'])
async def test_a_call_is_sent_twice_on_a_broken_connection(kind, method):
    heads = []

    async def reset(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.transport.abort()

    server = await asyncio.start_server(reset, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    sessions = attempts.Sessions.from_config(1.0)
    with pytest.raises(aiohttp.ClientError):
        await getattr(sessions, kind).request(method, f'http://{host}:{port}/')
    await sessions.close()
    server.close()
    assert_that(heads, matchers.HasLength(1))


@pytest.mark.parametrize('method', METHODS)
async def test_a_crash_on_a_reused_connection_looks_like_a_refusal(method):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        server.close()
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    sessions = attempts.Sessions.from_config(1.0)
    url = f'http://{host}:{port}/'
    async with sessions.pooled.get(url) as response:
        await response.read()
    with pytest.raises(aiohttp.ClientError) as caught:
        await sessions.pooled.request(method, url)
    await sessions.close()
    assert_that(
        isinstance(caught.value, aiohttp.ClientConnectorError),
        matchers.Is(False),
    )
