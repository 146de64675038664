"""The storage of one replica: a data folder with log and snapshots."""

from collections.abc import Iterable
import contextlib
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
    """The data folder of a replica; every call blocks.

    After a failed write nothing more is written. Opening the folder again
    recovers everything that was acknowledged.

    Attributes:
        has_failed: a write has failed; ``persist`` raises from then on.
        syncs: number of batches synced to the log.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        files: filesystem.FileSystem,
        lock: filesystem.File,
        segment_bytes: int,
    ) -> None:
        """Create a storage without reading the folder; ``open`` reads it."""
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
        """Lock, check and recover a folder; create it if it is missing.

        Raises:
            CassiashiftError: STORAGE_REFUSED if the folder is locked or
                belongs to another owner, STORAGE_DAMAGED if acknowledged
                data is damaged or missing.
        """
        folder = pathlib.Path(folder)
        files = files or filesystem.FileSystem()
        files.make_folder(folder)
        try:
            lock = files.lock(folder / LOCK_FILE)
        except BlockingIOError as exc:
            text = 'another process has locked it'
            raise identities.refusal_error(folder, text) from exc
        storage = cls(folder, files, lock, segment_bytes)
        try:
            storage._recover(deployment, host)
        except OSError as exc:
            storage.close()
            raise identities.refusal_error(folder, str(exc)) from exc
        except BaseException:
            storage.close()
            raise
        return storage

    @property
    def incarnation(self) -> str:
        """Return the incarnation in the folder's identity file."""
        return self._saved.incarnation

    def load(self) -> consensus.SavedState:
        """Return the recovered state and release its entries and snapshot.

        A second call returns the state without them.
        """
        saved = self._saved
        self._saved = attrs.evolve(saved, entries=(), snapshot=None)
        return saved

    def persist(self, changes: Iterable[consensus.Persist]) -> None:
        """Make changes durable, with one sync for all of them.

        Raises:
            CassiashiftError: STORAGE_REFUSED if the disk is full or fails;
                the owner must stop voting.
        """
        if self.has_failed:
            raise self._write_error('an earlier write has failed')
        try:
            self._persist(changes)
        except OSError as exc:
            self.has_failed = True
            raise self._write_error(str(exc)) from exc

    def close(self) -> None:
        """Close all files and release the lock.

        Errors are ignored: what was acknowledged has been synced before.
        """
        for handle in (self._file, self._lock):
            if handle is not None:
                with contextlib.suppress(OSError):
                    handle.close()
        self._file = None

    def _recover(self, deployment: str, host: str) -> None:
        identity = identities.load(self._files, self._folder)
        if identity is not None:
            identities.check_owner(identity, self._folder, deployment, host)
        self._remove_unfinished()
        if identity is None:
            self._check_unused()
        recovered = recovery.recover(self._files, self._folder)
        self._segments = list(recovered.segments)
        self._hard_state = recovered.hard_state
        if identity is None:
            self._create_first_segment()
            identity = identities.create(
                self._files, self._folder, deployment, host
            )
        if not self._segments:
            raise identities.refusal_error(self._folder, 'its log was removed')
        self._file = self._files.append(self._segments[-1].path)
        self._saved = consensus.SavedState(
            recovered.hard_state,
            recovered.entries,
            recovered.snapshot,
            identity.incarnation,
        )

    def _remove_unfinished(self) -> None:
        for name in self._files.list_names(self._folder):
            if name.endswith(filesystem.TEMPORARY_SUFFIX):
                self._files.remove(self._folder / name)

    def _check_unused(self) -> None:
        recovered = recovery.recover(self._files, self._folder)
        is_used = any(segment.batch_count for segment in recovered.segments)
        if is_used or recovered.snapshot is not None:
            raise identities.refusal_error(
                self._folder, 'its identity is missing'
            )

    def _create_first_segment(self) -> None:
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
        # and the commit index after it. After a crash in between, no entry
        # of another leader may follow the snapshot, and entries that the
        # snapshot replaces must not count as committed.
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
        data = segment.encode_frame(batch)
        self._file.write(data)
        self._file.sync()
        self.syncs += 1
        segment.add_batch(batch, len(data))
        for record in batch:
            self._hard_state = record.hard_state or self._hard_state

    def _rotate(self) -> None:
        if self._segments[-1].batch_count:
            next_batch = self._segments[-1].next_batch
            created = segments.create(self._files, self._folder, next_batch)
            self._file.close()
            self._segments.append(created)
            self._file = self._files.append(created.path)
        # A segment starts with the hard state, so that the segments before it
        # can be removed.
        self._write_batch((segments.LogRecord(self._hard_state),))

    def _drop_segments(self, index: int) -> None:
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                return
            self._files.remove(self._segments.pop(0).path)
            self._files.sync_folder(self._folder)

    def _write_error(self, text: str) -> CassiashiftError:
        return CassiashiftError(
            ErrorCode.STORAGE_REFUSED,
            f'folder {self._folder} accepts no more changes: {text}',
        )


def _is_change(record: segments.LogRecord) -> bool:
    return record != segments.LogRecord()
