"""Tests of the supervision of the voter in an entry's process."""

import asyncio
import contextlib
import random
import threading

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import fleet
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables
from cassiashift_daemon.direct import voting
from cassiashift_daemon import storage
from cassiashift_daemon import voter
from tests.daemon.storage import faulty_files

OWN = '10.1.0.1'
REOPEN_S = 0.01
RUN_S = 0.5
FOUNDED_S = 4.0
CLOCK_GAP_S = 5.0


@attrs.define
class Store:
    """A data folder that counts how often it is closed."""

    closed: int = 0

    def close(self):
        """Count a close."""
        self.closed += 1


async def test_a_failed_voter_is_reopened(monkeypatch):
    store = Store()

    async def fail(self, store):
        raise RuntimeError('no descriptor is left')

    monkeypatch.setattr(voting, 'REOPEN_AFTER_S', REOPEN_S)
    monkeypatch.setattr(
        voting.VoterSupervisor, '_open_store', lambda self: store
    )
    monkeypatch.setattr(voting.VoterSupervisor, '_run_voter', fail)
    supervisor = voting.VoterSupervisor(
        cfg=None,
        deployment='d',
        links=None,
        runner=None,
        rng=None,
        on_document=None,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RUN_S):
            await supervisor.run_forever()
    assert_that(store.closed, matchers.GreaterThan(2))


class NoLinks:
    """Links that lose every message."""

    def send(self, address, message):
        """Drop a message."""


@pytest.fixture
def founder(monkeypatch):
    """Return the supervisor and the files of the only host of a new system."""
    monkeypatch.setattr(voting, 'REOPEN_AFTER_S', REOPEN_S)
    files = faulty_files.FaultyFiles()
    monkeypatch.setattr(
        voting.VoterSupervisor,
        '_open_store',
        lambda self: faulty_files.open_storage(files),
    )
    cfg = config.DirectConfig(
        host=OWN,
        data_centre='east',
        region='r',
        link_port=7,
        listeners=config.Listeners(),
        seeds=(OWN,),
        data_dir='data',
        is_first_start=True,
    )
    runner = fleet_runner.FleetRunner(
        cfg=cfg,
        links=NoLinks(),
        entries=fleet.EntryTable(OWN),
        upstreams=fleet.UpstreamTable(5.0, 30.0),
        holder=tables.TableHolder(None),
        started_ns=1,
    )
    supervisor = voting.VoterSupervisor(
        cfg=cfg,
        deployment='dep',
        links=runner.links,
        runner=runner,
        rng=random.Random(1),
        on_document=lambda document: None,
    )
    return supervisor, files


@pytest.mark.parametrize('failing_step', range(1, 17))
async def test_a_disk_full_at_the_first_start_does_not_prevent_a_log(
    founder, failing_step
):
    supervisor, files = founder
    files.fail_at = failing_step
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader or files.steps < failing_step:
                await asyncio.sleep(REOPEN_S)
    finally:
        running.cancel()


async def test_a_folder_that_fails_to_open_is_opened_again(
    founder, monkeypatch
):
    supervisor, files = founder
    open_store = voting.VoterSupervisor._open_store
    problems = [RuntimeError('no thread is left'), OSError('the disk is full')]

    def fail_first(self):
        if problems:
            raise problems.pop()
        return open_store(self)

    monkeypatch.setattr(voting.VoterSupervisor, '_open_store', fail_first)
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
    finally:
        running.cancel()


async def test_a_founder_whose_folder_is_emptied_starts_no_second_log(
    founder,
):
    supervisor, files = founder
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
            files.names.clear()
            supervisor._on_failed('the folder was emptied')
            while supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
        await asyncio.sleep(RUN_S)
    finally:
        running.cancel()
    assert_that(supervisor.voter.replica.voters.hosts, matchers.Equals(()))


async def test_a_voter_is_reopened_if_its_files_fail_to_close(founder):
    supervisor, files = founder
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
            files.refused = frozenset({'write', 'close'})
            while supervisor.voter is not None:
                supervisor.voter.propose_unanswered(b'')
                await asyncio.sleep(REOPEN_S)
            await asyncio.sleep(5 * REOPEN_S)
            files.refused = frozenset()
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
    finally:
        running.cancel()


async def test_a_folder_is_not_reopened_beside_a_write_in_progress(
    founder, monkeypatch
):
    """Guards against two writers of one folder."""
    supervisor, files = founder
    may_write = threading.Event()
    events = []
    persist = storage.Storage.persist
    open_store = voting.VoterSupervisor._open_store

    def persist_slowly(store, batch):
        events.append('write')
        may_write.wait()
        persist(store, batch)
        events.append('written')

    def note_opening(self):
        events.append('open')
        return open_store(self)

    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
            monkeypatch.setattr(storage.Storage, 'persist', persist_slowly)
            monkeypatch.setattr(
                voting.VoterSupervisor, '_open_store', note_opening
            )
            supervisor.voter.propose_unanswered(b'')
            while not events:
                await asyncio.sleep(REOPEN_S)
            supervisor._on_failed('a failure beside the write')
            await asyncio.sleep(10 * REOPEN_S)
            may_write.set()
            while 'open' not in events:
                await asyncio.sleep(REOPEN_S)
    finally:
        may_write.set()
        running.cancel()
    before = events[: events.index('open')]
    assert_that(before, matchers.Equals(['write', 'written']))


async def test_clock_steps_are_noticed_while_a_voter_is_closed(founder):
    supervisor, files = founder
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        async with asyncio.timeout(FOUNDED_S):
            while not supervisor.is_leader:
                await asyncio.sleep(REOPEN_S)
            contact = supervisor.voter.replica.contact
            files.refused = {'write', 'create'}
            supervisor.voter.propose_unanswered(b'')
            while supervisor.voter is not None:
                await asyncio.sleep(REOPEN_S)
            contact.advance(voter.boot_time_s() - CLOCK_GAP_S)
            while contact.read(voter.boot_time_s())[1]:
                await asyncio.sleep(REOPEN_S)
            files.refused = frozenset()
            while supervisor.voter is None:
                await asyncio.sleep(REOPEN_S)
        assert_that(supervisor.voter.replica.contact, matchers.Is(contact))
    finally:
        running.cancel()
