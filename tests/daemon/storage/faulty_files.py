"""A file system in memory that crashes, fails and forgets."""

import errno
import pathlib
import random

import attrs

from cassiashift_daemon import storage


class Crash(Exception):
    """The host has lost its power."""


@attrs.define(eq=False)
class Inode:
    """Content of a file, and how much of it is durable."""

    data: bytearray = attrs.field(factory=bytearray)
    synced: bytes = b''
    is_dropped: bool = False


@attrs.define(eq=False)
class FaultyFile:
    """An open file of FaultyFiles."""

    files: 'FaultyFiles'
    inode: Inode

    def write(self, data):
        """Append, or append a part and fail."""
        try:
            self.files.step('write')
        except (Crash, OSError):
            kept = self.files.rng.randint(0, len(data))
            self.inode.data += data[:kept]
            raise
        self.inode.data += data

    def sync(self):
        """Make the content durable, or fail and never again do so.

        After a failed sync the kernel may take its cached pages for clean.
        """
        try:
            self.files.step('sync')
        except OSError:
            self.inode.is_dropped = True
            raise
        if not self.inode.is_dropped:
            self.inode.synced = bytes(self.inode.data)

    def close(self):
        """Release the lock, if this is one."""
        self.files.locks.discard(id(self.inode))


class FaultyFiles(storage.FileSystem):
    """Files in one folder; each change is a numbered step.

    Attributes:
        crash_at: the step at which the power is lost.
        fail_at: the step that fails, with ``error``.
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

    def step(self, name):
        """Count a change; crash or fail if it is its turn."""
        self.steps += 1
        if self.crash_at is not None and self.steps >= self.crash_at:
            raise Crash(name)
        if self.steps == self.fail_at:
            raise OSError(self.error, f'{name} has failed')

    def reboot(self):
        """Return what a new start finds after the power was lost."""
        found = FaultyFiles(self.rng.random())
        kept = self.rng.randint(0, len(self.changes))
        names = dict(self.durable_names)
        for change in self.changes[:kept]:
            _change(names, change)
        for name, inode in names.items():
            data = self._surviving(inode)
            found.names[name] = Inode(bytearray(data), data)
        found.durable_names = dict(found.names)
        return found

    def _surviving(self, inode):
        rest = bytes(inode.data[len(inode.synced) :])
        if not inode.data.startswith(inode.synced):
            return inode.synced
        kept = self.rng.randint(0, len(rest))
        ways = (b'', rest, rest[:kept], rest[:kept] + bytes(len(rest) - kept))
        return inode.synced + self.rng.choice(ways)

    def make_folder(self, path):
        """Do nothing: there is one folder only."""

    def list_names(self, folder):
        """Return the names, sorted."""
        return sorted(self.names)

    def read(self, path):
        """Return the content of a file."""
        return bytes(self.names[path.name].data)

    def create(self, path):
        """Open an empty file."""
        self.step('create')
        inode = Inode()
        self._do((path.name, inode))
        return FaultyFile(self, inode)

    def append(self, path):
        """Open a file for appending."""
        return FaultyFile(self, self.names[path.name])

    def replace(self, source, target):
        """Rename a file."""
        self.step('replace')
        inode = self.names[source.name]
        self._do((target.name, inode), (source.name, None))

    def remove(self, path):
        """Remove a file."""
        self.step('remove')
        self._do((path.name, None))

    def sync_folder(self, path):
        """Make the names durable."""
        self.step('sync_folder')
        self.durable_names = dict(self.names)
        self.changes = []

    def lock(self, path):
        """Lock a file."""
        inode = self.names.setdefault(path.name, Inode())
        if id(inode) in self.locks:
            raise BlockingIOError(errno.EAGAIN, 'locked')
        self.locks.add(id(inode))
        return FaultyFile(self, inode)

    def random_bytes(self, count):
        """Return seeded random bytes."""
        return self.rng.randbytes(count)

    def _do(self, *change):
        self.changes.append(change)
        _change(self.names, change)


def _change(names, change):
    for name, inode in change:
        if inode is None:
            names.pop(name, None)
        else:
            names[name] = inode


FOLDER = pathlib.Path('/data')


def open_storage(files, **options):
    """Open the only folder."""
    options.setdefault('segment_bytes', 400)
    return storage.Storage.open(FOLDER, 'dep', 'a', files, **options)
