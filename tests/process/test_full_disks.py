"""Tests of entries as processes whose disks are full one after another."""

import asyncio
import contextlib
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import platform_site

pytestmark = pytest.mark.process

MODULE = 'tests.process.full_disk_entry'
ACK_TIMEOUT_S = 4.0
VOTERS = 3
INTERVAL_S = 0.1


def sign_of(folder, number):
    """Return the path whose file marks the disk of an entry as full."""
    return folder / f'data-{number}.full'


async def test_a_founder_whose_disk_is_full_at_first_starts_the_log(
    tmp_path, loopback_network
):
    sign_of(tmp_path, 1).write_text('appending')
    async with platform_site.site(
        tmp_path, loopback_network, module=MODULE
    ) as site:
        founder = site.entries[0]

        async def has_failed():
            return 'event=voter_failed' in founder.log()

        await site.wait_until(has_failed)
        sign_of(tmp_path, 1).unlink()
        await site.put_until_acknowledged(
            site.entries[-1], platform_site.document(1)
        )
        for entry in site.entries:
            await site.require_version_read(entry, 1)


@pytest.fixture
async def site(tmp_path, loopback_network):
    """Run three voters, whose disks have room, and two other entries."""
    async with platform_site.site(
        tmp_path, loopback_network, module=MODULE
    ) as running:
        await running.put_until_acknowledged(
            running.entries[-1], platform_site.document(1)
        )

        async def have_all_joined():
            names = {running.entries[number].ip for number in range(VOTERS)}
            lines = running.entries[0].log().split('event=voters_changed')
            voters = lines[-1].split('voters=')[-1].split()[0].strip('"')
            return set(voters.split(',')) == names

        await running.wait_until(have_all_joined)
        yield running


async def configure(site, version):
    """Put a configuration; return the status of the answer."""
    return await site.put(site.entries[-1], platform_site.document(version))


async def evacuate(site, number):
    """Start or end an evacuation; return the status of the answer."""
    action = 'end' if number % 2 else 'start'
    return await site.evacuate(site.entries[-1], 'west', action)


@pytest.mark.parametrize('change', [configure, evacuate])
async def test_changes_are_acknowledged_while_disks_are_full_in_turn(
    site, tmp_path, change
):
    acknowledged_at = [time.monotonic()]
    versions = iter(range(2, 100_000))

    async def change_forever():
        while True:
            if await change(site, next(versions)) == 200:
                acknowledged_at.append(time.monotonic())
            await asyncio.sleep(INTERVAL_S)

    changing = asyncio.ensure_future(change_forever())
    for number in [1, 2, 3, 2, 1, 3]:
        sign = sign_of(tmp_path, number)
        sign.write_text('')
        await asyncio.sleep(2.0)
        sign.unlink()
    await asyncio.sleep(ACK_TIMEOUT_S)
    changing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await changing
    acknowledged_at.append(time.monotonic())
    waits_s = [
        later - earlier
        for earlier, later in zip(
            acknowledged_at, acknowledged_at[1:], strict=False
        )
    ]
    failures = sum(
        entry.log().count('event=voter_failed') for entry in site.entries
    )
    assert_that(failures, matchers.GreaterThan(3))
    assert_that(max(waits_s), matchers.LessThan(ACK_TIMEOUT_S))


async def test_a_voter_that_starts_on_a_full_disk_votes_later(site, tmp_path):
    second, third = site.entries[1:3]
    second.kill()
    sign_of(tmp_path, second.number).write_text('')
    length = len(second.log())
    second.start()

    async def is_refused():
        return 'event=folder_refused' in second.log()[length:]

    await site.wait_until(is_refused)
    await site.put_until_acknowledged(
        site.entries[-1], platform_site.document(2)
    )
    sign_of(tmp_path, second.number).unlink()

    async def has_opened():
        return 'event=voter_opened' in second.log()[length:]

    await site.wait_until(has_opened)
    third.kill()
    await site.put_until_acknowledged(
        site.entries[-1], platform_site.document(3)
    )
    await site.require_version_read(second, 3)


async def test_a_change_survives_a_lost_disk_and_the_end_of_all_entries(
    site, tmp_path
):
    sign = sign_of(tmp_path, 1)
    sign.write_text('')
    await asyncio.sleep(1.0)
    sign.unlink()
    await site.put_until_acknowledged(
        site.entries[-1], platform_site.document(2)
    )
    for entry in site.entries:
        entry.process.kill()
    for entry in site.entries:
        entry.process.wait()
    site.entries[1].wipe()
    for entry in site.entries:
        entry.start()
    for entry in site.entries:
        await site.require_version_read(entry, 2)
    await site.put_until_acknowledged(
        site.entries[-1], platform_site.document(3)
    )
    for entry in site.entries:
        await site.require_version_read(entry, 3)
