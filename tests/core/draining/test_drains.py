"""Tests of the drains of entries and upstreams."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import draining


@pytest.fixture
def cfg():
    return draining.DrainConfig(
        directory_margin_s=4.0, max_ttl_s=12.0, quiet_s=0.5
    )


def test_upstream_refuses_at_once_and_ends_when_idle(cfg):
    drain = draining.UpstreamDrain.from_config(cfg)
    drain.handle(draining.InFlightChanged(2), 0.0)
    effects = drain.handle(draining.StopRequested(), 1.0)
    assert_that(effects, matchers.Equals([draining.RefuseNewCalls()]))
    assert_that(drain.accepts_calls, matchers.Equals(False))
    assert_that(drain.handle(draining.Tick(), 99.0), matchers.Equals([]))
    drain.handle(draining.InFlightChanged(0), 100.0)
    assert_that(drain.handle(draining.Tick(), 100.4), matchers.Equals([]))
    effects = drain.handle(draining.Tick(), 100.5)
    assert_that(effects, matchers.Equals([draining.End()]))


def test_upstream_accepts_calls_after_the_drain_is_cancelled(cfg):
    drain = draining.UpstreamDrain.from_config(cfg)
    drain.handle(draining.InFlightChanged(1), 0.0)
    drain.handle(draining.StopRequested(), 1.0)
    drain.handle(draining.Resume(), 2.0)
    assert_that(drain.accepts_calls, matchers.Equals(True))


def test_entry_serves_until_every_answer_has_expired(cfg):
    drain = draining.EntryDrain.from_config(cfg)
    drain.record_directory_answer(40.0)
    effects = drain.handle(draining.StopRequested(), 20.0)
    wanted = [draining.LeaveDirectory(), draining.CloseIdleConnections()]
    assert_that(effects, matchers.Equals(wanted))
    drain.handle(draining.Tick(), 39.9)
    assert_that(drain.accepts_calls, matchers.Equals(True))
    effects = drain.handle(draining.Tick(), 40.1)
    assert_that(drain.accepts_calls, matchers.Equals(False))
    assert_that(effects[0], matchers.Equals(draining.RefuseNewCalls()))


def test_entry_allows_for_answers_of_directories_not_yet_informed(cfg):
    drain = draining.EntryDrain.from_config(cfg)
    drain.handle(draining.StopRequested(), 20.0)
    drain.handle(draining.Tick(), 20.0 + 4.0 + 12.0)
    assert_that(drain.accepts_calls, matchers.Equals(True))


def test_entry_with_a_call_in_progress_does_not_end(cfg):
    drain = draining.EntryDrain.from_config(cfg)
    drain.handle(draining.InFlightChanged(1), 0.0)
    drain.handle(draining.StopRequested(), 1.0)
    drain.handle(draining.Tick(), 50.0)
    assert_that(drain.state, matchers.Equals('finishing'))
    drain.handle(draining.InFlightChanged(0), 60.0)
    effects = drain.handle(draining.Tick(), 60.5)
    assert_that(effects, matchers.Equals([draining.End()]))


def test_second_stop_request_changes_nothing(cfg):
    drain = draining.EntryDrain.from_config(cfg)
    drain.handle(draining.StopRequested(), 1.0)
    effects = drain.handle(draining.StopRequested(), 2.0)
    assert_that(effects, matchers.Equals([]))


def test_repeated_reports_of_no_calls_do_not_delay_the_end(cfg):
    drain = draining.EntryDrain.from_config(cfg)
    drain.handle(draining.StopRequested(), 0.0)
    effects = []
    for tenths in range(1, 200):
        effects += drain.handle(draining.InFlightChanged(0), tenths / 10)
    assert_that(effects, matchers.Contains(draining.End()))
