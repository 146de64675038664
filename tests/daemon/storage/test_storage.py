"""Tests of the storage under crashes, failures and damage."""

import errno

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import consensus
from cassiashift_core import ErrorCode
from cassiashift_daemon import storage
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import segments
from cassiashift_daemon.storage import snapshots
from tests.core.consensus import cluster
from tests.daemon.storage import faulty_files

VOTERS = consensus.VoterSet((consensus.Voter('a', 'i'),))


def entries(first, last, term):
    return tuple(
        consensus.Entry(index, term, data=b'x' * 20)
        for index in range(first, last + 1)
    )


def snapshot(index, term):
    return consensus.Snapshot(index, term, VOTERS, b's' * 30)


def workload():
    """Return the arguments of ``persist`` calls with each kind of change."""
    state = consensus.HardState
    change = consensus.Persist
    return [
        [change(1, state(1, 'a', 0))],
        [change(2, None, entries(1, 3, 1)), change(3, None, entries(4, 8, 1))],
        [change(4, state(2, 'b', 5), entries(7, 9, 2), 7)],
        [change(5, None, entries(10, 14, 2))],
        [change(6, snapshot=snapshot(6, 1))],
        [change(7, state(3, 'b', 8), entries(10, 12, 3), 10)],
        [
            change(8, None, entries(13, 20, 3)),
            change(9, state(4, '', 30), (), 31, snapshot(30, 4)),
            change(10, None, entries(31, 33, 4)),
        ],
        [change(11, state(4, '', 33), entries(34, 45, 4))],
        [change(12, snapshot=snapshot(40, 4))],
        [change(13, state(5, 'a', 41), entries(46, 47, 5))],
    ]


def durable_parts(saved):
    """Return the parts of a saved state that must survive a crash."""
    hard_state = saved.hard_state
    return (
        hard_state.term,
        hard_state.vote,
        saved.entries,
        saved.snapshot,
    )


def allowed_states():
    """Return pairs of completed calls and the state on disk after them.

    A state after a part of a call counts only the calls before it.
    """
    disk = cluster.Disk('')
    states = [(0, durable_parts(disk.load()))]
    for number, call in enumerate(workload(), start=1):
        for item in call:
            if item.snapshot is not None:
                disk.hard_state = item.hard_state or disk.hard_state
            if item.snapshot is not None and item.truncate_from is not None:
                kept = [
                    e for e in disk.entries if e.index < item.truncate_from
                ]
                disk.entries = kept
                states.append((number - 1, durable_parts(disk.load())))
            disk.pending.append(item)
            disk.sync()
            calls_done = number if item is call[-1] else number - 1
            states.append((calls_done, durable_parts(disk.load())))
    return states


def run_workload(files):
    """Run the workload until a crash; return how many calls succeeded."""
    calls_done = 0
    try:
        opened = faulty_files.open_storage(files)
        for call in workload():
            opened.persist(call)
            calls_done += 1
    except faulty_files.Crash:
        pass
    return calls_done


def reopen(files):
    """Return the files after a second crash, during recovery."""
    files = files.reboot()
    files.crash_at = files.rng.randint(1, 12)
    try:
        faulty_files.open_storage(files)
    except faulty_files.Crash:
        pass
    return files.reboot()


def count_workload_steps():
    files = faulty_files.FaultyFiles()
    run_workload(files)
    return files.steps


def count_open_steps():
    files = faulty_files.FaultyFiles()
    faulty_files.open_storage(files)
    return files.steps


WORKLOAD_STEPS = count_workload_steps()


def crash_at_every_step(seed):
    """Crash at each step in turn; check what is recovered."""
    for crash_at in range(1, WORKLOAD_STEPS + 2):
        files = faulty_files.FaultyFiles(seed * 1000 + crash_at)
        files.crash_at = crash_at
        calls_done = run_workload(files)
        recovered = faulty_files.open_storage(reopen(files))
        allowed = [
            state for calls, state in allowed_states() if calls >= calls_done
        ]
        assert_that(
            allowed, matchers.Contains(durable_parts(recovered.load()))
        )
        recovered.persist([consensus.Persist(99, consensus.HardState(9, 'a'))])


