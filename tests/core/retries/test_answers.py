"""Tests of whole and own answers."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import retries

Fault = retries.FrameFault


@pytest.fixture
def stream():
    found = retries.AnswerStream()
    found.expect('a1')
    return found


def frame(position, text, attempt='a1', last=False):
    parts = tuple(bytes([code]) for code in text.encode())
    return retries.Frame(attempt, position, parts, last)


def test_frame_of_another_attempt_is_dropped_and_counted(stream):
    stream.take(frame(0, 'ab'))
    stream.expect('a2')
    found = stream.take(frame(2, 'x'))
    assert_that(found, matchers.Equals(retries.Dropped(Fault.OTHER_ATTEMPT)))
    assert_that(stream.dropped[Fault.OTHER_ATTEMPT], matchers.Equals(1))


def test_stream_without_its_end_mark_is_not_whole(stream):
    stream.take(frame(0, 'abc'))
    assert_that(stream.whole, matchers.Equals(False))
    stream.take(frame(3, '', last=True))
    assert_that(stream.whole, matchers.Equals(True))


def test_nothing_follows_the_end_mark(stream):
    stream.take(frame(0, 'a', last=True))
    found = stream.take(frame(1, 'b'))
    assert_that(found.fault, matchers.Is(Fault.AFTER_END))


def test_gap_breaks_the_attempt(stream):
    found = stream.take(frame(1, 'b'))
    assert_that(found, matchers.Equals(retries.Dropped(Fault.GAP, True)))


def test_repeated_frame_is_dropped(stream):
    stream.take(frame(0, 'abc'))
    found = stream.take(frame(0, 'ab'))
    assert_that(found.fault, matchers.Is(Fault.REPEATED))
    found = stream.take(frame(0, 'abc'))
    assert_that(found.fault, matchers.Is(Fault.REPEATED))


@pytest.mark.parametrize('seed', range(20))
def test_resumed_streams_double_and_miss_nothing(seed):
    rng = random.Random(seed)
    text = ''.join(rng.choice('abcdef') for _ in range(200))
    stream = retries.AnswerStream()
    received = []
    stray = []
    attempt = 0
    while not stream.whole:
        attempt += 1
        name = f'a{attempt}'
        position = max(0, stream.expect(name) - rng.randrange(3))
        while not stream.whole and rng.random() < 0.9:
            size = rng.randrange(1, 9)
            part = text[position : position + size]
            last = position + size >= len(text)
            sent = frame(position, part, name, last)
            stray.append(frame(position, 'zzz', f'old{attempt}'))
            for item in (rng.choice(stray), sent):
                found = stream.take(item)
                if isinstance(found, retries.Accepted):
                    received.extend(found.parts)
            position += len(part)
    whole = b''.join(received).decode()
    assert_that(whole, matchers.Equals(text))
