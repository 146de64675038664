"""Tests of maps as they are carried to the ranks."""

import subprocess
import sys

import numpy as np
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import balancing
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import traces

RANKS = ('r0', 'r1', 'r2', 'r3')


def placed():
    trace = traces.generate(
        traces.TraceKind.DRIFT, 1, windows=1, layers=2, experts=16
    )
    rng = np.random.default_rng(1)
    return tuple(rng.random((row.shape[0], 4)) < 0.4 for row in trace[0])


def test_map_survives_the_codec_and_the_way_back():
    before = placed()
    body = placements.to_map(RANKS, before).to_bytes()
    again = balancing.ExpertMap.from_bytes(body)
    after = placements.from_map(again, RANKS, 16)
    for one, two in zip(before, after, strict=True):
        assert_that(two.tolist(), matchers.Equals(one.tolist()))


def test_fetches_are_the_moves_of_the_planner():
    before = placed()
    after = tuple(np.roll(layer, 1, axis=1) for layer in before)
    old = placements.to_map(RANKS, before)
    new = placements.to_map(RANKS, after)
    fetched = sum(len(new.fetches(rank, old)) for rank in RANKS)
    wanted = sum(map(placements.moves, before, after))
    assert_that(fetched, matchers.Equals(wanted))


def test_rank_that_joined_since_has_empty_slots():
    expert_map = placements.to_map(RANKS, placed())
    layers = placements.from_map(expert_map, (*RANKS, 'r9'), 16)
    assert_that(int(layers[0][:, 4].sum()), matchers.Equals(0))


def test_agents_do_not_import_numpy():
    code = (
        'import sys; from cassiashift_core import balancing, mapswitch; '
        'sys.exit("numpy" in sys.modules)'
    )
    done = subprocess.run([sys.executable, '-c', code], check=False)
    assert_that(done.returncode, matchers.Equals(0))
