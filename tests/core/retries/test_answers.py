"""Tests of the assembly of an answer from frames."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import retries

Fault = retries.FrameFault


@pytest.fixture
def stream():
    result = retries.AnswerStream()
    result.begin_attempt('a1')
    return result


def frame(position, text, attempt='a1', last=False):
    parts = tuple(bytes([code]) for code in text.encode())
    return retries.Frame(attempt, position, parts, last)


def test_frame_of_another_attempt_is_dropped_and_counted(stream):
    stream.add_frame(frame(0, 'ab'))
    stream.begin_attempt('a2')
    result = stream.add_frame(frame(2, 'x'))
    assert_that(result, matchers.Equals(retries.Dropped(Fault.OTHER_ATTEMPT)))
    assert_that(stream.dropped[Fault.OTHER_ATTEMPT], matchers.Equals(1))


def test_stream_without_its_end_mark_is_not_complete(stream):
    stream.add_frame(frame(0, 'abc'))
    assert_that(stream.complete, matchers.Equals(False))
    stream.add_frame(frame(3, '', last=True))
    assert_that(stream.complete, matchers.Equals(True))


def test_nothing_follows_the_end_mark(stream):
    stream.add_frame(frame(0, 'a', last=True))
    result = stream.add_frame(frame(1, 'b'))
    assert_that(result.fault, matchers.Is(Fault.AFTER_END))


def test_gap_breaks_the_attempt(stream):
    result = stream.add_frame(frame(1, 'b'))
    assert_that(result, matchers.Equals(retries.Dropped(Fault.GAP, True)))


def test_repeated_frame_is_dropped(stream):
    stream.add_frame(frame(0, 'abc'))
    result = stream.add_frame(frame(0, 'ab'))
    assert_that(result.fault, matchers.Is(Fault.REPEATED))
    result = stream.add_frame(frame(0, 'abc'))
    assert_that(result.fault, matchers.Is(Fault.REPEATED))


@pytest.mark.parametrize('seed', range(20))
def test_resumed_streams_repeat_and_omit_nothing(seed):
    rng = random.Random(seed)
    text = ''.join(rng.choice('abcdef') for _ in range(200))
    stream = retries.AnswerStream()
    received = []
    stray = []
    attempt = 0
    while not stream.complete:
        attempt += 1
        name = f'a{attempt}'
        position = max(0, stream.begin_attempt(name) - rng.randrange(3))
        while not stream.complete and rng.random() < 0.9:
            size = rng.randrange(1, 9)
            part = text[position : position + size]
            last = position + size >= len(text)
            sent = frame(position, part, name, last)
            stray.append(frame(position, 'zzz', f'old{attempt}'))
            for item in (rng.choice(stray), sent):
                result = stream.add_frame(item)
                if isinstance(result, retries.Accepted):
                    received.extend(result.parts)
            position += len(part)
    complete = b''.join(received).decode()
    assert_that(complete, matchers.Equals(text))
