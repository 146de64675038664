"""Rebuilds the saved state from snapshots and log segments."""

from collections.abc import Iterable
import pathlib

import attrs

from cassiashift_core import consensus
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import frames
from cassiashift_daemon.storage import segments
from cassiashift_daemon.storage import snapshots


@attrs.frozen
class RecoveredState:
    """The state that a data folder holds."""

    hard_state: consensus.HardState
    entries: tuple[consensus.Entry, ...]
    snapshot: consensus.Snapshot | None
    segments: tuple[segments.Segment, ...]


def recover(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> RecoveredState:
    """Read and check a folder; cut an unfinished write off its log.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if acknowledged data is damaged or
            missing.
    """
    snapshot = snapshots.load(files, folder)
    names = segments.list_names(files, folder)
    loaded = [
        segments.load(files, folder / name, name == names[-1])
        for name in names
    ]
    recovered = tuple(segment for segment, _ in loaded)
    _check_batch_numbers(recovered)
    records = (
        record
        for _, batches in loaded
        for batch in batches
        for record in batch
    )
    base = snapshot.index if snapshot else 0
    hard_state, entries = replay(records, base)
    return RecoveredState(hard_state, entries, snapshot, recovered)


def replay(
    records: Iterable[segments.LogRecord], base: int
) -> tuple[consensus.HardState, tuple[consensus.Entry, ...]]:
    """Apply records in order; return the hard state and the entries.

    Entries up to the base index, which a snapshot covers, are left out.
    """
    hard_state = consensus.HardState()
    entries: list[consensus.Entry] = []
    for record in records:
        hard_state = record.hard_state or hard_state
        first = record.truncate_from
        while first and entries and entries[-1].index >= first:
            entries.pop()
        for entry in record.entries:
            if entry.index > base:
                _append(entries, entry, base)
    return hard_state, tuple(entries)


def _append(
    entries: list[consensus.Entry], entry: consensus.Entry, base: int
) -> None:
    expected = entries[-1].index + 1 if entries else base + 1
    if entry.index != expected:
        raise frames.damage_error(
            'the log', f'entry {expected} is missing before {entry.index}'
        )
    entries.append(entry)


def _check_batch_numbers(ordered: tuple[segments.Segment, ...]) -> None:
    for older, newer in zip(ordered, ordered[1:], strict=False):
        if older.next_batch != newer.first_batch:
            raise frames.damage_error(
                newer.path.name,
                f'batch {older.next_batch} is missing before it',
            )
