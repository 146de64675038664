"""An in-memory file system with power losses and failing calls."""

import errno
import math
import pathlib
import random
import sys

import attrs

from cassiashift_daemon import storage


class Crash(Exception):
    """A simulated power loss of the host."""


@attrs.define(eq=False)
class Inode:
    """Content of a file.

    Attributes:
        data: what a reader gets, durable or not.
        synced: the durable content.
        has_failed_sync: a sync has failed; none makes data durable any more.
    """

    data: bytearray = attrs.field(factory=bytearray)
    synced: bytes = b''
    has_failed_sync: bool = False


@attrs.define(eq=False)
class FaultyFile:
    """An open file or lock of FaultyFiles."""

    files: 'FaultyFiles'
    inode: Inode

    def write(self, data):
        """Append the data; a failing write appends a random part of it."""
        try:
            self.files.step('write')
        except (Crash, OSError):
            kept = self.files.rng.randint(0, len(data))
            self.inode.data += data[:kept]
            raise
        room = self.files.room
        self.inode.data += data[:room]
        if len(data) > room:
            raise OSError(errno.ENOSPC, 'the disk is full')

    def sync(self):
        """Make the content durable, unless a sync of this file has failed.

        After a failed sync the kernel may mark its cached pages as clean.
        """
        try:
            self.files.step('sync')
        except OSError:
            self.inode.has_failed_sync = True
            raise
        if not self.inode.has_failed_sync:
            self.inode.synced = bytes(self.inode.data)

    def close(self):
        """Release the lock on the file, if there is one.

        A file system that delays allocation may report a full disk here.
        """
        self.files.locks.discard(id(self.inode))
        if 'close' in self.files.refused:
            raise OSError(self.files.error, 'close has failed')


class FaultyFiles(storage.FileSystem):
    """Files in one folder; each change is a numbered step.

    Attributes:
        names: inodes by file name, as a reader sees them.
        durable_names: the names at the last sync of the folder.
        changes: changes of names since then.
        crash_at: the step from which on every step raises ``Crash``.
        fail_at: the step that raises an OSError.
        error: the errno of that OSError.
        refused: names of the steps that fail, as on a full disk.
        capacity: bytes that all files together may have.
    """

    def __init__(self, seed=0):
        self.rng = random.Random(seed)
        self.names = {}
        self.durable_names = {}
        self.changes = []
        self.locks = set()
        self.steps = 0
        self.crash_at = None
        self.fail_at = None
        self.error = errno.ENOSPC
        self.refused = frozenset()
        self.capacity = math.inf

    @property
    def used(self):
        """Return the bytes of all files."""
        return sum(len(inode.data) for inode in self.names.values())

    @property
    def room(self):
        """Return the bytes that may still be written."""
        return max(0, min(self.capacity, sys.maxsize) - self.used)

    def step(self, name):
        """Count a step; raise if a crash or a failure is set for it."""
        self.steps += 1
        if self.crash_at is not None and self.steps >= self.crash_at:
            raise Crash(name)
        if self.steps == self.fail_at or name in self.refused:
            raise OSError(self.error, f'{name} has failed')

    def reboot(self):
        """Return the files as they may be found after a power loss.

        Of the changes not synced, a random prefix survives.
        """
        rebooted = FaultyFiles(self.rng.random())
        kept = self.rng.randint(0, len(self.changes))
        names = dict(self.durable_names)
        for change in self.changes[:kept]:
            _apply_change(names, change)
        for name, inode in names.items():
            data = self._surviving_data(inode)
            rebooted.names[name] = Inode(bytearray(data), data)
        rebooted.durable_names = dict(rebooted.names)
        return rebooted

    def _surviving_data(self, inode):
        rest = bytes(inode.data[len(inode.synced) :])
        if not inode.data.startswith(inode.synced):
            return inode.synced
        kept = self.rng.randint(0, len(rest))
        outcomes = (
            b'',
            rest,
            rest[:kept],
            rest[:kept] + bytes(len(rest) - kept),
        )
        return inode.synced + self.rng.choice(outcomes)

    def make_folder(self, path):
        """Do nothing: the only folder always exists."""

    def list_names(self, folder):
        """Return the names of all files, sorted."""
        return sorted(self.names)

    def read(self, path):
        """Return the content of a file."""
        return bytes(self.names[path.name].data)

    def create(self, path):
        """Create an empty file and open it."""
        self.step('create')
        inode = Inode()
        self._apply((path.name, inode))
        return FaultyFile(self, inode)

    def append(self, path):
        """Open a file for appending."""
        return FaultyFile(self, self.names[path.name])

    def replace(self, source, target):
        """Rename a file over the target."""
        self.step('replace')
        inode = self.names[source.name]
        self._apply((target.name, inode), (source.name, None))

    def remove(self, path):
        """Remove a file."""
        self.step('remove')
        self._apply((path.name, None))

    def sync_folder(self, path):
        """Make all changes of names durable."""
        self.step('sync_folder')
        self.durable_names = dict(self.names)
        self.changes = []

    def lock(self, path):
        """Lock a file, which is created if missing.

        Raises:
            BlockingIOError: it is locked already.
        """
        inode = self.names.setdefault(path.name, Inode())
        if id(inode) in self.locks:
            raise BlockingIOError(errno.EAGAIN, 'locked')
        self.locks.add(id(inode))
        return FaultyFile(self, inode)

    def random_bytes(self, count):
        """Return reproducible bytes of the seeded generator."""
        return self.rng.randbytes(count)

    def _apply(self, *change):
        self.changes.append(change)
        _apply_change(self.names, change)


def _apply_change(names, change):
    for name, inode in change:
        if inode is None:
            names.pop(name, None)
        else:
            names[name] = inode


FOLDER = pathlib.Path('/data')


def open_storage(files, **options):
    """Open the folder as host ``a``, with segments of 400 bytes."""
    options.setdefault('segment_bytes', 400)
    return storage.Storage.open(FOLDER, 'dep', 'a', files, **options)
