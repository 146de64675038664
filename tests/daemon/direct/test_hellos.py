"""Tests of which entries tell others of themselves, and how often."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables

OWN = '10.1.0.5'
NEAR_VOTER, NEAR = '10.1.0.1', '10.1.0.6'
FAR_VOTER, FAR = '10.2.0.1', '10.2.0.6'
TICKS = 100
UPSTREAM = fleet.Upstream('u', 's', '10.9.0.1:1', 'east', sequence=3)


@attrs.define(eq=False)
class Played:
    """An entry without others, and a clock that the test moves."""

    monkeypatch: pytest.MonkeyPatch
    has_disk: bool = False
    silent: set = attrs.field(factory=set)
    sent: list = attrs.field(factory=list)
    now: float = 1000.0
    runner: fleet_runner.FleetRunner = None

    def start(self):
        """Start the entry."""
        clock = self.monkeypatch.setattr
        clock(fleet_runner.time, 'monotonic', lambda: self.now)
        self.runner = fleet_runner.FleetRunner(
            cfg=config.DirectConfig(
                host=OWN,
                data_centre='east',
                region='r',
                link_port=7,
                listeners=config.Listeners(),
                seeds=(NEAR_VOTER, FAR_VOTER),
                data_dir='data' if self.has_disk else '',
                bounds=config.Bounds(apply_s=2.5, drain_s=2.5),
            ),
            links=self,
            entries=fleet.EntryTable(OWN),
            upstreams=fleet.UpstreamTable(5.0, 30.0),
            holder=tables.TableHolder(None),
            started_ns=1,
            started_at=self.now,
        )
        return self

    def send(self, address, message):
        """Keep a hello."""
        if isinstance(message, fleet.Hello):
            self.sent.append((address.split('/')[2].split(':')[0], message))

    def hear(self, host, sightings=()):
        """Hear another entry."""
        record = fleet.EntryRecord(
            host,
            '',
            'east' if host.startswith('10.1.') else 'west',
            'r',
            1,
            has_disk=host in (NEAR_VOTER, FAR_VOTER),
        )
        self.runner.hello(None, fleet.Hello(record, sightings))

    def play(self, ticks=TICKS):
        """Let time pass; return the hellos sent meanwhile by host."""
        self.sent.clear()
        for _ in range(ticks):
            for host in {NEAR_VOTER, NEAR, FAR_VOTER, FAR} - self.silent:
                self.hear(host)
            self.runner.tick()
            self.now += fleet_runner.TICK_S
        hosts = [host for host, _ in self.sent]
        return {host: hosts.count(host) for host in set(hosts)}


@pytest.fixture
def played(monkeypatch):
    """Return an entry that is known to all others."""
    entry = Played(monkeypatch).start()
    entry.play()
    return entry


def test_an_entry_without_a_disk_seldom_speaks_to_other_data_centres(played):
    counts = played.play()
    # 20 s: each 0.4 s to a neighbour, each 6 s to the others.
    assert_that(counts[NEAR], matchers.GreaterThan(30))
    assert_that(counts[FAR], matchers.LessThan(5))
    assert_that(counts[FAR_VOTER], matchers.LessThan(5))


def test_a_voter_speaks_often_to_all(monkeypatch):
    entry = Played(monkeypatch, has_disk=True).start()
    assert_that(entry.play()[FAR], matchers.GreaterThan(15))


def test_a_new_entry_introduces_itself_to_all(monkeypatch):
    entry = Played(monkeypatch).start()
    assert_that(entry.play(ticks=40)[FAR], matchers.GreaterThan(6))


def test_an_entry_speaks_for_a_data_centre_whose_voter_is_silent(played):
    played.silent = {NEAR_VOTER}
    assert_that(played.play()[FAR], matchers.GreaterThan(15))


def test_the_relay_passes_on_what_its_neighbours_heard(played):
    played.silent = {NEAR_VOTER}
    played.play()
    played.hear(NEAR, (fleet.Sighting('u', 0, 4),))
    played.play(ticks=6)
    told = {
        host
        for host, hello in played.sent
        if fleet.Sighting('u', 0, 4) in hello.sightings
    }
    assert_that(told, matchers.Equals({FAR, FAR_VOTER}))


def test_neighbours_hear_at_once_which_upstreams_were_heard(played):
    played.runner.announced(UPSTREAM)
    played.play(ticks=4)
    sighting = fleet.Sighting('u', 0, 3)
    told = {host for host, item in played.sent if sighting in item.sightings}
    assert_that(told, matchers.Equals({NEAR, NEAR_VOTER}))


def test_a_change_of_readiness_is_told_to_all_at_once(played):
    played.sent.clear()
    played.runner.say_hello()
    told = {host for host, _ in played.sent}
    expected = {NEAR, NEAR_VOTER, FAR, FAR_VOTER}
    assert_that(told, matchers.Equals(expected))


def test_a_seldom_heard_entry_still_counts(played):
    played.silent = {FAR, FAR_VOTER}
    played.play(ticks=30)
    hosts = {record.host for record in played.runner.records()}
    assert_that(hosts, matchers.Equals({NEAR, NEAR_VOTER, FAR}))
