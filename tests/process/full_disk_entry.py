"""Runs an entry whose disk is full while a file exists.

The file is the path of the data folder with ``.full`` at its end. If it holds
a word, only files that are opened for appending refuse writes.
"""

import errno
import os
import pathlib
import sys

import yaml

from cassiashift_daemon.storage import filesystem
from cassiashift_platform import main

CONFIG = pathlib.Path(os.environ['CASSIASHIFT_CONFIG'])
DATA_DIR = yaml.safe_load(CONFIG.read_text())['dataDir']
SIGN = pathlib.Path(f'{DATA_DIR}.full')


class FullFile(filesystem.File):
    """A file that refuses writes while the disk is full."""

    is_appended = False

    def write(self, data):
        """Append the data, or half of it if the disk is full."""
        if SIGN.exists() and (self.is_appended or not SIGN.read_text()):
            super().write(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(data)


class FullFiles(filesystem.FileSystem):
    """File operations on a disk that may be full."""

    def create(self, path):
        """Create a file that may refuse writes."""
        return FullFile(path.open('wb', buffering=0))

    def append(self, path):
        """Open a file that may refuse writes."""
        file = FullFile(path.open('ab', buffering=0))
        file.is_appended = True
        return file


if __name__ == '__main__':
    filesystem.FileSystem = FullFiles
    sys.exit(main.main())
