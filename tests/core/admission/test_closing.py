"""Tests of what an entry starts during its planned stop."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core import costs

CLOSING = admission.Closing(ends_at=12.0, over_at=12.5, known_until=10.5)


@pytest.mark.parametrize(
    ('answer_by', 'expected'),
    [(10.0, True), (12.0, True), (12.001, False), (99.0, False)],
)
def test_only_what_is_over_by_the_last_answer_is_bounded(answer_by, expected):
    """Guards against requests that outlast a stop although few do."""
    is_bounded = CLOSING.is_bounded(answer_by)
    assert_that(is_bounded, matchers.Equals(expected))


@pytest.mark.parametrize(
    ('median', 'sigma', 'now', 'expected'),
    [
        (1.0, 0.0, 10.0, True),
        (1.0, 0.3, 10.0, True),
        (1.0, 0.4, 10.0, False),
        (3.0, 0.0, 10.0, False),
        (0.1, 0.0, 10.5, True),
        (0.1, 0.0, 10.6, False),
    ],
)
def test_an_entry_without_others_starts_what_usually_ends_in_time(
    median, sigma, now, expected
):
    may_start = CLOSING.may_start_alone(costs.Estimate(median, sigma), now)
    assert_that(may_start, matchers.Equals(expected))


@pytest.mark.parametrize(
    ('is_other_ready', 'now', 'expected'),
    [(True, 10.0, 0.0), (False, 10.0, 2.5), (False, 13.0, 0.0)],
)
def test_a_refused_caller_waits_only_for_an_entry_that_is_alone(
    is_other_ready, now, expected
):
    retry_after_s = CLOSING.retry_after_s(is_other_ready, now)
    assert_that(retry_after_s, matchers.Equals(expected))
