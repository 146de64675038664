"""File operations on a disk that is full while a file exists.

The file is the path of the data folder with ``.full`` at its end. If it holds
a word, only files that are opened for appending refuse writes.
"""

import errno
import os
import pathlib

from cassiashift_daemon.storage import filesystem


class FullFile(filesystem.File):
    """A file that refuses writes while the disk is full."""

    def __init__(self, handle, sign, is_appended):
        """Wrap a file that was opened without a buffer."""
        super().__init__(handle)
        self.sign = sign
        self.is_appended = is_appended

    def write(self, data):
        """Append the data, or half of it if the disk is full."""
        if self.sign.exists() and (
            self.is_appended or not self.sign.read_text()
        ):
            super().write(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(data)


def install(data_dir):
    """Let the storage of this process use the disk of a data folder."""
    sign = pathlib.Path(f'{data_dir}.full')

    class FullFiles(filesystem.FileSystem):
        def create(self, path):
            return FullFile(path.open('wb', buffering=0), sign, False)

        def append(self, path):
            return FullFile(path.open('ab', buffering=0), sign, True)

    filesystem.FileSystem = FullFiles
