"""Scripted faults; each raises checks.Violation on a broken invariant."""

import copy
import random

from cassiashift_core import consensus
from tests.core.consensus import checks
from tests.core.consensus import cluster as clusters


def elected_cluster(seed=1, hosts='abc', **options):
    """Return a cluster with a leader and some committed entries."""
    cluster = clusters.Cluster(seed, hosts, **options)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.propose(5)
    cluster.settle(hosts)
    return cluster


def followers(cluster):
    """Return the hosts that do not lead."""
    leader_host = cluster.leader().host
    return [host for host in cluster.voters if host != leader_host]


def voter_back_with_emptied_folder():
    """A voter with an emptied data folder must not help to elect a leader."""
    cluster = elected_cluster()
    first, second = followers(cluster)
    cluster.crash(second)
    cluster.propose(5)
    cluster.settle([cluster.leader().host, first])
    cluster.crash(cluster.leader().host)
    cluster.empty_folder(first)
    cluster.start(first)
    cluster.start(second)
    cluster.run(30)
    checks.require(cluster.leader() is None, 'an emptied voter elects')
    return cluster


def voter_back_with_an_older_folder():
    """A voter with an old copy of its folder must not help to elect."""
    cluster = elected_cluster()
    leader_host = cluster.leader().host
    first, second = followers(cluster)
    old_disk = copy.copy(cluster.nodes[first].disk)
    old_disk.entries = list(old_disk.entries)
    cluster.crash(second)
    cluster.propose(5)
    cluster.settle([leader_host, first])
    cluster.crash(first)
    cluster.nodes[first].disk = old_disk
    cluster.start(first)
    cluster.run(0.9)
    cluster.crash(leader_host)
    cluster.start(second)
    cluster.run(30)
    checks.require(cluster.leader() is None, 'an older folder elects')
    return cluster


def voter_emptied_before_its_first_entry():
    """A new voter and an emptied one must not start a second log."""
    cluster = clusters.Cluster(3)
    cluster.run_until(lambda: cluster.leader() is not None)
    first, second = followers(cluster)
    leader_host = cluster.leader().host
    cluster.crash(second)
    cluster.nodes[second].disk.entries.clear()
    cluster.propose(5)
    cluster.settle([leader_host, first])
    cluster.crash(leader_host)
    # A heartbeat under way would tell the emptied voter that it is refused.
    cluster.run(0.05)
    cluster.empty_folder(first)
    cluster.start(first)
    cluster.start(second)
    cluster.run(30)
    checks.require(cluster.leader() is None, 'a second log is started')
    return cluster


def older_term_held_by_majority():
    """An entry of an older term must not be committed by counting replicas."""
    voters = consensus.VoterSet(
        tuple(consensus.Voter(host, host) for host in 'abc')
    )
    first = consensus.Entry(1, 1, consensus.EntryKind.VOTERS, voters=voters)
    saved = consensus.SavedState(
        consensus.HardState(1, 'a', 1),
        (first, consensus.Entry(2, 1, data=b'x')),
        incarnation='a',
    )
    cfg = consensus.ReplicaConfig(host='a', voters=tuple('abc'))
    replica = consensus.Replica.from_config(cfg, saved, random.Random(1))
    now = elect(replica)
    answer = consensus.AppendReply(replica.term, 1, True, 2, 'b')
    replica.handle(consensus.Received('b', answer), now)
    checks.require(replica.commit_index < 2, 'commits an older term')
    answer = consensus.AppendReply(replica.term, 1, True, 3, 'b')
    replica.handle(consensus.Received('b', answer), now)
    checks.require(replica.commit_index == 3, 'does not commit its own term')


def elect(replica):
    """Make a replica with two other voters the leader; return the time."""
    time = 0.0
    while replica.role is consensus.Role.FOLLOWER:
        replica.handle(consensus.Tick(), time)
        time += 0.05
    term = replica.term
    pre_vote = consensus.VoteReply(term, term + 1, True, 'b', pre_vote=True)
    replica.handle(consensus.Received('b', pre_vote), time)
    sync(replica, time)
    vote = consensus.VoteReply(term + 1, term + 1, True, 'b')
    replica.handle(consensus.Received('b', vote), time)
    sync(replica, time)
    checks.require(replica.role is consensus.Role.LEADER, 'does not lead')
    return time


def sync(replica, now):
    """Report all changes of a replica as durable."""
    replica.handle(consensus.Synced(replica.outbox.sequence), now)


def isolated_leader_steps_down():
    """A leader that is isolated for long must step down and serve no reads."""
    cluster = elected_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader.host)
    others = [host for host in 'abc' if host != old_leader.host]
    for _ in range(40):
        cluster.run(0.1)
        cluster.post(old_leader.host, consensus.Read)
        for host in others:
            cluster.post(host, consensus.Propose)
    checks.require(
        old_leader.replica.role is not consensus.Role.LEADER, 'still leads'
    )
    cluster.heal()
    cluster.settle()
    return cluster


def follower_cut_off_from_the_leader():
    """A host cut off from a live leader must not depose it."""
    cluster = elected_cluster()
    old_leader = cluster.leader()
    term = old_leader.replica.term
    missing = followers(cluster)[0]
    cluster.cuts = {(old_leader.host, missing)}
    cluster.run(10)
    cluster.heal()
    cluster.settle()
    checks.require(cluster.leader().replica.term == term, 'is deposed')
    return cluster


def leader_cut_off_after_handover():
    """A leader that handed over must serve no reads, even if cut off."""
    cluster = elected_cluster()
    old_leader = cluster.leader()
    others = followers(cluster)
    cluster.cuts = {(host, old_leader.host) for host in others}
    cluster.handle(old_leader, consensus.HandOver())
    for _ in range(30):
        cluster.run(0.05)
        cluster.post(old_leader.host, consensus.Read)
        for host in others:
            cluster.post(host, consensus.Propose)
    cluster.heal()
    cluster.settle()
    return cluster


