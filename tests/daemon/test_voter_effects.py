"""Tests of voters whose effects fail outside of a sync."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_daemon import voter
from cassiashift_net import links
from tests.daemon import test_voter

SENDER = links.Sender('127.0.0.9', lambda message: True)
APPEND = consensus.AppendEntries(1, 1, 0, 0, 1, (), '')


async def test_a_voter_that_can_not_apply_what_it_received_has_failed():
    """Guards against a voter that goes on without an entry of its log."""
    reasons = []
    own = voter.Voter(
        replica=test_voter.Replica(
            answer=[consensus.Apply((consensus.Entry(1, 1),))]
        ),
        store=None,
        machine=None,
        links=None,
        addresses={},
        on_event=lambda event: None,
        on_failed=reasons.append,
    )
    # Links log what a handler raises and go on.
    with pytest.raises(AttributeError):
        own.received(SENDER, APPEND)
    assert_that(reasons, matchers.HasLength(1))
