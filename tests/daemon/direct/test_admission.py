"""Requests that wait for a slot, or are refused for want of one."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon.direct import conftest


@attrs.define(eq=False)
class Full:
    """The only upstream of the service model; its slot is in use.

    Attributes:
        release: the answer that holds the slot lasts until this is set.
        first: the task of that request.
    """

    upstream: conftest.ScriptedUpstream
    release: asyncio.Event
    first: asyncio.Future


@pytest.fixture
async def full(site):
    """Return the full upstream of the service model."""
    release = asyncio.Event()
    stream = conftest.streaming(1, 1)

    async def held(head, writer):
        await release.wait()
        await stream(head, writer)

    upstream = await site.upstream('model', held, stream, stream)
    first = asyncio.ensure_future(call(site, 'chat'))
    await until(lambda: upstream.heads)
    yield Full(upstream, release, first)
    release.set()
    await first


async def call(site, route, **headers):
    """Return the status, the headers and the text of an answer."""
    async with site.request(route, **headers) as response:
        return response.status, response.headers, await response.text()


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def admission_of(site):
    """Return the admission of a site."""
    return site.ingress.placement.admission


def metrics_of(site):
    """Return the lines of a site's metrics."""
    return site.ingress.metrics.text().decode().splitlines()


async def test_an_urgent_request_overtakes_one_that_waits(site, full):
    bulk = asyncio.ensure_future(call(site, 'bulk', X_Id='b'))
    await until(lambda: admission_of(site).queued_count('model') == 1)
    chat = asyncio.ensure_future(call(site, 'chat', X_Id='c'))
    await until(lambda: admission_of(site).queued_count('model') == 2)
    full.release.set()
    for answer in await asyncio.gather(bulk, chat):
        assert_that(answer[0], matchers.Equals(200))
    paths = [head.split()[1] for head in full.upstream.heads]
    assert_that(
        paths, matchers.Equals(['/chat/x?q=1', '/chat/x?q=1', '/bulk/x?q=1'])
    )


async def test_a_request_that_cannot_be_in_time_is_refused_at_once(site, full):
    """It would wait until it is late, and its caller return later still."""
    load = admission_of(site)._gate('model').load
    load.hold.mean = 9.0
    status, headers, text = await call(site, 'chat', X_Deadline='1500')
    assert_that(status, matchers.Equals(503))
    assert_that(text, matchers.Contains('the queue is too long'))
    # Callers wait a third of the time that they have left.
    retry_after_s = float(headers['Retry-After'])
    assert_that(0 < retry_after_s <= 0.5, matchers.Equals(True))
    refused = (
        'cassiashift_refusals_total{priority="0",'
        'reason="the queue is too long"} 1.0'
    )
    assert_that(metrics_of(site), matchers.Contains(refused))


async def test_a_queued_request_is_refused_when_no_upstream_is_left(
    site, full, ticking
):
    """After the evacuation of the last data centre nothing can serve it."""
    waiting = asyncio.ensure_future(call(site, 'chat'))
    await until(lambda: admission_of(site).queued_count('model') == 1)
    site.runner.upstreams.mark_gone('model-1', 0)
    status, headers, text = await waiting
    assert_that(status, matchers.Equals(503))
    assert_that(text, matchers.Contains('no upstream is known'))
    assert_that(headers, matchers.Contains('Retry-After'))


async def test_a_cancelled_request_leaves_the_queue_and_its_slot(site, full):
    """A slot that leaks makes the service look full for ever."""
    waiting = asyncio.ensure_future(call(site, 'chat'))
    await until(lambda: admission_of(site).queued_count('model') == 1)
    waiting.cancel()
    await until(lambda: admission_of(site).queued_count('model') == 0)
    full.release.set()
    await full.first
    await until(lambda: not site.condition('model-1').in_flight)
    gate = admission_of(site)._gate('model')
    assert_that(gate.in_flight, matchers.Equals(0))


async def test_promised_returns_are_counted(site, full):
    load = admission_of(site)._gate('model').load
    load.hold.mean = 9.0
    _, headers, _ = await call(site, 'chat')
    load.hold.mean = 0.1
    full.release.set()
    await full.first
    await asyncio.sleep(float(headers['Retry-After']))
    status, _, _ = await call(site, 'chat')
    assert_that(status, matchers.Equals(200))
    for outcome in ('promised', 'returned', 'placed'):
        line = f'cassiashift_promised_returns_total{{outcome="{outcome}"}} 1.0'
        assert_that(metrics_of(site), matchers.Contains(line))
