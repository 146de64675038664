"""Tests of the leader's view of a follower's log."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.consensus import progress


def acknowledged_peer(index, current_round):
    peer = progress.Progress('b', next=1)
    peer.on_acknowledged(index, current_round)
    return peer


def test_late_reject_does_not_lower_the_match():
    peer = acknowledged_peer(5, current_round=3)
    peer.on_rejected(5, 1, round_number=3)
    assert_that(peer.has_lost_entries, matchers.Is(False))
    assert_that(peer.match, matchers.Equals(5))


def test_follower_that_lost_entries_is_not_counted():
    peer = acknowledged_peer(5, current_round=3)
    peer.on_rejected(5, 1, round_number=4)
    assert_that(peer.match, matchers.Equals(0))
    assert_that(peer.may_send(2), matchers.Is(False))


def test_probe_after_a_reject_starts_after_the_match():
    peer = acknowledged_peer(5, current_round=3)
    peer.on_sent(9)
    peer.on_rejected(9, 2, round_number=4)
    assert_that(peer.next, matchers.Equals(6))
    assert_that(peer.probing, matchers.Is(True))


def test_full_window_blocks_until_an_acknowledgement():
    peer = acknowledged_peer(5, current_round=3)
    peer.on_sent(6)
    peer.on_sent(7)
    assert_that(peer.may_send(2), matchers.Is(False))
    peer.on_acknowledged(6, 3)
    assert_that(peer.may_send(2), matchers.Is(True))