def isolated_after_two_handovers():
    """A handover must allow only one election during a lease."""
    cluster = elected_cluster(hosts='ab')
    for _ in range(2):
        old_leader = cluster.leader()
        cluster.handle(old_leader, consensus.HandOver())
        cluster.run_until(
            lambda o=old_leader: cluster.leader() not in (None, o)
        )
        cluster.settle()
    cluster.isolate('a')
    cluster.run(5)
    cluster.heal()
    cluster.settle()
    return cluster


def clocks_of_all_followers_step():
    """Clock steps on all followers must not depose a leader with a lease."""
    cluster = elected_cluster()
    old_leader = cluster.leader()
    others = followers(cluster)
    cluster.cuts = {(host, old_leader.host) for host in others}
    for _ in range(8):
        for host in others:
            cluster.step_clock(host, 5)
        cluster.run(0.11)
    checks.require(cluster.leader() is old_leader, 'is deposed')
    return cluster


def voter_lost_right_after_replacement():
    """The replacement of a lost voter must count when another is lost."""
    cluster = elected_cluster(hosts='abc', spares='x')
    lost, other = followers(cluster)
    cluster.crash(lost)
    leader_host = cluster.leader().host
    token = cluster.post(leader_host, consensus.ChangeVoters, add='x')
    cluster.run_until(lambda: token in cluster.outcomes)
    cluster.run(0.3)
    token = cluster.post(leader_host, consensus.ChangeVoters, remove=lost)
    cluster.run_until(lambda: token in cluster.outcomes)
    cluster.run(0.3)
    cluster.crash(leader_host)
    cluster.settle([other, 'x'])
    return cluster


def third_voter_replaces_the_first():
    """An empty third voter must count when one of the first two is lost."""
    cluster = elected_cluster(hosts='ab', spares='x')
    cluster.propose(5)
    cluster.settle('ab')
    leader = cluster.leader()
    cluster.lose('x', consensus.AppendReply)
    token = cluster.post(
        leader.host,
        consensus.ChangeVoters,
        add='x',
        incarnation=cluster.nodes['x'].disk.incarnation,
    )
    cluster.run_until(lambda: token in cluster.outcomes)
    cluster.run(0.3)
    cluster.crash(leader.host)
    cluster.heal()
    cluster.settle([*set('ab') - {leader.host}, 'x'])
    return cluster


def late_reports_to_an_earlier_start():
    """Reports from before a leader's election must not count after it."""
    cluster = elected_cluster()
    silent = cluster.leader().host
    others = followers(cluster)
    for host in others:
        cluster.crash(host)
    cluster.isolate(silent)
    cluster.run(0.02)
    for host in others:
        earlier_start = f'{host}{cluster.nodes[host].start_count - 1}'
        cluster.start(host)
        late = consensus.RestartReport(1, earlier_start, 1, 1)
        cluster.handle(cluster.nodes[host], consensus.Received(silent, late))
    cluster.run(5)
    return cluster


def leader_that_removes_itself_is_not_asked():
    """A removal that isn't committed must not make a leader's lease void."""
    cluster = elected_cluster()
    leader_host = cluster.leader().host
    others = followers(cluster)
    cluster.run(0.06)
    cluster.cuts = {(host, leader_host) for host in others}
    cluster.post(leader_host, consensus.ChangeVoters, remove=leader_host)
    cluster.run(0.025)
    cluster.isolate(leader_host)
    for host in others:
        cluster.crash(host)
    cluster.run(0.003)
    for host in others:
        cluster.start(host)
    cluster.run(1.5)
    return cluster


def followers_restart_unheard_by_the_leader():
    """A leader must not report to followers that miss its heartbeats."""
    cluster = elected_cluster()
    leader_host = cluster.leader().host
    others = followers(cluster)
    cluster.run(0.02)
    for host in others:
        cluster.crash(host)
    cluster.run(0.012)
    for host in others:
        cluster.start(host)
    cluster.lose(leader_host, consensus.AppendEntries)
    cluster.run(0.9)
    return cluster


def storages_of_all_followers_fail():
    """Voters reopened after a failure must not depose a leader's lease."""
    return _reopen_followers_of_an_isolated_leader(0)


def clocks_step_while_storages_are_closed():
    """A step of the clock between two replicas must not shorten the wait."""
    return _reopen_followers_of_an_isolated_leader(5)


def _reopen_followers_of_an_isolated_leader(step_s):
    cluster = elected_cluster()
    others = followers(cluster)
    cluster.isolate(cluster.leader().host)
    for host in others:
        cluster.fail_storage(host)
        cluster.step_clock(host, step_s)
    cluster.run(0.08)
    for host in others:
        cluster.start(host)
    cluster.run(2.5)
    cluster.heal()
    cluster.settle()
    return cluster


def late_requests_of_a_handover():
    """Requests of an earlier handover must not release from a newer lease."""
    cluster = elected_cluster()
    earlier = cluster.leader()
    cluster.handle(earlier, consensus.HandOver())
    cluster.run_until(lambda: cluster.leader() not in (None, earlier))
    cluster.settle()
    leader = cluster.leader()
    missing, other = followers(cluster)
    late = consensus.VoteRequest(
        leader.replica.term, 0, 0, leader.disk.incarnation, handover=True
    )
    cluster.cuts = {(leader.host, missing)}
    for _ in range(400):
        cluster.run(0.01)
        cluster.handle(
            cluster.nodes[other], consensus.Received(leader.host, late)
        )
    checks.require(cluster.leader() is leader, 'is deposed')
    cluster.heal()
    cluster.settle()
    return cluster
