"""Tests of ``cassiashiftd`` with voters whose disks are full in turn."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import conftest
from tests.process import test_failures

pytestmark = pytest.mark.process

MODULE = 'tests.process.full_disk_daemon'
VOTERS = ('entry-1', 'entry-2', 'entry-3')
FULL_S = 2.0
RESTART_S = 0.5
FINAL_ANSWER_S = 20.0


@pytest.fixture
async def deployment(tmp_path):
    """Return a deployment whose voters' disks may be full."""
    options = ['--directory-ttl-s', '1.0']
    async with conftest.running_deployment(
        tmp_path, module=MODULE, entry=options
    ) as running:
        yield running


async def keep_running(cluster, name):
    """Start a process again whenever it ends, as a service manager does."""
    while True:
        if not cluster.daemons[name].is_running():
            await asyncio.sleep(RESTART_S)
            cluster.start(name)
        await asyncio.sleep(0.05)


async def test_voters_whose_disks_were_full_serve_after_a_restart(deployment):
    cluster, operator = deployment.cluster, deployment.operator
    managers = [
        asyncio.ensure_future(keep_running(cluster, name)) for name in VOTERS
    ]
    try:
        async with test_failures.RunningLoad(deployment) as running:
            for name in VOTERS:
                sign = cluster.folder / f'{name}.full'
                sign.write_text('')
                await asyncio.sleep(FULL_S)
                sign.unlink()
                await operator.wait_in_force(deployment.revision)
                await running.wait_for_calls(20)
        done = running.load.done
        slowest_s = max(item.reply.seconds for item in done)
        assert_that(slowest_s, matchers.LessThan(FINAL_ANSWER_S))
        unanswered = [item for item in done if item.reply.verdict != 'ran']
        assert_that(unanswered, matchers.Equals([]))
        assert_that(running.find_violations(), matchers.Equals([]))
        for name in VOTERS:
            assert_that(
                cluster.log_of(name), matchers.Contains('process_failed')
            )
        _, answer = await operator.apply(
            deployment.manifest, deployment.revision, 'after'
        )
        await operator.wait_in_force(answer['revision'])
    finally:
        for manager in managers:
            manager.cancel()
