"""Distribution of committed manifest revisions to every process.

Processes form a tree below the control hosts. Each one pulls deltas from a
parent, and gets them pushed by the parent to which it subscribes; a snapshot
replaces deltas that are no longer kept.
"""

from cassiashift_core.spread.events import ApplyDelta
from cassiashift_core.spread.events import ApplySnapshot
from cassiashift_core.spread.events import CommitAdvanced
from cassiashift_core.spread.events import Committed
from cassiashift_core.spread.events import Phase
from cassiashift_core.spread.events import ProvideSnapshot
from cassiashift_core.spread.events import Ready
from cassiashift_core.spread.events import Received
from cassiashift_core.spread.events import Restarted
from cassiashift_core.spread.events import Restored
from cassiashift_core.spread.events import Send
from cassiashift_core.spread.events import SnapshotTaken
from cassiashift_core.spread.events import SpreadConfig
from cassiashift_core.spread.events import SpreadStatus
from cassiashift_core.spread.events import Tick
from cassiashift_core.spread.events import VotersChanged
from cassiashift_core.spread.messages import MESSAGE_TYPES
from cassiashift_core.spread.spreader import Spreader
from cassiashift_core.spread.spreader import TICK_INTERVAL_S

__all__ = [
    'MESSAGE_TYPES',
    'TICK_INTERVAL_S',
    'ApplyDelta',
    'ApplySnapshot',
    'CommitAdvanced',
    'Committed',
    'Phase',
    'ProvideSnapshot',
    'Ready',
    'Received',
    'Restarted',
    'Restored',
    'Send',
    'SnapshotTaken',
    'SpreadConfig',
    'SpreadStatus',
    'Spreader',
    'Tick',
    'VotersChanged',
]
