"""Runs ``cassiashiftd`` on a disk that may be full."""

import sys

from cassiashift_daemon import main
from tests.process import full_files

OPTION = '--data-dir'

if __name__ == '__main__':
    if OPTION in sys.argv:
        full_files.install(sys.argv[sys.argv.index(OPTION) + 1])
    main.run()
