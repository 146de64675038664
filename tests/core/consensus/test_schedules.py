"""Tests of consensus under random schedules of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from tests.core.consensus import cluster as clusters
from tests.core.consensus import schedules

HOSTS = strategies.sampled_from('abcx')


@pytest.mark.parametrize('seed', range(1, 21))
def test_invariants_hold_in_a_random_schedule(seed):
    schedules.explore(seed)


class FaultySchedule(stateful.RuleBasedStateMachine):
    """A cluster whose faults and operations hypothesis chooses."""

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def start_cluster(self, seed):
        """Start three voters and a host outside the voter set."""
        self.cluster = clusters.Cluster(seed, 'abc', 'x')
        self.cluster.run(3)

    @stateful.rule(
        action=strategies.sampled_from(schedules.ACTIONS),
        seconds=strategies.sampled_from((0.005, 0.05, 0.4, 2.0)),
        rng=strategies.randoms(use_true_random=False),
    )
    def apply_action(self, action, seconds, rng):
        """Carry out one action and run the cluster for a while."""
        action(self.cluster, rng)
        self.cluster.run(seconds)

    @stateful.rule(host=HOSTS, synced=strategies.integers(0, 3))
    def restart(self, host, synced):
        """Kill a process between writes of its storage and start it."""
        self.cluster.crash(host, synced)
        self.cluster.start(host)

    @stateful.rule(host=HOSTS)
    def isolate(self, host):
        """Cut all links of a host."""
        self.cluster.isolate(host)

    def teardown(self):
        """End all faults and check that proposals commit."""
        if not hasattr(self, 'cluster'):
            return
        self.cluster.heal()
        for host in self.cluster.nodes:
            self.cluster.start(host)
        self.cluster.settle_members()


TestFaultySchedule = FaultySchedule.TestCase
TestFaultySchedule.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=25,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
