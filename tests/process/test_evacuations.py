"""Tests of evacuations of data centres with entries as processes."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import platform_site

pytestmark = pytest.mark.process


@pytest.fixture
async def site(tmp_path, loopback_network):
    async with platform_site.site(tmp_path, loopback_network) as running:
        await running.put_until_acknowledged(
            running.entries[-1], platform_site.document(1)
        )
        for entry in running.entries:
            await running.wait_until(running.is_ready, entry)
            await running.wait_until(_serves, running, entry, 'first')
        yield running


async def _serves(site, entry, prefix):
    id_ = f'{prefix}-{entry.number}-{time.monotonic()}'
    status, _ = await site.call(entry, 'read', id_)
    return status == 200


async def _refuses(site, entry, prefix):
    id_ = f'{prefix}-{entry.number}-{time.monotonic()}'
    status, body = await site.call(entry, 'read', id_)
    return status == 503 and b'evacuated' in body


async def test_an_evacuation_is_in_force_everywhere_until_its_end(site):
    """Also after all entries were killed, and with copies of the order."""
    await site.evacuate_until_acknowledged(site.entries[4], 'east', 'start')
    for entry in site.entries:
        await site.wait_until(_refuses, site, entry, 'evacuated')
    status = await site.evacuate(site.entries[1], 'east', 'start')
    assert_that(status, matchers.Equals(200))
    arrived = len(site.upstream.arrived_at)

    for entry in site.entries:
        entry.kill()
    for entry in site.entries:
        entry.start()
    for entry in site.entries:
        await site.wait_until(_refuses, site, entry, 'restarted')
    assert_that(site.upstream.arrived_at, matchers.HasLength(arrived))

    await site.evacuate_until_acknowledged(site.entries[0], 'east', 'end')
    for entry in site.entries:
        await site.wait_until(_serves, site, entry, 'ended')


async def test_orders_that_can_not_be_taken_are_refused(site):
    entry = site.entries[2]
    statuses = [
        await site.evacuate(entry, 'north', 'start'),
        await site.evacuate(entry, 'east', 'start', b'{}'),
    ]
    assert_that(statuses, matchers.Equals([404, 400]))
    # Too few voters: it may not be acknowledged.
    for other in site.entries[:2]:
        other.kill()
    await asyncio.sleep(1.0)
    status = await site.evacuate(entry, 'east', 'start')
    assert_that(status, matchers.Equals(503))
