"""Tests of links that are closed while their peer drops connections."""

import subprocess
import sys

from testtools.assertions import assert_that
from testtools import matchers

# The play takes a second or two; a process that hangs is ended.
PATIENCE_S = 60.0


def test_links_closed_amid_dropped_connections_leave_others_working():
    done = subprocess.run(
        [sys.executable, '-m', 'tests.net.closing_play'],
        stdout=subprocess.PIPE,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )
    assert_that(done.stdout.strip(), matchers.Equals('heard'))
