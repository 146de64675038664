"""Tests of the rate of requests that an entry announces."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet


def test_an_entry_whose_requests_ended_does_not_stay_busy():
    rate = fleet.RequestRate()
    for _ in range(20):
        rate.record(25, 1.0)
    assert_that(rate.announced, matchers.Equals(25.0))
    for _ in range(20):
        rate.record(0, 1.0)
    assert_that(rate.announced, matchers.Equals(0.0))
