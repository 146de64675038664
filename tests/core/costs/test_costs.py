"""Tests of estimates and of what they learn from."""

import random
import tracemalloc

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import costs
from cassiashift_core import routes

ENGINE = routes.Engine(
    slots=5,
    step_s=0.005,
    step_per_request_s=0.001,
    read_tokens_per_s=50_000,
    pairs_per_million_s=0.01,
    chunk_tokens=500,
    context_per_thousand_s=0.0001,
    usual_prompt_tokens=800,
    usual_output_tokens=120,
)
# State of the decisions, by docs/design/uneven-load.md.
LARGEST_STATE_BYTES = 2 * 1024 * 1024


@pytest.fixture
def estimator():
    return costs.CostEstimator()


def _request(workspace='w', engine=ENGINE, **stated):
    return costs.Request('r', workspace, costs.StatedSize(**stated), engine)


def test_usual_sizes_count_until_something_is_learned(estimator):
    cost = estimator.estimate(_request())
    assert_that(cost.prompt_tokens.median, matchers.Equals(800))
    assert_that(cost.output_tokens.median, matchers.Equals(120))
    for _ in range(50):
        estimator.record(_request(prompt_tokens=100), 10, 0.2)
    cost = estimator.estimate(_request())
    assert_that(round(cost.prompt_tokens.median), matchers.Equals(100))
    assert_that(round(cost.output_tokens.median), matchers.Equals(10))


def test_a_prompt_is_processed_in_chunks_of_steps():
    # 20 ms for the tokens, 4.995 ms for 499,500 pairs, 2 steps of 5 ms.
    seconds = costs.prompt_s(ENGINE, 1000)
    assert_that(round(seconds, 9), matchers.Equals(0.034995))
    seconds = costs.step_s(ENGINE, 3, 10_000)
    assert_that(round(seconds, 5), matchers.Equals(0.009))


def test_hints_that_are_always_wrong_are_corrected(estimator):
    rng = random.Random(1)
    for _ in range(60):
        hint = rng.randrange(50, 500)
        estimator.record(_request(hinted_tokens=hint), 4 * hint, 1.0)
    cost = estimator.estimate(_request(hinted_tokens=100))
    assert_that(cost.output_tokens.mean, matchers.GreaterThan(390))
    assert_that(cost.output_tokens.mean, matchers.LessThan(410))
    cost = estimator.estimate(
        _request(hinted_tokens=100, max_output_tokens=150)
    )
    assert_that(cost.output_tokens.mean, matchers.Equals(150))


def test_a_new_workspace_is_estimated_by_its_route(estimator):
    for _ in range(40):
        estimator.record(_request('usual'), 100, 1.0)
        estimator.record(_request('long'), 1000, 5.0)
    new = estimator.estimate(_request('new')).output_tokens.median
    assert_that(new, matchers.GreaterThan(100))
    assert_that(new, matchers.LessThan(1000))
    known = estimator.estimate(_request('long')).output_tokens.median
    assert_that(known, matchers.GreaterThan(700))


def test_times_of_plain_services_are_learned(estimator):
    for _ in range(30):
        estimator.record(_request(engine=None), 0, 0.08)
    time = estimator.estimate(_request(engine=None)).time_s
    assert_that(round(time.median, 3), matchers.Equals(0.08))


def test_the_rest_of_an_output_is_conditional_on_what_was_received():
    estimate = costs.Estimate(100.0, 0.8, 400.0)
    rests = [estimate.remaining(received) for received in (0, 100, 300)]
    assert_that(rests[0], matchers.Equals(estimate.mean))
    # Beyond its median the rest does not shrink to nothing.
    assert_that(rests[1], matchers.GreaterThan(60))
    assert_that(rests[2], matchers.LessThan(100.01))
    assert_that(estimate.remaining(500), matchers.Equals(0.0))
    for received in (1e3, 1e9, 1e300):
        rest = costs.Estimate(100.0, 0.8).remaining(received)
        assert_that(rest, matchers.GreaterThan(0))


def test_the_state_is_bounded_for_all_workspaces(estimator):
    tracemalloc.start()
    try:
        estimator = costs.CostEstimator()
        for number in range(23_000):
            req = costs.Request(
                f'r{number % 1640}', f'w{number}', costs.StatedSize(9, 9, 9)
            )
            estimator.record(req, 10, 1.0)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert_that(held, matchers.LessThan(LARGEST_STATE_BYTES))
