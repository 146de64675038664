"""Tests of the allowed wait, of requeued calls and of demand."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission


def request(request_id):
    return admission.AdmissionRequest(request_id, 'w1', 'm@1', 100)


def test_slow_first_tokens_shorten_the_wait():
    gate = admission.AdmissionGate.from_config()
    gate.set_capacity('m@1', 1, 0.0)
    now = 0.0
    for number in range(60):
        gate.offer(request(f'r{number}'), now)
        gate.record_first_token(f'r{number}', now + 1.5)
        gate.release(f'r{number}', 100, now + 2.0)
        now += 2.0
    gate.offer(request('running'), now)
    gate.offer(request('waiting'), now)
    assert_that(gate.expire(now + 0.3), matchers.Equals([]))
    assert_that(gate.expire(now + 0.7), matchers.HasLength(1))


def test_requeued_call_starts_next_and_expires_by_its_arrival():
    gate = admission.AdmissionGate.from_config()
    gate.set_capacity('m@1', 1, 0.0)
    gate.offer(request('r1'), 0.0)
    gate.offer(request('r2'), 0.1)
    assert_that(gate.requeue('r1', 0.2), matchers.Equals(True))
    admitted = gate.admit_ready(0.3)
    assert_that(admitted[0].request_id, matchers.Equals('r1'))
    gate.requeue('r1', 0.4)
    refused = gate.expire(1.25)
    assert_that(refused[0].request_id, matchers.Equals('r1'))


def test_demand_follows_the_offers_and_fades():
    meter = admission.DemandMeter('e1')
    meter.finish_period(0.0)
    for second in range(1, 8):
        meter.record_call('w1', 500.0)
        demands = meter.finish_period(float(second))
    assert_that(demands[0].demand, matchers.GreaterThan(400.0))
    for second in range(8, 24):
        demands = meter.finish_period(float(second))
    assert_that(demands, matchers.Equals([]))
