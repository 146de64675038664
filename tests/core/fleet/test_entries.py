"""Tests of the table of entries."""

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core.fleet import entries


def _update(table, host, now=0.0):
    table.update(fleet.EntryRecord(host, '', 'east', 'r', 1), now)


def test_tables_of_the_same_hosts_have_the_same_digest():
    first, second = fleet.EntryTable('a'), fleet.EntryTable('b')
    assert_that(first.digest(), matchers.Not(matchers.Equals(second.digest())))
    _update(first, 'b')
    _update(second, 'a')
    assert_that(first.digest(), matchers.Equals(second.digest()))
    _update(first, 'c')
    assert_that(first.digest(), matchers.Not(matchers.Equals(second.digest())))
    later = entries.FORGET_AFTER_S + 1.0
    _update(first, 'b', later)
    first.forget_silent(later)
    assert_that(first.digest(), matchers.Equals(second.digest()))


def _record(started_ns, version=0):
    return fleet.EntryRecord(
        'b', '', 'east', 'r', started_ns, document_version=version
    )


def test_a_record_of_an_ended_process_is_ignored():
    table = fleet.EntryTable('a')
    table.update(_record(10, version=5), 0.0)
    table.update(_record(20, version=6), 1.0)
    assert_that(table.update(_record(10, version=5), 2.0), matchers.Is(False))
    assert_that(table.by_host['b'].received_at, matchers.Equals(1.0))
    assert_that(table.by_host['b'].record, matchers.Equals(_record(20, 6)))


def test_a_restart_after_a_clock_step_back_is_not_taken_for_silence():
    table = fleet.EntryTable('a')
    table.update(_record(20), 0.0)
    assert_that(table.update(_record(10), 1.0), matchers.Is(True))
    table.update(_record(10), 30.0)
    alive = [item.record for item in table.alive(30.0, 3.0)]
    assert_that(alive, matchers.Equals([_record(10)]))


def test_a_late_record_does_not_replace_a_process_for_good():
    table = fleet.EntryTable('a')
    table.update(_record(20), 0.0)
    table.update(_record(10), 0.1)
    for second in range(1, 8):
        table.update(_record(20), float(second))
    alive = [item.record for item in table.alive(7.0, 1.0)]
    assert_that(alive, matchers.Equals([_record(20)]))
