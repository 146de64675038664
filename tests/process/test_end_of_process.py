"""Tests of what an entry logs of its requests as its process ends."""

import asyncio
import contextlib
import signal
import time

import aiohttp
from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon import test_logs
from tests.process import platform_site

pytestmark = pytest.mark.process

GRACE_S = 4
EVENT_INTERVAL_S = 0.02
TIMEOUT_MS = 15_000


class _EndlessUpstream(platform_site.CountingUpstream):
    """An upstream whose streams have no end."""

    async def handle(self, request):
        """Send an event every 20 ms."""
        if not request.path.startswith('/talk/'):
            return await super().handle(request)
        response = web.StreamResponse(
            headers={
                'Cassiashift-Request-Id': request.headers[
                    'Cassiashift-Request-Id'
                ],
                'Cassiashift-Response-Stamp': 's',
            }
        )
        await response.prepare(request)
        number = 0
        while True:
            number += 1
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(EVENT_INTERVAL_S)


def _document():
    document = platform_site.document(1, ('talk', 'streaming'))
    document['routes'][-1]['timeoutMs'] = TIMEOUT_MS
    return document


@pytest.fixture
async def site(tmp_path, loopback_network):
    """Return a site of three entries whose grace is four seconds."""
    async with platform_site.site(
        tmp_path,
        loopback_network,
        without=0,
        settings={'bounds': {'gracePeriodS': GRACE_S, 'retryBudgetSlack': 50}},
        upstream_class=_EndlessUpstream,
    ) as running:
        await running.put_until_acknowledged(running.entries[0], _document())
        for entry in running.entries:
            await running.wait_until(running.is_ready, entry)
        yield running


async def _read_stream(entry, id_, chunks):
    """Append what a stream brings until its connection ends."""
    headers = {
        'Host': platform_site.HOST,
        'Cassiashift-Request-Id': id_,
        'Cassiashift-Deadline-Ms': str(TIMEOUT_MS),
        'Authorization': 'Token secret',
    }
    url = entry.url('front', '/talk/x')
    timeout = aiohttp.ClientTimeout(total=30.0)
    with contextlib.suppress(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, headers=headers) as response,
        ):
            if response.status == 200:
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)


async def _begin_stream(site, entry):
    """Return the id, the events and the task of a stream that has begun."""
    for number in range(100):
        id_ = f'cut-{number}'
        chunks = []
        reading = asyncio.ensure_future(_read_stream(entry, id_, chunks))
        while not reading.done():
            if len(chunks) >= 3:
                return id_, chunks, reading
            await asyncio.sleep(0.01)
    raise AssertionError('no stream began')


def _pairs(entry, event):
    """Return the pairs of each line of an event in an entry's log."""
    return [
        test_logs.parse_line(line)
        for line in entry.log().splitlines()
        if f' event={event} ' in f'{line} '
    ]


async def test_a_stream_cut_by_the_end_of_its_process_is_named_in_the_log(
    site,
):
    entry = site.entries[2]
    id_, chunks, reading = await _begin_stream(site, entry)
    began_at = time.monotonic()
    entry.signal(signal.SIGTERM)
    await asyncio.sleep(began_at + GRACE_S - time.monotonic())
    entry.kill()
    await reading
    received = b''.join(chunks).count(b'id: ')
    named = _pairs(entry, 'request_unfinished')
    assert_that([pairs['request'] for pairs in named], matchers.Equals([id_]))
    (pairs,) = named
    assert_that(
        {key: pairs[key] for key in ('route', 'kind', 'phase', 'sends')},
        matchers.Equals(
            {
                'route': 'talk',
                'kind': 'stream',
                'phase': 'answering',
                'sends': '1',
            }
        ),
    )
    events = int(pairs['events'])
    # Further events are sent between the line and the kill.
    assert_that(events, matchers.GreaterThan(2))
    assert_that(events, matchers.LessThan(received + 1))
    assert_that(float(pairs['sent_after_stop_s']), matchers.LessThan(0.0))
    assert_that(float(pairs['ends_in_s']), matchers.GreaterThan(0.0))
    assert_that(pairs['upstream'], matchers.Not(matchers.Equals('')))
    (asked,) = _pairs(entry, 'stop_asked')
    assert_that(
        (asked['signal'], asked['answering']),
        matchers.Equals(('SIGTERM', '1')),
    )
    (ended,) = _pairs(entry, 'drain_ended')
    assert_that(ended['reason'], matchers.Equals('time_limit'))
    (stopped,) = _pairs(entry, 'stopped')
    assert_that(
        (stopped['in_flight'], stopped['connections']),
        matchers.Equals(('1', '1')),
    )
    assert_that(_pairs(entry, 'caller_left'), matchers.Equals([]))


async def test_the_last_line_of_an_idle_entry_is_that_it_has_stopped(site):
    entry = site.entries[2]
    entry.signal(signal.SIGTERM)
    await asyncio.to_thread(entry.process.wait, platform_site.TIMEOUT_S)
    assert_that(entry.process.returncode, matchers.Equals(0))
    last = test_logs.parse_line(entry.log().splitlines()[-1])
    assert_that(
        (last['event'], last['in_flight'], last['unsent_bytes']),
        matchers.Equals(('stopped', '0', '0')),
    )
    (ended,) = _pairs(entry, 'drain_ended')
    assert_that(ended['reason'], matchers.Equals('idle'))
