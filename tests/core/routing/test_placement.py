"""Tests of the planner's orders to load models and change roles."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import manifest
from cassiashift_core import routing

A = routing.PoolKey('a')
B = routing.PoolKey('b')
WEIGHTS = {('a', '1'): 100, ('b', '1'): 100}


@pytest.fixture
def planner():
    return make_planner()


def make_planner(**more):
    settings = {
        'hold_s': 10.0,
        'cooldown_s': 60.0,
        'smoothing_s': 5.0,
        'store_bytes_per_s': 1.0,
        'store_burst_bytes': 100.0,
        **more,
    }
    return routing.PlacementPlanner.from_config(
        routing.PlacementConfig(**settings)
    )


def placed(count_a, count_b):
    keys = [A] * count_a + [B] * count_b
    return [
        routing.PlacedUpstream(f'u{number}', key, tuple(WEIGHTS), 10.0)
        for number, key in enumerate(keys)
    ]


def run(planner, demands, seconds, upstreams, start=0):
    orders = []
    for second in range(start, start + seconds):
        demand = demands(second) if callable(demands) else demands
        planned = planner.plan(demand, upstreams, WEIGHTS, float(second))
        orders.extend((second, order) for order in planned)
    return orders


def test_lasting_shortage_loads_the_model_on_a_spare_upstream(planner):
    orders = run(planner, {A: 10.0, B: 19.0}, 15, placed(4, 2))
    assert_that(orders, matchers.HasLength(1))
    second, order = orders[0]
    assert_that(second, matchers.Equals(10))
    assert_that(order.upstream_id, matchers.Equals('u0'))
    assert_that(order.model, matchers.Equals('b'))


def test_pool_without_a_spare_upstream_gives_none_up(planner):
    orders = run(planner, {A: 19.0, B: 19.0}, 60, placed(4, 2))
    assert_that(orders, matchers.Equals([]))


def test_oscillating_demand_gives_no_orders(planner):
    def oscillating(second):
        low, high = (4.0, 19.0) if second % 8 < 4 else (19.0, 4.0)
        return {A: low, B: high}

    orders = run(planner, oscillating, 300, placed(3, 3))
    assert_that(orders, matchers.Equals([]))


def test_weight_store_bounds_the_orders(planner):
    orders = run(planner, {A: 1.0, B: 500.0}, 300, placed(9, 1))
    times = [second for second, _ in orders]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert_that(len(orders), matchers.GreaterThan(2))
    assert_that(min(gaps) >= 100, matchers.Equals(True))


def test_upstream_gets_no_second_order_during_its_cooldown():
    planner = make_planner(store_bytes_per_s=1e6, store_burst_bytes=1e6)
    orders = run(planner, {A: 1.0, B: 500.0}, 55, placed(9, 1))
    names = [order.upstream_id for _, order in orders]
    assert_that(len(names), matchers.GreaterThan(2))
    assert_that(len(set(names)), matchers.Equals(len(names)))


def test_role_changes_without_the_weight_store():
    planner = make_planner(store_burst_bytes=0.0)
    prefill = routing.PoolKey('a', role=manifest.Role.PREFILL)
    decode = routing.PoolKey('a', role=manifest.Role.DECODE)
    upstreams = [
        routing.PlacedUpstream(f'u{number}', key, (), 10.0)
        for number, key in enumerate([prefill] * 4 + [decode])
    ]
    demand = {prefill: 5.0, decode: 12.0}
    orders = run(planner, demand, 12, upstreams)
    wanted = routing.RoleOrder('u0', manifest.Role.DECODE)
    assert_that(orders[0][1], matchers.Equals(wanted))
