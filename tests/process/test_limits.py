"""Tests of limits that hold across all entries, over real processes."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

pytestmark = pytest.mark.process

LIMIT_PER_S = 20.0
DURATION_S = 6.0
CALLERS_PER_ENTRY = 10


@pytest.mark.known_red
async def test_limit_holds_over_all_entries(deployment):
    manifest = deployment.manifest
    manifest['workspaces'][0]['limits'] = {'requests_per_second': LIMIT_PER_S}
    _, answer = await deployment.operator.apply(
        manifest, deployment.revision, 'limit'
    )
    await deployment.operator.wait_in_force(answer['revision'])
    counts = ReplyCounts()
    await asyncio.gather(
        *(
            call_until_end(deployment, url, counts)
            for url in deployment.cluster.entry_urls() * CALLERS_PER_ENTRY
        )
    )
    allowed = LIMIT_PER_S * DURATION_S + 2 * LIMIT_PER_S
    assert_that(counts.ran, matchers.LessThan(allowed))
    assert_that(counts.refused, matchers.GreaterThan(0))
    assert_that(counts.ran, matchers.GreaterThan(0))
    assert_that(counts.codes, matchers.Equals({'limit_exceeded'}))


@attrs.define
class ReplyCounts:
    """Counts of the replies that callers got, and their error codes."""

    ran: int = 0
    refused: int = 0
    codes: set = attrs.field(factory=set)


async def call_until_end(deployment, url, counts):
    """Call one entry for ``DURATION_S``; all callers exceed the limit."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + DURATION_S
    headers = {'Authorization': 'Bearer bakery-key'}
    path = f'{url}/v1/services/warehouse/stock/butter'
    while loop.time() < ends_at:
        async with deployment.session.get(path, headers=headers) as resp:
            if resp.status == 200:
                counts.ran += 1
            else:
                answer = await resp.json()
                counts.refused += 1
                counts.codes.add(answer['error']['code'])
        await asyncio.sleep(0.02)
