"""Finds connections that carry nothing more, though they are not reset."""

from cassiashift_core.linkhealth.effects import Close
from cassiashift_core.linkhealth.effects import Effect
from cassiashift_core.linkhealth.effects import GiveUp
from cassiashift_core.linkhealth.effects import Open
from cassiashift_core.linkhealth.effects import SendProbe
from cassiashift_core.linkhealth.effects import Switch
from cassiashift_core.linkhealth.health import DEAD_AFTER_S
from cassiashift_core.linkhealth.health import LinkHealth
from cassiashift_core.linkhealth.health import MAX_TIMEOUT_S
from cassiashift_core.linkhealth.health import MIN_TIMEOUT_S
from cassiashift_core.linkhealth.health import PROBE_INTERVAL_S
from cassiashift_core.linkhealth.health import State

__all__ = [
    'DEAD_AFTER_S',
    'MAX_TIMEOUT_S',
    'MIN_TIMEOUT_S',
    'PROBE_INTERVAL_S',
    'Close',
    'Effect',
    'GiveUp',
    'LinkHealth',
    'Open',
    'SendProbe',
    'State',
    'Switch',
]
