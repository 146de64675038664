"""Tests of what the coordinator of a large group does in one turn."""

import random
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_core.rankmaps import planning
from cassiashift_core.rankmaps import switch as switches
from cassiashift_daemon.ranks import config
from cassiashift_daemon.ranks import process

SIZE = 96
SHAPE = rankmaps.GroupShape(SIZE, 16, 192, 3, 2, 3, 0.85)
# Hosts of agents have about half of a processor.
PROCESSOR_SHARE = 0.5


@attrs.define(eq=False)
class IdleLinks:
    """Links that count what is sent."""

    sent: int = 0

    def send(self, address, message):
        """Count a message."""
        self.sent += 1


def _report(rank):
    return rankmaps.RankReport('g', 1, rank, SIZE, True, 40, running=2)


@pytest.fixture(scope='module')
def maps():
    """Return map 0 and one that balances it."""
    rng = random.Random(1)
    loads = [
        [rng.paretovariate(2.0) for _ in range(SHAPE.experts)]
        for _ in range(SHAPE.sets)
    ]
    first = rankmaps.first_map(SHAPE)
    return first, planning.plan(first, loads, SHAPE).lists


@pytest.fixture
def switching(maps):
    """Return the coordinator's agent of a group that switches its map."""
    first, second = maps
    cfg = config.RankAgentConfig(
        host='127.0.0.1', link_port=1, seeds=(), service='m', engine='e'
    )
    agent = process.RankAgent(lambda: cfg, lambda address: None, None)
    agent.links = IdleLinks()
    agent.coordinator = rankmaps.Coordinator(_report(0), cfg.host, SHAPE)
    now = time.monotonic()
    switch = rankmaps.Switch(1, SIZE, 0, SIZE, second, first, now)
    for rank in range(1, SIZE):
        agent.coordinator.hosts[rank] = f'127.0.0.{rank + 1}'
        switch.record_report(_report(rank), now)
    agent.coordinator._active = switch
    return agent


@pytest.mark.parametrize('phase', ['prepare', 'kill'])
def test_orders_to_a_large_group_are_repeated_before_all_are_sent(
    switching, phase
):
    switch = switching.coordinator.active
    if phase == 'kill':
        switch.phase = switches.Phase.KILL
        switch._reports[0] = attrs.evolve(_report(0), prepared=2 * SIZE)
    orders = [
        order for order in switch.orders(time.monotonic()) if order.rank > 0
    ]
    assert_that(orders, matchers.HasLength(SIZE - 1))
    started = time.thread_time()
    for order in orders:
        switching._send_to_rank(order)
    spent_s = (time.thread_time() - started) / PROCESSOR_SHARE
    assert_that(switching.links.sent, matchers.Equals(SIZE - 1))
    assert_that(spent_s, matchers.LessThan(0.25 * switches.PREPARE_RETRY_S))
