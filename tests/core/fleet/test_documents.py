"""Tests of the configuration in the replicated state."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core import state
from cassiashift_core.state import commands
from cassiashift_core.state import results


def _document(version, content=b'x'):
    return fleet.Document.from_content(version, content, content)


def _put(machine, index, document):
    data = commands.CODEC.encode(commands.PutDocument(document))
    return machine.apply(index, data)


def test_the_highest_version_wins_in_any_order():
    machine = state.StateMachine()
    rows = [
        (_document(5), fleet.Standing.NEWER, 5),
        (_document(3), fleet.Standing.OLDER, 5),
        (_document(5), fleet.Standing.HELD, 5),
        (_document(5, b'y'), fleet.Standing.CONFLICTING, 5),
        (_document(9), fleet.Standing.NEWER, 9),
    ]
    for index, (document, standing, version) in enumerate(rows, 1):
        result = _put(machine, index, document)
        expected = results.DocumentCompared(standing, version)
        assert_that(result, matchers.Equals(expected))
    assert_that(
        [item.version for item in machine.pop_documents()],
        matchers.Equals([5, 9]),
    )
    assert_that(machine.pop_documents(), matchers.Equals([]))


def test_a_snapshot_holds_the_configuration():
    machine = state.StateMachine()
    _put(machine, 1, _document(5, b'body'))
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    assert_that(restored.document, matchers.Equals(machine.document))
    result = _put(restored, 2, _document(5, b'other'))
    assert_that(result.standing, matchers.Is(fleet.Standing.CONFLICTING))
