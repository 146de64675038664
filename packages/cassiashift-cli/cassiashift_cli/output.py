"""Writes results to standard output and everything else to the error."""

from collections.abc import Iterable
import sys
import time
from typing import Any

import attrs
import msgspec

from cassiashift_core import CassiashiftError

PROGRESS_AFTER_S = 1.0
PROGRESS_INTERVAL_S = 1.0


def show_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def show(text: str) -> None:
    """Print a line of the result."""
    print(text)


def note(text: str) -> None:
    """Print a line that is no part of the result."""
    print(text, file=sys.stderr)


def fail(exc: CassiashiftError, as_json: bool) -> None:
    """Print an error."""
    if as_json:
        error = {
            'code': exc.code.value,
            'message': exc.message,
            'verdict': exc.verdict.value,
        }
        show_json({'error': error})
    note(f'cassiashift: {exc}')


def table(head: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> None:
    """Print rows in aligned columns."""
    lines = [head, *(tuple(_cell(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        show('  '.join(cells).rstrip())


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    text = '-' if value is None else str(value)
    return ''.join(char if char.isprintable() else '?' for char in text)


@attrs.define
class Progress:
    """Prints how work goes on, once it has lasted a while."""

    began: float = attrs.field(factory=time.monotonic)
    shown_at: float = 0.0

    def update(self, text: str) -> None:
        """Show a line unless one was shown a moment ago."""
        now = time.monotonic()
        is_early = now - self.began < PROGRESS_AFTER_S
        if is_early or now - self.shown_at < PROGRESS_INTERVAL_S:
            return
        self.shown_at = now
        note(f'{now - self.began:5.0f} s  {text}')
