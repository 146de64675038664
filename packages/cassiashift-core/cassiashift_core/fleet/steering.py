"""Which entries callers are sent to.

Every entry places requests by what it sent itself. The fewer entries share
the upstreams, the more each one knows of their load, and the seldomer two of
them fill the same upstream: with 11 entries before 16 upstreams, each with
6 slots of which 3.4 are taken, one request in twelve found all slots of its
upstream taken although others were free. So callers of a data centre are
sent to as few entries as carry their load, and at least to two, so that the
loss of one leaves another.
"""

from collections.abc import Iterable
import math

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

FEWEST_ENTRIES = 2
MOST_ENTRIES = 64
# A stream costs an entry about 6 ms of processor time; this is a fifth of a
# core, so that a second entry's load fits beside it.
REQUESTS_PER_S = 35.0


def choose_entries(
    records: Iterable[messages.NodeRecord], data_centre: str
) -> list[messages.NodeRecord]:
    """Return the entries for callers of a data centre, most suitable first.

    Hosts without a disk go first: those with one run the voters, too.

    Args:
        records: entries that are alive.
    """
    usable = [
        record
        for record in records
        if record.is_ready and not record.is_leaving and record.front
    ]
    near = [item for item in usable if item.data_centre == data_centre]
    if len(near) < FEWEST_ENTRIES:
        near = usable
    order = hashing.rendezvous(data_centre, [item.host for item in near])
    near.sort(key=lambda item: (item.has_disk, order.index(item.host)))
    load = sum(item.requests_per_s for item in near)
    count = max(FEWEST_ENTRIES, math.ceil(load / REQUESTS_PER_S))
    return near[: min(count, MOST_ENTRIES)]
