"""Routing: chooses the upstream that serves a call."""

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
from cassiashift_core.routing.placement import LoadOrder
from cassiashift_core.routing.placement import PlacedUpstream
from cassiashift_core.routing.placement import PlacementConfig
from cassiashift_core.routing.placement import PlacementPlanner
from cassiashift_core.routing.placement import PoolKey
from cassiashift_core.routing.placement import RoleOrder
from cassiashift_core.routing.router import Router

__all__ = [
    'Aperture',
    'CacheEvent',
    'Choice',
    'LoadOrder',
    'LoadReport',
    'Outcome',
    'PlacedUpstream',
    'PlacementConfig',
    'PlacementPlanner',
    'PoolKey',
    'Refusal',
    'ResyncNeeded',
    'RoleOrder',
    'RouteRequest',
    'Router',
    'RoutingConfig',
    'UpstreamView',
]
