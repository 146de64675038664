"""Tests of placing where ranks of a group are slow."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import placing
from cassiashift_core import workload
from tests.core.placing import test_decisions

ENGINE = test_decisions.ENGINE
IDS = ['u0', 'u1', 'u2']


def _snapshot(slowdown, **fields):
    return test_decisions._snapshot(slowdowns={'u0': slowdown}, **fields)


def _place_all(snapshot):
    """Send requests until none is accepted; return the chosen ones."""
    sent = []
    while (chosen := placing.decide(snapshot).chosen) is not None:
        snapshot.candidates[IDS.index(chosen.id)][1].record_send(0.0)
        sent.append(chosen.id)
    return sent


# Its own part of a pass takes 10 ms at normal speed with all 5 slots in use.
@pytest.mark.parametrize(
    ('slowdown', 'slots'), [(1.25, 3), (1.43, 1), (1.7, 0), (40.0, 0)]
)
def test_a_slow_rank_runs_what_does_not_delay_the_pass(slowdown, slots):
    sent = _place_all(_snapshot(slowdown, may_use_slow=False))
    assert_that(sent.count('u0'), matchers.Equals(slots))
    assert_that(len(sent), matchers.Equals(10 + slots))
    factors = {'u0': slowdown, 'other': 4.0}
    slow = placing.slow_slots(IDS, 5, ENGINE, factors)
    assert_that(placing.total_slots(3, 5, slow), matchers.Equals(10 + slots))
    # Where all are slow, all are used.
    factors = dict.fromkeys(IDS, 4.0)
    slow = placing.slow_slots(IDS, 5, ENGINE, factors)
    assert_that(slow, matchers.Equals({}))


@pytest.mark.parametrize('homes', [None, []])
def test_a_slow_rank_is_used_if_no_other_can_be_waited_for(homes):
    """A wrong report must not leave requests without an upstream."""
    snapshot = _snapshot(4.0, homes=homes)
    for _, condition in snapshot.candidates[1:]:
        condition.record_refusal(0.9, 1.0)
    assert_that(_place_all(snapshot), matchers.Equals(['u0'] * 5))


@pytest.mark.parametrize('homes', [None, []])
def test_requests_wait_for_full_ranks_beside_a_slow_one(homes):
    """At the slow one they would delay all requests of the group."""
    sent = _place_all(_snapshot(4.0, homes=homes))
    assert_that(len(sent), matchers.Equals(10))
    assert_that('u0' in sent, matchers.Is(False))


def test_slots_of_other_entries_are_no_reason_to_use_a_slow_rank():
    snapshot = _snapshot(4.0, homes=[], may_visit=False)
    decision = placing.decide(snapshot)
    assert_that(decision.chosen, matchers.Is(None))
    reasons = {row.upstream.id: row.exclusion for row in decision.weighed}
    assert_that(reasons['u0'], matchers.Equals(placing.Exclusion.SLOW))
    assert_that(reasons['u1'], matchers.Equals(placing.Exclusion.NOT_HOME))


def test_a_slow_upstream_without_timings_gets_fewer():
    sent = _place_all(_snapshot(4.0, engine=None))
    assert_that(len(sent), matchers.Equals(15))
    assert_that('u0' in sent[:6], matchers.Is(False))


@pytest.mark.parametrize('count', [2, 12, 35])
def test_no_home_slot_is_at_an_excluded_rank(count):
    """Entries keep to their home slots when capacity is short."""
    hosts = [f'10.0.1.{number:03}' for number in range(count)]
    ids = [f'u{number}' for number in range(16)]
    homes = [
        workload.home_slots(host, hosts, ids, 5, {'u3': 0, 'u4': 2})
        for host in hosts
    ]
    totals = [sum(item.get(id_, 0) for item in homes) for id_ in ids]
    assert_that(totals, matchers.Equals([5, 5, 5, 0, 2, *[5] * 11]))


def test_an_explanation_states_the_slowdown_and_its_age():
    snapshot = _snapshot(4.0)
    snapshot.candidates[0][1].slowdown.record_report(4.0, 0.75)
    refusal = placing.Admittance(placing.Outcome.QUEUED)
    explained = placing.explain(placing.decide(snapshot), refusal, {})
    row = next(row for row in explained.rows if row.upstream == 'u0')
    assert_that(
        (row.exclusion, row.slowdown, row.slowdown_age_s),
        matchers.Equals(('slow', 4.0, 0.25)),
    )