@pytest.mark.parametrize('seed', range(6))
def test_crash_at_every_step_loses_nothing_acknowledged(seed):
    crash_at_every_step(seed)


def do_nothing(*args):
    pass


def rename_without_sync(files, path, data):
    temporary = path.with_name('x.aside')
    files.create(temporary).write(data)
    files.replace(temporary, path)
    files.sync_folder(path.parent)


real_save = snapshots.save


def remove_older_first(files, folder, snapshot):
    for name in snapshots.list_names(files, folder):
        files.remove(folder / name)
    files.sync_folder(folder)
    real_save(files, folder, snapshot)


@pytest.mark.parametrize(
    ('owner', 'name', 'fault'),
    [
        (faulty_files.FaultyFile, 'sync', do_nothing),
        (faulty_files.FaultyFiles, 'sync_folder', do_nothing),
        (filesystem, 'write_atomically', rename_without_sync),
        (snapshots, 'save', do_nothing),
        (snapshots, 'save', remove_older_first),
    ],
)
def test_checks_detect_an_injected_fault(owner, name, fault, monkeypatch):
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises((CassiashiftError, AssertionError, KeyError)):
        for seed in range(6):
            crash_at_every_step(seed)


@pytest.mark.parametrize('fail_at', range(1, 11))
def test_failure_while_opening_is_refused(fail_at):
    files = faulty_files.FaultyFiles()
    files.fail_at = fail_at
    with pytest.raises(CassiashiftError) as caught:
        faulty_files.open_storage(files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_REFUSED))
    faulty_files.open_storage(files.reboot())


@pytest.mark.parametrize('error', [errno.ENOSPC, errno.EIO])
def test_failure_at_every_step_stops_writes_and_loses_nothing(error):
    open_steps = count_open_steps()
    for fail_at in range(open_steps + 1, WORKLOAD_STEPS + 1):
        files = faulty_files.FaultyFiles(fail_at)
        opened = faulty_files.open_storage(files)
        files.fail_at = fail_at
        files.error = error
        calls_done = 0
        with pytest.raises(CassiashiftError) as caught:
            for call in workload():
                opened.persist(call)
                calls_done += 1
        assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_REFUSED))
        with pytest.raises(CassiashiftError, match='earlier write'):
            opened.persist(workload()[0])
        recovered = faulty_files.open_storage(files.reboot())
        allowed = [
            state for calls, state in allowed_states() if calls >= calls_done
        ]
        assert_that(
            allowed, matchers.Contains(durable_parts(recovered.load()))
        )


def reopen_after_failed_sync():
    """Fail a sync, reopen, lose power, reopen; check for the same state.

    After a failed sync the kernel may still serve the data from its cache
    without ever writing it. What a reopened storage reports must be durable.
    """
    files = faulty_files.FaultyFiles()
    opened = faulty_files.open_storage(files)
    opened.persist(workload()[0])
    files.fail_at = files.steps + 2
    files.error = errno.EIO
    with pytest.raises(CassiashiftError):
        opened.persist(workload()[1])
    opened.close()
    before = faulty_files.open_storage(files).load()
    for _ in range(20):
        after = faulty_files.open_storage(files.reboot()).load()
        assert_that(
            durable_parts(after), matchers.Equals(durable_parts(before))
        )


def test_state_recovered_after_a_failed_sync_is_durable():
    reopen_after_failed_sync()


def test_checks_detect_recovery_without_a_rewrite(monkeypatch):
    monkeypatch.setattr(segments.filesystem, 'write_atomically', skip_existing)
    with pytest.raises(AssertionError):
        reopen_after_failed_sync()


real_write_atomically = filesystem.write_atomically


def skip_existing(files, path, data):
    if path.name not in files.names:
        real_write_atomically(files, path, data)


def test_many_changes_need_one_sync():
    opened = faulty_files.open_storage(faulty_files.FaultyFiles())
    before = opened.syncs
    opened.persist(
        [consensus.Persist(i, None, entries(i, i, 1)) for i in range(1, 9)]
    )
    assert_that(opened.syncs - before, matchers.Equals(1))


