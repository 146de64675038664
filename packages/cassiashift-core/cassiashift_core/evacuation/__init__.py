"""Evacuated data centres: orders, their state, and its dissemination."""

from cassiashift_core.evacuation.admitting import check_fresh
from cassiashift_core.evacuation.admitting import check_known
from cassiashift_core.evacuation.admitting import check_taken
from cassiashift_core.evacuation.admitting import remaining_s
from cassiashift_core.evacuation.messages import EvacuationPull
from cassiashift_core.evacuation.messages import EvacuationPush
from cassiashift_core.evacuation.messages import MESSAGE_TYPES
from cassiashift_core.evacuation.model import Evacuations
from cassiashift_core.evacuation.model import Order
from cassiashift_core.evacuation.model import Record
from cassiashift_core.evacuation.model import Standing
from cassiashift_core.evacuation.view import Change
from cassiashift_core.evacuation.view import EvacuationView
from cassiashift_core.evacuation.view import Exchange

__all__ = [
    'MESSAGE_TYPES',
    'Change',
    'EvacuationPull',
    'EvacuationPush',
    'EvacuationView',
    'Evacuations',
    'Exchange',
    'Order',
    'Record',
    'Standing',
    'check_fresh',
    'check_known',
    'check_taken',
    'remaining_s',
]
