"""Fixtures that start real processes on loopback."""

import asyncio
import contextlib
import hashlib

import aiohttp
import attrs
import pytest

from tools.cluster import Caller
from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement

ENTRIES = {
    'entry-1': 'trnava',
    'entry-2': 'nitra',
    'entry-3': 'trnava',
    'entry-4': 'nitra',
}
VOTERS = 3
WORKSPACE = 'bakery'
KEY = 'bakery-key'


def small_manifest():
    """Return a manifest with two engines and two services of a warehouse."""
    offers = [{'model': 'drafting'}]
    upstreams = [
        {
            'id': f'drafting-{number}',
            'host': f'runner-{number}',
            'data_centre': 'trnava',
            'offers': offers,
        }
        for number in (1, 2)
    ]
    upstreams += [
        {
            'id': f'warehouse-{number}',
            'host': f'runner-{number + 2}',
            'data_centre': 'nitra',
            'kind': 'service',
            'service': 'warehouse',
        }
        for number in (1, 2)
    ]
    calls = [
        {'method': 'POST', 'path': '/bookings', 'idempotent': False},
        {'method': 'GET', 'path': '/stock/*'},
    ]
    centres = [{'id': name} for name in sorted(set(ENTRIES.values()))]
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        'name': 'small',
        'regions': [{'id': 'zapad', 'data_centres': centres}],
        'models': [{'id': 'drafting'}],
        'upstreams': upstreams,
        'services': [{'id': 'warehouse', 'calls': calls}],
        'workspaces': [{'id': WORKSPACE, 'key_hashes': [key_hash]}],
    }


@attrs.define(eq=False)
class Deployment:
    """A running deployment with the small manifest in force.

    Attributes:
        revision: the revision of that manifest.
    """

    cluster: Cluster
    operator: Operator
    session: aiohttp.ClientSession
    manifest: dict
    revision: int

    def create_caller(self):
        """Return a new caller of the workspace that knows all entries."""
        urls = self.cluster.entry_urls()
        return Caller(self.session, WORKSPACE, KEY, urls)


@contextlib.asynccontextmanager
async def running_deployment(folder, module=None, **options):
    """Run a deployment of 4 entries, 3 of them voters, and 4 upstreams.

    ``module`` is run instead of the usual one. ``options`` are additional
    command line arguments by role.
    """
    cluster = Cluster.in_folder(folder, **options)
    cluster.module = module or cluster.module
    cluster.add_entries(ENTRIES, voters=VOTERS)
    manifest = small_manifest()
    for item in manifest['upstreams']:
        await cluster.add_upstream(
            Placement(
                item['host'],
                item['data_centre'],
                item['id'],
                'service' not in item,
            )
        )
    session = aiohttp.ClientSession()
    try:
        cluster.start_all()
        operator = Operator(session, cluster)
        await operator.wait_in_force(0)
        _, answer = await operator.apply(manifest, 0, 'first')
        await operator.wait_in_force(answer['revision'])
        await operator.wait_healthy(
            [item['id'] for item in manifest['upstreams']]
        )
        yield Deployment(
            cluster, operator, session, manifest, answer['revision']
        )
    finally:
        await session.close()
        await cluster.close()
        await asyncio.sleep(0)


@pytest.fixture
async def deployment(tmp_path):
    """Return a deployment of 4 entries, 3 of them voters, and 4 upstreams."""
    options = ['--directory-ttl-s', '1.0']
    async with running_deployment(tmp_path, entry=options) as running:
        yield running
