"""Which pauses of streams count for the concurrency limit."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon.direct import conftest

CALLER_WAITS_S = 0.5


@attrs.define
class Recorder:
    """Stands in for the limits of services; keeps the recorded pauses."""

    pauses: list = attrs.field(factory=list)

    def record_pause(self, service, stream, pause_s):
        """Keep a pause."""
        self.pauses.append(pause_s)

    def limit(self, service):
        """Return no limit for any service."""


@pytest.fixture
def recorder(site):
    """Return the recorder of the site's pauses."""
    recorder = Recorder()
    site.ingress.placement.admission.limits = recorder
    return recorder


async def test_pauses_between_events_count(site, recorder):
    await site.upstream('talk', conftest.streaming(1, 4, pause_s=0.05))
    async with site.request('talk') as response:
        await response.read()
    assert_that(recorder.pauses, matchers.HasLength(3))
    assert_that(min(recorder.pauses) >= 0.04, matchers.Equals(True))


async def test_pauses_of_a_slow_caller_do_not_count(site, recorder):
    """Such pauses would lower the limit of a group that is not loaded."""

    async def large(head, writer):
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(1, 401):
            text = b'x' * 60_000
            data = b'id: %d\ndata: %s\n\n' % (number, text)
            writer.write(b'%x\r\n' % len(data) + data + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    await site.upstream('long', large)
    async with site.request('long') as response:
        await response.content.readany()
        await asyncio.sleep(CALLER_WAITS_S)
        await response.read()
    assert_that(recorder.pauses, matchers.Not(matchers.HasLength(0)))
    # The buffers between upstream and caller fill within a part of the wait.
    longest = max(recorder.pauses)
    assert_that(longest < CALLER_WAITS_S / 2, matchers.Equals(True))


async def test_a_resumed_stream_does_not_count_the_time_between_sends(
    site, recorder
):
    """The time without an upstream is no pause of the group's passes."""
    await site.upstream(
        'draft', conftest.streaming(1, 2, is_whole=False, pause_s=0.1)
    )
    await site.upstream('draft', conftest.streaming(3, 4))
    async with site.request('draft') as response:
        await response.read()
    counts = len(recorder.pauses)
    assert_that(counts <= 2, matchers.Equals(True))
