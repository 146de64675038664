"""Tests of which verdicts allow a retry and how verdicts combine."""

import itertools

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import Verdict


def test_retry_is_safe_only_after_not_run():
    safe = [verdict for verdict in Verdict if verdict.retry_is_safe]
    assert_that(safe, matchers.Equals([Verdict.NOT_RUN]))


def test_combined_verdict_is_the_one_that_ran_more_certainly():
    for pair in itertools.permutations([Verdict.NOT_RUN, Verdict.RAN]):
        assert_that(pair[0].combine(pair[1]), matchers.Is(Verdict.RAN))
    combined = Verdict.MAY_HAVE_RUN.combine(Verdict.NOT_RUN)
    assert_that(combined, matchers.Is(Verdict.MAY_HAVE_RUN))
