"""Event streams: whole events out of bytes, and where a stream stands."""

from cassiashift_core.eventstream.framing import Event
from cassiashift_core.eventstream.framing import EventReader

__all__ = [
    'Event',
    'EventReader',
]
