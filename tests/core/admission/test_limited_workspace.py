"""Tests that a rate-limited workspace does not saturate the pool.

Its waiting calls are held by its own limit while the pool has capacity, so
they get ``LIMIT_EXCEEDED`` and the other workspace is served.
"""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core import ErrorCode

RATE = 5.0
TICK_S = 0.01


def request(number, workspace):
    return admission.AdmissionRequest(f'{workspace}-{number}', workspace, 'p')


def test_a_limited_workspace_leaves_room_for_others():
    gate = admission.AdmissionGate.from_config(
        admission.AdmissionConfig(capacity=100)
    )
    limits = admission.WorkspaceLimits(requests_per_second=RATE)
    gate.set_limits('limited', limits, 0.0)
    codes, others = set(), []
    for number in range(1000):
        now = number * TICK_S
        decision = gate.offer(request(number, 'limited'), now)
        refused = gate.expire(now)
        if isinstance(decision, admission.Refused):
            refused.append(decision)
        codes.update(item.code for item in refused)
        others.append(gate.offer(request(number, 'other'), now))
        gate.release(f'other-{number}', 1, now)
        for admitted in gate.admit_ready(now):
            gate.release(admitted.request_id, 1, now)
        gate.release(f'limited-{number}', 1, now)
    assert_that(codes, matchers.Equals({ErrorCode.LIMIT_EXCEEDED}))
    kinds = {type(decision) for decision in others}
    assert_that(kinds, matchers.Equals({admission.Admitted}))
