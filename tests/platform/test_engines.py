"""Tests of the client of model runners."""

import asyncio
import contextlib
import gzip
import json
import tracemalloc

from aiohttp import test_utils
from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_daemon.ranks import engine
from cassiashift_platform import engines
from tests.net import malformed_heads

REPORT = {
    'group': {'name': 'g0', 'epoch': 2, 'rank': 3, 'state': 'open'},
    'size': 8,
    'step': 41,
    'expertMap': 8,
    'prepared': 16,
    'armed': {'version': 16, 'step': 44},
    'held': 44,
    'running': 2,
    'queued': 5,
    'kvUsed': 41000,
    'pace': 4.5,
}


@pytest.fixture
async def client(request):
    """Return a client of a runner that answers with one report."""
    body = getattr(request, 'param', REPORT)

    async def report(_):
        text = body if isinstance(body, str) else json.dumps(body)
        return web.Response(text=text, content_type='application/json')

    app = web.Application()
    app.router.add_get('/cassiashift/report', report)
    app.router.add_get('/cassiashift/picked', report)
    server = test_utils.TestServer(app)
    await server.start_server()
    runner_client = engines.RunnerClient(f'{server.host}:{server.port}')
    yield runner_client
    await runner_client.close()
    await server.close()


def _nested(depth):
    return '{"group": ' + '[' * depth + ']' * depth + '}'


@pytest.mark.parametrize(
    'client', [{**REPORT, 'step': 10**30}, _nested(100_000)], indirect=True
)
async def test_an_odd_report_does_not_end_the_reports_of_an_agent(client):
    # Anything but this error ends the task that reports the rank's state.
    for read in (client.report, client.choice_counts, client.held_experts):
        with pytest.raises(engine.EngineError):
            await read()


async def test_a_report_is_decoded(client):
    expected = rankmaps.RankReport(
        group='g0',
        epoch=2,
        rank=3,
        size=8,
        is_open=True,
        step=41,
        map_version=8,
        prepared=16,
        armed=rankmaps.Armed(16, 44),
        held=44,
        running=2,
        queued=5,
        slowdown=4.5,
    )
    assert_that(await client.report(), matchers.Equals(expected))


