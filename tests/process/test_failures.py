"""Tests of killed, frozen and restarted processes."""

import asyncio
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import conftest
from tools.demo import checks
from tools.demo import load

pytestmark = pytest.mark.process

CALLERS = 6
ENTRY_HOSTS = list(conftest.ENTRIES)


class RunningLoad:
    """A load that runs while a test injects faults."""

    def __init__(self, deployment):
        """Prepare the load; it starts on entering the context."""
        self.deployment = deployment
        self.load = load.Load(
            session=deployment.session,
            entries=deployment.cluster.entry_urls(),
            workspaces=[conftest.WORKSPACE],
            model='drafting',
            service='warehouse',
            rng=random.Random(3),
            key_pattern='{}-key',
        )

    async def __aenter__(self):
        """Start the callers."""
        self.task = asyncio.ensure_future(self.load.run(CALLERS))
        return self

    async def __aexit__(self, *exc_info):
        """Stop the callers and wait for their calls."""
        self.load.stop()
        await self.task

    async def wait_for_calls(self, count):
        """Wait until ``count`` more calls have ended."""
        wanted = len(self.load.done) + count
        while len(self.load.done) < wanted:
            await asyncio.sleep(0.01)

    def find_violations(self):
        """Return descriptions of the violated guarantees."""
        record = self.deployment.cluster.record()
        return checks.check_calls(self.load.done, record, 0.0).broken


async def wait_ended(cluster, name):
    while cluster.daemons[name].is_running():
        await asyncio.sleep(0.02)


async def wait_leader(operator, other_than=''):
    while True:
        for url in operator.cluster.entry_urls():
            _, status = await operator.request('GET', 'status', url)
            leader = status.get('leader')
            if status.get('role') == 'leader' and leader != other_than:
                return leader
        await asyncio.sleep(0.05)


async def test_rolling_restart_interrupts_no_call(deployment):
    cluster, operator = deployment.cluster, deployment.operator
    upstreams = [item['id'] for item in deployment.manifest['upstreams']]
    async with RunningLoad(deployment) as running:
        for name in cluster.daemons:
            await running.wait_for_calls(5)
            cluster.terminate(name)
            await wait_ended(cluster, name)
            cluster.start(name)
            await operator.wait_in_force(deployment.revision)
            await operator.wait_healthy(upstreams)
    done = running.load.done
    lost = [item for item in done if item.reply.verdict != 'ran']
    uncertain = [item for item in done if item.reply.uncertain_tries]
    assert_that(lost, matchers.Equals([]))
    assert_that(uncertain, matchers.Equals([]))
    assert_that(running.find_violations(), matchers.Equals([]))


async def test_killed_leader_violates_no_guarantee(deployment):
    cluster, operator = deployment.cluster, deployment.operator
    async with RunningLoad(deployment) as running:
        leader = await wait_leader(operator)
        cluster.kill(leader)
        await wait_leader(operator, other_than=leader)
        await running.wait_for_calls(20)
        cluster.start(leader)
        await operator.wait_in_force(deployment.revision)
        await running.wait_for_calls(20)
    assert_that(running.find_violations(), matchers.Equals([]))


async def test_resumed_leader_commits_nothing(deployment):
    cluster, operator = deployment.cluster, deployment.operator
    frozen_leader = await wait_leader(operator)
    frozen_url = cluster.url_of(frozen_leader)
    cluster.suspend(frozen_leader)
    others = [url for url in cluster.entry_urls() if url != frozen_url]
    status, answer = 0, {}
    async with asyncio.timeout(30):
        while status != 200:
            status, answer = await operator.request(
                'PUT',
                'manifest',
                others[0],
                json={
                    'request_id': 'while-frozen',
                    'expected_revision': deployment.revision,
                    'manifest': deployment.manifest,
                },
            )
    cluster.resume(frozen_leader)
    late_reply = await operator.request(
        'PUT',
        'manifest',
        frozen_url,
        json={
            'request_id': 'late',
            'expected_revision': deployment.revision,
            'manifest': deployment.manifest,
        },
    )
    await operator.wait_in_force(answer['revision'])
    assert_that(late_reply[0], matchers.Not(matchers.Equals(200)))
    leader = await wait_leader(operator)
    assert_that(leader, matchers.Not(matchers.Equals(frozen_leader)))


