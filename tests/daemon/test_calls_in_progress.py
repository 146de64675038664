"""Tests of the table of calls in progress at an entry."""

import time

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import draining
from cassiashift_core import routing
from cassiashift_daemon import calls
from cassiashift_daemon import calls_in_progress
from cassiashift_daemon import remote
from cassiashift_net import messages


def _call(deadline):
    return calls.Call(
        request_id='r1',
        workspace='bakery',
        route=routing.RouteRequest('r1', 'bakery', service='warehouse'),
        method='POST',
        path='/bookings',
        headers=(),
        body=b'',
        idempotent=False,
        deadline=deadline,
    )


def _facts(row):
    found = row.describe()
    return found.phase, found.upstream, found.sends, found.events


def test_a_call_is_described_in_each_phase():
    table = calls_in_progress.CallTable()
    row = table.begin('r1')
    assert_that(len(table), matchers.Equals(1))
    assert_that(
        _facts(row), matchers.Equals((draining.Phase.READING, '', 0, 0))
    )
    row.call = _call(time.monotonic() + 5.0)
    assert_that(
        _facts(row), matchers.Equals((draining.Phase.WAITING, '', 0, 0))
    )
    described = row.describe()
    assert_that(
        (described.route, described.kind, described.ends_at),
        matchers.Equals((row.call.pool, 'once', row.call.deadline)),
    )
    progress = row.call.progress
    progress.begin_attempt('u1')
    assert_that(
        _facts(row), matchers.Equals((draining.Phase.SENT, 'u1', 1, 0))
    )
    progress.end_attempt()
    assert_that(
        _facts(row), matchers.Equals((draining.Phase.WAITING, 'u1', 1, 0))
    )
    progress.begin_attempt('u2')
    progress.end_attempt()
    progress.stream = remote.RemoteAttempt('a', 'tcp://x', None)
    for number in range(3):
        progress.stream.received(messages.CallData('a', number, b'x'))
    assert_that(
        _facts(row), matchers.Equals((draining.Phase.ANSWERING, 'u2', 2, 3))
    )
    assert_that(row.describe().ends_at, matchers.Is(None))
    table.end(row)
    assert_that(len(table), matchers.Equals(0))
