"""Tests of agents that are connected by links and have simulated engines."""

import asyncio
import itertools
import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_core import rankmaps
from cassiashift_core import routes
from cassiashift_daemon.ranks import config
from cassiashift_daemon.ranks import engine
from cassiashift_daemon.ranks import process
from cassiashift_net import links
from tests.core.rankmaps import group as simulation
from tools.cluster import addresses

SIZE = 4
SHAPE = rankmaps.GroupShape(SIZE, 1, 8, 4, 2, 6)
PORT = 17420
# Each worker of pytest uses its own loopback network.
BASE = addresses.Addresses.for_this_process().prefix
TIMEOUT_S = 20.0


@attrs.define(eq=False)
class FakeEngine:
    """The engine of one rank of a simulated group.

    Attributes:
        is_silent: every call raises an error.
        unanswered: how many of the next orders get no answer.
        received: kinds of the orders that arrived.
        reads: calls of ``choice_counts`` so far.
    """

    group: simulation.Group
    rank: int
    is_silent: bool = False
    unanswered: int = 0
    received: list = attrs.field(factory=list)
    reads: int = 0

    async def report(self):
        """Return the simulated state of the rank."""
        self._check()
        return self.group.report(self.rank)

    async def choice_counts(self):
        """Return counters that rise with each call.

        The experts of the first rank are chosen 20 times as often.
        """
        self._check()
        self.reads += 1
        counts = [
            self.reads * (1000 if expert % SIZE == 0 else 50)
            for expert in range(SHAPE.experts)
        ]
        return engine.ChoiceCounts(self.group.epoch, counts)

    async def held_experts(self):
        """Return the experts of the rank on its map."""
        self._check()
        rank = self.group.ranks[self.rank]
        used = rank.lists or rankmaps.first_map(SHAPE)
        return engine.HeldExperts(
            self.group.epoch,
            rank.map_version,
            tuple(rows[self.rank] for rows in used),
        )

    async def send_order(self, order):
        """Execute an order, or raise an error if it is to be unanswered."""
        self._check()
        self.received.append(order.kind)
        if self.unanswered:
            self.unanswered -= 1
            raise engine.EngineError('unanswered')
        return self.group.carry_out(order)

    async def close(self):
        """Close nothing."""

    def _check(self):
        if self.is_silent:
            raise engine.EngineError('silent')


