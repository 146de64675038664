"""Tests of the experiment's results, arrivals, engine and measures."""

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import experiment
from cassiashift_core.experiment import arrivals
from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import measures
from cassiashift_core.experiment import model
from cassiashift_core.experiment.run import run_scenario

SMALL = experiment.ExperimentConfig(
    engines=4,
    entries=2,
    workspaces=4,
    rate=30.0,
    duration_s=8.0,
    warm_up_s=1.0,
)


def run(seed, **changes):
    cfg = attrs.evolve(SMALL, **changes)
    return msgspec.json.encode(experiment.run(cfg, seed))


def test_equal_seeds_give_equal_bytes():
    scenarios = ('steady', 'lag')
    first = run(3, scenarios=scenarios)
    assert_that(run(3, scenarios=scenarios), matchers.Equals(first))
    other = run(4, scenarios=scenarios)
    assert_that(other == first, matchers.Equals(False))


def test_same_seed_gives_the_same_arrivals():
    scenario = model.SCENARIOS[0]
    first = arrivals.generate(SMALL, scenario, 1)
    assert_that(arrivals.generate(SMALL, scenario, 1), matchers.Equals(first))


@pytest.mark.parametrize('scenario', model.SCENARIOS)
def test_each_call_is_served_refused_or_broken(scenario):
    cfg = attrs.evolve(
        SMALL, scenarios=(scenario.name,), policies=('cassiashift',)
    )
    cell = experiment.run(cfg, 1).cells[0]
    total = cell.served + cell.refused + cell.broken
    assert_that(total, matchers.Equals(cell.offered))
    assert_that(cell.served, matchers.GreaterThan(0))
    if scenario.fault != 'loss':
        assert_that(cell.broken, matchers.Equals(0))


def test_admitted_calls_do_not_fail_when_all_upstreams_are_full():
    scenario = attrs.evolve(model.SCENARIOS[0], load=3.0, fault='slow')
    scenario = attrs.evolve(scenario, fault_at_s=3.0)
    cell = run_scenario(SMALL, scenario, 'cassiashift', 1)
    assert_that(cell.refused, matchers.GreaterThan(0))
    assert_that(cell.broken, matchers.Equals(0))


def test_targets_and_fair_shares_hold_under_overload():
    cfg = attrs.evolve(
        SMALL,
        scenarios=('flood', 'overload'),
        policies=('cassiashift',),
        duration_s=16.0,
        warm_up_s=4.0,
    )
    for cell in experiment.run(cfg, 2).cells:
        assert_that(cell.within_first_token >= 0.95, matchers.Equals(True))
        assert_that(cell.within_token_gap >= 0.95, matchers.Equals(True))
        assert_that(cell.worst_share >= 0.9, matchers.Equals(True))


def test_engine_generates_all_tokens_and_reuses_prefixes():
    engine = engines.Engine('u1', experiment.EngineConfig())
    blocks = tuple(range(10))
    steps_by_attempt = []
    for name in ('a', 'b'):
        engine.submit(engines.EngineAttempt(name, 'e1', 700, blocks, 40))
        steps = 0
        tokens = 0
        while engine.begin_step(0.0) is not None:
            steps += 1
            for event in engine.end_step():
                if isinstance(event, engines.Finished):
                    tokens = event.tokens
        assert_that(tokens, matchers.Equals(40))
        steps_by_attempt.append(steps)
    assert_that(steps_by_attempt[1], matchers.LessThan(steps_by_attempt[0]))
    assert_that(engine.hit_tokens, matchers.Equals(640))
    assert_that(engine.slots.in_flight, matchers.Equals(0))


def test_max_min_shares_satisfy_small_demands_first():
    shares = measures.max_min_shares({'a': 10.0, 'b': 100.0, 'c': 100.0}, 90)
    expected = {'a': 10.0, 'b': 40.0, 'c': 40.0}
    assert_that(shares, matchers.Equals(expected))
