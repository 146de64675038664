"""Tests of the numbers that tell crashes apart."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import poison


@pytest.fixture
def counts():
    return poison.CrashCounts()


def test_attempts_that_end_in_one_crash_count_twice(counts):
    """Guards against one crash that counts once for each attempt."""
    numbers = [counts.record('u1', began, 2.0) for began in (0.0, 1.0, 2.0)]
    assert_that(numbers, matchers.Equals([1, 1, 1]))


def test_a_crash_of_the_next_process_is_not_counted(counts):
    """Guards against a crash that is taken for the one before."""
    numbers = [counts.record('u1', at, at + 0.1) for at in (1.0, 2.0, 3.0)]
    assert_that(numbers, matchers.Equals([1, 2, 3]))


def test_crashes_of_two_upstreams_share_a_number(counts):
    """Guards against a crash that hides the first one of another upstream."""
    counts.record('u1', 1.0, 2.0)
    assert_that(counts.record('u2', 1.0, 2.0), matchers.Equals(1))
    assert_that(counts.record('u2', 2.5, 3.0), matchers.Equals(2))
