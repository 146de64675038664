"""Tests of stable hashes and rendezvous ranking."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import hashing


def test_stable_hash_depends_on_the_boundaries_of_its_parts():
    assert_that(
        hashing.stable_hash('ab', 'c'),
        matchers.Not(matchers.Equals(hashing.stable_hash('a', 'bc'))),
    )


def test_removing_a_candidate_keeps_the_order_of_the_others():
    names = [f'host-{index}' for index in range(20)]
    ranked = hashing.rendezvous_order('agent', names)
    removed = ranked.pop(3)
    names.remove(removed)
    assert_that(
        hashing.rendezvous_order('agent', names), matchers.Equals(ranked)
    )
