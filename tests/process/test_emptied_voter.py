"""Tests that a voter that lost its disk serves no older state."""

import asyncio
import re
import shutil

import pytest
from testtools.assertions import assert_that
from testtools import matchers

pytestmark = pytest.mark.process

_CONFIRMED = re.compile(r'event=state_confirmed revision=(\d+)')


async def test_an_emptied_voter_confirms_no_older_revision(deployment):
    cluster = deployment.cluster
    cluster.kill('entry-3')
    shutil.rmtree(cluster.folder / 'entry-3')
    old_length = len(cluster.log_of('entry-3'))
    cluster.start('entry-3')
    log = ''
    while 'role=refused' not in log:
        assert_that(cluster.daemons['entry-3'].is_running(), matchers.Is(True))
        await asyncio.sleep(0.05)
        log = cluster.log_of('entry-3')[old_length:]
    confirmed = [int(number) for number in _CONFIRMED.findall(log)]
    stale = [item for item in confirmed if item < deployment.revision]
    assert_that(stale, matchers.HasLength(0))
    async with deployment.session.get(
        cluster.url_of('entry-3') + '/readyz'
    ) as resp:
        assert_that(resp.status, matchers.Equals(503))
