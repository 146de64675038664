"""Runs an entry of the users' platform on a disk that may be full."""

import os
import pathlib
import sys

import yaml

from cassiashift_platform import main
from tests.process import full_files

CONFIG = pathlib.Path(os.environ['CASSIASHIFT_CONFIG'])

if __name__ == '__main__':
    full_files.install(yaml.safe_load(CONFIG.read_text())['dataDir'])
    sys.exit(main.main())