@attrs.define(eq=False)
class RunningGroup:
    """A group that is simulated in real time, its engines and agents."""

    group: simulation.Group
    engines: dict
    agents: list
    announced: list
    tasks: list = attrs.field(factory=list)

    async def wait_until(self, check):
        """Wait until a function returns a true value.

        Raises TimeoutError after ``TIMEOUT_S``.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.05)


def _address(rank):
    return f'{BASE}.{rank + 1}'


def _table(content):
    engine_fields = routes.Engine(
        slots=1, sets=1, experts=8, placements=4, spare=2
    )
    service = routes.Service('model', engine=engine_fields)
    return routes.RouteTable(1, (), (service,))


def _entry(announced, unanswered):
    """Return links that answer as an entry and record announcements.

    Args:
        unanswered: how many requests for the configuration get no answer.
    """
    host = f'{BASE}.99'
    upstreams = tuple(
        fleet.Upstream(f'u{rank}', 'model', f'{_address(rank)}:1', 'east')
        for rank in range(SIZE)
    )

    def answer(sender, message):
        address = f'tcp://{message.host}:{PORT}'
        if isinstance(message, fleet.TablePull):
            own.send(address, fleet.TableDump((host,), upstreams))
        elif isinstance(message, fleet.RankSlowdowns):
            announced.append(message)
        elif next(pulls) >= unanswered:
            body = process.zlib.compress(b'')
            own.send(address, fleet.DocumentPush(1, body))

    pulls = itertools.count()
    own = links.Links.from_config(host, answer)
    own.bind(f'tcp://{host}:{PORT}')
    return own


@pytest.fixture
async def running(request):
    group = simulation.Group(SIZE, 0.0, random.Random(1))
    engines = {
        f'{_address(rank)}:1': FakeEngine(group, rank) for rank in range(SIZE)
    }
    agents = []
    announced = []
    entry = _entry(announced, getattr(request, 'param', 0))
    for rank in range(SIZE):
        cfg = config.RankAgentConfig(
            host=_address(rank),
            link_port=PORT,
            seeds=(f'{BASE}.99',),
            service='model',
            engine=f'{_address(rank)}:1',
        )
        agents.append(
            process.RankAgent(lambda cfg=cfg: cfg, engines.get, _table)
        )
    built = RunningGroup(group, engines, agents, announced)

    async def run():
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            group.run(loop.time() - started)
            await asyncio.sleep(0.01)

    task = asyncio.ensure_future(run())
    for agent in agents:
        await agent.open()
    yield built
    for agent in agents:
        await agent.stop()
    task.cancel()
    entry.close()
    if task.done() and not task.cancelled():
        task.result()


async def test_agents_switch_the_map_of_their_group(running):
    await running.wait_until(
        lambda: any(version > 0 for _, version in running.group.begun)
    )
    coordinators = [agent.coordinator for agent in running.agents]
    assert_that(coordinators[0].switches, matchers.GreaterThan(0))
    assert_that(coordinators[1].switches, matchers.Equals(0))
    assert_that(running.group.stalled_s, matchers.LessThan(0.5))
    maps = {rank.lists for rank in running.group.ranks}
    assert_that(maps, matchers.HasLength(1))


@pytest.mark.parametrize('running', [1], indirect=True)
async def test_a_group_does_not_wait_for_its_first_map_after_a_restart(
    running,
):
    coordinator = running.agents[0]
    await running.wait_until(lambda: coordinator.coordinator is not None)
    async with asyncio.timeout(2.0):
        await running.wait_until(lambda: coordinator.coordinator.shape)


async def test_an_agent_without_the_base_of_a_change_gets_the_whole_map(
    running,
):
    """Guards switches after a restart of one agent of the group."""
    group = running.group
    await running.wait_until(
        lambda: any(version > 0 for _, version in group.begun)
    )
    lists = group.ranks[0].lists
    await running.wait_until(
        lambda: {rank.lists for rank in group.ranks} == {lists}
    )
    first, other = running.agents[:2]
    other.coordinator._known_maps.clear()
    version = rankmaps.version_after(
        map(group.report, range(SIZE)), 0, SIZE, floor=1000
    )
    order = rankmaps.Order(
        rankmaps.OrderKind.PREPARE, 1, group.epoch, version, lists=lists
    )
    await running.wait_until(
        lambda: (
            first.coordinator.own_report.map_version
            == group.report(0).map_version
        )
    )
    first._send_order(other.cfg.host, order)
    await running.wait_until(lambda: group.report(1).prepared == version)


async def test_the_next_agent_coordinates_after_the_first_stops(running):
    await running.wait_until(lambda: running.agents[1].coordinator_host != '')
    await running.agents[0].stop()
    second = running.agents[1].coordinator
    loop = asyncio.get_running_loop()
    await running.wait_until(lambda: second.coordinates(loop.time()))
    await running.wait_until(
        lambda: running.agents[2].coordinator_host == _address(1)
    )


async def test_the_end_of_an_agent_names_its_unfinished_switch(
    running, monkeypatch
):
    first = running.agents[0]
    lines = []
    for each in running.engines.values():
        # Otherwise the switch may end before the agent does.
        each.unanswered = 1_000_000

    def log(event, **fields):
        # The phase may change until the line is logged.
        lines.append((event, fields, switch.phase.value))

    monkeypatch.setattr(process.logs, 'final_info', log)

    def is_switching():
        coordinator = first.coordinator
        return coordinator is not None and isinstance(
            coordinator.active, rankmaps.Switch
        )

    await running.wait_until(is_switching)
    switch = first.coordinator.active
    await running.agents.pop(0).stop()
    ((event, fields, phase),) = lines
    assert_that(event, matchers.Equals('stopped'))
    expected = {'version': switch.version, 'phase': phase}
    assert_that(fields, matchers.Equals(expected))


async def test_an_entry_is_told_of_slow_ranks_until_none_is_left(running):
    running.group.slowdowns[2] = 4.0
    await running.wait_until(lambda: len(running.announced) == 2)
    running.group.slowdowns.clear()
    await running.wait_until(lambda: not running.announced[-1].rows)
    (row,) = running.announced[0].rows
    assert_that(row, matchers.Equals((_address(2), 4.0)))


async def test_a_silent_engine_prevents_a_switch(running):
    running.engines[f'{_address(2)}:1'].is_silent = True
    await asyncio.sleep(3.0)
    step = running.group.step
    versions = {version for _, version in running.group.begun[-10:]}
    assert_that(versions, matchers.HasLength(1))
    await asyncio.sleep(1.0)
    assert_that(running.group.step, matchers.GreaterThan(step))


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [
        (rankmaps.OrderKind.PREPARE, 3),
        (rankmaps.OrderKind.ARM, 1),
        (rankmaps.OrderKind.GO, 1),
    ],
)
async def test_only_a_prepare_order_is_retried_at_once(kind, expected):
    group = simulation.Group(SIZE, 0.0, random.Random(1))
    own = FakeEngine(group, 0, unanswered=2)
    cfg = config.RankAgentConfig(
        host=_address(0), link_port=PORT, seeds=(), service='m', engine='e'
    )
    agent = process.RankAgent(lambda: cfg, lambda address: own, _table)
    agent.engine = own
    order = rankmaps.Order(kind, 0, 1, 8, 5, lists=rankmaps.first_map(SHAPE))
    await agent._send_to_own_engine(order)
    assert_that(own.received, matchers.Equals([kind] * expected))
