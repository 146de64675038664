"""Tests of attempts that an agent makes at its upstreams."""

import asyncio
import contextlib
import socket
import struct
import types

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import membership
from cassiashift_core import retries
from cassiashift_core import timeline
from cassiashift_core import Verdict
from cassiashift_daemon import agent as agents
from cassiashift_daemon import attempts
from cassiashift_net import messages
from tests.net import malformed_heads

EPOCH = 7
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
# Closing such a socket resets its connection.
RESETS = struct.pack('ii', 1, 0)


def create_agent(url, session):
    """Return the attempts of an agent with one upstream."""
    return attempts.AttemptServer(
        urls={'u1': url},
        refusal_reason=lambda upstream: '',
        session=session,
        record=lambda *args, **fields: timeline.Timestamp(),
        fences=retries.FenceTable(EPOCH),
        epoch=EPOCH,
    )


async def attempt_once(agent, number, add_reply, is_idempotent=True):
    """Make an attempt and wait for its end."""

    def reply(message):
        add_reply(message)
        return True

    attempt = str(retries.AttemptId('entry-1', 1, number, EPOCH))
    start = messages.CallStart(
        'r1', attempt, EPOCH, 'u1', 'GET', '/', (), b'', 5, is_idempotent
    )
    agent.start(start, reply)
    await agent.wait_idle()


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
    agent = create_agent(f'http://{host}:{port}', session)
    replies = []
    await attempt_once(agent, 1, replies.append)
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


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', [b'Content-Length: 0\r\n', b''])
async def test_an_answer_that_ends_in_its_head_is_not_complete(
    framing, is_reset
):
    head = HEAD + framing + b'\r\n'
    ends = await asyncio.gather(
        *(make_attempt(head[:size], is_reset) for size in range(len(head)))
    )
    for last in ends:
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


async def test_an_endless_answer_of_an_unsafe_attempt_is_ended():
    # No credit of the entry holds it up, and its cancellation is ignored.
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD + b'\r\n')
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b'x' * 65536)
                await writer.drain()
        ended.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    agent = create_agent(f'http://{host}:{port}', session)
    replies = []
    await attempt_once(agent, 1, replies.append, is_idempotent=False)
    assert_that(replies[-1].code, matchers.Equals('stream_broken'))
    sent = sum(
        len(message.data)
        for message in replies
        if isinstance(message, messages.CallData)
    )
    assert_that(sent, matchers.LessThan(16 * 1024 * 1024))
    await ended.wait()
    await session.close()
    server.close()


async def crash_repeatedly(times):
    """Return the last message of each attempt at an upstream that crashes.

    It crashes under every attempt, and is started again after each.
    """
    servers = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        servers[-1].close()
        writer.transport.abort()

    session = attempts.create_session(1.0)
    port = 0
    replies = []
    agent = None
    for number in range(times):
        servers.append(await asyncio.start_server(serve, '127.0.0.1', port))
        port = servers[-1].sockets[0].getsockname()[1]
        agent = agent or create_agent(f'http://127.0.0.1:{port}', session)
        await attempt_once(agent, number, replies.append)
    await session.close()
    return replies


async def test_a_crash_after_a_restart_counts_as_the_one_before():
    """Guards against crashes that no block is renewed for.

    The upstream answers nothing between its crashes.
    """
    replies = await crash_repeatedly(3)
    assert_that(
        [message.crash for message in replies],
        matchers.Equals([EPOCH + 1, EPOCH + 2, EPOCH + 3]),
    )


@pytest.mark.parametrize('name', malformed_heads.HEADS)
async def test_an_answer_with_a_malformed_head_is_not_passed_on(name):
    last = await make_attempt(malformed_heads.answer(name, b'done'), False)
    assert_that(last, matchers.IsInstance(messages.CallFailed))
    assert_that(last.verdict, matchers.Equals(Verdict.MAY_HAVE_RUN))


@pytest.mark.parametrize('name', malformed_heads.WELL_FORMED)
async def test_an_answer_with_an_unusual_head_is_passed_on(name):
    last = await make_attempt(malformed_heads.answer(name, b'done'), False)
    assert_that(last, matchers.IsInstance(messages.CallEnd))


@pytest.mark.parametrize(
    ('name', 'result'),
    [
        ('status 000', membership.ProbeResult.UNANSWERED),
        ('blank after Connection', membership.ProbeResult.UNANSWERED),
        ('plain', membership.ProbeResult.OK),
    ],
)
async def test_a_health_answer_with_a_malformed_head_is_none(name, result):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(malformed_heads.answer(name, b'done'))
        await writer.drain()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = attempts.create_session(1.0)
    prober = types.SimpleNamespace(
        session=session, cfg=types.SimpleNamespace(connect_timeout_s=1.0)
    )
    found = await agents.AgentProcess._probe_health(
        prober, f'http://{host}:{port}'
    )
    await session.close()
    server.close()
    assert_that(found, matchers.Is(result))
