"""Tests of what starts the processes of the other tests."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import late_entry
from tests.process import platform_site

pytestmark = pytest.mark.process


async def test_the_time_to_load_is_no_part_of_a_wait(
    tmp_path, loopback_network
):
    """Guards against setups that fail while a busy host loads processes."""
    async with platform_site.site(
        tmp_path,
        loopback_network,
        with_disk=1,
        without=0,
        settings={'faultTolerance': {'machines': 0}},
        module='tests.process.late_entry',
    ) as site:

        async def answers():
            status, _ = await site.call(site.entries[0], 'read', 'r')
            return status != 0

        timeout_s = late_entry.LATE_S / 2
        await site.wait_until(answers, timeout_s=timeout_s)


async def test_a_wait_for_a_process_that_has_ended_tells_why(
    tmp_path, loopback_network
):
    """Guards against failed setups that can't be traced."""
    async with platform_site.site(
        tmp_path,
        loopback_network,
        with_disk=1,
        without=0,
        settings={'ip': 'none'},
    ) as site:
        with pytest.raises(AssertionError) as raised:
            await site.wait_until(
                site.is_ready, site.entries[0], timeout_s=2.0
            )
    assert_that(str(raised.value), matchers.Contains('ended with 1'))


async def test_the_addresses_of_a_failed_setup_are_free(
    tmp_path, loopback_network
):
    """Guards against a failed setup that fails the next ones as well."""

    async def set_up(folder, error):
        folder.mkdir()
        async with platform_site.site(
            folder, loopback_network, with_disk=1, without=0
        ):
            raise error

    for name in ('first', 'next'):
        with pytest.raises(RuntimeError, match=name):
            await set_up(tmp_path / name, RuntimeError(name))