async def test_an_answer_that_is_repeated_does_not_confirm_an_order():
    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                is_order = head.startswith(b'POST')
                status = b'409 Conflict' if is_order else b'200 OK'
                body = json.dumps(REPORT).encode()
                length = b'Content-Length: %d' % len(body)
                answer = b'\r\n'.join(
                    (b'HTTP/1.1 ' + status, length, b'', body)
                )
                writer.write(answer)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(answer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    runner_client = engines.RunnerClient(f'{host}:{port}')
    order = rankmaps.Order(rankmaps.OrderKind.HOLD, 0, 2, step=44)
    await runner_client.report()
    await asyncio.sleep(0.1)
    assert_that(await runner_client.send_order(order), matchers.Is(False))
    await runner_client.close()
    server.close()


def _serve(*chunks, is_endless):
    """Return a handler of connections that answers with bytes."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            for chunk in chunks:
                writer.write(chunk)
            while is_endless:
                await writer.drain()
                writer.write(chunks[-1])
            await writer.drain()

    return serve


# Memory of the machine of an agent.
MACHINE_BYTES = 128 * 1024 * 1024
HEAD = b'HTTP/1.1 200 OK\r\n'
INFLATING = gzip.compress(b' ' * (64 * 1024 * 1024))
ENDLESS = {
    'noise': (b'\x00noise' * 1000,),
    'interim': (b'HTTP/1.1 100 Continue\r\n\r\n' * 2048,),
    'head': (HEAD, b'X-More: x\r\n' * 4096),
    'body': (HEAD + b'\r\n', b'x' * 65536),
    'sized body': (
        HEAD + b'Content-Length: %d\r\n\r\n' % 2**40,
        b'x' * 65536,
    ),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'x' * 65536 + b'\r\n',
    ),
    'inflating': (
        HEAD
        + b'Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n'
        % len(INFLATING)
        + INFLATING,
    ),
}


@pytest.mark.parametrize('kind', ENDLESS)
async def test_replies_without_end_take_little_memory(kind):
    # Otherwise the agent ends, and with it what else runs on its machine.
    is_endless = kind != 'inflating'
    serve = _serve(*ENDLESS[kind], is_endless=is_endless)
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    runner_client = engines.RunnerClient(f'{host}:{port}')
    order = rankmaps.Order(rankmaps.OrderKind.HOLD, 0, 2, step=44)
    tracemalloc.start()
    for read in (
        runner_client.report,
        runner_client.choice_counts,
        runner_client.held_experts,
        lambda: runner_client.send_order(order),
    ):
        with pytest.raises(engine.EngineError):
            await read()
    _, most_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert_that(most_bytes, matchers.LessThan(MACHINE_BYTES / 8))
    await runner_client.close()
    server.close()


async def test_many_replies_on_one_connection_are_within_the_bounds():
    connections = []
    body = json.dumps(REPORT | {'more': 'x' * 100_000}).encode()
    reply = HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body

    async def serve(reader, writer):
        connections.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(reply)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    runner_client = engines.RunnerClient(f'{host}:{port}')
    for _ in range(50):
        await runner_client.report()
    assert_that(connections, matchers.HasLength(1))
    await runner_client.close()
    server.close()


@pytest.mark.parametrize(
    'client',
    [{}, {**REPORT, 'group': None}],
    indirect=True,
)
async def test_a_malformed_report_is_an_error(client):
    with pytest.raises(engine.EngineError):
        await client.report()


USELESS = ('4', None, [], True, 0, -2, float('nan'), float('inf'))


@pytest.mark.parametrize(
    'client', [{**REPORT, 'pace': pace} for pace in USELESS], indirect=True
)
async def test_a_useless_pace_counts_as_1(client):
    assert_that((await client.report()).slowdown, matchers.Equals(1.0))


LISTS = {'epoch': 2, 'expertMap': {'version': 1, 'experts': []}, 'counts': []}


async def _calls_answered_by(answer):
    """Return the results or errors of all calls of a runner's client.

    Args:
        answer: returns the bytes of an answer with a body.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            body = LISTS if b'picked' in head else REPORT
            writer.write(answer(json.dumps(body).encode()))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    runner_client = engines.RunnerClient(f'{host}:{port}')
    order = rankmaps.Order(rankmaps.OrderKind.HOLD, 0, 2, step=44)
    results = await asyncio.gather(
        runner_client.report(),
        runner_client.choice_counts(),
        runner_client.held_experts(),
        runner_client.send_order(order),
        return_exceptions=True,
    )
    await runner_client.close()
    server.close()
    return results


@pytest.mark.parametrize('name', malformed_heads.HEADS)
async def test_a_reply_with_a_malformed_head_is_not_read(name):
    # Otherwise it counts as the state of the rank, or confirms an order.
    results = await _calls_answered_by(
        lambda body: malformed_heads.answer(name, body)
    )
    for result in results:
        assert_that(result, matchers.IsInstance(engine.EngineError))


@pytest.mark.parametrize('status', [203, 404, 500, 503])
async def test_a_failure_is_no_reply_whatever_its_body(status):
    head = b'HTTP/1.1 %d Odd\r\nContent-Length: %d\r\n\r\n'
    *reads, is_confirmed = await _calls_answered_by(
        lambda body: head % (status, len(body)) + body
    )
    for result in reads:
        assert_that(result, matchers.IsInstance(engine.EngineError))
    assert_that(is_confirmed, matchers.Is(False))


async def test_replies_with_unusual_heads_are_read():
    for name in malformed_heads.WELL_FORMED:
        *_, experts, is_confirmed = await _calls_answered_by(
            lambda body, name=name: malformed_heads.answer(name, body)
        )
        assert_that(experts.version, matchers.Equals(1))
        assert_that(is_confirmed, matchers.Is(True))
