"""Bounds on the heads of requests that a listener receives."""

from cassiashift_core.heads.limits import HeadLimits
from cassiashift_core.heads.open_heads import Excess
from cassiashift_core.heads.open_heads import OpenHeads

__all__ = [
    'Excess',
    'HeadLimits',
    'OpenHeads',
]
