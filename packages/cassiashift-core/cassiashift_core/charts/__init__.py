"""State charts kept in data files and interpreted by the code."""

from cassiashift_core.charts.loader import Chart
from cassiashift_core.charts.loader import ChartError
from cassiashift_core.charts.loader import load

__all__ = ['Chart', 'ChartError', 'load']
