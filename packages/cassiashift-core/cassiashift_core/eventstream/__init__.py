"""Event streams: splits bytes into events and tracks the last id."""

from cassiashift_core.eventstream.framing import Event
from cassiashift_core.eventstream.framing import EventReader

__all__ = [
    'Event',
    'EventReader',
]
