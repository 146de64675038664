"""Tests that the cluster's checks detect faults planted in the machines.

Each scenario passes with the real machines and fails with the faulty one.
"""

import pytest

from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters


class SwitchesWithoutCommit(mapswitch.RankSwitch):
    """Runs on the staged map without waiting for the commit."""

    def _check_step(self, step):
        held_order = self.held_order
        if held_order is not None and step >= held_order.step:
            return mapswitch.Proceed(held_order.version)
        return super()._check_step(step)


class ProceedsWithoutOutcome(mapswitch.RankSwitch):
    """Continues on the current map while the outcome is not known."""

    def _check_step(self, step):
        held_order, self.held_order = self.held_order, None
        try:
            return super()._check_step(step)
        finally:
            self.held_order = held_order


class AcceptsAnyNonce(mapswitch.RankSwitch):
    """Accepts an answer to an ``Ask`` of an earlier incarnation."""

    def _on_event(self, event, now):
        message = getattr(event, 'message', None)
        if isinstance(message, mapswitch.Answer):
            self._nonce = message.nonce
        super()._on_event(event, now)


class AssumesNoStartedStep(mapswitch.RankSwitch):
    """Assumes after a restart that the engine has started no step."""

    @classmethod
    def from_config(cls, cfg, rng=None):
        """Return a machine with no started step."""
        machine = super().from_config(cfg, rng)
        machine.started_step = -1
        return machine


class AnswersWithoutBarrier(mapswitch.Coordinator):
    """Answers a restarted rank from local state, without a barrier."""

    def _request_barrier(self, ask):
        super()._request_barrier(ask)
        ticket = self._effects.pop().ticket
        self._on_event(mapswitch.BarrierPassed(ticket))


class AnswersWhileUndecided(mapswitch.Coordinator):
    """Answers a restarted rank while a commit may be in progress."""

    def _on_event(self, event):
        message = getattr(event, 'message', None)
        state = self.state
        if isinstance(event, mapswitch.BarrierPassed):
            self.state = 'idle'
        if isinstance(message, mapswitch.Ask):
            self._request_barrier(message)
        else:
            super()._on_event(event)
        if isinstance(event, mapswitch.BarrierPassed):
            self.state = state


class CountsArmsOfOldIncarnations(mapswitch.Coordinator):
    """Counts the ``Armed`` of a rank that has restarted since."""

    def _abandon(self, reason):
        if 'restarted' not in reason:
            super()._abandon(reason)


class CommitsBeforeArm(mapswitch.Coordinator):
    """Commits when all ranks have staged, before any has armed."""

    def _send_arm(self):
        super()._send_arm()
        self.all_armed()


def disconnect_coordinator_after_arming(cluster):
    """Let a new coordinator abort a switch that all ranks have armed."""
    cluster.request('a')
    cluster.run_until(
        lambda: all(r.held_order for r in cluster.ranks.values())
    )
    cluster.disconnected.add('a')
    cluster.run(1.0)
    cluster.make_leader('b')
    cluster.run(2.0)


def lose_outcome_at_one_rank(cluster):
    """Block messages to one rank from when it has armed."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].held_order)
    cluster.receive_blocked.add('r1')
    cluster.run(2.0)
    cluster.receive_blocked.clear()
    cluster.run(2.0)


def lose_arm_at_one_rank(cluster):
    """Block messages to one rank from when it has staged."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].state == 'staged')
    cluster.receive_blocked.add('r1')
    cluster.run(2.0)
    cluster.receive_blocked.clear()
    cluster.run(2.0)


def restart_rank_beside_deposed_coordinator(cluster):
    """Restart a rank that only reaches a deposed coordinator."""
    cluster.disconnected.add('a')
    cluster.make_leader('b')
    cluster.request('b')
    cluster.run(2.0)
    cluster.disconnected = {'b', 'c'}
    cluster.without_quorum.add('a')
    cluster.start_rank('r0')
    cluster.run(2.0)


def restart_rank_during_commit(cluster):
    """Restart an armed rank while the commit cannot reach the log."""
    cluster.request('a')
    cluster.run_until(lambda: cluster.hosts['a'].state == 'committing')
    cluster.disconnected.add('log')
    cluster.in_flight = [p for p in cluster.in_flight if p.target != 'log']
    cluster.run(1.0)
    cluster.start_rank('r2')
    cluster.run(1.0)
    cluster.disconnected.clear()
    cluster.run(2.0)


def deliver_stale_answer_after_restart(cluster):
    """Deliver an answer that was sent to an earlier incarnation."""
    cluster.start_rank('r0')
    cluster.run(1.0)
    stale_answer = cluster.sent_answers()[-1]
    cluster.request('a')
    cluster.run(2.0)
    cluster.disconnected = {'a', 'b', 'c'}
    cluster.start_rank('r0')
    cluster.feed('r0', mapswitch.Received(stale_answer))
    cluster.run(2.0)
    cluster.disconnected = set()
    cluster.run(2.0)


def restart_all_agents(cluster):
    """Restart all agents while one engine is a step behind."""
    cluster.run(1.0)
    cluster.engine_paused.add('r1')
    cluster.run(0.5)
    for name in list(cluster.ranks):
        cluster.start_rank(name)
    cluster.disconnected.add('a')
    cluster.make_leader('b')
    cluster.request('b')
    cluster.run(1.0)
    cluster.engine_paused.clear()
    cluster.run(2.0)


def restart_leaving_rank_after_arming(cluster):
    """Restart an armed rank that leaves while another has not armed."""
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run_until(lambda: cluster.ranks['r1'].state == 'staged')
    cluster.receive_blocked.add('r1')
    cluster.engine_paused.add('r1')
    cluster.run_until(lambda: 'r3' in cluster.hosts['a'].roster.armed)
    cluster.start_rank('r3')
    cluster.run(1.0)
    cluster.receive_blocked.clear()
    cluster.run_until(lambda: cluster.hosts['a'].state != 'arming')
    cluster.receive_blocked.add('r3')
    cluster.engine_paused.clear()
    cluster.run(2.0)


PLANTED_FAULTS = [
    (CountsArmsOfOldIncarnations, restart_leaving_rank_after_arming),
    (AssumesNoStartedStep, restart_all_agents),
    (SwitchesWithoutCommit, disconnect_coordinator_after_arming),
    (ProceedsWithoutOutcome, lose_outcome_at_one_rank),
    (AcceptsAnyNonce, deliver_stale_answer_after_restart),
    (AnswersWithoutBarrier, restart_rank_beside_deposed_coordinator),
    (AnswersWhileUndecided, restart_rank_during_commit),
    (CommitsBeforeArm, lose_arm_at_one_rank),
]


@pytest.mark.parametrize(('fault', 'scenario'), PLANTED_FAULTS)
def test_real_machines_pass_the_scenario(fault, scenario):
    scenario(clusters.start_cluster())


@pytest.mark.parametrize(('fault', 'scenario'), PLANTED_FAULTS)
def test_planted_fault_is_caught(fault, scenario):
    planted = (
        {'host_class': fault}
        if issubclass(fault, mapswitch.Coordinator)
        else {'rank_class': fault}
    )
    cluster = clusters.start_cluster(**planted)
    with pytest.raises(clusters.MixedMapsError):
        scenario(cluster)
