"""Placement of requests: choice of the upstream, queueing and retries."""

from cassiashift_core.placing.attempts import Attempt
from cassiashift_core.placing.attempts import AttemptLog
from cassiashift_core.placing.backoff import BackOffs
from cassiashift_core.placing.budget import WindowBudget
from cassiashift_core.placing.loads import Loads
from cassiashift_core.placing.loads import UpstreamLoad
from cassiashift_core.placing.request_queue import QueuedRequest
from cassiashift_core.placing.request_queue import RequestQueue

__all__ = [
    'Attempt',
    'AttemptLog',
    'BackOffs',
    'Loads',
    'QueuedRequest',
    'RequestQueue',
    'UpstreamLoad',
    'WindowBudget',
]
