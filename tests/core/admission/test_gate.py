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
    found = admission.Admission.from_config(admission.AdmissionConfig(**more))
    found.set_capacity('m@1', capacity, 0.0)
    return found


def fill(gate, count=2):
    for number in range(count):
        gate.offer(request(f'running{number}', 'w0'), 0.0)


def started(found):
    return [item.request_id for item in found]


def test_waiting_call_starts_when_another_ends(gate):
    fill(gate)
    found = gate.offer(request('r1'), 0.0)
    assert_that(found, matchers.IsInstance(admission.Queued))
    found = gate.release('running0', 100, 0.5)
    assert_that(started(found), matchers.Equals(['r1']))
    assert_that(found[0].waited_s, matchers.Equals(0.5))


def test_priority_orders_the_calls_of_one_workspace(gate):
    fill(gate)
    gate.offer(request('low'), 0.0)
    gate.offer(request('high', priority=5), 0.1)
    found = gate.release('running0', 100, 0.2)
    assert_that(started(found), matchers.Equals(['high']))


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
    assert_that(started(first + second + third), matchers.Equals(wanted))


def test_call_that_cannot_meet_its_deadline_is_refused_at_once(gate):
    found = gate.offer(request('r1', deadline=1.0, service_s=1.5), 0.0)
    assert_that(found.code, matchers.Is(ErrorCode.DEADLINE_EXCEEDED))
    assert_that(found.verdict, matchers.Is(Verdict.NOT_RUN))
    assert_that(found.retry_after_s, matchers.GreaterThan(0.0))


def test_call_past_its_useful_time_never_starts(gate):
    fill(gate)
    gate.offer(request('r1', deadline=1.0, service_s=0.5), 0.0)
    assert_that(gate.release('running0', 1, 0.7), matchers.Equals([]))
    refused = gate.expire(0.7)
    assert_that(started(refused), matchers.Equals(['r1']))
    assert_that(gate.queued, matchers.Equals(0))


def test_long_wait_ends_in_a_refusal_with_a_time_to_come_back(gate):
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
    found = gate.offer(request('r1', 'small'), 0.0)
    assert_that(started(found.evicted), matchers.Equals(['flood3']))
    found = gate.offer(request('flood4', 'flood'), 0.0)
    assert_that(found, matchers.IsInstance(admission.Refused))
    assert_that(gate.queued, matchers.Equals(4))


def test_queue_is_bounded_in_bytes():
    gate = make_gate(max_queued_bytes=1000)
    fill(gate)
    gate.offer(request('r1', body_bytes=900), 0.0)
    found = gate.offer(request('r2', body_bytes=200), 0.0)
    assert_that(found.code, matchers.Is(ErrorCode.OVERLOADED))
    found = gate.offer(request('r3', body_bytes=2000), 0.0)
    assert_that(found.code, matchers.Is(ErrorCode.OVERLOADED))
    assert_that(gate.queued_bytes, matchers.Equals(900))


def test_overload_of_one_model_leaves_another_alone(gate):
    fill(gate)
    for number in range(50):
        gate.offer(request(f'r{number}'), 0.0)
    other = admission.AdmissionRequest('o1', 'w1', 'other@1', 100)
    found = gate.offer(other, 0.0)
    assert_that(found, matchers.IsInstance(admission.Admitted))


def test_rate_limit_refuses_with_the_time_that_it_needs(gate):
    limits = admission.WorkspaceLimits(tokens_per_second=100.0)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1', tokens=500), 0.0)
    found = gate.offer(request('r2'), 0.0)
    assert_that(found.code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))
    assert_that(found.retry_after_s >= 4.0, matchers.Equals(True))
    found = gate.offer(request('r3', 'w2'), 0.0)
    assert_that(found, matchers.IsInstance(admission.Admitted))


def test_call_held_back_by_its_rate_starts_later(gate):
    limits = admission.WorkspaceLimits(tokens_per_second=100.0)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1', tokens=150), 0.0)
    found = gate.offer(request('r2'), 0.0)
    assert_that(found, matchers.IsInstance(admission.Queued))
    assert_that(gate.admit_ready(0.4), matchers.Equals([]))
    found = gate.admit_ready(0.6)
    assert_that(started(found), matchers.Equals(['r2']))


def test_concurrency_limit_holds(gate):
    limits = admission.WorkspaceLimits(concurrency=1)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1'), 0.0)
    found = gate.offer(request('r2'), 0.0)
    assert_that(found, matchers.IsInstance(admission.Queued))
    found = gate.release('r1', 100, 0.1)
    assert_that(started(found), matchers.Equals(['r2']))


def test_call_held_back_by_its_own_limit_is_told_so(gate):
    limits = admission.WorkspaceLimits(concurrency=1)
    gate.set_limits('w1', limits, 0.0)
    gate.offer(request('r1'), 0.0)
    gate.offer(request('r2'), 0.0)
    refused = gate.expire(2.0)
    assert_that(refused[0].code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))


def test_entry_without_a_whole_call_of_the_limit_refuses_at_once(gate):
    limits = admission.WorkspaceLimits(concurrency=0.4)
    gate.set_limits('w1', limits, 0.0)
    found = gate.offer(request('r1'), 0.0)
    assert_that(found.code, matchers.Is(ErrorCode.LIMIT_EXCEEDED))
    assert_that(found.retry_after_s, matchers.LessThan(5.0))


def test_cancelled_call_leaves_the_queue(gate):
    fill(gate)
    gate.offer(request('r1'), 0.0)
    assert_that(gate.cancel('r1'), matchers.Equals(True))
    assert_that(gate.cancel('r1'), matchers.Equals(False))
    assert_that(gate.release('running0', 1, 0.1), matchers.Equals([]))


def test_unknown_release_changes_nothing(gate):
    assert_that(gate.release('r9', 1, 0.0), matchers.Equals([]))
