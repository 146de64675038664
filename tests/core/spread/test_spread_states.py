"""A state machine that explores schedules of the distribution."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from cassiashift_core.spread import control
from cassiashift_core.spread import events
from cassiashift_core.spread import quorum
from cassiashift_core.spread import spreader
from tests.core.spread import builders
from tests.scenarios import network

SIZES = (3, 2, 3, 3)
VOTERS = ('c0', 'c1', 'c2')
FOLLOWERS = ('r0', 'r1', 'e0', 'e1', 'e2', 'a0', 'a1', 'a2')
FAULTS = network.Faults(delay_s=(0.001, 0.3), loss=0.1, copies=0.1)
SETTLE_S = 40.0

some_voters = strategies.sets(strategies.sampled_from(VOTERS))
some_hosts = strategies.sets(
    strategies.sampled_from(VOTERS + FOLLOWERS), min_size=1, max_size=4
)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Commits, restarts, cuts and the passage of time, in any order."""

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def build(self, seed):
        """Start a tree with bad links and windows of 6 deltas."""
        self.tree = builders.Tree.build(
            seed, sizes=SIZES, faults=FAULTS, window_deltas=6
        )

    @stateful.rule(
        count=strategies.integers(1, 10),
        lagging=strategies.sampled_from((*VOTERS, None)),
        knowing=some_voters,
    )
    def commit(self, count, lagging, knowing):
        """Commit on all voters but ``lagging``; some of them learn of it."""
        holding = [host for host in VOTERS if host != lagging]
        for _ in range(count):
            self.tree.commit(
                knowing=sorted(knowing - {lagging}), holding=holding
            )

    @stateful.rule(knowing=strategies.sampled_from(VOTERS))
    def lose_the_only_informed_voter(self, knowing):
        """Commit a revision; cut off the only voter that knows of it."""
        self.heal_and_settle()
        others = [host for host in VOTERS if host != knowing]
        self.tree.commit(knowing=[knowing], holding=[knowing, others[0]])
        self.tree.net.run(3.0)
        self.isolate([knowing])
        for host in FOLLOWERS:
            self.tree.start(host)
        self.tree.net.run(6.0)

    @stateful.rule(stale=strategies.sampled_from(VOTERS))
    def restart_beside_stale_peers(self, stale):
        """Restart an entry that reaches only one stale voter and relay."""
        self.heal_and_settle()
        others = [host for host in VOTERS if host != stale]
        self.isolate([stale, 'r1'])
        self.tree.commit(knowing=others, holding=others)
        self.tree.net.run(3.0)
        self.tree.net.heal()
        self.tree.net.cut(['e0', 'r1', stale], [*others, 'r0'])
        self.tree.start('e0')
        self.tree.net.run(6.0)

    @stateful.rule(
        pair=strategies.sampled_from(
            [('c0', 'c1'), ('c1', 'c2'), ('c2', 'c0'), ('c1', 'c0')]
        )
    )
    def restart_an_informed_voter(self, pair):
        """Let two voters know of a commit; cut one off, restart the other."""
        self.heal_and_settle()
        before = self.tree.head
        self.tree.commit(knowing=pair, holding=pair)
        self.tree.net.run(3.0)
        self.isolate([pair[0]])
        self.tree.start(pair[1])
        self.tree.learn([pair[1]], index=before)
        for host in FOLLOWERS:
            self.tree.start(host)
        self.tree.net.run(6.0)

    def heal_and_settle(self):
        """End cuts and stops; let all committed revisions get into force."""
        self.tree.net.heal()
        self.tree.learn(VOTERS)
        for host in FOLLOWERS:
            if not self.tree.net.nodes[host].running:
                self.tree.start(host)
        for host in VOTERS:
            event = events.CommitAdvanced(self.tree.head + 1)
            self.tree.net.deliver(host, event)
        self.tree.net.run(6.0)

    def isolate(self, hosts):
        """Cut some hosts off from all others."""
        others = [host for host in self.tree.hosts() if host not in hosts]
        self.tree.net.cut(hosts, others)

    @stateful.rule(hosts=some_voters)
    def learn(self, hosts):
        """Let some control hosts learn what is committed."""
        self.tree.learn(sorted(hosts))

    @stateful.rule(host=strategies.sampled_from(VOTERS))
    def hold_an_uncommitted_tail(self, host):
        """Append a revision to one log that will never be committed."""
        tail = self.tree.head + 1
        self.tree.held.setdefault(host, []).append(tail)

    @stateful.rule(host=strategies.sampled_from(VOTERS + FOLLOWERS))
    def restart(self, host):
        """Restart a process, also one that is running."""
        self.tree.start(host)

    @stateful.rule(host=strategies.sampled_from(FOLLOWERS))
    def stop(self, host):
        """Kill a process."""
        self.tree.net.stop(host)

    @stateful.rule(hosts=some_hosts, both=strategies.booleans())
    def cut(self, hosts, both):
        """Cut some hosts off, perhaps in one direction only."""
        others = [host for host in self.tree.hosts() if host not in hosts]
        self.tree.net.cut(sorted(hosts), others, both=both)

    @stateful.rule()
    def heal(self):
        """End all cuts."""
        self.tree.net.heal()

    @stateful.rule(
        host=strategies.sampled_from(FOLLOWERS),
        ahead_s=strategies.sampled_from((2.0, 600.0)),
    )
    def jump(self, host, ahead_s):
        """Let a monotonic clock jump ahead, as after a suspension."""
        self.tree.net.nodes[host].clock_offset_s += ahead_s

    @stateful.rule(seconds=strategies.floats(0.1, 5.0))
    def run_for(self, seconds):
        """Let virtual time pass."""
        self.tree.net.run(seconds)

    @stateful.invariant()
    def revisions_only_rise(self):
        """Check that no host has had an older revision in force again."""
        if hasattr(self, 'tree'):
            assert not self.tree.violations, self.tree.violations

    def teardown(self):
        """Check that the last revision gets into force after the faults."""
        if not hasattr(self, 'tree'):
            return
        tree = self.tree
        self.heal_and_settle()
        tree.net.run(SETTLE_S)
        assert tree.hosts_behind() == []
        assert not tree.violations, tree.violations


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=int(os.environ.get('SEEDS', '40')),
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False,
)
# What hypothesis draws depends on which modules are loaded, so a planted
# fault gets more examples than SETTINGS; the run ends at the first failure.
PLANTED = hypothesis.settings(SETTINGS, max_examples=400)
SpreadMachine.TestCase.settings = SETTINGS
TestSpread = SpreadMachine.TestCase


def apply_any_delta(self, message, sender, now):
    """Apply deltas without a check of their revisions: a planted fault."""
    return [
        effect
        for delta in message.items
        for effect in self._apply_delta(delta)
    ]


@pytest.mark.parametrize(
    ('owner', 'name', 'fault'),
    [
        (spreader.Spreader, '_apply_deltas', apply_any_delta),
        (
            quorum.QuorumRead,
            'is_complete',
            lambda self, voters: bool(self.answers),
        ),
        (control.Control, 'released_revision', control.Control.own_revision),
        (control.Control, 'has_recovered', True),
    ],
    ids=['lower revision', 'trust one peer', 'release', 'answer'],
)
def test_schedules_detect_a_planted_fault(monkeypatch, owner, name, fault):
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(SpreadMachine, settings=PLANTED)
