"""Tests of consensus under scripted faults."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from tests.core.consensus import cluster as clusters
from tests.core.consensus import scenarios


@pytest.mark.parametrize('hosts', ['a', 'ab', 'abc', 'abcde'])
def test_cluster_commits_and_applies_everywhere(hosts):
    cluster = scenarios.elected_cluster(hosts=hosts)
    assert_that(cluster.checker.max_committed, matchers.GreaterThan(5))


def test_all_messages_survive_the_codec():
    cluster = clusters.Cluster(5, 'abc', 'x', snapshot_chunk_bytes=40)
    cluster.use_codec = True
    cluster.run_until(lambda: cluster.leader() is not None)
    for _ in range(10):
        cluster.propose(10)
        cluster.run(0.2)
    leader_host = cluster.leader().host
    cluster.post(leader_host, consensus.ChangeVoters, add='x')
    cluster.run(1)
    cluster.handle(cluster.leader(), consensus.HandOver())
    cluster.settle()
    voters = cluster.leader().replica.voters.voter_hosts
    assert_that(voters, matchers.Contains('x'))
    assert_that(
        cluster.nodes['x'].disk.snapshot, matchers.Not(matchers.Is(None))
    )


def test_emptied_voter_is_refused():
    cluster = scenarios.voter_back_with_emptied_folder()
    cluster.start(next(h for h in 'abc' if not cluster.nodes[h].is_up))
    cluster.run(5)
    roles = [node.replica.role for node in cluster.nodes.values()]
    assert_that(roles, matchers.Contains(consensus.Role.REFUSED))


def test_emptied_voter_returns_after_its_record_was_removed():
    cluster = scenarios.elected_cluster()
    host = scenarios.followers(cluster)[0]
    cluster.empty_folder(host)
    cluster.start(host)
    cluster.run(5)
    assert_that(
        cluster.nodes[host].replica.role,
        matchers.Is(consensus.Role.REFUSED),
    )
    for change in ({'remove': host}, {'add': host}):
        leader_host = cluster.leader().host
        cluster.post(leader_host, consensus.ChangeVoters, **change)
        cluster.run(2)
    cluster.settle()
    assert_that(
        cluster.leader().replica.voters.voter_hosts, matchers.Contains(host)
    )


def test_voter_with_an_old_copy_of_its_folder_is_refused():
    cluster = scenarios.voter_back_with_an_older_folder()
    roles = [
        node.replica.role for node in cluster.nodes.values() if node.is_up
    ]
    assert_that(roles, matchers.Contains(consensus.Role.REFUSED))


def test_emptied_voter_cannot_start_a_second_log():
    scenarios.voter_emptied_before_its_first_entry()


def test_voter_catches_up_by_snapshot_after_a_long_outage():
    cluster = scenarios.elected_cluster()
    host = scenarios.followers(cluster)[0]
    cluster.crash(host)
    for _ in range(20):
        cluster.propose(10)
        cluster.run(0.2)
    assert_that(cluster.nodes[host].disk.last_index, matchers.LessThan(20))
    cluster.start(host)
    cluster.settle()
    replica = cluster.nodes[host].replica
    assert_that(replica.log.snapshot_index, matchers.GreaterThan(100))


def test_isolated_leader_steps_down():
    cluster = scenarios.isolated_leader_steps_down()
    assert_that(len(cluster.checker.leaders), matchers.GreaterThan(1))


def test_leader_that_cannot_receive_steps_down():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    cluster.cuts = {(host, old_leader.host) for host in cluster.nodes}
    cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 10)
    cluster.heal()
    cluster.settle()


def test_host_that_cannot_receive_does_not_raise_the_term():
    cluster = scenarios.elected_cluster()
    term = cluster.leader().replica.term
    host = scenarios.followers(cluster)[0]
    cluster.cuts = {(other, host) for other in cluster.nodes}
    cluster.run(20)
    cluster.heal()
    cluster.settle()
    assert_that(cluster.leader().replica.term, matchers.Equals(term))


def test_quorum_survives_a_loss_right_after_a_replacement():
    cluster = scenarios.voter_lost_right_after_replacement()
    assert_that(
        cluster.leader().replica.voters.voter_hosts, matchers.Contains('x')
    )


def test_log_survives_the_loss_of_a_voter_right_after_a_third_is_added():
    cluster = scenarios.third_voter_replaces_the_first()
    assert_that(
        cluster.leader().replica.voters.voter_hosts, matchers.Contains('x')
    )


def test_second_voter_change_is_refused_while_one_is_pending():
    cluster = scenarios.elected_cluster(spares='xy')
    leader_host = cluster.leader().host
    cluster.crash('x')
    cluster.post(leader_host, consensus.ChangeVoters, add='x')
    cluster.run(1)
    token = cluster.post(leader_host, consensus.ChangeVoters, add='y')
    assert_that(
        cluster.outcomes[token].reason,
        matchers.Is(consensus.FailureReason.CHANGE_PENDING),
    )
    voters = cluster.leader().replica.voters
    assert_that(voters.voter_hosts, matchers.Equals(('a', 'b', 'c')))


def test_removing_a_learner_fails_its_addition():
    cluster = scenarios.elected_cluster(spares='x')
    leader_host = cluster.leader().host
    cluster.crash('x')
    added = cluster.post(leader_host, consensus.ChangeVoters, add='x')
    cluster.run(1)
    cluster.post(leader_host, consensus.ChangeVoters, remove='x')
    cluster.settle('abc')
    assert_that(
        cluster.outcomes[added].reason,
        matchers.Is(consensus.FailureReason.REPLACED),
    )


def test_addition_of_a_deposed_leader_is_reported_as_unknown():
    cluster = scenarios.elected_cluster(spares='x')
    old_leader = cluster.leader()
    cluster.crash('x')
    added = cluster.post(old_leader.host, consensus.ChangeVoters, add='x')
    cluster.isolate(old_leader.host)
    cluster.run(5)
    assert_that(
        cluster.outcomes[added].reason,
        matchers.Is(consensus.FailureReason.UNKNOWN),
    )


def test_bound_voter_ignores_a_refusal_from_an_older_log():
    cluster = scenarios.elected_cluster()
    host = scenarios.followers(cluster)[0]
    node = cluster.nodes[host]
    refused = consensus.IdentityRefused(1, 'older')
    cluster.handle(node, consensus.Received('x', refused))
    assert_that(node.replica.role, matchers.Is(consensus.Role.FOLLOWER))


def test_removed_leader_steps_down():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    cluster.post(
        old_leader.host, consensus.ChangeVoters, remove=old_leader.host
    )
    rest = scenarios.followers(cluster)
    cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 5)
    cluster.settle(rest)


def test_all_voters_restart_after_hundreds_of_entries():
    cluster = scenarios.elected_cluster()
    for _ in range(50):
        cluster.propose(10)
        cluster.run(0.1)
    before = cluster.checker.max_committed
    assert_that(before, matchers.GreaterThan(450))
    for host in 'abc':
        cluster.crash(host)
    for host in 'abc':
        cluster.start(host)
    cluster.settle()
    assert_that(cluster.checker.max_committed, matchers.GreaterThan(before))


def test_handover_is_faster_than_an_election_timeout():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    start = cluster.now
    cluster.handle(old_leader, consensus.HandOver())
    cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 5)
    assert_that(cluster.now - start, matchers.LessThan(clusters.TIMEOUT_S / 2))
    assert_that(
        old_leader.replica.has_lease(old_leader.clock()), matchers.Is(False)
    )


def test_replica_with_failed_storage_stops_for_good():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    rest = scenarios.followers(cluster)
    cluster.handle(old_leader, consensus.StorageFailed())
    assert_that(old_leader.replica.role, matchers.Is(consensus.Role.FAILED))
    cluster.settle(rest)
    cluster.handle(old_leader, consensus.Tick())
    assert_that(old_leader.replica.role, matchers.Is(consensus.Role.FAILED))


@pytest.mark.parametrize('seed', range(1, 11))
def test_leader_whose_storage_failed_is_succeeded_at_once(seed):
    cluster = scenarios.elected_cluster(seed)
    old_leader = cluster.leader()
    rest = scenarios.followers(cluster)
    old_leader.is_stalled = True
    cluster.propose()
    cluster.run(0.05)
    cluster.handle(old_leader, consensus.StorageFailed())
    cluster.crash(old_leader.host)
    cluster.run(clusters.TIMEOUT_S / 4)
    new_leader = cluster.leader()
    assert_that(new_leader, matchers.Not(matchers.Is(None)))
    cluster.settle(rest)


def test_leader_whose_storage_failed_names_the_voter_with_its_log():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    behind, newest = sorted(scenarios.followers(cluster), reverse=True)
    cluster.cuts.add((old_leader.host, behind))
    cluster.propose(3)
    cluster.run(0.05)
    cluster.heal()
    cluster.handle(old_leader, consensus.StorageFailed())
    cluster.crash(old_leader.host)
    cluster.run(clusters.TIMEOUT_S / 4)
    assert_that(cluster.leader().host, matchers.Equals(newest))


def test_leader_with_a_stalled_disk_steps_down():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    rest = scenarios.followers(cluster)
    old_leader.is_stalled = True
    cluster.propose()
    cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 5)
    cluster.settle(rest)
    assert_that(
        cluster.leader().host, matchers.Not(matchers.Equals(old_leader.host))
    )
    old_leader.is_stalled = False
    cluster.settle()


def test_read_without_a_quorum_is_not_answered():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader.host)
    cluster.run(0.8)
    token = cluster.post(old_leader.host, consensus.Read)
    cluster.run(5)
    assert_that(
        cluster.outcomes[token], matchers.IsInstance(consensus.ReadFailed)
    )


def test_many_reads_without_a_lease_share_rounds():
    cluster = scenarios.elected_cluster()
    leader = cluster.leader()
    cluster.step_clock(leader.host, 100)
    before = cluster.sent
    tokens = [cluster.post(leader.host, consensus.Read) for _ in range(200)]
    cluster.run(0.5)
    assert_that(cluster.sent - before, matchers.LessThan(60))
    for token in tokens:
        assert_that(
            cluster.outcomes[token], matchers.IsInstance(consensus.ReadReady)
        )


def test_proposal_of_a_deposed_leader_is_reported_as_replaced():
    cluster = scenarios.elected_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader.host)
    token = cluster.post(old_leader.host, consensus.Propose)
    cluster.run(5)
    cluster.propose(3)
    cluster.run(1)
    cluster.heal()
    cluster.settle()
    assert_that(
        cluster.outcomes[token].reason,
        matchers.Is(consensus.FailureReason.REPLACED),
    )


def test_known_commit_is_applied_after_a_start_without_a_quorum():
    cluster = scenarios.elected_cluster()
    cluster.run(1)
    applied = cluster.checker.max_committed
    for host in 'abc':
        cluster.crash(host)
    cluster.start('a')
    cluster.run(0.1)
    assert_that(cluster.nodes['a'].applied, matchers.Equals(applied))


def test_entry_of_an_older_term_is_not_committed_by_count():
    scenarios.older_term_held_by_majority()


@pytest.mark.parametrize('seconds', [-100, 100])
def test_clock_step_ends_the_lease(seconds):
    cluster = scenarios.elected_cluster()
    leader = cluster.leader()
    cluster.run(0.2)
    assert_that(leader.replica.has_lease(leader.clock()), matchers.Is(True))
    cluster.step_clock(leader.host, seconds)
    assert_that(leader.replica.has_lease(leader.clock()), matchers.Is(False))
    cluster.settle()
