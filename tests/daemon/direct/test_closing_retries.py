"""Tests of failed sends of requests in progress during a planned stop."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from tests.daemon.direct import conftest as harness

# The first case of each test is a control.
BEGINS_STOP = [False, True]
REFUSAL = harness.answering('503 Service Unavailable', X_Not_Run='1')


def _close_in(site, seconds):
    ends_at = time.monotonic() + seconds
    site.ingress.placement.admission.begin_closing(
        admission.Closing(ends_at, over_at=ends_at + 0.1, known_until=0.0)
    )


async def _read(site, service):
    async with site.request(service) as response:
        return response.status, await response.text()


async def _until_begun(site):
    while not any(
        row.has_begun for row in site.ingress.requests._rows.values()
    ):
        await asyncio.sleep(0.001)


@pytest.mark.parametrize('begins_stop', BEGINS_STOP)
async def test_a_refused_resumption_does_not_end_a_begun_stream_of_a_stop(
    site, ticking, begins_stop
):
    await site.upstream(
        'draft', harness.streaming(1, 2, is_whole=False, pause_s=0.1)
    )
    second = await site.upstream('draft', REFUSAL, harness.streaming(3, 6))
    site.condition('draft-2').in_flight = 1
    reading = asyncio.ensure_future(_read(site, 'draft'))
    await _until_begun(site)
    site.condition('draft-2').in_flight = 0
    if begins_stop:
        _close_in(site, 1.0)
    _, text = await reading
    assert_that(text, matchers.Contains('id: 6\n'))
    assert_that(second.heads, matchers.HasLength(2))


@pytest.mark.parametrize('begins_stop', BEGINS_STOP)
async def test_a_repeatable_request_in_progress_is_repeated_in_a_stop(
    site, ticking, begins_stop
):
    async def late_reset(head, writer):
        await asyncio.sleep(0.2)
        writer.transport.abort()

    first = await site.upstream('read', late_reset)
    reading = asyncio.ensure_future(_read(site, 'read'))
    while not first.heads:
        await asyncio.sleep(0.001)
    await site.upstream('read')
    if begins_stop:
        _close_in(site, 1.0)
    status, _ = await reading
    assert_that(status, matchers.Equals(200))
