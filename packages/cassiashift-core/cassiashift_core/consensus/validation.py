"""Finds messages that no sound replica sends.

The replica relies on their form; one such message would end the voter.
"""

import functools
from typing import Any

import attrs

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


def find_problem(message: Any) -> str:
    """Return what is malformed in a message; empty if nothing is."""
    for field in attrs.fields(type(message)):
        value = getattr(message, field.name)
        if isinstance(value, int) and value < 0:
            return f'{field.name} is negative'
    return _find_problem(message)


@functools.singledispatch
def _find_problem(message: Any) -> str:
    return ''


@_find_problem.register
def _(message: messages.AppendEntries) -> str:
    term = message.prev_term
    for position, entry in enumerate(message.entries, 1):
        if entry.index != message.prev_index + position:
            return 'the entries do not follow one another'
        if not term <= entry.term <= message.term:
            return 'the terms of the entries are not in order'
        is_change = entry.kind is records.EntryKind.VOTERS
        if is_change != (entry.voters is not None):
            return 'an entry and its voters do not match'
        term = entry.term
    return ''


@_find_problem.register
def _(message: messages.SnapshotChunk) -> str:
    if message.offset + len(message.data) > message.total:
        return 'the part exceeds the snapshot'
    if not message.voters.voters:
        return 'the snapshot has no voters'
    return ''
