"""A short run of the soak of planned stops, and what it found."""

import asyncio
import signal

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import platform_site
from tests.process import stop_soak

pytestmark = pytest.mark.process


@pytest.mark.parametrize('seed', [4, 9, 73])
async def test_planned_stops_lose_no_request_of_callers_that_stay(
    tmp_path, loopback_network, seed
):
    """Guards against requests cut or held while their entry stops."""
    finished = await stop_soak.run_seed(tmp_path, loopback_network, seed)
    assert_that(dict(finished.problems), matchers.Equals({}))


async def test_signals_at_the_end_of_a_stop_leave_its_status(
    tmp_path, loopback_network
):
    """Guards against signals that end a process once its loop is closed."""
    again = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]

    async def stop(entry, number):
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        while entry.process.poll() is None:
            entry.signal(number)
            await asyncio.sleep(0.002)
        return entry.process.returncode

    async with platform_site.site(
        tmp_path, loopback_network, without=len(again)
    ) as site:
        await site.put_until_acknowledged(
            site.entries[0], platform_site.document(1)
        )
        for entry in site.entries:
            await site.wait_until(site.is_ready, entry)
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            statuses = await asyncio.gather(
                *map(stop, site.entries[3:], again)
            )
    assert_that(statuses, matchers.Equals([0, 0, 0]))
