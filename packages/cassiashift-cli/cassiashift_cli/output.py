"""Writes results to standard output, all else to standard error."""

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
    """Print a line of the result on standard output."""
    print(text)


def show_diagnostic(text: str) -> None:
    """Print a line on standard error."""
    print(text, file=sys.stderr)


def show_error(exc: CassiashiftError, as_json: bool) -> None:
    """Print an error on standard error, and as JSON if asked for."""
    if as_json:
        error = {
            'code': exc.code.value,
            'message': exc.message,
            'verdict': exc.verdict.value,
        }
        show_json({'error': error})
    show_diagnostic(f'cassiashift: {exc}')


def show_table(
    header: tuple[str, ...], rows: Iterable[tuple[Any, ...]]
) -> None:
    """Print rows in aligned columns."""
    lines = [
        header,
        *(tuple(_format_cell(cell) for cell in row) for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        show('  '.join(cells).rstrip())


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    text = '-' if value is None else str(value)
    return ''.join(char if char.isprintable() else '?' for char in text)


@attrs.define
class Progress:
    """Prints progress on standard error after ``PROGRESS_AFTER_S``."""

    start_s: float = attrs.field(factory=time.monotonic)
    shown_at_s: float = 0.0

    def update(self, text: str) -> None:
        """Print a line, at most once each ``PROGRESS_INTERVAL_S``."""
        now = time.monotonic()
        is_too_early = now - self.start_s < PROGRESS_AFTER_S
        if is_too_early or now - self.shown_at_s < PROGRESS_INTERVAL_S:
            return
        self.shown_at_s = now
        show_diagnostic(f'{now - self.start_s:5.0f} s  {text}')
