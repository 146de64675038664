"""Tests of streams that stall, beside slow ones and whole services."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import stalls

STEP_S = 0.02
SEEDS = range(50)


@attrs.define(eq=False)
class Streams:
    """Streams of one service in simulated time.

    Attributes:
        pause_s: draws the pause of one of them.
        stalled_from: time from which a stream gets no event, by number.
        still: times between which no stream gets an event.
        found: number and time of the streams that were found stalled.
    """

    seed: int
    count: int
    pause_s: object = lambda rng: rng.uniform(0.02, 0.1)
    stalled_from: dict = attrs.field(factory=dict)
    still: tuple = (0.0, 0.0)
    found: list = attrs.field(factory=list)

    def play(self, until):
        """Play until a time; a stream that is found stalled ends."""
        rng = random.Random(self.seed)
        judge = stalls.StallJudge()
        watches = {
            number: judge.begin('model', 0.0) for number in range(self.count)
        }
        due = dict.fromkeys(watches, 0.2)
        for step in range(int(until / STEP_S)):
            now = step * STEP_S
            for number, watch in list(watches.items()):
                is_silent = (
                    now >= self.stalled_from.get(number, until)
                    or self.still[0] <= now < self.still[1]
                )
                if now >= due[number] and not is_silent:
                    judge.record_events(watch, now)
                    due[number] = now + self.pause_s(rng)
                elif judge.is_stalled(watch, now):
                    self.found.append((number, now))
                    del watches[number]


@pytest.mark.parametrize('count', [2, 4, 40])
@pytest.mark.parametrize('stalled_from', [0.0, 3.0])
def test_a_stalled_stream_is_found_while_others_go_on(count, stalled_from):
    longest_s = stalls.MAX_PAUSE_S if stalled_from else stalls.MAX_FIRST_S
    for seed in SEEDS:
        streams = Streams(seed, count, stalled_from={0: stalled_from})
        streams.play(12.0)
        assert_that(streams.found, matchers.HasLength(1), str(seed))
        number, at = streams.found[0]
        assert_that(number, matchers.Equals(0))
        assert_that(
            at - stalled_from, matchers.LessThan(longest_s + 0.5), str(seed)
        )


@pytest.mark.parametrize('still_s', [0.7, 1.5, 4.0])
def test_streams_that_stand_still_together_are_not_stalled(still_s):
    for seed in SEEDS:
        streams = Streams(seed, 8, still=(3.0, 3.0 + still_s))
        streams.play(12.0)
        assert_that(streams.found, matchers.Equals([]), str(seed))


def test_slow_streams_are_not_stalled():
    for seed in SEEDS:
        streams = Streams(seed, 8, pause_s=lambda rng: rng.uniform(0.3, 0.55))
        streams.play(30.0)
        assert_that(streams.found, matchers.Equals([]), str(seed))


def test_a_stream_without_others_is_not_judged():
    streams = Streams(1, 1, stalled_from={0: 3.0})
    streams.play(30.0)
    assert_that(streams.found, matchers.Equals([]))
