"""Decisions of map switches in the replicated state."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import mapswitch
from cassiashift_core import state

GROUP = 'moe'
RANKS = ('r0', 'r1')


def decision(kind, version, **fields):
    return mapswitch.Decision(GROUP, kind, version, term=3, **fields)


def opening(version, body):
    return decision(
        mapswitch.DecisionKind.OPEN, version, ranks=RANKS, body=body
    )


def commit(version, step):
    return decision(mapswitch.DecisionKind.COMMIT, version, step=step)


SWITCHES = (
    opening(1, b'first'),
    commit(1, 0),
    opening(2, b'second'),
    commit(2, 40),
    opening(3, b'third'),
)


def apply_all(machine, decisions, first_index=1):
    return [
        machine.apply(index, state.CODEC.encode(item))
        for index, item in enumerate(decisions, first_index)
    ]


def test_decisions_are_accepted_in_order():
    machine = state.StateMachine()
    outcomes = apply_all(machine, SWITCHES)
    assert_that(
        outcomes,
        matchers.Equals(
            [
                state.DecisionApplied(True, decided)
                for decided in (0, 1, 1, 2, 2)
            ]
        ),
    )


def test_second_open_switch_is_refused():
    machine = state.StateMachine()
    apply_all(machine, SWITCHES)
    outcomes = apply_all(machine, [opening(3, b'other')], 6)
    assert_that(outcomes, matchers.Equals([state.DecisionApplied(False, 2)]))
    assert_that(machine.groups[GROUP].opened.body, matchers.Equals(b'third'))


@pytest.mark.parametrize('cut', range(len(SWITCHES) + 1))
def test_snapshot_at_any_entry_keeps_the_decisions(cut):
    uninterrupted = state.StateMachine()
    apply_all(uninterrupted, SWITCHES)
    interrupted = state.StateMachine()
    apply_all(interrupted, SWITCHES[:cut])
    restored = state.StateMachine.from_snapshot(interrupted.snapshot())
    apply_all(restored, SWITCHES[cut:], cut + 1)
    assert_that(restored.groups, matchers.Equals(uninterrupted.groups))
    assert_that(restored.snapshot(), matchers.Equals(uninterrupted.snapshot()))


def test_restored_state_keeps_the_current_and_previous_map():
    machine = state.StateMachine()
    apply_all(machine, SWITCHES)
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    standing = restored.groups[GROUP].standing
    assert_that(
        (standing.current.version, standing.current.step),
        matchers.Equals((2, 40)),
    )
    assert_that(standing.former.body, matchers.Equals(b'first'))


def test_equal_logs_give_equal_states():
    states = [state.StateMachine() for _ in range(2)]
    for machine in states:
        apply_all(machine, SWITCHES)
    assert_that(states[0].snapshot(), matchers.Equals(states[1].snapshot()))
