"""Tests of the replicated state machine."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import manifest
from cassiashift_core import state
from cassiashift_core import Verdict

ITEMS = {'header': b'{"name":"x"}', 'models/m': b'{"id":"m"}'}
DELTA = manifest.difference({}, ITEMS)


def apply_manifest(machine, index, request_id, expected, delta=DELTA):
    command = state.ApplyManifest(request_id, expected, delta)
    return machine.apply(index, state.CODEC.encode(command))


def open_call(machine, index, attempt, digest='d', at_s=1.0):
    command = state.OpenCall('w', 'k', digest, attempt, 'u', at_s, 10.0)
    return machine.apply(index, state.CODEC.encode(command))


def close_call(machine, index, attempt, verdict):
    command = state.CloseCall('w', 'k', attempt, verdict, 201, 'a/b', b'ok')
    return machine.apply(index, state.CODEC.encode(command))


def restored(machine):
    return state.StateMachine.from_snapshot(machine.snapshot())


def test_exactly_one_of_two_operators_with_equal_numbers_wins():
    machine = state.StateMachine()
    first = apply_manifest(machine, 7, 'a', 0)
    second = apply_manifest(machine, 8, 'b', 0)
    assert_that(first, matchers.Equals(state.Accepted(7)))
    assert_that(second, matchers.Equals(state.Conflict(7)))


def test_resend_gets_the_first_answer_after_a_snapshot():
    machine = state.StateMachine()
    apply_manifest(machine, 7, 'a', 0)
    apply_manifest(machine, 8, 'b', 0)
    machine = restored(machine)
    again = [
        apply_manifest(machine, 9, 'a', 0),
        apply_manifest(machine, 10, 'b', 0),
    ]
    wanted = [state.Accepted(7), state.Conflict(7)]
    assert_that(again, matchers.Equals(wanted))


def test_malformed_commands_change_nothing():
    machine = state.StateMachine()
    delta = manifest.Delta((('models/m', b'{"id": 3}'),))
    result = apply_manifest(machine, 1, 'a', 0, delta)
    assert_that(result, matchers.IsInstance(state.Rejected))
    result = machine.apply(2, b'\x05junk')
    assert_that(result, matchers.IsInstance(state.Rejected))
    assert_that(machine.shared, matchers.Equals(state.Shared()))


def test_open_key_stays_in_doubt_after_a_snapshot():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    machine = restored(machine)
    result = open_call(machine, 2, 'second')
    wanted = state.CallInDoubt('first', 'u', settled=False)
    assert_that(result, matchers.Equals(wanted))


def test_recorded_answer_is_given_again():
    machine = state.StateMachine()
    open_call(machine, 1, 'first')
    close_call(machine, 2, 'first', Verdict.RAN)
    close_call(machine, 3, 'first', Verdict.NOT_RUN)
    result = open_call(machine, 4, 'second')
    wanted = state.CallRecorded(201, 'a/b', b'ok')
    assert_that(result, matchers.Equals(wanted))


def test_key_is_free_again_only_when_its_attempt_did_not_run():
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


def test_slow_clock_does_not_bring_an_expired_key_back():
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


def test_deltas_lead_others_to_the_same_shared_state():
    machine = state.StateMachine()
    other = state.Shared()
    apply_manifest(machine, 3, 'a', 0)
    removal = manifest.Delta((), ('models/m',))
    apply_manifest(machine, 5, 'b', 3, removal)
    drain = state.SetDrain('c', 'u', True)
    machine.apply(6, state.CODEC.encode(drain))
    for delta in machine.take_deltas():
        other.apply(state.SharedDelta.decode(delta.encode()))
    assert_that(other, matchers.Equals(machine.shared))
    assert_that(other.items, matchers.Equals({'header': ITEMS['header']}))


def find_call(machine, index, digest='d', at_s=1.0):
    command = state.FindCall('w', 'k', digest, at_s)
    return machine.apply(index, state.CODEC.encode(command))


def test_finding_a_call_opens_nothing():
    machine = state.StateMachine()
    found = [find_call(machine, 1)]
    open_call(machine, 2, 'first')
    found.append(find_call(machine, 3))
    close_call(machine, 4, 'first', Verdict.NOT_RUN)
    found.append(find_call(machine, 5))
    open_call(machine, 6, 'second')
    close_call(machine, 7, 'second', Verdict.RAN)
    found.append(find_call(machine, 8))
    found.append(find_call(machine, 9, digest='other'))
    found.append(find_call(machine, 10, at_s=12.0))
    wanted = [
        state.CallUnknown(),
        state.CallInDoubt('first', 'u', settled=False),
        state.CallUnknown(),
        state.CallRecorded(201, 'a/b', b'ok'),
        state.KeyReused('d'),
        state.CallUnknown(),
    ]
    assert_that(found, matchers.Equals(wanted))


def test_intent_that_is_proposed_again_stays_open():
    machine = state.StateMachine()
    again = [open_call(machine, index, 'first') for index in (1, 2)]
    wanted = [state.CallOpened('first')] * 2
    assert_that(again, matchers.Equals(wanted))
    close_call(machine, 3, 'first', Verdict.MAY_HAVE_RUN)
    assert_that(
        open_call(machine, 4, 'first'), matchers.IsInstance(state.CallInDoubt)
    )
