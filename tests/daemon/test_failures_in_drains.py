"""Tests of failures of a process while it drains."""

import asyncio
import signal
import time

from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon import test_lifecycle


async def test_a_failure_does_not_end_a_drain(monkeypatch):
    """Guards against calls that a voter's failure cuts off in a stop."""
    monkeypatch.setattr(test_lifecycle._Process, 'stop_timeout_s', 10.0)
    process = test_lifecycle._Process()
    process.requests = [test_lifecycle._stream('before', time.monotonic())]
    process._on_stop_signal(signal.SIGTERM)
    process.fail('no disk')
    await asyncio.sleep(0.05)
    is_ended = process._stopped.is_set()
    process.requests = []
    await process.wait_stopped()
    await process.stop()
    assert_that(is_ended, matchers.Equals(False))
