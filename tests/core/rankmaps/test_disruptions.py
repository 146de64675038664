"""Tests of maps and holds of groups whose agents are disrupted in series."""

import os
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.core.rankmaps import agents as simulated
from tests.core.rankmaps import group as simulation

SEEDS = int(os.environ.get('SEEDS', '4'))
DISRUPTED_S = 24.0
# Covers late orders and, after the last of them, a recovery.
RECOVERED_S = 16.0
LATE_DELAY_S = (0.2, 12.0)
COPY_S = 0.1
KINDS = {
    'freezes': ('freeze',),
    'kills': ('kill', 'kill_all'),
    'cuts': ('cut',),
    'all': ('freeze', 'kill', 'kill_all', 'cut', 're_form'),
}


# Series that ended with two maps or a lasting hold before a fault was mended.
FOUND = [
    (13, 'cuts', 0.5),
    (82, 'freezes', 0.2),
    (20, 'cuts', 0.5),
    (64, 'all', 0.0),
]
DRAWN = [
    (seed, kinds, late)
    for seed in range(SEEDS)
    for kinds in KINDS
    for late in (0.0, 0.2, 0.5)
]


@pytest.mark.parametrize(('seed', 'kinds', 'late'), FOUND + DRAWN)
def test_disrupted_agents_never_give_two_maps_nor_a_lasting_hold(
    seed, kinds, late
):
    rng = random.Random(f'{seed} {kinds} {late}')
    group = simulation.Group(rng.choice([2, 3, 8, 8]), late, rng)
    group.patience_s = 2.0
    group.late_delay_s = LATE_DELAY_S
    group.copy_s = COPY_S
    agents = simulated.start_all(group)
    simulated.Disruptions(group, agents, KINDS[kinds], DISRUPTED_S).start()
    group.run(DISRUPTED_S)
    group.late_share = 0.0
    group.run(DISRUPTED_S + RECOVERED_S)
    step = group.step
    group.run(DISRUPTED_S + RECOVERED_S + 4.0)
    assert_that(group.step, matchers.GreaterThan(step + 10))
