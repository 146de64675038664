"""Attempts of a call: verdicts, retries, the retry budget and fences."""

from cassiashift_core.retries.answers import Accepted
from cassiashift_core.retries.answers import AnswerStream
from cassiashift_core.retries.answers import Dropped
from cassiashift_core.retries.answers import Frame
from cassiashift_core.retries.answers import FrameFault
from cassiashift_core.retries.attempts import AttemptEnd
from cassiashift_core.retries.attempts import AttemptPlan
from cassiashift_core.retries.attempts import CallTraits
from cassiashift_core.retries.attempts import Decision
from cassiashift_core.retries.attempts import RetryConfig
from cassiashift_core.retries.attempts import verdict_of
from cassiashift_core.retries.budget import RetryBudget
from cassiashift_core.retries.fences import Arrival
from cassiashift_core.retries.fences import AttemptId
from cassiashift_core.retries.fences import FenceAnswer
from cassiashift_core.retries.fences import FenceTable

__all__ = [
    'Accepted',
    'AnswerStream',
    'Arrival',
    'AttemptEnd',
    'AttemptId',
    'AttemptPlan',
    'CallTraits',
    'Decision',
    'Dropped',
    'FenceAnswer',
    'FenceTable',
    'Frame',
    'FrameFault',
    'RetryBudget',
    'RetryConfig',
    'verdict_of',
]
