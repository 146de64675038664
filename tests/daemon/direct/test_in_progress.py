"""Tests of the table of requests in progress."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import draining
from cassiashift_daemon.direct import ingress
from tests.daemon.direct import conftest as harness


async def _call(site, service, **kwargs):
    async with site.request(service, **kwargs) as response:
        return response.status, await response.read()


async def _described_in(site, phase):
    """Return the only request in progress once it is in a phase."""
    async with asyncio.timeout(5.0):
        while True:
            described = site.ingress.requests.unfinished()
            if [request.phase for request in described] == [phase]:
                return described[0]
            await asyncio.sleep(0.001)


async def test_a_stream_is_described_in_each_phase(site, ticking):
    gate = asyncio.Event()

    async def body():
        yield b'bo'
        await gate.wait()
        yield b'dy'

    await site.upstream(
        'draft', harness.streaming(1, 3, pause_s=0.2), harness.silent
    )
    condition = site.condition('draft-1')
    condition.in_flight = 2
    before = time.monotonic()
    calling = asyncio.ensure_future(_call(site, 'draft', body=body()))
    reading = await _described_in(site, draining.Phase.READING)
    assert_that(reading.id, matchers.Equals('r1'))
    assert_that(reading.arrived_at, matchers.GreaterThan(before))
    assert_that(
        (reading.route, reading.kind), matchers.Equals(('draft', 'stream'))
    )
    assert_that(reading.ends_at, matchers.Is(None))
    gate.set()
    waiting = await _described_in(site, draining.Phase.WAITING)
    assert_that((waiting.upstream, waiting.sends), matchers.Equals(('', 0)))
    assert_that(
        waiting.ends_at - waiting.arrived_at, matchers.GreaterThan(1.99)
    )
    condition.in_flight = 0
    answering = await _described_in(site, draining.Phase.ANSWERING)
    assert_that(
        (answering.upstream, answering.sends),
        matchers.Equals(('draft-1', 1)),
    )
    assert_that(answering.events, matchers.GreaterThan(0))
    status, content = await calling
    assert_that(status, matchers.Equals(200))
    assert_that(content, matchers.Contains(b'id: 3\n'))
    assert_that(site.ingress.in_flight, matchers.Equals(0))


@pytest.mark.parametrize('service', ['book', 'talk'])
async def test_a_request_that_was_sent_names_its_upstream(site, service):
    await site.upstream(service, harness.silent)
    calling = asyncio.ensure_future(_call(site, service))
    sent = await _described_in(site, draining.Phase.SENT)
    assert_that(
        (sent.route, sent.upstream, sent.sends, sent.events),
        matchers.Equals((service, f'{service}-1', 1, 0)),
    )
    calling.cancel()
    await asyncio.wait([calling])


@pytest.mark.parametrize('service', ['read', 'draft'])
async def test_failed_sends_are_counted_and_the_newest_is_named(site, service):
    await site.upstream(service, harness.reset)
    await site.upstream(service, harness.silent)
    # The first is preferred until it fails.
    site.condition(f'{service}-2').in_flight = 1
    calling = asyncio.ensure_future(_call(site, service))
    async with asyncio.timeout(5.0):
        while (sent := await _described_in(site, draining.Phase.SENT)) and (
            sent.sends < 2
        ):
            await asyncio.sleep(0.001)
    assert_that(sent.upstream, matchers.Equals(f'{service}-2'))
    calling.cancel()
    await asyncio.wait([calling])


@pytest.fixture
def outcomes(site, monkeypatch):
    """Return the list of outcomes that the metrics of the site record."""
    recorded = []
    monkeypatch.setattr(
        site.ingress.metrics,
        'record_request',
        lambda outcome, spent_s: recorded.append(outcome),
    )
    return recorded


@pytest.fixture
def events(monkeypatch):
    """Return the list of events that the ingress logs."""
    logged = []
    for level in ('info', 'warning'):
        monkeypatch.setattr(
            ingress.logs, level, lambda event, **fields: logged.append(event)
        )
    return logged


async def _begun_stream(site):
    await site.upstream('talk', harness.streaming(1, 500, pause_s=0.02))
    calling = asyncio.ensure_future(_call(site, 'talk'))
    await _described_in(site, draining.Phase.ANSWERING)
    return calling


@pytest.mark.parametrize('is_final', [False, True])
async def test_a_caller_that_leaves_is_logged(
    site, outcomes, events, is_final
):
    calling = await _begun_stream(site)
    site.ingress.requests.is_final = is_final
    calling.cancel()
    await asyncio.wait([calling])
    async with asyncio.timeout(5.0):
        while site.ingress.in_flight:
            await asyncio.sleep(0.001)
    assert_that(outcomes, matchers.Equals(['cancelled']))
    assert_that(events, matchers.Contains('caller_left'))


async def test_a_request_cut_by_the_end_does_not_look_like_a_left_caller(
    site, outcomes, events
):
    calling = await _begun_stream(site)
    site.ingress.requests.is_final = True
    await site.server.shutdown(0.01)
    await asyncio.wait([calling])
    assert_that(site.ingress.in_flight, matchers.Equals(0))
    assert_that(outcomes, matchers.Equals(['cut_by_end']))
    assert_that('caller_left' in events, matchers.Is(False))


async def test_a_request_that_arrives_after_the_end_is_logged(site, events):
    await site.upstream('read')
    await _call(site, 'read')
    assert_that('request_after_end' in events, matchers.Is(False))
    site.ingress.requests.is_final = True
    await _call(site, 'read')
    assert_that(events, matchers.Contains('request_after_end'))
