"""Tests of evacuations with failures of voters and of entries."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import state
from tests.core.consensus import cluster as clusters

# Snapshots of the simulated cluster hold no state, so none are taken.
NO_SNAPSHOTS = {'snapshot_every_entries': 10_000}
START = evacuation.Order('east', is_start=True, basis=0)


def _cluster(seed, hosts='abcde'):
    cluster = clusters.Cluster(seed, hosts, **NO_SNAPSHOTS)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.propose(3)
    cluster.settle(hosts)
    return cluster


def _machine(cluster, host):
    """Return the state machine of a host, which applied a part of the log."""
    machine = state.StateMachine()
    for index in range(1, cluster.nodes[host].applied + 1):
        entry = cluster.checker.committed[index]
        if entry.kind is consensus.EntryKind.COMMAND:
            machine.apply(index, entry.data)
    return machine


def _evacuated(cluster, host):
    return _machine(cluster, host).shared.evacuations.evacuated


def _propose(cluster, order):
    """Propose an order at the leader; return once the leader applied it."""
    cluster.run_until(lambda: cluster.leader() is not None)
    host, first = cluster.leader().host, cluster.checker.max_committed
    data = state.CODEC.encode(order)
    cluster.post(host, consensus.Propose, data=data)
    cluster.run_until(
        lambda: any(
            entry.data == data and first < index <= cluster.nodes[host].applied
            for index, entry in cluster.checker.committed.items()
        )
    )
    return host


def _read(cluster):
    """Return the evacuations that a majority confirms."""
    cluster.run_until(lambda: cluster.leader() is not None)
    while True:
        host = cluster.leader().host
        token = cluster.post(host, consensus.Read)
        cluster.run_until(lambda token=token: token in cluster.outcomes)
        if isinstance(cluster.outcomes[token], consensus.ReadReady):
            return _evacuated(cluster, host)


@pytest.mark.parametrize('seed', range(20))
def test_an_order_survives_power_loss_of_all_and_an_emptied_disk(seed):
    cluster = _cluster(seed)
    _propose(cluster, START)
    hosts = list(cluster.nodes)
    for host in hosts:
        cluster.crash(host)
    cluster.empty_folder(random.Random(seed).choice(hosts))
    for host in hosts:
        cluster.start(host)
    assert_that(_read(cluster), matchers.Equals({'east'}))


@pytest.mark.parametrize('seed', range(10))
def test_the_next_attempt_is_acknowledged_after_the_leader_is_lost(seed):
    cluster = _cluster(seed)
    cluster.crash(_propose(cluster, START))
    cluster.run_until(lambda: cluster.leader() is not None)
    host = _propose(cluster, START)
    record = _machine(cluster, host).shared.evacuations.records['east']
    assert_that(_evacuated(cluster, host), matchers.Equals({'east'}))
    # The copy has not replaced the order that was in the log before.
    assert_that(
        cluster.nodes[host].applied > record.revision, matchers.Is(True)
    )


@pytest.mark.parametrize('seed', range(10))
def test_a_start_held_up_by_a_deposed_leader_does_not_undo_an_end(seed):
    cluster = _cluster(seed)
    _propose(cluster, START)
    before = cluster.leader()
    old = before.host
    cluster.isolate(old)
    data = state.CODEC.encode(START)
    cluster.post(old, consensus.Propose, data=data)
    cluster.run_until(lambda: cluster.leader() not in (None, before))
    known = _machine(cluster, old).shared.evacuations.revision
    _propose(cluster, evacuation.Order('east', is_start=False, basis=known))
    cluster.heal()
    # The copy that the deposed leader held is also sent again.
    host = _propose(cluster, START)
    assert_that(_evacuated(cluster, host), matchers.Equals(frozenset()))


def _state(revision, **records):
    return evacuation.Evacuations(
        revision,
        {
            name: evacuation.Record(index, is_evacuated, ended=ended)
            for name, (index, is_evacuated, ended) in records.items()
        },
    )


def test_a_partitioned_entry_takes_the_newer_state_after_the_partition():
    first = _state(5, east=(5, True, 0))
    later = _state(9, east=(8, False, 8), west=(9, True, 0))
    entry = evacuation.EvacuationView()
    entry.apply(first)
    assert_that(
        entry.choose_exchange(9), matchers.Is(evacuation.Exchange.PULL)
    )
    change = entry.apply(later)
    assert_that(
        change, matchers.Equals(evacuation.Change(('west',), ('east',)))
    )
    assert_that(entry.apply(first), matchers.Is(None))
    assert_that(entry.state, matchers.Equals(later))
    assert_that(
        entry.choose_exchange(5), matchers.Is(evacuation.Exchange.PUSH)
    )


def test_an_entry_that_missed_a_whole_evacuation_learns_of_its_end():
    entry = evacuation.EvacuationView()
    entry.apply(evacuation.Evacuations())
    change = entry.apply(_state(9, east=(9, False, 9)))
    assert_that(change.ended, matchers.Equals(('east',)))


def test_a_new_entry_knows_nothing_and_then_everything():
    entry = evacuation.EvacuationView()
    assert_that(
        entry.choose_exchange(0), matchers.Is(evacuation.Exchange.NONE)
    )
    assert_that(entry.is_known, matchers.Is(False))
    change = entry.apply(_state(9, east=(5, True, 0), west=(9, True, 0)))
    assert_that(change.started, matchers.Equals(('east', 'west')))
    assert_that(entry.is_known, matchers.Is(True))


def test_a_restarted_voter_waits_for_the_read_of_a_majority():
    """Its own disk may lack the newest order."""
    confirmation = fleet.LogConfirmation()
    own = _state(5, east=(5, True, 0))
    newest = _state(9, east=(9, False, 9))
    assert_that(confirmation.offer_evacuations(own), matchers.Is(None))
    confirmation.confirm(3, newest)
    assert_that(confirmation.evacuations, matchers.Equals(newest))
    assert_that(confirmation.offer_evacuations(own), matchers.Equals(newest))


def test_an_order_committed_while_the_read_is_under_way_is_not_lost():
    confirmation = fleet.LogConfirmation()
    newer = _state(9, east=(9, True, 0))
    confirmation.offer_evacuations(newer)
    confirmation.confirm(3, _state(5, east=(5, False, 5)))
    assert_that(confirmation.evacuations, matchers.Equals(newer))


@pytest.mark.parametrize('seed', range(50))
def test_states_in_any_order_end_with_the_newest(seed):
    rng = random.Random(seed)
    states = [_state(index, east=(index, True, 0)) for index in range(1, 9)]
    views = [evacuation.EvacuationView() for _ in range(6)]
    for _ in range(200):
        view = rng.choice(views)
        before = view.state.revision
        if rng.random() < 0.2:
            view.apply(rng.choice(states[:4] if view is views[0] else states))
        other = rng.choice(views)
        if view.choose_exchange(other.state.revision) is (
            evacuation.Exchange.PULL
        ):
            view.apply(other.state)
        assert_that(view.state.revision >= before, matchers.Is(True))
    views[1].apply(states[-1])
    for view in views * len(views):
        for other in views:
            view.apply(other.state)
    assert_that({view.state.revision for view in views}, matchers.Equals({8}))
