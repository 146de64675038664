"""Tests of the report of requests in progress at the end of a process."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import draining
from cassiashift_core import ErrorCode
from cassiashift_core import Verdict

STOP_ASKED_AT = 100.0


def _request(id_, arrived_at, phase=draining.Phase.SENT):
    return draining.Unfinished(id_, phase, arrived_at)


def _listed(report):
    return [request.id for request in report.listed]


REQUESTS = [
    _request('early', 90.0),
    _request('early-begun', 95.0, draining.Phase.ANSWERING),
    _request('late', 101.0),
    _request('later', 102.0),
    _request('later-begun', 103.0, draining.Phase.ANSWERING),
    _request('late-reading', 100.5, draining.Phase.READING),
]
ORDER = [
    'later-begun',
    'late-reading',
    'late',
    'later',
    'early-begun',
    'early',
]


@pytest.mark.parametrize('limit', [0, 1, 4, 6, 200])
def test_requests_that_arrived_after_the_stop_are_listed_first(limit):
    report = draining.report_end(REQUESTS, STOP_ASKED_AT, limit)
    assert_that(_listed(report), matchers.Equals(ORDER[:limit]))
    assert_that(
        report.left_out, matchers.Equals(len(REQUESTS) - len(report.listed))
    )


def test_phases_are_counted_over_requests_that_are_not_listed():
    report = draining.report_end(REQUESTS, STOP_ASKED_AT, 1)
    expected = {
        draining.Phase.READING: 1,
        draining.Phase.WAITING: 0,
        draining.Phase.SENT: 3,
        draining.Phase.ANSWERING: 2,
    }
    assert_that(report.phases, matchers.Equals(expected))


def test_an_end_without_a_stop_lists_begun_answers_first():
    report = draining.report_end(REQUESTS, None, 3)
    assert_that(
        _listed(report),
        matchers.Equals(['early-begun', 'later-begun', 'early']),
    )


@pytest.mark.parametrize(
    ('sends', 'goes_on', 'code', 'verdict'),
    [
        (0, False, ErrorCode.DRAINING, Verdict.NOT_RUN),
        (1, False, ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN),
        (0, True, ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN),
    ],
)
def test_a_final_answer_says_not_run_only_if_the_call_can_not_run(
    sends, goes_on, code, verdict
):
    request = draining.Unfinished(
        'r', draining.Phase.WAITING, 90.0, sends=sends
    )
    error = draining.error_at_end(request, goes_on)
    assert_that((error.code, error.verdict), matchers.Equals((code, verdict)))
