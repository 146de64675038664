"""How many requests may run at once on the upstreams of a service."""

from cassiashift_core.capacity.limiter import ConcurrencyLimiter
from cassiashift_core.capacity.services import ServiceLimits

__all__ = [
    'ConcurrencyLimiter',
    'ServiceLimits',
]
