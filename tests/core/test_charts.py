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
    """A model with one guard and one action."""

    free: bool = True
    counted: int = 0

    def unlocked(self):
        """Tell whether the door may open."""
        return self.free

    def count(self):
        """Count the openings."""
        self.counted += 1


def test_event_runs_the_entry_action_of_the_new_state():
    door = Door()
    loader.parse(CHART, Door).bind(door)
    assert_that(door.push(), matchers.Equals(True))
    assert_that(door.state, matchers.Equals('open'))
    assert_that(door.counted, matchers.Equals(1))


def test_guard_that_fails_keeps_the_state():
    door = Door(free=False)
    loader.parse(CHART, Door).bind(door)
    assert_that(door.push(), matchers.Equals(False))
    assert_that(door.state, matchers.Equals('closed'))


def test_unknown_event_for_the_state_changes_nothing():
    door = Door()
    loader.parse(CHART, Door).bind(door, initial='open')
    assert_that(door.push(), matchers.Equals(False))


@pytest.mark.parametrize(
    ('old', 'new', 'wanted'),
    [
        ('source = "closed"', 'source = "open"', 'unreachable state'),
        ('"count"', '"paint"', 'unknown action'),
        ('"unlocked"', '"warm"', 'unknown action or guard'),
        ('target = "open"', 'target = "ajar"', 'unknown state'),
        ('initial = "closed"', 'initial = 3', 'Expected `str`'),
    ],
)
def test_bad_chart_is_refused(old, new, wanted):
    with pytest.raises(charts.ChartError, match=wanted):
        loader.parse(CHART.replace(old, new), Door)
