"""Tests the switch with random orders of messages, steps and failures."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NUMBERS = strategies.integers(0, 10**6)


class SwitchMachine(stateful.RuleBasedStateMachine):
    """Delivers, drops and duplicates messages; ends and restarts ranks."""

    def __init__(self):
        """Start a group that runs on its first map."""
        super().__init__()
        self.cluster = clusters.start_cluster(ranks=3)

    def _pick(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    @stateful.rule(numbers=strategies.lists(NUMBERS, max_size=8))
    def deliver(self, numbers):
        """Deliver events in any order."""
        for number in numbers:
            pending = self._pick(self.cluster.in_flight, number)
            if pending is not None:
                self.cluster.deliver(pending)

    @stateful.rule(number=NUMBERS)
    def lose(self, number):
        """Drop an event in flight."""
        pending = self._pick(self.cluster.in_flight, number)
        if pending is not None:
            self.cluster.in_flight.remove(pending)

    @stateful.rule(number=NUMBERS)
    def double(self, number):
        """Duplicate an event in flight."""
        pending = self._pick(self.cluster.in_flight, number)
        if pending is not None:
            self.cluster.in_flight.append(
                clusters.PendingEvent(
                    pending.due, pending.target, pending.event
                )
            )

    @stateful.rule(number=NUMBERS, steps=strategies.integers(1, 12))
    def start_steps(self, number, steps):
        """Start steps on all ranks in turn, beginning with a drawn one."""
        names = sorted(self.cluster.ranks)
        for _ in range(steps):
            for offset in range(len(names)):
                self.cluster.try_step(self._pick(names, number + offset))

    @stateful.rule(number=NUMBERS)
    def start_one_step(self, number):
        """Try to start the next step of one rank."""
        self.cluster.try_step(self._pick(sorted(self.cluster.ranks), number))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.3, 4.0]))
    def pass_time(self, seconds):
        """Advance the time without delivering events."""
        self.cluster.now += seconds
        self.cluster.tick()

    @stateful.rule(number=NUMBERS)
    def restart_rank(self, number):
        """Restart the agent of a rank."""
        self.cluster.start_rank(self._pick(sorted(self.cluster.ranks), number))

    @stateful.rule(number=NUMBERS)
    def lose_rank(self, number):
        """Remove a rank and report it as gone to all hosts."""
        if len(self.cluster.ranks) < 3:
            return
        name = self._pick(sorted(self.cluster.ranks), number)
        lost = self.cluster.ranks.pop(name)
        gone = mapswitch.RankGone(name, lost.cfg.incarnation)
        for host in self.cluster.hosts:
            self.cluster.feed(host, gone)

    @stateful.rule()
    def bring_back_ranks(self):
        """Start the removed ranks again."""
        for name in ('r0', 'r1', 'r2'):
            if name not in self.cluster.ranks:
                self.cluster.start_rank(name)

    @stateful.rule(number=NUMBERS)
    def roll_back(self, number):
        """Request a rollback at any host."""
        self.cluster.feed(
            self._pick('abc', number), mapswitch.RollbackRequested()
        )

    @stateful.rule(number=NUMBERS)
    def change_leader(self, number):
        """Make any host the leader; the previous leader gets no event."""
        self.cluster.make_leader(self._pick('abc', number))

    @stateful.rule(number=NUMBERS, drain=strategies.booleans())
    def ask_for_switch(self, number, drain):
        """Request a switch at any host, with or without the last rank."""
        ranks = sorted(self.cluster.ranks)[: 2 if drain else 3]
        self.cluster.request(self._pick('abc', number), ranks)

    @stateful.rule(number=NUMBERS)
    def toggle_cut(self, number):
        """Disconnect a host, or connect it again."""
        self.cluster.disconnected ^= {self._pick('abc', number)}

    @stateful.rule()
    def quiet_time(self):
        """Run without further failures for half a second."""
        self.cluster.run(0.5)

    @stateful.invariant()
    def one_map_for_each_step(self):
        """Check that every step ran on its committed map."""
        self.cluster.check()


def test_every_step_runs_on_one_map():
    stateful.run_state_machine_as_test(SwitchMachine, settings=SETTINGS)
