"""Tests of splitting bytes into events."""

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import eventstream

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 3\n\n'


def _collect(chunks):
    reader = eventstream.EventReader()
    events = [event for chunk in chunks for event in reader.feed(chunk)]
    return reader, events


def test_events_are_passed_on_unchanged():
    reader, events = _collect([STREAM])
    assert_that(
        b''.join(event.data for event in events), matchers.Equals(STREAM)
    )
    assert_that(
        [event.id for event in events], matchers.Equals([1, 2, None, 3])
    )
    assert_that(reader.last_id, matchers.Equals(3))
    assert_that(reader.is_between_events, matchers.Is(True))


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_chunk_boundaries_do_not_change_the_events(cuts):
    cuts = sorted({0, len(STREAM), *cuts})
    chunks = [STREAM[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]
    _, expected = _collect([STREAM])
    _, events = _collect(chunks)
    assert_that(events, matchers.Equals(expected))


def test_an_incomplete_event_is_buffered():
    reader, events = _collect([b'id: 1\n\nid: 2\ndata: x'])
    assert_that(events, matchers.HasLength(1))
    assert_that(reader.is_between_events, matchers.Is(False))
    reader.restart()
    assert_that(reader.last_id, matchers.Equals(1))
    assert_that(reader.feed(b'id: 2\n\n'), matchers.HasLength(1))


def test_an_event_that_is_too_long_is_refused():
    reader = eventstream.EventReader()
    with pytest.raises(ValueError, match='exceeds'):
        reader.feed(b'x' * (2 * 1024 * 1024))
