"""Tests of cutting bytes into events."""

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import eventstream

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 3\n\n'


def _collect(pieces):
    reader = eventstream.EventReader()
    events = [event for piece in pieces for event in reader.feed(piece)]
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
def test_the_cut_of_the_pieces_changes_nothing(places):
    places = sorted({0, len(STREAM), *places})
    pieces = [STREAM[a:b] for a, b in zip(places, places[1:], strict=False)]
    _, whole = _collect([STREAM])
    _, events = _collect(pieces)
    assert_that(events, matchers.Equals(whole))


def test_a_part_of_an_event_is_kept_back():
    reader, events = _collect([b'id: 1\n\nid: 2\ndata: x'])
    assert_that(events, matchers.HasLength(1))
    assert_that(reader.is_between_events, matchers.Is(False))
    reader.restart()
    assert_that(reader.last_id, matchers.Equals(1))
    assert_that(reader.feed(b'id: 2\n\n'), matchers.HasLength(1))


def test_an_event_without_an_end_is_refused():
    reader = eventstream.EventReader()
    with pytest.raises(ValueError, match='exceeds'):
        reader.feed(b'x' * (2 * 1024 * 1024))
