"""Routing: which upstream serves a call."""

from cassiashift_core.routing.aperture import Aperture
from cassiashift_core.routing.model import CacheEvent
from cassiashift_core.routing.model import Choice
from cassiashift_core.routing.model import LoadReport
from cassiashift_core.routing.model import Outcome
from cassiashift_core.routing.model import Refusal
from cassiashift_core.routing.model import ResyncNeeded
from cassiashift_core.routing.model import RouteRequest
from cassiashift_core.routing.model import RoutingConfig
from cassiashift_core.routing.model import UpstreamView
from cassiashift_core.routing.router import Router

__all__ = [
    'Aperture',
    'CacheEvent',
    'Choice',
    'LoadReport',
    'Outcome',
    'Refusal',
    'ResyncNeeded',
    'RouteRequest',
    'Router',
    'RoutingConfig',
    'UpstreamView',
]
