"""Simulated comparison of routing policies, with simulated engines."""

from cassiashift_core.experiment.model import Cell
from cassiashift_core.experiment.model import EngineConfig
from cassiashift_core.experiment.model import ExperimentConfig
from cassiashift_core.experiment.model import ExperimentResult
from cassiashift_core.experiment.overload import run as run_overload
from cassiashift_core.experiment.overload_model import OverloadCell
from cassiashift_core.experiment.overload_model import OverloadConfig
from cassiashift_core.experiment.run import run

__all__ = [
    'Cell',
    'EngineConfig',
    'ExperimentConfig',
    'ExperimentResult',
    'OverloadCell',
    'OverloadConfig',
    'run',
    'run_overload',
]
