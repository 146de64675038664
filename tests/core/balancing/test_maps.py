"""Tests of the expert map and of its conversion from and to placements."""

import subprocess
import sys

import numpy as np
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import balancing
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import traces

RANKS = ('r0', 'r1', 'r2', 'r3')


def random_placements():
    trace = traces.generate(
        traces.TraceKind.DRIFT, 1, windows=1, layers=2, experts=16
    )
    rng = np.random.default_rng(1)
    return tuple(rng.random((row.shape[0], 4)) < 0.4 for row in trace[0])


def test_placements_are_unchanged_by_encoding_and_decoding():
    before = random_placements()
    body = placements.to_map(RANKS, before).to_bytes()
    decoded = balancing.ExpertMap.from_bytes(body)
    after = placements.from_map(decoded, RANKS, 16)
    for old_layer, new_layer in zip(before, after, strict=True):
        assert_that(new_layer.tolist(), matchers.Equals(old_layer.tolist()))


def test_fetches_equal_the_moves_of_the_planner():
    before = random_placements()
    after = tuple(np.roll(layer, 1, axis=1) for layer in before)
    old = placements.to_map(RANKS, before)
    new = placements.to_map(RANKS, after)
    fetched = sum(len(new.fetches(rank, old)) for rank in RANKS)
    moves = sum(map(placements.count_moves, before, after))
    assert_that(fetched, matchers.Equals(moves))


def test_rank_that_is_not_in_the_map_holds_no_experts():
    expert_map = placements.to_map(RANKS, random_placements())
    layers = placements.from_map(expert_map, (*RANKS, 'r9'), 16)
    assert_that(int(layers[0][:, 4].sum()), matchers.Equals(0))


def test_agents_do_not_import_numpy():
    code = (
        'import sys; from cassiashift_core import balancing, mapswitch; '
        'sys.exit("numpy" in sys.modules)'
    )
    result = subprocess.run([sys.executable, '-c', code], check=False)
    assert_that(result.returncode, matchers.Equals(0))
