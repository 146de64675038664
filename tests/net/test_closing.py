"""Tests of links that are closed while their peer drops connections.

The I/O thread of ZeroMQ used to block for ever on the event of a link whose
monitor was closed, and every link of the process stopped working.
"""

import subprocess
import sys

from testtools.assertions import assert_that
from testtools import matchers

# The process takes 1 or 2 seconds; the timeout ends one that hangs.
TIMEOUT_S = 60.0


def test_links_closed_amid_dropped_connections_leave_others_working():
    done = subprocess.run(
        [sys.executable, '-m', 'tests.net.closing_links'],
        stdout=subprocess.PIPE,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert_that(done.stdout.strip(), matchers.Equals('received'))
