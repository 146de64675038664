"""Bounds on what an entry buffers for its callers and upstreams."""

from cassiashift_core.buffers.ledger import Ledger
from cassiashift_core.buffers.ledger import Refusal
from cassiashift_core.buffers.limits import BufferLimits
from cassiashift_core.buffers.limits import CONNECTION_BYTES
from cassiashift_core.buffers.limits import LARGE_BYTES

__all__ = [
    'BufferLimits',
    'CONNECTION_BYTES',
    'LARGE_BYTES',
    'Ledger',
    'Refusal',
]
