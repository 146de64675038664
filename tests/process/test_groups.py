"""Map switches of a lock-step group over real processes."""

import asyncio
import base64

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.balancing import maps
from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement
from tools.standins import group as standin_group

ENTRIES = {'entry-1': 'trnava', 'entry-2': 'nitra', 'entry-3': 'trnava'}
EXPERTS = 16
GROUP = 'moe'
POLL_S = 0.02
RANKS = ('r0', 'r1', 'r2', 'r3')
SLOTS = 5
STEPS = 20


def placement(shift):
    """Return a map with one copy of each expert, moved by a shift."""
    rows = [[] for _ in RANKS]
    for expert in range(EXPERTS):
        rows[(expert + shift) % len(RANKS)].append(expert)
    return maps.ExpertMap(RANKS, (tuple(tuple(row) for row in rows),))


def group_manifest():
    """Return a manifest with one group of four ranks."""
    upstreams = [
        {
            'id': f'up-{rank}',
            'host': f'runner-{rank}',
            'data_centre': 'trnava',
            'offers': [{'model': 'drafting'}],
        }
        for rank in RANKS
    ]
    ranks = [
        {'id': rank, 'upstream': f'up-{rank}', 'slots': SLOTS}
        for rank in RANKS
    ]
    return {
        'name': 'group',
        'regions': [
            {
                'id': 'zapad',
                'data_centres': [{'id': 'trnava'}, {'id': 'nitra'}],
            }
        ],
        'models': [{'id': 'drafting'}],
        'upstreams': upstreams,
        'groups': [
            {
                'id': GROUP,
                'model': 'drafting',
                'data_centre': 'trnava',
                'ranks': ranks,
                'experts': EXPERTS,
            }
        ],
    }


class Bench:
    """A running deployment with a running group."""

    def __init__(self, cluster, operator, group):
        """Keep the parts."""
        self.cluster = cluster
        self.operator = operator
        self.group = group

    async def request(self, wanted):
        """Ask each entry for a switch until one takes it or is busy."""
        body = base64.b64encode(wanted.to_bytes()).decode()
        while True:
            for url in self.cluster.entry_urls():
                status, _ = await self.operator.request(
                    'POST', f'groups/{GROUP}/map', url, json={'map': body}
                )
                if status in (200, 409):
                    return
                assert_that(status, matchers.Equals(503))
            await asyncio.sleep(POLL_S)

    async def leader(self):
        """Return the name of the entry that leads."""
        while True:
            for url in self.cluster.entry_urls():
                _, status = await self.operator.request('GET', 'status', url)
                if status.get('role') == 'leader':
                    return status['host']
            await asyncio.sleep(POLL_S)

    async def run_steps(self, count):
        """Return when the group has run some more steps."""
        wanted = len(self.group.versions) + count
        while len(self.group.versions) < wanted:
            await asyncio.sleep(POLL_S)

    def newest(self):
        """Return the version of the last step."""
        if not self.group.versions:
            return 0
        return max(self.group.versions[-1].values())

    async def switch(self, wanted):
        """Ask again and again until steps run on another version."""
        before = self.newest()
        while self.newest() == before:
            await self.request(wanted)
            await asyncio.sleep(POLL_S)

    def last_maps(self, count):
        """Return the last maps that steps have run on, in order."""
        used = {
            version
            for step in self.group.versions
            for version in step.values()
        }
        loaded = self.group.engines[RANKS[0]].loaded
        return [loaded[version] for version in sorted(used)[-count:]]

    async def settled(self):
        """Return the version once no switch that had begun is left."""
        version = 0
        while version != self.newest():
            version = self.newest()
            await self.run_steps(4 * STEPS)
        return version

    def check(self):
        """Check every step that was run."""
        assert_that(self.group.mixed_steps(), matchers.Equals([]))
        for engine in self.group.engines.values():
            assert_that(engine.unloaded, matchers.Equals(0))


@pytest.fixture
async def bench(tmp_path):
    """Return three voters, four agents and a group in lock-step."""
    window = ['--balance-window-s', '0.5']
    cluster = Cluster.in_folder(tmp_path, entry=window, agent=window)
    cluster.add_entries(ENTRIES, voters=3)
    engines = {rank: standin_group.RankEngine(rank) for rank in RANKS}
    urls = {}
    for rank, engine in engines.items():
        place = Placement(f'runner-{rank}', 'trnava', f'up-{rank}', True)
        urls[rank] = await cluster.add_rank(place, engine)
    group = standin_group.LockStepGroup(
        engines, urls, standin_group.Popularity(EXPERTS, 1, seed=1)
    )
    session = aiohttp.ClientSession()
    running = None
    try:
        cluster.start_all()
        operator = Operator(session, cluster)
        await operator.wait_in_force(0)
        _, answer = await operator.apply(group_manifest(), 0, 'first')
        await operator.wait_in_force(answer['revision'])
        running = asyncio.create_task(group.run(session))
        yield Bench(cluster, operator, group)
    finally:
        if running is not None:
            running.cancel()
        await session.close()
        await cluster.close()


async def test_faults_during_a_switch_mix_no_maps(bench):
    await bench.switch(placement(0))
    await bench.run_steps(STEPS)
    for engine in bench.group.engines.values():
        engine.load_s = 0.5
    await bench.request(placement(1))
    leader = await bench.leader()
    bench.cluster.kill(leader)
    await bench.run_steps(STEPS)
    await bench.switch(placement(1))
    bench.cluster.start(leader)
    bench.cluster.kill('runner-r2')
    bench.cluster.start('runner-r2')
    await bench.run_steps(STEPS)
    await bench.switch(placement(2))
    await bench.run_steps(STEPS)
    bench.check()


async def test_drifting_popularity_is_balanced(bench):
    await bench.run_steps(1)
    while bench.newest() < 3:
        await asyncio.sleep(POLL_S)
    url = bench.cluster.url_of(await bench.leader())
    _, answer = await bench.operator.request('GET', 'groups', url)
    row = answer['groups'][0]
    assert_that(row['version'], matchers.GreaterThan(2))
    assert_that(row['skew'], matchers.GreaterThan(0.99))
    assert_that(row['decision'], matchers.Not(matchers.Equals('')))
    await bench.run_steps(STEPS)
    bench.check()


async def test_operator_pauses_balancing_and_rolls_back(bench):
    while bench.newest() < 2:
        await asyncio.sleep(POLL_S)
    _, answer = await bench.operator.drain(f'group/{GROUP}', 'pause')
    await bench.operator.wait_in_force(answer['revision'])
    former = await bench.settled()
    await bench.run_steps(3 * STEPS)
    assert_that(bench.newest(), matchers.Equals(former))
    status = 503
    while status == 503:
        url = bench.cluster.url_of(await bench.leader())
        status, _ = await bench.operator.request(
            'POST', f'groups/{GROUP}/rollback', url
        )
    assert_that(status, matchers.Equals(200))
    while bench.newest() == former:
        await asyncio.sleep(POLL_S)
    earlier, _, back = bench.last_maps(3)
    assert_that(back, matchers.Equals(earlier))
    bench.check()
