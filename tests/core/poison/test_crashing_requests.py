"""Tests of whole requests that crash upstreams, in simulated time."""

import os

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import poison
from cassiashift_core.poison import table as tables
from tests.core.poison import simulated_site

SEEDS = int(os.environ.get('SEEDS', '25'))
NOW = 1000.0
HOSTS = ['a', 'b', 'c']
# Bounds of the users' rule.
CONTACT_S = 3.0
CRASHES = 3
MAX_LATE_ARRIVALS = 3
BEGIN_S = 5.0
END_S = 60.0
PLAIN = {'groups': 3, 'size': 1}
MODEL = {'groups': 2, 'size': 4}
RARE = (simulated_site.FIRST_PART, 'rare')


def _play(seed, *, per_s=3.0, parts=(), others=(), restarts=(), **fields):
    site = simulated_site.SimulatedSite(seed, **fields)
    site.send_repeated(10.0, END_S)
    site.send_crashing_request(per_s, BEGIN_S, END_S, parts)
    for at in others:
        site.crash_others(at)
    for at in restarts:
        site.restart_entry(at)
    site.run(END_S)
    return site


def _check(site):
    third = site.crashes[:CRASHES][-1]
    in_touch = set(site.arrivals) - set(site.late_starters)
    late = [at for at in in_touch if at > third + CONTACT_S]
    assert_that(len(late), matchers.LessThan(MAX_LATE_ARRIVALS + 1))
    sound = [item for item in site.requests if item.is_sound]
    refused = sum(item.outcome == 'blocked' for item in sound)
    assert_that(refused / len(sound), matchers.LessThan(0.1))
    assert_that(
        site.share_begun(BEGIN_S + 10.0, END_S), matchers.GreaterThan(0.9)
    )


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('max_sends', [1, 2])
def test_a_request_goes_on_crashing_plain_upstreams(seed, max_sends):
    _check(_play(seed, max_sends=max_sends, **PLAIN))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_request_goes_on_crashing_model_upstreams(seed):
    _check(_play(seed, parts=RARE, **MODEL))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_request_is_hidden_by_crashes_of_other_causes(seed):
    _check(_play(seed, others=(3.0, 5.2, 6.0, 20.0, 40.0), **PLAIN))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_request_crashes_on_while_entries_restart_and_lose_messages(seed):
    _check(_play(seed, lost=0.1, restarts=(7.0, 12.0, 30.0), **PLAIN))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_sound_requests_are_blamed_for_crashes_of_other_causes(seed):
    site = simulated_site.SimulatedSite(seed, **PLAIN)
    site.send_repeated(20.0, END_S)
    for at in range(5, 55, 5):
        site.crash_others(at, count=1)
    site.run(END_S)
    refused = sum(item.outcome == 'blocked' for item in site.requests)
    assert_that(refused / len(site.requests), matchers.LessThan(0.01))


@pytest.fixture
def table():
    return poison.PoisonTable('a', None)


def _crash(table, number, now, identity='x', parts=()):
    suspect = poison.SuspectRequest(f'r{number}', parts, identity)
    report = poison.CrashReport('s', f'u{number}', number, (suspect,))
    return table.record_crash(report, now)


def _judge(table, now, identity='x', request='q'):
    return table.judge('s', (), request, now, HOSTS, identity=identity)


def _is_refused(table, now, **fields):
    judgement = _judge(table, now, **fields)
    return judgement.decision is poison.Decision.REFUSE


def test_one_crash_blocks_a_request(table):
    _crash(table, 1, NOW)
    assert_that(_is_refused(table, NOW), matchers.Is(False))


def test_a_second_crash_leaves_a_request_unblocked(table):
    _crash(table, 1, NOW)
    news = _crash(table, 2, NOW + 0.2)
    assert_that(news.blocks[0].part, matchers.Equals('x'))
    assert_that(_is_refused(table, NOW + 0.2), matchers.Is(True))
    judgement = _judge(table, NOW + 0.2)
    assert_that(judgement.is_request, matchers.Is(True))
    assert_that(
        _is_refused(table, NOW + 0.2, identity='y'), matchers.Is(False)
    )


def test_an_answer_between_two_crashes_is_not_counted(table):
    _crash(table, 1, NOW)
    cleared = table.clear_request('x', NOW)
    assert_that(cleared.parts, matchers.Equals(('x',)))
    _crash(table, 2, NOW + 0.2)
    assert_that(_is_refused(table, NOW + 0.2), matchers.Is(False))
    assert_that(table.clear_request('other', NOW), matchers.Is(None))


