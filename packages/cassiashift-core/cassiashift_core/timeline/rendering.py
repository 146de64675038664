"""Renders time lines as aligned text and as JSON lines."""

from collections.abc import Iterable
import datetime

import msgspec

from cassiashift_core.timeline import events

COLUMNS = ('time', 'process', 'kind', 'request', 'facts')


def format_details(event: events.Event) -> str:
    """Return the details that have no column, as ``NAME=VALUE`` pairs.

    These are the other attributes that are set and all further fields.
    """
    parts = []
    for name in ('attempt', 'workspace', 'group', 'revision', 'message'):
        value = getattr(event, name)
        if value:
            parts.append(f'{name}={value}')
    parts.extend(f'{name}={value}' for name, value in event.fields.items())
    return ' '.join(parts)


def format_time_of_day(event: events.Event) -> str:
    """Return the UTC time of day with microseconds and logical counter."""
    seconds, micros = divmod(event.clock.wall_us, 1_000_000)
    time_of_day = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f'{time_of_day:%H:%M:%S}.{micros:06d}+{event.clock.logical}'


def as_text(merged: Iterable[events.Event]) -> str:
    """Return a heading and one line per event, in aligned columns."""
    rows = [COLUMNS]
    rows.extend(
        (
            format_time_of_day(event),
            event.process,
            event.kind,
            event.request or '-',
            format_details(event),
        )
        for event in merged
    )
    widths = [max(len(row[index]) for row in rows) for index in range(4)]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width)
            for cell, width in zip(row[:4], widths, strict=True)
        ]
        lines.append(
            _replace_unprintable('  '.join([*cells, row[4]]).rstrip())
        )
    return '\n'.join(lines) + '\n'


def _replace_unprintable(text: str) -> str:
    """Replace unprintable characters, which could break or forge a line."""
    return ''.join(c if c.isprintable() else '?' for c in text)


def as_json_lines(merged: Iterable[events.Event]) -> bytes:
    """Return the events as JSON objects, one per line."""
    return b''.join(msgspec.json.encode(event) + b'\n' for event in merged)


def from_json_lines(data: bytes) -> list[events.Event]:
    """Return the events of JSON lines; empty lines are skipped.

    Raises:
        msgspec.ValidationError: a line is not an event.
        msgspec.DecodeError: a line is not JSON.
    """
    return [
        msgspec.json.decode(line, type=events.Event)
        for line in data.splitlines()
        if line.strip()
    ]
