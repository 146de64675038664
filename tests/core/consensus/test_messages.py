"""Tests that every message is registered and survives the codec."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus

VOTERS = consensus.VoterSet(
    (consensus.Voter('a', 'i'),), (consensus.Voter('b'),)
)
ENTRIES = (
    consensus.Entry(1, 1, data=b'\x00\xff'),
    consensus.Entry(2, 1, consensus.EntryKind.VOTERS, voters=VOTERS),
)
MESSAGES = (
    consensus.VoteRequest(3, 2, 1, 'i', pre_vote=True),
    consensus.VoteReply(3, 3, True, 'i'),
    consensus.AppendEntries(3, 7, 0, 0, 1, ENTRIES, 'i'),
    consensus.AppendReply(3, 7, False, 9, 'i', 4, 2),
    consensus.SnapshotChunk(3, 7, 9, 2, VOTERS, 0, 4, b'\x80abc', 'i'),
    consensus.SnapshotReply(3, 7, 9, 4, 'i'),
    consensus.TimeoutNow(3),
    consensus.IdentityRefused(3, 'i'),
    consensus.RestartProbe(3, 's'),
    consensus.RestartReport(3, 's', 2, 9),
)


def test_every_message_type_is_known_by_name():
    names = {type(message).__name__ for message in MESSAGES}
    assert_that(set(consensus.MESSAGE_TYPES), matchers.Equals(names))


@pytest.mark.parametrize('message', MESSAGES, ids=lambda m: type(m).__name__)
def test_message_survives_the_codec(message):
    message_type = consensus.MESSAGE_TYPES[type(message).__name__]
    raw = msgspec.msgpack.encode(message)
    decoded = msgspec.msgpack.decode(raw, type=message_type)
    assert_that(decoded, matchers.Equals(message))
