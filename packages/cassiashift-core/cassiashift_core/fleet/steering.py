"""Selects the entries that callers are directed to.

An entry only knows the load that it puts on upstreams itself. The fewer
entries share the upstreams, the more each one knows of their load, and the
more rarely two of them fill the same upstream: with 11 entries in front of
16 upstreams, each with 6 slots of which 3.4 are in use, one request in twelve
found all slots of its upstream in use although others were free. So callers
of a data centre are directed to as few entries as can carry their load, but
at least to two, so that the loss of one leaves another.
"""

from collections.abc import Iterable
import math

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

MIN_ENTRIES = 2
MAX_ENTRIES = 64
# A stream costs an entry about 6 ms of processor time, so this is a fifth of
# a core and leaves room for the load of a second entry.
REQUESTS_PER_S_PER_ENTRY = 35.0


def choose_entries(
    records: Iterable[messages.EntryRecord], data_centre: str
) -> list[messages.EntryRecord]:
    """Return the entries for callers of a data centre, best first.

    Entries without a disk come first, since those with one also run voters.

    Args:
        records: of the entries that are alive.
    """
    usable = [
        record
        for record in records
        if record.is_ready and not record.is_leaving and record.front
    ]
    near = [item for item in usable if item.data_centre == data_centre]
    if len(near) < MIN_ENTRIES:
        near = usable
    order = hashing.rendezvous_order(data_centre, [item.host for item in near])
    near.sort(key=lambda item: (item.has_disk, order.index(item.host)))
    load = sum(item.requests_per_s for item in near)
    count = max(MIN_ENTRIES, math.ceil(load / REQUESTS_PER_S_PER_ENTRY))
    return near[: min(count, MAX_ENTRIES)]
