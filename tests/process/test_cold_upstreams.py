"""Test of an upstream that is cold after its start, with real entries."""

import asyncio
import random
import signal

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import limited_upstreams
from tests.process import platform_site

pytestmark = pytest.mark.process

# From docs/design/uneven-load.md: coldPerS x coldOverage + coldSlack.
ALLOWED_ARRIVALS = 15 * 1.5 + 5
OFFERED_PER_S = 60.0


@pytest.fixture
async def site(tmp_path, loopback_network):
    service = {
        'name': 'desk',
        'healthPath': '/healthz',
        'coldPerS': 15,
        'coldStartS': 3,
    }
    async with platform_site.site(tmp_path, loopback_network) as running:
        await running.put_until_acknowledged(
            running.entries[-1], platform_site.document(1, services=[service])
        )
        for entry in running.entries:
            await running.wait_until(running.is_ready, entry)
        yield running


async def _turn_cold(site):
    """Start the upstream again, then let it turn cold once more."""
    await asyncio.sleep(2.0)
    site.upstream.born += 1
    site.upstream.become_cold(3.0)
    await asyncio.sleep(5.0)
    site.upstream.become_cold(2.0)
    site.entries[0].signal(signal.SIGSTOP)
    await asyncio.sleep(3.0)
    site.entries[0].signal(signal.SIGCONT)


@pytest.mark.known_red
async def test_a_cold_upstream_gets_too_many_requests(site):
    day = limited_upstreams.LimitedDay(site, random.Random(1))
    await asyncio.gather(day.run(12.0, OFFERED_PER_S), _turn_cold(site))
    arrived = site.upstream.cold_arrived_at
    most = limited_upstreams.most_in_window(arrived, 0.0, window_s=1.0)
    assert_that(most, matchers.LessThan(ALLOWED_ARRIVALS))
    assert_that(len(arrived), matchers.GreaterThan(15))
