"""Tests of the HTTP clients of an agent."""

import asyncio

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import attempts

METHODS = ('GET', 'PUT', 'DELETE', 'POST')


@pytest.mark.parametrize('method', METHODS)
async def test_a_call_is_sent_twice_on_a_broken_connection(method):
    heads = []

    async def reset(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.transport.abort()

    server = await asyncio.start_server(reset, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    with pytest.raises(aiohttp.ClientError):
        await session.request(method, f'http://{host}:{port}/')
    await session.close()
    server.close()
    assert_that(heads, matchers.HasLength(1))


@pytest.mark.parametrize('method', METHODS)
async def test_a_crash_after_an_answer_is_no_refusal(method):
    """A connection that is reused would end in a refusal by the second."""
    heads = []

    async def serve(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        if len(heads) == 1:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await reader.read()
        else:
            server.close()
            writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    url = f'http://{host}:{port}/'
    async with session.get(url) as response:
        await response.read()
    with pytest.raises(aiohttp.ClientError) as caught:
        await session.request(method, url)
    await session.close()
    assert_that(heads, matchers.HasLength(2))
    assert_that(
        isinstance(caught.value, aiohttp.ClientConnectorError),
        matchers.Is(False),
    )


@pytest.mark.parametrize('pause_s', [0.0, 0.05])
async def test_a_second_copy_of_an_answer_reaches_no_other_call(pause_s):
    copied = asyncio.Event()

    async def serve(reader, writer):
        while head := await reader.readuntil(b'\r\n\r\n'):
            name = head.split()[1]
            answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
                len(name),
                name,
            )
            writer.write(answer)
            if name == b'/first':
                await asyncio.sleep(pause_s)
                writer.write(answer)
                copied.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    bodies = []
    for name in ('first', 'second', 'third'):
        async with session.get(f'http://{host}:{port}/{name}') as response:
            bodies.append(await response.text())
        await copied.wait()
        await asyncio.sleep(0.02)
    await session.close()
    server.close()
    assert_that(bodies, matchers.Equals(['/first', '/second', '/third']))
