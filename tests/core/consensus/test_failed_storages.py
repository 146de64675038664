"""Tests of elections after storages have failed in processes that go on."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from tests.core.consensus import cluster as clusters
from tests.core.consensus import scenarios

# From the end of the leader to a committed entry of the next one.
GOAL_S = 0.5
SEEDS = range(1, 11)


def time_to_lead_s(cluster):
    """Return the seconds until another leader has committed in its term."""
    began_at = cluster.now
    term = max(
        node.replica.term for node in cluster.nodes.values() if node.is_up
    )

    def has_committed():
        leader = cluster.leader()
        return (
            leader is not None
            and leader.replica.term > term
            and leader.replica.leadership.has_committed_in_term
        )

    cluster.run_until(has_committed)
    return cluster.now - began_at


@pytest.mark.parametrize('seed', SEEDS)
def test_a_reopened_voter_does_not_wait_for_its_last_leader_again(seed):
    cluster = scenarios.elected_cluster(seed)
    leader = cluster.leader()
    others = scenarios.followers(cluster)
    cluster.fail_storage(others[0])
    cluster.run(0.5 * clusters.TIMEOUT_S)
    cluster.crash(leader.host)
    cluster.run(1.5 * clusters.TIMEOUT_S)
    cluster.start(others[0])
    assert_that(time_to_lead_s(cluster), matchers.LessThan(GOAL_S))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_voter_with_a_newer_log_than_the_successor_leads_soon(seed):
    cluster = scenarios.elected_cluster(seed)
    leader = cluster.leader()
    newer, successor = scenarios.followers(cluster)
    cluster.settle()
    cluster.lose(newer, consensus.AppendReply)
    cluster.propose()
    cluster.run(0.05)
    cluster.cuts = {(leader.host, successor)}
    cluster.propose()
    cluster.run(0.02)
    cluster.heal()
    cluster.fail_storage(leader.host)
    assert_that(time_to_lead_s(cluster), matchers.LessThan(GOAL_S))
    assert_that(cluster.leader().host, matchers.Equals(newer))
