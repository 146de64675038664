"""Tests of the attempt plan: which calls are retried."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import retries
from cassiashift_core import Verdict

End = retries.AttemptEnd
FINAL = {
    End.ANSWERED,
    End.CANCELLED_UNSENT,
    End.CANCELLED_FENCED,
    End.CANCELLED_SENT,
}
NOT_RUN = {
    End.REFUSED_BY_AGENT,
    End.CONNECT_FAILED,
    End.RESET_BEFORE_LAST_BYTE,
    End.TIMEOUT_FENCED,
}


def plan(idempotent=True, resumable=False, deadline=None, budget=None):
    return retries.AttemptPlan(
        retries.CallTraits(idempotent, resumable, deadline),
        budget or retries.RetryBudget(),
    )


@pytest.mark.parametrize(
    ('end', 'idempotent', 'answer_started'),
    list(itertools.product(End, [True, False], [True, False])),
)
def test_non_idempotent_call_is_sent_again_only_when_not_run(
    end, idempotent, answer_started
):
    attempts = plan(idempotent)
    attempts.begin_attempt('u1')
    if answer_started:
        attempts.record_answer_byte()
    decision = attempts.record_end(end, 0.0)
    safe = end in NOT_RUN and not answer_started
    wanted = end not in FINAL and (idempotent or safe)
    assert_that(decision.retry, matchers.Equals(wanted))


def test_attempt_that_may_have_run_stops_a_non_idempotent_call():
    attempts = plan(idempotent=False)
    attempts.begin_attempt('u1')
    attempts.record_end(End.REFUSED_BY_AGENT, 0.0)
    attempts.begin_attempt('u2')
    decision = attempts.record_end(End.RESET_AFTER_LAST_BYTE, 0.0)
    assert_that(decision.retry, matchers.Equals(False))
    assert_that(decision.verdict, matchers.Is(Verdict.MAY_HAVE_RUN))
    assert_that(decision.code, matchers.Is(ErrorCode.OUTCOME_UNKNOWN))


def test_stream_is_resumed_after_the_tokens_that_were_delivered():
    attempts = plan(resumable=True)
    attempts.begin_attempt('u1')
    attempts.record_delivery(7)
    attempts.record_delivery(4)
    decision = attempts.record_end(End.UPSTREAM_DEAD, 0.0)
    assert_that(decision.retry, matchers.Equals(True))
    assert_that(decision.resume_from, matchers.Equals(11))


def test_delivered_stream_that_cannot_resume_is_broken():
    attempts = plan()
    attempts.begin_attempt('u1')
    attempts.record_delivery(1)
    decision = attempts.record_end(End.RESET_AFTER_LAST_BYTE, 0.0)
    assert_that(decision.retry, matchers.Equals(False))
    assert_that(decision.code, matchers.Is(ErrorCode.STREAM_BROKEN))


def test_deadline_and_attempts_bound_the_retries():
    overdue = plan(deadline=1.0)
    overdue.begin_attempt('u1')
    decision = overdue.record_end(End.CONNECT_FAILED, 1.0)
    assert_that(decision.reason, matchers.Equals('deadline exceeded'))
    exhausted = plan()
    for attempt in range(3):
        exhausted.begin_attempt(f'u{attempt}')
        decision = exhausted.record_end(End.CONNECT_FAILED, 0.0)
    assert_that(decision.reason, matchers.Equals('no attempts left'))


def test_second_attempt_before_the_end_of_the_first_is_refused():
    attempts = plan()
    attempts.begin_attempt('u1')
    with pytest.raises(CassiashiftError):
        attempts.begin_attempt('u2')


def test_end_of_a_decided_attempt_changes_nothing():
    attempts = plan()
    attempts.begin_attempt('u1')
    attempts.record_end(End.ANSWERED, 0.0)
    decision = attempts.record_end(End.CONNECT_FAILED, 0.0)
    assert_that(decision.retry, matchers.Equals(False))
    assert_that(decision.verdict, matchers.Is(Verdict.RAN))


@pytest.mark.parametrize('calls', [10, 1000, 20_000])
def test_outage_does_not_multiply_the_load(calls):
    budget = retries.RetryBudget(ratio=0.1, reserve=10.0)
    sent = 0
    for _ in range(calls):
        attempts = plan(budget=budget)
        retry = True
        while retry:
            attempts.begin_attempt('u1')
            sent += 1
            retry = attempts.record_end(End.CONNECT_FAILED, 0.0).retry
    assert_that(sent, matchers.LessThan(1.1 * calls + 10.0 + 1e-6))
    assert_that(budget.retries, matchers.Equals(sent - calls))


def test_attempt_at_a_straggler_moves_and_resumes():
    attempts = plan(resumable=True)
    attempts.begin_attempt('u1')
    attempts.record_delivery(5)
    decision = attempts.try_move(0.0)
    assert_that(decision.resume_from, matchers.Equals(5))
    assert_that(attempts.try_move(0.0), matchers.Is(None))
    attempts.begin_attempt('u2')
    decision = attempts.record_end(End.ANSWERED, 1.0)
    assert_that(decision.verdict, matchers.Is(Verdict.RAN))


def test_attempt_that_may_not_be_retried_is_not_moved():
    attempts = plan(idempotent=False)
    attempts.begin_attempt('u1')
    assert_that(attempts.try_move(0.0), matchers.Is(None))
    attempts = plan()
    attempts.begin_attempt('u1')
    attempts.record_delivery(5)
    assert_that(attempts.try_move(0.0), matchers.Is(None))
    assert_that(attempts.budget.retries, matchers.Equals(0))
    decision = attempts.record_end(End.ANSWERED, 1.0)
    assert_that(decision.verdict, matchers.Is(Verdict.RAN))
