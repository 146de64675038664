"""Tests of maps that are stated as changes of known ones."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import deltas
from cassiashift_core.rankmaps import planning
from cassiashift_net import wire

SHAPE = rankmaps.GroupShape(63, 8, 252, 5, 2, 5)
# A switch must not occupy a link of 4 Mbit/s for longer than a pass of 0.1 s.
MAX_BYTES = 0.1 * 4e6 / 8 / 62


def _loads(rng, shifted, loads):
    """Return loads of which a share of the experts is drawn anew."""
    return [
        [
            rng.paretovariate(2.0) if rng.random() < shifted else load
            for load in row
        ]
        for row in loads
    ]


def _order(lists):
    return rankmaps.Order(rankmaps.OrderKind.PREPARE, 3, 1, 126, lists=lists)


@pytest.fixture(scope='module')
def maps():
    """Return map 0 and two that follow it."""
    rng = random.Random(1)
    loads = [[0.0] * SHAPE.experts] * SHAPE.sets
    maps = [rankmaps.first_map(SHAPE)]
    for shifted in (1.0, 0.5):
        loads = _loads(rng, shifted, loads)
        maps.append(planning.plan(maps[-1], loads, SHAPE).lists)
    return maps


@pytest.mark.parametrize('base', [0, 1])
def test_a_change_restores_the_whole_map_and_is_small(maps, base):
    """Guards links of agents against a whole map for each rank."""
    order = _order(maps[base + 1])
    message = deltas.change('h', order, base, maps[base])
    known = maps[base] if base else None
    assert_that(deltas.complete(message, known), matchers.Equals(order))
    frames = wire.CODEC.encode_frames(message)
    assert_that(sum(map(len, frames)), matchers.LessThan(MAX_BYTES))
    whole = rankmaps.EngineOrder('h', order)
    size = sum(map(len, wire.CODEC.encode_frames(whole)))
    assert_that(size, matchers.GreaterThan(MAX_BYTES))


def test_ranks_prepare_different_maps_under_one_version(maps):
    """Guards against a base that is another map, or not known."""
    message = deltas.change('h', _order(maps[2]), 63, maps[1])
    assert_that(deltas.complete(message, None), matchers.Is(None))
    assert_that(deltas.complete(message, maps[0]), matchers.Is(None))
    for moves in ((8, 0, deltas.NONE, 1), (0, 0, 1)):
        damaged = attrs.evolve(message, moves=moves)
        assert_that(deltas.complete(damaged, maps[1]), matchers.Is(None))


def test_a_base_of_another_epoch_is_not_used(maps):
    """Versions are counted anew in each epoch."""
    report = rankmaps.RankReport('g', 2, 1, 63, True, 5, map_version=63)
    coordinator = rankmaps.Coordinator(report, 'h', SHAPE)
    order = _order(maps[1])
    coordinator.keep_prepared_map(attrs.evolve(order, version=63))
    message = deltas.change('h', _order(maps[2]), 63, maps[1])
    assert_that(coordinator.complete(message), matchers.Is(None))
    now = attrs.evolve(message, order=attrs.evolve(message.order, epoch=2))
    assert_that(coordinator.complete(now).lists, matchers.Equals(maps[2]))
    same = coordinator.as_change(attrs.evolve(order, version=189))
    assert_that(same.moves, matchers.Equals(()))


def test_a_change_for_one_rank_is_used_for_another_map(maps):
    """Guards the one comparison of two maps for all ranks."""
    changes = deltas.Changes('h')
    orders = [
        (rank, base, attrs.evolve(_order(maps[base + 1]), rank=rank))
        for base in (0, 1, 0)
        for rank in (3, 4)
    ]
    for rank, base, order in orders:
        message = changes.change(order, base, maps[base])
        assert_that(message.order.rank, matchers.Equals(rank))
        assert_that(
            deltas.complete(message, maps[base]), matchers.Equals(order)
        )
