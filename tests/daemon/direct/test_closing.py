"""Tests of the requests that an entry takes and ends in a planned stop."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core import fleet
from tests.daemon.direct import conftest as harness


def _close_in(site, seconds, known_s=0.0):
    now = time.monotonic()
    site.ingress.placement.admission.begin_closing(
        admission.Closing(
            ends_at=now + seconds,
            over_at=now + seconds + 10.0,
            known_until=now + known_s,
        )
    )


def _add_entry(site, **fields):
    record = fleet.EntryRecord('127.0.0.2', '', 'east', 'r', 1, **fields)
    site.runner.entries.update(record, time.monotonic())


async def _status(site, service, **headers):
    async with site.request(service, **headers) as response:
        await response.read()
        return response.status


async def _begin_stream(site, service):
    """Return the task that reads a stream, once its answer has begun."""

    async def read():
        async with site.request(service) as response:
            return await response.read()

    reading = asyncio.ensure_future(read())
    while not any(
        relay.response is not None for relay in site.ingress._relays
    ):
        await asyncio.sleep(0.001)
    return reading


@pytest.mark.parametrize('service', ['read', 'book', 'talk', 'draft'])
async def test_a_request_that_can_not_end_before_the_stop_is_not_sent(
    site, service
):
    # Otherwise it is cut at the end of the stop. The route is not known yet.
    upstream = await site.upstream(service)
    _add_entry(site, is_ready=True)
    _close_in(site, 1.0)
    started = time.monotonic()
    async with site.request(service) as response:
        assert_that(response.status, matchers.Equals(503))
        assert_that(response.headers['Retry-After'], matchers.Equals('0.00'))
    assert_that(time.monotonic() - started, matchers.LessThan(0.5))
    assert_that(upstream.heads, matchers.Equals([]))


@pytest.mark.parametrize('service', ['book', 'draft'])
async def test_a_request_that_only_usually_ends_before_the_stop_is_not_sent(
    site, service
):
    """Guards against a promise to callers that holds on average."""
    upstream = await site.upstream(
        service, *[harness.streaming(1, 2) for _ in range(20)]
    )
    for _ in range(20):
        await _status(site, service)
    _add_entry(site, is_ready=True)
    _close_in(site, 1.0, known_s=1.0)
    assert_that(await _status(site, service), matchers.Equals(503))
    assert_that(len(upstream.heads), matchers.Equals(20))


@pytest.mark.parametrize('service', ['book', 'draft'])
@pytest.mark.parametrize(('known_s', 'expected'), [(1.0, 200), (0.0, 503)])
async def test_the_only_entry_takes_new_callers_until_they_know_of_its_stop(
    site, service, known_s, expected
):
    """Guards against callers whom nobody serves while all entries stop."""
    await site.upstream(service, *[harness.streaming(1, 2) for _ in range(21)])
    for _ in range(20):
        await _status(site, service)
    _close_in(site, 1.0, known_s)
    status = await _status(site, service)
    assert_that(status, matchers.Equals(expected))


async def test_a_stream_is_resumed_in_a_stop_after_a_send_without_events(
    site, ticking
):
    """Guards against a resumed stream that is taken for a new one."""
    await site.upstream('tale', harness.streaming(1, 2, is_whole=False))
    await site.upstream('tale', harness.reset)
    await site.upstream('tale', harness.streaming(3, 6))
    site.condition('tale-2').in_flight = 1
    # All slots of the third are taken for a while.
    site.condition('tale-3').in_flight = 2

    reading = await _begin_stream(site, 'tale')
    _close_in(site, 0.5)
    await asyncio.sleep(0.1)
    site.condition('tale-3').in_flight = 0
    assert_that(await reading, matchers.Contains(b'id: 6\n'))


@pytest.mark.parametrize(
    'fields', [{}, {'is_ready': True, 'is_leaving': True}]
)
async def test_a_refused_caller_of_the_only_entry_waits_for_its_return(
    site, fields
):
    await site.upstream('book')
    _add_entry(site, **fields)
    _close_in(site, 1.0)
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(503))
        retry_after_s = float(response.headers['Retry-After'])
    assert_that(retry_after_s, matchers.GreaterThan(10.0))
    assert_that(retry_after_s, matchers.LessThan(11.01))


async def test_a_request_with_a_deadline_before_the_stop_is_sent(site):
    await site.upstream('book')
    _close_in(site, 0.5)
    status = await _status(site, 'book', X_Deadline='300')
    assert_that(status, matchers.Equals(200))


async def test_a_queued_request_is_refused_as_a_planned_stop_begins(
    site, ticking
):
    upstream = await site.upstream('book', harness.silent, harness.silent)
    sent = [asyncio.ensure_future(_status(site, 'book')) for _ in range(2)]
    await asyncio.sleep(0.05)
    queued = asyncio.ensure_future(_status(site, 'book'))
    await asyncio.sleep(0.05)
    assert_that(queued.done(), matchers.Equals(False))
    _close_in(site, 1.0)
    async with asyncio.timeout(0.2):
        assert_that(await queued, matchers.Equals(503))
    assert_that(len(upstream.heads), matchers.Equals(2))
    # Those that were sent get an answer as well.
    site.ingress.end_unanswered()
    async with asyncio.timeout(0.2):
        assert_that(await asyncio.gather(*sent), matchers.Equals([504, 504]))


async def test_a_stream_that_has_begun_goes_on_to_its_end(site):
    # The end of one upstream doesn't end it: another one resumes it.
    await site.upstream('draft', harness.streaming(1, 2, is_whole=False))
    await site.upstream('draft', harness.streaming(3, 6, pause_s=0.05))

    reading = await _begin_stream(site, 'draft')
    _close_in(site, 0.5)
    site.ingress.end_unanswered()
    assert_that(await reading, matchers.Contains(b'id: 6\n'))


@pytest.mark.parametrize('service', ['talk', 'read'])
async def test_an_answer_that_begins_as_the_others_end_is_not_cut(
    site, monkeypatch, service
):
    """Guards against an end that hits a request in its next turn."""
    size = 8 * 1024 * 1024
    scripts = {
        'talk': harness.streaming(1, 20, pause_s=0.01),
        'read': harness.answering('200 OK', b'x' * size),
    }
    owners = {
        'talk': (site.ingress.stall_judge, 'record_events'),
        'read': (site.ingress, 'close_if_leaving'),
    }
    await site.upstream(service, scripts[service])
    owner, name = owners[service]
    step = getattr(owner, name)

    def end_others_first(*args):
        if not site.ingress.is_refusing:
            site.ingress.end_unanswered()
        return step(*args)

    monkeypatch.setattr(type(owner), name, lambda _, *a: end_others_first(*a))
    async with site.request(service) as response:
        assert_that(response.status, matchers.Equals(200))
        body = await response.read()
    if service == 'read':
        assert_that(len(body), matchers.Equals(size))
    else:
        assert_that(body, matchers.Contains(b'id: 20\n'))
