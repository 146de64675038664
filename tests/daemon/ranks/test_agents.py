"""Agents with links between them, beside engines that the test plays."""

import asyncio
import os
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

SIZE = 4
SHAPE = rankmaps.GroupShape(SIZE, 1, 8, 4, 2, 6)
PORT = 17420
# Each worker of the tests has a loopback network of its own.
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])
BASE = f'127.{50 + WORKER}.0'
PATIENCE_S = 20.0


@attrs.define(eq=False)
class PlayedEngine:
    """The engine of one rank of a simulated group.

    Attributes:
        is_silent: calls get no answer.
        unanswered: orders that still get no answer.
        given: kinds of the orders that arrived.
    """

    group: simulation.Group
    rank: int
    is_silent: bool = False
    unanswered: int = 0
    given: list = attrs.field(factory=list)
    chosen: int = 0

    async def report(self):
        """Return the state of the rank."""
        self._check()
        return self.group.report(self.rank)

    async def choices(self):
        """Return counters; the first rank's experts are chosen most."""
        self._check()
        self.chosen += 1
        counts = [
            self.chosen * (1000 if expert % SIZE == 0 else 50)
            for expert in range(SHAPE.experts)
        ]
        return engine.Choices(self.group.epoch, counts)

    async def lists(self):
        """Return the experts of the rank."""
        self._check()
        rank = self.group.ranks[self.rank]
        used = rank.lists or rankmaps.first_map(SHAPE)
        return engine.Lists(
            self.group.epoch,
            rank.map_version,
            tuple(rows[self.rank] for rows in used),
        )

    async def order(self, order):
        """Carry an order out."""
        self._check()
        self.given.append(order.kind)
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
class Played:
    """A group in real time, its agents and an entry that knows them."""

    group: simulation.Group
    engines: dict
    agents: list
    tasks: list = attrs.field(factory=list)

    async def until(self, check):
        """Wait until something is true."""
        async with asyncio.timeout(PATIENCE_S):
            while not check():
                await asyncio.sleep(0.05)


def _address(rank):
    return f'{BASE}.{rank + 1}'


def _table(content):
    figures = routes.Engine(slots=1, sets=1, experts=8, placements=4, spare=2)
    service = routes.Service('model', engine=figures)
    return routes.RouteTable(1, (), (service,))


def _entry():
    """Return links that answer agents like an entry."""
    host = f'{BASE}.99'
    upstreams = tuple(
        fleet.Upstream(f'u{rank}', 'model', f'{_address(rank)}:1', 'east')
        for rank in range(SIZE)
    )

    def answer(sender, message):
        address = f'tcp://{message.host}:{PORT}'
        if isinstance(message, fleet.TablePull):
            own.send(address, fleet.TableDump((host,), upstreams))
        else:
            body = process.zlib.compress(b'')
            own.send(address, fleet.DocumentPush(1, body))

    own = links.Links.from_config(host, answer)
    own.bind(f'tcp://{host}:{PORT}')
    return own


@pytest.fixture
async def played():
    group = simulation.Group(SIZE, 0.0, random.Random(1))
    engines = {
        f'{_address(rank)}:1': PlayedEngine(group, rank)
        for rank in range(SIZE)
    }
    agents = []
    entry = _entry()
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
    found = Played(group, engines, agents)

    async def run():
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            group.run(loop.time() - started)
            await asyncio.sleep(0.01)

    task = asyncio.ensure_future(run())
    for agent in agents:
        await agent.open()
    yield found
    for agent in agents:
        await agent.stop()
    task.cancel()
    entry.close()
    if task.done() and not task.cancelled():
        task.result()


async def test_agents_switch_the_map_of_their_group(played):
    await played.until(
        lambda: any(version > 0 for _, version in played.group.begun)
    )
    coordinators = [agent.coordinator for agent in played.agents]
    assert_that(coordinators[0].switches, matchers.GreaterThan(0))
    assert_that(coordinators[1].switches, matchers.Equals(0))
    assert_that(played.group.stalled_s, matchers.LessThan(0.5))
    maps = {rank.lists for rank in played.group.ranks}
    assert_that(maps, matchers.HasLength(1))


async def test_the_next_agent_coordinates_when_the_first_is_gone(played):
    await played.until(lambda: played.agents[1].coordinator_host != '')
    await played.agents[0].stop()
    second = played.agents[1].coordinator
    loop = asyncio.get_running_loop()
    await played.until(lambda: second.coordinates(loop.time()))
    await played.until(
        lambda: played.agents[2].coordinator_host == _address(1)
    )


async def test_an_engine_that_is_silent_leaves_the_map_as_it_is(played):
    played.engines[f'{_address(2)}:1'].is_silent = True
    await asyncio.sleep(3.0)
    step = played.group.step
    versions = {version for _, version in played.group.begun[-10:]}
    assert_that(versions, matchers.HasLength(1))
    await asyncio.sleep(1.0)
    assert_that(played.group.step, matchers.GreaterThan(step))


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [
        (rankmaps.OrderKind.PREPARE, 3),
        (rankmaps.OrderKind.ARM, 1),
        (rankmaps.OrderKind.GO, 1),
    ],
)
async def test_only_an_unanswered_order_to_prepare_is_repeated_at_once(
    kind, expected
):
    group = simulation.Group(SIZE, 0.0, random.Random(1))
    own = PlayedEngine(group, 0, unanswered=2)
    cfg = config.RankAgentConfig(
        host=_address(0), link_port=PORT, seeds=(), service='m', engine='e'
    )
    agent = process.RankAgent(lambda: cfg, lambda address: own, _table)
    agent.engine = own
    order = rankmaps.Order(kind, 0, 1, 8, 5, lists=rankmaps.first_map(SHAPE))
    await agent._give(order)
    assert_that(own.given, matchers.Equals([kind] * expected))
