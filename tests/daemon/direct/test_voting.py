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


@contextlib.asynccontextmanager
async def supervising(supervisor):
    """Run a supervisor."""
    running = asyncio.ensure_future(supervisor.run_forever())
    try:
        yield
    finally:
        running.cancel()


async def wait_until(check):
    """Wait until a function returns true; fail after ``FOUNDED_S``."""
    async with asyncio.timeout(FOUNDED_S):
        while not check():
            await asyncio.sleep(REOPEN_S)


@pytest.fixture
async def leading(founder):
    """Run the supervisor until it leads, and return what founder does."""
    supervisor, _ = founder
    async with supervising(supervisor):
        await wait_until(lambda: supervisor.is_leader)
        yield founder


@pytest.mark.parametrize('failing_step', range(1, 17))
async def test_a_disk_full_at_the_first_start_does_not_prevent_a_log(
    founder, failing_step
):
    supervisor, files = founder
    files.fail_at = failing_step
    async with supervising(supervisor):
        await wait_until(
            lambda: supervisor.is_leader and files.steps >= failing_step
        )


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
    async with supervising(supervisor):
        await wait_until(lambda: supervisor.is_leader)


async def test_a_founder_whose_folder_is_emptied_starts_no_second_log(
    leading,
):
    supervisor, files = leading
    files.names.clear()
    supervisor._on_failed('the folder was emptied')
    await wait_until(lambda: not supervisor.is_leader)
    await asyncio.sleep(RUN_S)
    assert_that(supervisor.voter.replica.voters.hosts, matchers.Equals(()))


async def test_a_voter_is_reopened_if_its_files_fail_to_close(leading):
    supervisor, files = leading
    files.refused = frozenset({'write', 'close'})
    async with asyncio.timeout(FOUNDED_S):
        while supervisor.voter is not None:
            supervisor.voter.propose_unanswered(b'')
            await asyncio.sleep(REOPEN_S)
    await asyncio.sleep(5 * REOPEN_S)
    files.refused = frozenset()
    await wait_until(lambda: supervisor.is_leader)


async def test_a_folder_is_not_reopened_beside_a_write_in_progress(
    leading, monkeypatch
):
    """Guards against two writers of one folder."""
    supervisor, files = leading
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

    monkeypatch.setattr(storage.Storage, 'persist', persist_slowly)
    monkeypatch.setattr(voting.VoterSupervisor, '_open_store', note_opening)
    try:
        supervisor.voter.propose_unanswered(b'')
        await wait_until(lambda: events)
        supervisor._on_failed('a failure beside the write')
        await asyncio.sleep(10 * REOPEN_S)
        may_write.set()
        await wait_until(lambda: 'open' in events)
    finally:
        may_write.set()
    before = events[: events.index('open')]
    assert_that(before, matchers.Equals(['write', 'written']))


async def test_clock_steps_are_noticed_while_a_voter_is_closed(leading):
    supervisor, files = leading
    contact = supervisor.voter.replica.contact
    files.refused = {'write', 'create'}
    supervisor.voter.propose_unanswered(b'')
    await wait_until(lambda: supervisor.voter is None)
    contact.advance(voter.boot_time_s() - CLOCK_GAP_S)
    await wait_until(lambda: not contact.read(voter.boot_time_s())[1])
    files.refused = frozenset()
    await wait_until(lambda: supervisor.voter is not None)
    assert_that(supervisor.voter.replica.contact, matchers.Is(contact))
