"""Tests that the directory names no process that has ended."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon.direct import fleet_runner
from tests.daemon.direct import simulated_fleet

# contactMs of the deployments, and 3 s.
BOUND_S = 7.0
STEPS_PER_S = round(1 / fleet_runner.TICK_S)


@pytest.fixture
def make_fleet(monkeypatch):
    """Return a function that makes a fleet of a seed on a simulated clock."""

    def make(seed):
        made = simulated_fleet.SimulatedFleet(random.Random(seed))
        monkeypatch.setattr(fleet_runner.time, 'monotonic', lambda: made.now)
        for host in simulated_fleet.HOSTS:
            made.start(host)
        return made

    return make


def _run(fleet, seconds):
    """Run some seconds; return for how long a named process had ended."""
    longest_s = 0.0
    for _ in range(round(seconds * STEPS_PER_S)):
        fleet.step()
        longest_s = max(longest_s, fleet.longest_ended_s())
    return longest_s


def _cut_data_centre(fleet, centre):
    for one in simulated_fleet.HOSTS:
        for other in simulated_fleet.HOSTS:
            if one[0] == centre != other[0]:
                fleet.cut.add(frozenset((one, other)))


def test_a_lost_data_centre_is_not_named(make_fleet):
    """Guards callers of a lost data centre: hellos to them were rare."""
    fleet = make_fleet(1)
    _run(fleet, 15.0)
    for host in ('a1', 'a2', 'a3', 'b2', 'b3'):
        fleet.kill(host)
    assert_that(_run(fleet, 30.0), matchers.LessThan(BOUND_S))


def test_hellos_that_a_partition_held_up_are_late(make_fleet):
    """Guards against hellos that the kernel delivers for an ended process."""
    fleet = make_fleet(1)
    _run(fleet, 15.0)
    _cut_data_centre(fleet, 'a')
    _run(fleet, 2.0)
    for host in ('a1', 'a2', 'a3'):
        fleet.kill(host)
    _run(fleet, 15.0)
    fleet.heal()
    assert_that(_run(fleet, 30.0), matchers.LessThan(BOUND_S))


def test_an_entry_that_was_stopped_does_not_believe_what_waited(make_fleet):
    """Guards against hellos that waited for a process that was stopped."""
    fleet = make_fleet(1)
    _run(fleet, 15.0)
    fleet.processes['a1'].is_stopped = True
    _run(fleet, 2.0)
    fleet.kill('a2')
    fleet.kill('a3')
    _run(fleet, 15.0)
    fleet.processes['a1'].go_on()
    assert_that(fleet.longest_ended_s(), matchers.LessThan(BOUND_S))
    assert_that(_run(fleet, 10.0), matchers.LessThan(BOUND_S))


def test_a_new_entry_does_not_believe_old_hellos(make_fleet):
    """Guards an entry that has just started; it knows no sender's clock."""
    fleet = make_fleet(1)
    _run(fleet, 15.0)
    fleet.kill('a1')
    fleet.start('a1')
    fleet.processes['a1'].is_stopped = True
    _run(fleet, 3.0)
    for host in ('a2', 'a3', 'b1', 'b2', 'b3'):
        fleet.kill(host)
    _run(fleet, 10.0)
    fleet.processes['a1'].go_on()
    assert_that(fleet.longest_ended_s(), matchers.LessThan(BOUND_S))
    assert_that(_run(fleet, 30.0), matchers.LessThan(BOUND_S))


def test_entries_that_run_are_named_again_after_faults(make_fleet):
    """Guards against hellos of running processes that count as late."""
    fleet = make_fleet(1)
    _run(fleet, 40.0)
    for process in fleet.processes.values():
        assert_that(
            process.directory.resolve('a').addresses, matchers.HasLength(2)
        )
    # A host that was suspended states too short a time from then on.
    fleet.processes['a1'].runner.started_at += 30.0
    fleet.processes['b1'].runner.started_at += 30.0
    _run(fleet, 5.0)
    for process in fleet.processes.values():
        hosts = {record.host for record in process.runner.responsive_records()}
        for host in {'a1', 'b1'} - {process.host}:
            assert_that(hosts, matchers.Contains(host))


def _restart_all(fleet):
    for host in simulated_fleet.HOSTS:
        fleet.kill(host)
    for host in simulated_fleet.HOSTS:
        if fleet.rng.random() < 0.8:
            fleet.start(host)


def _start_if_ended(fleet, host):
    if host not in fleet.processes:
        fleet.start(host)


def _stop(fleet, host):
    if host in fleet.processes:
        fleet.processes[host].is_stopped = True


def _go_on(fleet, host):
    for process in list(fleet.processes.values()):
        process.go_on()


def _step_clock(fleet, host):
    fleet.wall_s += fleet.rng.choice([-3600.0, -1.0, 5.0, 3600.0])


FAULTS = (
    lambda fleet, host: fleet.kill(host),
    _start_if_ended,
    _start_if_ended,
    _stop,
    _go_on,
    lambda fleet, host: _cut_data_centre(fleet, host[0]),
    lambda fleet, host: fleet.heal(),
    _step_clock,
)


def _disturb(fleet):
    """Cause one random fault, or end one."""
    host = fleet.rng.choice(simulated_fleet.HOSTS)
    fleet.rng.choice(FAULTS)(fleet, host)
    if fleet.rng.random() < 0.03:
        _restart_all(fleet)


@pytest.mark.parametrize('seed', range(30))
def test_no_answer_names_an_ended_process_under_any_faults(make_fleet, seed):
    """Guards every order of restarts, losses, partitions and clock steps."""
    fleet = make_fleet(seed)
    longest_s = 0.0
    for _ in range(100):
        _disturb(fleet)
        seconds = fleet.rng.choice([0.2, 0.6, 1.0, 3.0])
        longest_s = max(longest_s, _run(fleet, seconds))
    assert_that(longest_s, matchers.LessThan(BOUND_S))
