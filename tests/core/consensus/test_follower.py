"""Tests of the follower's side of replication."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import consensus

VOTERS = consensus.VoterSet((consensus.Voter('a', 'i'),))


def follower(*entries, commit=0):
    saved = consensus.SavedState(
        consensus.HardState(1, '', commit), entries, incarnation='i'
    )
    cfg = consensus.ReplicaConfig('a', tuple('abc'))
    return consensus.Replica.from_config(cfg, saved, random.Random(1))


def receive(replica, sender, message):
    """Handle a message and make all changes durable; return the effects."""
    event = consensus.Received(sender, message)
    effects = replica.handle(event, 1.0)
    synced = consensus.Synced(replica.outbox.sequence)
    return effects + replica.handle(synced, 1.0)


def chunk(term, offset, data):
    return consensus.SnapshotChunk(term, 1, 9, 1, VOTERS, offset, 4, data)


def test_chunks_of_two_leaders_are_not_mixed():
    replica = follower()
    receive(replica, 'b', chunk(2, 0, b'aa'))
    effects = receive(replica, 'c', chunk(3, 2, b'cc'))
    reply = consensus.SnapshotReply(3, 1, 9, 0, 'i')
    assert_that(effects, matchers.Contains(consensus.Send('c', reply)))
    receive(replica, 'c', chunk(3, 0, b'CC'))
    effects = receive(replica, 'c', chunk(3, 2, b'cc'))
    installed = [
        e for e in effects if isinstance(e, consensus.InstallSnapshot)
    ]
    assert_that(installed[0].snapshot.data, matchers.Equals(b'CCcc'))


def test_entry_that_contradicts_a_committed_one_is_an_error():
    replica = follower(consensus.Entry(1, 1), commit=1)
    wrong = consensus.AppendEntries(
        2, 1, 0, 0, 1, (consensus.Entry(1, 2, data=b'x'),)
    )
    with pytest.raises(CassiashiftError, match='contradicts'):
        receive(replica, 'b', wrong)


def test_reject_names_the_first_index_of_the_conflicting_term():
    entries = [consensus.Entry(index, 1) for index in range(1, 6)]
    replica = follower(*entries)
    append = consensus.AppendEntries(2, 1, 5, 2, 0)
    effects = receive(replica, 'b', append)
    reply = consensus.AppendReply(2, 1, False, 5, 'i', 1, 1)
    assert_that(effects, matchers.Contains(consensus.Send('b', reply)))


def test_acknowledgement_waits_for_the_sync():
    replica = follower()
    append = consensus.AppendEntries(1, 1, 0, 0, 0, (consensus.Entry(1, 1),))
    effects = replica.handle(consensus.Received('b', append), 1.0)
    sent = [e for e in effects if isinstance(e, consensus.Send)]
    assert_that(sent, matchers.Equals([]))
    effects = replica.handle(consensus.Synced(1), 1.0)
    reply = consensus.AppendReply(1, 1, True, 1, 'i')
    assert_that(effects, matchers.Contains(consensus.Send('b', reply)))
