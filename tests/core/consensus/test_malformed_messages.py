"""Tests of messages that decode but that no sound replica sends."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records

SEEDS = range(150)
MESSAGES = 60
HOSTS = ('a', 'b', 'c')
VOTERS = records.VoterSet(tuple(records.Voter(h, f'inc-{h}') for h in HOSTS))


class Host:
    """A replica that syncs at once; its votes come as asked for."""

    def __init__(self, seed, leads):
        cfg = consensus.ReplicaConfig(host='a', voters=HOSTS)
        saved = consensus.SavedState(consensus.HardState(), (), None, 'inc-a')
        self.replica = consensus.Replica.from_config(
            cfg, saved, random.Random(seed)
        )
        self.now = 0.0
        while leads and self.replica.role is not consensus.Role.LEADER:
            self.handle(consensus.Tick(), answers_votes=True)
        for number in range(5 * leads):
            self.handle(consensus.Propose(f'token-{number}', b'x'))

    def handle(self, event, answers_votes=False):
        """Handle an event, and what its effects bring about."""
        self.now += 0.05
        for effect in self.replica.handle(event, self.now):
            if isinstance(effect, consensus.Persist):
                self.replica.handle(
                    consensus.Synced(effect.sequence), self.now
                )
            elif answers_votes and isinstance(effect, consensus.Send):
                self._vote(effect.receiver, effect.message)

    def _vote(self, host, request):
        if isinstance(request, messages.VoteRequest):
            vote = messages.VoteReply(
                request.term, request.term, True, f'inc-{host}'
            )
            vote = attrs.evolve(vote, pre_vote=request.pre_vote)
            self.handle(consensus.Received(host, vote), answers_votes=True)


def draw_entries(rng, term):
    """Return entries, mostly such as follow the log of a new leader."""
    if rng.random() < 0.7:
        return tuple(
            records.Entry(7 + number, term, data=b'junk')
            for number in range(rng.randrange(3))
        )
    return tuple(
        records.Entry(
            draw_number(rng, term),
            draw_number(rng, term),
            rng.choice(list(records.EntryKind)),
            b'junk',
            rng.choice([None, VOTERS]),
        )
        for _ in range(rng.randrange(4))
    )


def draw_number(rng, term):
    """Return a number, mostly one that is near to those in use."""
    return rng.choice(
        [0, 1, 2, 3, 5, 6, 7, -1, -3, 2**40, term, term, term + 1]
    )


def draw_value(rng, field, term):
    """Return a value of the type of a message's field."""
    if field.name == 'entries':
        return draw_entries(rng, term)
    if field.type is bool:
        return rng.random() < 0.5
    if field.type is bytes:
        return rng.choice([b'', b'abc'])
    if field.type is str:
        return rng.choice(['', 'inc-a', 'inc-b', 'x'])
    if field.type is records.VoterSet:
        return rng.choice([records.VoterSet(), VOTERS])
    return draw_number(rng, term)


@pytest.mark.parametrize('leads', [False, True])
def test_no_message_that_passes_the_check_ends_a_replica(leads):
    for seed in SEEDS:
        rng = random.Random(seed)
        host = Host(seed, leads)
        for _ in range(MESSAGES):
            cls = rng.choice(list(consensus.MESSAGE_TYPES.values()))
            message = cls(
                *(
                    draw_value(rng, field, host.replica.term)
                    for field in attrs.fields(cls)
                )
            )
            if not consensus.find_problem(message):
                sender = rng.choice(['b', 'c', 'unknown'])
                host.handle(consensus.Received(sender, message))


def test_the_check_names_what_is_malformed():
    entries = (records.Entry(3, 1), records.Entry(5, 1))
    message = messages.AppendEntries(1, 1, 2, 1, 0, entries)
    assert_that(consensus.find_problem(message), matchers.Contains('follow'))
    assert_that(
        consensus.find_problem(messages.TimeoutNow(-1)),
        matchers.Contains('negative'),
    )


@pytest.mark.parametrize('number', [0, 8, 2**40])
@pytest.mark.parametrize('success', [False, True])
def test_a_leader_bears_replies_beyond_its_log(success, number):
    host = Host(1, leads=True)
    last_index = host.replica.log.last_index
    reply = messages.AppendReply(
        host.replica.term, 1, success, number, 'inc-b', number
    )
    for sender in ('b', 'c'):
        host.handle(consensus.Received(sender, reply))
    for _ in range(10):
        host.handle(consensus.Tick())
    assert_that(host.replica.log.last_index, matchers.Equals(last_index))
    assert_that(host.replica.commit_index, matchers.LessThan(last_index + 1))
