"""Tests that all entries learn of slow ranks, and that this ends."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_daemon.direct import fleet_runner
from tests.daemon.direct import simulated_fleet

UPSTREAM = fleet.Upstream('u', 's', '10.0.0.1:1', 'a', born_ms=5)
STEPS_PER_S = round(1 / fleet_runner.TICK_S)


@pytest.fixture
def site(monkeypatch):
    """Return a running fleet that knows of one upstream."""
    made = simulated_fleet.SimulatedFleet(random.Random(1))
    monkeypatch.setattr(fleet_runner.time, 'monotonic', lambda: made.now)
    for host in simulated_fleet.HOSTS:
        made.start(host)
    _run(made, 3.0)
    made.processes['a1'].runner.record_heartbeat(UPSTREAM)
    _run(made, 1.0)
    return made


def _run(site, seconds):
    for _ in range(round(seconds * STEPS_PER_S)):
        site.step()


def _report(site, *rows, to):
    report = fleet.RankSlowdowns('10.0.0.1', 's', rows)
    site.processes[to].receive(report)


def _knowing(site):
    """Return the hosts of the entries that take the upstream for slow."""
    return {
        host
        for host, process in site.processes.items()
        if process.runner.upstreams.slow_factors(site.now) == {'u': 4.0}
    }


def test_all_entries_know_a_slow_rank_while_it_is_reported(site):
    everyone = set(simulated_fleet.HOSTS)
    for second in range(8):
        # One of the two messages of every second is lost.
        _report(site, ('10.0.0.1', 4.0), to=('a1', 'b1')[second % 2])
        for _ in range(STEPS_PER_S):
            site.step()
            assert_that(_knowing(site), matchers.Equals(everyone))
    _report(site, to='b1')
    _report(site, to='a1')
    site.step()
    assert_that(_knowing(site), matchers.Equals(set()))


def test_an_entry_that_missed_the_news_learns_of_the_rank(site):
    """The digests of hellos must cover slowdowns."""
    site.kill('c2')
    _report(site, ('10.0.0.1', 4.0), to='a1')
    site.start('c2')
    _run(site, 2.0)
    assert_that('c2' in _knowing(site), matchers.Is(True))
    _run(site, 2.0)
    assert_that(_knowing(site), matchers.Equals(set()))
