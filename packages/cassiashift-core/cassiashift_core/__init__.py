"""Decisions of cassiashift: no sockets, clock, files or global random."""

from cassiashift_core.errors import CassiashiftError
from cassiashift_core.errors import ErrorCode
from cassiashift_core.verdicts import Verdict

__all__ = [
    'CassiashiftError',
    'ErrorCode',
    'Verdict',
]
