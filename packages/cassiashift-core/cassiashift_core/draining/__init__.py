"""Draining: takes an upstream or entry out without breaking calls."""

from cassiashift_core.draining.entry import EntryDrain
from cassiashift_core.draining.model import CloseIdleConnections
from cassiashift_core.draining.model import DrainConfig
from cassiashift_core.draining.model import DrainEffect
from cassiashift_core.draining.model import DrainEvent
from cassiashift_core.draining.model import End
from cassiashift_core.draining.model import InFlightChanged
from cassiashift_core.draining.model import LeaveDirectory
from cassiashift_core.draining.model import RefuseNewCalls
from cassiashift_core.draining.model import Resume
from cassiashift_core.draining.model import StopRequested
from cassiashift_core.draining.model import Tick
from cassiashift_core.draining.unfinished import count_phases
from cassiashift_core.draining.unfinished import EndReport
from cassiashift_core.draining.unfinished import error_at_end
from cassiashift_core.draining.unfinished import kind_of_call
from cassiashift_core.draining.unfinished import Phase
from cassiashift_core.draining.unfinished import report_end
from cassiashift_core.draining.unfinished import Unfinished
from cassiashift_core.draining.upstream import UpstreamDrain

__all__ = [
    'CloseIdleConnections',
    'DrainConfig',
    'DrainEffect',
    'DrainEvent',
    'End',
    'EndReport',
    'EntryDrain',
    'InFlightChanged',
    'LeaveDirectory',
    'Phase',
    'RefuseNewCalls',
    'Resume',
    'StopRequested',
    'Tick',
    'Unfinished',
    'UpstreamDrain',
    'count_phases',
    'error_at_end',
    'kind_of_call',
    'report_end',
]
