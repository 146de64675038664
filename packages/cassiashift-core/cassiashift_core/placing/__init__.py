"""Placement of requests: choice of the upstream, queueing and retries."""

from cassiashift_core.placing.attempts import Attempt
from cassiashift_core.placing.attempts import AttemptLog
from cassiashift_core.placing.budget import WindowBudget
from cassiashift_core.placing.chooser import Chooser
from cassiashift_core.placing.decision import decide
from cassiashift_core.placing.decision import Decision
from cassiashift_core.placing.decision import fits
from cassiashift_core.placing.decision import Weighed
from cassiashift_core.placing.explanation import Admittance
from cassiashift_core.placing.explanation import explain
from cassiashift_core.placing.explanation import Explanation
from cassiashift_core.placing.explanation import Outcome
from cassiashift_core.placing.explanation import Row
from cassiashift_core.placing.slow_ranks import may_run
from cassiashift_core.placing.slow_ranks import slow_slots
from cassiashift_core.placing.slow_ranks import total_slots
from cassiashift_core.placing.snapshot import Candidate
from cassiashift_core.placing.snapshot import Exclusion
from cassiashift_core.placing.snapshot import Snapshot
from cassiashift_core.placing.terms import Terms

__all__ = [
    'Admittance',
    'Attempt',
    'AttemptLog',
    'Candidate',
    'Chooser',
    'Decision',
    'Exclusion',
    'Explanation',
    'Outcome',
    'Row',
    'Snapshot',
    'Terms',
    'Weighed',
    'WindowBudget',
    'decide',
    'explain',
    'fits',
    'may_run',
    'slow_slots',
    'total_slots',
]
