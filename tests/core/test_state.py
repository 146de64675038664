"""Tests of the replicated state machine."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import manifest
from cassiashift_core import state
from cassiashift_core import Verdict

ITEMS = {'header': b'{"name":"x"}', 'models/m': b'{"id":"m"}'}
DELTA = manifest.make_delta({}, ITEMS)


def apply_manifest(machine, index, request_id, expected, delta=DELTA):
    command = state.ApplyManifest(request_id, expected, delta)
    return machine.apply(index, state.CODEC.encode(command))


def open_call(machine, index, attempt, digest='d', at_s=1.0):
    command = state.OpenCall('w', 'k', digest, attempt, 'u', at_s, 10.0)
    return machine.apply(index, state.CODEC.encode(command))


def close_call(machine, index, attempt, verdict):
    command = state.CloseCall('w', 'k', attempt, verdict, 201, 'a/b', b'ok')
    return machine.apply(index, state.CODEC.encode(command))


def restore_from_snapshot(machine):
    return state.StateMachine.from_snapshot(machine.snapshot())


def test_second_manifest_for_the_same_revision_conflicts():
    machine = state.StateMachine()
    first = apply_manifest(machine, 7, 'a', 0)
    second = apply_manifest(machine, 8, 'b', 0)
    assert_that(first, matchers.Equals(state.Accepted(7)))
    assert_that(second, matchers.Equals(state.Conflict(7)))


def test_repeated_request_gets_its_first_answer_after_a_snapshot():
    machine = state.StateMachine()
    apply_manifest(machine, 7, 'a', 0)
    apply_manifest(machine, 8, 'b', 0)
    machine = restore_from_snapshot(machine)
    results = [
        apply_manifest(machine, 9, 'a', 0),
        apply_manifest(machine, 10, 'b', 0),
    ]
    expected_result = [state.Accepted(7), state.Conflict(7)]
    assert_that(results, matchers.Equals(expected_result))


def test_malformed_commands_change_nothing():
    machine = state.StateMachine()
    delta = manifest.Delta((('models/m', b'{"id": 3}'),))
    result = apply_manifest(machine, 1, 'a', 0, delta)
    assert_that(result, matchers.IsInstance(state.Rejected))
    result = machine.apply(2, b'\x05junk')
    assert_that(result, matchers.IsInstance(state.Rejected))
    assert_that(machine.shared, matchers.Equals(state.SharedState()))


def test_open_key_stays_in_doubt_after_a_snapshot():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    machine = restore_from_snapshot(machine)
    result = open_call(machine, 2, 'second')
    expected_result = state.CallInDoubt('first', 'u', settled=False)
    assert_that(result, matchers.Equals(expected_result))


def test_key_of_a_call_that_ran_returns_its_recorded_answer():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    close_call(machine, 2, 'first', Verdict.RAN)
    close_call(machine, 3, 'first', Verdict.NOT_RUN)
    result = open_call(machine, 4, 'second')
    expected_result = state.CallRecorded(201, 'a/b', b'ok')
    assert_that(result, matchers.Equals(expected_result))


def test_key_can_be_reopened_only_if_its_attempt_did_not_run():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    close_call(machine, 2, 'first', Verdict.MAY_HAVE_RUN)
    doubtful = open_call(machine, 3, 'second')
    assert_that(
        doubtful,
        matchers.Equals(state.CallInDoubt('first', 'u', settled=True)),
    )
    close_call(machine, 4, 'first', Verdict.NOT_RUN)
    close_call(machine, 5, 'first', Verdict.RAN)
    free = open_call(machine, 6, 'third')
    assert_that(free, matchers.Equals(state.CallOpened('third')))


def test_key_with_another_body_is_refused():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    result = open_call(machine, 2, 'second', digest='other')
    assert_that(result, matchers.Equals(state.KeyReused('d')))


def test_slow_clock_does_not_restore_an_expired_key():
    machine = state.StateMachine()
    open_call(machine, 1, 'first', at_s=1.0)
    assert_that(
        open_call(machine, 2, 'second', at_s=12.0),
        matchers.Equals(state.CallOpened('second')),
    )
    assert_that(
        open_call(machine, 3, 'third', at_s=1.0),
        matchers.IsInstance(state.CallInDoubt),
    )


def test_expired_records_are_removed():
    machine = state.StateMachine()
    open_call(machine, 1, 'first', at_s=1.0)
    machine.calls.clock_s = 11.5
    machine.calls.expire()
    assert_that(machine.calls.count(), matchers.Equals(0))


def test_deltas_reproduce_the_shared_state():
    machine = state.StateMachine()
    other = state.SharedState()
    apply_manifest(machine, 3, 'a', 0)
    removal = manifest.Delta((), ('models/m',))
    apply_manifest(machine, 5, 'b', 3, removal)
    drain = state.SetDrain('c', 'u', True)
    machine.apply(6, state.CODEC.encode(drain))
    for delta in machine.pop_deltas():
        other.apply(state.SharedDelta.decode(delta.encode()))
    assert_that(other, matchers.Equals(machine.shared))
    assert_that(other.items, matchers.Equals({'header': ITEMS['header']}))


def find_call(machine, index, digest='d', at_s=1.0):
    command = state.FindCall('w', 'k', digest, at_s)
    return machine.apply(index, state.CODEC.encode(command))


def test_finding_a_call_does_not_open_it():
    machine = state.StateMachine()
    results = [find_call(machine, 1)]
    open_call(machine, 2, 'first')
    results.append(find_call(machine, 3))
    close_call(machine, 4, 'first', Verdict.NOT_RUN)
    results.append(find_call(machine, 5))
    open_call(machine, 6, 'second')
    close_call(machine, 7, 'second', Verdict.RAN)
    results.append(find_call(machine, 8))
    results.append(find_call(machine, 9, digest='other'))
    results.append(find_call(machine, 10, at_s=12.0))
    expected_result = [
        state.CallUnknown(),
        state.CallInDoubt('first', 'u', settled=False),
        state.CallUnknown(),
        state.CallRecorded(201, 'a/b', b'ok'),
        state.KeyReused('d'),
        state.CallUnknown(),
    ]
    assert_that(results, matchers.Equals(expected_result))


def test_repeated_intent_of_an_open_attempt_is_accepted():
    machine = state.StateMachine()
    results = [open_call(machine, index, 'first') for index in (1, 2)]
    expected_result = [state.CallOpened('first')] * 2
    assert_that(results, matchers.Equals(expected_result))
    close_call(machine, 3, 'first', Verdict.MAY_HAVE_RUN)
    assert_that(
        open_call(machine, 4, 'first'), matchers.IsInstance(state.CallInDoubt)
    )
