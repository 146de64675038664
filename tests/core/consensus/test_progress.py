"""Tests of what the leader knows about a follower."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.consensus import progress


def acknowledged(index, current_round):
    found = progress.Progress('b', next=1)
    found.on_acknowledged(index, current_round)
    return found


def test_late_refusal_takes_nothing_back():
    found = acknowledged(5, current_round=3)
    found.on_rejected(5, 1, round_number=3)
    assert_that(found.has_lost_entries, matchers.Is(False))
    assert_that(found.match, matchers.Equals(5))


def test_voter_that_went_back_counts_no_more():
    found = acknowledged(5, current_round=3)
    found.on_rejected(5, 1, round_number=4)
    assert_that(found.match, matchers.Equals(0))
    assert_that(found.may_send(2), matchers.Is(False))


def test_refusal_behind_the_match_starts_a_probe_there():
    found = acknowledged(5, current_round=3)
    found.on_sent(9)
    found.on_rejected(9, 2, round_number=4)
    assert_that(found.next, matchers.Equals(6))
    assert_that(found.probing, matchers.Is(True))


def test_window_closes_and_opens():
    found = acknowledged(5, current_round=3)
    found.on_sent(6)
    found.on_sent(7)
    assert_that(found.may_send(2), matchers.Is(False))
    found.on_acknowledged(6, 3)
    assert_that(found.may_send(2), matchers.Is(True))
