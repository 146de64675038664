"""Tests of upstreams that name a limit, with entries as processes."""

import asyncio
import random
import signal
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import limited_upstreams
from tests.process import platform_site

pytestmark = pytest.mark.process

DAY_S = 10.0
OFFERED_PER_S = 15.0


@pytest.fixture
async def site(tmp_path, loopback_network):
    async with platform_site.site(tmp_path, loopback_network) as running:
        await running.put_until_acknowledged(
            running.entries[-1], platform_site.document(1)
        )
        for entry in running.entries:
            await running.wait_until(running.is_ready, entry)
        yield running


async def _restart_one(site):
    await asyncio.sleep(DAY_S / 2)
    entry = site.entries[-1]
    entry.signal(signal.SIGTERM)
    await asyncio.to_thread(entry.process.wait, 12)
    entry.start()


@pytest.mark.parametrize(('seed', 'limit_per_s'), [(1, 1.1), (2, 3.0)])
async def test_entries_together_exceed_the_limit_of_an_upstream(
    site, seed, limit_per_s
):
    day = limited_upstreams.LimitedDay(site, random.Random(seed))
    await day.run(1.0, OFFERED_PER_S)
    site.upstream.limit_per_s = limit_per_s
    named_at = time.monotonic()
    await asyncio.gather(day.run(DAY_S, OFFERED_PER_S), _restart_one(site))
    since = named_at + limited_upstreams.CONTACT_S
    most = limited_upstreams.most_in_window(site.upstream.arrived_at, since)
    bound = limited_upstreams.allowed(limit_per_s)
    assert_that(most, matchers.LessThan(bound + 1))
    served = day.served(since) / (DAY_S - limited_upstreams.CONTACT_S)
    assert_that(served, matchers.GreaterThan(limit_per_s / 2))
