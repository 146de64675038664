"""Tests of what is believed about prefix caches."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import routing
from cassiashift_core.routing import prefixes

RESYNC = routing.ResyncNeeded('u1')


def event(sequence, stored=(), evicted=(), epoch=0, snapshot=False):
    return routing.CacheEvent(
        'u1', epoch, sequence, tuple(stored), tuple(evicted), snapshot
    )


@pytest.fixture
def index():
    found = prefixes.PrefixIndex(cache_blocks=100, total_blocks=150)
    found.event(event(0, [1, 2, 3]))
    return found


def depth(index, blocks=(1, 2, 3)):
    return index.depths(blocks).get('u1', 0)


def test_events_in_order_are_applied(index):
    index.event(event(1, [4], [3]))
    assert_that(depth(index), matchers.Equals(2))


def test_depth_counts_leading_blocks_only(index):
    assert_that(depth(index, (9, 1, 2)), matchers.Equals(0))
    assert_that(depth(index, (1, 9, 2)), matchers.Equals(1))


def test_gap_drops_what_is_no_longer_known(index):
    assert_that(index.event(event(2, [7])), matchers.Equals(RESYNC))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(index.gaps, matchers.Equals(1))


def test_own_sends_after_a_gap_are_believed(index):
    index.event(event(2))
    index.sent('u1', [1, 2])
    assert_that(index.event(event(3, [9])), matchers.Equals(RESYNC))
    assert_that(depth(index), matchers.Equals(2))


def test_snapshot_repairs_a_gap(index):
    index.event(event(5))
    index.event(event(5, [1, 2], snapshot=True))
    assert_that(depth(index), matchers.Equals(2))
    assert_that(index.event(event(6, [3])), matchers.Is(None))
    assert_that(depth(index), matchers.Equals(3))


def test_older_snapshot_does_not_repair(index):
    index.event(event(5))
    index.event(event(3, [1, 2], snapshot=True))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(index.event(event(6)), matchers.Equals(RESYNC))


def test_late_event_is_ignored(index):
    index.event(event(1, [4]))
    index.event(event(0, [], [1]))
    assert_that(depth(index), matchers.Equals(3))


def test_restarted_engine_has_an_empty_cache(index):
    index.event(event(0, [2], epoch=1))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(depth(index, (2,)), matchers.Equals(1))
    index.event(event(1, [1, 2, 3], epoch=0))
    assert_that(depth(index), matchers.Equals(0))


def test_first_event_in_the_middle_asks_for_a_snapshot():
    index = prefixes.PrefixIndex(100, 150)
    found = index.event(event(40, [1]))
    assert_that(found, matchers.Equals(RESYNC))
    assert_that(depth(index, (1,)), matchers.Equals(0))


def test_memory_is_limited_and_the_oldest_goes_first(index):
    index.sent('u1', range(100, 198))
    assert_that(depth(index, (1,)), matchers.Equals(0))
    assert_that(depth(index, (2,)), matchers.Equals(1))
    for upstream in range(20):
        index.sent(f'v{upstream}', range(100))
        assert_that(len(index) <= 150, matchers.Equals(True))


def test_forgotten_upstream_holds_nothing(index):
    index.forget('u1')
    assert_that(depth(index), matchers.Equals(0))
    assert_that(len(index), matchers.Equals(0))
