"""Tests of how an entry keeps crashing prompts from its upstreams."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import poison
from tests.daemon.direct import conftest as harness

BLOCK = poison.BlockRecord('draft', 'bad', 0, 42.0)


@pytest.fixture
def blocked(site):
    """Return a function that blocks the part ``bad`` at the entry."""

    def block():
        site.ingress.guard.sharing.on_block_news(
            harness.SENDER, poison.BlockNews((BLOCK,))
        )

    site.ingress.guard.sharing.on_blocked = (
        site.ingress.placement.admission.refuse_blocked
    )
    return block


async def _status(site, parts, **headers):
    async with site.request('draft', X_Parts=parts, **headers) as response:
        await response.read()
        return response.status, response.headers


async def test_a_blocked_part_is_refused_with_the_end_of_its_block(
    site, blocked
):
    upstream = await site.upstream('draft')
    blocked()
    status, headers = await _status(site, 'a bad')
    assert_that(status, matchers.Equals(503))
    assert_that(
        abs(float(headers['Retry-After']) - 42.0), matchers.LessThan(1.0)
    )
    assert_that(upstream.heads, matchers.Equals([]))


async def test_a_queued_request_is_refused_once_its_part_is_blocked(
    site, blocked
):
    upstream = await site.upstream('draft', *[harness.silent] * 2)
    sent = [asyncio.ensure_future(_status(site, 'a')) for _ in range(2)]
    await asyncio.sleep(0.1)
    queued = asyncio.ensure_future(_status(site, 'a bad'))
    await asyncio.sleep(0.1)
    blocked()
    async with asyncio.timeout(0.2):
        status, _ = await queued
    assert_that(status, matchers.Equals(503))
    assert_that(len(upstream.heads), matchers.Equals(2))
    for task in sent:
        task.cancel()


async def test_a_request_is_judged_again_before_its_second_send(site, blocked):
    async def break_off(head, writer):
        blocked()
        writer.transport.abort()

    first = await site.upstream('draft', break_off)
    second = await site.upstream('draft', break_off)
    status, _ = await _status(site, 'a bad')
    assert_that(status, matchers.Equals(502))
    sends = len(first.heads) + len(second.heads)
    assert_that(sends, matchers.Equals(1))


async def test_only_an_upstream_that_refuses_connections_has_crashed(site):
    table = site.ingress.guard.table
    await site.upstream('draft', harness.reset)
    await _status(site, 'a bad')
    assert_that(table.suspected_count, matchers.Equals(0))

    async def crash(head, writer):
        site.stop_listening(1)
        writer.transport.abort()

    site.stop_listening(0)
    await site.upstream('draft', crash)
    await _status(site, 'a bad')
    assert_that(table.suspected_count, matchers.Equals(2))


async def test_an_answer_under_way_clears_the_parts_of_its_prompt(site):
    table = site.ingress.guard.table
    await site.upstream('draft', harness.streaming(1, poison.BEGUN_EVENTS))
    status, _ = await _status(site, 'a b')
    assert_that(status, matchers.Equals(200))
    loop = asyncio.get_running_loop()
    suspects = table.find_suspects('draft', ('a', 'b', 'c'), loop.time())
    assert_that(suspects, matchers.Equals(('c',)))
