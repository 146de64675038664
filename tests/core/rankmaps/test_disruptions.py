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
# Covers late orders, several recoveries and the time-outs before them.
RECOVERED_S = 12.0
KINDS = {
    'freezes': ('freeze',),
    'kills': ('kill', 'kill_all'),
    'cuts': ('cut',),
    'all': ('freeze', 'kill', 'kill_all', 'cut'),
}


@pytest.mark.parametrize('late', [0.0, 0.2, 0.5])
@pytest.mark.parametrize('kinds', KINDS)
@pytest.mark.parametrize('seed', range(SEEDS))
def test_disrupted_agents_never_give_two_maps_nor_a_lasting_hold(
    seed, kinds, late
):
    group = simulation.Group(8, late, random.Random(f'{seed} {kinds} {late}'))
    group.patience_s = 2.0
    agents = simulated.start_all(group)
    simulated.Disruptions(group, agents, KINDS[kinds], DISRUPTED_S).start()
    group.run(DISRUPTED_S)
    group.late_share = 0.0
    group.run(DISRUPTED_S + RECOVERED_S)
    step = group.step
    group.run(DISRUPTED_S + RECOVERED_S + 4.0)
    assert_that(group.step, matchers.GreaterThan(step + 10))
