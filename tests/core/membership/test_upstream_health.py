"""Tests of the health of upstreams that are slow, silent or down."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import membership

OK = membership.ProbeResult.OK
UNANSWERED = membership.ProbeResult.UNANSWERED
FAILED = membership.ProbeResult.FAILED


@pytest.mark.parametrize(
    ('results', 'healthy'),
    [
        ([], False),
        ([UNANSWERED], False),
        ([OK], True),
        ([OK, UNANSWERED], True),
        ([OK, UNANSWERED, OK, UNANSWERED], True),
        ([OK, UNANSWERED, UNANSWERED], False),
        ([OK, FAILED], False),
        ([OK, UNANSWERED, FAILED, OK], True),
    ],
)
def test_health_after_some_probes(results, healthy):
    health = membership.UpstreamHealth()
    for result in results:
        health.record(result)
    assert_that(health.is_healthy, matchers.Is(healthy))


def test_changes_are_told():
    health = membership.UpstreamHealth()
    changes = [health.record(item) for item in (OK, OK, FAILED, OK)]
    assert_that(changes, matchers.Equals([True, False, True, True]))
