"""Tests of verdicts."""

import itertools

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import Verdict


def test_only_not_run_may_be_retried():
    safe = [verdict for verdict in Verdict if verdict.retry_is_safe]
    assert_that(safe, matchers.Equals([Verdict.NOT_RUN]))


def test_one_attempt_in_doubt_leaves_the_request_in_doubt():
    for pair in itertools.permutations([Verdict.NOT_RUN, Verdict.RAN]):
        assert_that(pair[0].combine(pair[1]), matchers.Is(Verdict.RAN))
    combined = Verdict.MAY_HAVE_RUN.combine(Verdict.NOT_RUN)
    assert_that(combined, matchers.Is(Verdict.MAY_HAVE_RUN))
