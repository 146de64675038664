"""Tests of when configurations of a restarted log come into force."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet


def _document(version):
    return fleet.Document(version)


def _version(document):
    return 0 if document is None else document.version


def test_nothing_of_the_log_is_in_force_before_a_quorum_answers():
    confirmation = fleet.LogConfirmation()
    assert_that(confirmation.offer(_document(3)), matchers.Is(None))
    assert_that(confirmation.offer(_document(5)), matchers.Is(None))
    released = confirmation.confirm(5)
    assert_that(_version(released), matchers.Equals(5))


def test_a_log_behind_the_quorum_waits_until_it_has_caught_up():
    confirmation = fleet.LogConfirmation()
    confirmation.offer(_document(3))
    assert_that(confirmation.confirm(7), matchers.Is(None))
    assert_that(confirmation.offer(_document(5)), matchers.Is(None))
    assert_that(_version(confirmation.offer(_document(7))), matchers.Equals(7))


def test_a_new_log_has_nothing_to_wait_for():
    confirmation = fleet.LogConfirmation()
    assert_that(confirmation.confirm(0), matchers.Is(None))
    assert_that(_version(confirmation.offer(_document(1))), matchers.Equals(1))


def test_a_voter_that_reopens_its_folder_is_still_confirmed():
    confirmation = fleet.LogConfirmation()
    confirmation.offer(_document(4))
    confirmation.confirm(4)
    confirmation.offer(_document(2))
    assert_that(_version(confirmation.offer(_document(6))), matchers.Equals(6))


@pytest.mark.parametrize('seed', range(50))
def test_what_is_released_is_never_older_than_the_read_of_a_quorum(seed):
    rng = random.Random(seed)
    confirmation = fleet.LogConfirmation()
    logged = sorted(rng.sample(range(1, 60), 20))
    read_at = rng.randrange(20)
    floor = logged[rng.randrange(20)]
    released = []
    for position, version in enumerate(logged):
        if position == read_at:
            released.append(_version(confirmation.confirm(floor)))
        released.append(_version(confirmation.offer(_document(version))))
    in_force = [version for version in released if version]
    assert_that(min(in_force), matchers.GreaterThan(floor - 1))
    assert_that(in_force, matchers.Equals(sorted(in_force)))
    assert_that(in_force[-1], matchers.Equals(logged[-1]))
