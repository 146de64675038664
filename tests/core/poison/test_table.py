"""Tests of one entry's table of suspected and blocked parts."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import poison
from cassiashift_core.poison import evidence
from cassiashift_core.poison import table as tables

SERVICE = 'model'
NOW = 1000.0
HOSTS = ['a', 'b', 'c']


@pytest.fixture
def table():
    return poison.PoisonTable('a', random.Random(1))


def _crash(number, *parts, request=None):
    suspect = poison.SuspectRequest(request or f'r{number}', parts)
    return poison.CrashReport(SERVICE, f'u{number}', number, (suspect,))


def _crash_often(table, *parts, times=tables.CRASHES_TO_BLOCK, now=NOW):
    """Report crashes one second apart; return the time of the last one."""
    for number in range(times):
        news = table.record_crash(_crash(number, *parts), now + number)
    return now + times - 1, news


def _decide(table, now, part='x', request='q', **fields):
    return table.judge(
        SERVICE, ('y', part), request, now, HOSTS, **fields
    ).decision


def _elect(table, part, block_ends_at):
    """Return a time at which this entry may try a part, after its block."""
    for turn in range(100):
        now = block_ends_at + turn * tables.TRIAL_TURN_S
        if _decide(table, now, part, 'trial') is poison.Decision.TRIAL:
            return now
    raise AssertionError('this entry was never elected')


def test_a_part_is_blocked_once_objections_are_no_longer_awaited(table):
    last, news = _crash_often(table, 'x')
    assert_that([item.part for item in news.blocks], matchers.Equals(['x']))
    assert_that(_decide(table, last), matchers.Is(poison.Decision.SEND))
    repeat = _decide(table, last, is_repeat=True)
    assert_that(repeat, matchers.Is(poison.Decision.REFUSE))
    later = last + tables.OBJECTION_S
    judgement = table.judge(SERVICE, ('x',), 'q', later, HOSTS)
    assert_that(judgement.decision, matchers.Is(poison.Decision.REFUSE))
    expected = tables.FIRST_BLOCK_S - tables.OBJECTION_S
    assert_that(
        abs(judgement.retry_after_s - expected), matchers.LessThan(0.001)
    )


def test_a_part_of_another_service_is_not_blocked(table):
    last, _ = _crash_often(table, 'x')
    judgement = table.judge('other', ('x',), 'q', last + 1.0, HOSTS)
    assert_that(judgement.decision, matchers.Is(poison.Decision.SEND))


def test_a_request_that_is_sent_again_and_again_blocks_nothing(table):
    for number in range(6):
        report = _crash(number, 'x', request='same')
        news = table.record_crash(report, NOW + number)
        assert_that(news, matchers.Is(None))


def test_crashes_at_the_same_moment_count_as_one(table):
    for number in range(6):
        report = _crash(number, 'x')
        news = table.record_crash(report, NOW + number / 1000)
    assert_that(news, matchers.Is(None))


def test_old_crashes_count_no_more(table):
    for number in range(6):
        at = NOW + number * evidence.SUSPECT_S * 0.6
        assert_that(
            table.record_crash(_crash(number, 'x'), at), matchers.Is(None)
        )


def test_an_answer_clears_a_suspected_part_and_is_announced_once(table):
    _crash_often(table, 'x', times=2)
    cleared = table.record_answer(SERVICE, ('x', 'y'), NOW + 2.0)
    assert_that(cleared.parts, matchers.Equals(('x',)))
    again = table.record_answer(SERVICE, ('x', 'y'), NOW + 3.0)
    assert_that(again, matchers.Is(None))
    news = table.record_crash(_crash(9, 'x'), NOW + 4.0)
    assert_that(news, matchers.Is(None))


def test_an_entry_objects_to_the_block_of_a_part_that_it_knows(table):
    table.record_answer(SERVICE, ('x',), NOW)
    news = poison.BlockNews((poison.BlockRecord(SERVICE, 'x', 0, 60.0),))
    assert_that(table.apply_blocks(news, NOW + 1.0), matchers.Equals([]))
    objections = table.due_objections(NOW + 1.0)
    assert_that(
        objections,
        matchers.Equals([poison.PartsCleared(SERVICE, ('x',), 1.0)]),
    )
    assert_that(table.due_objections(NOW + 2.0), matchers.Equals([]))


def test_an_objection_does_not_make_evidence_younger():
    old, other = (poison.PoisonTable(host, random.Random(1)) for host in 'ab')
    old.record_answer(SERVICE, ('x',), NOW)
    old.record_crash(_crash(1, 'x'), NOW + 20.0)
    for objection in old.due_objections(NOW + 21.0):
        other.apply_cleared(objection, NOW + 21.0)
    after = NOW + evidence.CLEAN_S + 1.0
    suspects = other.find_suspects(SERVICE, ('x',), after)
    assert_that(suspects, matchers.Equals(('x',)))


def test_the_crashes_of_a_blocked_part_count_for_no_other_part(table):
    table.record_crash(_crash(0, 'x'), NOW)
    for number in range(1, 6):
        news = table.record_crash(_crash(number, 'x', 'z'), NOW + number)
        if news is not None:
            blocked = [item.part for item in news.blocks]
            assert_that(blocked, matchers.Equals(['x']))
    assert_that(table.blocked_count, matchers.Equals(1))


def test_clearing_a_part_reveals_the_part_that_it_had_explained(table):
    table.record_crash(_crash(0, 'x'), NOW)
    for number in range(1, 4):
        table.record_crash(_crash(number, 'x', 'z'), NOW + number)
    news = table.apply_cleared(poison.PartsCleared(SERVICE, ('x',)), NOW + 4.0)
    assert_that([item.part for item in news.blocks], matchers.Equals(['z']))


def test_one_request_tries_a_part_after_its_block(table):
    last, _ = _crash_often(table, 'x')
    now = _elect(table, 'x', last + tables.FIRST_BLOCK_S)
    again = _decide(table, now, request='trial')
    assert_that(again, matchers.Is(poison.Decision.TRIAL))
    other = _decide(table, now, request='other')
    assert_that(other, matchers.Is(poison.Decision.REFUSE))


def test_a_trial_that_is_answered_ends_the_block(table):
    last, _ = _crash_often(table, 'x')
    now = _elect(table, 'x', last + tables.FIRST_BLOCK_S)
    cleared = table.record_answer(SERVICE, ('x',), now + 1.0)
    assert_that(cleared.parts, matchers.Equals(('x',)))
    decision = _decide(table, now + 1.0, request='other')
    assert_that(decision, matchers.Is(poison.Decision.SEND))
    assert_that(table.digest, matchers.Equals(0))


def test_a_trial_that_crashes_an_upstream_doubles_the_block(table):
    last, _ = _crash_often(table, 'x')
    now = _elect(table, 'x', last + tables.FIRST_BLOCK_S)
    news = table.record_crash(_crash(9, 'x', request='trial'), now + 1.0)
    expected = poison.BlockRecord(SERVICE, 'x', 1, 2 * tables.FIRST_BLOCK_S)
    assert_that(news.blocks, matchers.Equals((expected,)))
    decision = _decide(table, now + 1.0)
    assert_that(decision, matchers.Is(poison.Decision.REFUSE))


def test_exactly_one_of_all_entries_may_try_a_part():
    entries = [poison.PoisonTable(host, random.Random(1)) for host in HOSTS]
    for table in entries:
        last, _ = _crash_often(table, 'x')
    ends_at = last + tables.FIRST_BLOCK_S
    for turn in range(20):
        now = ends_at + (turn + 0.5) * tables.TRIAL_TURN_S
        decisions = [
            _decide(table, now, request=str(now)) for table in entries
        ]
        tried = decisions.count(poison.Decision.TRIAL)
        # A trial of the turn before may still be under way.
        assert_that(tried, matchers.LessThan(2))


def test_a_restarted_entry_adopts_the_blocks_of_another(table):
    last, _ = _crash_often(table, 'x')
    new = poison.PoisonTable('b', random.Random(1))
    adopted = new.apply_blocks(table.blocks(last), last)
    assert_that([item.part for item in adopted], matchers.Equals(['x']))
    assert_that(new.digest, matchers.Equals(table.digest))
    decision = _decide(new, last + 1.0)
    assert_that(decision, matchers.Is(poison.Decision.REFUSE))


def test_a_block_that_nobody_asks_for_is_dropped(table):
    last, _ = _crash_often(table, 'x')
    table.forget_expired(
        last + tables.FIRST_BLOCK_S + tables.FORGET_AFTER_S + 1.0
    )
    assert_that(table.blocked_count, matchers.Equals(0))


def test_memory_is_bounded(table):
    for number in range(2 * evidence.MAX_CLEAN_PARTS):
        table.record_answer(SERVICE, (f'c{number}',), NOW)
    assert_that(
        len(table._clean._answered_at),
        matchers.Equals(evidence.MAX_CLEAN_PARTS),
    )
    for number in range(2 * evidence.MAX_SUSPECTED_PARTS):
        table.record_crash(_crash(number, f's{number}'), NOW)
    assert_that(
        table.suspected_count, matchers.Equals(evidence.MAX_SUSPECTED_PARTS)
    )
    for number in range(2 * tables.MAX_BLOCKS):
        record = poison.BlockRecord(SERVICE, f'b{number}', 0, 60.0)
        table.apply_blocks(poison.BlockNews((record,)), NOW)
    assert_that(table.blocked_count, matchers.Equals(tables.MAX_BLOCKS))
