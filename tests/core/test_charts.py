"""Tests of the chart loader."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import charts
from cassiashift_core.charts import loader

CHART = """
name = "door"
initial = "closed"
[[states]]
name = "closed"
[[states]]
name = "open"
entry = ["count"]
[[transitions]]
event = "push"
source = "closed"
target = "open"
guards = ["unlocked"]
"""


@attrs.define(slots=False)
class Door:
    """A model with one guard and one entry action."""

    is_unlocked: bool = True
    openings: int = 0

    def unlocked(self):
        """Return whether the door may open."""
        return self.is_unlocked

    def count(self):
        """Count how often the door was opened."""
        self.openings += 1


def test_event_runs_the_entry_action_of_the_target_state():
    door = Door()
    loader.parse(CHART, Door).bind(door)
    assert_that(door.push(), matchers.Equals(True))
    assert_that(door.state, matchers.Equals('open'))
    assert_that(door.openings, matchers.Equals(1))


def test_transition_is_not_taken_if_a_guard_fails():
    door = Door(is_unlocked=False)
    loader.parse(CHART, Door).bind(door)
    assert_that(door.push(), matchers.Equals(False))
    assert_that(door.state, matchers.Equals('closed'))


def test_event_without_a_transition_is_ignored():
    door = Door()
    loader.parse(CHART, Door).bind(door, initial='open')
    assert_that(door.push(), matchers.Equals(False))


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('source = "closed"', 'source = "open"', 'unreachable state'),
        ('"count"', '"paint"', 'unknown action'),
        ('"unlocked"', '"warm"', 'unknown action or guard'),
        ('target = "open"', 'target = "ajar"', 'unknown state'),
        ('initial = "closed"', 'initial = 3', 'Expected `str`'),
    ],
)
def test_invalid_chart_is_refused(old, new, message):
    with pytest.raises(charts.ChartError, match=message):
        loader.parse(CHART.replace(old, new), Door)
