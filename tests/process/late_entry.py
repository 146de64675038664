"""Runs an entry that takes some seconds to load."""

import sys
import time

from cassiashift_platform import main

LATE_S = 3.0

if __name__ == '__main__':
    time.sleep(LATE_S)
    sys.exit(main.main())
