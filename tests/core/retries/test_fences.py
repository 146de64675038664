"""Tests of the agent's record of arrived and fenced attempts."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import retries
from cassiashift_core import Verdict


def attempt(number, entry='e1', epoch=1, incarnation=1):
    return retries.AttemptId(entry, epoch, number, incarnation)


def test_fenced_attempt_is_refused_when_it_arrives():
    table = retries.FenceTable(incarnation=1)
    answer = table.fence(attempt(5))
    assert_that(answer, matchers.Is(retries.FenceAnswer.FENCED))
    arrival = table.record_arrival(attempt(5))
    assert_that(arrival.accepted, matchers.Equals(False))
    assert_that(arrival.verdict, matchers.Is(Verdict.NOT_RUN))


def test_fence_of_an_arrived_attempt_proves_nothing():
    table = retries.FenceTable(incarnation=1)
    table.record_arrival(attempt(5))
    answer = table.fence(attempt(5))
    assert_that(answer, matchers.Is(retries.FenceAnswer.ARRIVED))
    assert_that(answer.verdict, matchers.Is(Verdict.MAY_HAVE_RUN))


def test_restarted_agent_refuses_attempts_sent_before():
    table = retries.FenceTable(incarnation=2)
    assert_that(
        table.record_arrival(attempt(1)).accepted, matchers.Equals(False)
    )
    answer = table.fence(attempt(1))
    assert_that(answer, matchers.Is(retries.FenceAnswer.UNKNOWN))


def test_new_epoch_of_an_entry_refuses_attempts_of_the_old():
    table = retries.FenceTable(incarnation=1)
    table.record_arrival(attempt(1, epoch=2))
    arrival = table.record_arrival(attempt(9, epoch=1))
    assert_that(arrival.accepted, matchers.Equals(False))


def test_dropped_entry_changes_the_incarnation():
    table = retries.FenceTable(incarnation=1, max_entries=2)
    table.fence(attempt(1, entry='e1'))
    table.record_arrival(attempt(1, entry='e2'))
    arrival = table.record_arrival(attempt(1, entry='e3'))
    assert_that(arrival.accepted, matchers.Equals(False))
    assert_that(table.incarnation, matchers.Equals(2))
    arrival = table.record_arrival(attempt(1, entry='e1'))
    assert_that(arrival.accepted, matchers.Equals(False))
    arrival = table.record_arrival(attempt(2, entry='e1', incarnation=2))
    assert_that(arrival.accepted, matchers.Equals(True))


@pytest.mark.parametrize('seed', range(20))
def test_fences_hold_in_bounded_memory(seed):
    rng = random.Random(seed)
    table = retries.FenceTable(incarnation=1, max_numbers=8)
    numbers = list(range(400))
    fenced = set()
    ran = set()
    for number in sorted(numbers, key=lambda n: n + rng.uniform(0, 30)):
        if rng.random() < 0.4:
            answer = table.fence(attempt(number))
            if answer.verdict is Verdict.NOT_RUN:
                fenced.add(number)
        else:
            ran.update(
                [number] * table.record_arrival(attempt(number)).accepted
            )
        late = rng.choice(numbers)
        arrival = table.record_arrival(attempt(late))
        if arrival.accepted:
            assert_that(late in ran, matchers.Equals(False))
            ran.add(late)
        elif late in ran:
            assert_that(arrival.verdict, matchers.Is(Verdict.MAY_HAVE_RUN))
    for number in numbers:
        if not table.record_arrival(attempt(number)).accepted:
            continue
        assert_that(number in ran, matchers.Equals(False))
        ran.add(number)
    assert_that(fenced & ran, matchers.Equals(set()))
    assert_that(len(fenced), matchers.GreaterThan(0))


def test_dropped_fences_are_still_refused():
    table = retries.FenceTable(incarnation=1, max_numbers=8)
    for number in range(100):
        table.fence(attempt(number))
    for number in range(100):
        arrival = table.record_arrival(attempt(number))
        assert_that(arrival.accepted, matchers.Equals(False))
        assert_that(arrival.verdict, matchers.Is(Verdict.NOT_RUN))


def test_dropped_arrival_is_not_accepted_twice():
    table = retries.FenceTable(incarnation=1, max_numbers=8)
    for number in range(100):
        table.record_arrival(attempt(number))
    for number in range(100):
        arrival = table.record_arrival(attempt(number))
        assert_that(arrival.accepted, matchers.Equals(False))
        assert_that(arrival.verdict, matchers.Is(Verdict.MAY_HAVE_RUN))
