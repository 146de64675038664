"""Tests of the benefit of shorter passes."""

import attrs
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import planning
from cassiashift_core.rankmaps import pressure

# 32 ranks with 5 slots each, as on a grown deployment.
LARGE = rankmaps.GroupShape(
    ranks=32,
    sets=12,
    experts=128,
    placements=5,
    spare=4,
    slots=5,
    expert_share=0.85,
    stride=6,
    step_s=0.00585,
    step_per_request_s=0.00071,
    longest_pause_s=0.12,
)


def test_an_idle_group_has_no_pressure():
    assert_that(pressure.pressure(LARGE, 0.0, 3.0), matchers.Equals(0.0))


def test_without_a_pause_objective_pressure_is_the_utilisation():
    shape = attrs.evolve(LARGE, longest_pause_s=0.0)
    assert_that(pressure.pressure(shape, 0.3, 3.0), matchers.Equals(0.3))


def test_late_streams_raise_pressure_while_most_slots_are_free():
    value = pressure.pressure(LARGE, 0.2, 2.3)
    assert_that(value, matchers.Equals(1.0))


def test_short_passes_leave_pressure_at_the_utilisation():
    shape = attrs.evolve(LARGE, longest_pause_s=1.0)
    assert_that(pressure.pressure(shape, 0.2, 1.1), matchers.Equals(0.2))


def test_a_pass_lasts_longer_with_skew_and_requests():
    even = pressure.pass_s(LARGE, 0.0, 1.0)
    assert_that(even, matchers.Equals(LARGE.stride * LARGE.step_s))
    for utilisation, skew in ((0.4, 1.0), (0.0, 1.5)):
        longer = pressure.pass_s(LARGE, utilisation, skew)
        assert_that(longer, matchers.GreaterThan(even))


def test_a_group_with_free_slots_and_late_streams_gets_a_new_map():
    loads = [
        [1.0 / (1 + (expert + shift) % LARGE.experts) for expert in range(128)]
        for shift in range(0, 12 * 7, 7)
    ]
    lists = rankmaps.first_map(LARGE)
    utilisation = 0.2
    first_plan = rankmaps.plan(lists, loads, LARGE, utilisation)
    load_pressure = pressure.pressure(LARGE, utilisation, first_plan.before)
    second_plan = rankmaps.plan(first_plan.lists, loads, LARGE, utilisation)
    assert_that(
        first_plan.gain, matchers.GreaterThan(planning.min_gain(load_pressure))
    )
    assert_that(first_plan.after, matchers.LessThan(1.6))
    assert_that(
        second_plan.gain, matchers.LessThan(planning.min_gain(load_pressure))
    )
