"""The table of promised returns, and its bytes in work digests."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core.admission import promises

ONE = admission.Promise(1, 7, 2, 1.5, 10.0)


def test_a_promise_is_the_same_at_an_entry_with_another_clock():
    rows = [ONE, attrs.evolve(ONE, request_id=2, has_capacity=False)]
    packed = admission.pack_promises(rows, 9.0)
    assert_that(packed, matchers.HasLength(2 * admission.PROMISE_BYTES))
    expected = [attrs.evolve(row, return_at=101.0) for row in rows]
    assert_that(
        admission.unpack_promises(packed, 100.0), matchers.Equals(expected)
    )
    for damaged in (packed[1:], bytes(10 * promises.MAX_ROWS + 10)):
        with pytest.raises(ValueError, match='bytes of promises'):
            admission.unpack_promises(damaged, 0.0)


def test_only_a_return_at_about_the_promised_time_is_recognised():
    """A caller that returns at once would pass those that wait as told."""
    table = admission.PromiseTable()
    table.add(ONE)
    for now, is_found in ((9.0, False), (9.8, True), (10.6, False)):
        found = table.find(1, now)
        assert_that(found is ONE, matchers.Equals(is_found))
    table.expire(10.4)
    assert_that(table, matchers.HasLength(1))
    table.expire(10.6)
    assert_that(table, matchers.HasLength(0))


def test_promises_count_until_they_are_due_or_taken():
    table = admission.PromiseTable()
    for number in range(4):
        table.add(attrs.evolve(ONE, request_id=number, priority=number))
    table.add(attrs.evolve(ONE, request_id=9, has_capacity=False))
    table.add(attrs.evolve(ONE, request_id=10, service_id=8))
    for priority, now, until, cost in (
        (1, 9.0, 11.0, 3.0),
        (9, 9.0, 11.0, 6.0),
        (9, 9.0, 10.0, 0.0),
        (9, 10.1, 11.0, 0.0),
    ):
        due = table.due(7, priority, now, until)
        assert_that(due, matchers.Equals(cost))
    table.discard(0)
    assert_that(table.due(7, 1, 9.0, 11.0), matchers.Equals(1.5))


def test_promises_do_not_fill_the_memory():
    table = admission.PromiseTable(max_promises=3)
    for number in range(9):
        table.add(attrs.evolve(ONE, request_id=number % 5))
    held = [number for number in range(5) if table.find(number, 10.0)]
    assert_that(held, matchers.Equals([1, 2, 3]))
    assert_that(table._times[7], matchers.HasLength(3))
