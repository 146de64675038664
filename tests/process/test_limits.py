"""Tests of limits that hold across entries, over real processes."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

pytestmark = pytest.mark.process

RATE = 20.0
SECONDS = 6.0
CALLERS = 10


async def test_limit_holds_over_all_entries(deployment):
    manifest = deployment.manifest
    manifest['workspaces'][0]['limits'] = {'requests_per_second': RATE}
    _, answer = await deployment.operator.apply(
        manifest, deployment.revision, 'limit'
    )
    await deployment.operator.wait_in_force(answer['revision'])
    counted = Counted()
    await asyncio.gather(
        *(
            call_for(deployment, url, counted)
            for url in deployment.cluster.entry_urls() * CALLERS
        )
    )
    allowed = RATE * SECONDS + 2 * RATE
    assert_that(counted.ran, matchers.LessThan(allowed))
    assert_that(counted.refused, matchers.GreaterThan(0))
    assert_that(counted.ran, matchers.GreaterThan(0))
    assert_that(counted.codes, matchers.Equals({'limit_exceeded'}))


@attrs.define
class Counted:
    """What callers were answered."""

    ran: int = 0
    refused: int = 0
    codes: set = attrs.field(factory=set)


async def call_for(deployment, url, counted):
    """Call one entry for some seconds, several times the limit."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    headers = {'Authorization': 'Bearer bakery-key'}
    path = f'{url}/v1/services/warehouse/stock/butter'
    while loop.time() < end:
        async with deployment.session.get(path, headers=headers) as resp:
            if resp.status == 200:
                counted.ran += 1
            else:
                answer = await resp.json()
                counted.refused += 1
                counted.codes.add(answer['error']['code'])
        await asyncio.sleep(0.02)
