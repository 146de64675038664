"""Tests of processes that meet clients outside the limits of heads."""

import asyncio
import itertools
import urllib.parse

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import hostile_crowds
from tests.process import platform_site
from tools.cluster import addresses

pytestmark = pytest.mark.process

# The smallest machine for callers in the users' deployments.
MEMORY_MB = 160
# Beside those at rest: connections of ordinary clients and of the fleet.
MORE_DESCRIPTORS = 10
PORTS = platform_site.PORTS | {
    'metrics': 9464,
    'links': platform_site.LINK_PORTS[0],
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 1000,
    'idleTimeoutMs': 15000,
}


@pytest.fixture
async def guarded_site(tmp_path):
    """Return a site of one entry whose memory is stated."""
    base = addresses.Addresses.for_this_process().prefix
    settings = {'limits': {'memoryMb': MEMORY_MB}}
    async with platform_site.site(
        tmp_path, base, with_disk=1, without=0, settings=settings
    ) as running:
        (entry,) = running.entries
        config = platform_site.document(1, limits=LIMITS)
        await running.put_until_acknowledged(entry, config)
        await require_answer(running)
        yield running


async def require_answer(site):
    """Send ordinary requests until one is answered."""
    (entry,) = site.entries
    numbers = itertools.count()

    async def is_answered():
        status, _ = await site.call(entry, 'read', f'r-{next(numbers)}')
        return status == 200

    await site.wait_until(is_answered)


async def find_problems(pid, host, port, wait_until, require_answer):
    """Let a crowd send each form; return what is wrong after each.

    Args:
        wait_until: waits until a coroutine function returns a true value.
        require_answer: sends ordinary requests until one is answered.
    """
    problems = {}
    allowed = hostile_crowds.descriptors(pid) + MORE_DESCRIPTORS

    async def is_rid_of_them():
        return hostile_crowds.descriptors(pid) <= allowed

    for form in hostile_crowds.FORMS:
        hostile_crowds.reset_peak(pid)
        crowd = hostile_crowds.Crowd(host, port, form)
        try:
            await crowd.send()
            await wait_until(is_rid_of_them)
            await require_answer()
        except (AssertionError, TimeoutError) as exc:
            problems[form] = repr(exc).partition('\\n')[0]
        finally:
            await crowd.close()
        peak_mb = hostile_crowds.peak_mb(pid)
        if peak_mb > MEMORY_MB:
            problems[form] = f'{peak_mb:.0f} MB'
    return problems


@pytest.mark.parametrize('name', PORTS)
async def test_crowds_outside_the_limits_exhaust_no_listener_of_an_entry(
    guarded_site, name
):
    (entry,) = guarded_site.entries
    problems = await find_problems(
        entry.process.pid,
        entry.ip,
        PORTS[name],
        guarded_site.wait_until,
        lambda: require_answer(guarded_site),
    )
    assert_that(problems, matchers.Equals({}))
    assert_that(entry.process.poll(), matchers.Is(None))


async def test_crowds_outside_the_limits_exhaust_no_entry_of_cassiashiftd(
    deployment,
):
    daemon = deployment.cluster.daemons['entry-1']
    url = urllib.parse.urlsplit(deployment.cluster.entry_urls()[0])
    numbers = itertools.count()

    async def wait_until(check):
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not await check():
                await asyncio.sleep(0.05)

    async def is_answered():
        id_ = f'dock-{next(numbers)}'
        reply = await deployment.create_caller().book('warehouse', id_)
        return reply.verdict == 'ran'

    problems = await find_problems(
        daemon.process.pid,
        url.hostname,
        url.port,
        wait_until,
        lambda: wait_until(is_answered),
    )
    assert_that(problems, matchers.Equals({}))
    assert_that(daemon.is_running(), matchers.Is(True))
