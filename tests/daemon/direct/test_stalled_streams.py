"""Tests of upstreams that fall silent in a stream, beside others."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from tests.daemon.direct import conftest as harness

EVENTS = 6
OTHER_EVENTS = 400


def events(first, last):
    """Return the events of a stream as its caller gets them."""
    return ''.join(f'id: {n}\ndata: x\n\n' for n in range(first, last + 1))


def stalling_after(last, trickle=b''):
    """Return a script that sends events up to one and no more.

    Args:
        trickle: bytes sent again and again after that.
    """

    async def script(head, writer):
        if last:
            await harness.streaming(1, last, is_whole=False)(head, writer)
        if not trickle:
            await asyncio.sleep(30)
        while True:
            writer.write(f'{len(trickle):x}\r\n'.encode() + trickle + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.05)

    return script


async def call_beside_others(site, service, script):
    """Send a request to an upstream with a script while others go on.

    Returns the caller's status and events, and the second upstream.
    """
    await site.upstream(service, script)
    second = await site.upstream(
        service,
        harness.streaming(1, OTHER_EVENTS, pause_s=0.01),
        harness.streaming(3, EVENTS),
    )
    condition = site.condition(f'{service}-1')
    condition.in_flight = 2
    async with site.request(service, X_Id='other') as other:
        await other.content.readuntil(b'\n\n')
        condition.in_flight = 0
        async with site.request(service) as response:
            return response.status, await response.text(), second


@pytest.mark.parametrize('trickle', [b'', b':', b'd'])
async def test_a_stalled_stream_goes_on_at_another_upstream(
    site, ticking, trickle
):
    status, text, second = await call_beside_others(
        site, 'draft', stalling_after(2, trickle)
    )
    assert_that(status, matchers.Equals(200))
    assert_that(text, matchers.Equals(events(1, EVENTS)))
    assert_that(
        harness.header(second.heads[1], 'Last-Event-Id'), matchers.Equals('2')
    )


async def test_a_stream_that_does_not_begin_begins_at_another_upstream(
    site, ticking
):
    status, text, second = await call_beside_others(
        site, 'draft', stalling_after(0)
    )
    assert_that(status, matchers.Equals(200))
    assert_that(text, matchers.Equals(events(3, EVENTS)))
    assert_that(
        harness.header(second.heads[1], 'Last-Event-Id'), matchers.Is(None)
    )


async def test_a_slow_stream_stays_where_it_is(site, ticking):
    status, text, second = await call_beside_others(
        site, 'draft', harness.streaming(1, 4, pause_s=0.4)
    )
    assert_that(status, matchers.Equals(200))
    assert_that(text, matchers.Equals(events(1, 4)))
    assert_that(second.heads, matchers.HasLength(1))


async def test_a_silent_stream_stays_if_a_stop_lets_no_other_send_start(
    site, ticking
):
    """Guards against an answer given up although nothing can replace it."""

    async def late(head, writer):
        now = time.monotonic()
        site.ingress.placement.admission.begin_closing(
            admission.Closing(now, now, now)
        )
        await asyncio.sleep(1.5)
        await harness.streaming(1, 2)(head, writer)

    status, text, second = await call_beside_others(site, 'draft', late)
    assert_that(status, matchers.Equals(200))
    assert_that(text, matchers.Equals(events(1, 2)))
    assert_that(second.heads, matchers.HasLength(1))


async def test_a_stream_that_can_not_be_resumed_stays(site, ticking):
    async def late(head, writer):
        await asyncio.sleep(1.5)
        await harness.streaming(1, 2)(head, writer)

    status, text, second = await call_beside_others(site, 'talk', late)
    assert_that(status, matchers.Equals(200))
    assert_that(text, matchers.Equals(events(1, 2)))
    assert_that(second.heads, matchers.HasLength(1))
