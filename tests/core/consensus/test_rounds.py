"""Tests of the evidence for the quorum and for the lease."""

import random

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core.consensus import rounds


def voters(hosts):
    return consensus.VoterSet(tuple(consensus.Voter(h, h) for h in hosts))


def started(count):
    found = rounds.Rounds('a', 0.0)
    for number in range(1, count + 1):
        found.start(number / 10)
    return found


def test_lease_counts_from_the_start_of_the_answered_round():
    found = started(5)
    found.record_answer('b', 4)
    until = found.lease_until(voters('abc'), 1.0, 0.5)
    assert_that(until, matchers.Equals(1.4))


def test_no_evidence_is_no_lease():
    found = started(5)
    assert_that(found.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None))
    found.record_answer('b', 5)
    found.reset(0.5)
    found.record_answer('b', 5)
    assert_that(found.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None))
    assert_that(
        found.last_quorum_time(voters('abc'), 0.5), matchers.Equals(0.5)
    )


def test_a_larger_voter_set_finds_its_older_round():
    found = started(9)
    found.record_answer('b', 9)
    found.record_answer('d', 8)
    assert_that(
        found.last_quorum_time(voters('abc'), 1.0), matchers.Equals(0.9)
    )
    assert_that(
        found.last_quorum_time(voters('abcd'), 1.0), matchers.Equals(0.8)
    )


def test_forgotten_rounds_are_no_recent_evidence():
    found = started(rounds.KEPT_ROUNDS + 10)
    found.record_answer('b', 5)
    assert_that(
        found.last_quorum_time(voters('abc'), 99.0), matchers.Equals(0.0)
    )


def test_answer_to_a_round_of_an_older_term_is_no_evidence():
    found = started(2)
    found.record_answer('b', 50)
    assert_that(found.lease_until(voters('abc'), 1.0, 0.5), matchers.Is(None))


def test_refusal_of_an_older_term_echoes_no_round():
    saved = consensus.SavedState(consensus.HardState(5), incarnation='i')
    cfg = consensus.ReplicaConfig(host='a', voters=tuple('abc'))
    replica = consensus.Replica.from_config(cfg, saved, random.Random(1))
    append = consensus.AppendEntries(4, 50, 0, 0, 0)
    effects = replica.handle(consensus.Received('b', append), 1.0)
    refusal = consensus.AppendReply(5, 0, False, 0, 'i')
    assert_that(effects, matchers.Contains(consensus.Send('b', refusal)))


def test_single_voter_needs_no_evidence():
    assert_that(
        started(0).lease_until(voters('a'), 1.0, 7.0), matchers.Equals(8.0)
    )
