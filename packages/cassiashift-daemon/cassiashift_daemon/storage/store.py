"""The storage of one replica in one data folder."""

from collections.abc import Iterable
import pathlib

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import consensus
from cassiashift_core import ErrorCode
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import identity as identities
from cassiashift_daemon.storage import recovery
from cassiashift_daemon.storage import segments
from cassiashift_daemon.storage import snapshots

LOCK_FILE = 'lock'
SEGMENT_BYTES = 16 * 1024 * 1024


class Storage:
    """Files of a replica; every call blocks.

    After a failed call nothing more is written: the folder must be opened
    again, which keeps all that was acknowledged.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        files: filesystem.FileSystem,
        lock: filesystem.File,
        segment_bytes: int,
    ) -> None:
        """Use ``open``."""
        self._folder = folder
        self._files = files
        self._lock = lock
        self._segment_bytes = segment_bytes
        self._segments: list[segments.Segment] = []
        self._file: filesystem.File | None = None
        self._hard_state = consensus.HardState()
        self._saved = consensus.SavedState()
        self.has_failed = False
        self.syncs = 0

    @classmethod
    def open(
        cls,
        folder: pathlib.Path | str,
        deployment: str,
        host: str,
        files: filesystem.FileSystem | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> 'Storage':
        """Lock, check and recover a folder, which is made if missing.

        Raises:
            CassiashiftError: STORAGE_REFUSED if the folder is locked or
                belongs to somebody else, STORAGE_DAMAGED if acknowledged
                data is damaged or missing.
        """
        folder = pathlib.Path(folder)
        files = files or filesystem.FileSystem()
        files.make_folder(folder)
        try:
            lock = files.lock(folder / LOCK_FILE)
        except BlockingIOError as exc:
            text = 'another process has locked it'
            raise identities.refused(folder, text) from exc
        storage = cls(folder, files, lock, segment_bytes)
        try:
            storage._start(deployment, host)
        except OSError as exc:
            storage.close()
            raise identities.refused(folder, str(exc)) from exc
        except BaseException:
            storage.close()
            raise
        return storage

    @property
    def incarnation(self) -> str:
        """Return the identity of the folder."""
        return self._saved.incarnation

    def load(self) -> consensus.SavedState:
        """Return the state found by ``open``, and let go of it."""
        saved = self._saved
        self._saved = attrs.evolve(saved, entries=(), snapshot=None)
        return saved

    def persist(self, changes: Iterable[consensus.Persist]) -> None:
        """Make changes durable, with one sync for all of them.

        Raises:
            CassiashiftError: STORAGE_REFUSED if the disk is full or fails;
                the owner must stop to vote.
        """
        if self.has_failed:
            raise self._failure('an earlier write has failed')
        try:
            self._persist(changes)
        except OSError as exc:
            self.has_failed = True
            raise self._failure(str(exc)) from exc

    def close(self) -> None:
        """Close all files and release the lock."""
        if self._file is not None:
            self._file.close()
            self._file = None
        self._lock.close()

    def _start(self, deployment: str, host: str) -> None:
        identity = identities.load(self._files, self._folder)
        if identity is not None:
            identities.check(identity, self._folder, deployment, host)
        self._remove_unfinished()
        if identity is None:
            self._check_new()
        found = recovery.recover(self._files, self._folder)
        self._segments = list(found.segments)
        self._hard_state = found.hard_state
        if identity is None:
            self._create_first()
            identity = identities.create(
                self._files, self._folder, deployment, host
            )
        if not self._segments:
            raise identities.refused(self._folder, 'its log was removed')
        self._file = self._files.append(self._segments[-1].path)
        self._saved = consensus.SavedState(
            found.hard_state,
            found.entries,
            found.snapshot,
            identity.incarnation,
        )

    def _remove_unfinished(self) -> None:
        for name in self._files.list_names(self._folder):
            if name.endswith(filesystem.ASIDE_SUFFIX):
                self._files.remove(self._folder / name)

    def _check_new(self) -> None:
        found = recovery.recover(self._files, self._folder)
        is_used = any(segment.batches for segment in found.segments)
        if is_used or found.snapshot is not None:
            raise identities.refused(self._folder, 'its identity is missing')

    def _create_first(self) -> None:
        if not self._segments:
            first = segments.create(self._files, self._folder, 1)
            self._segments.append(first)

    def _persist(self, changes: Iterable[consensus.Persist]) -> None:
        records: list[segments.LogRecord] = []
        for change in changes:
            if change.snapshot is not None:
                self._save_snapshot(change, records)
                records = []
                change = attrs.evolve(change, truncate_from=None)
            records.append(
                segments.LogRecord(
                    change.hard_state, change.truncate_from, change.entries
                )
            )
        self._write(records)

    def _save_snapshot(
        self, change: consensus.Persist, records: list[segments.LogRecord]
    ) -> None:
        # The term and the truncation must be durable before the snapshot,
        # and the commit index after it. A crash between them must leave no
        # entry of another leader after the snapshot, and must not take
        # entries that the snapshot replaces for committed.
        hard_state = change.hard_state
        if hard_state is not None:
            commit = self._hard_state.commit
            hard_state = attrs.evolve(hard_state, commit=commit)
        records.append(segments.LogRecord(hard_state, change.truncate_from))
        self._write(records)
        snapshots.save(self._files, self._folder, change.snapshot)
        self._rotate()
        self._drop_segments(change.snapshot.index)

    def _write(self, records: list[segments.LogRecord]) -> None:
        if not any(map(_is_change, records)):
            return
        if self._segments[-1].size >= self._segment_bytes:
            self._rotate()
        self._write_batch(tuple(records))

    def _write_batch(self, batch: segments.Batch) -> None:
        segment = self._segments[-1]
        data = segment.frame(batch)
        self._file.write(data)
        self._file.sync()
        self.syncs += 1
        segment.count(batch, len(data))
        for record in batch:
            self._hard_state = record.hard_state or self._hard_state

    def _rotate(self) -> None:
        if self._segments[-1].batches:
            following = self._segments[-1].next
            created = segments.create(self._files, self._folder, following)
            self._file.close()
            self._segments.append(created)
            self._file = self._files.append(created.path)
        # Every segment starts with the hard state, so that older ones can
        # be removed.
        self._write_batch((segments.LogRecord(self._hard_state),))

    def _drop_segments(self, index: int) -> None:
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                return
            self._files.remove(self._segments.pop(0).path)
            self._files.sync_folder(self._folder)

    def _failure(self, text: str) -> CassiashiftError:
        return CassiashiftError(
            ErrorCode.STORAGE_REFUSED,
            f'folder {self._folder} takes no more changes: {text}',
        )


def _is_change(record: segments.LogRecord) -> bool:
    return record != segments.LogRecord()
