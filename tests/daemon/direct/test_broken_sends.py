"""Tests of sends whose connection ends before an answer."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon.direct import conftest as harness

METHODS = ('GET', 'PUT', 'DELETE', 'POST')


async def _status(site, service, method):
    async with site.request(service, method=method) as response:
        await response.read()
        return response.status


@pytest.mark.parametrize('method', METHODS)
async def test_an_unsafe_request_runs_twice_on_a_broken_connection(
    site, method
):
    upstream = await site.upstream('book', harness.reset)
    status = await _status(site, 'book', method)
    assert_that(status, matchers.Equals(502))
    assert_that(len(upstream.heads), matchers.Equals(1))


@pytest.mark.parametrize('method', METHODS)
async def test_a_request_that_crashed_an_upstream_is_told_as_not_run(
    site, method
):
    async def crash(head, writer):
        site.stop_listening(0)
        await asyncio.sleep(0)
        writer.transport.abort()

    await site.upstream('book', crash)
    status = await _status(site, 'book', method)
    assert_that(status, matchers.Equals(502))


@pytest.mark.parametrize('method', METHODS)
async def test_a_broken_send_counts_for_one_attempt_only(site, method):
    upstreams = [
        await site.upstream('read', *[harness.reset] * 2) for _ in range(3)
    ]
    status = await _status(site, 'read', method)
    assert_that(status, matchers.Equals(502))
    sends = sum(len(upstream.heads) for upstream in upstreams)
    assert_that(sends, matchers.Equals(2))
