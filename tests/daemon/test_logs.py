"""Tests of the format of log lines."""

import json
import logging
import re
import sys

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import logs

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^" ]*)(?: |\Z)')


def _parse_line(line):
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
        _parse_line(line),
        matchers.Equals({'event': 'seen', 'peer': value, 'last': 'x'}),
    )


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500, database=None
)
@hypothesis.given(st.text(max_size=50))
def test_any_text_can_be_parsed_back_from_the_line(value):
    line = logs.line('seen', peer=value, last='x')
    assert_that(
        _parse_line(line),
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
    pairs = _parse_line(text)
    assert_that(text.splitlines(), matchers.HasLength(1))
    assert_that(pairs['event'], matchers.Equals('message'))
    assert_that(pairs['text'], matchers.Equals('a\nevent=forged'))
    assert_that(pairs['trace'], matchers.Contains('ValueError: two'))


def test_an_event_is_written_unchanged():
    text = logs.LineFormatter().format(_record('event=seen peer=a'))
    assert_that(text, matchers.EndsWith(' level=error event=seen peer=a'))
