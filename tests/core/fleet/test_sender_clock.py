"""Tests of when a hello was sent."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.fleet import sender_clock


def _hear(count, interval_s, rate=1.0):
    """Return a clock and the last uptime and time of regular hellos."""
    clock = sender_clock.SenderClock.from_hello(1.0, 100.0)
    for number in range(1, count):
        uptime_s, now = 1.0 + number * interval_s, 100.0 + number * interval_s
        clock.sent_at(uptime_s * rate, now)
    return clock, uptime_s * rate, now


@pytest.mark.parametrize('rate', [1.0, 1.0002, 0.9998])
@pytest.mark.parametrize('interval_s', [0.4, 6.0])
def test_clocks_that_drift_for_a_day_agree(rate, interval_s):
    """Guards against running entries whose hellos all count as late."""
    clock, uptime_s, now = _hear(int(86400 / interval_s), interval_s, rate)
    sent_at = clock.sent_at(uptime_s + interval_s * rate, now + interval_s)
    assert_that(abs(sent_at - now - interval_s) < 0.1, matchers.Is(True))
    assert_that(clock.is_confirmed, matchers.Is(True))


@pytest.mark.parametrize('interval_s', [0.4, 1.0, 6.0])
def test_hellos_that_arrive_together_confirm_nothing(interval_s):
    """Guards against hellos of an ended process that nobody knew."""
    clock = sender_clock.SenderClock.from_hello(1.0, 100.0)
    for number in range(1, 50):
        clock.sent_at(1.0 + interval_s * number, 100.0)
    assert_that(clock.is_confirmed, matchers.Is(False))


def test_late_hellos_are_as_old_as_they_are():
    clock, uptime_s, now = _hear(20, 0.4)
    sent_at = clock.sent_at(uptime_s + 0.4, now + 30.0)
    assert_that(abs(sent_at - now - 0.4) < 0.1, matchers.Is(True))


def test_a_sender_that_was_suspended_is_believed_again():
    clock, uptime_s, now = _hear(20, 0.4)
    for number in range(1, 9):
        at = now + 60.0 + 0.4 * number
        sent_at = clock.sent_at(uptime_s + 0.4 * number, at)
    assert_that(sent_at, matchers.Equals(at))
