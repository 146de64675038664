"""Tests of limits that upstreams name in their answers to an entry."""

import asyncio
import time

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from tests.daemon.direct import conftest as harness

ISSUER = '127.0.0.8'


async def _call(site, service, **headers):
    async with site.request(service, **headers) as response:
        return response.status, await response.read(), response.headers


async def _limited(site, service, per_s='2'):
    """Start an upstream that names a limit in its next answer."""
    upstream = await site.upstream(
        service, harness.answering('200 OK', X_Limit=per_s)
    )
    await _call(site, service)
    return upstream


def _hear_issuer(site):
    """Let the entry hear another one, with a disk, that never answers."""
    record = fleet.EntryRecord(ISSUER, '', 'east', 'r', 1, has_disk=True)
    site.runner.entries.update(record, time.monotonic())


async def test_requests_above_the_limit_are_not_sent_elsewhere(site):
    limited = await _limited(site, 'read')
    other = await site.upstream('read')
    for _ in range(5):
        status, _, _ = await _call(site, 'read')
        assert_that(status, matchers.Equals(200))
    assert_that(len(limited.heads), matchers.LessThan(3))
    assert_that(len(other.heads), matchers.GreaterThan(3))


async def test_a_request_that_a_limit_leaves_no_room_for_waits(site):
    await _limited(site, 'read', '0.1')
    started = time.monotonic()
    status, body, headers = await _call(site, 'read')
    assert_that(status, matchers.Equals(503))
    assert_that(body, matchers.Contains(b'have reached their limits'))
    assert_that(time.monotonic() - started, matchers.LessThan(0.3))
    assert_that(float(headers['Retry-After']), matchers.GreaterThan(0.5))


async def test_a_request_gets_no_permit_from_its_own_entry(site, ticking):
    limited = await _limited(site, 'book', '5')
    async with asyncio.timeout(1.5):
        status, _, _ = await _call(site, 'book')
    assert_that(status, matchers.Equals(200))
    assert_that(len(limited.heads), matchers.Equals(2))


async def test_an_entry_whose_issuer_is_silent_sends_in_spite_of_a_limit(
    site, ticking
):
    limited = await _limited(site, 'book', '5')
    _hear_issuer(site)
    status, _, _ = await _call(site, 'book', X_Deadline='400')
    assert_that(status, matchers.Equals(503))
    assert_that(len(limited.heads), matchers.Equals(1))


async def test_a_limit_outlasts_its_last_mention(site, ticking):
    limited = await _limited(site, 'read', '5')
    for _ in range(4):
        status, _, _ = await _call(site, 'read')
        assert_that(status, matchers.Equals(200))
    assert_that(len(limited.heads), matchers.Equals(5))
    assert_that(site.runner.upstreams.limited_count(), matchers.Equals(0))


async def test_an_error_without_a_limit_ends_it(site):
    upstream = await _limited(site, 'book', '5')
    upstream.scripts = [harness.answering('500 Error')]
    await _call(site, 'book')
    assert_that(site.runner.upstreams.limited_count(), matchers.Equals(1))


async def test_a_meaningless_limit_stops_requests(site):
    await _limited(site, 'book', '-3')
    status, _, _ = await _call(site, 'book')
    assert_that(status, matchers.Equals(200))
    assert_that(site.runner.upstreams.limited_count(), matchers.Equals(0))


async def test_a_permit_that_comes_too_late_is_used(site, ticking):
    limited = await _limited(site, 'book', '5')
    _hear_issuer(site)
    task = asyncio.ensure_future(_call(site, 'book', X_Deadline='1000'))
    await asyncio.sleep(0.1)
    late = fleet.Permit('book-1', 0, 99, True, 0.0)
    site.ingress.placement.permits.on_permit(harness.SENDER, late)
    await asyncio.sleep(0.05)
    assert_that(len(limited.heads), matchers.Equals(1))
    number = site.condition('book-1').permit.number
    permit = fleet.Permit('book-1', 0, number, True, 0.0)
    site.ingress.placement.permits.on_permit(harness.SENDER, permit)
    status, _, _ = await task
    assert_that(status, matchers.Equals(200))
