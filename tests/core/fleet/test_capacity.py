"""Tests of what an entry estimates that it can carry."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core.fleet import capacity

CORE = fleet.Supply(1.0)


def _estimator(supply=CORE, seconds=0, rate=10, base=0.05, cost=0.006):
    estimator = fleet.CapacityEstimator(supply)
    for _ in range(seconds):
        _record(estimator, rate, base, cost)
    return estimator


def _record(estimator, rate, base=0.05, cost=0.006, **fields):
    usage = fleet.Usage(1.0, rate, base + cost * rate, **fields)
    estimator.record(usage)


def test_an_entry_without_a_stated_share_states_no_capacity():
    """Guards deployments whose settings state no processor share."""
    estimator = _estimator(fleet.Supply(), seconds=50, rate=100)
    assert_that(estimator.capacity_per_s, matchers.Equals(0.0))


def test_more_cores_than_one_loop_uses_do_not_count():
    """Guards against loads that only several loops could carry."""
    many = _estimator(fleet.Supply(2.58)).capacity_per_s
    assert_that(many, matchers.Equals(_estimator().capacity_per_s))
    half = _estimator(fleet.Supply(0.5)).capacity_per_s
    assert_that(half, matchers.LessThan(many / 2))


@pytest.mark.parametrize('cost', [0.003, 0.006, 0.03])
@pytest.mark.parametrize('base', [0.02, 0.2])
def test_cost_and_base_are_learned_from_a_varying_rate(cost, base):
    rng = random.Random(1)
    estimator = _estimator()
    for _ in range(120):
        _record(estimator, rng.randrange(5, 40), base, cost)
    true = (capacity.TARGET_SHARE - base) / cost
    ratio = estimator.capacity_per_s / true
    assert_that(abs(ratio - 1) < 0.15, matchers.Is(True))


@pytest.mark.parametrize('rate', [0, 1, 2])
def test_work_for_control_is_not_taken_for_a_cost_of_requests(rate):
    """Guards against more and more entries in use under little load."""
    estimator = _estimator(seconds=300, rate=rate, base=0.1)
    least = 0.8 * (capacity.TARGET_SHARE - 0.1) / 0.006
    assert_that(estimator.capacity_per_s, matchers.GreaterThan(least))


@pytest.mark.parametrize('seed', range(10))
def test_a_capacity_is_positive_and_bounded_for_any_usage(seed):
    """Guards against a capacity of 0, which means that none is stated."""
    rng = random.Random(seed)
    estimator = _estimator(fleet.Supply(1.0, 1e6, 1e6))
    highest = capacity.TARGET_SHARE / (
        capacity.LEAST_COST_SHARE * capacity.INITIAL_COST_S
    )
    for _ in range(500):
        estimator.record(
            fleet.Usage(
                rng.choice([0.0, 0.01, 1.0, 30.0]),
                rng.choice([0, 1, 10_000]),
                rng.choice([0.0, 1e-6, 1.0, 30.0]),
                rng.choice([0, 10**9]),
                rng.choice([0, 10**9]),
            )
        )
        value = estimator.capacity_per_s
        assert_that(value, matchers.GreaterThan(0.0))
        assert_that(value, matchers.LessThan(highest + 0.1))


def test_link_and_memory_bound_the_capacity():
    """Guards links of 20 Mbit/s, which carry 31 requests of 80 KB."""
    supply = fleet.Supply(1.0, link_bytes_per_s=2.5e6, buffer_bytes=8e7)
    estimator = fleet.CapacityEstimator(supply)
    for _ in range(30):
        _record(estimator, 10, link_bytes=800_000)
    target = capacity.TARGET_SHARE
    bound = round(target * 2.5e6 / 80_000, 1)
    assert_that(estimator.capacity_per_s, matchers.Equals(bound))
    for _ in range(300):
        _record(estimator, 10, buffered_bytes=40_000_000)
    assert_that(estimator.capacity_per_s, matchers.LessThan(bound))


def test_delays_of_the_loop_mark_an_entry_as_slow():
    """Guards against an entry that alternates between slow and sound."""
    estimator = _estimator()
    states = []
    delays = [0.2, 0.0, 0.2, 0.2, 0.03, 0.03, 0.0, 0.0, 0.0, 0.0, 0.0]
    for lag_s in delays:
        _record(estimator, 10, typical_lag_s=lag_s)
        states.append(estimator.is_slow)
    expected = [False] * 3 + [True] * 7 + [False]
    assert_that(states, matchers.Equals(expected))
