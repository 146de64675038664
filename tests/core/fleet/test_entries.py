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
