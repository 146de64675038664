"""Tests that a slow rank is told apart from an overloaded one."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import balancing
from cassiashift_core.balancing import straggler

BASE_S = 0.01
S_PER_TOKEN = 1e-5


def window(rng, slow=(), loads=None, factor=1.3):
    """Return a window of 16 ranks; ``slow`` ones take longer."""
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


def test_overloaded_rank_is_to_shift_load(detector, rng):
    for _ in range(5):
        health = detector.observe(window(rng, loads={4: 2500.0}))
    assert_that(health['r4'], matchers.Equals(balancing.RankHealth.OVERLOADED))


@pytest.mark.parametrize('slow', [(4,), (4, 9), (1, 2, 3, 4, 5)])
def test_slow_rank_is_to_be_drained_after_several_windows(detector, rng, slow):
    seen = [detector.observe(window(rng, slow))['r4'] for _ in range(4)]
    suspect, faulty = (
        balancing.RankHealth.SUSPECT,
        balancing.RankHealth.FAULTY,
    )
    assert_that(seen, matchers.Equals([suspect, suspect, faulty, faulty]))


def test_slow_rank_with_little_load_is_still_found(detector, rng):
    for _ in range(3):
        health = detector.observe(
            window(rng, slow=(4,), loads={4: 500.0}, factor=1.5)
        )
    assert_that(health['r4'], matchers.Equals(balancing.RankHealth.FAULTY))


def test_short_stall_drains_nobody(detector, rng):
    for number in range(20):
        slow = (4,) if number % 4 == 0 else ()
        health = detector.observe(window(rng, slow))
        assert_that(
            health.values(),
            matchers.Not(matchers.Contains(balancing.RankHealth.FAULTY)),
        )


def test_group_without_faults_drains_nobody(detector, rng):
    for _ in range(50):
        health = detector.observe(window(rng))
        assert_that(
            set(health.values()) - {balancing.RankHealth.FINE},
            matchers.Equals(set()),
        )
