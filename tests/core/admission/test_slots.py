"""Tests of the slots that an agent grants to entries."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission


def report_in_rounds(table, reports, rounds=3):
    """Report for each entry in turn; return the slots granted last."""
    granted = {}
    for step in range(rounds):
        for entry, (weight, wanted) in reports.items():
            table.update(entry, weight, wanted, step * 0.1)
            granted[entry] = table.grant_slots(entry, step * 0.1)
    return granted


def test_full_upstream_is_shared_by_weight():
    granted = report_in_rounds(
        admission.SlotTable(40), {'e1': (3.0, 100), 'e2': (1.0, 100)}
    )
    assert_that(granted, matchers.Equals({'e1': 30, 'e2': 10}))


def test_unwanted_slots_go_to_an_entry_that_wants_them():
    granted = report_in_rounds(
        admission.SlotTable(40), {'e1': (1.0, 100), 'e2': (9.0, 4)}
    )
    assert_that(granted['e1'], matchers.Equals(36))


def test_unwanted_slots_are_shared_by_weight():
    granted = report_in_rounds(
        admission.SlotTable(40), {'e1': (1.0, 2), 'e2': (1.0, 2)}
    )
    assert_that(granted, matchers.Equals({'e1': 20, 'e2': 20}))


def test_slots_of_a_silent_entry_are_released():
    table = admission.SlotTable(40)
    report_in_rounds(table, {'e1': (1.0, 100), 'e2': (1.0, 100)})
    table.update('e1', 1.0, 100, 9.0)
    assert_that(table.grant_slots('e1', 9.0), matchers.Equals(40))


def test_calls_in_progress_of_a_silent_entry_still_count():
    table = admission.SlotTable(40)
    report_in_rounds(table, {'e1': (1.0, 100), 'e2': (1.0, 100)})
    for _ in range(15):
        table.start('e2')
    table.update('e1', 1.0, 100, 9.0)
    assert_that(table.grant_slots('e1', 9.0), matchers.Equals(25))


@pytest.mark.parametrize('seed', range(10))
def test_entries_that_keep_to_their_slots_are_never_refused(seed):
    rng = random.Random(seed)
    table = admission.SlotTable(20)
    granted = dict.fromkeys(['e1', 'e2', 'e3'], 0)
    running = dict.fromkeys(granted, 0)
    peak = 0
    for step in range(2000):
        now = step * 0.01
        entry = rng.choice(sorted(granted))
        table.update(entry, rng.choice([0.5, 1, 4]), rng.randrange(30), now)
        granted[entry] = table.grant_slots(entry, now)
        if running[entry] < granted[entry]:
            assert_that(table.start(entry), matchers.Equals(True))
            running[entry] += 1
        busy = [name for name in sorted(running) if running[name]]
        if busy and rng.random() < 0.5:
            done = rng.choice(busy)
            table.finish(done)
            running[done] -= 1
        peak = max(peak, sum(running.values()))
    assert_that(peak, matchers.GreaterThan(15))
