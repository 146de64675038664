"""Tests of the estimated content of prefix caches."""

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
    index = prefixes.PrefixIndex(cache_blocks=100, total_blocks=150)
    index.apply_event(event(0, [1, 2, 3]))
    return index


def depth(index, blocks=(1, 2, 3)):
    return index.depths(blocks).get('u1', 0)


def test_events_in_order_are_applied(index):
    index.apply_event(event(1, [4], [3]))
    assert_that(depth(index), matchers.Equals(2))


def test_depth_counts_leading_blocks_only(index):
    assert_that(depth(index, (9, 1, 2)), matchers.Equals(0))
    assert_that(depth(index, (1, 9, 2)), matchers.Equals(1))


def test_gap_drops_the_assumed_blocks(index):
    assert_that(index.apply_event(event(2, [7])), matchers.Equals(RESYNC))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(index.gap_count, matchers.Equals(1))


def test_blocks_sent_after_a_gap_are_assumed_cached(index):
    index.apply_event(event(2))
    index.record_sent('u1', [1, 2])
    assert_that(index.apply_event(event(3, [9])), matchers.Equals(RESYNC))
    assert_that(depth(index), matchers.Equals(2))


def test_snapshot_repairs_a_gap(index):
    index.apply_event(event(5))
    index.apply_event(event(5, [1, 2], snapshot=True))
    assert_that(depth(index), matchers.Equals(2))
    assert_that(index.apply_event(event(6, [3])), matchers.Is(None))
    assert_that(depth(index), matchers.Equals(3))


def test_older_snapshot_does_not_repair(index):
    index.apply_event(event(5))
    index.apply_event(event(3, [1, 2], snapshot=True))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(index.apply_event(event(6)), matchers.Equals(RESYNC))


def test_late_event_is_ignored(index):
    index.apply_event(event(1, [4]))
    index.apply_event(event(0, [], [1]))
    assert_that(depth(index), matchers.Equals(3))


def test_restarted_engine_has_an_empty_cache(index):
    index.apply_event(event(0, [2], epoch=1))
    assert_that(depth(index), matchers.Equals(0))
    assert_that(depth(index, (2,)), matchers.Equals(1))
    index.apply_event(event(1, [1, 2, 3], epoch=0))
    assert_that(depth(index), matchers.Equals(0))


def test_first_event_of_a_later_sequence_requests_a_snapshot():
    index = prefixes.PrefixIndex(100, 150)
    resync = index.apply_event(event(40, [1]))
    assert_that(resync, matchers.Equals(RESYNC))
    assert_that(depth(index, (1,)), matchers.Equals(0))


def test_blocks_are_bounded_and_the_oldest_evicted_first(index):
    index.record_sent('u1', range(100, 198))
    assert_that(depth(index, (1,)), matchers.Equals(0))
    assert_that(depth(index, (2,)), matchers.Equals(1))
    for upstream in range(20):
        index.record_sent(f'v{upstream}', range(100))
        assert_that(len(index) <= 150, matchers.Equals(True))


def test_removed_upstream_holds_nothing(index):
    index.remove_upstream('u1')
    assert_that(depth(index), matchers.Equals(0))
    assert_that(len(index), matchers.Equals(0))
