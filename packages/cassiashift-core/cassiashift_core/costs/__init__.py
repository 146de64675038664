"""Expected cost of requests, learned from what they turned out to cost."""

from cassiashift_core.costs.estimates import Cost
from cassiashift_core.costs.estimates import Estimate
from cassiashift_core.costs.estimates import StatedSize
from cassiashift_core.costs.estimator import CostEstimator
from cassiashift_core.costs.estimator import Request
from cassiashift_core.costs.moments import LogMoments
from cassiashift_core.costs.relative import RelativeCost
from cassiashift_core.costs.timing import has_timings
from cassiashift_core.costs.timing import prompt_s
from cassiashift_core.costs.timing import remaining_s
from cassiashift_core.costs.timing import step_s

__all__ = [
    'Cost',
    'CostEstimator',
    'Estimate',
    'LogMoments',
    'Request',
    'RelativeCost',
    'StatedSize',
    'has_timings',
    'prompt_s',
    'remaining_s',
    'step_s',
]
