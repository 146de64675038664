"""Tests of the clock, the recorder, merging, filters and rendering."""

import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import timeline
from cassiashift_core.timeline import clocks
from cassiashift_core.timeline import rendering

START_US = 1_700_000_000_000_000


@pytest.mark.parametrize('seed', range(5))
def test_receipts_follow_their_sends_when_wall_clocks_jump(seed):
    rng = random.Random(seed)
    offsets = {host: rng.randint(-9_000_000, 9_000_000) for host in 'abcd'}
    recorders = {host: timeline.Recorder(host, 'entry') for host in offsets}
    for step in range(300):
        now_us = START_US + step * 1000
        source, target = rng.sample('abcd', 2)
        if rng.random() < 0.1:
            offsets[source] -= rng.randint(0, 5_000_000)
        sent = recorders[source].record(
            timeline.SEND, now_us + offsets[source], message=f'm{step}'
        )
        received = recorders[target].record(
            timeline.RECEIVE,
            now_us + offsets[target],
            remote=sent.clock,
            message=f'm{step}',
        )
        assert_that(received.clock, matchers.GreaterThan(sent.clock))
    merged = timeline.merge(item.events() for item in recorders.values())
    seen = set()
    for event in merged:
        if event.kind == timeline.RECEIVE:
            assert_that(seen, matchers.Contains(event.message))
        seen.add(event.message)
    for host in 'abcd':
        numbers = [item.sequence for item in merged if item.host == host]
        assert_that(numbers, matchers.Equals(sorted(numbers)))


def test_reading_too_far_ahead_is_ignored():
    clock = timeline.Clock()
    remote = timeline.Timestamp(START_US + 2 * clocks.MAX_DRIFT_US)
    reading = clock.receive(remote, START_US)
    assert_that(reading, matchers.Equals(timeline.Timestamp(START_US)))
    assert_that(clock.drift_rejections, matchers.Equals(1))


def test_recorder_limits_events_and_fields_and_counts_drops():
    recorder = timeline.Recorder('a', 'entry', capacity=10)
    for step in range(25):
        fields = {f'f{index}': 'x' * 999 for index in range(99)}
        recorder.record('call', START_US + step, fields=fields)
    kept = recorder.events()
    assert_that(kept, matchers.HasLength(10))
    assert_that(recorder.dropped, matchers.Equals(15))
    assert_that(kept[0].fields, matchers.HasLength(16))
    assert_that(kept[0].fields['f0'], matchers.HasLength(200))
    assert_that(recorder.events(after=24), matchers.Equals(kept[-1:]))


@pytest.fixture
def recorded():
    entry = timeline.Recorder('h1', 'entry')
    agent = timeline.Recorder('h2', 'agent')
    sent = entry.record(
        'send', START_US, request='r1', workspace='w1', message='m1'
    )
    agent.record(
        'receive', START_US, remote=sent.clock, request='r1', message='m1'
    )
    entry.record('switch', START_US + 5, group='g1', revision=7)
    return [entry.events(), agent.events()]


@pytest.mark.parametrize(
    ('event_filter', 'count'),
    [
        (timeline.Filter(), 3),
        (timeline.Filter(request='r1'), 2),
        (timeline.Filter(request='r1', host='h2'), 1),
        (timeline.Filter(workspace='w1'), 1),
        (timeline.Filter(group='g1'), 1),
        (timeline.Filter(since_us=START_US + 5), 1),
        (timeline.Filter(until_us=START_US), 2),
    ],
)
def test_filter_selects_matching_events(recorded, event_filter, count):
    merged = timeline.merge(recorded, event_filter)
    assert_that(merged, matchers.HasLength(count))


def test_event_from_two_sources_is_returned_once(recorded):
    merged = timeline.merge([*recorded, *recorded])
    assert_that(merged, matchers.HasLength(3))


def test_events_are_unchanged_by_encoding_and_decoding(recorded):
    merged = timeline.merge(recorded)
    data = timeline.as_json_lines(merged)
    assert_that(data.count(b'\n'), matchers.Equals(3))
    assert_that(timeline.from_json_lines(data), matchers.Equals(merged))
    with pytest.raises(msgspec.ValidationError):
        timeline.from_json_lines(b'{"clock": 3}\n')


def test_text_has_aligned_columns(recorded):
    lines = timeline.as_text(timeline.merge(recorded)).splitlines()
    assert_that(lines, matchers.HasLength(4))
    columns = {
        line.index(name)
        for line, name in zip(
            lines[1:], ('send', 'receive', 'switch'), strict=True
        )
    }
    assert_that(columns, matchers.HasLength(1))
    assert_that(lines[3], matchers.EndsWith('group=g1 revision=7'))
    assert_that(rendering.COLUMNS, matchers.HasLength(5))
