"""Tests that no pass begins on two maps under delays, losses and failures."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import switch as switches
from tests.core.rankmaps import group as simulation

SIZE = 8
SEEDS = range(40)


def _group(seed, late=0.0):
    return simulation.Group(SIZE, late, random.Random(seed))


def test_a_switch_takes_effect_without_a_stall():
    group = _group(1)
    machine = simulation.switch(group, 8, 1)
    simulation.Agents(group).drive(machine, 2.0)
    assert_that(machine.is_committed, matchers.Is(True))
    assert_that(machine.is_over, matchers.Is(True))
    assert_that(group.begun[-1][1], matchers.Equals(8))
    assert_that(group.stalled_s, matchers.Equals(0.0))


@pytest.mark.parametrize('seed', SEEDS)
def test_late_orders_and_lost_messages_never_give_two_maps(seed):
    group = _group(seed, late=0.35)
    agents = simulation.Agents(group, loss_rate=0.1)
    version = 8
    for number in range(1, 6):
        machine = simulation.switch(group, version, number)
        agents.drive(machine, group.now + 6.0)
        assert_that(machine.is_over, matchers.Is(True))
        version = machine.highest_version + SIZE
    group.run(group.now + 6.0)
    assert_that([r.held for r in group.ranks], matchers.Equals([None] * SIZE))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_recovery_releases_the_group_of_a_dead_coordinator(seed):
    group = _group(seed, late=0.2)
    agents = simulation.Agents(group)
    rng = random.Random(seed)
    machine = simulation.switch(group, 8, 1)
    dies_at = rng.uniform(0.0, 0.3)
    agents.drive(machine, 1.0, lambda: group.now < dies_at)
    held = [rank.held is not None for rank in group.ranks]
    if any(held):
        guard = held.index(False)
        recovery = simulation.recovery(group, 17, guard)
        agents.drive(recovery, group.now + 8.0)
        assert_that(recovery.is_over, matchers.Is(True))
    # Late orders may hold a pass again.
    for version in (33, 49, 65):
        held = [rank.held is not None for rank in group.ranks]
        if any(held):
            recovery = simulation.recovery(group, version, held.index(False))
            agents.drive(recovery, group.now + 8.0)
    step = group.step
    group.run(group.now + 1.0)
    assert_that(group.step, matchers.GreaterThan(step))


@pytest.mark.parametrize('seed', SEEDS)
def test_two_coordinators_at_once_never_give_two_maps(seed):
    group = _group(seed, late=0.2)
    agents = simulation.Agents(group, loss_rate=0.05)
    rng = random.Random(seed)
    first = simulation.switch(group, 8, 1)
    second = simulation.switch(group, 17, 2, rank=1)
    agents.drive(first, rng.uniform(0.0, 0.2))
    agents.drive(second, group.now + 8.0)
    group.run(group.now + 6.0)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_coordinator_that_returns_during_a_recovery_is_safe(seed):
    group = _group(seed, late=0.2)
    agents = simulation.Agents(group)
    rng = random.Random(seed)
    paused_at, resumed_at = rng.uniform(0.0, 0.2), rng.uniform(1.0, 1.2)
    machine = simulation.switch(group, 8, 1)
    agents.drive(machine, paused_at)
    group.run(1.0)
    held = [rank.held is not None for rank in group.ranks]
    if not any(held) or all(held):
        return
    recovery = simulation.recovery(group, 17, held.index(False))
    # The paused coordinator's ticks resume in the middle of the recovery.
    group.call_later(resumed_at - 1.0, lambda: _tick(agents, machine))
    agents.drive(recovery, group.now + 10.0)


def test_a_recovery_that_can_not_end_leaves_the_pass_held():
    # A rank was armed for a later pass by a switch that has ended since.
    group = _group(1)
    group.carry_out(rankmaps.Order(rankmaps.OrderKind.HOLD, 1, 1, step=9))
    recovery = simulation.recovery(group, 17, 7)
    lists = simulation.lists(1, SIZE)
    for kind in (rankmaps.OrderKind.PREPARE, rankmaps.OrderKind.ARM):
        group.carry_out(rankmaps.Order(kind, 3, 1, 11, 30, lists))
    simulation.Agents(group).drive(recovery, 12.0)
    assert_that(recovery.is_over, matchers.Is(True))
    held = [rank.held for rank in group.ranks]
    assert_that((held[1], held[7]), matchers.Equals((9, 9)))
    # The next one begins on new reports.
    recovery = simulation.recovery(group, 25, 6)
    simulation.Agents(group).drive(recovery, 24.0)
    assert_that(recovery.is_over, matchers.Is(True))
    assert_that(group.step, matchers.GreaterThan(9))


def _tick(agents, machine):
    group = agents.group
    if machine.is_over:
        return
    for order in machine.orders(group.now):
        agents._send(machine, order, lambda: True)
    group.call_later(0.02, lambda: _tick(agents, machine))


def test_a_new_epoch_ends_the_switch():
    group = _group(1)
    machine = simulation.switch(group, 8, 1)
    group.call_later(0.01, group.re_form)
    simulation.Agents(group).drive(machine, 3.0)
    assert_that(machine.is_over, matchers.Is(True))
    assert_that(machine.is_committed, matchers.Is(False))


class ReleasesEarly(rankmaps.Switch):
    """Planted fault: releases the pass without waiting for dead versions."""

    def _next_phase(self, now):
        if self.phase is switches.Phase.KILL:
            return switches.Phase.RELEASE
        return super()._next_phase(now)


class ArmsUnheld(rankmaps.Switch):
    """Planted fault: arms before the pass is held."""

    def _next_phase(self, now):
        next_phase = super()._next_phase(now)
        if next_phase is switches.Phase.HOLD:
            return switches.Phase.ARM
        return next_phase


class OnlyDisarms(rankmaps.Switch):
    """Planted fault: treats the version as dead if the rank is not armed."""

    def _is_dead_at(self, report):
        return report.armed is None


@pytest.mark.parametrize('fault', [ReleasesEarly, ArmsUnheld, OnlyDisarms])
def test_planted_faults_are_detected(fault):
    def run_switches(seed):
        group = _group(seed, late=0.5)
        for number in range(1, 8):
            template = simulation.switch(group, 16 * number, number)
            machine = fault(
                **{
                    field.name.lstrip('_'): getattr(template, field.name)
                    for field in attrs.fields(rankmaps.Switch)
                    if field.init
                }
            )
            simulation.Agents(group).drive(machine, group.now + 5.0)

    with pytest.raises(simulation.TwoMapsError):
        for seed in range(200):
            run_switches(seed)


def test_two_coordinators_use_different_versions():
    report = _group(1).report(0)
    one = rankmaps.version_after([report], 1, SIZE, floor=40)
    two = rankmaps.version_after([report], 2, SIZE, floor=40)
    assert_that(one, matchers.GreaterThan(40))
    assert_that(one % SIZE, matchers.Equals(1))
    assert_that(two % SIZE, matchers.Equals(2))


def _holding(step):
    """Return a switch of two ranks that have prepared; they report a pass."""
    machine = switches.Switch(
        epoch=1,
        size=2,
        own_rank=0,
        version=2,
        lists=(),
        previous_lists=(),
        started_at=0.0,
    )
    for rank in range(2):
        machine.record_report(_report(rank, step), 0.0)
    return machine


def _report(rank, step):
    return rankmaps.RankReport('g', 1, rank, 2, True, step, prepared=2)


def test_a_hold_is_placed_after_the_newest_pass_of_any_rank():
    machine = _holding(10)
    assert_that(machine.phase, matchers.Is(rankmaps.Phase.HOLD))
    # The own report is half a second old, that of the other rank is new.
    machine.record_report(_report(1, 16), 0.1)
    (order,) = machine.orders(0.2)
    assert_that(order.kind, matchers.Is(rankmaps.OrderKind.HOLD))
    assert_that(order.step, matchers.GreaterThan(16))


def test_a_coordinator_forwards_its_own_reports_to_the_switch():
    own = rankmaps.Coordinator(_report(0, 10), 'h0')
    own._active = _holding(10)
    own.record_own_report(_report(0, 20), 0.1)
    orders = own._active.orders(0.2)
    assert_that(orders[0].step, matchers.GreaterThan(20))
