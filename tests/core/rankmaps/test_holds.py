"""Tests of the release of passes that no process remembers holding."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from tests.core.rankmaps import agents as simulated
from tests.core.rankmaps import group as simulation

LATE_S = 6.0
# Time that a restarted system has to serve requests again.
RECOVERY_S = 12.0


@pytest.fixture(params=[2, 4, 8])
def waiting(request):
    """Return a group that waits at a held pass, and its agents.

    Orders to arm the last rank are late, as those of ``review/3``.
    """
    size = request.param
    group = simulation.Group(size, 0.0, random.Random(size))
    group.patience_s = 2.0
    agents = simulated.start_all(group)

    def lateness_of(order):
        is_late = order.kind is rankmaps.OrderKind.ARM and (
            order.rank == size - 1
        )
        return LATE_S if is_late else None

    group.lateness_of = lateness_of
    while group.stalled_s == 0.0 or not any(_holds(group)):
        assert_that(group.now, matchers.LessThan(30.0))
        group.run(group.now + 0.01)
    group.lateness_of = lambda order: None
    return group, agents


def _holds(group):
    return [rank.held for rank in group.ranks if rank.held is not None]


def _restart_all(group, agents):
    """Kill all agents, start them 1 s later and let them recover."""
    for agent in agents.values():
        agent.kill(1.0)
    group.run(group.now + RECOVERY_S)


def _assert_goes_on(group):
    step = group.step
    group.run(group.now + 2.0)
    assert_that(group.step, matchers.GreaterThan(step + 10))


def test_a_held_pass_is_released_after_all_agents_were_killed(waiting):
    # Otherwise nobody knows of the hold, and no request is served any more.
    group, agents = waiting
    _restart_all(group, agents)
    _assert_goes_on(group)


def test_a_held_pass_is_released_if_the_coordinators_rank_is_idle(waiting):
    # Otherwise the requests that wait at other ranks are not seen.
    group, agents = waiting
    group.idle_ranks = frozenset({0})
    _restart_all(group, agents)
    _assert_goes_on(group)


def test_a_pass_of_an_idle_group_is_released_before_requests_arrive(waiting):
    group, agents = waiting
    group.has_requests = False
    _restart_all(group, agents)
    assert_that(_holds(group), matchers.Equals([]))


def test_a_hold_that_is_placed_after_its_switch_is_released(waiting):
    group, agents = waiting
    group.has_requests = False
    group.run(group.now + RECOVERY_S)
    hold = rankmaps.OrderKind.HOLD
    group.carry_out(rankmaps.Order(hold, 1, 1, step=group.step + 2))
    group.run(group.now + RECOVERY_S)
    assert_that(_holds(group), matchers.Equals([]))


def test_a_group_is_released_whose_ranks_all_hold_the_pass(waiting):
    group, agents = waiting
    hold = rankmaps.OrderKind.HOLD
    for rank in range(group.size):
        group.carry_out(rankmaps.Order(hold, rank, 1, step=group.step + 1))
    _restart_all(group, agents)
    _assert_goes_on(group)


def test_a_coordinator_that_is_slow_to_arm_is_not_replaced(waiting):
    group, agents = waiting
    size = group.size
    # Each order to arm needs 0.4 s, less than a switch may wait for it.
    arm = rankmaps.OrderKind.ARM
    group.lateness_of = lambda order: 0.4 if order.kind is arm else None
    recovering = []

    def watch():
        recovering.extend(
            agent.rank
            for agent in agents.values()
            if isinstance(agent.coordinator.active, rankmaps.Recovery)
        )
        group.call_later(0.01, watch)

    watch()
    group.run(group.now + 10.0)
    assert_that(recovering, matchers.Equals([]))
    assert_that(agents[0].coordinator.switches, matchers.GreaterThan(size))
