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
    """A cluster to which hypothesis does what it likes."""

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def begin(self, seed):
        """Start three voters and a spare host."""
        self.cluster = clusters.Cluster(seed, 'abc', 'x')
        self.cluster.run(3)

    @stateful.rule(
        action=strategies.sampled_from(schedules.ACTIONS),
        seconds=strategies.sampled_from((0.005, 0.05, 0.4, 2.0)),
        rng=strategies.randoms(use_true_random=False),
    )
    def act(self, action, seconds, rng):
        """Do one thing and let time pass."""
        action(self.cluster, rng)
        self.cluster.run(seconds)

    @stateful.rule(host=HOSTS, synced=strategies.integers(0, 3))
    def restart(self, host, synced):
        """End a process at a point of its storage and start it."""
        self.cluster.crash(host, synced)
        self.cluster.start(host)

    @stateful.rule(host=HOSTS)
    def isolate(self, host):
        """Cut a host off."""
        self.cluster.isolate(host)

    def teardown(self):
        """Mend everything and check that work goes on."""
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
