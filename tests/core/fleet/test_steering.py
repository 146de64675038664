"""Tests of which entries callers are directed to."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core.fleet import steering
from tests.core.fleet import simulated_steering

# The design size asks for 95 in 100 requests in time.
OVER_SHARE = 0.05
# 35 entries in three data centres.
COUNTS = (12, 12, 11)
# 1,000 entries in 29, and 23,000 requests a second.
MANY = (35,) * 14 + (34,) * 15
MANY_PER_S = 23_000 / len(MANY)


def _record(number, data_centre='east', **fields):
    values = {'is_ready': True, 'capacity_per_s': 80.0} | fields
    host = f'{data_centre}-{number}'
    return fleet.EntryRecord(host, f'{host}:80', data_centre, 'r', 1, **values)


def _hosts(records):
    return {record.host for record in records}


def _with_load(records, load):
    share = load / len(records)
    return [attrs.evolve(item, requests_per_s=share) for item in records]


def test_entries_without_a_capacity_are_chosen_as_before():
    """Guards deployments whose settings state no processor share."""
    chooser = steering.Steering()
    for now, load in enumerate([0, 300, 20, 900, 0]):
        records = _with_load(
            [_record(number, capacity_per_s=0.0) for number in range(12)], load
        )
        expected = steering.choose_entries(records, 'east')
        chosen = chooser.choose(records, 'east', float(now))
        assert_that(chosen, matchers.Equals(expected))


def test_the_least_capacity_decides_how_many_are_needed():
    """Guards the smaller ones of uneven entries, which get equal loads."""
    records = [_record(0, capacity_per_s=30.0)]
    records += [_record(number) for number in range(1, 3)]
    records = _with_load(records, 150.0)
    chosen = steering.Steering().choose(records, 'east', 0.0)
    assert_that(_hosts(chosen), matchers.Equals({'east-1', 'east-2'}))


def test_a_set_grows_at_once_and_shrinks_one_by_one():
    """Guards against answers that follow every wave of the load."""
    chooser = steering.Steering()
    records = [_record(number) for number in range(12)]
    counts = []
    for second in range(60):
        load = 500.0 if second < 5 else 50.0
        chosen = chooser.choose(_with_load(records, load), 'east', second)
        counts.append(len(chosen))
    assert_that(counts[0], matchers.Equals(7))
    drops = [a - b for a, b in zip(counts, counts[1:], strict=False)]
    assert_that(max(drops), matchers.Equals(1))
    most = 60 / steering.SHRINK_AFTER_S
    assert_that(sum(drops), matchers.LessThan(most + 1))
    assert_that(sum(drops), matchers.GreaterThan(1))


def test_a_rising_load_is_met_before_callers_ask_again():
    chooser = steering.Steering()
    records = [_record(number) for number in range(12)]
    for second in range(5):
        load = 100.0 + 20 * second
        chosen = chooser.choose(_with_load(records, load), 'east', second)
    needed = (load + 20 * steering.GROWTH_HORIZON_S) / 80.0
    assert_that(len(chosen), matchers.GreaterThan(needed - 0.01))


def test_noise_of_capacities_changes_no_answer():
    chooser = steering.Steering()
    chosen = set()
    for second in range(60):
        records = [
            _record(number, capacity_per_s=80.0 + (7 * number + second) % 9)
            for number in range(12)
        ]
        answer = chooser.choose(_with_load(records, 100), 'east', second)
        chosen |= _hosts(answer)
    assert_that(chosen, matchers.HasLength(2))


def test_a_slow_entry_is_left_out_while_others_can_carry_the_load():
    chooser = steering.Steering()
    records = [_record(number) for number in range(4)]
    first = chooser.choose(records, 'east', 0.0)[0]
    slow = [
        attrs.evolve(item, is_slow=item.host == first.host) for item in records
    ]
    chosen = chooser.choose(slow, 'east', 1.0)
    assert_that(chosen, matchers.HasLength(2))
    assert_that(_hosts(chosen), matchers.Not(matchers.Contains(first.host)))
    all_slow = [attrs.evolve(item, is_slow=True) for item in records]
    chosen = chooser.choose(all_slow, 'east', 2.0)
    assert_that(chosen, matchers.HasLength(2))


def test_entries_of_other_data_centres_are_named_before_near_ones_are_full():
    near = _with_load([_record(number) for number in range(4)], 300.0)
    far = [_record(number, 'west', is_ready=True) for number in range(6)]
    chosen = steering.Steering().choose(near + far, 'east', 0.0)
    assert_that(_hosts(chosen) >= _hosts(near), matchers.Is(True))
    assert_that(len(chosen), matchers.Equals(4))
    near = _with_load(near, 330.0)
    chosen = steering.Steering().choose(near + far, 'east', 0.0)
    assert_that(len(chosen), matchers.Equals(5))
    busy = _with_load(far, 6 * 60.0)
    chosen = steering.Steering().choose(near + busy, 'east', 0.0)
    assert_that(len(chosen), matchers.Equals(4))


def _check(simulation, seconds):
    assert_that(simulation.over_share, matchers.LessThan(OVER_SHARE))
    most = 1 + seconds / steering.SHRINK_AFTER_S
    for count in simulation.shrinks.values():
        assert_that(count, matchers.LessThan(most + 1))


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('per_s', [42.0, 120.0])
def test_entries_carry_a_load_that_varies(seed, per_s):
    """Guards against overloaded entries, more of them than now, flapping."""
    build = simulated_steering.Simulation.build
    stated = build(seed, COUNTS, per_s)
    unstated = build(seed, COUNTS, per_s, states_capacity=False)
    for simulation in (stated, unstated):
        simulation.warm_up()
        simulation.run(120)
    _check(stated, 120)
    assert_that(stated.fewest_near, matchers.GreaterThan(1))
    assert_that(sum(stated.used) <= sum(unstated.used), matchers.Is(True))


@pytest.mark.parametrize('seed', range(3))
def test_callers_of_a_lost_data_centre_are_carried(seed):
    simulation = simulated_steering.Simulation.build(seed, COUNTS, 60.0)
    simulation.warm_up()
    simulation.run(30)
    for entry in simulation.entries:
        entry.is_alive = entry.data_centre != 'dc0'
    simulation.run(60)
    # The loss itself takes an answer away.
    _check(simulation, 90)


@pytest.mark.parametrize('seed', range(3))
def test_entries_that_become_five_times_slower_are_left_out(seed):
    """Guards callers of slow entries: a quarter of them without capacities."""
    simulation = simulated_steering.Simulation.build(seed, COUNTS, 60.0)
    simulation.warm_up()
    slow = {hosts[0] for hosts in simulation.answers.values()}
    for entry in simulation.entries:
        if entry.host in slow:
            entry.slowness = 5.0
    simulation.run(60)
    _check(simulation, 60)
    assert_that(simulation.fewest_near, matchers.GreaterThan(1))
    named = set().union(*simulation.answers.values())
    assert_that(named & slow, matchers.Equals(set()))


def test_a_thousand_entries_carry_the_load_of_the_design_size():
    simulation = simulated_steering.Simulation.build(1, MANY, MANY_PER_S)
    simulation.warm_up()
    simulation.run(20)
    _check(simulation, 20)
    assert_that(simulation.fewest_near, matchers.GreaterThan(1))


def test_look_ups_add_state_without_bound():
    """Guards memory against callers that name data centres of no entry."""
    chooser = steering.Steering()
    records = _with_load([_record(number) for number in range(4)], 50.0)
    for number in range(2000):
        chooser.choose(records, f'made-up-{number}', number / 1000)
        chooser.choose(records, 'east', number / 1000)
    per_set = 1 + steering.TREND_S / steering.LOAD_INTERVAL_S + 1
    assert_that(chooser.kept_count, matchers.LessThan(2 * per_set + 1))
