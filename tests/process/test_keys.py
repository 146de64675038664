"""Tests of CURVE authentication between running processes."""

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_net import keys
from tests.process import conftest
from tools.cluster import Caller
from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement

pytestmark = pytest.mark.process

UNKNOWN_KEY = Placement('runner-8', 'nitra', 'unknown-1', False)
WITHOUT_KEY = Placement('runner-9', 'nitra', 'keyless-1', False)


def _configure_key(cluster, folder, name, is_known=True):
    """Create a host's key pair and add it to the process's arguments."""
    daemon = cluster.daemons[name]
    link = daemon.arguments[daemon.arguments.index('--link') + 1]
    public = keys.create_pair(folder / 'made', name, link)
    if is_known:
        (folder / 'known' / public.name).write_bytes(public.read_bytes())
    daemon.arguments += [
        '--curve-secret-file',
        str(public.with_suffix(keys.SECRET_SUFFIX)),
        '--curve-keys-dir',
        str(folder / 'known'),
    ]


async def test_hosts_without_a_known_key_are_refused(tmp_path):
    (tmp_path / 'known').mkdir()
    cluster = Cluster.in_folder(tmp_path)
    cluster.add_entries(conftest.ENTRIES, voters=3)
    manifest = conftest.small_manifest()
    expected = [item['id'] for item in manifest['upstreams']]
    for item in manifest['upstreams']:
        placement = Placement(
            item['host'],
            item['data_centre'],
            item['id'],
            'service' not in item,
        )
        await cluster.add_upstream(placement)
    for placement in (UNKNOWN_KEY, WITHOUT_KEY):
        await cluster.add_upstream(placement)
    for name in list(cluster.daemons):
        if name != WITHOUT_KEY.host:
            _configure_key(cluster, tmp_path, name, name != UNKNOWN_KEY.host)
    session = aiohttp.ClientSession()
    try:
        for name in (UNKNOWN_KEY.host, WITHOUT_KEY.host):
            cluster.start(name)
        refused_daemons = {
            name: cluster.daemons.pop(name)
            for name in (UNKNOWN_KEY.host, WITHOUT_KEY.host)
        }
        cluster.start_all()
        operator = Operator(session, cluster)
        await operator.wait_in_force(0)
        _, answer = await operator.apply(manifest, 0, 'first')
        await operator.wait_in_force(answer['revision'])
        await operator.wait_healthy(expected)
        urls = cluster.entry_urls()
        caller = Caller(session, conftest.WORKSPACE, conftest.KEY, urls)
        reply = await caller.book('warehouse', 'dock-1')
        _, upstreams = await operator.request('GET', 'upstreams')
        _, status = await operator.request('GET', 'status')
        assert_that(reply.verdict, matchers.Equals('ran'))
        assert_that(upstreams['unexpected'], matchers.Equals([]))
        for name, daemon in refused_daemons.items():
            assert_that(daemon.is_running(), matchers.Is(True))
            assert_that(status['hosts'], matchers.Not(matchers.Contains(name)))
            log = cluster.log_of(name)
            assert_that(
                log, matchers.Not(matchers.Contains('revision_in_force'))
            )
        entry_logs = ''.join(cluster.log_of(name) for name in conftest.ENTRIES)
        assert_that(entry_logs, matchers.Contains('event=peer_refused'))
    finally:
        await session.close()
        cluster.daemons.update(refused_daemons)
        await cluster.close()
