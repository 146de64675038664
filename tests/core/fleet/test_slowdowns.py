"""Tests of what entries know of slow ranks."""

import math
import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet

UPSTREAMS = [
    fleet.Upstream(f'u{n}', 's', f'10.0.0.{n}:1', 'east', born_ms=5)
    for n in range(3)
]


def _table():
    table = fleet.UpstreamTable(1e9, 1e9)
    table.apply_all(UPSTREAMS, 0.0)
    return table


def _report(*rows, host='10.0.0.9'):
    return fleet.RankSlowdowns(host, 's', rows)


def test_a_slowdown_counts_until_reports_end():
    """A rank must not stay without requests if its agent is lost."""
    table, other, sent = _table(), _table(), 0
    for now in range(10):
        news, _ = table.record_slowdowns(_report(('10.0.0.1', 4.0)), now)
        sent += bool(news)
        other.apply_slows(news, now + 0.1)
        for item in (table, other):
            assert_that(
                item.slow_factors(now + 0.2), matchers.Equals({'u1': 4.0})
            )
    # A renewal of the same slowdown is sent every other second only.
    assert_that(sent, matchers.Equals(5))
    assert_that(table.slow_factors(13.0), matchers.Equals({}))
    assert_that(other.slow_count(13.0), matchers.Equals(0))


def test_a_report_without_rows_ends_it_at_all_entries():
    table, other = _table(), _table()
    for rows in ([('10.0.0.1', 4.0)], []):
        news, _ = table.record_slowdowns(_report(*rows), 1.0)
        other.apply_slows(news, 1.1)
    assert_that(other.slow_factors(1.1), matchers.Equals({}))
    assert_that(other.digest(), matchers.Equals(table.digest()))
    for rows in ([], [('10.0.0.1', 1.0)]):
        news, _ = table.record_slowdowns(_report(*rows), 2.0)
        assert_that(news, matchers.Equals([]))


def test_neither_other_groups_nor_new_starts_are_affected():
    table = _table()
    news, _ = table.record_slowdowns(_report(('10.0.0.1', 4.0)), 1.0)
    table.record_slowdowns(_report(host='b'), 1.1)
    assert_that(table.slow_factors(1.2), matchers.Equals({'u1': 4.0}))
    table.apply(attrs.evolve(UPSTREAMS[1], born_ms=6), 1.1)
    table.apply_slows(news, 1.2)
    assert_that(table.slow_factors(1.2), matchers.Equals({}))


@pytest.mark.parametrize('factor', [0.9, -4.0, math.nan, math.inf])
def test_rows_without_a_meaning_are_ignored(factor):
    table = _table()
    report = _report(('10.0.0.1', factor), ('10.9.9.9', 4.0))
    news, ignored = table.record_slowdowns(report, 1.0)
    assert_that(news, matchers.Equals([]))
    assert_that(ignored, matchers.HasLength(2))
    bad = fleet.SlowRecord('u1', 5, factor, 3.0, 7)
    assert_that(table.apply_slows([bad], 1.0), matchers.Equals(([], [])))
    assert_that(table.slow_factors(1.0), matchers.Equals({}))


@pytest.mark.parametrize('seed', range(10))
def test_entries_agree_in_any_order_of_news(seed):
    rng = random.Random(seed)
    tables, news = [_table(), _table(), _table()], []
    for step in range(1, 20):
        rows = [('10.0.0.1', rng.choice((1.0, 2.0, 4.0)))]
        rng.choice(tables).record_slowdowns(_report(*rows), step / 5)
        news += [item for table in tables for item in table.slows(step / 5)]
    for table in tables:
        table.apply_slows(rng.sample(news, len(news)), 4.0)
    digests = {table.digest() for table in tables}
    assert_that(digests, matchers.HasLength(1))


def test_renewals_reach_all_entries_of_a_large_fleet():
    """One sender for 1,000 entries would exceed the bytes for control."""
    hosts = [f'10.{n // 250}.0.{n % 250}' for n in range(1000)]
    missed = 0
    for wave in range(10):
        reached, queue = set(hosts[:2]), hosts[:2]
        for host in queue:
            targets = fleet.renewal_targets(host, hosts, str(wave), False)
            assert_that(len(targets), matchers.LessThan(9))
            queue += set(targets) - reached
            reached.update(targets)
        missed += len(hosts) - len(reached)
    assert_that(missed, matchers.LessThan(10))


def test_only_renewals_that_are_needed_are_relayed():
    """Relays of outdated or repeated beliefs would never end."""
    table = _table()
    old = fleet.SlowRecord('u1', 5, 4.0, 3.5, 1)
    assert_that(table.apply_slows([old], 1.0), matchers.Equals(([old], [])))
    assert_that(table.apply_slows([old], 2.0), matchers.Equals(([], [])))
    # Adopting it a second ago has made it last until 5.5 s.
    assert_that(table.apply_slows([old], 4.0), matchers.Equals(([], [old])))
    table.apply_slows([attrs.evolve(old, factor=1.0, revision=2)], 4.1)
    assert_that(table.apply_slows([old], 4.2), matchers.Equals(([], [])))
