"""State machines that are defined by chart files (TOML)."""

from cassiashift_core.charts.loader import Chart
from cassiashift_core.charts.loader import ChartError
from cassiashift_core.charts.loader import load

__all__ = ['Chart', 'ChartError', 'load']
