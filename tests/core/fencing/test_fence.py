"""Tests of the fence of an agent."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fencing
from cassiashift_core.spread import quorum

VOTERS = ('c0', 'c1', 'c2')
CONFIG = fencing.FenceConfig(voters=VOTERS, upstreams=('up',))


def start(seed=1):
    """Return the fence of an agent that has just started."""
    return fencing.Fence.from_config(CONFIG, random.Random(seed))


def deliver_replies(fence, term, highest_tokens, voters):
    """Deliver the replies of some voters to the fence's queries."""
    for effect in fence.handle(fencing.Tick(), 0.0):
        if effect.receiver in voters:
            reply = fencing.build_reply(effect.message, term, highest_tokens)
            fence.handle(fencing.Received(effect.receiver, reply), 0.1)


def error_code(fence, token, upstream='up'):
    """Return the error code of a refused order, or None if accepted."""
    try:
        fence.check(upstream, token)
    except CassiashiftError as exc:
        return exc.code
    return None


@pytest.fixture
def fence():
    fence = start()
    deliver_replies(fence, 3, {'up': fencing.Token(3, 40)}, VOTERS[:2])
    return fence


def test_older_tokens_are_refused_and_equal_ones_pass(fence):
    passing = [fencing.Token(3, 40), fencing.Token(3, 41)]
    for token in [*passing, fencing.Token(4, 2)]:
        assert_that(error_code(fence, token), matchers.Is(None))
    for token in [*passing, fencing.Token(2, 99)]:
        assert_that(error_code(fence, token), matchers.Is(ErrorCode.FENCED))


def isolated_leader_after_restart():
    """Return the error codes for two orders of an isolated leader.

    After the agent's restart the voter on the leader's side replies first.
    The second order comes after the reply of a voter with a newer term.
    """
    fence = start()
    deliver_replies(fence, 3, {}, ('c0',))
    refused = error_code(fence, fencing.Token(3, 40))
    reply = fencing.FenceReply(
        fence._pending_reads['up'].nonce
        if 'up' in fence._pending_reads
        else 0,
        7,
        {},
    )
    fence.handle(fencing.Received('c1', reply), 0.2)
    return refused, error_code(fence, fencing.Token(3, 41))


def test_restarted_agent_refuses_orders_before_a_majority_replies():
    codes = isolated_leader_after_restart()
    wanted = (ErrorCode.NO_QUORUM, ErrorCode.FENCED)
    assert_that(codes, matchers.Equals(wanted))


def test_the_test_detects_an_agent_that_trusts_one_voter(monkeypatch):
    monkeypatch.setattr(
        quorum.QuorumRead, 'is_complete', lambda self, voters: True
    )
    codes = isolated_leader_after_restart()
    assert_that(codes, matchers.Equals((None, None)))


def test_replies_to_an_earlier_start_or_from_non_voters_are_ignored():
    fence = start()
    nonce = fence._pending_reads['up'].nonce
    for sender, number in [('c0', 0), ('c1', 1), ('x', nonce), ('y', nonce)]:
        reply = fencing.FenceReply(number, 9, {})
        fence.handle(fencing.Received(sender, reply), 0.0)
    code = error_code(fence, fencing.Token(9, 9))
    assert_that(code, matchers.Is(ErrorCode.NO_QUORUM))


def test_queries_are_repeated_to_voters_that_have_not_replied():
    fence = start()
    deliver_replies(fence, 1, {}, ('c1',))
    queries = fence.handle(fencing.Tick(), 10.0)
    receivers = [effect.receiver for effect in queries]
    assert_that(receivers, matchers.Equals(['c0', 'c2']))


def test_new_upstream_is_read_before_its_first_order(fence):
    token = fencing.Token(9, 1)
    code = error_code(fence, token, 'new')
    assert_that(code, matchers.Is(ErrorCode.NOT_FOUND))
    fence.handle(fencing.UpstreamAdded('new'), 1.0)
    code = error_code(fence, token, 'new')
    assert_that(code, matchers.Is(ErrorCode.NO_QUORUM))
    deliver_replies(fence, 9, {'new': token}, VOTERS)
    assert_that(error_code(fence, token, 'new'), matchers.Is(None))
