"""Tests of elections after a restart of all voters."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.core.consensus import cluster as clusters
from tests.core.consensus import scenarios

# From the start of the last voter to the confirmed configuration.
GOAL_S = 0.3
SEEDS = range(1, 11)


def restart_all(cluster, hosts, seed):
    """Kill all hosts and start some of them within 0.3 s."""
    for host in cluster.nodes:
        cluster.crash(host)
    cluster.run(0.1)
    rng = random.Random(seed)
    for host in hosts:
        cluster.run(rng.uniform(0, 0.3 / len(hosts)))
        cluster.start(host)


def time_to_lead_s(cluster):
    """Return the seconds until a leader has committed in its term."""
    began_at = cluster.now
    cluster.run_until(
        lambda: (
            cluster.leader() is not None
            and cluster.leader().replica.leadership.has_committed_in_term
        )
    )
    return cluster.now - began_at


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('hosts', ['abc', 'abcde'])
def test_restart_of_all_voters_does_not_wait_for_the_timeout(hosts, seed):
    """Guards against a second without a leader after a restart of all."""
    cluster = scenarios.elected_cluster(seed, hosts)
    restart_all(cluster, hosts, seed)
    assert_that(time_to_lead_s(cluster), matchers.LessThan(GOAL_S))
    cluster.settle(hosts)


@pytest.mark.parametrize('seed', SEEDS)
def test_an_emptied_voter_counts_as_restarted(seed):
    """Guards against the wait where one of the disks was lost."""
    cluster = scenarios.elected_cluster(seed)
    cluster.empty_folder('b')
    restart_all(cluster, 'abc', seed)
    assert_that(time_to_lead_s(cluster), matchers.LessThan(GOAL_S))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_silent_voter_may_still_lead(seed):
    """Guards against an early election while one voter is not heard."""
    cluster = scenarios.elected_cluster(seed)
    silent = cluster.leader().host
    others = scenarios.followers(cluster)
    cluster.isolate(silent)
    for host in others:
        cluster.crash(host)
    cluster.run(0.1)
    for host in others:
        cluster.start(host)
    cluster.run(clusters.TIMEOUT_S * 0.9)
    leads = [
        host
        for host in others
        if cluster.nodes[host].replica.leadership is not None
    ]
    assert_that(leads, matchers.Equals([]))
    cluster.heal()
    cluster.settle()