async def test_restart_of_all_processes_loses_nothing_acknowledged(deployment):
    cluster, operator = deployment.cluster, deployment.operator
    caller = deployment.create_caller()
    first = await caller.book('warehouse', 'dock-1')
    revision = deployment.revision
    for number in range(20):
        _, answer = await operator.apply(
            deployment.manifest, revision, f'change-{number}'
        )
        revision = answer['revision']
    for name in list(cluster.daemons):
        cluster.kill(name)
    cluster.start_all()
    await operator.wait_in_force(revision)
    await operator.wait_healthy(['warehouse-1'])
    again = await deployment.create_caller().book('warehouse', 'dock-1')
    resent = await operator.apply(deployment.manifest, 0, 'change-19')
    assert_that(again.body, matchers.Equals(first.body))
    assert_that(resent, matchers.Equals((200, {'revision': revision})))
    assert_that(cluster.record().booked['dock-1'], matchers.Equals(1))


async def test_booking_with_unknown_outcome_is_not_run_again(deployment):
    cluster = deployment.cluster
    for name in ('warehouse-1', 'warehouse-2'):
        cluster.standins[name].answer_s = 3.0
    caller = deployment.create_caller()
    booking = asyncio.ensure_future(caller.book('warehouse', 'dock-2'))
    while not cluster.record().booked:
        await asyncio.sleep(0.01)
    for name in ('runner-3', 'runner-4'):
        cluster.kill(name)
    reply = await booking
    for name in ('runner-3', 'runner-4'):
        cluster.start(name)
    await deployment.operator.wait_healthy(['warehouse-1', 'warehouse-2'])
    again = await deployment.create_caller().book('warehouse', 'dock-2')
    assert_that(reply.verdict, matchers.Equals('may_have_run'))
    assert_that(again.verdict, matchers.Equals('may_have_run'))
    assert_that(again.code, matchers.Equals('outcome_unknown'))
    assert_that(cluster.record().booked, matchers.Equals({'dock-2': 1}))


async def test_booking_of_a_killed_entry_is_replayed_by_the_agent(
    deployment,
):
    cluster = deployment.cluster
    for name in ('warehouse-1', 'warehouse-2'):
        cluster.standins[name].answer_s = 1.0
    url = cluster.url_of('entry-4')
    headers = {
        'Authorization': f'Bearer {conftest.KEY}',
        'Idempotency-Key': 'dock-3',
    }
    first = asyncio.ensure_future(
        deployment.session.post(
            f'{url}/v1/services/warehouse/bookings',
            json={'reference': 'dock-3'},
            headers=headers,
        )
    )
    while not cluster.record().booked:
        await asyncio.sleep(0.01)
    cluster.kill('entry-4')
    await asyncio.wait([first])
    other = cluster.url_of('entry-1')
    verdicts = set()
    status = 503
    while status == 503:
        async with deployment.session.post(
            f'{other}/v1/services/warehouse/bookings',
            json={'reference': 'dock-3'},
            headers=headers,
        ) as resp:
            again = await resp.json()
            status = resp.status
            verdicts.add(resp.headers['X-Cassiashift-Verdict'])
            replayed = resp.headers.get('Idempotency-Replayed')
    assert_that('not_run' in verdicts, matchers.Equals(False))
    assert_that(
        again, matchers.Equals({'reference': 'dock-3', 'booked': True})
    )
    assert_that(replayed, matchers.Equals('true'))
    assert_that(cluster.record().booked, matchers.Equals({'dock-3': 1}))


async def test_cancellation_reaches_the_engine(deployment):
    cluster = deployment.cluster
    for name in ('drafting-1', 'drafting-2'):
        cluster.standins[name].token_gap_s = 0.05
    caller = deployment.create_caller()
    pending_draft = asyncio.ensure_future(
        caller.draft('drafting', 'long', 400)
    )
    while not cluster.record().ran:
        await asyncio.sleep(0.01)
    pending_draft.cancel()
    async with asyncio.timeout(30):
        while not cluster.record().cut:
            await asyncio.sleep(0.01)
    assert_that(len(cluster.record().cut), matchers.Equals(1))


async def test_engine_stops_when_its_entry_is_killed(deployment):
    cluster = deployment.cluster
    for name in ('drafting-1', 'drafting-2'):
        cluster.standins[name].token_gap_s = 0.05
    url = cluster.url_of('entry-3')
    body = {
        'model': 'drafting',
        'stream': True,
        'max_tokens': 2000,
        'messages': [{'role': 'user', 'content': 'long'}],
    }
    headers = {'Authorization': f'Bearer {conftest.KEY}'}
    async with deployment.session.post(
        f'{url}/v1/chat/completions', json=body, headers=headers
    ) as resp:
        await resp.content.readany()
        cluster.kill('entry-3')
        async with asyncio.timeout(30):
            while not cluster.record().cut:
                await asyncio.sleep(0.01)
    assert_that(len(cluster.record().cut), matchers.Equals(1))
