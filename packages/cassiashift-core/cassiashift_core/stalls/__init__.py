"""Tells streams whose upstream has stalled from slow but sound ones."""

from cassiashift_core.stalls.judge import MAX_FIRST_S
from cassiashift_core.stalls.judge import MAX_PAUSE_S
from cassiashift_core.stalls.judge import MIN_FIRST_S
from cassiashift_core.stalls.judge import MIN_PAUSE_S
from cassiashift_core.stalls.judge import StallJudge
from cassiashift_core.stalls.judge import Watch

__all__ = [
    'MAX_FIRST_S',
    'MAX_PAUSE_S',
    'MIN_FIRST_S',
    'MIN_PAUSE_S',
    'StallJudge',
    'Watch',
]
