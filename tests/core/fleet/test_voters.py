"""Tests of the bootstrap of the log and of changes of its voters."""

import itertools

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core import fleet


def _record(host, store='', **fields):
    fields.setdefault('has_disk', bool(store))
    return fleet.EntryRecord(
        host, f'{host}:1', 'east', 'r', 1, store=store, **fields
    )


def _voters(*hosts, learners=()):
    return consensus.VoterSet(
        tuple(consensus.Voter(host, f's-{host}') for host in hosts),
        tuple(consensus.Voter(host) for host in learners),
    )


def _alive(*hosts):
    return [_record(host, f's-{host}') for host in hosts]


def _decide(own, received, seeds='abc', first=True, waited_s=0.0):
    return fleet.decide_bootstrap(own, seeds, received, first, waited_s)


def test_exactly_one_host_of_a_new_system_starts_the_log():
    for with_disk in itertools.product([False, True], repeat=4):
        records = [
            _record(host, 's' if disk else '')
            for host, disk in zip('abcd', with_disk, strict=True)
        ]
        founders = [
            record.host
            for record in records
            if record.store
            and _decide(record, records, waited_s=9.0)
            is fleet.BootstrapAction.FOUND
        ]
        expected = 1 if any(with_disk) else 0
        assert_that(founders, matchers.HasLength(expected))


@pytest.mark.parametrize('opened', [*itertools.product([0, 1], repeat=3)])
def test_hosts_that_open_folders_at_different_times_start_one_log(
    opened,
):
    founders = []
    for own in 'abc':
        records = [
            _record(host, 's' * (host == own or has_store), has_disk=True)
            for host, has_store in zip('abc', opened, strict=True)
        ]
        record = next(item for item in records if item.host == own)
        if _decide(record, records) is fleet.BootstrapAction.FOUND:
            founders.append(own)
    assert_that(founders, matchers.Equals(['a']))


def test_no_host_starts_the_log_before_every_seed_sent_a_record():
    own = _record('a', 's')
    decision = _decide(own, [_record('b', 's')], waited_s=99.0)
    assert_that(decision, matchers.Is(fleet.BootstrapAction.WAIT))


@pytest.mark.parametrize('first', [True, False])
def test_a_host_with_an_emptied_disk_joins_the_existing_log(first):
    own = _record('a', 's')
    received = [_record('b', 's', founded=('b',)), _record('c', 's')]
    decision = _decide(own, received, first=first)
    assert_that(decision, matchers.Is(fleet.BootstrapAction.JOIN))


def test_a_founder_whose_first_entry_was_not_durable_starts_the_log():
    own = _record('b', 's', founded=('b',))
    decision = _decide(own, [_record('a', 's'), _record('c', 's')])
    assert_that(decision, matchers.Is(fleet.BootstrapAction.FOUND))


@pytest.mark.parametrize(
    ('own', 'other'), [(('a', 'b'), ()), (('b',), ()), (('a',), ('b', 'c'))]
)
def test_a_host_that_knows_of_another_log_does_not_start_one(own, other):
    record = _record('a', 's', founded=own)
    received = [_record('b', 's', founded=other), _record('c', 's')]
    decision = _decide(record, received)
    assert_that(decision, matchers.Is(fleet.BootstrapAction.JOIN))


def test_a_host_of_an_existing_system_never_starts_a_log():
    decision = _decide(_record('a', 's'), [], first=False, waited_s=99.0)
    assert_that(decision, matchers.Is(fleet.BootstrapAction.JOIN))


def test_hosts_with_a_disk_join_one_at_a_time():
    change = fleet.next_voter_change(_voters('a'), 'a', _alive('c', 'b'), 1)
    assert_that(change, matchers.Equals(('b', '')))
    pending = _voters('a', learners=('b',))
    change = fleet.next_voter_change(pending, 'a', _alive('c', 'b'), 1)
    assert_that(change, matchers.Is(None))


def test_an_emptied_voter_is_removed_before_it_joins_again():
    emptied = [_record('b', 'new'), *_alive('c')]
    change = fleet.next_voter_change(_voters('a', 'b', 'c'), 'a', emptied, 1)
    assert_that(change, matchers.Equals(('', 'b')))
    change = fleet.next_voter_change(_voters('a', 'c'), 'a', emptied, 1)
    assert_that(change, matchers.Equals(('b', '')))


def test_a_silent_voter_stays_while_the_others_tolerate_no_loss():
    change = fleet.next_voter_change(
        _voters('a', 'b', 'c'), 'a', _alive('b'), 1
    )
    assert_that(change, matchers.Is(None))


def test_a_silent_voter_is_removed_once_its_successor_votes():
    voters = _voters('a', 'b', 'c', 'd')
    change = fleet.next_voter_change(voters, 'a', _alive('b', 'd'), 1)
    assert_that(change, matchers.Equals(('', 'c')))


def test_a_silent_learner_does_not_block_other_changes():
    voters = _voters('a', 'b', learners=('c',))
    change = fleet.next_voter_change(voters, 'a', _alive('b', 'd'), 1)
    assert_that(change, matchers.Equals(('', 'c')))


def test_a_host_that_leaves_is_not_added():
    leaving = attrs.evolve(_record('b', 's'), is_leaving=True)
    change = fleet.next_voter_change(_voters('a'), 'a', [leaving], 1)
    assert_that(change, matchers.Is(None))
