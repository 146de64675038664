"""Tests of the selection of a coordinator, and of silent agents."""

import collections
import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from tests.core.rankmaps import agents as simulated
from tests.core.rankmaps import group as simulation

# Streams of the users are late after a longer pause.
LONGEST_PAUSE_S = 0.15


@pytest.fixture
def fleet():
    """Return a group with an agent beside each rank."""

    def make(seed, late=0.0, size=8):
        group = simulation.Group(size, late, random.Random(seed))
        return group, simulated.start_all(group)

    return make


def test_only_the_lowest_rank_switches_maps(fleet):
    group, agents = fleet(1)
    group.run(5.0)
    assert_that(agents[0].coordinator.switches, matchers.GreaterThan(0))
    others = [agent.coordinator.switches for agent in agents.values()]
    assert_that(sum(others[1:]), matchers.Equals(0))
    assert_that(group.begun[-1][1] % 8, matchers.Equals(0))
    assert_that(group.stalled_s, matchers.LessThan(0.1))


def test_switches_of_slow_hosts_stall_their_group(fleet):
    group, agents = fleet(1)
    group.order_s = 0.08
    group.run(30.0)
    assert_that(agents[0].coordinator.switches, matchers.GreaterThan(5))
    pause_s = simulation.PASS_S + group.longest_stall_s
    assert_that(pause_s, matchers.LessThan(LONGEST_PAUSE_S))


def _freeze_in(phases, agents, rank, group, frozen_s):
    """Return a call that freezes an agent in given phases of a switch."""

    def freeze():
        active = agents[0].coordinator.active
        if getattr(active, 'phase', None) in phases:
            agents[rank].freeze(frozen_s)
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


@pytest.mark.parametrize('seed', range(8))
def test_a_woken_coordinator_does_not_release_the_hold_of_a_recovery(
    fleet, seed
):
    # Its order to release the pass got no answer, so another agent recovers.
    group, agents = fleet(seed)
    frozen_ranks, disarmed = [], set()

    def lateness_of(order):
        armed = [rank.armed for rank in group.ranks]
        if not frozen_ranks:
            is_release = order.kind is rankmaps.OrderKind.GO
            if is_release and armed[0] and len(set(armed)) == 1:
                frozen_ranks.append(0)
                agents[0].freeze(4.0)
                return 6.0
            return None
        if order.kind is rankmaps.OrderKind.DISARM:
            if order.rank == 0:
                return 6.0
            disarmed.add(order.rank)
            if len(disarmed) == 7:
                agents[0].thaw()
        return None

    group.lateness_of = lateness_of
    group.run(16.0)
    assert_that(disarmed, matchers.HasLength(7))


def test_a_restarted_coordinator_uses_no_version_again(fleet):
    # Ranks do not compare maps, and one may still prepare the former map
    # under a version that no report shows.
    group, agents = fleet(1)
    sent = []

    def lateness_of(order):
        if order.kind is rankmaps.OrderKind.PREPARE:
            sent.append((order.version, order.lists))
            if agents[0].coordinator is first:
                return 6.0
        return None

    first = agents[0].coordinator
    group.lateness_of = lateness_of
    while not sent:
        group.run(group.now + 0.01)
        assert_that(group.now, matchers.LessThan(10.0))
    # The other agents are down as well, so that none coordinates meanwhile.
    for agent in agents.values():
        agent.kill(3.0)
    group.run(group.now + 10.0)
    maps = collections.defaultdict(set)
    for version, lists in sent:
        maps[version].add(lists)
    assert_that(len(maps), matchers.GreaterThan(1))
    assert_that(
        [len(used) for used in maps.values()],
        matchers.Equals([1] * len(maps)),
    )


def test_the_next_rank_takes_over(fleet):
    group, agents = fleet(1)
    agents[0].freeze(6.0)
    agents[1].freeze(6.0)
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
