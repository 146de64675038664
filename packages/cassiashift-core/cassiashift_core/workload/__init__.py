"""Outstanding work of upstreams over all entries.

An entry counts its own sends at once and learns of the others' sends by their
work digests, which expire soon after the sender falls silent.
"""

from cassiashift_core.workload.digests import pack_rows
from cassiashift_core.workload.digests import unpack_rows
from cassiashift_core.workload.digests import WorkDigest
from cassiashift_core.workload.digests import WorkRow
from cassiashift_core.workload.homes import home_slots
from cassiashift_core.workload.homes import is_credible
from cassiashift_core.workload.homes import may_visit
from cassiashift_core.workload.peers import BusyPeers
from cassiashift_core.workload.schedule import BYTES_PER_S
from cassiashift_core.workload.schedule import extra_bytes
from cassiashift_core.workload.schedule import plan
from cassiashift_core.workload.schedule import Plan
from cassiashift_core.workload.schedule import TRANSPORT_BYTES
from cassiashift_core.workload.table import Expiry
from cassiashift_core.workload.table import IDLE_KEPT_S
from cassiashift_core.workload.table import RECENTLY_BUSY_S
from cassiashift_core.workload.table import WorkTable

__all__ = [
    'BYTES_PER_S',
    'BusyPeers',
    'Expiry',
    'IDLE_KEPT_S',
    'Plan',
    'RECENTLY_BUSY_S',
    'TRANSPORT_BYTES',
    'WorkDigest',
    'WorkRow',
    'WorkTable',
    'extra_bytes',
    'home_slots',
    'is_credible',
    'may_visit',
    'pack_rows',
    'plan',
    'unpack_rows',
]
