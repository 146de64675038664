"""Tests of attempts that an agent makes at its upstreams."""

import asyncio
import socket
import struct

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import retries
from cassiashift_core import timeline
from cassiashift_core import Verdict
from cassiashift_daemon import attempts
from cassiashift_net import messages

EPOCH = 7
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
# Closing such a socket resets its connection.
RESETS = struct.pack('ii', 1, 0)


async def make_attempt(answer, is_reset):
    """Return the last message of an attempt at an upstream.

    Args:
        answer: what the upstream sends before it ends the connection.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESETS
            )
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    agent = attempts.AttemptServer(
        urls={'u1': f'http://{host}:{port}'},
        refusal_reason=lambda upstream: '',
        session=session,
        record=lambda *args, **fields: timeline.Timestamp(),
        fences=retries.FenceTable(EPOCH),
    )
    replies = []

    def reply(message):
        replies.append(message)
        return True

    attempt = str(retries.AttemptId('entry-1', 1, 1, EPOCH))
    agent.start(
        messages.CallStart('r1', attempt, EPOCH, 'u1', 'GET', '/', (), b'', 5),
        reply,
    )
    await agent.wait_idle()
    await session.close()
    server.close()
    return replies[-1]


@pytest.mark.parametrize(
    ('framing', 'is_reset'),
    [
        (b'Content-Length: 40\r\n', False),
        (b'Content-Length: 40\r\n', True),
        (b'Transfer-Encoding: chunked\r\n', False),
        (b'', True),
    ],
)
async def test_an_answer_that_broke_off_is_not_complete(framing, is_reset):
    body = b'4\r\nhalf\r\n' if b'chunked' in framing else b'half'
    last = await make_attempt(HEAD + framing + b'\r\n' + body, is_reset)
    assert_that(last, matchers.IsInstance(messages.CallFailed))
    assert_that(last.verdict, matchers.Equals(Verdict.MAY_HAVE_RUN))


@pytest.mark.parametrize(
    ('framing', 'body'),
    [
        (b'Content-Length: 4\r\n', b'done'),
        (b'Transfer-Encoding: chunked\r\n', b'4\r\ndone\r\n0\r\n\r\n'),
        (b'', b'done'),
    ],
)
async def test_a_whole_answer_is_complete(framing, body):
    last = await make_attempt(HEAD + framing + b'\r\n' + body, False)
    assert_that(last, matchers.IsInstance(messages.CallEnd))
