"""Tests of orders to release a pass that take effect late."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import planning
from tests.core.rankmaps import agents as simulated
from tests.core.rankmaps import group as simulation

ARM = rankmaps.OrderKind.ARM
GO = rankmaps.OrderKind.GO
NEVER_S = 1e6


class LateOrders:
    """Withholds orders of some kinds, to be carried out later.

    Orders to arm are withheld from rank 0 only, so that the others are armed.

    Attributes:
        kinds: the kinds of orders that are withheld now.
        withheld: the orders that have had no effect so far, by kind.
    """

    def __init__(self, group, *kinds):
        """Withhold orders of some kinds from now on."""
        self.kinds = kinds
        self.withheld = {}
        group.lateness_of = self._lateness

    def _lateness(self, order):
        is_armed_in_time = order.kind is ARM and order.rank != 0
        if order.kind not in self.kinds or is_armed_in_time:
            return None
        self.withheld.setdefault(order.kind, []).append(order)
        return NEVER_S


def _run_until(group, condition):
    ends_at = group.now + 20.0
    while not condition():
        assert_that(group.now, matchers.LessThan(ends_at))
        group.run(group.now + 0.005)


def _is_armed(group):
    return any(rank.armed for rank in group.ranks)


@pytest.mark.parametrize('size', [2, 3, 8])
def test_a_late_release_leaves_the_hold_of_a_later_switch_in_place(
    size, monkeypatch
):
    # Otherwise the pass begins while some ranks are armed.
    monkeypatch.setattr(planning, 'min_gain', lambda load_pressure: 0.0)
    group = simulation.Group(size, 0.0, random.Random(size))
    agents = simulated.start_all(group)
    own = agents[0].coordinator
    group.run(3.0)
    # A switch that is committed already releases its pass in time.
    _run_until(group, lambda: own.active is None and not _is_armed(group))
    late = LateOrders(group, ARM, GO)
    _run_until(group, lambda: _is_armed(group))
    group.has_requests = False
    first = own.active
    _run_until(group, lambda: GO in late.withheld)
    late.kinds = (ARM,)
    (release,) = late.withheld[GO]
    _run_until(
        group, lambda: own.active not in (None, first) and _is_armed(group)
    )
    group.carry_out(release)
    held = [rank.held for rank in group.ranks if rank.held is not None]
    assert_that(held, matchers.HasLength(1))
    # Raises TwoMapsError if the pass begins on two maps.
    group.has_requests = True
    group.run(group.now + 5.0)


def test_late_releases_do_not_let_a_recovery_split_a_later_switch():
    # Otherwise its pass begins while the recovery disarms the ranks.
    group = simulation.Group(3, 0.0, random.Random(1))
    group.has_requests = False
    agents = simulation.Agents(group)
    agents.drive(simulation.switch(group, 3, 1), 2.0)
    armed_step = group.ranks[0].armed.step
    # An order to hold an earlier pass takes effect late.
    hold = rankmaps.Order(rankmaps.OrderKind.HOLD, 1, 1, step=armed_step - 1)
    group.carry_out(hold)
    recovery = simulation.recovery(group, 7, guard=2)

    def lateness_of(order):
        is_late = order.kind is rankmaps.OrderKind.DISARM and order.rank == 2
        return 1.0 if is_late else None

    group.lateness_of = lateness_of

    def release_all():
        # Late orders of an earlier recovery of that pass.
        for rank in range(3):
            group.carry_out(attrs.evolve(hold, kind=GO, rank=rank))
        group.has_requests = True

    def watch():
        is_split = any(rank.armed is None for rank in group.ranks)
        if is_split or recovery.is_over:
            release_all()
        else:
            group.call_later(0.001, watch)

    watch()
    # Raises TwoMapsError if the pass begins on two maps.
    agents.drive(recovery, group.now + 6.0)
    assert_that(group.ranks[0].map_version, matchers.Equals(3))


@pytest.mark.parametrize('size', [2, 3])
def test_a_woken_coordinator_does_not_release_the_guard_of_a_recovery(
    size, monkeypatch
):
    # Otherwise the pass begins while the recovery disarms the ranks.
    monkeypatch.setattr(planning, 'min_gain', lambda load_pressure: 0.0)
    # The rank of the frozen coordinator can't be read by others.
    monkeypatch.setattr(simulated.Agent, '_read_engine', lambda *_: None)
    group = simulation.Group(size, 0.0, random.Random(size))
    agents = simulated.start_all(group)
    group.run(3.0)
    disarmed = set()

    def lateness_of(order):
        if not agents[0].is_frozen and not disarmed:
            if order.kind is not GO:
                return None
            agents[0].freeze(4.0)
            return NEVER_S
        if order.kind is rankmaps.OrderKind.DISARM:
            if order.rank == 0:
                return NEVER_S
            disarmed.add(order.rank)
            if len(disarmed) == size - 1:
                agents[0].thaw()
        # The guard can't be placed again in time.
        is_hold = order.kind is rankmaps.OrderKind.HOLD
        return NEVER_S if is_hold and disarmed else None

    group.lateness_of = lateness_of
    # Raises TwoMapsError if the pass begins on two maps.
    group.run(20.0)
    monkeypatch.undo()
    group.lateness_of = lambda order: None
    step = group.step
    group.run(40.0)
    assert_that(group.step, matchers.GreaterThan(step + 100))
