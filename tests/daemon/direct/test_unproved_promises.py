"""Tests of upstreams' statuses that promise "not run" without proof."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon.direct import conftest as harness

STATUSES = ['408 Request Timeout', '429 Too Many', '503 Unavailable']
FAILURE = harness.answering('500 No', b'why')
REFUSAL = harness.answering('503 No', X_Not_Run='1')


async def _answer(site, service):
    async with site.request(service) as response:
        return response.status, await response.read(), response.headers


def _assert_promises_nothing(answer):
    status, body, headers = answer
    assert_that(status, matchers.Equals(502))
    assert_that(body, matchers.Not(matchers.Contains(b'why')))
    for name in ('X-Stamp', 'X-Id', 'Retry-After'):
        assert_that(headers, matchers.Not(matchers.Contains(name)))


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('service', ['book', 'talk'])
async def test_a_request_that_may_have_run_gets_no_promise_of_its_upstream(
    site, service, status
):
    # Otherwise the caller sends it again, and it runs twice.
    unproved = harness.answering(status, b'why', Retry_After='0.1')
    upstreams = [await site.upstream(service, unproved) for _ in range(2)]
    _assert_promises_nothing(await _answer(site, service))
    sends = sum(len(upstream.heads) for upstream in upstreams)
    assert_that(sends, matchers.Equals(1))


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('service', ['read', 'draft'])
async def test_an_unproved_promise_is_retried_where_the_route_permits_it(
    site, service, status
):
    unproved = [harness.answering(status, b'why', Retry_After='0.01')] * 2
    upstreams = [await site.upstream(service, *unproved) for _ in range(2)]
    _assert_promises_nothing(await _answer(site, service))
    sends = sum(len(upstream.heads) for upstream in upstreams)
    assert_that(sends, matchers.Equals(2))


@pytest.mark.parametrize('last', [REFUSAL, harness.answering(STATUSES[2])])
async def test_an_earlier_failure_is_returned_rather_than_a_promise(
    site, ticking, last
):
    for _ in range(2):
        await site.upstream('read', FAILURE, last, last, last)
    status, body, headers = await _answer(site, 'read')
    assert_that(status, matchers.Equals(500))
    assert_that(body, matchers.Equals(b'why'))


async def test_a_refusal_after_an_unproved_promise_promises_nothing(
    site, ticking
):
    unproved = harness.answering(STATUSES[2], b'why')
    for _ in range(2):
        await site.upstream('read', unproved, *[REFUSAL] * 3)
    _assert_promises_nothing(await _answer(site, 'read'))


@pytest.mark.parametrize('status', STATUSES)
async def test_an_unproved_promise_counts_as_a_failure_of_its_upstream(
    site, status
):
    await site.upstream('book', harness.answering(status))
    await _answer(site, 'book')
    condition = site.condition('book-1')
    assert_that(condition.failures_in_row, matchers.Equals(1))
