"""Finds requests and parts of prompts that crash upstreams; blocks them.

A request that crashes every process that works on it is known as a query of
death. A prompt consists of parts that requests share, but for the last one.
Entries tell each other which requests an upstream was beginning to answer
when it crashed, so that each of them counts the same crashes for each part.

A part is blocked once it was present in enough crashes and no entry has seen
an answer on it lately. Sound parts are kept apart in three ways: requests
whose answer was under way are no suspects; an answer clears its parts at all
entries; crashes that a blocked part explains don't count for other parts.
A block ends in a trial: one entry sends one request, which clears the part or
renews the block.

A whole request that callers repeat is known by its identity. Nothing sound
shares that, so two crashes without an answer in between suffice; the first
block is short, for requests that two unrelated crashes have met.
"""

from cassiashift_core.poison.crash_counts import CrashCounts
from cassiashift_core.poison.evidence import BEGUN_EVENTS
from cassiashift_core.poison.evidence import PartKey
from cassiashift_core.poison.identities import ANY_SERVICE
from cassiashift_core.poison.identities import request_identity
from cassiashift_core.poison.messages import BlockNews
from cassiashift_core.poison.messages import BlockPull
from cassiashift_core.poison.messages import BlockRecord
from cassiashift_core.poison.messages import CrashReport
from cassiashift_core.poison.messages import MESSAGE_TYPES
from cassiashift_core.poison.messages import PartsCleared
from cassiashift_core.poison.messages import SuspectRequest
from cassiashift_core.poison.messages import TrialNews
from cassiashift_core.poison.table import Decision
from cassiashift_core.poison.table import Judgement
from cassiashift_core.poison.table import PoisonTable

__all__ = [
    'ANY_SERVICE',
    'BEGUN_EVENTS',
    'MESSAGE_TYPES',
    'BlockNews',
    'BlockPull',
    'BlockRecord',
    'CrashCounts',
    'CrashReport',
    'Decision',
    'Judgement',
    'PartKey',
    'PartsCleared',
    'PoisonTable',
    'SuspectRequest',
    'TrialNews',
    'request_identity',
]
