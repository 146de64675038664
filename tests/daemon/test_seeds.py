"""Tests of seeds that change while a process runs."""

import attrs
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import seeds


@attrs.frozen
class _Config:
    seeds: tuple[str, ...] = ('a', 'b')
    host: str = 'h'


def test_only_the_seeds_are_taken_from_changed_settings():
    found = seeds.renewed(_Config(), lambda: _Config(('c',), 'other'))
    assert_that(found, matchers.Equals(_Config(('c',))))


def test_settings_that_can_not_be_read_change_nothing():
    def refuse():
        raise ValueError('ip: is missing')

    cfg = _Config()
    assert_that(seeds.renewed(cfg, refuse), matchers.Is(cfg))
    assert_that(seeds.renewed(cfg, _Config), matchers.Is(cfg))
