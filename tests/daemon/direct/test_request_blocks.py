"""Tests of how an entry keeps whole crashing requests from its upstreams."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_daemon.direct import calls
from tests.daemon.direct import conftest as harness

BODY = b'body'


@pytest.fixture
def blocked(site):
    """Return a function that blocks the requests of a service."""

    def block(service='book', left_s=42.0):
        identity = calls.identify(
            site.runner.secret.key,
            harness.TABLE.workspaces[0],
            'POST',
            f'/{service}/x?q=1',
            BODY,
            '',
        )
        record = poison.BlockRecord(poison.ANY_SERVICE, identity, 0, left_s)
        site.ingress.guard.sharing.on_block_news(
            harness.SENDER, poison.BlockNews((record,))
        )

    site.ingress.guard.sharing.on_blocked = (
        site.ingress.placement.admission.refuse_blocked
    )
    return block


async def _status(site, service, **headers):
    async with site.request(service, **headers) as response:
        await response.read()
        return response.status, response.headers


async def _crash_twice(site, service):
    """Let two upstreams crash under the requests of a service."""
    first = len(site.servers)

    def crash_of(number):
        async def crash(head, writer):
            site.stop_listening(number)
            writer.transport.abort()

        return crash

    for number in (first, first + 1):
        await site.upstream(service, crash_of(number))
        await _status(site, service)
        # Crashes at the same moment would have a common cause.
        await asyncio.sleep(0.1)


@pytest.mark.parametrize('service', ['read', 'book', 'talk'])
async def test_a_blocked_request_reaches_an_upstream(site, blocked, service):
    upstream = await site.upstream(service)
    blocked(service)
    status, headers = await _status(site, service)
    assert_that(status, matchers.Equals(503))
    assert_that(float(headers['Retry-After']), matchers.GreaterThan(41.0))
    assert_that(upstream.heads, matchers.Equals([]))


async def test_a_queued_request_is_sent_once_it_is_blocked(site, blocked):
    upstream = await site.upstream('book')
    site.condition('book-1').in_flight = 2
    queued = asyncio.ensure_future(_status(site, 'book'))
    await asyncio.sleep(0.1)
    blocked()
    async with asyncio.timeout(0.2):
        status, _ = await queued
    assert_that(status, matchers.Equals(503))
    assert_that(upstream.heads, matchers.Equals([]))


@pytest.mark.parametrize('service', ['read', 'book', 'draft'])
async def test_two_crashes_under_a_request_do_not_block_it(site, service):
    await _crash_twice(site, service)
    third = await site.upstream(service, harness.streaming(1, 5))
    status, _ = await _status(site, service)
    assert_that(status, matchers.Equals(503))
    assert_that(third.heads, matchers.Equals([]))


async def test_another_request_is_blocked_too(site):
    await _crash_twice(site, 'read')
    await site.upstream('read')
    async with site.session.get(
        f'{site.url}/read/other',
        headers={
            'Host': harness.HOST,
            'X-Id': 'r2',
            'Authorization': 'Token secret',
        },
    ) as response:
        assert_that(response.status, matchers.Equals(200))


async def test_an_answer_leaves_a_request_blocked(site, blocked):
    upstream = await site.upstream('book')
    blocked(left_s=-1.0)
    for _ in range(2):
        status, _ = await _status(site, 'book')
        assert_that(status, matchers.Equals(200))
    assert_that(len(upstream.heads), matchers.Equals(2))
    assert_that(site.ingress.guard.table.digest, matchers.Equals(0))


async def test_a_reset_without_a_crash_makes_a_request_suspect(site):
    await site.upstream('book', harness.reset)
    await _status(site, 'book')
    table = site.ingress.guard.table
    assert_that(table.suspected_request_count, matchers.Equals(0))


def test_entries_identify_one_request_differently(site):
    runner = site.runner
    older = fleet.SharedSecret(runner.secret.born_ns - 1, 'older')
    record = fleet.EntryRecord('127.0.0.9', '', 'east', 'r', 1)
    hello = fleet.Hello(record, secret=older)
    runner.on_hello(harness.SENDER, hello)
    assert_that(runner.secret, matchers.Equals(older))
    newer = attrs.evolve(older, born_ns=older.born_ns + 5, key='newer')
    runner.on_hello(harness.SENDER, attrs.evolve(hello, secret=newer))
    assert_that(runner.secret, matchers.Equals(older))
