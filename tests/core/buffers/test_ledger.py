"""Tests of the bounds on buffered bytes."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import buffers
from cassiashift_core.buffers import ledger
from cassiashift_core.buffers import limits

MEMORY_MB = 200
LARGE = buffers.LARGE_BYTES + 1
SMALL = 1024


@pytest.fixture
def stated():
    return buffers.Ledger(buffers.BufferLimits.from_memory(MEMORY_MB))


def test_nothing_is_refused_or_given_up_without_a_stated_memory():
    """Guards deployments whose settings state no memory."""
    counts = buffers.Ledger()
    counts.hold(10**12)
    counts.begin_wait(1, 0.0)
    assert_that(counts.refusal(LARGE), matchers.Is(None))
    assert_that(counts.to_give_up(1e9), matchers.Equals([]))


@pytest.mark.parametrize('memory_mb', [16, 64, 96, 128, 200, 440, 4096])
def test_buffers_are_a_part_of_any_stated_memory(memory_mb):
    bound = buffers.BufferLimits.from_memory(memory_mb).process_bytes
    assert_that(bound, matchers.GreaterThan(0))
    assert_that(bound, matchers.LessThan(memory_mb * limits.MEGABYTE))


def test_large_work_is_refused_before_small(stated):
    """Guards small requests while large bodies fill the memory."""
    assert_that(stated.refusal(LARGE), matchers.Is(None))
    stated.hold(stated.limits.large_work_bytes + 1)
    refusal = stated.refusal(LARGE)
    assert_that(refusal, matchers.Is(buffers.Refusal.LARGE))
    assert_that(stated.refusal(SMALL), matchers.Is(None))
    stated.hold(stated.limits.process_bytes)
    refusal = stated.refusal(SMALL)
    assert_that(refusal, matchers.Is(buffers.Refusal.FULL))


def test_bytes_of_the_work_itself_are_not_counted_twice(stated):
    size = stated.limits.process_bytes - SMALL
    stated.hold(size)
    assert_that(stated.refusal(size, size), matchers.Is(None))
    assert_that(stated.refusal(size), matchers.Is(buffers.Refusal.FULL))


def test_callers_are_given_up_once_they_have_not_read(stated):
    """Guards streams that their upstreams would abort."""
    stated.begin_wait(1, 0.0)
    stated.begin_wait(2, 0.5)
    stated.begin_wait(1, 1.0)
    before = stated.to_give_up(ledger.UNREAD_S - 0.1)
    assert_that(before, matchers.Equals([]))
    given_up = stated.to_give_up(ledger.UNREAD_S)
    assert_that(given_up, matchers.Equals([1]))
    stated.end_wait(1)
    stated.begin_wait(1, 3.0)
    given_up = stated.to_give_up(3.0)
    assert_that(given_up, matchers.Equals([2]))


def test_the_longest_waiting_are_given_up_first_when_memory_is_short(stated):
    for key in range(10):
        stated.begin_wait(key, 0.1 * key)
    stated.hold(stated.limits.process_bytes - stated.buffered_bytes + SMALL)
    assert_that(stated.to_give_up(1.2), matchers.Equals([0]))
    # Callers that were slow for a moment only are kept.
    assert_that(stated.to_give_up(0.4), matchers.Equals([]))


@pytest.mark.parametrize('seed', range(20))
def test_accepted_work_stays_within_the_memory_for_buffers(stated, seed):
    """Guards against a sum of accepted requests beyond the stated memory."""
    rng = random.Random(seed)
    active = {}
    refused = 0
    for step in range(5000):
        now = step * 0.01
        size = int(rng.paretovariate(0.7) * 2048)
        size = min(size, 4 * limits.MEGABYTE)
        stated.begin_request()
        if stated.refusal(size) is None:
            stated.hold(size)
            active[step] = size
            if rng.random() < 0.5:
                stated.begin_wait(step, now)
        else:
            refused += 1
            stated.end_request()
        ended = set(stated.to_give_up(now))
        if rng.random() < 0.7 and active:
            ended.add(rng.choice(list(active)))
        for key in ended:
            stated.release(active.pop(key))
            stated.end_wait(key)
            stated.end_request()
        # One more request, and one more caller that doesn't read.
        margin = limits.REQUEST_BYTES + stated.limits.unread_bytes
        bound = stated.limits.process_bytes + margin * 50
        assert_that(stated.buffered_bytes, matchers.LessThan(bound))
    assert_that(refused, matchers.GreaterThan(0))
    for key in list(active):
        stated.release(active.pop(key))
        stated.end_wait(key)
        stated.end_request()
    assert_that(stated.buffered_bytes, matchers.Equals(0))
