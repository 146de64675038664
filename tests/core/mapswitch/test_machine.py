"""Explores the switch by a state machine."""

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
    """Delivers, loses and doubles messages; ends and restarts processes."""

    def __init__(self):
        """Start a group on its first map."""
        super().__init__()
        self.cluster = clusters.started(ranks=3)

    def _pick(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    @stateful.rule(numbers=strategies.lists(NUMBERS, max_size=8))
    def deliver(self, numbers):
        """Deliver parcels in any order."""
        for number in numbers:
            parcel = self._pick(self.cluster.pool, number)
            if parcel is not None:
                self.cluster.deliver(parcel)

    @stateful.rule(number=NUMBERS)
    def lose(self, number):
        """Lose a parcel."""
        parcel = self._pick(self.cluster.pool, number)
        if parcel is not None:
            self.cluster.pool.remove(parcel)

    @stateful.rule(number=NUMBERS)
    def double(self, number):
        """Double a parcel."""
        parcel = self._pick(self.cluster.pool, number)
        if parcel is not None:
            self.cluster.pool.append(
                clusters.Parcel(parcel.due, parcel.target, parcel.event)
            )

    @stateful.rule(number=NUMBERS, steps=strategies.integers(1, 12))
    def start_steps(self, number, steps):
        """Let ranks start steps, beginning with any of them."""
        names = sorted(self.cluster.ranks)
        for _ in range(steps):
            for offset in range(len(names)):
                self.cluster.try_step(self._pick(names, number + offset))

    @stateful.rule(number=NUMBERS)
    def start_one_step(self, number):
        """Let one rank start its next step."""
        self.cluster.try_step(self._pick(sorted(self.cluster.ranks), number))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.3, 4.0]))
    def pass_time(self, seconds):
        """Let time pass."""
        self.cluster.now += seconds
        self.cluster.tick()

    @stateful.rule(number=NUMBERS)
    def restart_rank(self, number):
        """Restart the agent of a rank."""
        self.cluster.start_rank(self._pick(sorted(self.cluster.ranks), number))

    @stateful.rule(number=NUMBERS)
    def lose_rank(self, number):
        """End a rank for good and tell all hosts."""
        if len(self.cluster.ranks) < 3:
            return
        name = self._pick(sorted(self.cluster.ranks), number)
        lost = self.cluster.ranks.pop(name)
        gone = mapswitch.RankGone(name, lost.cfg.incarnation)
        for host in self.cluster.hosts:
            self.cluster.feed(host, gone)

    @stateful.rule()
    def bring_back_ranks(self):
        """Start the ranks that were lost."""
        for name in ('r0', 'r1', 'r2'):
            if name not in self.cluster.ranks:
                self.cluster.start_rank(name)

    @stateful.rule(number=NUMBERS)
    def roll_back(self, number):
        """Ask any host for the former map."""
        self.cluster.feed(
            self._pick('abc', number), mapswitch.RollbackRequested()
        )

    @stateful.rule(number=NUMBERS)
    def change_leader(self, number):
        """Let any host lead; the former leader is not told."""
        self.cluster.lead(self._pick('abc', number))

    @stateful.rule(number=NUMBERS, drain=strategies.booleans())
    def ask_for_switch(self, number, drain):
        """Ask any host for a switch, with or without the last rank."""
        ranks = sorted(self.cluster.ranks)[: 2 if drain else 3]
        self.cluster.request(self._pick('abc', number), ranks)

    @stateful.rule(number=NUMBERS)
    def toggle_cut(self, number):
        """Cut a host off, or heal it."""
        self.cluster.cut ^= {self._pick('abc', number)}

    @stateful.rule()
    def quiet_time(self):
        """Let all go well for a while."""
        self.cluster.run(0.5)

    @stateful.invariant()
    def one_map_for_each_step(self):
        """Check every step against the log."""
        self.cluster.check()


def test_every_step_runs_on_one_map():
    stateful.run_state_machine_as_test(SwitchMachine, settings=SETTINGS)
