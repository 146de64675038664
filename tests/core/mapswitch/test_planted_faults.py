"""Plants faults in the machines; the checks of the cluster must see them.

Each scenario passes with the real machines and fails with the faulty one.
"""

import pytest

from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters


class SwitchesWithoutCommit(mapswitch.RankSwitch):
    """Runs on the staged map as soon as it has armed."""

    def _judge(self, step):
        promise = self.promise
        if promise is not None and step >= promise.step:
            return mapswitch.Proceed(promise.version)
        return super()._judge(step)


class ProceedsUnheard(mapswitch.RankSwitch):
    """Goes on with the former map when it has not heard the outcome."""

    def _judge(self, step):
        promise, self.promise = self.promise, None
        try:
            return super()._judge(step)
        finally:
            self.promise = promise


class TakesAnyAnswer(mapswitch.RankSwitch):
    """Takes an answer to a question of an earlier start."""

    def _on(self, event, now):
        message = getattr(event, 'message', None)
        if isinstance(message, mapswitch.Answer):
            self._nonce = message.nonce
        super()._on(event, now)


class ForgetsStartedSteps(mapswitch.RankSwitch):
    """Takes no step for started after a restart of the agent."""

    @classmethod
    def from_config(cls, cfg, rng=None):
        """Return a machine that knows of no started step."""
        machine = super().from_config(cfg, rng)
        machine.started = -1
        return machine


class AnswersFromMemory(mapswitch.Coordinator):
    """Answers a restarted rank without a read barrier."""

    def _barrier(self, ask):
        super()._barrier(ask)
        ticket = self._effects.pop().ticket
        self._on(mapswitch.BarrierPassed(ticket))


class AnswersWhileUndecided(mapswitch.Coordinator):
    """Answers a restarted rank while a commit may be under way."""

    def _on(self, event):
        message = getattr(event, 'message', None)
        state = self.state
        if isinstance(event, mapswitch.BarrierPassed):
            self.state = 'idle'
        if isinstance(message, mapswitch.Ask):
            self._barrier(message)
        else:
            super()._on(event)
        if isinstance(event, mapswitch.BarrierPassed):
            self.state = state


class TrustsArmsOfFormerStarts(mapswitch.Coordinator):
    """Counts the promise of a rank that has restarted since."""

    def _abandon(self, reason):
        if 'restarted' not in reason:
            super()._abandon(reason)


class CommitsBeforeArm(mapswitch.Coordinator):
    """Commits when all ranks have staged, and none has to hold."""

    def _send_arm(self):
        super()._send_arm()
        self.all_armed()


def coordinator_cut_off_after_arming(cluster):
    """Let a new coordinator abort what all ranks have armed."""
    cluster.request('a')
    cluster.run_until(lambda: all(r.promise for r in cluster.ranks.values()))
    cluster.cut.add('a')
    cluster.run(1.0)
    cluster.lead('b')
    cluster.run(2.0)


def outcome_lost_to_one_rank(cluster):
    """Let one rank hear nothing after it has armed."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].promise)
    cluster.deaf.add('r1')
    cluster.run(2.0)
    cluster.deaf.clear()
    cluster.run(2.0)


def arm_lost_to_one_rank(cluster):
    """Let one rank hear nothing after it has staged."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].state == 'staged')
    cluster.deaf.add('r1')
    cluster.run(2.0)
    cluster.deaf.clear()
    cluster.run(2.0)


def rejoin_beside_an_isolated_coordinator(cluster):
    """Restart a rank that only reaches a coordinator of the past."""
    cluster.cut.add('a')
    cluster.lead('b')
    cluster.request('b')
    cluster.run(2.0)
    cluster.cut = {'b', 'c'}
    cluster.apart.add('a')
    cluster.start_rank('r0')
    cluster.run(2.0)


def rejoin_while_a_commit_is_under_way(cluster):
    """Restart an armed rank while the log cannot commit."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.hosts['a'].state == 'committing')
    cluster.cut.add('log')
    cluster.pool = [p for p in cluster.pool if p.target != 'log']
    cluster.run(1.0)
    cluster.start_rank('r2')
    cluster.run(1.0)
    cluster.cut.clear()
    cluster.run(2.0)


def answer_that_outlives_a_restart(cluster):
    """Deliver an answer that was sent to an earlier start of a rank."""
    cluster.start_rank('r0')
    cluster.run(1.0)
    late = cluster.answers()[-1]
    cluster.request('a')
    cluster.run(2.0)
    cluster.cut = {'a', 'b', 'c'}
    cluster.start_rank('r0')
    cluster.feed('r0', mapswitch.Received(late))
    cluster.run(2.0)
    cluster.cut = set()
    cluster.run(2.0)


def restart_of_all_agents(cluster):
    """Restart all agents while one engine is a step behind."""
    cluster.run(1.0)
    cluster.paused.add('r1')
    cluster.run(0.5)
    for name in list(cluster.ranks):
        cluster.start_rank(name)
    cluster.cut.add('a')
    cluster.lead('b')
    cluster.request('b')
    cluster.run(1.0)
    cluster.paused.clear()
    cluster.run(2.0)


def restart_of_a_leaving_rank_that_has_armed(cluster):
    """Restart a leaving rank while another has not armed yet."""
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run_until(lambda: cluster.ranks['r1'].state == 'staged')
    cluster.deaf.add('r1')
    cluster.paused.add('r1')
    cluster.run_until(lambda: 'r3' in cluster.hosts['a'].roster.armed)
    cluster.start_rank('r3')
    cluster.run(1.0)
    cluster.deaf.clear()
    cluster.run_until(lambda: cluster.hosts['a'].state != 'arming')
    cluster.deaf.add('r3')
    cluster.paused.clear()
    cluster.run(2.0)


PLANTED = [
    (TrustsArmsOfFormerStarts, restart_of_a_leaving_rank_that_has_armed),
    (ForgetsStartedSteps, restart_of_all_agents),
    (SwitchesWithoutCommit, coordinator_cut_off_after_arming),
    (ProceedsUnheard, outcome_lost_to_one_rank),
    (TakesAnyAnswer, answer_that_outlives_a_restart),
    (AnswersFromMemory, rejoin_beside_an_isolated_coordinator),
    (AnswersWhileUndecided, rejoin_while_a_commit_is_under_way),
    (CommitsBeforeArm, arm_lost_to_one_rank),
]


@pytest.mark.parametrize(('fault', 'scenario'), PLANTED)
def test_real_machines_pass_the_scenario(fault, scenario):
    scenario(clusters.started())


@pytest.mark.parametrize(('fault', 'scenario'), PLANTED)
def test_planted_fault_is_caught(fault, scenario):
    planted = (
        {'host_class': fault}
        if issubclass(fault, mapswitch.Coordinator)
        else {'rank_class': fault}
    )
    cluster = clusters.started(**planted)
    with pytest.raises(clusters.OneMapBroken):
        scenario(cluster)
