"""Tests of the HTTP clients of an agent."""

import asyncio

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import attempts

METHODS = ('GET', 'PUT', 'DELETE', 'POST')


@pytest.mark.known_red
@pytest.mark.parametrize('method', METHODS)
async def test_a_call_that_must_not_be_repeated_is_sent_twice(method):
    heads = []

    async def reset(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.transport.abort()

    server = await asyncio.start_server(reset, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    sessions = attempts.Sessions.from_config(1.0)
    with pytest.raises(aiohttp.ClientError):
        await sessions.fresh.request(method, f'http://{host}:{port}/')
    await sessions.close()
    server.close()
    assert_that(heads, matchers.HasLength(1))