def test_an_answer_at_another_entry_does_not_end_a_block(table):
    _crash(table, 1, NOW)
    _crash(table, 2, NOW + 0.2)
    news = poison.PartsCleared(poison.ANY_SERVICE, ('x',))
    table.apply_cleared(news, NOW + 0.3)
    assert_that(_is_refused(table, NOW + 0.3), matchers.Is(False))


def test_an_entry_that_missed_an_answer_brings_a_block_back(table):
    _crash(table, 1, NOW)
    news = _crash(table, 2, NOW + 0.2)
    table.clear_request('x', NOW + 0.5)
    assert_that(table.apply_blocks(news, NOW + 1.0), matchers.Equals([]))
    objections = table.due_objections(NOW + 1.0)
    assert_that(objections[0].parts, matchers.Equals(('x',)))


def test_a_crash_after_an_answer_does_not_count(table):
    _crash(table, 1, NOW)
    table.clear_request('x', NOW)
    _crash(table, 2, NOW + 1.0)
    _crash(table, 3, NOW + 2.0)
    assert_that(_is_refused(table, NOW + 2.0), matchers.Is(True))


def test_a_trial_that_crashes_does_not_renew_the_block(table):
    _crash(table, 1, NOW)
    _crash(table, 2, NOW + 0.2)
    later = NOW + 0.2 + _judge(table, NOW + 0.2).retry_after_s
    assert_that(_is_refused(table, later - 0.1), matchers.Is(True))
    assert_that(_is_refused(table, later, request='t'), matchers.Is(False))
    assert_that(_is_refused(table, later, request='other'), matchers.Is(True))
    _crash(table, 3, later + 0.1)
    after_s = _judge(table, later + 0.1, request='t').retry_after_s
    longer = matchers.GreaterThan(tables.REQUEST_BLOCKS_S[1] - 0.01)
    assert_that(after_s, longer)


def test_two_entries_test_one_request_at_the_same_time(table):
    _crash(table, 1, NOW)
    _crash(table, 2, NOW + 0.2)
    later = NOW + 0.2 + _judge(table, NOW + 0.2).retry_after_s
    table.apply_trial(poison.TrialNews(poison.ANY_SERVICE, 'x', 0), later)
    assert_that(_is_refused(table, later + 0.1), matchers.Is(True))
    unfinished = later + tables.REQUEST_TRIAL_TIMEOUT_S
    assert_that(_is_refused(table, unfinished), matchers.Is(False))


def test_repeats_of_one_request_block_its_parts(table):
    for number in range(4):
        _crash(table, number, NOW + number, parts=('rare',))
    judgement = table.judge(
        's', ('rare',), 'q', NOW + 5.0, HOSTS, identity='y'
    )
    assert_that(judgement.decision, matchers.Is(poison.Decision.SEND))


def test_a_part_hides_behind_the_requests_that_it_crashes(table):
    for number in range(4):
        for send in range(2):
            _crash(
                table,
                10 * number + send,
                NOW + number + 0.2 * send,
                identity=f'i{number}',
                parts=('bad',),
            )
    judgement = table.judge('s', ('bad',), 'q', NOW + 5.0, HOSTS, identity='y')
    assert_that(judgement.decision, matchers.Is(poison.Decision.REFUSE))


def test_suspected_requests_grow_without_bound(table):
    for number in range(3000):
        _crash(table, number, NOW, identity=f'i{number}')
    assert_that(table.suspected_request_count, matchers.LessThan(1025))


@pytest.mark.parametrize(
    ('other', 'is_same'),
    [
        (('k', 'w', 'POST', '/a', b'body', 'p'), True),
        (('k', 'w', 'POST', '/a', b'body', 'other'), True),
        (('k', 'w', 'POST', '/a', b'', 'p'), False),
        (('k', 'w', 'POST', '/a', b'body2', 'p'), False),
        (('k', 'w', 'POST', '/b', b'body', 'p'), False),
        (('k', 'w', 'PUT', '/a', b'body', 'p'), False),
        (('k', 'v', 'POST', '/a', b'body', 'p'), False),
        (('l', 'w', 'POST', '/a', b'body', 'p'), False),
        (('k', 'wP', 'OST', '/a', b'body', 'p'), False),
    ],
)
def test_different_requests_share_an_identity(other, is_same):
    one = poison.request_identity('k', 'w', 'POST', '/a', b'body', 'p')
    assert_that(poison.request_identity(*other) == one, matchers.Is(is_same))
