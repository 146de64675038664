"""Tests of how the policy responds to changes of ranks and loads."""

import numpy as np
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.balancing import baselines
from cassiashift_core.balancing import budgets
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import policy as policies
from cassiashift_core.balancing import prices
from cassiashift_core.balancing import traces

EXPERTS = 64


@pytest.fixture
def trace():
    return traces.generate(
        traces.TraceKind.DRIFT, 7, windows=12, layers=2, experts=EXPERTS
    )


@pytest.fixture
def ranks():
    return placements.Ranks.uniform(8, 9)


def run_policy(trace, ranks, windows=6):
    """Return a policy that has run over the first windows of a trace."""
    policy = policies.CassiashiftPolicy.from_config(
        ranks, prices.Prices(1.0, 0.1), trace.shape[1]
    )
    policy.observe(trace[0])
    current = policy.first_placements(trace[0])
    for window in range(1, windows):
        policy.observe(trace[window])
        current = policy.plan(current).placed
    return policy, current


def check_placements(placed, ranks):
    """Check that every expert is placed and no rank exceeds its slots."""
    for layer in placed:
        assert_that(bool(layer.any(axis=1).all()), matchers.Equals(True))
        fits = (layer.sum(axis=0) <= ranks.slots).all()
        assert_that(bool(fits), matchers.Equals(True))


def test_plan_places_every_expert_within_the_slots(trace, ranks):
    _, current = run_policy(trace, ranks, windows=12)
    check_placements(current, ranks)


@pytest.mark.parametrize('budget', [0, 1, 3, 10])
def test_plan_stays_within_the_budget_of_moves(trace, ranks, budget):
    policy, current = run_policy(trace, ranks)
    policy.observe(trace[11])
    plan = policy.plan(current, budget)
    assert_that(plan.moves, matchers.LessThan(budget + 1))
    check_placements(plan.placed, ranks)


def test_half_of_the_moves_gives_more_than_half_of_the_gain(trace, ranks):
    policy, current = run_policy(trace, ranks, windows=2)
    policy.observe(trace[11])
    unlimited = policy.plan(current)
    half = policy.plan(current, unlimited.moves // 2)
    assert_that(half.gain, matchers.GreaterThan(unlimited.gain / 2))


@pytest.mark.parametrize('spare_slots', [10, 12])
def test_experts_of_a_lost_rank_are_placed_elsewhere(trace, spare_slots):
    ranks = placements.Ranks.uniform(8, spare_slots)
    policy, current = run_policy(trace, ranks)
    policy.ranks = ranks.without(2)
    plan = policy.plan(current, 0)
    check_placements(plan.placed, policy.ranks)


def test_added_rank_takes_load(trace):
    ranks = placements.Ranks.uniform(8, 9).without(7)
    ranks = placements.Ranks(
        ranks.slots + np.array([1] * 7 + [0]), ranks.speed
    )
    policy, current = run_policy(trace, ranks)
    policy.ranks = placements.Ranks.uniform(8, 10)
    for window in range(6, 12):
        policy.observe(trace[window])
        current = policy.plan(current).placed
    loads = placements.rank_loads(current[0], trace[11, 0], policy.ranks)
    assert_that(loads[7], matchers.GreaterThan(0.8 * loads.mean()))


def test_slower_rank_gets_less_load(trace):
    speed = np.ones(8)
    speed[3] = 0.5
    ranks = placements.Ranks(np.full(8, 9), speed)
    _, current = run_policy(trace, ranks)
    loads = placements.rank_loads(current[0], trace[5, 0], ranks) * speed
    assert_that(loads[3], matchers.LessThan(0.75 * loads.mean()))


def test_gap_in_the_reports_changes_no_estimate(trace, ranks):
    policy, _ = run_policy(trace, ranks)
    before = policy.filters[0].forecast().mean
    policy.observe(np.zeros_like(trace[0]))
    after = policy.filters[0].forecast().mean
    assert_that(after.tolist(), matchers.Equals(before.tolist()))


def test_expert_that_is_not_reported_keeps_its_estimate(trace, ranks):
    policy, _ = run_policy(trace, ranks)
    before = policy.filters[0].state[5]
    tokens = trace[6].copy()
    tokens[0, 5] = np.nan
    policy.observe(tokens)
    assert_that(policy.filters[0].state[5], matchers.Equals(before))
    check_placements(
        policy.plan(policy.first_placements(trace[5])).placed, ranks
    )


def test_expert_with_half_of_all_load_is_replicated(ranks):
    loads = np.full((1, EXPERTS), 1000.0)
    loads[0, 7] = loads.sum()
    _, current = run_policy(np.stack([loads] * 4), ranks, windows=4)
    skew = placements.skew(current[0], loads[0], ranks)
    repacked = placements.skew(
        baselines.greedy(loads[0], ranks), loads[0], ranks
    )
    assert_that(skew, matchers.LessThan(repacked + 1e-9))


def test_reason_of_a_plan_without_moves(ranks):
    even = np.full((2, EXPERTS), 1000.0)
    policy, current = run_policy(np.stack([even] * 4), ranks, windows=4)
    plan = policy.plan(current)
    assert_that(plan.reason, matchers.Equals('no move pays for itself'))


def test_sticky_repack_moves_less_at_the_same_skew(trace, ranks):
    before = baselines.greedy(trace[0, 0], ranks)
    plain = baselines.greedy(trace[1, 0], ranks)
    sticky = baselines.greedy_sticky(trace[1, 0], ranks, before)
    assert_that(
        placements.count_moves(before, sticky),
        matchers.LessThan(placements.count_moves(before, plain)),
    )
    assert_that(
        placements.skew(sticky, trace[1, 0], ranks),
        matchers.Equals(placements.skew(plain, trace[1, 0], ranks)),
    )


def test_store_is_shared_fairly_among_groups():
    shares = budgets.max_min_shares(90.0, [10.0, 100.0, 50.0])
    assert_that(shares, matchers.Equals([10.0, 40.0, 40.0]))
    assert_that(
        budgets.max_min_shares(90.0, [10.0, 20.0]),
        matchers.Equals([10.0, 20.0]),
    )


def test_moves_in_a_window_follow_the_rate():
    assert_that(
        budgets.max_moves_in_window(10.0, 60.0, 100), matchers.Equals(6)
    )
    assert_that(
        budgets.max_moves_in_window(1.0, 60.0, 100), matchers.Equals(1)
    )
    assert_that(budgets.max_moves_in_window(0.0, 60.0, 100), matchers.Is(None))
