"""Tests of time-outs from observed delays."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import delays


def test_the_time_out_is_the_longest_before_the_first_delay():
    estimate = delays.DelayEstimate(0.15, 1.0)
    assert_that(estimate.timeout_s, matchers.Equals(1.0))


def test_the_time_out_follows_mean_and_deviation():
    estimate = delays.DelayEstimate(0.15, 1.0)
    for _ in range(100):
        estimate.record(0.1)
    assert_that(estimate.timeout_s, matchers.Equals(0.15))
    for sample_s in [0.1, 0.4] * 50:
        estimate.record(sample_s)
    assert_that(estimate.timeout_s, matchers.GreaterThan(0.4))


def test_the_time_out_backs_off_until_the_next_delay():
    estimate = delays.DelayEstimate(0.15, 1.0)
    estimate.record(0.01)
    estimate.back_off()
    assert_that(estimate.timeout_s, matchers.Equals(0.3))
    estimate.record(0.01)
    assert_that(estimate.timeout_s, matchers.Equals(0.15))


def test_false_alarms_raise_the_shortest_time_out_to_the_longest():
    estimate = delays.DelayEstimate(0.15, 1.0)
    estimate.record(0.01)
    for timeout_s in (0.3, 0.6, 1.0, 1.0):
        estimate.record_false_alarm()
        assert_that(estimate.timeout_s, matchers.Equals(timeout_s))
