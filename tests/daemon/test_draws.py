"""Tests of the random draws of processes that start at the same time."""

import time

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import process
from cassiashift_daemon import role_process
from cassiashift_daemon import settings


def _read_config():
    return config.DirectConfig(
        host='127.0.0.1',
        data_centre='east',
        region='r',
        link_port=1,
        listeners=config.Listeners(),
        seeds=(),
    )


def test_direct_entries_started_at_one_time_draw_alike(monkeypatch):
    monkeypatch.setattr(time, 'time_ns', lambda: 1)
    draws = {
        process.DirectEntry(_read_config, None, None).rng.random()
        for _ in range(2)
    }
    assert_that(draws, matchers.HasLength(2))


def test_entries_started_at_one_time_draw_alike(monkeypatch):
    monkeypatch.setattr(time, 'time_ns', lambda: 1)
    cfg = settings.EntrySettings(
        host='a', data_centre='d', region='r', link='127.0.0.1:1'
    )
    draws = {
        role_process.RoleProcess(cfg, 'entry').rng.random() for _ in range(2)
    }
    assert_that(draws, matchers.HasLength(2))
