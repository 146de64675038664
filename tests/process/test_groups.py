"""Tests of map switches of a lock-step group over real processes."""

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


def build_map(shift):
    """Return a map with one copy of each expert, shifted by some ranks."""
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


class GroupDeployment:
    """A running deployment with a group that runs steps."""

    def __init__(self, cluster, operator, group):
        """Store the running parts of the deployment."""
        self.cluster = cluster
        self.operator = operator
        self.group = group

    async def request_switch(self, wanted_map):
        """Request a switch at each entry until one accepts it or is busy."""
        body = base64.b64encode(wanted_map.to_bytes()).decode()
        while True:
            for url in self.cluster.entry_urls():
                status, _ = await self.operator.request(
                    'POST', f'groups/{GROUP}/map', url, json={'map': body}
                )
                if status in (200, 409):
                    return
                assert_that(status, matchers.Equals(503))
            await asyncio.sleep(POLL_S)

    async def wait_leader(self):
        """Wait for a leader; return its host."""
        while True:
            for url in self.cluster.entry_urls():
                _, status = await self.operator.request('GET', 'status', url)
                if status.get('role') == 'leader':
                    return status['host']
            await asyncio.sleep(POLL_S)

    async def wait_steps(self, count):
        """Wait until the group has run ``count`` more steps."""
        wanted = len(self.group.versions) + count
        while len(self.group.versions) < wanted:
            await asyncio.sleep(POLL_S)

    def newest_version(self):
        """Return the newest version of the last step, 0 without a step."""
        if not self.group.versions:
            return 0
        return max(self.group.versions[-1].values())

    async def request_until_switched(self, wanted_map):
        """Request a switch again until steps run on another version."""
        before = self.newest_version()
        while self.newest_version() == before:
            await self.request_switch(wanted_map)
            await asyncio.sleep(POLL_S)

    def last_maps(self, count):
        """Return the last ``count`` maps that steps ran on, in order."""
        used = {
            version
            for step in self.group.versions
            for version in step.values()
        }
        loaded = self.group.engines[RANKS[0]].loaded
        return [loaded[version] for version in sorted(used)[-count:]]

    async def wait_settled(self):
        """Wait for open switches to end; return the version after them."""
        version = 0
        while version != self.newest_version():
            version = self.newest_version()
            await self.wait_steps(4 * STEPS)
        return version

    def check_steps(self):
        """Check that no step mixed maps or ran on an unloaded one."""
        assert_that(self.group.mixed_steps(), matchers.Equals([]))
        for engine in self.group.engines.values():
            assert_that(engine.unloaded, matchers.Equals(0))


@pytest.fixture
async def group_deployment(tmp_path):
    """Return three voters, four agents and a running lock-step group."""
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
        yield GroupDeployment(cluster, operator, group)
    finally:
        if running is not None:
            running.cancel()
        await session.close()
        await cluster.close()


async def test_faults_during_a_switch_mix_no_maps(group_deployment):
    await group_deployment.request_until_switched(build_map(0))
    await group_deployment.wait_steps(STEPS)
    for engine in group_deployment.group.engines.values():
        engine.load_s = 0.5
    await group_deployment.request_switch(build_map(1))
    leader = await group_deployment.wait_leader()
    group_deployment.cluster.kill(leader)
    await group_deployment.wait_steps(STEPS)
    await group_deployment.request_until_switched(build_map(1))
    group_deployment.cluster.start(leader)
    group_deployment.cluster.kill('runner-r2')
    group_deployment.cluster.start('runner-r2')
    await group_deployment.wait_steps(STEPS)
    await group_deployment.request_until_switched(build_map(2))
    await group_deployment.wait_steps(STEPS)
    group_deployment.check_steps()


async def test_drifting_popularity_is_balanced(group_deployment):
    await group_deployment.wait_steps(1)
    while group_deployment.newest_version() < 3:
        await asyncio.sleep(POLL_S)
    url = group_deployment.cluster.url_of(await group_deployment.wait_leader())
    _, answer = await group_deployment.operator.request('GET', 'groups', url)
    row = answer['groups'][0]
    assert_that(row['version'], matchers.GreaterThan(2))
    assert_that(row['skew'], matchers.GreaterThan(0.99))
    assert_that(row['decision'], matchers.Not(matchers.Equals('')))
    await group_deployment.wait_steps(STEPS)
    group_deployment.check_steps()


async def test_operator_pauses_balancing_and_rolls_back(group_deployment):
    while group_deployment.newest_version() < 2:
        await asyncio.sleep(POLL_S)
    _, answer = await group_deployment.operator.drain(
        f'group/{GROUP}', 'pause'
    )
    await group_deployment.operator.wait_in_force(answer['revision'])
    paused_version = await group_deployment.wait_settled()
    await group_deployment.wait_steps(3 * STEPS)
    assert_that(
        group_deployment.newest_version(), matchers.Equals(paused_version)
    )
    status = 503
    while status == 503:
        url = group_deployment.cluster.url_of(
            await group_deployment.wait_leader()
        )
        status, _ = await group_deployment.operator.request(
            'POST', f'groups/{GROUP}/rollback', url
        )
    assert_that(status, matchers.Equals(200))
    while group_deployment.newest_version() == paused_version:
        await asyncio.sleep(POLL_S)
    previous, _, restored = group_deployment.last_maps(3)
    assert_that(restored, matchers.Equals(previous))
    group_deployment.check_steps()
