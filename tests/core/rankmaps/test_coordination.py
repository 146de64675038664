"""Tests of the selection of a coordinator, and of silent agents."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from tests.core.rankmaps import group as simulation

SHAPE = rankmaps.GroupShape(8, 1, 16, 4, 2, 6)
STATUS_S = 0.5
DRIVE_S = 0.05
HOP_S = 0.002


@attrs.define(eq=False)
class Agent:
    """The agent of one rank; calls its coordinator as the process does.

    Attributes:
        frozen_until: time until which the process is stopped.
        remote_orders: calls to the engines of other agents.
    """

    group: simulation.Group
    rank: int
    agents: dict
    frozen_until: float = 0.0
    coordinator: rankmaps.Coordinator = None
    remote_orders: int = 0

    def start(self):
        """Create the coordinator and schedule the agent's loops."""
        self.coordinator = rankmaps.Coordinator(
            self.group.report(self.rank), f'h{self.rank}', SHAPE
        )
        offset = 0.01 * self.rank
        self.group.call_later(offset, self.poll_engine)
        self.group.call_later(offset, self.drive)
        self.group.call_later(offset, self.beacon)

    @property
    def is_frozen(self):
        """Whether the process is stopped."""
        return self.group.now < self.frozen_until

    def poll_engine(self):
        """Read the engine and send its status to every agent."""
        self.group.call_later(STATUS_S, self.poll_engine)
        if self.is_frozen:
            return
        now = self.group.now
        report = self.group.report(self.rank)
        own = self.coordinator
        own.record_own_report(report, now)
        used = self.group.ranks[self.rank].lists or rankmaps.first_map(SHAPE)
        lists = tuple(rows[self.rank] for rows in used)
        # The popular experts change every two seconds.
        hot = int(now / 2) % 8
        counts = [100 if e % 8 == hot else 5 for e in range(16)]
        status = rankmaps.RankStatus(
            own.host, report, lists, rankmaps.Choices.from_counts(counts)
        )
        for agent in self.agents.values():
            if agent is self:
                own.handle_status(status, now)
            elif not agent.is_frozen:
                agent.coordinator.handle_status(status, now)

    def beacon(self):
        """Send a beacon to the group while this agent coordinates."""
        self.group.call_later(rankmaps.BEACON_INTERVAL_S, self.beacon)
        now = self.group.now
        own = self.coordinator
        if not self.is_frozen and own.coordinates(now):
            report = own.own_report
            beacon = rankmaps.GroupBeacon(
                own.host, report.group, report.epoch, self.rank
            )
            for agent in self.agents.values():
                if agent is not self and not agent.is_frozen:
                    agent.coordinator.handle_beacon(beacon, now)

    def drive(self):
        """Send the due orders at a fixed interval."""
        self.group.call_later(DRIVE_S, self.drive)
        self.send_due_orders()

    def send_due_orders(self):
        """Send the orders that are due now."""
        if self.is_frozen:
            return
        own = self.coordinator
        now = self.group.now
        for order in own.orders(now):
            agent = self.agents[order.rank]
            if own.active is not None and own.active.is_unanswered(order.rank):
                self.remote_orders += 1
                if self.group.carry_out(order):
                    known = own.last_report(order.rank)
                    self._record_report(order.applied_to(known))
                else:
                    self._record_report(self.group.report(order.rank))
            elif not agent.is_frozen:
                agent.coordinator.keep_prepared_map(order)
                self.group.send_order(
                    order, lambda rank=order.rank: self._answered(rank)
                )
        for rank in own.ranks_to_poll(now):
            if not self.agents[rank].is_frozen:
                self.remote_orders += 1
                self._record_report(self.group.report(rank))

    def _answered(self, rank):
        if not self.is_frozen and not self.agents[rank].is_frozen:
            self._record_report(self.group.report(rank))

    def _record_report(self, report):
        own = self.coordinator
        if report.rank == self.rank:
            own.record_own_report(report, self.group.now)
        own.handle_status(
            rankmaps.RankStatus(f'h{report.rank}', report), self.group.now
        )
        self.group.call_later(HOP_S, self.send_due_orders)


@pytest.fixture
def fleet():
    """Return a group with an agent beside each rank."""

    def make(seed, late=0.0):
        group = simulation.Group(8, late, random.Random(seed))
        agents = {}
        for rank in range(8):
            agents[rank] = Agent(group, rank, agents)
        for agent in agents.values():
            agent.start()
        return group, agents

    return make