def filled_files():
    """Return unlocked files after the whole workload."""
    files = faulty_files.FaultyFiles()
    run_workload(files)
    files.locks.clear()
    return files


def damage(files, name, position):
    data = files.names[name].data
    data[position] ^= 0xFF


def segment_names(files):
    return [name for name in sorted(files.names) if name.startswith('log-')]


def test_damage_inside_the_newest_segment_is_refused():
    files = faulty_files.FaultyFiles()
    opened = faulty_files.open_storage(files, segment_bytes=10_000)
    for index in range(1, 5):
        opened.persist([consensus.Persist(1, None, entries(index, index, 1))])
    opened.close()
    damage(files, segment_names(files)[-1], 60)
    with pytest.raises(CassiashiftError) as caught:
        faulty_files.open_storage(files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_DAMAGED))


@pytest.mark.parametrize('position', [3, 12, 25, -1])
def test_damage_before_the_newest_segment_is_refused(position):
    files = filled_files()
    damage(files, segment_names(files)[0], position)
    with pytest.raises(CassiashiftError) as caught:
        faulty_files.open_storage(files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_DAMAGED))


@pytest.mark.parametrize('position', [3, 40, -1])
def test_damaged_snapshot_is_refused(position):
    files = filled_files()
    name = next(n for n in files.names if n.startswith('snapshot-'))
    damage(files, name, position)
    with pytest.raises(CassiashiftError) as caught:
        faulty_files.open_storage(files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_DAMAGED))


def test_missing_segment_or_snapshot_is_refused():
    for prefix in ('log-', 'snapshot-'):
        files = filled_files()
        name = min(n for n in files.names if n.startswith(prefix))
        del files.names[name]
        with pytest.raises(CassiashiftError) as caught:
            faulty_files.open_storage(files)
        assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_DAMAGED))


def test_unfinished_write_is_cut_off():
    files = filled_files()
    expected = faulty_files.open_storage(files).load()
    files.locks.clear()
    newest = files.names[segment_names(files)[-1]]
    newest.data += newest.data[20:60]
    recovered = faulty_files.open_storage(files).load()
    assert_that(recovered, matchers.Equals(expected))


@pytest.mark.parametrize(
    ('deployment', 'host', 'text'),
    [('other', 'a', 'belongs to deployment'), ('dep', 'b', 'belongs to host')],
)
def test_folder_of_another_owner_is_refused(deployment, host, text):
    files = filled_files()
    with pytest.raises(CassiashiftError, match=text) as caught:
        storage.Storage.open(faulty_files.FOLDER, deployment, host, files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_REFUSED))


@pytest.mark.parametrize(
    ('change', 'text'),
    [
        (lambda names: names.pop('identity.json'), 'identity is missing'),
        (
            lambda names: names['identity.json'].data.clear(),
            'identity was emptied',
        ),
        (
            lambda names: [
                names.pop(name)
                for name in list(names)
                if name != 'identity.json'
            ],
            'log was removed',
        ),
    ],
)
def test_emptied_identity_or_log_is_refused(change, text):
    files = filled_files()
    change(files.names)
    with pytest.raises(CassiashiftError, match=text) as caught:
        faulty_files.open_storage(files)
    assert_that(caught.value.code, matchers.Is(ErrorCode.STORAGE_REFUSED))


def test_real_folder_is_locked_and_recovered(tmp_path):
    folder = tmp_path / 'data'
    opened = storage.Storage.open(folder, 'dep', 'a', segment_bytes=400)
    for call in workload():
        opened.persist(call)
    with pytest.raises(CassiashiftError, match='locked'):
        storage.Storage.open(folder, 'dep', 'a')
    incarnation = opened.incarnation
    opened.close()
    recovered = storage.Storage.open(folder, 'dep', 'a')
    assert_that(recovered.incarnation, matchers.Equals(incarnation))
    assert_that(
        durable_parts(recovered.load()),
        matchers.Equals(allowed_states()[-1][1]),
    )
    recovered.close()
