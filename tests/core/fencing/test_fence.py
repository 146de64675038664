"""Tests of the fence on agents."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fencing
from cassiashift_core.spread import quorum

VOTERS = ('c0', 'c1', 'c2')
CFG = fencing.FenceConfig(voters=VOTERS, upstreams=('up',))


def start(seed=1):
    """Return the fence of an agent that has just started."""
    return fencing.Fence.from_config(CFG, random.Random(seed))


def replies(fence, term, held, voters):
    """Let some voters answer the fence's questions."""
    for effect in fence.handle(fencing.Tick(), 0.0):
        if effect.receiver in voters:
            reply = fencing.answer(effect.message, term, held)
            fence.handle(fencing.Received(effect.receiver, reply), 0.1)


def code_of(fence, token, upstream='up'):
    """Return the code of the refusal, or None if the order passes."""
    try:
        fence.check(upstream, token)
    except CassiashiftError as exc:
        return exc.code
    return None


@pytest.fixture
def fence():
    fence = start()
    replies(fence, 3, {'up': fencing.Token(3, 40)}, VOTERS[:2])
    return fence


def test_older_tokens_are_refused_and_equal_ones_pass(fence):
    passing = [fencing.Token(3, 40), fencing.Token(3, 41)]
    for token in [*passing, fencing.Token(4, 2)]:
        assert_that(code_of(fence, token), matchers.Is(None))
    for token in [*passing, fencing.Token(2, 99)]:
        assert_that(code_of(fence, token), matchers.Is(ErrorCode.FENCED))


def isolated_leader_after_restart():
    """Return the code that an isolated leader's order gets.

    The voter that sides with it answers first after the agent's restart.
    """
    fence = start()
    replies(fence, 3, {}, ('c0',))
    refused = code_of(fence, fencing.Token(3, 40))
    reply = fencing.FenceReply(
        fence._reads['up'].nonce if 'up' in fence._reads else 0, 7, {}
    )
    fence.handle(fencing.Received('c1', reply), 0.2)
    return refused, code_of(fence, fencing.Token(3, 41))


def test_restarted_agent_passes_nothing_before_a_majority_answers():
    codes = isolated_leader_after_restart()
    wanted = (ErrorCode.NO_QUORUM, ErrorCode.FENCED)
    assert_that(codes, matchers.Equals(wanted))


def test_check_catches_an_agent_that_trusts_one_voter(monkeypatch):
    monkeypatch.setattr(
        quorum.QuorumRead, 'is_complete', lambda self, voters: True
    )
    codes = isolated_leader_after_restart()
    assert_that(codes, matchers.Equals((None, None)))


def test_answers_to_an_earlier_start_or_of_strangers_do_not_count():
    fence = start()
    nonce = fence._reads['up'].nonce
    for sender, number in [('c0', 0), ('c1', 1), ('x', nonce), ('y', nonce)]:
        reply = fencing.FenceReply(number, 9, {})
        fence.handle(fencing.Received(sender, reply), 0.0)
    code = code_of(fence, fencing.Token(9, 9))
    assert_that(code, matchers.Is(ErrorCode.NO_QUORUM))


def test_questions_are_repeated_to_voters_that_have_not_answered():
    fence = start()
    replies(fence, 1, {}, ('c1',))
    again = fence.handle(fencing.Tick(), 10.0)
    receivers = [effect.receiver for effect in again]
    assert_that(receivers, matchers.Equals(['c0', 'c2']))


def test_new_upstream_is_read_before_its_first_order(fence):
    token = fencing.Token(9, 1)
    code = code_of(fence, token, 'new')
    assert_that(code, matchers.Is(ErrorCode.NOT_FOUND))
    fence.handle(fencing.UpstreamAdded('new'), 1.0)
    code = code_of(fence, token, 'new')
    assert_that(code, matchers.Is(ErrorCode.NO_QUORUM))
    replies(fence, 9, {'new': token}, VOTERS)
    assert_that(code_of(fence, token, 'new'), matchers.Is(None))
