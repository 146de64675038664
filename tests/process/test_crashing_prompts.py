"""Tests of prompts that crash upstreams, with entries as processes."""

import asyncio
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import crashing_upstreams
from tests.process import platform_site

pytestmark = pytest.mark.process

# Bounds of the users' rules for requests with a part that crashes upstreams.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE_ARRIVALS = 3
CALM_S = 3.0
DAY_S = 12.0


@pytest.fixture
async def site(tmp_path, loopback_network):
    async with platform_site.site(tmp_path, loopback_network) as running:
        config = crashing_upstreams.route_of_drafts(platform_site.document(1))
        await running.put_until_acknowledged(running.entries[-1], config)
        for entry in running.entries:
            await running.wait_until(running.is_ready, entry)
        yield running


@pytest.mark.parametrize('seed', [1, 2])
async def test_a_part_that_crashes_upstreams_stops_reaching_them(
    site, loopback_network, seed
):
    day = crashing_upstreams.CrashingDay(site, random.Random(seed))
    await day.start(loopback_network)
    try:
        await day.run(CALM_S, crashing_per_s=0)
        began_at = asyncio.get_running_loop().time()
        await day.run(DAY_S, crashing_per_s=2.0, other_crashes=(1.0, 6.0))
    finally:
        await day.stop()
    ended_at = began_at + DAY_S
    last = day.crashes[:CRASHES][-1]
    late = [at for at, _ in day.arrivals if at > last + CONTACT_S]
    assert_that(len(late), matchers.LessThan(MAX_LATE_ARRIVALS + 1))
    usual = day.share_begun(began_at - CALM_S, began_at)
    served = day.share_begun(last + 2 * CONTACT_S, ended_at)
    assert_that(served, matchers.GreaterThan(usual / 2))
