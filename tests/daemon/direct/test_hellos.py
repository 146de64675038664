"""Tests of which entries send hellos to which others, and how often."""

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
class SimulatedEntry:
    """A fleet runner with a simulated clock and simulated other entries.

    Attributes:
        silent: hosts that send no hellos.
        sent: host and message of each hello sent by the entry.
    """

    monkeypatch: pytest.MonkeyPatch
    has_disk: bool = False
    silent: set = attrs.field(factory=set)
    sent: list = attrs.field(factory=list)
    now: float = 1000.0
    runner: fleet_runner.FleetRunner = None

    def start(self):
        """Patch the clock and create the fleet runner; return itself."""
        patch = self.monkeypatch.setattr
        patch(fleet_runner.time, 'monotonic', lambda: self.now)
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
        """Record a hello; other messages are dropped."""
        if isinstance(message, fleet.Hello):
            self.sent.append((address.split('/')[2].split(':')[0], message))

    def receive_hello(self, host, sightings=()):
        """Deliver a hello of another entry."""
        record = fleet.EntryRecord(
            host,
            '',
            'east' if host.startswith('10.1.') else 'west',
            'r',
            1,
            has_disk=host in (NEAR_VOTER, FAR_VOTER),
        )
        self.runner.on_hello(None, fleet.Hello(record, sightings))

    def advance(self, ticks=TICKS):
        """Run ticks; return the number of hellos sent to each host."""
        self.sent.clear()
        for _ in range(ticks):
            for host in {NEAR_VOTER, NEAR, FAR_VOTER, FAR} - self.silent:
                self.receive_hello(host)
            self.runner.tick()
            self.now += fleet_runner.TICK_S
        hosts = [host for host, _ in self.sent]
        return {host: hosts.count(host) for host in set(hosts)}


@pytest.fixture
def known_entry(monkeypatch):
    """Return an entry that is past its frequent hellos after a start."""
    entry = SimulatedEntry(monkeypatch).start()
    entry.advance()
    return entry


def test_far_hellos_are_rare_from_an_entry_without_a_disk(known_entry):
    counts = known_entry.advance()
    # In 20 s: every 0.4 s to a neighbour, every 6 s to the others.
    assert_that(counts[NEAR], matchers.GreaterThan(30))
    assert_that(counts[FAR], matchers.LessThan(5))
    assert_that(counts[FAR_VOTER], matchers.LessThan(5))


def test_a_voter_sends_frequent_hellos_to_all(monkeypatch):
    entry = SimulatedEntry(monkeypatch, has_disk=True).start()
    assert_that(entry.advance()[FAR], matchers.GreaterThan(15))


def test_a_new_entry_sends_frequent_hellos_to_all(monkeypatch):
    entry = SimulatedEntry(monkeypatch).start()
    assert_that(entry.advance(ticks=40)[FAR], matchers.GreaterThan(6))


def test_an_entry_becomes_the_relay_when_the_voter_is_silent(known_entry):
    known_entry.silent = {NEAR_VOTER}
    assert_that(known_entry.advance()[FAR], matchers.GreaterThan(15))


def test_the_relay_forwards_sightings_of_its_neighbours(known_entry):
    known_entry.silent = {NEAR_VOTER}
    known_entry.advance()
    known_entry.receive_hello(NEAR, (fleet.Sighting('u', 0, 4),))
    known_entry.advance(ticks=6)
    receivers = {
        host
        for host, hello in known_entry.sent
        if fleet.Sighting('u', 0, 4) in hello.sightings
    }
    assert_that(receivers, matchers.Equals({FAR, FAR_VOTER}))


def test_near_hellos_carry_new_sightings(known_entry):
    known_entry.runner.record_heartbeat(UPSTREAM)
    known_entry.advance(ticks=4)
    sighting = fleet.Sighting('u', 0, 3)
    receivers = {
        host for host, item in known_entry.sent if sighting in item.sightings
    }
    assert_that(receivers, matchers.Equals({NEAR, NEAR_VOTER}))


def test_send_hellos_reaches_all_entries_at_once(known_entry):
    known_entry.sent.clear()
    known_entry.runner.send_hellos()
    receivers = {host for host, _ in known_entry.sent}
    expected = {NEAR, NEAR_VOTER, FAR, FAR_VOTER}
    assert_that(receivers, matchers.Equals(expected))


def test_an_entry_with_rare_hellos_is_not_silent(known_entry):
    known_entry.silent = {FAR, FAR_VOTER}
    known_entry.advance(ticks=30)
    hosts = {record.host for record in known_entry.runner.live_records()}
    assert_that(hosts, matchers.Equals({NEAR, NEAR_VOTER, FAR}))
