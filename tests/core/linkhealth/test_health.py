"""Tests of links whose connections are slow, fall silent or lose the peer."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import linkhealth
from tests.core.linkhealth import simulated_link

SEEDS = range(200)
# A committed change and a read take another way within this time.
REPLACED_WITHIN_S = 0.5


@pytest.mark.parametrize('sends_every_s', [0.01, 0.1, 0.4, 1.0])
def test_a_silent_connection_is_replaced(sends_every_s):
    for seed in SEEDS:
        link = simulated_link.SimulatedLink(
            seed, sends_every_s, silent_from=5.0 + seed / 100
        )
        link.play(14.0)
        sent_within_s = 1.5 * sends_every_s
        assert_that(link.switched_at, matchers.HasLength(1), str(seed))
        assert_that(
            link.switched_at[0] - link.silent_from,
            matchers.LessThan(REPLACED_WITHIN_S + sent_within_s),
            str(seed),
        )
        assert_that(link.given_up_at, matchers.Is(None))
        assert_that(link.health.state, matchers.Equals(linkhealth.State.SOUND))
        assert_that(link.closed.keys(), matchers.Equals({0}))


def test_a_slow_peer_keeps_its_connection():
    for seed in SEEDS:
        link = simulated_link.SimulatedLink(
            seed,
            round_trip_s=lambda rng: (
                rng.uniform(0.3, 0.9) if rng.random() < 0.1 else 0.002
            ),
        )
        link.play(60.0)
        assert_that(link.given_up_at, matchers.Is(None))
        # Each false alarm doubles the time-out, up to its limit.
        assert_that(len(link.switched_at), matchers.LessThan(4), str(seed))
        answering = link.answered_at.keys() & link.closed.keys()
        assert_that(answering, matchers.Equals(set()), str(seed))


def test_a_peer_that_is_silent_for_a_while_is_not_given_up():
    for seed in SEEDS:
        silent_from = 5.0 + seed / 200
        link = simulated_link.SimulatedLink(
            seed,
            is_reachable=lambda now, at=silent_from: not at <= now < at + 3.0,
        )
        link.play(20.0)
        assert_that(link.given_up_at, matchers.Is(None), str(seed))
        assert_that(
            link.health.state,
            matchers.MatchesAny(
                matchers.Equals(linkhealth.State.SOUND),
                matchers.Equals(linkhealth.State.REPLACED),
            ),
        )


def test_a_lost_peer_is_given_up():
    for seed in SEEDS:
        lost_at = 5.0 + seed / 200
        link = simulated_link.SimulatedLink(
            seed, is_reachable=lambda now, at=lost_at: now < at
        )
        link.play(20.0)
        allowed_s = (
            linkhealth.DEAD_AFTER_S
            + linkhealth.PROBE_INTERVAL_S
            + 2 * link.sends_every_s
        )
        assert_that(
            link.given_up_at - lost_at, matchers.LessThan(allowed_s), str(seed)
        )
        # One connection for each time-out, which doubles.
        assert_that(len(link.opened_at), matchers.LessThan(9))


def test_a_peer_that_knows_no_probes_is_not_judged():
    link = simulated_link.SimulatedLink(1, answers_probes=False)
    link.play(60.0)
    assert_that(link.opened_at, matchers.HasLength(1))
    assert_that(link.given_up_at, matchers.Is(None))
    assert_that(link.probe_count, matchers.LessThan(13))


def test_probes_are_bounded():
    link = simulated_link.SimulatedLink(1, sends_every_s=0.001)
    link.play(20.0)
    allowed = 20.0 / linkhealth.PROBE_INTERVAL_S
    assert_that(link.probe_count, matchers.LessThan(allowed + 2))


def test_a_link_without_messages_is_not_probed():
    health = linkhealth.LinkHealth()
    assert_that(health.next_tick, matchers.Is(None))
    assert_that(health.tick(100.0), matchers.Equals([]))


def test_an_answer_with_another_token_is_ignored():
    health = linkhealth.LinkHealth()
    probe = health.record_sent(0.0)[0]
    health.record_answer(0, probe.token + 1, 0.1)
    health.record_answer(1, probe.token, 0.1)
    assert_that(
        health.round_trips.timeout_s, matchers.Equals(linkhealth.MAX_TIMEOUT_S)
    )
