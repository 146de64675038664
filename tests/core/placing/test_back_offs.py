"""Tests of pauses that upstreams ask for."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core.fleet import conditions
from cassiashift_core import placing

STATES = list(fleet.UpstreamState)


def _upstream(id_='u', born_ms=1, **fields):
    return fleet.Upstream(
        id_, 's', f'10.0.0.1:{id_}', 'east', born_ms=born_ms, **fields
    )


@pytest.fixture
def chooser():
    table = fleet.UpstreamTable(1e9, 1e9)
    table.apply(_upstream(), 0.0)
    return placing.Chooser(table, 'east', random.Random(1))


def _record(chooser, seconds, now, id_='u'):
    upstream = chooser.upstreams.find(id_)
    condition = chooser.upstreams.condition(upstream)
    return condition.record_back_off(seconds, now)


def _ends_at(chooser, upstream=None):
    upstream = upstream or chooser.upstreams.find('u')
    return chooser.upstreams.condition(upstream).backs_off_until


def test_a_new_start_of_an_upstream_ends_its_pause(chooser):
    assert_that(_record(chooser, 5.0, 100.0), matchers.Equals(5.0))
    assert_that(_ends_at(chooser), matchers.Equals(105.0))
    assert_that(_ends_at(chooser, _upstream(born_ms=2)), matchers.Equals(0.0))
    chooser.upstreams.apply(_upstream(born_ms=2), 101.0)
    assert_that(_ends_at(chooser), matchers.Equals(0.0))


def test_a_shorter_pause_does_not_end_a_longer_one(chooser):
    _record(chooser, 5.0, 100.0)
    _record(chooser, 0.5, 101.0)
    assert_that(_ends_at(chooser), matchers.Equals(105.0))


@pytest.mark.parametrize('seconds', [0.0, -3.0, float('nan'), float('inf')])
def test_a_meaningless_pause_is_none(chooser, seconds):
    recorded = _record(chooser, seconds, 100.0)
    assert_that(recorded, matchers.Equals(0.0))
    assert_that(_ends_at(chooser), matchers.Equals(0.0))


def test_a_pause_of_days_is_shortened(chooser):
    recorded = _record(chooser, 864000.0, 0.0)
    assert_that(recorded, matchers.Equals(conditions.LONGEST_BACK_OFF_S))


def test_there_is_room_once_the_first_pause_ends(chooser):
    both = [_upstream('a'), _upstream('b')]
    chooser.upstreams.apply_all(both, 0.0)
    assert_that(chooser.room_in_s(both, 100.0), matchers.Equals(0.0))
    _record(chooser, 5.0, 100.0, 'a')
    assert_that(chooser.room_in_s(both, 100.0), matchers.Equals(0.0))
    _record(chooser, 3.0, 100.0, 'b')
    assert_that(chooser.room_in_s(both, 101.0), matchers.Equals(2.0))
    assert_that(chooser.room_in_s([], 101.0), matchers.Equals(0.0))


@pytest.mark.parametrize('seed', range(50))
def test_no_order_of_events_sends_to_an_upstream_that_leaves_or_pauses(seed):
    rng = random.Random(seed)
    table = fleet.UpstreamTable(1e9, 1e9)
    chooser = placing.Chooser(table, 'east', random.Random(seed))
    born_ms, sequence = 1, 1
    table.apply(_upstream(), 0.0)
    leaving, paused_until = set(), {}
    for step in range(200):
        now = step * 0.1
        upstream = table.find('u')
        event = rng.choice(['answer', 'pause', 'beat', 'late', 'restart'])
        if event == 'answer' and rng.random() < 0.3:
            table.mark_leaving('u', upstream.born_ms)
            leaving.add(upstream.born_ms)
        elif event == 'pause':
            seconds = rng.uniform(0.1, 2.0)
            table.condition(upstream).record_back_off(seconds, now)
            paused_until[upstream.born_ms] = max(
                now + seconds, paused_until.get(upstream.born_ms, 0.0)
            )
        elif event == 'beat':
            sequence += 1
            beat = _upstream(born_ms=born_ms, sequence=sequence)
            table.apply(beat, now)
        elif event == 'late':
            state = rng.choice(STATES[:1])
            table.apply(_upstream(born_ms=born_ms, state=state), now)
        elif event == 'restart' and rng.random() < 0.3:
            born_ms, sequence = born_ms + 1, 1
            table.apply(_upstream(born_ms=born_ms), now)
        snapshot = chooser.snapshot(table.accepting('s', now), 9, (), now)
        chosen = placing.decide(snapshot).chosen
        current = table.find('u').born_ms
        is_allowed = current not in leaving and now >= paused_until.get(
            current, 0.0
        )
        assert_that(chosen is not None, matchers.Equals(is_allowed))
