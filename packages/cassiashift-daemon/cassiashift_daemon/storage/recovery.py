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
class Recovered:
    """What a folder holds."""

    hard_state: consensus.HardState
    entries: tuple[consensus.Entry, ...]
    snapshot: consensus.Snapshot | None
    segments: tuple[segments.Segment, ...]


def recover(files: filesystem.FileSystem, folder: pathlib.Path) -> Recovered:
    """Read, check and mend a folder.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if acknowledged data is damaged or
            missing.
    """
    snapshot = snapshots.load(files, folder)
    names = segments.names(files, folder)
    loaded = [
        segments.load(files, folder / name, name == names[-1])
        for name in names
    ]
    found = tuple(segment for segment, _ in loaded)
    _check_numbers(found)
    records = (
        record
        for _, batches in loaded
        for batch in batches
        for record in batch
    )
    base = snapshot.index if snapshot else 0
    hard_state, entries = replay(records, base)
    return Recovered(hard_state, entries, snapshot, found)


def replay(
    records: Iterable[segments.LogRecord], base: int
) -> tuple[consensus.HardState, tuple[consensus.Entry, ...]]:
    """Return the hard state and the entries after a base index."""
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
    wanted = entries[-1].index + 1 if entries else base + 1
    if entry.index != wanted:
        raise frames.damaged(
            'the log', f'entry {wanted} is missing before {entry.index}'
        )
    entries.append(entry)


def _check_numbers(found: tuple[segments.Segment, ...]) -> None:
    for older, newer in zip(found, found[1:], strict=False):
        if older.next != newer.first:
            raise frames.damaged(
                newer.path.name, f'batch {older.next} is missing before it'
            )