def test_only_the_lowest_rank_switches_maps(fleet):
    group, agents = fleet(1)
    group.run(5.0)
    assert_that(agents[0].coordinator.switches, matchers.GreaterThan(0))
    others = [agent.coordinator.switches for agent in agents.values()]
    assert_that(sum(others[1:]), matchers.Equals(0))
    assert_that(group.begun[-1][1] % 8, matchers.Equals(0))
    assert_that(group.stalled_s, matchers.LessThan(0.1))


def _freeze_in(phases, agents, rank, group, frozen_s):
    """Return a call that freezes an agent in given phases of a switch."""

    def freeze():
        active = agents[0].coordinator.active
        if getattr(active, 'phase', None) in phases:
            agents[rank].frozen_until = group.now + frozen_s
            return
        group.call_later(0.001, freeze)

    return freeze


@pytest.mark.parametrize('late', [0.0, 0.35])
@pytest.mark.parametrize('rank', range(8))
@pytest.mark.parametrize('seed', range(12))
def test_a_frozen_host_in_a_switch_never_gives_two_maps(
    fleet, rank, seed, late
):
    group, agents = fleet(seed, late)
    phases = list(rankmaps.Phase)[1 + seed % 4 :][:1]
    start = random.Random(seed).uniform(0.5, 2.0)
    group.call_later(start, _freeze_in(phases, agents, rank, group, 4.0))
    group.run(20.0)
    # An aborted switch holds the group for about a second.
    step = group.step
    group.run(23.0)
    assert_that(group.step, matchers.GreaterThan(step + 10))


@pytest.mark.parametrize('seed', range(12))
def test_a_coordinator_lost_after_its_hold_is_replaced_within_2_s(fleet, seed):
    group, agents = fleet(seed)
    phases = [rankmaps.Phase.HOLD, rankmaps.Phase.ARM][seed % 2 :]
    start = random.Random(seed).uniform(0.5, 2.0)
    group.call_later(start, _freeze_in(phases, agents, 0, group, 6.0))
    group.run(12.0)
    # The bound covers the beacon time-out, a status of each rank and the
    # orders.
    assert_that(group.stalled_s, matchers.LessThan(2.0))


def test_the_next_rank_takes_over(fleet):
    group, agents = fleet(1)
    agents[0].frozen_until = 6.0
    agents[1].frozen_until = 6.0
    group.run(5.0)
    coordinating = [
        rank
        for rank, agent in agents.items()
        if not agent.is_frozen and agent.coordinator.coordinates(group.now)
    ]
    assert_that(coordinating, matchers.Equals([2]))
    group.run(9.0)
    coordinating = [
        rank
        for rank, agent in agents.items()
        if agent.coordinator.coordinates(group.now)
    ]
    assert_that(coordinating, matchers.Equals([0]))


def test_a_slow_group_does_not_start_a_recovery(fleet):
    group, agents = fleet(1)
    group.run(4.0)
    own = agents[0].coordinator
    report = attrs.evolve(group.report(0), step=10_000)
    for second in range(10):
        own.record_own_report(report, 4.0 + 0.1 * second)
        own.orders(4.0 + 0.1 * second)
    assert_that(isinstance(own.active, rankmaps.Recovery), matchers.Is(False))


def test_a_group_formed_anew_keeps_its_demand(fleet):
    # Otherwise it runs on the even map until it has seen enough choices.
    group, agents = fleet(1)
    group.run(4.0)
    own = agents[0].coordinator
    total = own._demand.total
    report = attrs.evolve(group.report(0), epoch=2)
    own.record_own_report(report, 14.0)
    choices = rankmaps.Choices.from_counts([1] * 16)
    own.handle_status(rankmaps.RankStatus('h0', report, (), choices), 14.5)
    assert_that(own._demand.total, matchers.Equals(total + 16))
    own.record_own_report(attrs.evolve(report, epoch=3, size=9), 15.0)
    assert_that((own._demand, own.shape.ranks), matchers.Equals((None, 9)))


def test_a_slow_rank_loses_experts_until_it_is_fast_again(fleet):
    group, agents = fleet(1)
    group.slowdowns[5] = 4.0
    group.run(6.0)
    held = [len(experts) for experts in group.ranks[0].lists[0]]
    assert_that(held[5], matchers.LessThan(min(held[:5] + held[6:])))
    group.slowdowns.clear()
    group.run(20.0)
    again = group.ranks[0].lists[0][5]
    assert_that(len(again) > held[5], matchers.Is(True))
