"""Tests of loads, retry budgets, attempts and the request queue."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_core import Verdict

ROUTE = routes.Route(
    'r', 'h', '/', routes.Kind.SAFE, (routes.Target('s'),), 1.0, attempts=2
)
UNSAFE = attrs.evolve(ROUTE, kind=routes.Kind.UNSAFE, attempts=1)


@pytest.fixture
def chooser():
    return _chooser(1)


def _chooser(seed):
    table = fleet.UpstreamTable(1e9, 1e9)
    return placing.Chooser(table, 'east', random.Random(seed))


def _upstreams(chooser, count):
    upstreams = [
        fleet.Upstream(f'u{number}', 's', f'10.0.0.{number}:1', 'east')
        for number in range(count)
    ]
    chooser.upstreams.apply_all(upstreams, 0.0)
    return upstreams


def _condition(chooser, id_):
    return chooser.upstreams.condition(chooser.upstreams.find(id_))


def _choose(chooser, upstreams, limit=2, excluded=(), now=0.0):
    snapshot = chooser.snapshot(upstreams, limit, excluded, now)
    upstream = placing.decide(snapshot).chosen
    return upstream and upstream.id


def test_the_least_loaded_upstream_is_chosen(chooser):
    upstreams = _upstreams(chooser, 3)
    _condition(chooser, 'u0').record_send(0.0)
    _condition(chooser, 'u2').record_send(0.0)
    assert_that(_choose(chooser, upstreams), matchers.Equals('u1'))


def test_nothing_is_chosen_beyond_the_limit(chooser):
    upstreams = _upstreams(chooser, 2)
    for id_ in ('u0', 'u1'):
        _condition(chooser, id_).record_send(0.0)
        _condition(chooser, id_).record_send(0.0)
    assert_that(_choose(chooser, upstreams), matchers.Is(None))
    _condition(chooser, 'u0').record_end()
    assert_that(_choose(chooser, upstreams), matchers.Equals('u0'))


def test_an_upstream_that_is_down_is_probed_after_a_pause(chooser):
    upstreams = _upstreams(chooser, 1)
    load = _condition(chooser, 'u0')
    load.record_send(0.0)
    load.record_failure(0.0, is_down=True)
    load.record_end()
    assert_that(_choose(chooser, upstreams, now=0.1), matchers.Is(None))
    assert_that(_choose(chooser, upstreams, now=1.0), matchers.Equals('u0'))
    load.record_send(1.0)
    assert_that(_choose(chooser, upstreams, now=1.0), matchers.Is(None))
    load.record_success(1.1)
    load.record_end()
    assert_that(_choose(chooser, upstreams, now=1.1), matchers.Equals('u0'))


def test_an_upstream_that_fails_often_is_avoided(chooser):
    upstreams = _upstreams(chooser, 2)
    _condition(chooser, 'u0').record_failure(0.0)
    for _ in range(20):
        assert_that(_choose(chooser, upstreams), matchers.Equals('u1'))


def test_a_full_upstream_is_used_again_after_a_pause(chooser):
    upstreams = _upstreams(chooser, 1)
    _condition(chooser, 'u0').record_refusal(0.0, 0.2)
    assert_that(_choose(chooser, upstreams, now=0.1), matchers.Is(None))
    assert_that(_choose(chooser, upstreams, now=0.2), matchers.Equals('u0'))


@pytest.mark.parametrize('entries', [1, 3, 11])
@pytest.mark.parametrize('load', [0, 10, 200])
def test_all_entries_together_keep_the_shared_budget(entries, load):
    budgets = [placing.WindowBudget(0.2, 98.0, 10.0) for _ in range(entries)]
    spent = 0
    for step in range(2000):
        now = step * 0.01
        budget = budgets[step % entries]
        if step < load:
            budget.record_first_send(now)
        spent += budget.try_spend(entries, now) and now >= 10.0
    assert_that(spent, matchers.LessThan(0.2 * load + 98.0 + 1))


def test_an_unsafe_request_is_sent_again_only_if_it_was_refused():
    log = placing.AttemptLog(UNSAFE)
    log.record('u0', Verdict.NOT_RUN)
    assert_that(log.may_retry(), matchers.Is(True))
    log.record('u1', Verdict.MAY_HAVE_RUN)
    assert_that(log.may_retry(), matchers.Is(False))
    assert_that(log.verdict, matchers.Is(Verdict.MAY_HAVE_RUN))


def test_a_safe_request_is_sent_up_to_the_attempts_of_the_route():
    log = placing.AttemptLog(ROUTE)
    log.record('u0', Verdict.MAY_HAVE_RUN)
    assert_that(log.may_retry(), matchers.Is(True))
    log.record('u1', Verdict.RAN)
    assert_that(log.may_retry(), matchers.Is(False))
    assert_that(log.excluded, matchers.Equals({'u0', 'u1'}))


def test_the_number_of_refused_sends_is_limited():
    log = placing.AttemptLog(ROUTE)
    for number in range(3):
        assert_that(log.may_retry(), matchers.Is(True))
        log.record(f'u{number}', Verdict.NOT_RUN)
    assert_that(log.may_retry(), matchers.Is(False))
    assert_that(log.verdict, matchers.Is(Verdict.NOT_RUN))
    assert_that(log.excluded, matchers.Equals(set()))


def _queued_share(entries):
    """Simulate streams on 16 upstreams; return the share that queued.

    The load is that of the heaviest day: 45 streams a second of 1.2 s each
    on 96 slots.
    """
    rng = random.Random(1)
    choosers = [_chooser(number) for number in range(entries)]
    for chooser in choosers:
        upstreams = _upstreams(chooser, 16)
    running = dict.fromkeys((u.id for u in upstreams), 0)
    ends = []
    placed = queued = 0
    for step in range(20_000):
        now = step * 0.01
        while ends and ends[0][0] <= now:
            _, chooser, id_ = ends.pop(0)
            _condition(chooser, id_).record_end()
            running[id_] -= 1
        if rng.random() < 0.45:
            chooser = rng.choice(choosers)
            snapshot = chooser.snapshot(upstreams, 6, (), now)
            chosen = placing.decide(snapshot).chosen
            _condition(chooser, chosen.id).record_send(now)
            placed += 1
            queued += running[chosen.id] >= 6
            running[chosen.id] += 1
            ends.append((now + rng.uniform(0.4, 2.0), chooser, chosen.id))
            ends.sort(key=lambda row: row[0])
    return queued / placed


def test_with_fewer_entries_fewer_streams_queue():
    assert_that(_queued_share(6), matchers.LessThan(_queued_share(11) / 2))
