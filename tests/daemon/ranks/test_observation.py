"""Tests of what coordinators measure for their log."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_daemon.ranks import observation


def _report(step, running=1, rank=0):
    return rankmaps.RankReport('g', 1, rank, 2, True, step, running=running)


def test_the_time_without_requests_is_not_the_length_of_a_pass():
    times = observation.PassTimes()
    reports = [(1, 1, 0.0), (3, 1, 0.2), (3, 0, 0.3), (4, 1, 9.0), (5, 1, 9.3)]
    for step, running, now in reports:
        times.record(_report(step, running), now)
    summary = times.take()
    assert_that(summary['passes'], matchers.Equals(3))
    assert_that(abs(summary['longest_pass_s'] - 0.3) < 1e-9, matchers.Is(True))
    assert_that(times.take()['passes'], matchers.Equals(0))


def test_passes_are_counted_while_only_some_ranks_have_requests():
    times = observation.PassTimes()
    for step in range(1, 12):
        times.record(_report(step), 0.1 * step)
        times.record(_report(step, 0, rank=1), 0.1 * step + 0.05)
    assert_that(times.take()['passes'], matchers.Equals(10))


def test_a_repeated_order_and_the_wait_at_a_held_pass_are_measured():
    switch = rankmaps.Switch(1, 2, 0, 2, (), (), 0.0)
    times = observation.SwitchTimes(switch.phase, 0.0)
    order = rankmaps.Order(rankmaps.OrderKind.PREPARE, 1, 1, 2)
    for _ in range(3):
        times.record_order(order)
    switch.phase, switch.step = rankmaps.Phase.ARM, 9
    for step, now in ((7, 1.0), (8, 1.5), (8, 2.0)):
        times.record(switch, step, now)
    summary = times.summary(2.5)
    measured = summary['orders'], summary['repeated'], summary['waited_s']
    assert_that(measured, matchers.Equals((3, 2, 1.0)))
    assert_that(summary['prepare_s'], matchers.Equals(1.0))
