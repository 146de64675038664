"""Tests of failure detection among entries."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import membership
from cassiashift_core.membership import events
from cassiashift_core.membership import messages
from cassiashift_core.membership import records
from cassiashift_core.membership import table
from tests.core.membership import builders
from tests.core.membership import checks
from tests.scenarios import network

ENTRIES = builders.entry_names(6)
BAD_LINKS = network.Faults(delay_s=(0.001, 0.15), loss=0.1, copies=0.1)


def build(seed, entries=6, agents=4, faults=None):
    """Return a settled data centre and the recorder of its effects."""
    net = builders.start_data_centre(seed, entries, agents, faults)
    net.on_effect = checks.StatusRecorder()
    net.run(15)
    return net, net.on_effect


def assert_views(net, wanted):
    for view in builders.views(net, 'trnava').values():
        assert_that(view, matchers.Equals(set(wanted)))


@pytest.mark.parametrize('seed', range(4))
def test_entries_join_without_a_false_death_on_bad_links(seed):
    net, recorder = build(seed, faults=BAD_LINKS)
    net.run(60)
    assert_views(net, ENTRIES)
    assert_that(recorder.deaths, matchers.Equals([]))


@pytest.mark.parametrize('seed', range(3))
def test_killed_entries_are_declared_dead_by_all(seed):
    net, recorder = build(seed)
    net.stop(ENTRIES[1])
    net.stop(ENTRIES[4])
    net.run(20)
    assert_views(net, set(ENTRIES) - {ENTRIES[1], ENTRIES[4]})


def test_suspicion_comes_before_death():
    net, recorder = build(7)
    statuses = []
    net.on_effect = lambda host, effect: statuses.append(effect.status)
    net.stop(ENTRIES[2])
    net.run(20)
    first_death = statuses.index(membership.Status.DEAD)
    assert_that(
        statuses[:first_death], matchers.Contains(membership.Status.SUSPECT)
    )


@pytest.mark.parametrize('incarnation', [2000, 500])
def test_restarted_entry_replaces_its_old_record(incarnation):
    net, recorder = build(3)
    net.stop(ENTRIES[2])
    net.run(20)
    machine = builders.start_entry(
        net, ENTRIES[2], ENTRIES[:2], incarnation=incarnation
    )
    net.run(20)
    assert_views(net, ENTRIES)
    assert_that(machine.own.incarnation, matchers.GreaterThan(1000))
    assert_that(recorder.revivals, matchers.Equals([]))


def deliver_old_record(seed):
    """Return the recorder after the record of a dead entry arrives late."""
    net, recorder = build(seed)
    old_record = net.nodes[ENTRIES[2]].machine.own
    net.stop(ENTRIES[2])
    net.run(20)
    ping = messages.Ping(1, (old_record,))
    net.deliver(ENTRIES[0], events.Received(ENTRIES[1], ping))
    net.run(3)
    return recorder


def test_old_record_does_not_revive_a_dead_entry():
    recorder = deliver_old_record(5)
    assert_that(recorder.revivals, matchers.Equals([]))


def test_recorder_detects_a_merge_that_ignores_incarnations(monkeypatch):
    monkeypatch.setattr(
        records.Record,
        'supersedes',
        lambda self, other: self.status is not other.status,
    )
    recorder = deliver_old_record(5)
    assert_that(recorder.revivals, matchers.Not(matchers.Equals([])))


@pytest.mark.parametrize('seed', [0, 1, 29, 34])
def test_entry_suspects_nobody_after_a_pause(seed):
    slow = network.Faults(delay_s=(0.05, 0.14))
    net, recorder = build(seed, entries=4, agents=8, faults=slow)
    for _ in range(8):
        net.nodes[ENTRIES[0]].paused_until_s = net.now + 9.0
        net.run(29.3)
    suspected = {
        target
        for accuser, target in recorder.accusations
        if accuser == ENTRIES[0]
    }
    assert_that(suspected, matchers.Equals(set()))


def test_probe_in_progress_is_cancelled_after_a_pause():
    net, recorder = build(10)
    machine = net.nodes[ENTRIES[0]].machine
    start_s = net.now
    sent = []
    while not any(isinstance(item, messages.Ping) for item in sent):
        net.now += net.tick_s
        effects = machine.handle(events.Tick(), net.now)
        sent = [getattr(effect, 'message', None) for effect in effects]
    assert_that(net.now - start_s, matchers.LessThan(5.0))
    net.deliver(ENTRIES[0], events.Tick())
    net.now += 5.0
    net.deliver(ENTRIES[0], events.Tick())
    assert_that(recorder.accusations, matchers.Equals([]))


def test_indirect_probes_bridge_a_cut_between_two_entries():
    net, recorder = build(9)
    net.cut([ENTRIES[1]], [ENTRIES[2]])
    net.run(40)
    assert_that(recorder.accusations, matchers.Equals([]))


def test_suspicion_of_an_unknown_incarnation_is_not_merged():
    rows = table.Table()
    alive = membership.Record(
        'a', membership.Kind.AGENT, 5, address='a:1', upstreams=()
    )
    rows.merge(alive, 0.0)
    suspicion = membership.Record(
        'a', membership.Kind.AGENT, 6, status=membership.Status.SUSPECT
    )
    assert_that(rows.merge(suspicion, 1.0), matchers.Is(None))
    assert_that(rows.get('a'), matchers.Equals(alive))


def test_tombstones_are_removed_after_the_retention_period():
    rows = table.Table()
    empty = rows.digest()
    left = membership.Record(
        'a', membership.Kind.ENTRY, 5, status=membership.Status.LEFT
    )
    rows.merge(left, 10.0)
    rows.expire(10.0 + table.TOMBSTONE_RETENTION_S - 1)
    assert_that(rows, matchers.HasLength(1))
    rows.expire(10.0 + table.TOMBSTONE_RETENTION_S)
    assert_that(rows, matchers.HasLength(0))
    assert_that(rows.digest(), matchers.Equals(empty))


def test_entry_that_receives_nothing_declares_no_other_dead():
    net, recorder = build(2)
    others = ENTRIES[1:]
    net.cut([*others, *builders.agent_names(4)], [ENTRIES[0]], both=False)
    net.run(8)
    net.heal()
    net.run(40)
    assert_views(net, ENTRIES)
    declared_dead = {target for _, target in recorder.deaths}
    assert_that(declared_dead - {ENTRIES[0]}, matchers.Equals(set()))


def test_halves_join_again_after_a_cut():
    net, recorder = build(4)
    net.cut(ENTRIES[:3], ENTRIES[3:])
    net.run(60)
    views = builders.views(net, 'trnava')
    assert_that(views[ENTRIES[0]], matchers.Equals(set(ENTRIES[:3])))
    assert_that(views[ENTRIES[5]], matchers.Equals(set(ENTRIES[3:])))
    net.heal()
    net.run(60)
    assert_views(net, ENTRIES)


def test_leaving_entry_is_removed_within_seconds_and_not_declared_dead():
    net, recorder = build(6)
    net.deliver(ENTRIES[3], events.Leaving())
    net.run(1)
    net.stop(ENTRIES[3])
    net.run(3)
    assert_views(net, set(ENTRIES) - {ENTRIES[3]})
    assert_that(recorder.deaths, matchers.Equals([]))


def test_clock_jump_causes_no_death():
    net, recorder = build(8)
    net.nodes[ENTRIES[1]].clock_offset_s = 3600.0
    net.run(20)
    net.nodes[ENTRIES[1]].clock_offset_s = 0.0
    net.run(20)
    assert_that(recorder.deaths, matchers.Equals([]))


def test_updates_in_one_message_are_bounded():
    sizes = []
    net, _ = build(1, entries=20, agents=0)
    net.drop = lambda sender, receiver, message: sizes.append(
        len(getattr(message, 'updates', ()))
    )
    for host in builders.entry_names(20)[10:]:
        net.stop(host)
    net.run(40)
    assert_that(max(sizes), matchers.LessThan(9))


def test_departure_is_accepted_only_from_the_member_itself():
    net, _ = build(1)
    own = net.nodes[ENTRIES[2]].machine.own
    forged = messages.Departure(
        attrs.evolve(own, status=membership.Status.LEFT)
    )
    net.deliver(ENTRIES[0], events.Received(ENTRIES[1], forged))
    assert_views(net, ENTRIES)


def test_incarnation_beyond_the_limit_is_ignored():
    net, _ = build(1)
    forged = records.Record(
        ENTRIES[0],
        membership.Kind.ENTRY,
        incarnation=2**62,
        status=membership.Status.DEAD,
    )
    ping = messages.Ping(1, (forged,))
    net.deliver(ENTRIES[0], events.Received(ENTRIES[1], ping))
    net.deliver(ENTRIES[1], events.Received(ENTRIES[2], ping))
    assert_views(net, ENTRIES)
    own = net.nodes[ENTRIES[0]].machine.own
    assert_that(own.incarnation, matchers.Equals(1000))


def test_malformed_messages_do_not_break_an_entry():
    net, _ = build(1)
    hostile = [
        messages.SyncDigest(()),
        messages.SyncDigest(tuple(range(1000))),
        messages.SyncRows((), tuple(range(-5, 1000))),
        messages.PingRequest(1, 'nobody'),
        messages.Ack(2**40),
        messages.Nack(0),
        messages.SummaryPull({'x' * 100: 2**40}),
        messages.Heartbeat(0),
        messages.LoadReport(-1),
    ]
    for message in hostile:
        net.deliver(ENTRIES[0], events.Received('stranger', message))
    net.run(10)
    assert_views(net, ENTRIES)
