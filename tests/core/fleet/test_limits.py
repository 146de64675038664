"""Tests of limits that upstreams name and that entries share."""

import os
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from tests.core.fleet import simulated_limits

SEEDS = int(os.environ.get('SEEDS', '12'))
DAY_S = 40.0
LIMITED_AT = 4.0
LIMITS_PER_S = (0.3, 1.1, 1.4, 3.0, 12.0)


def _fleet(seed, per_s=30.0, **fields):
    simulated = simulated_limits.SimulatedFleet(seed, **fields)
    simulated.at(3.0, simulated.offer, per_s, DAY_S)
    return simulated


def _limit_all(simulated, rng):
    for upstream in simulated.upstreams.values():
        upstream.limits = [(LIMITED_AT, rng.choice(LIMITS_PER_S))]


def _check(simulated):
    simulated.run(DAY_S)
    assert_that(simulated.worst_excess(), matchers.LessThan(1e-6))


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('entries', [3, 11, 30])
def test_entries_together_exceed_the_limit_of_an_upstream(seed, entries):
    rng = random.Random(seed)
    simulated = _fleet(seed, entries=entries)
    _limit_all(simulated, rng)
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_limit_that_changes_is_exceeded(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    for upstream in simulated.upstreams.values():
        upstream.limits = [
            (LIMITED_AT + 5.0 * step, rng.choice((0.0, *LIMITS_PER_S)))
            for step in range(7)
        ]
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_the_limit_is_exceeded_while_entries_come_and_go(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    _limit_all(simulated, rng)
    for at in range(6, 34, 3):
        host = f'e{rng.randrange(11)}'
        action = rng.choice(
            [
                (simulated.kill, host, rng.uniform(0.2, 6.0)),
                (simulated.stop, host, 2.0, rng.uniform(0.2, 2.0)),
                (simulated.freeze, host, rng.uniform(0.5, 6.0)),
                (simulated.add_entry, f'n{at}', False),
            ]
        )
        simulated.at(at + rng.random(), *action)
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('is_one_way', [False, True])
def test_the_limit_is_exceeded_by_entries_cut_from_others(seed, is_one_way):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    _limit_all(simulated, rng)
    for at in (7, 17, 27):
        hosts = {f'e{rng.randrange(11)}' for _ in range(rng.randint(1, 5))}
        simulated.at(
            at, simulated.cut, hosts, rng.uniform(1.0, 9.0), is_one_way
        )
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_two_halves_that_are_cut_apart_take_the_limit_twice(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    _limit_all(simulated, rng)
    hosts = [f'e{number}' for number in rng.sample(range(11), 5)]
    simulated.at(8.0, simulated.cut, hosts, 25.0, False, False)
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_most_of_a_limit_is_used_if_enough_is_asked(seed):
    simulated = _fleet(seed, per_s=6.0)
    for upstream in simulated.upstreams.values():
        upstream.limits = [(LIMITED_AT, 1.4)]
    _check(simulated)
    since = LIMITED_AT + 4.0
    served = sum(at >= since for at in simulated.served) / (DAY_S - since)
    assert_that(served, matchers.GreaterThan(0.8 * 3 * 1.4))
    refused = sum(at >= since for at in simulated.refused)
    assert_that(refused, matchers.GreaterThan(0))


def test_an_entry_that_was_just_started_ignores_the_limit():
    simulated = _fleet(1)
    for upstream in simulated.upstreams.values():
        upstream.limits = [(LIMITED_AT, 1.1)]
    simulated.run(10.0)
    simulated.add_entry('new')
    simulated.run(10.0 + simulated_limits.DISK_HELLO_S + 0.05)
    table = simulated.entries['new'].table
    assert_that(table.limited_count(), matchers.Equals(3))


@pytest.mark.parametrize('text', ['', 'x', '-1', 'nan', 'inf'])
def test_a_meaningless_limit_is_refused(text):
    assert_that(lambda: fleet.parse_limit(text), matchers.raises(ValueError))


def test_a_limit_of_zero_still_lets_its_end_be_seen():
    assert_that(fleet.parse_limit('0'), matchers.GreaterThan(0))


@pytest.mark.parametrize('seed', range(20))
def test_entries_disagree_on_a_limit_in_some_order_of_news(seed):
    rng = random.Random(seed)
    upstream = fleet.Upstream('u', 's', '10.0.0.1:1', 'east', born_ms=1)
    tables = [fleet.UpstreamTable(1e9, 1e9) for _ in range(3)]
    news = []
    for table in tables:
        table.apply(upstream, 0.0)
    for step in range(30):
        per_s = rng.choice((0.0, 1.1, 2.0))
        changed = rng.choice(tables).record_limit(
            upstream, per_s, step, step + 0.5
        )
        news += [changed] if changed else []
        tables[0].apply_limits(rng.sample(news, len(news)), step + 0.6)
    for table in tables:
        table.apply_limits(rng.sample(news, len(news)), 40.0)
    digests = {table.digest() for table in tables}
    assert_that(digests, matchers.HasLength(1))


def test_a_late_answer_without_a_limit_ends_it():
    upstream = fleet.Upstream('u', 's', '10.0.0.1:1', 'east', born_ms=1)
    table = fleet.UpstreamTable(1e9, 1e9)
    table.apply(upstream, 0.0)
    table.record_limit(upstream, 1.1, 1.0, 2.0)
    table.record_limit(upstream, 0.0, 1.5, 2.5)
    assert_that(table.limited_count(), matchers.Equals(1))
    table.record_limit(upstream, 0.0, 2.1, 2.6)
    assert_that(table.limited_count(), matchers.Equals(0))


def test_a_new_start_of_an_upstream_has_no_limit():
    upstream = fleet.Upstream('u', 's', '10.0.0.1:1', 'east', born_ms=1)
    table = fleet.UpstreamTable(1e9, 1e9)
    table.apply(upstream, 0.0)
    table.record_limit(upstream, 1.1, 1.0, 2.0)
    table.apply(fleet.Upstream('u', 's', '10.0.0.1:1', 'east', born_ms=2), 3.0)
    assert_that(table.limited_count(), matchers.Equals(0))


@pytest.mark.parametrize('seed', range(3))
def test_a_limit_that_each_entry_keeps_alone_is_not_noticed(monkeypatch, seed):
    def choose_self(upstream, born_ms, own, live):
        return own.host

    monkeypatch.setattr(fleet, 'choose_issuer', choose_self)
    simulated = _fleet(seed)
    for upstream in simulated.upstreams.values():
        upstream.limits = [(LIMITED_AT, 1.1)]
    simulated.run(DAY_S)
    assert_that(simulated.worst_excess(), matchers.GreaterThan(0))
