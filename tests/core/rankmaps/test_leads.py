"""Tests of how far ahead switches hold a pass."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.rankmaps import leads

ARMING_S = 0.1


@pytest.fixture
def lead():
    """Return a function that returns the lead at passes of a length."""

    def steps(pass_s, length_s=4.0):
        lead = leads.SwitchLead(ARMING_S)
        for tick in range(int(length_s / 0.01)):
            lead.record_report(int(0.01 * tick / pass_s), 0.01 * tick)
        return lead.steps()

    return steps


@pytest.mark.parametrize('pass_s', [0.02, 0.04, 0.08, 0.3, 1.1])
def test_a_new_map_is_delayed_by_long_passes(lead, pass_s):
    """Guards slow ranks against maps that come three long passes later."""
    ahead_s = lead(pass_s) * pass_s
    assert_that(ahead_s, matchers.GreaterThan(ARMING_S))
    assert_that(
        ahead_s,
        matchers.Not(matchers.GreaterThan(1.5 * ARMING_S + 1.5 * pass_s)),
    )


def test_the_time_without_requests_counts_as_a_pass():
    lead = leads.SwitchLead(ARMING_S)
    for step, now in ((1, 0.0), (5, 0.4), (6, 9.0), (10, 9.4)):
        lead.record_report(step, now)
    assert_that(abs(lead.pass_s - 0.1) < 1e-9, matchers.Is(True))
