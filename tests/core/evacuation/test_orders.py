"""Tests of how orders in the log change the evacuated data centres."""

import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import state
from cassiashift_core.state import commands

TAKEN = evacuation.Standing.TAKEN
HELD = evacuation.Standing.HELD
SUPERSEDED = evacuation.Standing.SUPERSEDED


def _order(machine, index, name, *, is_start, basis, request_id=''):
    order = evacuation.Order(
        name, is_start, basis, 100.0, request_id=request_id
    )
    return machine.apply(index, state.CODEC.encode(order)).standing


def _evacuated(machine):
    return sorted(machine.shared.evacuations.evacuated)


def test_a_resent_start_does_not_take_effect_after_a_later_end():
    machine = state.StateMachine()
    standings = [
        _order(machine, 10, 'east', is_start=True, basis=0),
        _order(machine, 11, 'east', is_start=True, basis=0),
        _order(machine, 12, 'east', is_start=False, basis=10),
        _order(machine, 13, 'east', is_start=True, basis=0),
        _order(machine, 14, 'east', is_start=True, basis=10),
    ]
    assert_that(
        standings,
        matchers.Equals([TAKEN, HELD, TAKEN, SUPERSEDED, SUPERSEDED]),
    )
    assert_that(_evacuated(machine), matchers.Equals([]))


def test_an_end_that_changes_nothing_still_overtakes_a_start_on_its_way():
    machine = state.StateMachine()
    _order(machine, 10, 'east', is_start=False, basis=0)
    late = _order(machine, 11, 'east', is_start=True, basis=0)
    assert_that(late, matchers.Is(SUPERSEDED))
    assert_that(_evacuated(machine), matchers.Equals([]))


def test_two_data_centres_are_evacuated_independently():
    machine = state.StateMachine()
    _order(machine, 10, 'east', is_start=True, basis=0)
    # The proposer had not heard of the first order.
    _order(machine, 11, 'west', is_start=True, basis=0)
    assert_that(_evacuated(machine), matchers.Equals(['east', 'west']))
    _order(machine, 12, 'east', is_start=False, basis=11)
    assert_that(_evacuated(machine), matchers.Equals(['west']))


@pytest.mark.parametrize('seed', range(100))
def test_no_late_copy_undoes_an_acknowledged_order(seed):
    """Copies of a finished order arrive at any later place of the log."""
    rng = random.Random(seed)
    machine, log, is_start = state.StateMachine(), [], False
    for index in range(1, 60):
        known = machine.shared.evacuations.revision
        if log and rng.random() < 0.6:
            old_start, old_basis = rng.choice(log)
            _order(machine, index, 'east', is_start=old_start, basis=old_basis)
        else:
            is_start = rng.random() < 0.5
            log.append((is_start, known))
            _order(machine, index, 'east', is_start=is_start, basis=known)
        expected = ['east'] if is_start else []
        assert_that(_evacuated(machine), matchers.Equals(expected))


def test_a_repeated_request_id_gets_its_first_result():
    machine = state.StateMachine()
    _order(machine, 10, 'east', is_start=True, basis=0, request_id='a')
    _order(machine, 11, 'east', is_start=False, basis=10)
    repeated = _order(
        machine, 12, 'east', is_start=True, basis=11, request_id='a'
    )
    assert_that(repeated, matchers.Is(TAKEN))
    assert_that(_evacuated(machine), matchers.Equals([]))


def test_a_snapshot_holds_the_evacuations():
    machine = state.StateMachine()
    _order(machine, 10, 'east', is_start=True, basis=0)
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    assert_that(
        restored.shared.evacuations,
        matchers.Equals(machine.shared.evacuations),
    )


def test_a_snapshot_of_an_earlier_release_has_no_evacuations():
    content = msgspec.msgpack.decode(state.StateMachine().snapshot())
    del content['shared']['evacuations']
    restored = state.StateMachine.from_snapshot(
        msgspec.msgpack.encode(content)
    )
    assert_that(
        restored.shared.evacuations, matchers.Equals(evacuation.Evacuations())
    )


def test_one_read_returns_version_and_evacuations():
    machine = state.StateMachine()
    document = fleet.Document(7, b'x', 1)
    machine.apply(9, state.CODEC.encode(commands.PutDocument(document)))
    _order(machine, 10, 'east', is_start=True, basis=0)
    read = commands.PutDocument(fleet.Document())
    result = machine.apply(11, state.CODEC.encode(read))
    assert_that(result.version, matchers.Equals(7))
    assert_that(result.evacuations.evacuated, matchers.Equals({'east'}))


def test_an_order_that_waited_too_long_is_not_proposed():
    evacuation.check_fresh(10.0, 14.9, 5.0)
    with pytest.raises(CassiashiftError, match='waited too long'):
        evacuation.check_fresh(10.0, 15.0, 5.0)


def test_an_unknown_data_centre_is_named_with_the_known_ones():
    evacuation.check_known('east', {'east', 'west'})
    with pytest.raises(CassiashiftError, match='known: east, west'):
        evacuation.check_known('north', {'west', 'east'})
