"""Placement of requests: choice of the upstream, queueing and retries."""

from cassiashift_core.placing.attempts import Attempt
from cassiashift_core.placing.attempts import AttemptLog
from cassiashift_core.placing.budget import WindowBudget
from cassiashift_core.placing.chooser import Chooser

__all__ = [
    'Attempt',
    'AttemptLog',
    'Chooser',
    'WindowBudget',
]
