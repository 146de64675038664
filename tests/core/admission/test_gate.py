"""Tests of the admission gate."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core import ErrorCode
from cassiashift_core import Verdict


def request(request_id, workspace='w1', tokens=100, **more):
    return admission.AdmissionRequest(
        request_id, workspace, 'm@1', tokens, **more
    )


@pytest.fixture
def gate():
    return make_gate()


def make_gate(capacity=2, **more):
    gate = admission.AdmissionGate.from_config(
        admission.AdmissionConfig(**more)
    )
    gate.set_capacity('m@1', capacity, 0.0)
    return gate


def fill(gate, count=2):
    for number in range(count):
        gate.offer(request(f'running{number}', 'w0'), 0.0)


def request_ids(items):
    return [item.request_id for item in items]


def test_waiting_call_starts_when_another_ends(gate):
    fill(gate)
    result = gate.offer(request('r1'), 0.0)
    assert_that(result, matchers.IsInstance(admission.Queued))
    result = gate.release('running0', 100, 0.5)
    assert_that(request_ids(result), matchers.Equals(['r1']))
    assert_that(result[0].waited_s, matchers.Equals(0.5))


def test_priority_orders_the_calls_of_one_workspace(gate):
    fill(gate)
    gate.offer(request('low'), 0.0)
    gate.offer(request('high', priority=5), 0.1)
    result = gate.release('running0', 100, 0.2)
    assert_that(request_ids(result), matchers.Equals(['high']))


def test_priority_does_not_pass_another_workspace(gate):
    fill(gate)
    gate.offer(request('a1', 'wa', tokens=1000), 0.0)
    gate.offer(request('b1', 'wb', tokens=10), 0.0)
    first = gate.release('running0', 100, 0.1)
    gate.offer(request('a2', 'wa', priority=9), 0.1)
    gate.offer(request('b2', 'wb'), 0.1)
    second = gate.release('running1', 100, 0.2)
    third = gate.release('a1', 1000, 0.3)
    wanted = ['a1', 'b1', 'b2']
    assert_that(request_ids(first + second + third), matchers.Equals(wanted))


def test_call_that_cannot_meet_its_deadline_is_refused_at_once(gate):
    result = gate.offer(request('r1', deadline=1.0, service_s=1.5), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.DEADLINE_EXCEEDED))
    assert_that(result.verdict, matchers.Is(Verdict.NOT_RUN))
    assert_that(result.retry_after_s, matchers.GreaterThan(0.0))


def test_call_that_can_no_longer_meet_its_deadline_never_starts(gate):
    fill(gate)
    gate.offer(request('r1', deadline=1.0, service_s=0.5), 0.0)
    assert_that(gate.release('running0', 1, 0.7), matchers.Equals([]))
    refused = gate.expire(0.7)
    assert_that(request_ids(refused), matchers.Equals(['r1']))
    assert_that(gate.queued, matchers.Equals(0))


def test_long_wait_ends_in_a_refusal_with_a_retry_time(gate):
    fill(gate)
    gate.offer(request('r1'), 0.0)
    assert_that(gate.expire(1.0), matchers.Equals([]))
    refused = gate.expire(1.3)
    assert_that(refused[0].code, matchers.Is(ErrorCode.OVERLOADED))
    assert_that(refused[0].retry_after_s, matchers.GreaterThan(0.0))


def test_full_queue_refuses_the_workspace_with_most_waiting():
    gate = make_gate(max_queued=4)
    fill(gate)
    for number in range(4):
        gate.offer(request(f'flood{number}', 'flood'), 0.0)
    result = gate.offer(request('r1', 'small'), 0.0)
    assert_that(request_ids(result.evicted), matchers.Equals(['flood3']))
    result = gate.offer(request('flood4', 'flood'), 0.0)
    assert_that(result, matchers.IsInstance(admission.Refused))
    assert_that(gate.queued, matchers.Equals(4))


def test_queue_is_bounded_in_bytes():
    gate = make_gate(max_queued_bytes=1000)
    fill(gate)
    gate.offer(request('r1', body_bytes=900), 0.0)
    result = gate.offer(request('r2', body_bytes=200), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.OVERLOADED))
    result = gate.offer(request('r3', body_bytes=2000), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.OVERLOADED))
    assert_that(gate.queued_bytes, matchers.Equals(900))


def test_overload_of_one_model_does_not_affect_another(gate):
    fill(gate)
    for number in range(50):
        gate.offer(request(f'r{number}'), 0.0)
    other = admission.AdmissionRequest('o1', 'w1', 'other@1', 100)
    result = gate.offer(other, 0.0)
    assert_that(result, matchers.IsInstance(admission.Admitted))


def test_rate_limit_refusal_has_the_time_to_refill(gate):
    limits = admission.WorkspaceLimits(tokens_per_second=100.0)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1', tokens=500), 0.0)
    result = gate.offer(request('r2'), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))
    assert_that(result.retry_after_s >= 4.0, matchers.Equals(True))
    result = gate.offer(request('r3', 'w2'), 0.0)
    assert_that(result, matchers.IsInstance(admission.Admitted))


def test_call_delayed_by_its_rate_limit_starts_later(gate):
    limits = admission.WorkspaceLimits(tokens_per_second=100.0)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1', tokens=150), 0.0)
    result = gate.offer(request('r2'), 0.0)
    assert_that(result, matchers.IsInstance(admission.Queued))
    assert_that(gate.admit_ready(0.4), matchers.Equals([]))
    result = gate.admit_ready(0.6)
    assert_that(request_ids(result), matchers.Equals(['r2']))


def test_concurrency_limit_holds(gate):
    limits = admission.WorkspaceLimits(concurrency=1)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1'), 0.0)
    result = gate.offer(request('r2'), 0.0)
    assert_that(result, matchers.IsInstance(admission.Queued))
    result = gate.release('r1', 100, 0.1)
    assert_that(request_ids(result), matchers.Equals(['r2']))


def test_expired_call_held_by_its_limit_gets_limit_exceeded(gate):
    limits = admission.WorkspaceLimits(concurrency=1)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1'), 0.0)
    gate.offer(request('r2'), 0.0)
    refused = gate.expire(2.0)
    assert_that(refused[0].code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))


def test_concurrency_share_below_one_call_refuses_at_once(gate):
    limits = admission.WorkspaceLimits(concurrency=0.4)
    gate.set_limits('w1', limits, 0.0)
    result = gate.offer(request('r1'), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))
    assert_that(result.retry_after_s, matchers.LessThan(5.0))


def test_cancelled_call_leaves_the_queue(gate):
    fill(gate)
    gate.offer(request('r1'), 0.0)
    assert_that(gate.cancel('r1'), matchers.Equals(True))
    assert_that(gate.cancel('r1'), matchers.Equals(False))
    assert_that(gate.release('running0', 1, 0.1), matchers.Equals([]))


def test_unknown_release_changes_nothing(gate):
    assert_that(gate.release('r9', 1, 0.0), matchers.Equals([]))


def test_waiting_calls_of_an_evacuated_pool_are_refused_at_once(gate):
    """Calls in progress hold the slots until they end."""
    fill(gate)
    gate.offer(request('a'), 0.0)
    assert_that(gate.waiting_pools(), matchers.Equals(['m@1']))
    refused = gate.refuse_all('m@1', 'evacuated')
    assert_that(request_ids(refused), matchers.Equals(['a']))
    assert_that(refused[0].code, matchers.Is(ErrorCode.NO_UPSTREAM))
    assert_that(refused[0].retry_after_s, matchers.GreaterThan(0))
    assert_that(gate.waiting_pools(), matchers.Equals([]))
    assert_that(gate.in_flight, matchers.Equals(2))
