"""Expert balancing: where the experts of a group's layers are placed.

The planner needs numpy and lives in submodules, which only the process that
plans imports. The names here are free of numpy.
"""

from cassiashift_core.balancing.maps import ExpertMap
from cassiashift_core.balancing.maps import Fetch
from cassiashift_core.balancing.prices import Prices
from cassiashift_core.balancing.straggler import RankHealth
from cassiashift_core.balancing.straggler import RankSample
from cassiashift_core.balancing.straggler import StragglerDetector

__all__ = [
    'ExpertMap',
    'Fetch',
    'Prices',
    'RankHealth',
    'RankSample',
    'StragglerDetector',
]
