"""Route tables: which callers may reach which service, and how."""

from cassiashift_core.routes.checks import find_problems
from cassiashift_core.routes.model import CallerLimits
from cassiashift_core.routes.model import Engine
from cassiashift_core.routes.model import Kind
from cassiashift_core.routes.model import Route
from cassiashift_core.routes.model import RouteTable
from cassiashift_core.routes.model import Service
from cassiashift_core.routes.model import Target
from cassiashift_core.routes.model import Workspace

__all__ = [
    'CallerLimits',
    'Engine',
    'Kind',
    'Route',
    'RouteTable',
    'Service',
    'Target',
    'Workspace',
    'find_problems',
]
