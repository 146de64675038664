"""Tests of the directory, and of what the fleet runner broadcasts."""

import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_daemon.direct import api
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables


@attrs.define
class Links:
    """Links that record the messages sent."""

    sent: list = attrs.field(factory=list)

    def send(self, address, message):
        """Record a message and its address."""
        self.sent.append((address, message))


@pytest.fixture
def runner():
    cfg = config.DirectConfig(
        host='10.0.0.1',
        data_centre='east',
        region='r',
        link_port=7,
        listeners=config.Listeners(front='10.0.0.1:80'),
        seeds=('10.0.0.1', '10.0.0.2'),
    )
    return fleet_runner.FleetRunner(
        cfg=cfg,
        links=Links(),
        entries=fleet.EntryTable(cfg.host),
        upstreams=fleet.UpstreamTable(5.0, 30.0),
        holder=tables.TableHolder(None),
        started_ns=1,
        is_ready=True,
    )


def _add_entry(runner, host, age_s=0.0, **fields):
    values = {
        'data_centre': 'east',
        'region': 'r',
        'started_ns': 1,
        'is_ready': True,
    } | fields
    record = fleet.EntryRecord(host, f'{host}:80', **values)
    runner.entries.update(record, time.monotonic() - age_s)


def _answer(runner, data_centre='east'):
    directory = api.DirectoryApi(runner.cfg, runner, lambda: True)
    return directory.resolve(data_centre)


def test_callers_are_sent_to_their_own_data_centre(runner):
    _add_entry(runner, '10.0.0.2')
    _add_entry(runner, '10.0.1.1', data_centre='west')
    addresses = _answer(runner).addresses
    assert_that(addresses, matchers.Equals(('10.0.0.1:80', '10.0.0.2:80')))


def test_callers_of_a_lost_data_centre_are_sent_elsewhere(runner):
    _add_entry(runner, '10.0.0.2')
    assert_that(_answer(runner, 'north').addresses, matchers.HasLength(2))


@pytest.mark.parametrize(
    'fields',
    [
        {'is_ready': False},
        {'is_leaving': True},
        {'age_s': fleet_runner.NEAR_SILENT_AFTER_S + 0.1},
    ],
)
def test_unready_leaving_and_silent_entries_are_left_out(runner, fields):
    _add_entry(runner, '10.0.0.2', **fields)
    _add_entry(runner, '10.0.0.3')
    addresses = _answer(runner).addresses
    assert_that(addresses, matchers.Equals(('10.0.0.1:80', '10.0.0.3:80')))


def test_answers_expire_before_a_planned_stop_ends(runner):
    bounds = runner.cfg.bounds
    ttl_s = _answer(runner).ttl_s
    assert_that(3 * ttl_s < bounds.grace_s, matchers.Is(True))
    assert_that(ttl_s <= bounds.longest_ttl_s, matchers.Is(True))


def test_there_is_no_answer_without_a_ready_entry(runner):
    runner.is_ready = False
    assert_that(_answer(runner), matchers.Is(None))


def test_a_hello_with_another_digest_causes_a_pull(runner):
    record = fleet.EntryRecord(
        '10.0.0.2', '', 'east', 'r', 1, document_version=4
    )
    runner.on_hello(None, fleet.Hello(record, nodes_digest=1))
    kinds = [type(message) for _, message in runner.links.sent]
    assert_that(kinds, matchers.Equals([fleet.TablePull, fleet.DocumentPull]))
    runner.on_hello(None, fleet.Hello(record, nodes_digest=1))
    assert_that(runner.links.sent, matchers.HasLength(2))


def test_changes_of_an_upstream_are_broadcast(runner):
    _add_entry(runner, '10.0.0.3')
    upstream = fleet.Upstream('u', 's', '10.9.0.1:1', 'east', born_ms=1)
    runner.record_heartbeat(upstream)
    receivers = sorted(address for address, _ in runner.links.sent)
    assert_that(
        receivers,
        matchers.Equals(['tcp://10.0.0.2:7', 'tcp://10.0.0.3:7']),
    )
    runner.record_heartbeat(attrs.evolve(upstream, sequence=2))
    assert_that(runner.links.sent, matchers.HasLength(2))
    runner.record_heartbeat(
        attrs.evolve(upstream, sequence=3, state=fleet.UpstreamState.DRAINING)
    )
    assert_that(runner.links.sent, matchers.HasLength(4))


def test_more_entries_are_returned_under_higher_load(runner):
    for number in range(2, 9):
        _add_entry(runner, f'10.0.0.{number}', requests_per_s=2.0)
    few = _answer(runner).addresses
    assert_that(few, matchers.HasLength(2))
    for number in range(2, 9):
        _add_entry(runner, f'10.0.0.{number}', requests_per_s=20.0)
    many = _answer(runner).addresses
    assert_that(many, matchers.HasLength(4))
    assert_that(many[:2], matchers.Equals(few))


def test_hosts_with_a_disk_are_returned_last(runner):
    for number in range(2, 6):
        _add_entry(runner, f'10.0.0.{number}', has_disk=number < 5)
    assert_that(
        sorted(_answer(runner).addresses),
        matchers.Equals(['10.0.0.1:80', '10.0.0.5:80']),
    )


@pytest.mark.parametrize(
    ('apply_s', 'drain_s', 'expected_s'),
    [(2.5, 2.5, 1.0), (2.0, 2.0, 0.8), (1.0, 2.0, 0.4)],
)
def test_hellos_are_frequent_enough_for_the_bounds(
    runner, apply_s, drain_s, expected_s
):
    bounds = config.Bounds(apply_s=apply_s, drain_s=drain_s)
    runner.cfg = attrs.evolve(runner.cfg, bounds=bounds)
    assert_that(runner.hello_interval_s, matchers.Equals(expected_s))


def test_an_upstream_without_heartbeats_is_forgotten(runner):
    upstream = fleet.Upstream('u', 's', '10.9.0.1:1', 'east')
    runner.upstreams.apply(upstream, time.monotonic() - 31.0)
    runner.upstreams.condition(upstream).record_send(0.0)
    runner.tick()
    assert_that(runner.upstreams.find('u'), matchers.Is(None))
    condition = runner.upstreams.condition(upstream)
    assert_that(condition.in_flight, matchers.Equals(0))


def test_a_missed_push_is_repeated(runner):
    runner.holder.document = fleet.Document(7, b'body')
    record = fleet.EntryRecord('10.0.0.2', '', 'west', 'r', 1)
    record = attrs.evolve(record, document_version=6)
    hello = fleet.Hello(
        record, (), runner.entries.digest(), runner.upstreams.digest()
    )
    push = ('tcp://10.0.0.2:7', fleet.DocumentPush(7, b'body'))
    runner.holder.since = time.monotonic()
    runner.on_hello(None, hello)
    assert_that(runner.links.sent, matchers.Not(matchers.Contains(push)))
    runner.holder.since -= 1.0
    runner.on_hello(None, hello)
    runner.on_hello(None, hello)
    assert_that(runner.links.sent.count(push), matchers.Equals(1))
