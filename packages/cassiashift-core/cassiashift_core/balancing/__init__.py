"""Expert balancing: decides which ranks hold the experts of each layer.

The names of this package do not need numpy, so that agents can import them.
The planner does; its submodules are imported by the planning process only.
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
