"""Divides the slots of a service among the busy entries.

Entries that all choose the least loaded upstream by figures of up to a second
ago choose the same one. So each slot is the home slot of one busy entry, by a
rule that all of them apply alike. An entry uses its home slots first. It
visits other slots only while capacity is left over, and draws them by the
number that is free, so that few visits meet. Nothing is agreed upon: entries
whose tables differ for a moment only meet more often.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from cassiashift_core.workload import peers as busy_peers

# Capacity in use from which entries keep to their home slots. With less, the
# digests are too old to show which of the last slots are free; with more, the
# entries whose home slots are free leave them idle.
VISIT_BELOW = 0.9

# More requests in flight than this multiple of capacity can't be right: the
# bound on them keeps entries well below.
LARGEST_CREDIBLE = 2.0


def home_slots(
    own_host: str,
    hosts: Sequence[str],
    upstreams: Sequence[str],
    limit: float,
    slow: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Return the number of home slots of an entry at each upstream.

    Args:
        hosts: the busy entries in sorted order, with ``own_host``.
        upstreams: ids of the upstreams.
        limit: requests in flight that one upstream may have.
        slow: upstreams that may have fewer, and how many. The other slots are
            divided without theirs, so that no entry keeps to slots that are
            not used.
    """
    rank, count = hosts.index(own_host), len(hosts)
    ordered = sorted(upstreams)
    homes: dict[str, int] = {}
    slow = slow or {}
    for layer in range(math.ceil(limit)):
        ids = ordered
        if slow:
            ids = [id_ for id_ in ordered if slow.get(id_, limit) > layer]
        # The layers are shifted, so that an entry's slots are at different
        # upstreams whatever the numbers of both.
        first = (rank - layer * (len(ordered) + 1)) % count
        for id_ in ids[first::count]:
            homes[id_] = homes.get(id_, 0) + 1
    return homes


def may_visit(
    capacity: float, own: int, others: int, peers: busy_peers.BusyPeers
) -> bool:
    """Return whether an entry may use more than its home slots.

    An entry that is not heard counts by its rate, relative to those that are.
    One that was busy and fell silent counts with all of its home slots, and
    so do all busy entries while none is heard: an entry that hears nothing
    keeps to its share.

    Args:
        capacity: requests in flight that all upstreams together may have.
        own: requests in flight of this entry.
        others: requests in flight of the entries that are heard.
    """
    if not own:
        # There may be fewer slots than entries.
        return True
    at_home = peers.silent if peers.heard else peers.count
    used = own + (1 + peers.unheard_load) * others
    used += at_home * capacity / (1 + peers.count)
    return used < VISIT_BELOW * capacity


def is_credible(capacity: float, others: int) -> bool:
    """Return whether what other entries report is possible at all."""
    return others <= LARGEST_CREDIBLE * capacity
