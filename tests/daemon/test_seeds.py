"""Tests of reloading the seeds while a process runs."""

import attrs
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import seeds


@attrs.frozen
class _Config:
    seeds: tuple[str, ...] = ('a', 'b')
    host: str = 'h'


def test_only_the_seeds_are_reloaded():
    reloaded = seeds.reload_seeds(_Config(), lambda: _Config(('c',), 'other'))
    assert_that(reloaded, matchers.Equals(_Config(('c',))))


def test_unreadable_or_equal_settings_change_nothing():
    def refuse():
        raise ValueError('ip: is missing')

    cfg = _Config()
    assert_that(seeds.reload_seeds(cfg, refuse), matchers.Is(cfg))
    assert_that(seeds.reload_seeds(cfg, _Config), matchers.Is(cfg))
