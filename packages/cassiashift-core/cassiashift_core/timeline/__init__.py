"""A causally ordered time line of the events of all processes."""

from cassiashift_core.timeline.clocks import Clock
from cassiashift_core.timeline.clocks import Timestamp
from cassiashift_core.timeline.events import Event
from cassiashift_core.timeline.events import RECEIVE
from cassiashift_core.timeline.events import SEND
from cassiashift_core.timeline.merging import Filter
from cassiashift_core.timeline.merging import merge
from cassiashift_core.timeline.rendering import as_json_lines
from cassiashift_core.timeline.rendering import as_text
from cassiashift_core.timeline.rendering import from_json_lines
from cassiashift_core.timeline.ring import Recorder

__all__ = [
    'RECEIVE',
    'SEND',
    'Clock',
    'Event',
    'Filter',
    'Recorder',
    'Timestamp',
    'as_json_lines',
    'as_text',
    'from_json_lines',
    'merge',
]
