"""Tests of the map search, with bounds that hold for any load."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import planning

SMALL = rankmaps.GroupShape(8, 6, 64, 11, 4, 6, 0.85)
LARGE = rankmaps.GroupShape(32, 12, 128, 5, 4, 5, 0.85)
WIDE = rankmaps.GroupShape(63, 8, 252, 5, 2, 5, 0.85)


def _loads(shape, seed):
    rng = random.Random(seed)
    return [
        [rng.paretovariate(0.9) for _ in range(shape.experts)]
        for _ in range(shape.sets)
    ]


def _skew(shape, lists, loads, slowdown=1.0):
    total = 0.0
    for rows, weights in zip(lists, loads, strict=True):
        holders = [sum(e in row for row in rows) for e in range(len(weights))]
        ranks = [sum(weights[e] / holders[e] for e in row) for row in rows]
        ranks[0] *= slowdown
        total += max(ranks) / (sum(weights) / shape.ranks)
    return total / shape.sets


@pytest.mark.parametrize('slowdowns', [(1, 1, 1), (4, 4), (1, 1, 1, 4, 4)])
@pytest.mark.parametrize('shape', [SMALL, LARGE, WIDE])
@pytest.mark.parametrize('seed', range(5))
def test_a_plan_keeps_the_limits_of_the_engine(shape, seed, slowdowns):
    loads = _loads(shape, seed)
    current = rankmaps.first_map(shape)
    for slowdown in slowdowns:
        ratios = [slowdown] + [1.0] * (shape.ranks - 1)
        plan = rankmaps.plan(current, loads, shape, 1.0, ratios)
        copies = 0
        for before, after in zip(current, plan.lists, strict=True):
            held = {expert for row in after for expert in row}
            assert_that(held, matchers.Equals(set(range(shape.experts))))
            for old, new in zip(before, after, strict=True):
                fresh = set(new) - set(old)
                copies += len(fresh)
                assert_that(len(new) <= shape.placements, matchers.Is(True))
                assert_that(len(fresh) <= shape.spare, matchers.Is(True))
        assert_that(plan.copies, matchers.Equals(copies))
        skew = _skew(shape, plan.lists, loads, slowdown)
        assert_that(abs(plan.after - skew) < 1e-6, matchers.Is(True))
        assert_that(plan.after <= plan.before + 1e-9, matchers.Is(True))
        current = plan.lists
    # After two plans, the passes no longer wait for the slow rank.
    load = _skew(shape, current, loads, 1000) / 1000
    assert_that(slowdowns[-1] == 1 or load < 0.5, matchers.Is(True))


@pytest.mark.parametrize('seed', range(5))
def test_two_plans_balance_a_skewed_group(seed):
    loads = _loads(SMALL, seed)
    lists = rankmaps.first_map(SMALL)
    static = _skew(SMALL, lists, loads)
    for _ in range(2):
        lists = rankmaps.plan(lists, loads, SMALL).lists
    # Less than half of the static map's excess over a balanced group remains.
    remaining = (_skew(SMALL, lists, loads) - 1) / (static - 1)
    assert_that(remaining, matchers.LessThan(0.5))


def test_a_balanced_group_copies_nothing():
    loads = [[1.0] * SMALL.experts for _ in range(SMALL.sets)]
    plan = rankmaps.plan(rankmaps.first_map(SMALL), loads, SMALL)
    assert_that(plan.copies, matchers.Equals(0))
    assert_that(plan.gain, matchers.Equals(0.0))


def test_a_group_with_free_slots_requires_a_larger_gain():
    assert_that(
        planning.min_gain(0.3), matchers.GreaterThan(planning.min_gain(1))
    )
    assert_that(
        planning.min_gain(0.0), matchers.Equals(planning.min_gain(0.1))
    )


def test_choice_counts_are_encoded_within_a_255th_of_the_largest():
    counts = [0, 1, 500, 76898]
    decoded = rankmaps.Choices.from_counts(counts).counts()
    for count, value in zip(counts, decoded, strict=True):
        assert_that(abs(count - value) <= 76898 / 255, matchers.Is(True))


def test_demand_decays_for_experts_no_longer_chosen():
    demand = rankmaps.Demand(1, 2)
    demand.add([100, 0], 0.0)
    for second in range(1, 6):
        demand.add([0, 100], float(second))
    assert_that(
        demand.loads[0][1], matchers.GreaterThan(20 * demand.loads[0][0])
    )
    demand.add([1], 6.0)


@pytest.mark.parametrize('seed', range(3))
def test_copies_of_a_rank_are_limited(seed):
    loads = _loads(LARGE, seed)
    current = rankmaps.first_map(LARGE)
    plan = rankmaps.plan(current, loads, LARGE)
    for rank in range(LARGE.ranks):
        copies = sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(current, plan.lists, strict=True)
        )
        assert_that(copies <= planning.MAX_COPIES_PER_RANK, matchers.Is(True))
