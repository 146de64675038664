"""Tests of what cassiashiftd logs of its calls as it ends."""

import asyncio

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon import test_logs
from tests.process import conftest as harness

pytestmark = pytest.mark.process

STOP_OPTIONS = ['--stop-timeout-s', '1.5']
ANSWER_S = 30.0


@pytest.fixture
async def stopping(tmp_path):
    """Return a deployment with a short stop and upstreams that are slow."""
    async with harness.running_deployment(
        tmp_path,
        entry=['--directory-ttl-s', '1.0', *STOP_OPTIONS],
        agent=STOP_OPTIONS,
    ) as running:
        for number in (1, 2):
            running.cluster.standins[f'warehouse-{number}'].answer_s = ANSWER_S
            running.cluster.standins[f'drafting-{number}'].token_gap_s = 0.1
        yield running


def _headers(id_):
    return {'Authorization': f'Bearer {harness.KEY}', 'X-Request-Id': id_}


async def _send(deployment, entry, id_, method, path, body=None):
    """Send a call; return its status, verdict, body and if it is whole.

    Status and verdict are None without an answer.
    """
    status = verdict = None
    received = b''
    try:
        async with deployment.session.request(
            method,
            deployment.cluster.url_of(entry) + path,
            headers=_headers(id_),
            json=body,
        ) as response:
            status = response.status
            verdict = response.headers.get('X-Cassiashift-Verdict')
            async for chunk in response.content.iter_any():
                received += chunk
            return status, verdict, received, True
    except aiohttp.ClientError:
        return status, verdict, received, False


async def _send_all(deployment, entry):
    """Send a safe call, a call that runs once and a stream to an entry."""
    draft = {
        'model': 'drafting',
        'stream': True,
        'max_tokens': 300,
        'messages': [{'role': 'user', 'content': 'x'}],
    }
    service = '/v1/services/warehouse'
    sent = [
        ('safe', 'GET', f'{service}/stock/x', None),
        ('once', 'POST', f'{service}/bookings', {'reference': 'r'}),
        ('stream', 'POST', '/v1/chat/completions', draft),
    ]
    tasks = [
        asyncio.ensure_future(_send(deployment, entry, *call)) for call in sent
    ]
    async with asyncio.timeout(10.0):
        while len(deployment.cluster.record().ran) < len(sent):
            await asyncio.sleep(0.02)
    # The first pieces of the stream arrive.
    await asyncio.sleep(0.5)
    return tasks


def _pairs(deployment, name, event):
    return [
        test_logs.parse_line(line)
        for line in deployment.cluster.log_of(name).splitlines()
        if f' event={event} ' in f'{line} '
    ]


async def _terminate(deployment, name):
    daemon = deployment.cluster.daemons[name]
    deployment.cluster.terminate(name)
    await asyncio.to_thread(daemon.process.wait, 20.0)


async def test_calls_cut_by_the_end_of_an_entry_are_named_in_its_log(stopping):
    entry = 'entry-4'
    tasks = await _send_all(stopping, entry)
    await _terminate(stopping, entry)
    await asyncio.gather(*tasks)
    named = {
        pairs['request']: pairs
        for pairs in _pairs(stopping, entry, 'request_unfinished')
    }
    found = {
        id_: (pairs['kind'], pairs['phase'], pairs['sends'])
        for id_, pairs in named.items()
    }
    assert_that(
        found,
        matchers.Equals(
            {
                'safe': ('idempotent', 'sent', '1'),
                'once': ('once', 'sent', '1'),
                'stream': ('idempotent', 'answering', '1'),
            }
        ),
    )
    for pairs in named.values():
        assert_that(float(pairs['sent_after_stop_s']), matchers.LessThan(0.0))
        assert_that(pairs['upstream'], matchers.Not(matchers.Equals('')))
    assert_that(int(named['stream']['events']), matchers.GreaterThan(0))
    (ended,) = _pairs(stopping, entry, 'drain_ended')
    assert_that(ended['reason'], matchers.Equals('time_limit'))
    (stopped,) = _pairs(stopping, entry, 'stopped')
    assert_that(stopped['in_flight'], matchers.Equals('3'))


async def test_attempts_cut_by_the_end_of_an_agent_are_named_in_its_log(
    stopping,
):
    tasks = await _send_all(stopping, 'entry-4')
    agents = [f'runner-{number}' for number in range(1, 5)]
    await asyncio.gather(*(_terminate(stopping, name) for name in agents))
    safe, once, stream = await asyncio.gather(*tasks)
    for answer in (safe, once):
        assert_that(answer[1], matchers.Equals('may_have_run'))
    assert_that(stream[2], matchers.Contains(b'event: error\n'))
    named = [
        pairs
        for name in agents
        for pairs in _pairs(stopping, name, 'request_unfinished')
    ]
    found = {pairs['request']: pairs['kind'] for pairs in named}
    assert_that(
        found,
        matchers.Equals(
            {'safe': 'idempotent', 'once': 'once', 'stream': 'idempotent'}
        ),
    )
    for name in agents:
        (stopped,) = _pairs(stopping, name, 'stopped')
        assert_that(stopped['event'], matchers.Equals('stopped'))


@pytest.mark.parametrize('signals', [1, 2])
async def test_calls_in_progress_at_the_end_of_an_entry_get_a_final_answer(
    stopping, signals
):
    entry = 'entry-4'
    tasks = await _send_all(stopping, entry)
    for _ in range(signals - 1):
        stopping.cluster.terminate(entry)
        await asyncio.sleep(0.2)
    await _terminate(stopping, entry)
    safe, once, stream = await asyncio.gather(*tasks)
    assert_that(safe[:2], matchers.Equals((504, 'may_have_run')))
    assert_that(once[:2], matchers.Equals((504, 'may_have_run')))
    _, _, received, is_whole = stream
    assert_that(received, matchers.Contains(b'event: error\n'))
    assert_that(is_whole, matchers.Is(False))


async def test_each_call_taken_during_a_stop_is_answered(stopping):
    entry = 'entry-4'
    path = '/v1/services/warehouse'

    async def send(number):
        is_safe = number % 2 == 0
        return await _send(
            stopping,
            entry,
            f'r{number}',
            'GET' if is_safe else 'POST',
            f'{path}/stock/x' if is_safe else f'{path}/bookings',
            None if is_safe else {'reference': f'r{number}'},
        )

    process = stopping.cluster.daemons[entry].process
    stopping.cluster.terminate(entry)
    sent = []
    while process.poll() is None:
        sent.append(asyncio.ensure_future(send(len(sent))))
        await asyncio.sleep(0.02)
    answers = await asyncio.gather(*sent)
    # Once the entry has stopped listening, nothing is taken.
    taken = stopping.cluster.record().ran
    cut = [
        f'r{number}'
        for number, answer in enumerate(answers)
        if not answer[3] and f'r{number}' in taken
    ]
    assert_that(cut, matchers.Equals([]))
