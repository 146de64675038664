"""Tests of what an entry starts during its planned stop."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission

CLOSING = admission.Closing(ends_at=12.0, over_at=12.5)


@pytest.mark.parametrize(
    ('answer_by', 'expected'),
    [(10.0, True), (12.0, True), (12.001, False), (99.0, False)],
)
def test_only_what_is_over_by_the_last_answer_starts(answer_by, expected):
    """Guards against requests that outlast a stop although few do."""
    may_start = CLOSING.may_start(answer_by)
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
