"""Tests of the format of log lines."""

import io
import json
import logging
import os
import re
import subprocess
import sys
import threading

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import logs

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^" ]*)(?: |\Z)')


def parse_line(line):
    """Return the pairs of a line."""
    pairs = {}
    position = 0
    while position < len(line):
        match = _PAIR.match(line, position)
        name, text = match.groups()
        pairs[name] = json.loads(text) if text[:1] == '"' else text
        position = match.end()
    return pairs


@pytest.mark.parametrize(
    'value',
    [
        'a\nevent=forged',
        'a\r\nb',
        'a b=c',
        '"',
        '\\"',
        '\u2028',
        '\x1b[2J',
        '\x85',
        'a\u0000',
        '',
        'caf\u00e9',
    ],
)
def test_a_value_can_not_break_the_line_or_forge_a_pair(value):
    line = logs.line('seen', peer=value, last='x')
    assert_that(line.splitlines(), matchers.HasLength(1))
    assert_that(line.isascii() and line.isprintable(), matchers.Is(True))
    assert_that(
        parse_line(line),
        matchers.Equals({'event': 'seen', 'peer': value, 'last': 'x'}),
    )


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500, database=None
)
@hypothesis.given(st.text(max_size=50))
def test_any_text_can_be_parsed_back_from_the_line(value):
    line = logs.line('seen', peer=value, last='x')
    assert_that(
        parse_line(line),
        matchers.Equals({'event': 'seen', 'peer': value, 'last': 'x'}),
    )


def _record(message, exc_info=None):
    return logging.LogRecord(
        'aiohttp', logging.ERROR, 'x.py', 1, message, (), exc_info
    )


def test_library_records_and_tracebacks_are_one_line():
    formatter = logs.LineFormatter()
    try:
        raise ValueError('two\nlines')
    except ValueError:
        record = _record('a\nevent=forged', sys.exc_info())
    text = formatter.format(record)
    pairs = parse_line(text)
    assert_that(text.splitlines(), matchers.HasLength(1))
    assert_that(pairs['event'], matchers.Equals('message'))
    assert_that(pairs['text'], matchers.Equals('a\nevent=forged'))
    assert_that(pairs['trace'], matchers.Contains('ValueError: two'))


def test_an_event_is_written_unchanged():
    text = logs.LineFormatter().format(_record('event=seen peer=a'))
    assert_that(text, matchers.EndsWith(' level=error event=seen peer=a'))


class _Stream(io.StringIO):
    """A stream whose writes wait until they are let through."""

    def __init__(self):
        super().__init__()
        self.may_write = threading.Event()

    def write(self, text):
        self.may_write.wait()
        return super().write(text)


@pytest.fixture
def stream():
    stream = _Stream()
    yield stream
    stream.may_write.set()


def _handler(stream, lines_per_s):
    handler = logs.BoundedHandler(stream, lines_per_s)
    handler.setFormatter(logs.LineFormatter())
    return handler


def _emit(handler, count, **fields):
    for number in range(count):
        record = _record(f'event=seen number={number}')
        vars(record).update(fields)
        handler.emit(record)


def test_lines_are_written_before_a_flush_returns(stream):
    handler = _handler(stream, 10_000)
    _emit(handler, 2000)
    stream.may_write.set()
    assert_that(handler.wait_written(10.0), matchers.Is(True))
    lines = stream.getvalue().splitlines()
    assert_that(lines, matchers.HasLength(2000))
    assert_that(handler.wait_written(0.0), matchers.Is(True))


def test_a_stuck_reader_does_not_hold_a_flush(stream):
    handler = _handler(stream, 10_000)
    _emit(handler, 10)
    assert_that(handler.wait_written(0.01), matchers.Is(False))


def test_lines_of_the_end_are_written_beside_a_used_up_budget(stream):
    handler = _handler(stream, 5)
    _emit(handler, 20)
    _emit(handler, logs.FINAL_LINES + 20, is_final=True)
    stream.may_write.set()
    assert_that(handler.wait_written(10.0), matchers.Is(True))
    lines = stream.getvalue().splitlines()
    # The second may change once, which renews the budget of five.
    expected = matchers.MatchesAny(
        matchers.HasLength(logs.FINAL_LINES + 5),
        matchers.HasLength(logs.FINAL_LINES + 10),
    )
    assert_that(lines, expected)


def test_a_full_queue_has_room_for_lines_of_the_end(stream):
    handler = _handler(stream, 10 * logs.QUEUE_LINES)
    _emit(handler, 2 * logs.QUEUE_LINES)
    _emit(handler, 1, is_final=True)
    dropped = handler.dropped
    _emit(handler, 1)
    assert_that(handler.dropped, matchers.Equals(dropped + 1))
    stream.may_write.set()
    assert_that(handler.wait_written(10.0), matchers.Is(True))
    last = stream.getvalue().splitlines()[-1]
    assert_that(last, matchers.EndsWith('event=seen number=0'))


_END_WITH_A_STUCK_READER = """
import time
from cassiashift_daemon import logs
logs.configure(0, 10_000)
for number in range(3000):
    logs.info('seen', text='x' * 100)
started = time.monotonic()
logs.flush()
print(time.monotonic() - started, file=__import__('sys').stderr, flush=True)
"""


def test_a_process_ends_while_the_reader_of_its_log_is_stuck():
    # The pipe takes 64 KiB and nobody reads it.
    reading, writing = os.pipe()
    try:
        process = subprocess.run(
            [sys.executable, '-c', _END_WITH_A_STUCK_READER],
            stdout=writing,
            stderr=subprocess.PIPE,
            timeout=20.0,
            check=False,
        )
    finally:
        os.close(reading)
        os.close(writing)
    errors = process.stderr.decode()
    assert_that(process.returncode, matchers.Equals(0), errors)
    assert_that(errors.splitlines(), matchers.HasLength(1))
