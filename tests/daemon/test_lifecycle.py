"""Tests of what a process logs as it ends."""

import asyncio
import signal
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import draining
from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs

UNBOUNDED_S = 1000.0


class _Process(lifecycle.Process):
    """A process whose drain ends once it has no requests.

    Attributes:
        requests: the requests in progress.
    """

    stop_timeout_s = 0.05

    def __init__(self):
        super().__init__()
        self.requests = []

    def unfinished(self):
        return self.requests

    async def drain(self):
        while self.requests:
            await asyncio.sleep(0.001)

    async def close(self):
        logs.final_info('stopped')


@pytest.fixture
def lines(monkeypatch):
    """Return the logged lines, each as its event and its fields."""
    logged = []

    def log(event, **fields):
        logged.append((event, fields))

    for name in ('info', 'warning', 'error', 'final_info', 'final_warning'):
        monkeypatch.setattr(logs, name, log)
    return logged


def _stream(id_, arrived_at):
    return draining.Unfinished(
        id_, draining.Phase.ANSWERING, arrived_at, arrived_at + UNBOUNDED_S
    )


def _reasons(lines):
    return [
        fields['reason'] for event, fields in lines if event == 'drain_ended'
    ]


async def test_a_drain_without_requests_ends_as_idle(lines):
    process = _Process()
    process._on_stop_signal(signal.SIGTERM)
    await process.wait_stopped()
    await process.stop()
    assert_that(_reasons(lines), matchers.Equals(['idle']))
    assert_that(
        [event for event, _ in lines],
        matchers.Equals(['stop_asked', 'drain_ended', 'stopped']),
    )


async def test_each_request_in_progress_leaves_a_line(lines):
    process = _Process()
    process.requests = [_stream('before', time.monotonic() - 2.0)]
    process._on_stop_signal(signal.SIGTERM)
    process.requests.append(_stream('after', time.monotonic()))
    await process.wait_stopped()
    await process.stop()
    assert_that(_reasons(lines), matchers.Equals(['time_limit']))
    asked, _, after, before, summary, stopped = lines
    assert_that(
        asked,
        matchers.Equals(
            (
                'stop_asked',
                {
                    'signal': 'SIGTERM',
                    'count': 1,
                    'in_progress': 1,
                    'reading': 0,
                    'waiting': 0,
                    'sent': 0,
                    'answering': 1,
                },
            )
        ),
    )
    assert_that(
        [fields['request'] for _, fields in (after, before)],
        matchers.Equals(['after', 'before']),
    )
    assert_that(
        after[1]['sent_after_stop_s'], matchers.Not(matchers.LessThan(0.0))
    )
    assert_that(
        before[1]['sent_after_stop_s'], matchers.Not(matchers.GreaterThan(-2))
    )
    assert_that(before[1]['ends_in_s'], matchers.LessThan(UNBOUNDED_S - 2.0))
    assert_that(
        (summary[0], summary[1]['requests'], summary[1]['answering']),
        matchers.Equals(('requests_unfinished', 2, 2)),
    )
    assert_that(stopped[0], matchers.Equals('stopped'))


async def test_a_second_signal_does_not_end_a_drain(lines):
    """Guards against a drain that a second signal cuts short."""
    process = _Process()
    process.requests = [_stream('before', time.monotonic())]
    process._on_stop_signal(signal.SIGTERM)
    process._on_stop_signal(signal.SIGINT)
    process._on_stop_signal(signal.SIGTERM)
    await process.wait_stopped()
    await process.stop()
    assert_that(_reasons(lines), matchers.Equals(['time_limit']))
    assert_that(
        [fields['signal'] for event, fields in lines if event == 'stop_asked'],
        matchers.Equals(['SIGTERM', 'SIGINT', 'SIGTERM']),
    )
    assert_that(
        [event for event, _ in lines], matchers.Contains('request_unfinished')
    )


async def test_a_drain_that_fails_ends_the_process(lines, monkeypatch):
    """Guards against a process that only SIGKILL ends."""

    async def drain():
        raise OSError('no socket')

    process = _Process()
    monkeypatch.setattr(process, 'drain', drain)
    process._on_stop_signal(signal.SIGTERM)
    await process.wait_stopped()
    assert_that(_reasons(lines), matchers.Equals(['failed']))


async def test_a_failure_without_a_stop_names_the_requests(lines):
    process = _Process()
    process.requests = [
        draining.Unfinished('r', draining.Phase.READING, time.monotonic())
    ]
    process.fail('no disk')
    await process.wait_stopped()
    await process.stop()
    assert_that(
        [event for event, _ in lines],
        matchers.Equals(
            [
                'process_failed',
                'request_unfinished',
                'requests_unfinished',
                'stopped',
            ]
        ),
    )
    fields = lines[1][1]
    assert_that(
        (fields['sent_after_stop_s'], fields['ends_in_s']),
        matchers.Equals(('', '')),
    )


async def test_more_requests_than_lines_are_counted(lines):
    process = _Process()
    process.requests = [
        _stream(str(number), time.monotonic())
        for number in range(lifecycle.MAX_UNFINISHED_LINES + 50)
    ]
    process.fail('no disk')
    await process.stop()
    events = [event for event, _ in lines]
    assert_that(
        events.count('request_unfinished'),
        matchers.Equals(lifecycle.MAX_UNFINISHED_LINES),
    )
    assert_that(lines[-2][1]['without_line'], matchers.Equals(50))


async def test_a_failure_does_not_end_a_drain(lines, monkeypatch):
    """Guards against calls that a voter's failure cuts off in a stop."""
    monkeypatch.setattr(_Process, 'stop_timeout_s', 10.0)
    process = _Process()
    process.requests = [_stream('before', time.monotonic())]
    process._on_stop_signal(signal.SIGTERM)
    process.fail('no disk')
    await asyncio.sleep(0.05)
    is_ended = process._stopped.is_set()
    process.requests = []
    await process.wait_stopped()
    await process.stop()
    assert_that(is_ended, matchers.Equals(False))
