"""Tests of the stable hashes."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import hashing


def test_stable_hash_takes_text_and_keeps_its_parts_apart():
    assert_that(
        hashing.stable_hash('ab', 'c'),
        matchers.Not(matchers.Equals(hashing.stable_hash('a', 'bc'))),
    )


def test_removal_of_a_candidate_moves_no_other():
    names = [f'host-{index}' for index in range(20)]
    ranked = hashing.rendezvous('agent', names)
    removed = ranked.pop(3)
    names.remove(removed)
    assert_that(hashing.rendezvous('agent', names), matchers.Equals(ranked))
