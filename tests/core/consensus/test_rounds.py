"""Tests of heartbeat rounds, from which quorum and lease follow."""

import random

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core.consensus import rounds


def voters(hosts):
    return consensus.VoterSet(tuple(consensus.Voter(h, h) for h in hosts))


def rounds_started(count):
    leader_rounds = rounds.Rounds('a', 0.0)
    for number in range(1, count + 1):
        leader_rounds.start(number / 10)
    return leader_rounds


def test_lease_counts_from_the_start_of_the_answered_round():
    leader_rounds = rounds_started(5)
    leader_rounds.record_answer('b', 4)
    until = leader_rounds.lease_until(voters('abc'), 1.0, 0.5)
    assert_that(until, matchers.Equals(1.4))


def test_no_lease_without_replies_since_the_reset():
    leader_rounds = rounds_started(5)
    assert_that(
        leader_rounds.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None)
    )
    leader_rounds.record_answer('b', 5)
    leader_rounds.reset(0.5)
    leader_rounds.record_answer('b', 5)
    assert_that(
        leader_rounds.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None)
    )
    assert_that(
        leader_rounds.last_quorum_time(voters('abc'), 0.5),
        matchers.Equals(0.5),
    )


def test_last_quorum_time_follows_the_voter_set():
    leader_rounds = rounds_started(9)
    leader_rounds.record_answer('b', 9)
    leader_rounds.record_answer('d', 8)
    assert_that(
        leader_rounds.last_quorum_time(voters('abc'), 1.0),
        matchers.Equals(0.9),
    )
    assert_that(
        leader_rounds.last_quorum_time(voters('abcd'), 1.0),
        matchers.Equals(0.8),
    )


def test_quorum_time_of_a_dropped_round_is_the_last_reset():
    leader_rounds = rounds_started(rounds.KEPT_ROUNDS + 10)
    leader_rounds.record_answer('b', 5)
    assert_that(
        leader_rounds.last_quorum_time(voters('abc'), 99.0),
        matchers.Equals(0.0),
    )


def test_answer_to_a_round_of_an_older_term_is_ignored():
    leader_rounds = rounds_started(2)
    leader_rounds.record_answer('b', 50)
    assert_that(
        leader_rounds.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None)
    )


def test_reply_to_an_older_term_carries_round_zero():
    saved = consensus.SavedState(consensus.HardState(5), incarnation='i')
    cfg = consensus.ReplicaConfig(host='a', voters=tuple('abc'))
    replica = consensus.Replica.from_config(cfg, saved, random.Random(1))
    append = consensus.AppendEntries(4, 50, 0, 0, 0)
    effects = replica.handle(consensus.Received('b', append), 1.0)
    refusal = consensus.AppendReply(5, 0, False, 0, 'i')
    assert_that(effects, matchers.Contains(consensus.Send('b', refusal)))


def test_single_voter_has_a_lease_without_replies():
    assert_that(
        rounds_started(0).lease_until(voters('a'), 1.0, 7.0),
        matchers.Equals(8.0),
    )
