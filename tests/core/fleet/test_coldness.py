"""Tests of the bound on arrivals at cold upstreams over all entries.

Each test names the fault by which more than the bound could arrive.
"""

import os
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from tests.core.fleet import simulated_cold

SEEDS = int(os.environ.get('SEEDS', '6'))
DAY_S = 30.0
seeded = pytest.mark.parametrize('seed', range(SEEDS))


def _fleet(seed):
    simulated = simulated_cold.ColdFleet(seed)
    simulated.at(3.0, simulated.offer, 200.0, DAY_S)
    return simulated, random.Random(seed)


def _restart_all(simulated, rng, *times):
    """Restart all upstreams within a second, so that no warm ones remain."""
    for at in times:
        for id_ in simulated.upstreams:
            since = at + 0.9 * rng.random()
            simulated.at(since, simulated.restart, id_, 0.05)


def _check(simulated):
    simulated.run(DAY_S)
    most = matchers.LessThan(simulated_cold.ALLOWED_ARRIVALS)
    assert_that(simulated.most_cold_arrivals(), most)


@seeded
@pytest.mark.parametrize('returning', [1, 2, 6])
def test_upstreams_that_return_get_too_many_requests(seed, returning):
    simulated, rng = _fleet(seed)
    for id_ in list(simulated.upstreams)[:returning]:
        for at in (10.0, 20.0):
            simulated.at(at, simulated.restart, id_, rng.uniform(0.05, 6.0))
    _check(simulated)


@seeded
@pytest.mark.parametrize('states_coldness', [False, True])
def test_lost_messages_hide_that_upstreams_are_cold(seed, states_coldness):
    simulated, rng = _fleet(seed)
    simulated.loss = 0.2 if states_coldness else 0.0
    for upstream in simulated.upstreams.values():
        upstream.states_coldness = states_coldness
    _restart_all(simulated, rng, 8.0, 15.0, 22.0)
    _check(simulated)


@seeded
def test_an_upstream_that_turns_cold_again_gets_too_many_requests(seed):
    simulated, rng = _fleet(seed)
    for at in range(8, 26, 6):
        for id_ in simulated.upstreams:
            simulated.at(at + rng.random(), simulated.turn_cold, id_, 4.0)
    _check(simulated)


@seeded
@pytest.mark.parametrize('is_one_way', [False, True])
@pytest.mark.parametrize('cut_off', [1, 12, 17])
def test_entries_that_hear_no_others_exceed_the_bound(
    seed, is_one_way, cut_off
):
    simulated, rng = _fleet(seed)
    hosts = [f'e{number}' for number in rng.sample(range(35), cut_off)]
    simulated.at(8.0, simulated.cut, hosts, 14.0, is_one_way)
    _restart_all(simulated, rng, 8.5, 14.0, 21.6)
    _check(simulated)


@seeded
def test_entries_that_are_each_alone_exceed_the_bound(seed):
    simulated, rng = _fleet(seed)
    for number in range(35):
        simulated.at(8.0, simulated.cut, [f'e{number}'], 15.0)
    _restart_all(simulated, rng, 10.0, 15.0, 22.6)
    _check(simulated)


@seeded
def test_the_bound_is_exceeded_while_entries_come_and_go(seed):
    simulated, rng = _fleet(seed)
    for at in range(6, 26):
        host = f'e{rng.randrange(35)}'
        actions = [
            (simulated.kill, host, rng.uniform(0.2, 4.0)),
            (simulated.stop, host, 2.0, rng.uniform(0.2, 2.0)),
            (simulated.freeze, host, rng.uniform(0.5, 4.0)),
            (simulated.add_entry, f'n{at}', False),
        ]
        simulated.at(at + rng.random(), *rng.choice(actions))
    _restart_all(simulated, rng, 9.0, 14.0, 19.0)
    _check(simulated)


@seeded
def test_a_start_that_looks_older_hides_that_it_is_cold(seed):
    simulated, rng = _fleet(seed)
    for id_ in simulated.upstreams:
        at = 9.0 + 5.0 * rng.random()
        simulated.at(at, simulated.restart, id_, rng.random(), -3_600_000)
    _check(simulated)


@seeded
def test_a_data_centre_that_returns_attracts_all_requests(seed):
    simulated, _ = _fleet(seed)
    for id_ in ('u0', 'u3'):
        simulated.at(10.0, simulated.restart, id_, 2.0)
    simulated.at(12.0, simulated.end_evacuation, 'east')
    simulated.run(DAY_S)
    shares = [
        simulated.share_of('east', since, since + 2.0)
        for since in (12.0, 15.0, 21.0)
    ]
    # Two of six upstreams: an even share is a third.
    assert_that(shares, matchers.Equals(sorted(shares)))
    assert_that(shares[-1], matchers.LessThan(0.4))


@pytest.mark.parametrize('seed', range(3))
def test_entries_that_issue_their_own_permits_are_not_noticed(
    monkeypatch, seed
):
    share = fleet.ColdShare(1.0)
    monkeypatch.setattr(fleet, 'choose_issuer', lambda *args: args[2].host)
    monkeypatch.setattr(fleet.Issuer, 'cold_share', lambda *args: share)
    simulated, rng = _fleet(seed)
    _restart_all(simulated, rng, 10.0)
    simulated.run(DAY_S)
    most = matchers.GreaterThan(simulated_cold.ALLOWED_ARRIVALS)
    assert_that(simulated.most_cold_arrivals(), most)
