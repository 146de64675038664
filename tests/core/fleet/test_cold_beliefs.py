"""Tests of what begins and ends the coldness of an upstream."""

import random

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet

UPSTREAM = fleet.Upstream('u', 's', '10.0.0.1:1', 'east', born_ms=5, cold_s=0)
SILENT_S = 4.0


def _table(**terms):
    values = {'per_s': 15.0, 'start_s': 3.0} | terms
    table = fleet.UpstreamTable(SILENT_S, 1e9)
    table.set_cold_terms({'s': fleet.ColdTerms(**values)})
    table.apply(UPSTREAM, 0.0)
    return table


def _later(sequence, **fields):
    return attrs.evolve(UPSTREAM, sequence=sequence, **fields)


def test_an_evacuation_that_ends_leaves_upstreams_warm():
    table = _table()
    table.presume_cold('west', 10.0)
    assert_that(table.cold_count(10.0), matchers.Equals(0))
    table.presume_cold('east', 10.0)
    table.apply_colds([fleet.ColdRecord('u', 5, 0.0, 7)], 11.0)
    table.record_cold_answer(UPSTREAM, 0.0, 9.0, 11.0)
    assert_that(table.condition(UPSTREAM).accepts(12.0), matchers.Is(False))
    table.apply(_later(1), 13.0)
    assert_that(table.condition(UPSTREAM).accepts(13.0), matchers.Is(True))


@pytest.mark.parametrize('cold_s', [0.0, 2.0, None])
def test_an_upstream_that_was_silent_is_warm_at_once(cold_s):
    table = _table()
    table.forget_silent(SILENT_S + 0.1)
    assert_that(table.cold_count(100.0), matchers.Equals(1))
    table.apply(_later(1, cold_s=cold_s), 100.0)
    ends_at = 100.0 + (3.0 if cold_s is None else cold_s)
    assert_that(table.cold_count(ends_at + 0.1), matchers.Equals(0))
    if ends_at > 100.0:
        assert_that(table.cold_count(ends_at - 0.1), matchers.Equals(1))


def test_an_upstream_that_can_not_be_reached_is_warm_when_it_is_back():
    table = _table()
    table.condition(UPSTREAM).record_failure(1.0, is_down=True)
    assert_that(table.cold_count(3.0), matchers.Equals(1))


def test_a_service_that_states_no_rate_needs_permits():
    table = _table(per_s=0.0)
    table.set_told_until(0.0)
    table.presume_cold('east', 1.0)
    assert_that(table.apply(_later(1, cold_s=2.0), 1.0), matchers.Is(None))
    condition = table.condition(UPSTREAM)
    assert_that(condition.accepts(1.0), matchers.Is(True))
    assert_that(condition.cold_cost(1.0), matchers.Equals(0.0))


def test_the_higher_of_two_rates_counts():
    table = _table()
    table.record_limit(UPSTREAM, 2.0, 0.5, 1.0)
    table.presume_cold('east', 1.0)
    assert_that(
        table.condition(UPSTREAM).rate_per_s(1.0), matchers.Equals(2.0)
    )


@pytest.mark.parametrize(
    'value', [-1, '-1', float('nan'), 'inf', 'soon', True, None, 10**400, []]
)
def test_a_meaningless_value_indicates_coldness(value):
    assert_that(lambda: fleet.parse_cold_s(value), matchers.raises(ValueError))


def test_messages_of_entries_without_coldness_are_not_decoded():
    news = msgspec.convert({'upstreams': ()}, fleet.UpstreamNews)
    assert_that(news.colds, matchers.Equals(()))
    dump = msgspec.convert({'hosts': (), 'upstreams': ()}, fleet.TableDump)
    assert_that(dump.colds, matchers.Equals(()))


@pytest.mark.parametrize('seed', range(20))
def test_entries_disagree_on_coldness_in_some_order_of_news(seed):
    rng = random.Random(seed)
    tables = [_table() for _ in range(3)]
    news = []
    for step in range(1, 31):
        table, cold_s = rng.choice(tables), rng.choice((0.0, 2.0, 9.0))
        if rng.random() < 0.5:
            table.apply(_later(step, cold_s=cold_s), step)
        else:
            table.record_cold_answer(UPSTREAM, cold_s, step - 0.5, step)
        news += table.colds(step)
    for table in tables:
        table.apply_colds(rng.sample(news, len(news)), 31.0)
    digests = {table.digest() for table in tables}
    assert_that(digests, matchers.HasLength(1))


@pytest.mark.parametrize('cut', range(0, 64, 3))
def test_issuers_that_are_cut_apart_issue_more_than_the_rate(cut):
    records = [
        fleet.EntryRecord(f'e{n}', '', 'east', 'r', 1, has_disk=n < 6)
        for n in range(35)
    ]
    sides = [cut >> n & 1 if n < 6 else n for n in range(35)]
    parts = {}
    for n, own in enumerate(records):
        issuer = fleet.Issuer(0.0)
        issuer.count_entries(own, records[:n] + records[n + 1 :])
        # Long after the cut, the entries of other sides are forgotten.
        known = [
            item
            for item, side in zip(records, sides, strict=True)
            if side == sides[n] and item is not own
        ]
        parts[sides[n]] = issuer.cold_share(own, known, known).part
    assert_that(sum(parts.values()), matchers.LessThan(1.2 + 1e-9))


@pytest.mark.parametrize('is_cold', [False, True])
def test_a_permit_without_a_rate_fails(is_cold):
    """Guards the request for which the permit was wanted.

    Coldness may end between the choice of an upstream and the request for a
    permit, which then names no rate.
    """
    own = fleet.EntryRecord('e0', '', 'east', 'r', 1, has_disk=True)
    issuer = fleet.Issuer(0.0)
    issuer.count_entries(own, [])
    request = fleet.PermitRequest('e0', 'u1', 1, 0.0, 1, 1.0, is_cold)
    rate = fleet.rate_to_issue(0.0, 0.0, is_cold, request)
    cold = issuer.cold_share(own, [], []) if is_cold else None
    answer = issuer.issue(request, rate, 1.0, 10.0, cold)
    assert_that(answer.is_granted, matchers.Is(False))
    # A warm upstream needs no permit, so nothing has to be waited for.
    assert_that(answer.after_s > 0, matchers.Is(is_cold))
