"""Tests that slow ranks are distinguished from overloaded ones."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import balancing
from cassiashift_core.balancing import straggler

BASE_S = 0.01
S_PER_TOKEN = 1e-5


def window(rng, slow=(), loads=None, factor=1.3):
    """Return samples of 16 ranks; those in ``slow`` take ``factor`` longer."""
    samples = []
    for number in range(16):
        load = rng.uniform(950, 1050)
        load = (loads or {}).get(number, load)
        step_s = (BASE_S + S_PER_TOKEN * load) * rng.uniform(0.98, 1.02)
        if number in slow:
            step_s *= factor
        samples.append(straggler.RankSample(f'r{number}', load, step_s))
    return samples


@pytest.fixture
def detector():
    return balancing.StragglerDetector()


@pytest.fixture
def rng():
    return random.Random(5)


def test_rank_with_too_much_load_is_overloaded(detector, rng):
    for _ in range(5):
        health = detector.observe(window(rng, loads={4: 2500.0}))
    assert_that(health['r4'], matchers.Equals(balancing.RankHealth.OVERLOADED))


@pytest.mark.parametrize('slow', [(4,), (4, 9), (1, 2, 3, 4, 5)])
def test_slow_rank_is_faulty_after_several_windows(detector, rng, slow):
    healths = [detector.observe(window(rng, slow))['r4'] for _ in range(4)]
    suspect, faulty = (
        balancing.RankHealth.SUSPECT,
        balancing.RankHealth.FAULTY,
    )
    assert_that(healths, matchers.Equals([suspect, suspect, faulty, faulty]))


def test_slow_rank_with_little_load_is_faulty(detector, rng):
    for _ in range(3):
        health = detector.observe(
            window(rng, slow=(4,), loads={4: 500.0}, factor=1.5)
        )
    assert_that(health['r4'], matchers.Equals(balancing.RankHealth.FAULTY))


def test_single_slow_windows_make_no_rank_faulty(detector, rng):
    for number in range(20):
        slow = (4,) if number % 4 == 0 else ()
        health = detector.observe(window(rng, slow))
        assert_that(
            health.values(),
            matchers.Not(matchers.Contains(balancing.RankHealth.FAULTY)),
        )


def test_ranks_without_faults_are_fine(detector, rng):
    for _ in range(50):
        health = detector.observe(window(rng))
        assert_that(
            set(health.values()) - {balancing.RankHealth.FINE},
            matchers.Equals(set()),
        )
