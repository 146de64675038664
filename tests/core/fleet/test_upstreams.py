"""Tests of the table of upstreams."""

import itertools

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core.fleet import UpstreamState as State

SILENT_S = 5.0
FORGET_S = 30.0


@pytest.fixture
def table():
    return fleet.UpstreamTable(SILENT_S, FORGET_S)


def _upstream(id_='u1', **fields):
    values = {
        'service': 'desk',
        'address': f'10.0.0.1:{id_}',
        'data_centre': 'east',
        'born_ms': 1000,
        'sequence': 1,
    } | fields
    return fleet.Upstream(id_, **values)


def _ids(table, now=0.0):
    return [item.id for item in table.accepting('desk', now)]


def test_a_new_upstream_is_a_change_and_a_repetition_is_not(table):
    assert_that(table.apply(_upstream(), 0.0), matchers.Not(matchers.Is(None)))
    assert_that(table.apply(_upstream(), 1.0), matchers.Is(None))
    assert_that(table.apply(_upstream(sequence=2), 1.0), matchers.Is(None))
    assert_that(_ids(table), matchers.Equals(['u1']))


def test_draining_is_final_for_one_start(table):
    table.apply(_upstream(sequence=5, state=State.DRAINING), 0.0)
    table.apply(_upstream(sequence=4), 0.0)
    table.apply(_upstream(sequence=6), 0.0)
    assert_that(_ids(table), matchers.Equals([]))
    table.apply(_upstream(born_ms=2000), 0.0)
    assert_that(_ids(table), matchers.Equals(['u1']))


def test_a_late_announcement_of_draining_is_applied(table):
    table.apply(_upstream(sequence=5), 0.0)
    table.apply(_upstream(sequence=4, state=State.DRAINING), 0.0)
    assert_that(_ids(table), matchers.Equals([]))


def test_an_announcement_of_an_earlier_start_is_ignored(table):
    table.apply(_upstream(born_ms=2000), 0.0)
    late = _upstream(born_ms=1000, sequence=9, state=State.DRAINING)
    assert_that(table.apply(late, 0.0), matchers.Is(None))
    assert_that(table.mark_gone('u1', 1000), matchers.Is(None))
    assert_that(_ids(table), matchers.Equals(['u1']))


def test_an_upstream_that_left_gets_no_new_requests(table):
    table.apply(_upstream(), 0.0)
    assert_that(table.mark_gone('u1', 0).state, matchers.Is(State.GONE))
    assert_that(_ids(table), matchers.Equals([]))


def test_the_later_start_gets_a_shared_address(table):
    old = _upstream('old', address='10.0.0.1:80', born_ms=1000)
    new = _upstream('new', address='10.0.0.1:80', born_ms=2000)
    for order in itertools.permutations([old, new]):
        table = fleet.UpstreamTable(SILENT_S, FORGET_S)
        for item in order:
            table.apply(item, 0.0)
        assert_that(_ids(table), matchers.Equals(['new']))


def test_a_silent_upstream_is_used_only_while_all_are_silent(table):
    table.apply(_upstream('a'), 0.0)
    table.apply(_upstream('b'), 0.0)
    table.apply_sighting(fleet.Sighting('b', 1000, 7), 8.0)
    assert_that(_ids(table, 10.0), matchers.Equals(['b']))
    assert_that(_ids(table, 20.0), matchers.Equals(['a', 'b']))
    gone = table.forget_silent(31.0)
    assert_that([item.id for item in gone], matchers.Equals(['a']))


def test_announcements_give_the_same_table_in_any_order():
    announcements = [
        _upstream(sequence=1),
        _upstream(sequence=2, state=State.DRAINING),
        _upstream(sequence=3, state=State.DRAINING),
        _upstream(born_ms=2000, sequence=1),
        _upstream('u2', address='10.0.0.1:u1', born_ms=1500),
    ]
    digests = set()
    for order in itertools.permutations(announcements):
        table = fleet.UpstreamTable(SILENT_S, FORGET_S)
        for item in order:
            table.apply(item, 0.0)
        digests.add(table.digest())
        assert_that(_ids(table), matchers.Equals(['u1']))
    assert_that(digests, matchers.HasLength(1))


def test_the_digest_shows_a_change_that_others_lack(table):
    table.apply(_upstream(), 0.0)
    before = table.digest()
    table.apply(_upstream(sequence=2), 0.0)
    assert_that(table.digest(), matchers.Equals(before))
    table.apply(attrs.evolve(_upstream(sequence=3), state=State.DRAINING), 0)
    assert_that(table.digest(), matchers.Not(matchers.Equals(before)))
