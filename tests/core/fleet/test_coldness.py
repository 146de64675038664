"""Tests of the bound on arrivals at cold upstreams over all entries."""

import os
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from tests.core.fleet import simulated_cold

SEEDS = int(os.environ.get('SEEDS', '6'))
DAY_S = 30.0
ANY_FAULT = 10.0


def _fleet(seed, per_s=200.0, **fields):
    simulated = simulated_cold.ColdFleet(seed, **fields)
    simulated.at(3.0, simulated.offer, per_s, DAY_S)
    return simulated


def _check(simulated):
    simulated.run(DAY_S)
    assert_that(
        simulated.most_cold_arrivals(),
        matchers.LessThan(simulated_cold.ALLOWED_ARRIVALS),
    )


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('returning', [1, 2, 6])
def test_upstreams_that_return_get_too_many_requests(seed, returning):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    for id_ in list(simulated.upstreams)[:returning]:
        for at in (ANY_FAULT, 20.0):
            simulated.at(at, simulated.restart, id_, rng.uniform(0.05, 6.0))
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_lost_messages_hide_that_an_upstream_is_cold(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    simulated.loss = 0.2
    for at in range(8, 26, 3):
        id_ = f'u{rng.randrange(6)}'
        simulated.at(at, simulated.restart, id_, rng.uniform(0.05, 2.0))
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_an_upstream_that_turns_cold_again_gets_too_many_requests(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed, per_s=100.0)
    for at in range(8, 28, 4):
        id_ = f'u{rng.randrange(6)}'
        simulated.at(at + rng.random(), simulated.turn_cold, id_, 3.0)
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('is_one_way', [False, True])
@pytest.mark.parametrize('cut_off', [1, 12, 17])
def test_entries_that_hear_no_others_exceed_the_bound(
    seed, is_one_way, cut_off
):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    hosts = [f'e{number}' for number in rng.sample(range(35), cut_off)]
    simulated.at(8.0, simulated.cut, hosts, 14.0, is_one_way)
    for number, at in enumerate((8.5, 11.0, 14.0, 17.0, 22.2)):
        id_ = f'u{number}'
        simulated.at(at, simulated.restart, id_, rng.uniform(0.05, 2.0))
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_entries_that_are_each_alone_exceed_the_bound(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    for number in range(35):
        simulated.at(8.0, simulated.cut, [f'e{number}'], 15.0)
    for number, at in enumerate((11.0, 13.0, 17.0)):
        id_ = f'u{number}'
        simulated.at(at, simulated.restart, id_, rng.uniform(0.05, 2.0))
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_the_bound_is_exceeded_while_entries_come_and_go(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    for at in range(6, 26, 2):
        host = f'e{rng.randrange(35)}'
        action = rng.choice(
            [
                (simulated.kill, host, rng.uniform(0.2, 4.0)),
                (simulated.stop, host, 2.0, rng.uniform(0.2, 2.0)),
                (simulated.freeze, host, rng.uniform(0.5, 4.0)),
                (simulated.add_entry, f'n{at}', False),
            ]
        )
        simulated.at(at + rng.random(), *action)
        id_ = f'u{rng.randrange(6)}'
        simulated.at(at + 1.0, simulated.restart, id_, rng.uniform(0.05, 2.0))
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_start_that_looks_older_hides_that_it_is_cold(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed, per_s=100.0)
    for number, at in enumerate((9.0, 15.0, 21.0)):
        simulated.at(
            at, simulated.restart, f'u{number}', rng.random(), -3_600_000
        )
    _check(simulated)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_an_upstream_without_announcements_is_not_cold_after_its_start(seed):
    rng = random.Random(seed)
    simulated = _fleet(seed)
    for id_, upstream in simulated.upstreams.items():
        upstream.states_coldness = False
        simulated.at(
            ANY_FAULT + rng.random(), simulated.restart, id_, rng.random()
        )
    _check(simulated)


@pytest.mark.parametrize('seed', range(3))
def test_entries_that_issue_their_own_permits_are_not_noticed(
    monkeypatch, seed
):
    def choose_self(upstream, born_ms, own, live):
        return own.host

    def whole_share(self, own, live, known):
        return fleet.ColdShare(1.0)

    monkeypatch.setattr(fleet, 'choose_issuer', choose_self)
    monkeypatch.setattr(fleet.Issuer, 'cold_share', whole_share)
    simulated = _fleet(seed)
    for id_ in simulated.upstreams:
        simulated.at(ANY_FAULT, simulated.restart, id_, 0.5)
    simulated.run(DAY_S)
    assert_that(
        simulated.most_cold_arrivals(),
        matchers.GreaterThan(simulated_cold.ALLOWED_ARRIVALS),
    )
