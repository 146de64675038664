"""File operations of the storage, behind an interface that tests replace."""

import fcntl
import os
import pathlib
import secrets
from typing import BinaryIO


class File:
    """A file that is open for appending."""

    def __init__(self, handle: BinaryIO) -> None:
        """Wrap a file that was opened without a buffer."""
        self._handle = handle

    def write(self, data: bytes) -> None:
        """Append all of the data."""
        view = memoryview(data)
        while view:
            view = view[self._handle.write(view) :]

    def sync(self) -> None:
        """Make everything written so far durable."""
        os.fdatasync(self._handle.fileno())

    def close(self) -> None:
        """Close the file and release its locks."""
        self._handle.close()


class FileSystem:
    """File operations of the operating system."""

    def make_folder(self, path: pathlib.Path) -> None:
        """Create a folder and sync its parent, unless the folder exists."""
        if path.is_dir():
            return
        path.mkdir(parents=True)
        self.sync_folder(path.parent)

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Return the names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path: pathlib.Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def create(self, path: pathlib.Path) -> File:
        """Create a file, or truncate an existing one, and open it."""
        return File(path.open('wb', buffering=0))

    def append(self, path: pathlib.Path) -> File:
        """Open an existing file for appending."""
        return File(path.open('ab', buffering=0))

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file, replacing the target atomically."""
        source.replace(target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file; durable only after ``sync_folder``."""
        path.unlink()

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make creations, renames and removals in a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: pathlib.Path) -> File:
        """Take an exclusive lock on a file, held until the file is closed.

        Raises:
            BlockingIOError: another process holds the lock.
        """
        handle = path.open('ab', buffering=0)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            handle.close()
            raise
        return File(handle)

    def random_bytes(self, count: int) -> bytes:
        """Return cryptographically secure random bytes."""
        return secrets.token_bytes(count)


def write_atomically(
    files: FileSystem, path: pathlib.Path, data: bytes
) -> None:
    """Write a file durably; after a crash it is complete or unchanged.

    The data goes to a temporary file, which is synced and then renamed.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    handle = files.create(temporary)
    try:
        handle.write(data)
        handle.sync()
    finally:
        handle.close()
    files.replace(temporary, path)
    files.sync_folder(path.parent)


TEMPORARY_SUFFIX = '.aside'
