"""Tests of what the agents of a large group send to their coordinator."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_daemon.ranks import config
from cassiashift_daemon.ranks import engine
from cassiashift_daemon.ranks import process
from cassiashift_net import wire

SIZE = 96
SETS = 16
EXPERTS = 192
LINK_MBPS = 3.0
STATUSES = 24
# Requests and answers of the coordinator's own rank need the rest.
ALLOWED_LINK_SHARE = 0.5


@attrs.define(eq=False)
class BusyEngine:
    """The engine of a rank whose requests choose each expert all the time."""

    rank: int
    reads: int = 0

    async def report(self):
        """Return the state of the rank."""
        return rankmaps.RankReport('g', 1, self.rank, SIZE, True, step=9)

    async def choice_counts(self):
        """Return counters that rise by a different number each."""
        self.reads += 1
        counts = [self.reads * (n % 97) for n in range(SETS * EXPERTS)]
        return engine.ChoiceCounts(1, counts)

    async def held_experts(self):
        """Return the experts of the rank on its map."""
        return engine.HeldExperts(1, 0, ((1, 2, 3),) * SETS)


@attrs.define(eq=False)
class RecordingLinks:
    """Links that record what is sent."""

    sent: list = attrs.field(factory=list)

    def send(self, address, message):
        """Record a message."""
        self.sent.append(message)


async def _statuses(rank, link_mbps):
    """Return the statuses that the agent of a rank sends in a row."""
    cfg = config.RankAgentConfig(
        host='127.0.0.1',
        link_port=1,
        seeds=(),
        service='m',
        engine='e',
        link_mbps=link_mbps,
    )
    agent = process.RankAgent(lambda: cfg, BusyEngine, None)
    agent.engine = BusyEngine(rank)
    agent.links = RecordingLinks()
    agent.coordinator_host = '127.0.0.2'
    for _ in range(STATUSES):
        await agent._report_status()
    return agent.links.sent


@pytest.fixture
def group_statuses():
    """Return a function that returns the statuses of each rank."""

    async def collect(link_mbps):
        ranks = range(1, SIZE)
        return [await _statuses(rank, link_mbps) for rank in ranks]

    return collect


async def test_statuses_of_a_large_group_leave_half_of_the_coordinators_link(
    group_statuses,
):
    size = sum(
        len(frame)
        for statuses in await group_statuses(LINK_MBPS)
        for status in statuses
        for frame in wire.CODEC.encode_frames(status)
    )
    link_bytes = (
        STATUSES * process.STATUS_INTERVAL_S * LINK_MBPS * 1_000_000 / 8
    )
    assert_that(
        size / link_bytes,
        matchers.Not(matchers.GreaterThan(ALLOWED_LINK_SHARE)),
    )


@pytest.mark.parametrize(('link_mbps', 'each'), [(LINK_MBPS, 2), (0.0, 23)])
async def test_every_rank_reports_its_choices_in_turn(
    group_statuses, link_mbps, each
):
    for statuses in await group_statuses(link_mbps):
        stated = [item for item in statuses if item.choices is not None]
        assert_that(len(stated), matchers.Not(matchers.LessThan(each)))
