"""Tests of calls through entry, agent and upstream as real processes."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers

pytestmark = pytest.mark.process


async def test_caller_gets_a_complete_streamed_draft(deployment):
    reply = await deployment.create_caller().draft(
        'drafting', 'morning quote', 20
    )
    assert_that(reply.verdict, matchers.Equals('ran'))
    assert_that(reply.is_complete, matchers.Equals(True))


async def test_booking_that_is_resent_runs_once(deployment):
    caller = deployment.create_caller()
    replies = await asyncio.gather(
        *(caller.book('warehouse', 'dock-7') for _ in range(5))
    )
    verdicts = {reply.verdict for reply in replies}
    assert_that(verdicts, matchers.Equals({'ran'}))
    booked = deployment.cluster.record().booked
    assert_that(booked, matchers.Equals({'dock-7': 1}))


async def test_booking_is_replayed_after_its_entry_was_killed(deployment):
    caller = deployment.create_caller()
    first = await caller.book('warehouse', 'dock-8')
    deployment.cluster.kill('entry-1')
    again = await caller.book('warehouse', 'dock-8')
    assert_that(again.body, matchers.Equals(first.body))
    booked = deployment.cluster.record().booked
    assert_that(booked, matchers.Equals({'dock-8': 1}))


async def test_one_of_two_changes_of_the_same_revision_is_refused(deployment):
    manifest = deployment.manifest
    revision = deployment.revision
    answers = await asyncio.gather(
        *(
            deployment.operator.apply(manifest, revision, request_id)
            for request_id in ('left', 'right')
        )
    )
    statuses = sorted(status for status, _ in answers)
    assert_that(statuses, matchers.Equals([200, 409]))


async def test_draining_upstream_gets_no_new_calls(deployment):
    _, answer = await deployment.operator.drain('drafting-1', 'drain')
    await deployment.operator.wait_in_force(answer['revision'])
    standins = deployment.cluster.standins
    before = len(standins['drafting-1'].record.ran)
    caller = deployment.create_caller()
    for number in range(10):
        await caller.draft('drafting', f'quote {number}', 2)
    after = len(standins['drafting-1'].record.ran)
    assert_that(after, matchers.Equals(before))


async def test_an_evacuated_data_centre_gets_no_new_calls(deployment):
    """All upstreams of the model are there; those of the service are not."""
    operator = deployment.operator
    _, answer = await operator.evacuate('trnava', 'start', is_start=True)
    await operator.wait_in_force(answer['revision'])
    standins = deployment.cluster.standins
    engines = [standins[f'drafting-{number}'].record for number in (1, 2)]
    before = sum(len(record.ran) for record in engines)
    caller = deployment.create_caller()
    draft = asyncio.ensure_future(caller.draft('drafting', 'late', 2))
    booked = await deployment.create_caller().book('warehouse', 'dock-9')
    assert_that(booked.verdict, matchers.Equals('ran'))
    await asyncio.sleep(1.0)
    after = sum(len(record.ran) for record in engines)
    assert_that(after, matchers.Equals(before))
    await operator.evacuate('trnava', 'end', is_start=False)
    reply = await draft
    assert_that(reply.verdict, matchers.Equals('ran'))
    assert_that(reply.tries, matchers.GreaterThan(1))
